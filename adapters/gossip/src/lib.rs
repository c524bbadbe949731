//! Gossip between the nodes of a fleet: runs the membership of `core/membership` on a UDP socket and exchanges the
//! observations of zone monitoring. Gossip is off unless the operators' file has a section `[peers]`.

mod config;
mod service;

pub use config::{Config, ConfigError};
pub use service::{GossipService, LocalMember};

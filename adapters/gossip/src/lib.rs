//! Gossip between the nodes of a fleet: one socket for datagrams, the membership of `core/membership` behind it, and
//! the observations that zone monitoring exchanges through it. Off unless the operators' own file has a section
//! `[peers]`.

mod config;
mod service;

pub use config::{Config, ConfigError};
pub use service::{GossipService, LocalMember};

//! The datagrams between the nodes of a fleet: one socket, the membership of `core/membership` behind it, and what the watch
//! over the zones says and hears through it. Off unless the operators' own file has a section `[peers]`.

mod config;
mod service;

pub use config::{Config, ConfigError};
pub use service::{GossipService, LocalMember};

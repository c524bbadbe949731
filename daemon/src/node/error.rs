//! The reasons for which a node can't start, or go on.

use std::io;
use std::net::SocketAddr;

use badgerpost_virtual_clock::ControlError;

use crate::config::ConfigError;

/// Why a node can't start, or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A listener for clients can't be opened.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// Its address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The operators' console can't be opened.
    #[error("configuration: console: can't listen at {address}: {source}")]
    Console {
        /// Its address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The socket for gossip can't be opened.
    #[error("configuration: peers.listen: {address}: {source}")]
    Gossip {
        /// Its address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The operating system refuses something else.
    #[error("can't start: {0}")]
    System(#[from] io::Error),
    /// The controller of the virtual clock can't be reached, or has gone.
    #[error(transparent)]
    VirtualClock(#[from] ControlError),
}

//! Errors that prevent a node's start or end its run.

use std::io;
use std::net::SocketAddr;

use badgerpost_virtual_clock::ControlError;

use crate::config::ConfigError;

/// Why a node can't start or continue.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A listener for HTTP or PostgreSQL clients can't be opened.
    #[error("can't listen at {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The operators' console can't be opened.
    #[error("configuration: console: can't listen at {address}: {source}")]
    Console {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The socket for gossip can't be opened.
    #[error("configuration: peers.listen: can't open a UDP socket at {address}: {source}")]
    Gossip {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another system call failed during the start.
    #[error("can't start: a system call failed: {0}")]
    System(#[from] io::Error),
    /// The controller of the virtual clock can't be reached, or has disconnected.
    #[error(transparent)]
    VirtualClock(#[from] ControlError),
}

//! The reasons for which a configuration can't be used.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerpost_balancer::SettingsError;
use badgerpost_settings::ObjectError;
use badgerpost_settings::file::FileError;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file can't be read.
    #[error("configuration {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The platform's file is not JSON, or lacks a key, or has a value of another type.
    #[error("configuration {}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// `$EDGE_CONSOLE` is not an address.
    #[error("configuration: EDGE_CONSOLE: {0:?} is not an address and port")]
    ConsoleAddress(String),
    /// The seed is not a hexadecimal number.
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    /// The node can't work with so few descriptors.
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    TooFewDescriptors(usize),
    /// The settings object can't be read.
    #[error("configuration: {0}")]
    MalformedSettings(#[from] ObjectError),
    /// The settings can be read, but the balancer can't work with them.
    #[error("configuration: {0}")]
    InvalidSettings(#[from] SettingsError),
    /// The operators' file can't be used.
    #[error("configuration {0}")]
    OperatorFile(#[from] FileError),
    /// The section `[postgres]` can't be used.
    #[error("configuration: {0}")]
    Postgres(#[from] badgerpost_postgres::config::ConfigError),
    /// The section `[peers]` can't be used.
    #[error("configuration: {0}")]
    Peers(#[from] badgerpost_gossip::ConfigError),
    /// With a virtual clock the node must reach nothing outside this machine.
    #[error(
        "rehearsal: {what} is at {address}; with a stepped clock every address must be a loopback address"
    )]
    NotLoopback {
        /// What has that address.
        what: String,
        /// The address.
        address: SocketAddr,
    },
}

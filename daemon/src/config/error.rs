//! Configuration errors.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerpost_balancer::SettingsError;
use badgerpost_settings::ObjectError;
use badgerpost_settings::file::FileError;

use super::platform::MIN_DESCRIPTORS;

/// Why a configuration is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file can't be read.
    #[error("configuration {}: can't read the file: {source}", path.display())]
    Unreadable {
        /// The file's path.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The platform's file is not valid JSON, lacks a required key, or has a value of the wrong type.
    #[error("configuration {}: can't parse the file: {source}", path.display())]
    Malformed {
        /// The file's path.
        path: PathBuf,
        /// The parser's error, which names the line and column.
        source: serde_json::Error,
    },
    /// `$EDGE_CONSOLE` is not an IP address and port.
    #[error(
        "configuration: EDGE_CONSOLE: {0:?} is not an IP address and port such as 127.0.0.1:9000"
    )]
    ConsoleAddress(String),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("configuration: seed: {0:?} is not a hexadecimal number of at most 64 bits")]
    Seed(String),
    /// The number of file descriptors is below the minimum.
    #[error(
        "configuration: limits.sockets: {0} is below the minimum of {MIN_DESCRIPTORS} file descriptors"
    )]
    TooFewDescriptors(usize),
    /// The settings object lacks a required key or has a value of the wrong type.
    #[error("configuration: {0}")]
    MalformedSettings(#[from] ObjectError),
    /// The settings object is well-formed, but the balancer rejects a value.
    #[error("configuration: {0}")]
    InvalidSettings(#[from] SettingsError),
    /// The operators' file can't be read or parsed.
    #[error("configuration {0}")]
    OperatorFile(#[from] FileError),
    /// The section `[postgres]` is invalid.
    #[error("configuration: {0}")]
    Postgres(#[from] badgerpost_postgres::config::ConfigError),
    /// The section `[peers]` is invalid.
    #[error("configuration: {0}")]
    Peers(#[from] badgerpost_gossip::ConfigError),
    /// The clock is virtual, and a configured address is outside this machine.
    #[error(
        "rehearsal: {what} is at {address}; with a virtual clock every address must be a loopback address"
    )]
    NotLoopback {
        /// The part of the configuration to which the address belongs.
        what: String,
        /// The address outside this machine.
        address: SocketAddr,
    },
}

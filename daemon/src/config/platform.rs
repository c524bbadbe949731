//! The platform's file.

use std::net::SocketAddr;
use std::path::Path;

use badgerpost_http::endpoint_list::EndpointList;
use badgerpost_settings::NodeSettings;
use serde::Deserialize;

use super::error::ConfigError;

/// The fewest descriptors that a node works with.
const MIN_DESCRIPTORS: usize = 32;
/// Descriptors that the node itself needs, whatever clients do: ten for standard streams, the event loop, signals and
/// the listener, eight for calls to discovery that are made beside each other, one for a client that waits to be
/// admitted, one for a file.
const RESERVED_DESCRIPTORS: usize = 20;
/// Descriptors for the operators' console and the socket handover.
const RESERVED_CONSOLE_DESCRIPTORS: usize = 24;
/// Memory where the platform's file does not say, in MiB: that of a node on the platform's scored days.
const DEFAULT_MEMORY_MIB: usize = 192;
/// Of the memory, the part for buffered bodies: one in so many. The rest is for the buffers of connections, of which
/// there may be as many as descriptors, and for the node's own state.
const BODY_BUFFER_DIVISOR: usize = 4;
const MIB: usize = 1024 * 1024;

/// The platform's configuration of a node.
#[derive(Deserialize)]
pub struct PlatformConfig {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where service discovery listens.
    pub discovery: SocketAddr,
    /// Where the operators' console listens, if there is one; `$EDGE_CONSOLE` where the file does not say.
    pub console: Option<SocketAddr>,
    /// Seed of all random draws, in hexadecimal.
    seed: String,
    limits: ResourceLimits,
    /// The endpoint list as the node last had it.
    pub known: Option<EndpointList>,
    settings: serde_json::Value,
}

/// What the node may use of its machine.
#[derive(Deserialize)]
struct ResourceLimits {
    /// Descriptors.
    sockets: usize,
    /// Memory, in MiB.
    #[serde(default = "default_memory_mib")]
    memory_mb: usize,
}

fn default_memory_mib() -> usize {
    DEFAULT_MEMORY_MIB
}

/// The most connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// With clients.
    pub clients: usize,
    /// With backends.
    pub backends: usize,
}

impl PlatformConfig {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// The file can't be read or parsed, or `$EDGE_CONSOLE` is needed and not an address.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let path = path.to_owned();
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let mut config: Self = serde_json::from_slice(&text)
            .map_err(|source| ConfigError::Malformed { path, source })?;
        if config.console.is_none() {
            config.console = console_from_environment()?;
        }
        Ok(config)
    }

    /// The settings, checked for use by the balancer.
    ///
    /// # Errors
    ///
    /// The settings object can't be read, or the balancer can't work with it.
    pub fn site(&self) -> Result<NodeSettings, ConfigError> {
        let site = badgerpost_settings::read(&self.settings)?;
        site.settings.validate()?;
        Ok(site)
    }

    /// The seed of all random draws.
    ///
    /// # Errors
    ///
    /// It is not a hexadecimal number.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }

    /// Bytes for bodies that are buffered.
    pub fn body_buffer_bytes(&self) -> usize {
        self.limits
            .memory_mb
            .saturating_mul(MIB / BODY_BUFFER_DIVISOR)
    }

    /// Connections with clients and with backends: a half and three eighths of all descriptors, and less where that
    /// would not leave the node its own. Connections with backends exceed their limit by an eighth while old ones end.
    ///
    /// # Errors
    ///
    /// There are too few descriptors.
    pub fn connection_limits(&self) -> Result<ConnectionLimits, ConfigError> {
        let descriptors = self.limits.sockets;
        if descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors(descriptors));
        }
        let reserved =
            RESERVED_DESCRIPTORS + self.console.map_or(0, |_| RESERVED_CONSOLE_DESCRIPTORS);
        let available = descriptors.saturating_sub(reserved);
        // Halves, eighths and that eighth of the backends', in sixty-fourths: 32 + 24 + 3.
        Ok(ConnectionLimits {
            clients: (descriptors / 2).min(available * 32 / 59).max(1),
            backends: (descriptors * 3 / 8).min(available * 24 / 59).max(1),
        })
    }
}

/// The console's address by `$EDGE_CONSOLE`; none where that is not set or empty.
fn console_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
    match std::env::var("EDGE_CONSOLE") {
        Ok(address) if !address.is_empty() => match address.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(ConfigError::ConsoleAddress(address)),
        },
        _ => Ok(None),
    }
}

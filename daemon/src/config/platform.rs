//! The platform's configuration file.

use std::net::SocketAddr;
use std::path::Path;

use badgerpost_http::endpoint_list::EndpointList;
use badgerpost_settings::NodeSettings;
use serde::Deserialize;

use super::error::ConfigError;
use super::resource_plan::{DescriptorLimits, ResourcePlan};

/// Minimum of `limits.sockets`.
pub(super) const MIN_DESCRIPTORS: usize = 32;
/// Descriptors reserved for purposes other than client and backend connections: ten for standard streams, the event
/// loop, signals and the listener, eight for concurrent calls to discovery, one for a client that waits for admission,
/// one for a file.
const RESERVED_DESCRIPTORS: usize = 20;
/// Additional descriptors reserved for the operators' console and the socket handover.
const RESERVED_CONSOLE_DESCRIPTORS: usize = 24;
/// The memory limit if the platform's file has no `limits.memory_mb`.
const DEFAULT_MEMORY_MIB: usize = 192;
/// The memory limit divided by this is available for messages and statements of PostgreSQL clients.
const POSTGRES_SESSION_DIVISOR: usize = 4;
const MIB: usize = 1024 * 1024;

/// The content of the platform's file.
#[derive(Deserialize)]
pub struct PlatformConfig {
    /// The node's name in log lines and in gossip.
    pub name: String,
    /// The address at which the node listens for HTTP clients.
    pub listen: SocketAddr,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// The address at which the operators' console listens. `$EDGE_CONSOLE` if absent from the file; no console if
    /// neither is set.
    pub console: Option<SocketAddr>,
    /// The seed of all random number generators, in hexadecimal.
    seed: String,
    limits: ResourceLimits,
    /// The endpoint list with which the node starts, until discovery answers.
    #[serde(rename = "known")]
    pub known_endpoints: Option<EndpointList>,
    settings: serde_json::Value,
}

/// Resources of the machine that the node may use.
#[derive(Deserialize)]
struct ResourceLimits {
    /// Maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    descriptors: usize,
    #[serde(rename = "memory_mb", default = "default_memory_mib")]
    memory_mib: usize,
}

fn default_memory_mib() -> usize {
    DEFAULT_MEMORY_MIB
}

impl PlatformConfig {
    /// Reads the file, and `$EDGE_CONSOLE` if the file has no console address.
    ///
    /// # Errors
    ///
    /// The file can't be read or parsed, or `$EDGE_CONSOLE` is not an address.
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

    /// Reads and validates the settings object.
    ///
    /// # Errors
    ///
    /// The settings object is malformed, or the balancer rejects a value.
    pub fn node_settings(&self) -> Result<NodeSettings, ConfigError> {
        let node_settings = badgerpost_settings::read(&self.settings)?;
        node_settings.settings.validate()?;
        Ok(node_settings)
    }

    /// The seed of all random number generators.
    ///
    /// # Errors
    ///
    /// The seed is not a hexadecimal number of at most 64 bits.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }

    /// The memory available for messages and statements of PostgreSQL clients, in bytes.
    pub fn postgres_session_bytes(&self) -> usize {
        self.limits
            .memory_mib
            .saturating_mul(MIB / POSTGRES_SESSION_DIVISOR)
    }

    /// Divides the descriptors and the memory. The PostgreSQL adapter's part of the memory is set aside if it is used.
    ///
    /// # Errors
    ///
    /// The platform grants fewer than the minimum number of descriptors.
    pub fn resource_plan(&self, has_postgres: bool) -> Result<ResourcePlan, ConfigError> {
        let memory_bytes = self.limits.memory_mib.saturating_mul(MIB);
        let postgres_bytes = if has_postgres {
            self.postgres_session_bytes()
        } else {
            0
        };
        Ok(ResourcePlan::new(
            self.descriptor_limits()?,
            memory_bytes.saturating_sub(postgres_bytes),
            self.console.is_some(),
        ))
    }

    /// Divides the descriptors between client connections (at most 1/2) and backend connections (at most 3/8), after
    /// the reserved ones are set aside. Backend connections may exceed their limit by 1/8 while old connections close.
    fn descriptor_limits(&self) -> Result<DescriptorLimits, ConfigError> {
        let descriptors = self.limits.descriptors;
        if descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors(descriptors));
        }
        let reserved =
            RESERVED_DESCRIPTORS + self.console.map_or(0, |_| RESERVED_CONSOLE_DESCRIPTORS);
        let available = descriptors.saturating_sub(reserved);
        // In 64ths of all descriptors: 32 for clients, 24 for backends, and 3 (1/8 of 24) for backend connections that
        // are closing; 59 in total.
        Ok(DescriptorLimits {
            clients: (descriptors / 2).min(available * 32 / 59).max(1),
            backends: (descriptors * 3 / 8).min(available * 24 / 59).max(1),
        })
    }
}

/// The console's address from `$EDGE_CONSOLE`, or `None` if the variable is unset or empty.
fn console_from_environment() -> Result<Option<SocketAddr>, ConfigError> {
    match std::env::var("EDGE_CONSOLE") {
        Ok(address) if !address.is_empty() => match address.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(ConfigError::ConsoleAddress(address)),
        },
        _ => Ok(None),
    }
}

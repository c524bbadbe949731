//! The operators' configuration file, which enables optional features.

use std::net::SocketAddr;

use serde::Deserialize;

/// The content of the operators' file. An absent section leaves its feature disabled.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// Logging to standard error.
    #[serde(default)]
    pub log: LogConfig,
    /// The virtual clock. The system's clock is used if absent.
    #[serde(rename = "rehearsal")]
    pub virtual_clock: Option<VirtualClockConfig>,
    /// Zone monitoring.
    zones: Option<ZoneMonitoringConfig>,
    /// Gossip between the nodes of a fleet.
    pub peers: Option<badgerpost_gossip::Config>,
    /// The PostgreSQL adapter.
    pub postgres: Option<badgerpost_postgres::config::Config>,
}

impl OperatorConfig {
    /// Whether zone monitoring is enabled.
    pub fn monitors_zones(&self) -> bool {
        self.zones.is_some_and(|zones| zones.is_enabled)
    }
}

/// The section `[zones]`, described in `docs/operators/zones.md`.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneMonitoringConfig {
    #[serde(rename = "watch")]
    is_enabled: bool,
}

/// The section `[log]`.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogConfig {
    /// The format of the lines on standard error.
    #[serde(default)]
    pub format: LogFormat,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text: time, level, target, message, fields.
    #[default]
    Text,
    /// One JSON object per line: `timestamp` (RFC 3339), `level`, `target`, and `fields` with the `message` among them.
    Json,
}

/// The section `[rehearsal]`: a virtual clock that a test controls. Not for production use.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VirtualClockConfig {
    /// The loopback address at which the test's controller listens.
    #[serde(rename = "control")]
    pub controller: SocketAddr,
    /// The clock's initial Unix time, in nanoseconds.
    pub start_ns: u64,
}

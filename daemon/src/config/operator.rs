//! The operators' own file. Everything in it is off by default.

use std::net::SocketAddr;

use serde::Deserialize;

/// What the operators switch on.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// How the node logs.
    #[serde(default)]
    pub log: LogConfig,
    /// A clock that a test controls.
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
    /// Whether zone monitoring is on.
    pub fn monitors_zones(&self) -> bool {
        self.zones.is_some_and(|zones| zones.watch)
    }
}

/// Zone monitoring: `docs/operators/zones.md`.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneMonitoringConfig {
    /// Whether it is on.
    watch: bool,
}

/// How the node logs to standard error.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogConfig {
    /// The format of a line.
    #[serde(default)]
    pub format: LogFormat,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people: time, level, target, message, fields.
    #[default]
    Text,
    /// One JSON object a line: `timestamp` (RFC 3339), `level`, `target`, and `fields` with the `message` among them.
    Json,
}

/// A clock that a test controls. Never for service.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VirtualClockConfig {
    /// Where the test's controller waits for the node, on a loopback address.
    pub control: SocketAddr,
    /// The clock's first time: Unix time in nanoseconds.
    pub start_ns: u64,
}

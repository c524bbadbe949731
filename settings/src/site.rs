//! The typed content of the settings object.

use badgerpost_balancer::{Nanos, Settings};

use crate::NameTable;

/// The content of the settings object of one node.
pub struct NodeSettings {
    /// The balancer's settings. Times are in nanoseconds, rates in requests per second.
    pub settings: Settings,
    /// The names of the ids in `settings`.
    pub names: NameTable,
    /// Timeouts of backend connections.
    pub connections: ConnectionSettings,
    /// Whether the platform permits gossip between nodes. `false` if `policy-limits.peers` is absent.
    pub gossip_allowed: bool,
}

/// Timeouts of backend connections. Used only by programs that open network connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Backends close connections that have been idle for this time, or earlier. In nanoseconds.
    pub idle_timeout: Nanos,
    /// A connection attempt that takes longer has failed. In nanoseconds.
    pub connect_timeout: Nanos,
}

//! What the settings object says, typed.

use badgerpost_balancer::{Nanos, Settings};

use crate::NameTable;

/// All that is read from the settings object.
pub struct NodeSettings {
    /// The balancer's settings. Times are in nanoseconds, rates in requests a second.
    pub settings: Settings,
    /// The names behind the ids in `settings`.
    pub names: NameTable,
    /// Timeouts of connections to backends.
    pub connections: ConnectionSettings,
    /// Whether the platform permits nodes to exchange gossip; `false` where it does not say.
    pub gossip_allowed: bool,
}

/// Timeouts of connections to backends. Only programs on real sockets need them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// A backend closes a connection that has been idle for this long, or sooner. In nanoseconds.
    pub idle_timeout: Nanos,
    /// A connection that is not established after this long counts as failed. In nanoseconds.
    pub connect_timeout: Nanos,
}

//! The simulation's view of a node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_fakes::net::{ConnId, ListenerId};
use badgerpost_time::Nanos;

/// A node as seen by the processes around it.
pub(super) struct SimulatedNode {
    pub(super) name: String,
    /// The index of the node's zone in the scenario.
    pub(super) zone_index: usize,
    /// Absent until the node's first process listens.
    pub(super) listen_address: Option<SocketAddr>,
    /// The address at which the node polls discovery.
    pub(super) discovery_address: SocketAddr,
    pub(super) is_up: bool,
    pub(super) is_paused: bool,
    /// When the node's last pause ends or ended; 0 if it was never paused.
    pub(super) paused_until: Nanos,
    /// Client connections without an open request, for reuse.
    pub(super) idle_connections: Vec<ConnId>,
    /// When the node was notified that a server drains or is gone, by server.
    pub(super) drain_notified_at: BTreeMap<usize, Nanos>,
    /// The last start of each server that the node was notified of; Unix time in milliseconds.
    pub(super) notified_starts: BTreeMap<usize, u64>,
    /// When the node got its first SIGTERM; absent while it is not shutting down.
    pub(super) shutdown_started_at: Option<Nanos>,
    pub(super) open_connections: usize,
    /// Connections that either side has ended since the node's last start.
    pub(super) ended_connections: u64,
    /// Absent if the nodes do not exchange gossip.
    pub(super) gossip: Option<GossipEndpoint>,
}

/// A socket of the test kit that the node advertises for gossip; the test kit forwards each datagram to the node.
pub(super) struct GossipEndpoint {
    pub(super) socket: ListenerId,
    pub(super) advertised_address: SocketAddr,
    /// The address at which the node's process receives datagrams.
    pub(super) node_address: Option<SocketAddr>,
    /// Datagrams that the node has sent.
    pub(super) sent_datagrams: u64,
    /// Bytes that the node has sent.
    pub(super) sent_bytes: u64,
}

//! State of one node as the simulation sees it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_fakes::net::{ConnId, ListenerId};
use badgerpost_time::Nanos;

/// A node as the other processes see it.
pub(super) struct SimulatedNode {
    pub(super) name: String,
    /// The position of its zone among the scene's.
    pub(super) zone_number: usize,
    pub(super) listen: Option<SocketAddr>,
    pub(super) discovery_address: SocketAddr,
    pub(super) up: bool,
    pub(super) paused: bool,
    /// When its last pause ends, or has ended.
    pub(super) paused_until: Nanos,
    /// Idle connections of its clients.
    pub(super) idle: Vec<ConnId>,
    /// Servers of which it was notified that they drain or are gone, and when.
    pub(super) told: BTreeMap<usize, Nanos>,
    /// Server starts of which it was notified, Unix time in milliseconds.
    pub(super) notified_starts: BTreeMap<usize, u64>,
    /// When its shutdown began.
    pub(super) stopping: Option<Nanos>,
    /// Open connections, and those that either side has ended since its start.
    pub(super) open: usize,
    pub(super) ended: u64,
    /// Its gossip with the other nodes, if it has any.
    pub(super) gossip: Option<GossipEndpoint>,
}

/// The gossip address of a node: a socket of the test kit, which forwards each datagram.
pub(super) struct GossipEndpoint {
    pub(super) door: ListenerId,
    pub(super) at: SocketAddr,
    /// Where the process listens.
    pub(super) real: Option<SocketAddr>,
    /// Datagrams and bytes that it has sent.
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
}

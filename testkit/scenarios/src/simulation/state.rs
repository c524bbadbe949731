//! State of the simulation, its event queue, and the bookkeeping of connections and attempts.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_fakes::discovery::{Discovery, Entry};
use badgerpost_fakes::net::{ConnId, ListenerId, LoopbackNetwork, NetworkEvent};
use badgerpost_fakes::random::Random;

use super::connection::{Connection, ListenerOwner};
use super::events::{NodeInput, ScheduledEvent};
use super::in_flight::{AttemptId, InFlightMessage, LinkImpairment};
use super::node_state::SimulatedNode;
use super::server_state::SimulatedServer;
use crate::outcome::{AttemptOutcome, ClientResult, Request};
use crate::plan::Plan;
use crate::rules::{self, Breach};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Added to each time limit for the delay of real sockets.
pub const SOCKET_SLACK: Nanos = 50 * MILLISECOND;
/// With fewer responses without a length their fraction is not significant.
const LEAST_WITHOUT_LENGTH: usize = 10;
/// A run ends this long after its last arrival at the latest.
const ENDS_AFTER: Nanos = 15 * SECOND;

/// Random draws for misbehaving clients, and the time limits that nodes exceeded.
pub(super) struct Misbehaviour {
    pub(super) random: Random,
    /// Connections of silent clients that a node did not end in time: its name, and after how long.
    pub(super) unended: Vec<(String, Nanos)>,
}

impl Misbehaviour {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: Random::new(seed, "misbehaviour"),
            unended: Vec::new(),
        }
    }
}

/// A request that a client has sent, with its line of the outcome log.
pub(super) struct OpenRequest {
    pub(super) log: Request,
    pub(super) arrival: usize,
    /// The position of its node among those of the scenario.
    pub(super) node: usize,
    pub(super) tries: u32,
    pub(super) key: String,
    pub(super) done: bool,
    pub(super) resent: bool,
    /// When its last byte was written to its node.
    pub(super) written: Nanos,
    /// The end of its head, which is to be written later.
    pub(super) unwritten: Vec<u8>,
}

/// Every process around the nodes, their sockets and the outcome log.
pub struct Simulation {
    pub(super) plan: Plan,
    pub(super) net: LoopbackNetwork,
    pub(super) now: Nanos,
    /// Unix time at the start of the scenario.
    pub(super) base: Nanos,
    pub(super) queue: BTreeMap<(Nanos, u64), ScheduledEvent>,
    pub(super) next: u64,
    pub(super) servers: Vec<SimulatedServer>,
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) listeners: BTreeMap<ListenerId, ListenerOwner>,
    pub(super) connections: BTreeMap<ConnId, Connection>,
    pub(super) discovery: Discovery,
    pub(super) watches: u64,
    pub(super) requests: Vec<OpenRequest>,
    pub(super) request_by_id: HashMap<String, usize>,
    /// When a deduplication scope first saw a key.
    pub(super) keys_seen: BTreeMap<(String, String), Nanos>,
    /// Attempts of clients that are scheduled or open.
    pub(super) pending: usize,
    /// Requests at servers that no client has sent.
    pub(super) unknown_requests: u64,
    /// The node that runs now, in stepped time.
    pub(super) running: Option<usize>,
    /// Active impairments of links.
    pub(super) impairments: Vec<LinkImpairment>,
    /// Messages held by cut links; bounded by the connections, each of which carries one message at a time.
    pub(super) held_messages: Vec<InFlightMessage>,
    /// Decides which messages links lose.
    pub(super) random: Random,
    /// State of misbehaving clients.
    pub(super) misbehaviour: Misbehaviour,
}

impl Simulation {
    pub(super) fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.queue.insert((at.max(self.now), self.next), event);
        self.next += 1;
    }

    /// The time since the start of the scenario.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Unix time at the start of the scenario.
    pub fn base(&self) -> Nanos {
        self.base
    }

    /// Advances the time; never back.
    pub fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// When the next event is due.
    pub fn next_event_at(&self) -> Option<Nanos> {
        self.queue.keys().next().map(|(at, _)| *at)
    }

    /// Whether all clients have their responses or have given up.
    pub fn is_done(&self) -> bool {
        self.pending == 0
            || self.now > self.plan.scenario.spec.length_ms.get_ref() * MILLISECOND + ENDS_AFTER
    }

    /// Bytes read from all nodes so far.
    pub fn bytes_read(&self) -> u64 {
        self.net.bytes_read()
    }

    /// Connections of a node that either side has ended since its start.
    pub fn ended_connections(&self, node: usize) -> u64 {
        self.nodes[node].ended
    }

    /// Open connections of a node.
    pub fn open_connections(&self, node: usize) -> usize {
        self.nodes[node].open
    }

    /// Adds a new connection.
    pub(super) fn add_connection(&mut self, conn: ConnId, peer: Connection) {
        if let Some(node) = peer.node() {
            self.nodes[node].open += 1;
        }
        self.connections.insert(conn, peer);
    }

    /// Removes a connection that either side has ended.
    pub(super) fn remove_connection(&mut self, conn: ConnId) -> Option<Connection> {
        let peer = self.connections.remove(&conn)?;
        if let Some(node) = peer.node() {
            self.nodes[node].open -= 1;
            self.nodes[node].ended += 1;
        }
        Some(peer)
    }

    /// Requests at servers that no client has sent.
    pub fn unknown_requests(&self) -> u64 {
        self.unknown_requests
    }

    /// The address at which a node polls discovery.
    pub fn discovery_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].discovery_address
    }

    /// The most that each server was sent while it was cold, as a multiple of what it could do then, over the
    /// span that counts; by zone.
    pub fn cold_peaks(&self) -> Vec<(String, f64)> {
        self.servers
            .iter()
            .map(|server_state| (server_state.zone.clone(), server_state.slow_start_peak))
            .collect()
    }

    /// Addresses of the servers, by name.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.servers
            .iter()
            .map(|server_state| (server_state.name.as_str(), server_state.at))
    }

    /// The present endpoint list, in discovery's format.
    pub fn endpoint_snapshot(&self) -> serde_json::Value {
        let targets: Vec<&Entry> = self.discovery.entries().collect();
        serde_json::json!({"rev": 0, "all": true, "targets": targets})
    }

    /// A new process of a node listens at this address.
    pub fn node_started(&mut self, node: usize, listen: SocketAddr) {
        let node = &mut self.nodes[node];
        (node.listen, node.up, node.paused) = (Some(listen), true, false);
        node.stopping = None;
        node.ended = 0;
        node.told.clear();
        node.notified_starts.clear();
    }

    /// The address of a node, if it has ever listened.
    pub fn node_address(&self, node: usize) -> Option<SocketAddr> {
        self.nodes[node].listen
    }

    /// A node's process has ended. If it was killed, the rules ask nothing of its open requests.
    pub fn node_stopped(&mut self, node: usize, killed: bool) {
        self.nodes[node].up = false;
        if killed {
            self.excuse_open_requests(node);
        }
    }

    /// The responses to a node's open requests may come so much later.
    pub(super) fn hold_up_open_requests(&mut self, node: usize, duration: Nanos) {
        let open = self
            .requests
            .iter_mut()
            .filter(|open| !open.done && open.node == node);
        open.for_each(|open| open.log.held_up += duration);
    }

    /// How long a node that is paused for a short time stands still yet.
    pub(super) fn pause_left(&self, node: usize) -> Nanos {
        let node = &self.nodes[node];
        let is_short = node.paused && self.plan.behaviour.strict;
        if is_short {
            node.paused_until.saturating_sub(self.now)
        } else {
            0
        }
    }

    pub(super) fn excuse_open_requests(&mut self, node: usize) {
        let open = self
            .requests
            .iter_mut()
            .filter(|open| !open.done && open.node == node);
        open.for_each(|open| open.log.is_excused = true);
    }

    /// Breaches in the treatment of silent clients and of responses without a length.
    pub fn missed_responses(&self) -> Vec<Breach> {
        let unended = self.misbehaviour.unended.iter();
        let mut breaches: Vec<Breach> = unended
            .map(|(node, took)| rules::silent_client_breach(node, *took))
            .collect();
        let logs = self.requests.iter().map(|open| &open.log);
        let is_bare = |log: &&Request| log.attempts.iter().any(|attempt| attempt.without_length);
        let bare: Vec<&Request> = logs.filter(is_bare).collect();
        let is_served = |log: &&&Request| log.result() == Some(ClientResult::Served);
        let forwarded = bare.iter().filter(is_served).count();
        if bare.len() >= LEAST_WITHOUT_LENGTH && 2 * forwarded < bare.len() {
            breaches.push(rules::responses_without_length_breach(
                forwarded,
                bare.len(),
            ));
        }
        breaches
    }

    /// The log, sorted by arrival.
    pub fn into_log(mut self) -> Vec<Request> {
        self.requests
            .sort_by(|a, b| (a.log.arrival, &a.log.id).cmp(&(b.log.arrival, &b.log.id)));
        self.requests.into_iter().map(|open| open.log).collect()
    }

    /// Polls all sockets for at most `wait`, and appends their events.
    pub fn poll(&mut self, wait: Duration, told: &mut Vec<NetworkEvent>) -> io::Result<()> {
        self.net.poll(wait, told)
    }

    /// Sorts the events of several polls into a deterministic order.
    pub fn sort_events(&mut self, told: &mut [NetworkEvent]) -> io::Result<()> {
        self.net.sort_events(told)
    }

    /// Sets the node that alone runs now, in stepped time.
    pub fn set_running(&mut self, node: Option<usize>) {
        self.running = node;
    }

    /// Ends an attempt that has not ended yet.
    pub(super) fn end_attempt(&mut self, attempt: Option<AttemptId>, ended: AttemptOutcome) {
        let Some(AttemptId { request, number }) = attempt else {
            return;
        };
        let attempt = &mut self.requests[request].log.attempts[number];
        if attempt.end.is_none() {
            (attempt.end, attempt.outcome) = (Some(self.now), ended);
        }
    }

    /// Closes a connection at this end, which its node notices.
    pub(super) fn close(&mut self, conn: ConnId) -> Option<NodeInput> {
        self.net.close(conn);
        let node = match self.remove_connection(conn)? {
            Connection::Server { node, .. } => node,
            Connection::Discovery { node, .. } => Some(node),
            Connection::Client { node, .. } | Connection::Silent { node, .. } => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                Some(node)
            }
        };
        node.map(|node| NodeInput { node, bytes: 0 })
    }

    /// Resets a connection at this end, which its node notices.
    pub(super) fn reset(&mut self, conn: ConnId) -> Option<NodeInput> {
        self.net.reset(conn);
        match self.remove_connection(conn)? {
            Connection::Server { node, attempt, .. } => {
                self.end_attempt(attempt, AttemptOutcome::ConnectionReset);
                node.map(|node| NodeInput { node, bytes: 0 })
            }
            Connection::Discovery { node, .. } => Some(NodeInput { node, bytes: 0 }),
            Connection::Client { node, .. } | Connection::Silent { node, .. } => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                Some(NodeInput { node, bytes: 0 })
            }
        }
    }
}

//! The state of the simulation: its event queue, connections, requests and attempts.

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

/// Added to every time limit of the rules, for the delay of real sockets.
pub const SOCKET_SLACK: Nanos = 50 * MILLISECOND;
/// The fraction of forwarded responses without a length is checked only from this number of responses on.
const MIN_RESPONSES_WITHOUT_LENGTH: usize = 10;
/// A run ends at the latest this long after the length of its scenario.
const MAX_OVERRUN: Nanos = 15 * SECOND;

/// Random draws for misbehaving clients, and the silent clients that nodes disconnected too late.
pub(super) struct Misbehaviour {
    pub(super) random: Random,
    /// The node's name and the age of each silent client's connection that the node did not close in time.
    pub(super) overdue_silent_clients: Vec<(String, Nanos)>,
}

impl Misbehaviour {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: Random::new(seed, "misbehaviour"),
            overdue_silent_clients: Vec::new(),
        }
    }
}

/// A request that a client has sent, and the request's line of the outcome log.
pub(super) struct OpenRequest {
    pub(super) log: Request,
    /// The index of the planned request in the plan's arrivals.
    pub(super) arrival: usize,
    /// The index of the node that gets the request.
    pub(super) node: usize,
    /// How many times the client has retried: 0 for the first request of an arrival.
    pub(super) retry_number: u32,
    /// The idempotency key.
    pub(super) key: String,
    pub(super) is_done: bool,
    /// Whether the request was sent again on a new connection.
    pub(super) is_resent: bool,
    /// When the last byte was written to the node.
    pub(super) written_at: Nanos,
    /// The end of the request head, if the client writes it later.
    pub(super) unwritten_head: Vec<u8>,
}

/// The simulated processes around the nodes, with their sockets and the outcome log.
pub struct Simulation {
    pub(super) plan: Plan,
    pub(super) net: LoopbackNetwork,
    pub(super) now: Nanos,
    /// Unix time at the start of the scenario.
    pub(super) base: Nanos,
    /// Scheduled events by time and event number.
    pub(super) queue: BTreeMap<(Nanos, u64), ScheduledEvent>,
    pub(super) next_event_number: u64,
    pub(super) servers: Vec<SimulatedServer>,
    pub(super) nodes: Vec<SimulatedNode>,
    pub(super) listeners: BTreeMap<ListenerId, ListenerOwner>,
    pub(super) connections: BTreeMap<ConnId, Connection>,
    pub(super) discovery: Discovery,
    /// How many polls of the endpoint list have been received.
    pub(super) watch_count: u64,
    pub(super) requests: Vec<OpenRequest>,
    pub(super) request_by_id: HashMap<String, usize>,
    /// When a deduplication scope first saw a key, by scope and key.
    pub(super) keys_seen: BTreeMap<(String, String), Nanos>,
    /// Client requests that are scheduled or open.
    pub(super) pending_requests: usize,
    /// Requests to servers or discovery that are malformed or that no client has sent.
    pub(super) unknown_requests: u64,
    /// The node that runs now, on virtual time only.
    pub(super) running_node: Option<usize>,
    /// Active link faults.
    pub(super) impairments: Vec<LinkImpairment>,
    /// Messages held by cut links; the open requests and polls bound their number.
    pub(super) held_messages: Vec<InFlightMessage>,
    /// Random draws for message loss.
    pub(super) random: Random,
    pub(super) misbehaviour: Misbehaviour,
}

impl Simulation {
    pub(super) fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.queue
            .insert((at.max(self.now), self.next_event_number), event);
        self.next_event_number += 1;
    }

    /// The time since the start of the scenario.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Unix time at the start of the scenario.
    pub fn base(&self) -> Nanos {
        self.base
    }

    /// Advances the time to `now`, unless it is later already.
    pub fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// When the next event is due.
    pub fn next_event_at(&self) -> Option<Nanos> {
        self.queue.keys().next().map(|(at, _)| *at)
    }

    /// Whether all clients have a response or have stopped waiting, or the run has exceeded its time limit.
    pub fn is_done(&self) -> bool {
        self.pending_requests == 0
            || self.now > self.plan.scenario.spec.length_ms.get_ref() * MILLISECOND + MAX_OVERRUN
    }

    /// Bytes read from all nodes so far.
    pub fn bytes_read(&self) -> u64 {
        self.net.bytes_read()
    }

    /// How many connections of a node either side has ended since the node started.
    pub fn ended_connections(&self, node: usize) -> u64 {
        self.nodes[node].ended_connections
    }

    /// How many connections of a node are open.
    pub fn open_connections(&self, node: usize) -> usize {
        self.nodes[node].open_connections
    }

    pub(super) fn add_connection(&mut self, conn: ConnId, connection: Connection) {
        if let Some(node) = connection.node() {
            self.nodes[node].open_connections += 1;
        }
        self.connections.insert(conn, connection);
    }

    /// Removes a connection that either side has ended, and counts it for its node.
    pub(super) fn remove_connection(&mut self, conn: ConnId) -> Option<Connection> {
        let connection = self.connections.remove(&conn)?;
        if let Some(node) = connection.node() {
            self.nodes[node].open_connections -= 1;
            self.nodes[node].ended_connections += 1;
        }
        Some(connection)
    }

    /// How many requests to servers or discovery were malformed or not sent by any client.
    pub fn unknown_requests(&self) -> u64 {
        self.unknown_requests
    }

    /// The address at which a node polls discovery.
    pub fn discovery_address(&self, node: usize) -> SocketAddr {
        self.nodes[node].discovery_address
    }

    /// The zone of each server, and its highest load during slow start as a multiple of its capacity at that time.
    pub fn cold_peaks(&self) -> Vec<(String, f64)> {
        self.servers
            .iter()
            .map(|server_state| (server_state.zone.clone(), server_state.slow_start_peak))
            .collect()
    }

    /// The name and the address of each server.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.servers
            .iter()
            .map(|server_state| (server_state.name.as_str(), server_state.address))
    }

    /// The current endpoint list in discovery's format.
    pub fn endpoint_snapshot(&self) -> serde_json::Value {
        let targets: Vec<&Entry> = self.discovery.entries().collect();
        serde_json::json!({"rev": 0, "all": true, "targets": targets})
    }

    /// Records that a new process of a node listens at this address.
    pub fn node_started(&mut self, node: usize, listen: SocketAddr) {
        let node = &mut self.nodes[node];
        (node.listen_address, node.is_up, node.is_paused) = (Some(listen), true, false);
        node.shutdown_started_at = None;
        node.ended_connections = 0;
        node.drain_notified_at.clear();
        node.notified_starts.clear();
    }

    /// The address of a node, if it has ever listened.
    pub fn node_address(&self, node: usize) -> Option<SocketAddr> {
        self.nodes[node].listen_address
    }

    /// Records that a node's process has ended. If it was killed, the rules excuse its open requests.
    pub fn node_stopped(&mut self, node: usize, killed: bool) {
        self.nodes[node].is_up = false;
        if killed {
            self.excuse_open_requests(node);
        }
    }

    /// Extends the time limit for the responses to a node's open requests.
    pub(super) fn hold_up_open_requests(&mut self, node: usize, duration: Nanos) {
        let open = self
            .requests
            .iter_mut()
            .filter(|open| !open.is_done && open.node == node);
        open.for_each(|open| open.log.held_up += duration);
    }

    /// The remaining duration of a node's pause; 0 if the node is not paused or rules are not strict.
    pub(super) fn pause_left(&self, node: usize) -> Nanos {
        let node = &self.nodes[node];
        if node.is_paused && self.plan.behaviour.strict {
            node.paused_until.saturating_sub(self.now)
        } else {
            0
        }
    }

    pub(super) fn excuse_open_requests(&mut self, node: usize) {
        let open = self
            .requests
            .iter_mut()
            .filter(|open| !open.is_done && open.node == node);
        open.for_each(|open| open.log.is_excused = true);
    }

    /// Breaches of the rules for silent clients and for responses without a length.
    pub fn missed_responses(&self) -> Vec<Breach> {
        let overdue = self.misbehaviour.overdue_silent_clients.iter();
        let mut breaches: Vec<Breach> = overdue
            .map(|(node, duration)| rules::silent_client_breach(node, *duration))
            .collect();
        let logs = self.requests.iter().map(|open| &open.log);
        let has_response_without_length =
            |log: &&Request| log.attempts.iter().any(|attempt| attempt.without_length);
        let responses: Vec<&Request> = logs.filter(has_response_without_length).collect();
        let is_served = |log: &&&Request| log.result() == Some(ClientResult::Served);
        let forwarded = responses.iter().filter(is_served).count();
        if responses.len() >= MIN_RESPONSES_WITHOUT_LENGTH && 2 * forwarded < responses.len() {
            breaches.push(rules::responses_without_length_breach(
                forwarded,
                responses.len(),
            ));
        }
        breaches
    }

    /// The outcome log, sorted by arrival.
    pub fn into_log(mut self) -> Vec<Request> {
        self.requests
            .sort_by(|a, b| (a.log.arrival, &a.log.id).cmp(&(b.log.arrival, &b.log.id)));
        self.requests.into_iter().map(|open| open.log).collect()
    }

    /// Polls all sockets for at most `wait`, and appends their events to `events`.
    pub fn poll(&mut self, wait: Duration, events: &mut Vec<NetworkEvent>) -> io::Result<()> {
        self.net.poll(wait, events)
    }

    /// Sorts the events of several polls into a deterministic order.
    pub fn sort_events(&mut self, events: &mut [NetworkEvent]) -> io::Result<()> {
        self.net.sort_events(events)
    }

    /// Sets the node that runs now on virtual time; connections that servers accept meanwhile are from this node.
    pub fn set_running(&mut self, node: Option<usize>) {
        self.running_node = node;
    }

    /// Records the end of an attempt, unless it has ended already.
    pub(super) fn end_attempt(&mut self, attempt: Option<AttemptId>, outcome: AttemptOutcome) {
        let Some(AttemptId { request, number }) = attempt else {
            return;
        };
        let attempt = &mut self.requests[request].log.attempts[number];
        if attempt.end.is_none() {
            (attempt.end, attempt.outcome) = (Some(self.now), outcome);
        }
    }

    /// Closes a connection from the test kit's side. Returns the node that has to process the close.
    pub(super) fn close(&mut self, conn: ConnId) -> Option<NodeInput> {
        self.net.close(conn);
        let node = match self.remove_connection(conn)? {
            Connection::Server { node, .. } => node,
            Connection::Discovery { node, .. } => Some(node),
            Connection::Client { node, .. } | Connection::Silent { node, .. } => {
                self.nodes[node]
                    .idle_connections
                    .retain(|idle| *idle != conn);
                Some(node)
            }
        };
        node.map(|node| NodeInput { node, bytes: 0 })
    }

    /// Resets a connection from the test kit's side. Returns the node that has to process the reset.
    pub(super) fn reset(&mut self, conn: ConnId) -> Option<NodeInput> {
        self.net.reset(conn);
        match self.remove_connection(conn)? {
            Connection::Server { node, attempt, .. } => {
                self.end_attempt(attempt, AttemptOutcome::ConnectionReset);
                node.map(|node| NodeInput { node, bytes: 0 })
            }
            Connection::Discovery { node, .. } => Some(NodeInput { node, bytes: 0 }),
            Connection::Client { node, .. } | Connection::Silent { node, .. } => {
                self.nodes[node]
                    .idle_connections
                    .retain(|idle| *idle != conn);
                Some(NodeInput { node, bytes: 0 })
            }
        }
    }
}

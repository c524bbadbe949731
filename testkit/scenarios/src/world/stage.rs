//! What the peers of all nodes are and have: sites, nodes, connections, requests and what is to be done when. The
//! rooms beside this one move it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_fakes::discovery::{Discovery, Entry, State};
use badgerpost_fakes::message::MessageDecoder;
use badgerpost_fakes::net::{ConnId, ListenerId, LoopbackNetwork, NetworkEvent};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::server::Server;

use super::links::{BadLink, Carried};
use super::misbehaviour::Misbehaviour;
use crate::outcome::{AttemptOutcome, ClientResult, Request};
use crate::plan::Plan;
use crate::rules::{self, Breach};
use crate::scenario::FaultKind;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// On sockets each time limit is this much longer.
pub const SOCKETS: Nanos = 50 * MILLISECOND;
/// With fewer answers without a length their share says nothing.
const LEAST_WITHOUT_LENGTH: usize = 10;
/// A run ends this long after its last arrival at the latest.
const ENDS_AFTER: Nanos = 15 * SECOND;

/// What is to be done at a time.
#[derive(Clone, Debug)]
pub(super) enum Todo {
    Arrive(usize),
    Retry(usize),
    /// Once more, to this node, as it never read it.
    Resend(usize, usize),
    /// A client's patience ends.
    Due(usize),
    /// A server's next request is done.
    Done(usize),
    Answer(Box<Sending>),
    /// A message sets out once more.
    Goes(Box<Carried>),
    /// A message has come over a link.
    Arrives(Box<Carried>),
    /// A datagram comes to this node.
    Datagram(usize, Vec<u8>),
    Reset(ConnId),
    Hang(ConnId),
    WatchOver(ConnId, u64),
    Tell(ConnId),
    FaultOn(usize),
    FaultOff(usize),
    List(usize, State, bool),
    Starts(usize),
    Resume(usize),
    /// A client closes its connection though its request is open.
    Leave(usize),
    /// A node has as many silent clients as it is to have.
    Silent(usize),
    /// A client that says nothing more is owed its end by now.
    Owed(ConnId),
    /// A node that was asked to stop then gets this signal.
    Signal(usize, Nanos, StopSignal),
    /// A node's wall clock is ahead by so many milliseconds from now on.
    StepClock(usize, i64),
}

/// What a node that was asked to stop gets behind the first SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGHUP.
    Hangup,
    /// SIGINT.
    Interrupt,
    /// SIGTERM.
    Terminate,
    /// SIGKILL, at the earliest time.
    Kill,
}

/// An answer of a server on its way out.
#[derive(Clone, Debug)]
pub(super) struct Sending {
    pub(super) conn: ConnId,
    pub(super) attempt: Option<(usize, usize)>,
    pub(super) bytes: Vec<u8>,
    pub(super) ended: AttemptOutcome,
    /// How its connection ends behind it, if it does.
    pub(super) then: ConnectionFate,
}

/// What becomes of a server's connection behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionFate {
    Stays,
    Closes,
    Resets,
}

/// What the runner has to do with a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// SIGKILL.
    Kill(usize),
    /// SIGTERM.
    Stop(usize),
    /// Start it anew.
    Start(usize),
    /// SIGSTOP.
    Pause(usize),
    /// SIGCONT.
    Resume(usize),
    /// A signal to a node that was asked to stop.
    Signal(usize, StopSignal),
    /// Its wall clock steps, to so many milliseconds ahead.
    StepClock(usize, i64),
}

/// What one step of the world has left for the runner.
#[derive(Clone, Debug, Default)]
pub struct Fired {
    /// A node that has news on its sockets, and how many bytes of it.
    pub touched: Option<(usize, u64)>,
    /// What to do with processes.
    pub orders: Vec<Order>,
}

#[derive(Clone, Copy)]
pub(super) enum Place {
    Server(usize),
    List(usize),
}

pub(super) enum Peer {
    Server {
        server: usize,
        node: Option<usize>,
        decoder: MessageDecoder,
        attempt: Option<(usize, usize)>,
    },
    List {
        node: usize,
        decoder: MessageDecoder,
        watch: Option<(u64, Option<u64>)>,
    },
    Client {
        node: usize,
        decoder: MessageDecoder,
        /// Requests on it, in the order in which they were written.
        open: VecDeque<usize>,
        /// Of these, how many answers have been read that are still on their way to the client.
        read: usize,
        last: Option<usize>,
        /// Half a head was written behind the last one.
        is_half: bool,
    },
    /// A client that says nothing more.
    Silent { node: usize, since: Nanos },
}

impl Peer {
    /// Whose connection it is, where that is known.
    fn node(&self) -> Option<usize> {
        match self {
            Self::Server { node, .. } => *node,
            Self::List { node, .. } | Self::Client { node, .. } | Self::Silent { node, .. } => {
                Some(*node)
            }
        }
    }
}

#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) conn: ConnId,
    pub(super) attempt: Option<(usize, usize)>,
    pub(super) id: String,
}

/// A server: its model, its socket, and what is wrong with it.
pub(super) struct Site {
    pub(super) name: String,
    pub(super) zone: String,
    /// Its position among the scene's zones.
    pub(super) zone_number: usize,
    pub(super) cell: u64,
    pub(super) listener: ListenerId,
    pub(super) at: SocketAddr,
    pub(super) model: Server,
    pub(super) jobs: BTreeMap<u64, Job>,
    pub(super) next_job: u64,
    /// What has come while the process was paused; bounded by its connections.
    pub(super) held: Vec<Job>,
    pub(super) wake: Option<Nanos>,
    /// With the thousandths of the requests that they strike.
    pub(super) troubles: Vec<(FaultKind, u16)>,
    pub(super) up: bool,
    pub(super) booted: Option<Nanos>,
    /// The most that it was sent while cold, as a multiple of what it could do.
    pub(super) cold_peak: f64,
    /// What it was sent lately while cold: when, and whether the node had been told of the start.
    pub(super) cold_sends: VecDeque<(Nanos, bool)>,
    /// Since when discovery has it as draining or gone and could be reached.
    pub(super) unlisted_since: Option<Nanos>,
}

impl Site {
    /// Whether a request with this lot, in thousandths, meets a trouble.
    pub(super) fn has(&self, trouble: FaultKind, lot: u16) -> bool {
        self.troubles
            .iter()
            .any(|(one, permille)| *one == trouble && lot < *permille)
    }

    /// The troubles that strike a request with this lot, in thousandths: its form first, a reset in its midst last.
    pub(super) fn troubles_in_order(&self, lot: u16) -> Vec<FaultKind> {
        let strikes = |one: &&(FaultKind, u16)| lot < one.1;
        let struck = self.troubles.iter().filter(strikes);
        let mut troubles: Vec<FaultKind> = struck.map(|one| one.0).collect();
        troubles.sort_by_key(|trouble| match trouble {
            FaultKind::CloseDelimited => 0,
            FaultKind::ResetConnection { .. } => 2,
            _ => 1,
        });
        troubles
    }

    /// Has the model work as fast as the troubles let it.
    pub(super) fn set_pace(&mut self) {
        let slow = self
            .troubles
            .iter()
            .filter_map(|(trouble, _)| match trouble {
                FaultKind::SlowDown { percent } => Some(f64::from(*percent) / 100.0),
                _ => None,
            });
        let times = slow.fold(1.0, |most: f64, times| most.max(times));
        self.model.set_slowdown(times);
    }

    pub(super) fn paused(&self) -> bool {
        self.has(FaultKind::PauseServer, 0)
    }
}

/// A node as its peers see it.
pub(super) struct NodeSide {
    pub(super) name: String,
    /// The position of its zone among the scene's.
    pub(super) zone_number: usize,
    pub(super) listen: Option<SocketAddr>,
    pub(super) list_at: SocketAddr,
    pub(super) up: bool,
    pub(super) paused: bool,
    /// Its clients' connections with nothing on them.
    pub(super) idle: Vec<ConnId>,
    /// Servers that it was told drain or are gone, and when.
    pub(super) told: BTreeMap<usize, Nanos>,
    /// The starts that it was told of, Unix time in milliseconds.
    pub(super) told_starts: BTreeMap<usize, u64>,
    /// When it was asked to stop.
    pub(super) stopping: Option<Nanos>,
    /// Its connections that stand, and those that have ended since its start, from whichever side.
    pub(super) open: usize,
    pub(super) ended: u64,
    /// Its talk with the other nodes, if it has any.
    pub(super) talk: Option<Talk>,
}

/// Where a node is reached by the others: at a door of the kit, which passes on what comes.
pub(super) struct Talk {
    pub(super) door: ListenerId,
    pub(super) at: SocketAddr,
    /// Where it really listens.
    pub(super) real: Option<SocketAddr>,
    /// What it has sent.
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
}

pub(super) struct Open {
    pub(super) log: Request,
    pub(super) arrival: usize,
    /// The position of its node among the scene's.
    pub(super) node: usize,
    pub(super) tries: u32,
    pub(super) key: String,
    pub(super) done: bool,
    pub(super) resent: bool,
    /// When its last byte was written to its node.
    pub(super) written: Nanos,
}

/// The peers of all nodes.
pub struct World {
    pub(super) plan: Plan,
    pub(super) net: LoopbackNetwork,
    pub(super) now: Nanos,
    /// Unix time at the scene's start.
    pub(super) base: Nanos,
    pub(super) queue: BTreeMap<(Nanos, u64), Todo>,
    pub(super) next: u64,
    pub(super) sites: Vec<Site>,
    pub(super) nodes: Vec<NodeSide>,
    pub(super) places: BTreeMap<ListenerId, Place>,
    pub(super) peers: BTreeMap<ConnId, Peer>,
    pub(super) list: Discovery,
    pub(super) watches: u64,
    pub(super) requests: Vec<Open>,
    pub(super) ids: HashMap<String, usize>,
    /// When a group of servers first saw a key.
    pub(super) keys: BTreeMap<(String, String), Nanos>,
    /// Tries that are to come or under way.
    pub(super) pending: usize,
    /// Requests at servers that no client has sent in this form.
    pub(super) strangers: u64,
    /// The node that runs now, where only one at a time does.
    pub(super) running: Option<usize>,
    /// Links that do badly now.
    pub(super) bad_links: Vec<BadLink>,
    /// What a cut link holds; bounded by the connections, each of which carries one message at a time.
    pub(super) stuck: Vec<Carried>,
    /// What is lost on links.
    pub(super) random: Random,
    /// What clients do beyond asking and waiting.
    pub(super) misbehaviour: Misbehaviour,
}

impl World {
    pub(super) fn at(&mut self, at: Nanos, todo: Todo) {
        self.queue.insert((at.max(self.now), self.next), todo);
        self.next += 1;
    }

    /// The present, from the scene's start.
    pub fn now(&self) -> Nanos {
        self.now
    }

    /// Unix time at the scene's start.
    pub fn base(&self) -> Nanos {
        self.base
    }

    /// Moves the time on, never back.
    pub fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
    }

    /// When the next thing happens by itself.
    pub fn next(&self) -> Option<Nanos> {
        self.queue.keys().next().map(|(at, _)| *at)
    }

    /// Whether all clients have had their answers, or given up.
    pub fn is_done(&self) -> bool {
        self.pending == 0
            || self.now > self.plan.scenario.spec.length_ms.get_ref() * MILLISECOND + ENDS_AFTER
    }

    /// Bytes read from all nodes so far.
    pub fn bytes_read(&self) -> u64 {
        self.net.bytes_read()
    }

    /// Connections of a node that have ended since its start, from whichever side.
    pub fn ends_of_node(&self, node: usize) -> u64 {
        self.nodes[node].ended
    }

    /// Connections of a node that stand.
    pub fn connections_of(&self, node: usize) -> usize {
        self.nodes[node].open
    }

    /// A connection is new.
    pub(super) fn adopt(&mut self, conn: ConnId, peer: Peer) {
        if let Some(node) = peer.node() {
            self.nodes[node].open += 1;
        }
        self.peers.insert(conn, peer);
    }

    /// A connection is no more, from whichever side.
    pub(super) fn forget(&mut self, conn: ConnId) -> Option<Peer> {
        let peer = self.peers.remove(&conn)?;
        if let Some(node) = peer.node() {
            self.nodes[node].open -= 1;
            self.nodes[node].ended += 1;
        }
        Some(peer)
    }

    /// Requests at servers that no client has sent in this form.
    pub fn strangers(&self) -> u64 {
        self.strangers
    }

    /// Where a node finds its list.
    pub fn list_at(&self, node: usize) -> SocketAddr {
        self.nodes[node].list_at
    }

    /// The most that each server was sent while it was cold, as a multiple of what it could do then, over the
    /// span that counts; by zone.
    pub fn cold_peaks(&self) -> Vec<(String, f64)> {
        self.sites
            .iter()
            .map(|site| (site.zone.clone(), site.cold_peak))
            .collect()
    }

    /// Where servers listen, by name.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.sites.iter().map(|site| (site.name.as_str(), site.at))
    }

    /// The list as it stands, in discovery's form.
    pub fn known(&self) -> serde_json::Value {
        let targets: Vec<&Entry> = self.list.entries().collect();
        serde_json::json!({"rev": 0, "all": true, "targets": targets})
    }

    /// A node takes clients at this address from now on.
    pub fn node_up(&mut self, node: usize, listen: SocketAddr) {
        let node = &mut self.nodes[node];
        (node.listen, node.up, node.paused) = (Some(listen), true, false);
        node.stopping = None;
        node.ended = 0;
        node.told.clear();
        node.told_starts.clear();
    }

    /// Where a node listens, if it ever has.
    pub fn listen_of(&self, node: usize) -> Option<SocketAddr> {
        self.nodes[node].listen
    }

    /// A node's process is no more. What it held is owed to nobody if it was killed.
    pub fn node_down(&mut self, node: usize, killed: bool) {
        self.nodes[node].up = false;
        if killed {
            self.excuse(node);
        }
    }

    pub(super) fn excuse(&mut self, node: usize) {
        let open = self
            .requests
            .iter_mut()
            .filter(|open| !open.done && open.node == node);
        open.for_each(|open| open.log.is_excused = true);
    }

    /// What clients that say nothing, and answers with no length, were owed and did not get.
    pub fn owed(&self) -> Vec<Breach> {
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

    /// Looks at all sockets for at most `wait` and adds what has come.
    pub fn poll(&mut self, wait: Duration, told: &mut Vec<NetworkEvent>) -> io::Result<()> {
        self.net.poll(wait, told)
    }

    /// Puts what several looks have brought into an order that is always the same.
    pub fn in_order(&mut self, told: &mut [NetworkEvent]) -> io::Result<()> {
        self.net.sort_events(told)
    }

    /// Says which node alone runs now, if only one does.
    pub fn set_running(&mut self, node: Option<usize>) {
        self.running = node;
    }

    /// Ends an attempt that has not ended yet.
    pub(super) fn attempt_ends(&mut self, attempt: Option<(usize, usize)>, ended: AttemptOutcome) {
        let Some((request, number)) = attempt else {
            return;
        };
        let attempt = &mut self.requests[request].log.attempts[number];
        if attempt.end.is_none() {
            (attempt.end, attempt.outcome) = (Some(self.now), ended);
        }
    }

    /// Closes a connection from here; its node has news then.
    pub(super) fn close(&mut self, conn: ConnId) -> Option<(usize, u64)> {
        self.net.close(conn);
        let node = match self.forget(conn)? {
            Peer::Server { node, .. } => node,
            Peer::List { node, .. } => Some(node),
            Peer::Client { node, .. } | Peer::Silent { node, .. } => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                Some(node)
            }
        };
        node.map(|node| (node, 0))
    }
}

/// What a server answers, from which its client knows that it was made for it and by whom.
pub(super) fn body(id: &str, server: &str) -> Vec<u8> {
    format!("{id}@{server}").into_bytes()
}

pub(super) fn entry(site: &Site, state: State, base: Nanos) -> Entry {
    Entry {
        uid: site.name.clone(),
        endpoint: site.at,
        az: site.zone.clone(),
        model: "match".to_owned(),
        pod_group: site.cell,
        state,
        capacity_hint: 1.0,
        boot_ms: site
            .booted
            .map_or(0, |booted| (base + booted) / MILLISECOND),
    }
}

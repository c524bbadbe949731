//! All peers of the rehearsed nodes: the stand-ins' models on their sockets, the faults, and the outcome log.
//! One thing at a time happens here, in an order that follows from the plan alone; who moves the time on is left
//! to `run.rs`.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_standins::client::{self, Ask, Verdict};
use badgerpost_standins::discovery::{self, Discovery, Entry, Mode, Reply, State};
use badgerpost_standins::message::{self, Inbox, Message, Side};
use badgerpost_standins::net::{ConnId, Happening, ListenerId, Net};
use badgerpost_standins::server::{Figures, Offer, Server};

use crate::outcome::{Answer, Attempt, Effect, Ended, Request, Scope, Told};
use crate::plan::Plan;
use crate::scene::{Planned, Trouble};
use crate::{MS, Nanos, SECOND};

/// Clients listen for this long past the time that an answer still counts: what comes too late is to be seen.
const LISTENS_ON: Nanos = 30 * MS;
/// On sockets each time limit is this much longer.
pub const SOCKETS: Nanos = 50 * MS;
/// A run ends this long after its last arrival at the latest.
const ENDS_AFTER: Nanos = 15 * SECOND;
/// How often servers refresh their load report.
const REPORT_PERIOD: Nanos = 100 * MS;
/// What a server answers where it is spoilt.
const NOISE: &[u8] = b"HTTP/1.1 2x0 \x01\x02\r\n\r\n";

/// What is to be done at a time.
#[derive(Clone, Debug)]
enum Todo {
    Arrive(usize),
    Retry(usize),
    /// Once more, to this node, as it never read it.
    Resend(usize, usize),
    /// A client's patience ends.
    Due(usize),
    /// A server's next request is done.
    Done(usize),
    Answer(Box<Sending>),
    Reset(ConnId),
    Hang(ConnId),
    WatchOver(ConnId, u64),
    Tell(ConnId),
    FaultOn(usize),
    FaultOff(usize),
    List(usize, State, bool),
    Starts(usize),
    Resume(usize),
}

/// An answer of a server on its way out.
#[derive(Clone, Debug)]
struct Sending {
    conn: ConnId,
    attempt: Option<(usize, usize)>,
    bytes: Vec<u8>,
    ended: Ended,
    resets: bool,
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
}

/// What one step of the world has left for the runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fired {
    /// A node that has news on its sockets, and how many bytes of it.
    pub touched: Option<(usize, u64)>,
    /// Something to do with a process.
    pub order: Option<Order>,
}

#[derive(Clone, Copy)]
enum Place {
    Server(usize),
    List(usize),
}

enum Peer {
    Server { server: usize, node: Option<usize>, inbox: Inbox, attempt: Option<(usize, usize)> },
    List { node: usize, inbox: Inbox, watch: Option<(u64, Option<u64>)> },
    Client { node: usize, inbox: Inbox, open: Option<usize>, last: Option<usize> },
}

struct Job {
    conn: ConnId,
    attempt: Option<(usize, usize)>,
    id: String,
}

/// A server: its model, its socket, and what is wrong with it.
struct Site {
    name: String,
    zone: String,
    cell: u64,
    listener: ListenerId,
    at: SocketAddr,
    model: Server,
    jobs: BTreeMap<u64, Job>,
    next_job: u64,
    /// What has come while the process was paused; bounded by its connections.
    held: Vec<Job>,
    wake: Option<Nanos>,
    troubles: Vec<Trouble>,
    up: bool,
    booted: Option<Nanos>,
}

impl Site {
    fn trouble(&self, wanted: impl Fn(&Trouble) -> bool) -> Option<Trouble> {
        self.troubles.iter().copied().find(wanted)
    }

    fn paused(&self) -> bool {
        self.troubles.contains(&Trouble::PauseServer)
    }
}

/// A node as its peers see it.
struct NodeSide {
    name: String,
    listen: Option<SocketAddr>,
    list_at: SocketAddr,
    up: bool,
    paused: bool,
    /// Its clients' connections with nothing on them.
    idle: Vec<ConnId>,
    /// Servers that it was told drain or are gone, and when.
    told: BTreeMap<usize, Nanos>,
}

struct Open {
    log: Request,
    arrival: usize,
    tries: u32,
    key: String,
    done: bool,
    resent: bool,
}

/// The peers of all nodes.
pub struct World {
    plan: Plan,
    net: Net,
    now: Nanos,
    /// Unix time at the scene's start.
    base: Nanos,
    queue: BTreeMap<(Nanos, u64), Todo>,
    next: u64,
    sites: Vec<Site>,
    nodes: Vec<NodeSide>,
    places: BTreeMap<ListenerId, Place>,
    peers: BTreeMap<ConnId, Peer>,
    list: Discovery,
    watches: u64,
    requests: Vec<Open>,
    ids: HashMap<String, usize>,
    /// When a group of servers first saw a key.
    keys: BTreeMap<(String, String), Nanos>,
    /// Tries that are to come or under way.
    pending: usize,
    /// Requests at servers that no client has sent in this form.
    strangers: u64,
    /// The node that runs now, where only one at a time does.
    running: Option<usize>,
}

impl World {
    /// Sets the stage: all sockets listen.
    pub fn new(plan: Plan, base: Nanos) -> io::Result<Self> {
        let mut net = Net::new()?;
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let scene = plan.scene.clone();
        let rules = &scene.scene.rules;
        let (mut places, mut sites, mut nodes) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut list = Discovery::default();
        for (number, server) in scene.scene.server.iter().enumerate() {
            let (listener, at) = net.listen(loopback)?;
            places.insert(listener, Place::Server(number));
            let figures = Figures {
                slots: server.slots.max(1),
                queue: server.queue,
                speed: *server.speed.get_ref(),
                cold_share: rules.start_share,
                warm_after: rules.warm_ms * MS,
                tip_multiple: rules.tip_multiple,
                fall_span: rules.fall_ms * MS,
                report_period: REPORT_PERIOD,
            };
            let up = server.starts_ms.is_none();
            if !up {
                net.refuse(listener)?;
            }
            let site = Site {
                name: server.name.get_ref().clone(),
                zone: server.zone.clone(),
                cell: server.cell,
                listener,
                at,
                model: Server::new(figures, None, 0),
                jobs: BTreeMap::new(),
                next_job: 0,
                held: Vec::new(),
                wake: None,
                troubles: Vec::new(),
                up,
                booted: None,
            };
            if up {
                list.set(entry(&site, State::Ready, base));
            }
            sites.push(site);
        }
        for (number, node) in scene.scene.node.iter().enumerate() {
            let (listener, list_at) = net.listen(loopback)?;
            places.insert(listener, Place::List(number));
            let name = node.name.get_ref().clone();
            let (idle, told) = (Vec::new(), BTreeMap::new());
            nodes.push(NodeSide { name, listen: None, list_at, up: false, paused: false, idle, told });
        }
        let pending = plan.arrivals.len();
        let mut world = Self {
            net,
            now: 0,
            base,
            queue: BTreeMap::new(),
            next: 0,
            sites,
            nodes,
            places,
            peers: BTreeMap::new(),
            list,
            watches: 0,
            requests: Vec::new(),
            ids: HashMap::new(),
            keys: BTreeMap::new(),
            pending,
            strangers: 0,
            running: None,
            plan,
        };
        for number in 0..world.plan.faults.len() {
            let Planned { at, lasts, .. } = world.plan.faults[number];
            world.at(at, Todo::FaultOn(number));
            lasts.into_iter().for_each(|lasts| world.at(at.saturating_add(lasts), Todo::FaultOff(number)));
        }
        for number in 0..world.plan.arrivals.len() {
            world.at(world.plan.arrivals[number].at, Todo::Arrive(number));
        }
        for (number, server) in scene.scene.server.iter().enumerate() {
            server.starts_ms.into_iter().for_each(|at| world.at(at * MS, Todo::Starts(number)));
        }
        Ok(world)
    }

    fn at(&mut self, at: Nanos, todo: Todo) {
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
        self.pending == 0 || self.now > self.plan.scene.scene.length_ms.get_ref() * MS + ENDS_AFTER
    }

    /// Bytes read from all nodes so far.
    pub fn bytes_read(&self) -> u64 {
        self.net.bytes_read()
    }

    /// Requests at servers that no client has sent in this form.
    pub fn strangers(&self) -> u64 {
        self.strangers
    }

    /// Where a node finds its list.
    pub fn list_at(&self, node: usize) -> SocketAddr {
        self.nodes[node].list_at
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
        node.told.clear();
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

    fn excuse(&mut self, node: usize) {
        let name = &self.nodes[node].name;
        let open = self.requests.iter_mut().filter(|open| !open.done && open.log.node == *name);
        open.for_each(|open| open.log.excused = true);
    }

    /// The log, sorted by arrival.
    pub fn into_log(mut self) -> Vec<Request> {
        self.requests.sort_by(|a, b| (a.log.arrival, &a.log.id).cmp(&(b.log.arrival, &b.log.id)));
        self.requests.into_iter().map(|open| open.log).collect()
    }

    /// Looks at all sockets for at most `wait` and adds what has come.
    pub fn poll(&mut self, wait: Duration, told: &mut Vec<Happening>) -> io::Result<()> {
        self.net.poll(wait, told)
    }

    /// Says which node alone runs now, if only one does.
    pub fn set_running(&mut self, node: Option<usize>) {
        self.running = node;
    }

    /// Does the next thing. Something is written to one connection at most.
    pub fn fire(&mut self) -> io::Result<Fired> {
        let Some(((at, _), todo)) = self.queue.pop_first() else { return Ok(Fired::default()) };
        self.advance(at);
        let touched = match todo {
            Todo::Arrive(number) => self.arrive(number, None),
            Todo::Retry(of) => self.arrive(self.requests[of].arrival, Some(of)),
            Todo::Resend(request, node) => self.put(request, node, true),
            Todo::Due(request) => self.due(request),
            Todo::Done(server) => {
                self.server_done(server);
                None
            }
            Todo::Answer(sending) => self.send(*sending),
            Todo::Reset(conn) => self.reset(conn),
            Todo::Hang(conn) => self.close(conn),
            Todo::WatchOver(conn, number) => self.watch_over(conn, number),
            Todo::Tell(conn) => self.tell(conn),
            Todo::FaultOn(number) => return self.fault(number, true),
            Todo::FaultOff(number) => return self.fault(number, false),
            Todo::List(server, state, lists) => {
                self.list_state(server, state, lists);
                None
            }
            Todo::Starts(server) => {
                self.boot(server)?;
                None
            }
            Todo::Resume(server) => {
                self.resume(server);
                None
            }
        };
        Ok(Fired { touched, order: None })
    }

    /// Takes in what has come on a socket.
    pub fn happened(&mut self, happening: Happening) {
        match happening {
            Happening::Opened { listener, conn } => {
                let peer = match self.places.get(&listener) {
                    Some(&Place::Server(server)) => {
                        let inbox = Inbox::new(Side::Requests);
                        Peer::Server { server, node: self.running, inbox, attempt: None }
                    }
                    Some(&Place::List(node)) => {
                        Peer::List { node, inbox: Inbox::new(Side::Requests), watch: None }
                    }
                    None => return,
                };
                self.peers.insert(conn, peer);
            }
            Happening::Bytes { conn, bytes } => match self.peers.get_mut(&conn) {
                Some(Peer::Server { inbox, .. }) => {
                    inbox.push(&bytes);
                    self.server_reads(conn);
                }
                Some(Peer::List { inbox, .. }) => {
                    inbox.push(&bytes);
                    self.list_reads(conn);
                }
                Some(Peer::Client { inbox, .. }) => {
                    inbox.push(&bytes);
                    self.client_reads(conn);
                }
                None => {}
            },
            Happening::Ended { conn, .. } => self.ended(conn),
        }
    }

    fn ended(&mut self, conn: ConnId) {
        match self.peers.remove(&conn) {
            Some(Peer::Server { attempt, .. }) => self.attempt_ends(attempt, Ended::Abandoned),
            Some(Peer::Client { node, open, last, .. }) => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                if let Some(open) = open {
                    self.client_cut_off(open, last.is_some());
                }
            }
            Some(Peer::List { .. }) | None => {}
        }
    }

    /// Ends an attempt that has not ended yet.
    fn attempt_ends(&mut self, attempt: Option<(usize, usize)>, ended: Ended) {
        let Some((request, number)) = attempt else { return };
        let attempt = &mut self.requests[request].log.attempts[number];
        if attempt.end.is_none() {
            (attempt.end, attempt.ended) = (Some(self.now), ended);
        }
    }

    // The clients.

    /// A try comes to a node: the first one of an arrival, or one more after another.
    fn arrive(&mut self, arrival: usize, of: Option<usize>) -> Option<(usize, u64)> {
        let plan = self.plan.arrivals[arrival];
        let class = &self.plan.scene.scene.class[plan.class];
        let tries = of.map_or(0, |of| self.requests[of].tries + 1);
        let id = match tries {
            0 => format!("{:016x}", plan.number),
            tries => format!("{:016x}-{tries}", plan.number),
        };
        let dedup = (class.effect == Effect::Keyed).then_some((class.scope, class.window_ms * MS));
        // The system before the nodes has noticed by now which of them are down.
        let count = self.nodes.len();
        let up = (0..count).map(|step| (plan.node + step) % count).find(|node| self.nodes[*node].up);
        let node = up.unwrap_or(plan.node);
        let log = Request {
            id: id.clone(),
            again: of.map(|of| self.requests[of].log.id.clone()),
            class: class.name.get_ref().clone(),
            effect: class.effect,
            dedup,
            node: self.nodes[node].name.clone(),
            arrival: self.now,
            budget: class.deadline_ms.get_ref() * MS,
            attempts: Vec::new(),
            answer: None,
            surplus: 0,
            excused: self.nodes[node].paused,
        };
        let key = format!("{:x}-{:08x}", self.plan.seed, plan.number);
        let number = self.requests.len();
        self.ids.insert(id, number);
        let rules = &self.plan.scene.scene.rules;
        let due = self.now + log.budget + rules.answer_slack_ms * MS + SOCKETS + LISTENS_ON;
        self.requests.push(Open { log, arrival, tries, key, done: false, resent: false });
        self.at(due, Todo::Due(number));
        if up.is_none() {
            self.requests[number].log.excused = true;
            self.finish(number, true);
            return None;
        }
        self.put(number, node, false)
    }

    /// Writes a request to a node, on an idle connection or a new one.
    fn put(&mut self, number: usize, node: usize, fresh: bool) -> Option<(usize, u64)> {
        let kept = if fresh { None } else { self.nodes[node].idle.pop() };
        let conn = match kept {
            Some(conn) => conn,
            None => {
                let connected = self.nodes[node].listen.and_then(|at| self.net.connect(at).ok());
                let Some(conn) = connected else {
                    // Nobody listens there any more: nothing was taken.
                    self.requests[number].log.excused = true;
                    self.finish(number, true);
                    return None;
                };
                let inbox = Inbox::new(Side::Answers);
                self.peers.insert(conn, Peer::Client { node, inbox, open: None, last: None });
                conn
            }
        };
        let Open { log, key, tries, .. } = &self.requests[number];
        let effect = match log.effect {
            Effect::Safe => client::Effect::Safe,
            Effect::Keyed => client::Effect::Keyed,
            Effect::Unsafe => client::Effect::Unsafe,
        };
        let ask = Ask { id: &log.id, class: &log.class, effect, key, budget: log.budget, again: *tries > 0 };
        let written = self.net.write(conn, &ask.bytes());
        if let Some(Peer::Client { open, .. }) = self.peers.get_mut(&conn) {
            *open = Some(number);
        }
        Some((node, written as u64))
    }

    fn client_reads(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(Peer::Client { node, inbox, open, last }) = self.peers.get_mut(&conn) else { return };
        let node = *node;
        let Some(request) = *open else {
            // Bytes that nobody asked for.
            let surplus = u64::from(inbox.begun());
            last.iter().for_each(|last| self.requests[*last].log.surplus += surplus);
            self.drop_client(conn, node);
            return;
        };
        match inbox.take() {
            Ok(None) => {}
            Ok(Some(answer)) => {
                (*open, *last) = (None, Some(request));
                let surplus = u64::from(inbox.begun());
                let told = self.answered(request, &answer, now);
                self.requests[request].log.surplus += surplus;
                if answer.closes() || surplus > 0 {
                    self.drop_client(conn, node);
                } else {
                    self.nodes[node].idle.push(conn);
                }
                self.finish(request, told != Told::Served);
            }
            Err(_) => {
                // No answer at all, and no more will come of this connection.
                *open = None;
                self.drop_client(conn, node);
                self.finish(request, true);
            }
        }
    }

    fn drop_client(&mut self, conn: ConnId, node: usize) {
        self.net.close(conn);
        self.peers.remove(&conn);
        self.nodes[node].idle.retain(|idle| *idle != conn);
    }

    fn answered(&mut self, request: usize, answer: &Message, now: Nanos) -> Told {
        let log = &mut self.requests[request].log;
        let told = match client::verdict(answer) {
            Verdict::Served => Told::Served,
            Verdict::Refused { .. } => Told::Refused,
            Verdict::Failed => Told::Failed,
        };
        let own = log
            .attempts
            .iter()
            .any(|attempt| attempt.ended == Ended::Served && answer.body == body(&log.id, &attempt.server));
        log.answer = Some(Answer { at: now, told, status: answer.status, own });
        if let Verdict::Refused { pause } = client::verdict(answer) {
            self.retry(request, pause);
        } else if told == Told::Failed {
            self.retry(request, 0);
        }
        told
    }

    /// A try has come to its end; what the client does then has been seen to where it got an answer.
    fn finish(&mut self, request: usize, lost: bool) {
        let open = &mut self.requests[request];
        if std::mem::replace(&mut open.done, true) {
            return;
        }
        if lost && open.log.answer.is_none() {
            self.retry(request, 0);
        }
        self.pending -= 1;
    }

    fn retry(&mut self, request: usize, pause: Nanos) {
        let clients = &self.plan.scene.scene.clients;
        let open = &self.requests[request];
        let refused = open.log.answer.is_some_and(|answer| answer.told == Told::Refused);
        let harmless = refused || open.log.effect != Effect::Unsafe;
        if open.tries < clients.retries && harmless {
            let wait = pause.max(clients.backoff_ms * MS).max(MS);
            self.pending += 1;
            self.at(self.now + wait, Todo::Retry(request));
        }
    }

    /// The node has ended the connection of an open request.
    fn client_cut_off(&mut self, request: usize, reused: bool) {
        let open = &mut self.requests[request];
        let unread = reused && open.log.attempts.is_empty() && !open.resent;
        let node = self.nodes.iter().position(|node| node.name == open.log.node);
        if let Some(node) = node.filter(|node| unread && self.nodes[*node].up) {
            // It crossed a request that the node had not read: once more, on a new connection.
            open.resent = true;
            self.at(self.now, Todo::Resend(request, node));
            return;
        }
        self.finish(request, true);
    }

    fn due(&mut self, request: usize) -> Option<(usize, u64)> {
        if self.requests[request].done {
            return None;
        }
        let holds = |peer: &Peer| matches!(peer, Peer::Client { open: Some(open), .. } if *open == request);
        let conn = self.peers.iter().find(|(_, peer)| holds(peer)).map(|(conn, _)| *conn);
        self.finish(request, true);
        self.close(conn?)
    }

    /// Closes a connection from here; its node has news then.
    fn close(&mut self, conn: ConnId) -> Option<(usize, u64)> {
        self.net.close(conn);
        let node = match self.peers.remove(&conn)? {
            Peer::Server { node, .. } => node,
            Peer::List { node, .. } => Some(node),
            Peer::Client { node, .. } => {
                self.nodes[node].idle.retain(|idle| *idle != conn);
                Some(node)
            }
        };
        node.map(|node| (node, 0))
    }

    // The servers.

    fn server_reads(&mut self, conn: ConnId) {
        loop {
            let Some(Peer::Server { server, inbox, .. }) = self.peers.get_mut(&conn) else { return };
            let server = *server;
            match inbox.take() {
                Ok(None) => return,
                Ok(Some(message)) => self.serve(conn, server, &message),
                // A node that says what can't be read gets nothing.
                Err(_) => {
                    self.strangers += 1;
                    self.at(self.now, Todo::Reset(conn));
                    return;
                }
            }
        }
    }

    fn serve(&mut self, conn: ConnId, server: usize, message: &Message) {
        let id = message.value("x-call-id").unwrap_or_default().to_owned();
        let request = self.ids.get(&id).copied();
        if request.is_none() {
            self.strangers += 1;
        }
        let now = self.now;
        let site = &self.sites[server];
        let attempt = request.map(|request| {
            let open = &mut self.requests[request];
            let node = self.nodes.iter().find(|node| node.name == open.log.node);
            let told = node.and_then(|node| node.told.get(&server));
            open.log.attempts.push(Attempt {
                server: site.name.clone(),
                zone: site.zone.clone(),
                cell: site.cell,
                start: now,
                end: None,
                ended: Ended::Open,
                ran: false,
                told_for: told.map(|told| now - told),
                felled: false,
            });
            (request, open.log.attempts.len() - 1)
        });
        if let Some(Peer::Server { attempt: current, node, .. }) = self.peers.get_mut(&conn) {
            *current = attempt;
            let of = request.map(|request| &self.requests[request].log.node);
            *node = node.or_else(|| self.nodes.iter().position(|node| Some(&node.name) == of));
        }
        let job = Job { conn, attempt, id };
        if site.paused() {
            // It has come, and is seen to once the process runs again.
            self.sites[server].held.push(job);
        } else {
            self.work(server, job);
        }
    }

    /// A server sees to a request.
    fn work(&mut self, server: usize, job: Job) {
        let now = self.now;
        let Job { conn, attempt, ref id } = job;
        let request = attempt.map(|(request, _)| request);
        if self.sites[server].trouble(|trouble| *trouble == Trouble::Hang).is_some() {
            return;
        }
        let away = Sending {
            conn,
            attempt,
            bytes: message::answer(503, &self.report(server, "X-Rejected: 1\r\n"), b""),
            ended: Ended::TurnedAway,
            resets: false,
        };
        if self.sites[server].trouble(|trouble| *trouble == Trouble::TurnAway).is_some() {
            self.at(now, Todo::Answer(Box::new(away)));
            return;
        }
        if request.is_some_and(|request| self.is_repeat(request, server)) {
            let bytes = message::answer(200, &self.report(server, ""), &body(id, &self.sites[server].name));
            self.at(now, Todo::Answer(Box::new(Sending { bytes, ended: Ended::Served, ..away })));
            return;
        }
        let work = request.map_or(self.plan.scene.scene.class[0].work_ms.get_ref().0 * MS, |request| {
            self.plan.arrivals[self.requests[request].arrival].work
        });
        let site = &mut self.sites[server];
        let ticket = site.next_job;
        site.next_job += 1;
        let offer = site.model.offer(now, ticket, work);
        if let Some((request, number)) = attempt {
            let attempt = &mut self.requests[request].log.attempts[number];
            (attempt.ran, attempt.felled) = (offer == Offer::Taken, offer == Offer::Felled);
        }
        match offer {
            Offer::Taken => {
                site.jobs.insert(ticket, job);
                self.wake(server);
            }
            Offer::TurnedAway => self.at(now, Todo::Answer(Box::new(away))),
            Offer::Felled => {
                // It stays down: there is nobody left to say more than the system does.
                let _ = self.shut(server);
            }
        }
    }

    /// Whether a keyed request was seen by the server's group within the window; it is from now on.
    fn is_repeat(&mut self, request: usize, server: usize) -> bool {
        let Open { log, key, .. } = &self.requests[request];
        let Some((scope, window)) = log.dedup else { return false };
        let site = &self.sites[server];
        let group = match scope {
            Scope::All => String::new(),
            Scope::Zone => site.zone.clone(),
            Scope::Cell => format!("{}", site.cell),
        };
        let now = self.now;
        // Kept for as long as a run lasts: its requests are bounded, and so are their keys.
        let seen = self.keys.entry((group, key.clone())).or_insert(now);
        let repeat = *seen < now && now - *seen < window;
        if now - *seen >= window {
            *seen = now;
        }
        repeat
    }

    fn report(&mut self, server: usize, more: &str) -> String {
        let util = self.sites[server].model.util(self.now);
        format!("X-Load-Report: {{\"util\":{util:.4}}}\r\n{more}")
    }

    fn wake(&mut self, server: usize) {
        let site = &mut self.sites[server];
        let next = site.model.next_done();
        if let Some(next) = next.filter(|next| site.wake.is_none_or(|wake| *next < wake)) {
            site.wake = Some(next);
            self.at(next, Todo::Done(server));
        }
    }

    /// One request of a server is done, if it is still that server's life in which it was begun.
    fn server_done(&mut self, server: usize) {
        let now = self.now;
        let site = &mut self.sites[server];
        site.wake = None;
        if site.paused() || !site.up {
            return;
        }
        let job = site.model.take_done(now).and_then(|ticket| site.jobs.remove(&ticket));
        self.wake(server);
        let Some(Job { conn, attempt, id }) = job else { return };
        let headers = self.report(server, "");
        let site = &self.sites[server];
        let mut sending = Sending {
            conn,
            attempt,
            bytes: message::answer(200, &headers, &body(&id, &site.name)),
            ended: Ended::Served,
            resets: false,
        };
        let mut at = now;
        for trouble in &site.troubles {
            match *trouble {
                Trouble::Fail => {
                    (sending.bytes, sending.ended) = (message::answer(500, &headers, b""), Ended::Error)
                }
                Trouble::Spoilt => (sending.bytes, sending.ended) = (NOISE.to_vec(), Ended::Spoilt),
                Trouble::Reset { after } => {
                    sending.bytes.truncate(usize::try_from(after).unwrap_or(usize::MAX));
                    (sending.ended, sending.resets) = (Ended::Reset, true);
                }
                Trouble::Late { by } => at = at.saturating_add(by),
                _ => {}
            }
        }
        self.at(at, Todo::Answer(Box::new(sending)));
    }

    fn send(&mut self, sending: Sending) -> Option<(usize, u64)> {
        let Sending { conn, attempt, bytes, ended, resets } = sending;
        let Some(Peer::Server { server, node, attempt: current, .. }) = self.peers.get_mut(&conn) else {
            self.attempt_ends(attempt, Ended::Abandoned);
            return None;
        };
        let (server, node) = (*server, *node);
        // The connection of another life of this server would have gone with that.
        if self.sites[server].paused() || *current != attempt {
            if self.sites[server].paused() {
                self.at(
                    self.now + MS,
                    Todo::Answer(Box::new(Sending { conn, attempt, bytes, ended, resets })),
                );
            }
            return None;
        }
        *current = None;
        self.attempt_ends(attempt, ended);
        let written = self.net.write(conn, &bytes);
        if resets {
            self.at(self.now, Todo::Reset(conn));
        }
        node.map(|node| (node, written as u64))
    }

    fn reset(&mut self, conn: ConnId) -> Option<(usize, u64)> {
        self.net.reset(conn);
        let Some(Peer::Server { node, attempt, .. }) = self.peers.remove(&conn) else { return None };
        self.attempt_ends(attempt, Ended::Reset);
        node.map(|node| (node, 0))
    }

    /// A server's process is no more: its connections are reset and new ones are refused.
    fn shut(&mut self, server: usize) -> io::Result<()> {
        let site = &mut self.sites[server];
        site.up = false;
        site.jobs.clear();
        site.held.clear();
        self.net.refuse(site.listener)?;
        let of = |peer: &Peer| matches!(peer, Peer::Server { server: of, .. } if *of == server);
        let conns: Vec<ConnId> =
            self.peers.iter().filter(|(_, peer)| of(peer)).map(|(conn, _)| *conn).collect();
        conns.into_iter().for_each(|conn| self.at(self.now, Todo::Reset(conn)));
        Ok(())
    }

    /// A server's process starts, cold.
    fn boot(&mut self, server: usize) -> io::Result<()> {
        let now = self.now;
        let site = &mut self.sites[server];
        site.model.restart(now);
        (site.up, site.booted, site.wake) = (true, Some(now), None);
        site.jobs.clear();
        self.net.accept_again(site.listener)?;
        let notice = self.plan.scene.scene.discovery.notice_ms * MS;
        self.at(now + notice, Todo::List(server, State::Ready, true));
        Ok(())
    }

    fn resume(&mut self, server: usize) {
        for job in std::mem::take(&mut self.sites[server].held) {
            self.work(server, job);
        }
        self.wake(server);
    }

    // The list.

    fn list_state(&mut self, server: usize, state: State, lists: bool) {
        if lists {
            let entry = entry(&self.sites[server], state, self.base);
            self.list.set(entry);
        } else {
            self.list.set_state(&self.sites[server].name.clone(), state);
        }
        self.news();
    }

    /// Whoever waits for news of the list gets it, one after the other.
    fn news(&mut self) {
        let waits = |peer: &Peer| matches!(peer, Peer::List { watch: Some(_), .. });
        let conns: Vec<ConnId> =
            self.peers.iter().filter(|(_, peer)| waits(peer)).map(|(conn, _)| *conn).collect();
        conns.into_iter().for_each(|conn| self.at(self.now, Todo::Tell(conn)));
    }

    fn list_reads(&mut self, conn: ConnId) {
        let Some(Peer::List { inbox, watch, .. }) = self.peers.get_mut(&conn) else { return };
        let message = match inbox.take() {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => {
                self.strangers += 1;
                self.at(self.now, Todo::Hang(conn));
                return;
            }
        };
        let Some((from, hold)) = discovery::read_target(&message.target) else {
            self.strangers += 1;
            self.at(self.now, Todo::Hang(conn));
            return;
        };
        self.watches += 1;
        *watch = Some((self.watches, from));
        let until = self.now + if self.list.ask(from, hold) == Reply::Hold { hold } else { 0 };
        let todo = Todo::WatchOver(conn, self.watches);
        self.at(until, todo);
    }

    fn watch_over(&mut self, conn: ConnId, number: u64) -> Option<(usize, u64)> {
        let Some(Peer::List { watch: Some((waits, from)), .. }) = self.peers.get(&conn) else { return None };
        let reply = (*waits == number).then(|| self.list.ask(*from, 0))?;
        self.reply(conn, reply)
    }

    fn tell(&mut self, conn: ConnId) -> Option<(usize, u64)> {
        let Some(Peer::List { watch: Some((_, from)), .. }) = self.peers.get(&conn) else { return None };
        let reply = self.list.ask(*from, 1);
        self.reply(conn, reply)
    }

    fn reply(&mut self, conn: ConnId, reply: Reply) -> Option<(usize, u64)> {
        let bytes = match &reply {
            Reply::Answer(text) => message::answer(200, "", text.as_bytes()),
            Reply::Fail => message::answer(503, "", b""),
            Reply::Hold | Reply::Silence => return None,
        };
        let Some(Peer::List { node, watch, .. }) = self.peers.get_mut(&conn) else { return None };
        *watch = None;
        let node = *node;
        if let Reply::Answer(text) = &reply {
            self.node_told(node, text);
        }
        Some((node, self.net.write(conn, &bytes) as u64))
    }

    /// Notes what a node has been told of drains. A list that is none tells nothing, and an empty one that the
    /// registry answers after a hiccup says of no server that it has left.
    fn node_told(&mut self, node: usize, text: &str) {
        let Ok(list) = serde_json::from_str::<serde_json::Value>(text) else { return };
        let (Some(all), Some(targets)) = (list["all"].as_bool(), list["targets"].as_array()) else { return };
        if all && targets.is_empty() {
            return;
        }
        let now = self.now;
        let states: HashMap<&str, &str> =
            targets.iter().filter_map(|t| Some((t["uid"].as_str()?, t["state"].as_str()?))).collect();
        let told = &mut self.nodes[node].told;
        for (number, site) in self.sites.iter().enumerate() {
            match states.get(site.name.as_str()) {
                Some(&"Ready") => {
                    told.remove(&number);
                }
                Some(_) => {
                    told.entry(number).or_insert(now);
                }
                // Not on a whole list: gone, or not there yet, which comes to the same.
                None if all => {
                    told.entry(number).or_insert(now);
                }
                None => {}
            }
        }
    }

    // The faults.

    fn fault(&mut self, number: usize, begins: bool) -> io::Result<Fired> {
        let Planned { whom, trouble, .. } = self.plan.faults[number];
        let order = |order| Ok(Fired { touched: None, order: Some(order) });
        let notice = self.now + self.plan.scene.scene.discovery.notice_ms * MS;
        match (trouble, begins) {
            (Trouble::Drain | Trouble::Gone, _) => {
                let state = match trouble {
                    _ if !begins => State::Ready,
                    Trouble::Drain => State::Terminating,
                    _ => State::Gone,
                };
                self.at(notice, Todo::List(whom, state, false));
            }
            (Trouble::KillServer, true) if self.sites[whom].up => {
                self.shut(whom)?;
                self.at(notice, Todo::List(whom, State::Gone, false));
            }
            (Trouble::KillServer, false) if !self.sites[whom].up => self.boot(whom)?,
            (Trouble::KillServer, _) => {}
            (Trouble::List(mode), _) => {
                self.list.set_mode(if begins { mode } else { Mode::Good });
                self.news();
            }
            (Trouble::KillNode, true) if self.nodes[whom].up => return order(Order::Kill(whom)),
            (Trouble::StopNode, true) if self.nodes[whom].up => return order(Order::Stop(whom)),
            (Trouble::KillNode | Trouble::StopNode, false) if !self.nodes[whom].up => {
                return order(Order::Start(whom));
            }
            (Trouble::PauseNode, true) if self.nodes[whom].up => {
                self.nodes[whom].paused = true;
                self.excuse(whom);
                return order(Order::Pause(whom));
            }
            (Trouble::PauseNode, false) if self.nodes[whom].paused => {
                self.nodes[whom].paused = false;
                return order(Order::Resume(whom));
            }
            (Trouble::KillNode | Trouble::StopNode | Trouble::PauseNode, _) => {}
            (_, true) => {
                if trouble == Trouble::Refuse && self.sites[whom].up {
                    self.net.refuse(self.sites[whom].listener)?;
                }
                self.sites[whom].troubles.push(trouble);
            }
            (_, false) => {
                let site = &mut self.sites[whom];
                if let Some(at) = site.troubles.iter().position(|active| *active == trouble) {
                    site.troubles.remove(at);
                }
                if trouble == Trouble::Refuse && site.up && !site.troubles.contains(&Trouble::Refuse) {
                    self.net.accept_again(site.listener)?;
                }
                if trouble == Trouble::PauseServer {
                    self.at(self.now, Todo::Resume(whom));
                }
            }
        }
        Ok(Fired::default())
    }
}

/// What a server answers, from which its client knows that it was made for it and by whom.
fn body(id: &str, server: &str) -> Vec<u8> {
    format!("{id}@{server}").into_bytes()
}

fn entry(site: &Site, state: State, base: Nanos) -> Entry {
    Entry {
        uid: site.name.clone(),
        endpoint: site.at,
        az: site.zone.clone(),
        model: "match".to_owned(),
        pod_group: site.cell,
        state,
        capacity_hint: 1.0,
        boot_ms: site.booted.map_or(0, |booted| (base + booted) / MS),
    }
}

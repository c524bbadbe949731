//! The clients' side: first packets, proof of identity, and each session's bytes between its client and the server
//! connection that it has at the moment. No more is read from either side than the other takes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_engine::{Asked, Ending, Reply, Sparing, Ticket, progress, spawn};
use badgerpost_pgsession::answer::{self, Reason, Status};
use badgerpost_pgsession::frame::{Cut, Cutter, Frame};
use badgerpost_pgsession::scram::{self, Verifier};
use badgerpost_pgsession::session::{Action, Event, Session};
use badgerpost_pgsession::startup::{First, Startup, Wanted};
use brookfield::{Nanos, Outcome};
use bytes::{BufMut, Bytes, BytesMut};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};

use crate::config::{Config, repeatable};
use crate::upstream::{Link, Pool};
use crate::{Fleet, Grant, Wish};

/// A client has shown who it is by then, or is let go: those who never do must not fill the seats.
const IDENTIFIED_WITHIN: Duration = Duration::from_secs(5);
/// Wait before the next accept after one failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// What waits to be written to a side is no more than this and one reading; then the other is not read.
const UNSENT: usize = 64 * 1024;
const READ_AT_ONCE: usize = 16 * 1024;
/// A client takes its last words in within this time.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// What a client is told of the server before it has one. Those of its own start-up that it sees are its wishes.
const PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// A statement's server connection: where, and by which key it is cancelled.
type Target = (SocketAddr, (i32, i32));

/// Whom a cancel key is about.
struct Cancel {
    key: Bytes,
    /// The connection on which a statement runs now.
    target: Rc<RefCell<Option<Target>>>,
    /// Cancels that are on their way to a server.
    under_way: Rc<Cell<u32>>,
}

/// What all sessions share.
pub struct Front {
    config: Config,
    users: BTreeMap<String, Verifier>,
    /// For exchanges with unknown users.
    secret: [u8; 32],
    fleet: Fleet,
    pool: Rc<Pool>,
    connected: Cell<usize>,
    cancels: RefCell<BTreeMap<u32, Cancel>>,
    next: Cell<u32>,
}

impl Front {
    /// A front of this fleet.
    pub fn new(
        config: Config,
        users: BTreeMap<String, Verifier>,
        fleet: Fleet,
        pool: Rc<Pool>,
    ) -> Result<Rc<Self>, getrandom::Error> {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret)?;
        let (connected, cancels, next) = (Cell::new(0), RefCell::default(), Cell::new(1));
        Ok(Rc::new(Self { config, users, secret, fleet, pool, connected, cancels, next }))
    }

    /// Serves until `stopping` says so, and then until all transactions under way have ended.
    pub async fn run(self: Rc<Self>, listener: TcpListener, mut stopping: watch::Receiver<bool>) {
        let clock = self.fleet.clock().clone();
        let mut sparing = Sparing::new(clock.clone());
        let sessions = stopping.clone();
        let accepting = async {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (front, stopping) = (self.clone(), sessions.clone());
                        spawn(async move { front.welcome(stream, stopping).await });
                    }
                    Err(error) => {
                        sparing.say(|more| tracing::warn!("postgres: accept: {error} ({more} more)"));
                        clock.sleep(ACCEPT_AGAIN).await;
                    }
                }
            }
        };
        tokio::select! {
            biased;
            () = accepting => {}
            _ = stopping.wait_for(|stopping| *stopping) => {}
        }
        drop(listener);
        while self.connected.get() > 0 {
            clock.sleep(ACCEPT_AGAIN).await;
        }
    }

    async fn welcome(self: Rc<Self>, stream: TcpStream, stopping: watch::Receiver<bool>) {
        let _ = stream.set_nodelay(true);
        self.connected.set(self.connected.get() + 1);
        let seat = Seat(self.clone());
        let mut client = Client { stream, cutter: Cutter::default() };
        if self.connected.get() > self.config.clients {
            let reason = Reason::Refused { wait_ms: 1000 };
            let _ = client
                .say(&[answer::error(reason, Some("all of the node's client connections are in use"))])
                .await;
            return;
        }
        let clock = self.fleet.clock().clone();
        let known = clock.timeout(IDENTIFIED_WITHIN, self.identify(&mut client)).await;
        match known {
            Ok(Ok(Some(wanted))) => self.converse(client, &wanted, stopping).await,
            Ok(Ok(None)) => {}
            Ok(Err(error)) => tracing::debug!("postgres: a client is turned away: {error}"),
            Err(_) => tracing::debug!("postgres: a client did not show who it is in time"),
        }
        drop(seat);
    }

    /// A client's first packets, up to its identity. None where it wanted no session.
    async fn identify(&self, client: &mut Client) -> Result<Option<Wanted>, Trouble> {
        let mut startup = Startup::default();
        let wanted = loop {
            let first = match startup.take() {
                Ok(Some(first)) => first,
                Ok(None) => {
                    let mut buffer = [0; 1024];
                    let read = client.stream.read(&mut buffer).await?;
                    if read == 0 {
                        return Ok(None);
                    }
                    progress::read(read);
                    startup.push(&buffer[..read]);
                    continue;
                }
                Err(error) => {
                    client.say(&[answer::error(Reason::Protocol, Some(&error.to_string()))]).await?;
                    return Err(Trouble::Start(error));
                }
            };
            match first {
                First::Tls | First::Gss => client.write(b"N").await?,
                First::Cancel { process, key } => {
                    self.cancel(process, &key).await;
                    return Ok(None);
                }
                First::Session(wanted) => break wanted,
            }
        };
        client.cutter.push(&startup.rest());
        if let Some(body) = &wanted.negotiate {
            client.say(&[Frame::new(b'v', body.clone())]).await?;
        }
        match self.prove(client, &wanted.user).await {
            Err(Trouble::Identity(why)) => {
                client.say(&[answer::error(Reason::Identity, None)]).await?;
                Err(Trouble::Identity(why))
            }
            Err(other) => Err(other),
            Ok(()) => Ok(Some(wanted)),
        }
    }

    /// The exchange by which a client shows that it knows its password.
    async fn prove(&self, client: &mut Client, user: &str) -> Result<(), Trouble> {
        let known = self.users.get(user).cloned();
        let verifier = known.unwrap_or_else(|| Verifier::unknown(&self.secret, user));
        client.say(&[request(10, &[scram::PLAIN.as_bytes(), b"\0\0"].concat())]).await?;
        let first = client.password().await?;
        let name = first.first_string().ok_or(Trouble::Identity(scram::Refused::Malformed))?;
        let mechanism = String::from_utf8_lossy(name).into_owned();
        // Its length stands before the message itself.
        let message = first.body.get(name.len() + 5..).unwrap_or_default();
        let nonce = random::<18>()?.map(|byte| char::from(b'a' + byte % 26)).iter().collect::<String>();
        let begun = scram::begin(verifier, &mechanism, message, None, &nonce);
        let (exchange, answer) = begun.map_err(Trouble::Identity)?;
        client.say(&[request(11, answer.as_bytes())]).await?;
        let last = client.password().await?;
        let answer = exchange.finish(&last.body).map_err(Trouble::Identity)?;
        client.say(&[request(12, answer.as_bytes()), request(0, b"")]).await?;
        Ok(())
    }

    async fn cancel(&self, process: u32, key: &[u8]) {
        let found = {
            let cancels = self.cancels.borrow();
            let known = cancels.get(&process).filter(|cancel| bool::from(cancel.key.ct_eq(key)));
            known.and_then(|cancel| {
                let target = (*cancel.target.borrow())?;
                Some((target, cancel.under_way.clone()))
            })
        };
        let Some(((endpoint, server_key), under_way)) = found else { return };
        // Until the server has heard, the connection is given to nobody else.
        under_way.set(under_way.get() + 1);
        self.pool.cancel(endpoint, server_key).await;
        under_way.set(under_way.get().saturating_sub(1));
    }

    async fn converse(self: &Rc<Self>, mut client: Client, wanted: &Wanted, stopping: watch::Receiver<bool>) {
        let Ok(key) = random::<4>() else { return };
        let number = self.next.get();
        self.next.set(number.wrapping_add(1).max(1));
        let (target, under_way) = (Rc::new(RefCell::new(None)), Rc::new(Cell::new(0)));
        let cancel = Cancel {
            key: Bytes::copy_from_slice(&key),
            target: target.clone(),
            under_way: under_way.clone(),
        };
        self.cancels.borrow_mut().insert(number, cancel);
        let mut greeting: Vec<Frame> = PARAMETERS
            .iter()
            .map(|(name, value)| (*name, *value))
            .chain([
                ("application_name", wanted.application()),
                ("session_authorization", wanted.user.as_str()),
            ])
            .map(|(name, value)| Frame::new(b'S', format!("{name}\0{value}\0").into_bytes()))
            .collect();
        let mut body = BytesMut::new();
        body.put_u32(number);
        body.put_slice(&key);
        greeting.extend([Frame::new(b'K', body.freeze()), Status::Idle.ready()]);
        if client.say(&greeting).await.is_ok() {
            let (grant, grants) = mpsc::channel(1);
            let call = Wish { database: wanted.database.clone(), grant };
            let class = self.config.class_of(&wanted.user, &wanted.database, wanted.application());
            let class = class.map(|class| (class.name.clone(), class.repeatable)).unwrap_or_default();
            let relay = Relay {
                front: self.clone(),
                session: Session::default(),
                number,
                asked: 0,
                class,
                call,
                grants,
                held: None,
                waiting: None,
                to_client: BytesMut::new(),
                to_server: BytesMut::new(),
                target,
                under_way,
                ended: false,
            };
            relay.run(client, stopping).await;
        }
        self.cancels.borrow_mut().remove(&number);
    }
}

/// A client's place; free again once this is dropped.
struct Seat(Rc<Front>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.connected.set(self.0.connected.get().saturating_sub(1));
    }
}

fn random<const N: usize>() -> Result<[u8; N], Trouble> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|_| Trouble::Random)?;
    Ok(bytes)
}

/// An authentication request.
fn request(kind: u32, rest: &[u8]) -> Frame {
    Frame::new(b'R', [&kind.to_be_bytes(), rest].concat())
}

#[derive(Debug, thiserror::Error)]
enum Trouble {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Start(badgerpost_pgsession::startup::BadStart),
    #[error("{0}")]
    Frame(#[from] badgerpost_pgsession::frame::BadFrame),
    #[error("{0}")]
    Identity(scram::Refused),
    #[error("it has gone")]
    Gone,
    #[error("the system has no random numbers")]
    Random,
}

struct Client {
    stream: TcpStream,
    cutter: Cutter,
}

impl Client {
    async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await?;
        progress::written(bytes.len());
        Ok(())
    }

    async fn say(&mut self, frames: &[Frame]) -> std::io::Result<()> {
        let mut out = BytesMut::new();
        frames.iter().for_each(|frame| frame.write(&mut out));
        self.write(&out).await
    }

    /// The next message, which has to be one of the exchange.
    async fn password(&mut self) -> Result<Frame, Trouble> {
        loop {
            match self.cutter.next_from_client()? {
                Some(Cut::Frame(frame)) if frame.tag == b'p' && frame.body.len() <= 4096 => return Ok(frame),
                Some(_) => return Err(Trouble::Identity(scram::Refused::Malformed)),
                None => {}
            }
            let mut buffer = [0; 4096];
            let read = self.stream.read(&mut buffer).await?;
            if read == 0 {
                return Err(Trouble::Gone);
            }
            progress::read(read);
            self.cutter.push(&buffer[..read]);
        }
    }
}

type Answer = Pin<Box<dyn Future<Output = Reply<()>>>>;

/// A server connection that the session has.
struct Held {
    link: Link,
    backend: brookfield::BackendId,
    endpoint: SocketAddr,
    /// The attempt that it was granted for, until that has ended.
    ticket: Option<Ticket>,
    give_up: Nanos,
    withdrawn: oneshot::Receiver<()>,
}

/// One session between its sockets and the engine.
struct Relay {
    front: Rc<Front>,
    session: Session,
    number: u32,
    asked: u64,
    class: (String, bool),
    call: Wish,
    grants: mpsc::Receiver<Grant>,
    held: Option<Held>,
    waiting: Option<Answer>,
    to_client: BytesMut,
    to_server: BytesMut,
    target: Rc<RefCell<Option<Target>>>,
    under_way: Rc<Cell<u32>>,
    ended: bool,
}

/// What woke a session.
enum Woken {
    Client(std::io::Result<usize>),
    Server(std::io::Result<usize>),
    Granted(Option<Box<Grant>>),
    Answered(Reply<()>),
    GivenUp(Outcome),
    Written(std::io::Result<usize>),
    Sent(std::io::Result<usize>),
    Stopping,
}

impl Relay {
    async fn run(mut self, client: Client, mut stopping: watch::Receiver<bool>) {
        let clock = self.front.fleet.clock().clone();
        let Client { stream, mut cutter } = client;
        let (mut read, mut write) = stream.into_split();
        let (mut from_client, mut from_server) = (vec![0; READ_AT_ONCE], vec![0; READ_AT_ONCE]);
        let mut stops = *stopping.borrow();
        while !self.ended {
            if !self.drain(&mut cutter) {
                continue;
            }
            if stops
                && self.session.status() == Status::Idle
                && self.waiting.is_none()
                && !self.session.runs()
            {
                answer::error(Reason::Stopping, None).write(&mut self.to_client);
                self.handle(Event::ClientGone);
                break;
            }
            let more = self.session.wants_more() && self.to_server.len() < UNSENT;
            let room = self.to_client.len() < UNSENT;
            // A session that is pinned and between transactions waits for its client alone.
            let bound = self.held.as_ref().is_some_and(|held| held.ticket.is_some());
            let give_up = self.held.as_ref().map_or(Nanos::MAX, |held| held.give_up);
            let (to_client, to_server) = (&self.to_client, &self.to_server);
            let has_link = self.held.is_some();
            let (link_read, link_write, withdrawn) = match &mut self.held {
                Some(held) => {
                    (Some(&mut held.link.read), Some(&mut held.link.write), Some(&mut held.withdrawn))
                }
                None => (None, None, None),
            };
            let woken = tokio::select! {
                biased;
                written = write.write(to_client), if !to_client.is_empty() => Woken::Written(written),
                sent = some(link_write, |link| Box::pin(link.write(to_server))),
                    if has_link && !to_server.is_empty() => Woken::Sent(sent),
                _ = some(withdrawn, Box::pin), if bound => Woken::GivenUp(Outcome::Cancelled),
                came = some(link_read, |link| Box::pin(link.read(&mut from_server))), if has_link && room => {
                    Woken::Server(came)
                }
                grant = self.grants.recv(), if !has_link => Woken::Granted(grant.map(Box::new)),
                reply = some(self.waiting.as_mut(), |waiting| waiting), if !has_link => Woken::Answered(reply),
                came = read.read(&mut from_client), if more => Woken::Client(came),
                _ = stopping.wait_for(|stopping| *stopping), if !stops => Woken::Stopping,
                () = clock.sleep_until(give_up), if bound => Woken::GivenUp(Outcome::TimedOut),
            };
            match woken {
                Woken::Written(Ok(count)) => {
                    progress::written(count);
                    let _ = self.to_client.split_to(count);
                }
                Woken::Sent(Ok(count)) => {
                    progress::written(count);
                    let _ = self.to_server.split_to(count);
                }
                Woken::Client(Ok(count)) if count > 0 => {
                    progress::read(count);
                    cutter.push(&from_client[..count]);
                }
                Woken::Server(Ok(count)) if count > 0 => {
                    progress::read(count);
                    if let Some(held) = &mut self.held {
                        held.link.cutter.push(&from_server[..count]);
                    }
                }
                Woken::Server(_) | Woken::Sent(Err(_)) => self.lost(Outcome::Reset),
                Woken::GivenUp(outcome) => self.lost(outcome),
                Woken::Granted(Some(grant)) => self.granted(*grant),
                Woken::Answered(reply) => self.answered(reply),
                Woken::Stopping => stops = true,
                Woken::Client(_) | Woken::Written(Err(_)) | Woken::Granted(None) => {
                    self.handle(Event::ClientGone)
                }
            }
        }
        // Last words, to a client that still listens.
        let _ = clock.timeout(LAST_WORDS, write.write_all(&self.to_client)).await;
        let _ = write.shutdown().await;
    }

    /// Takes in what has come whole. False where something was, and more may be.
    fn drain(&mut self, cutter: &mut Cutter) -> bool {
        if let Some(held) = &mut self.held
            && self.to_client.len() < UNSENT
        {
            match held.link.cutter.next_from_server() {
                Ok(Some(cut)) => {
                    self.handle(Event::Server(cut));
                    return false;
                }
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!("postgres: server at {}: {error}", held.endpoint);
                    self.lost(Outcome::Spoilt);
                    return false;
                }
            }
        }
        if self.session.wants_more() && self.to_server.len() < UNSENT {
            match cutter.next_from_client() {
                Ok(Some(cut)) => {
                    self.check_pinned();
                    self.handle(Event::Client(cut));
                    return false;
                }
                Ok(None) => {}
                Err(error) => {
                    answer::error(Reason::Protocol, Some(&error.to_string())).write(&mut self.to_client);
                    self.handle(Event::ClientGone);
                    return false;
                }
            }
        }
        true
    }

    /// A pinned session can't be moved: with its server draining, its next transaction is not begun there.
    fn check_pinned(&mut self) {
        let Some(held) = &self.held else { return };
        let between = held.ticket.is_none() && self.session.status() == Status::Idle;
        if between && !self.front.fleet.serves_at(held.backend, held.endpoint) {
            let detail = "the session is pinned to a server that leaves";
            answer::error(Reason::Stopping, Some(detail)).write(&mut self.to_client);
            self.handle(Event::ClientGone);
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.session.handle(event, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
        let runs = self.held.as_ref().filter(|_| self.session.runs());
        *self.target.borrow_mut() = runs.map(|held| (held.endpoint, held.link.cancel));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Ask { alone } => self.ask(alone),
            Action::ToServer(bytes) => self.to_server.extend_from_slice(&bytes),
            Action::ToClient(bytes) => self.to_client.extend_from_slice(&bytes),
            Action::Started => {
                let ticket = self.held.as_ref().and_then(|held| held.ticket);
                ticket.into_iter().for_each(|ticket| self.front.fleet.started(ticket));
            }
            Action::Done => {
                self.settle(Ending { answer: Some(()), ..Ending::bare(Outcome::Served) });
                self.waiting = None;
            }
            Action::NotAgain => self.settle(Ending::bare(Outcome::Moot)),
            Action::Release(prepared) => {
                let Some(Held { mut link, ticket, .. }) = self.held.take() else { return };
                link.prepared = prepared;
                // A cancel that is under way might hit whoever comes next; so might bytes that were not sent.
                if self.under_way.get() == 0 && self.to_server.is_empty() {
                    self.front.pool.keep(&self.front.fleet, link);
                }
                self.to_server.clear();
                self.end(ticket, Ending::bare(Outcome::Moot));
            }
            Action::DropServer => {
                self.to_server.clear();
                let ticket = self.held.take().and_then(|held| held.ticket);
                self.end(ticket, Ending::bare(Outcome::Cancelled));
            }
            Action::End => {
                self.ended = true;
                // Dropped before its answer, it tells the engine that the client has gone.
                self.waiting = None;
            }
        }
    }

    /// Ends the attempt that the connection was granted for.
    fn settle(&mut self, ending: Ending<()>) {
        let ticket = self.held.as_mut().and_then(|held| held.ticket.take());
        self.end(ticket, ending);
    }

    fn end(&self, ticket: Option<Ticket>, ending: Ending<()>) {
        if let Some(ticket) = ticket {
            self.front.fleet.settled(ticket, ending);
        }
    }

    fn lost(&mut self, outcome: Outcome) {
        self.settle_later(outcome);
    }

    /// The connection is of no use any more. The session hears of it first, so that it waits for what the engine
    /// says then.
    fn settle_later(&mut self, outcome: Outcome) {
        let ticket = self.held.as_mut().and_then(|held| held.ticket.take());
        self.handle(Event::ServerLost);
        self.held = None;
        self.end(ticket, Ending::bare(outcome));
        if ticket.is_none() && !self.ended {
            // Between two transactions nobody but the session has to be told.
            self.handle(Event::Failed);
        }
    }

    fn ask(&mut self, alone: bool) {
        let (class, may_repeat) = &self.class;
        let name = if alone && *may_repeat { repeatable(class) } else { class.clone() };
        let Some((class, deadline, _)) = self.front.fleet.class(&name) else {
            // The classes come from the same configuration, so this does not happen; if so, it is a failure.
            return self.handle(Event::Failed);
        };
        self.asked += 1;
        let id = format!("pg-{}-{}", self.number, self.asked).into();
        let call = Wish { database: self.call.database.clone(), grant: self.call.grant.clone() };
        let asked = Asked { id, class, tenant: None, hint: None, repeat: false, budget: deadline, call };
        match self.front.fleet.submit(asked) {
            Some(waiting) => self.waiting = Some(Box::pin(waiting.answer())),
            None => self.handle(Event::Failed),
        }
    }

    fn granted(&mut self, grant: Grant) {
        let Grant { ticket, backend, endpoint, mut link, give_up, withdrawn } = grant;
        let prepared = std::mem::take(&mut link.prepared);
        self.held = Some(Held { link, backend, endpoint, ticket: Some(ticket), give_up, withdrawn });
        self.handle(Event::Attached(prepared));
    }

    fn answered(&mut self, reply: Reply<()>) {
        self.waiting = None;
        match reply {
            // Told by the session itself, as it came.
            Reply::Served(()) => {}
            Reply::Refused(pause) => self.handle(Event::Refused { wait_ms: pause.div_ceil(1_000_000) }),
            Reply::Failed => self.handle(Event::Failed),
        }
    }
}

/// Waits for what a thing that may be missing brings; for ever without it.
async fn some<'a, T, F: Future + Unpin + 'a>(thing: Option<T>, wait: impl FnOnce(T) -> F) -> F::Output {
    match thing {
        Some(thing) => wait(thing).await,
        None => std::future::pending().await,
    }
}

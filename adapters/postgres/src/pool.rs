//! Connections to servers, kept for the next transaction: by server, database and login. A connection goes back only
//! when nothing is left on it; all others are dropped, and with them what was not committed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{Clock, IdleCheck, IdlePool, TcpStream, nanos};
use badgerpost_postgres_session::frame::FrameDecoder;
use badgerpost_postgres_session::session::ServerState;
use bytes::BytesMut;
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, oneshot};

use crate::PostgresEngine;
use crate::config::PoolLimits;
use crate::login::{ConnectError, log_in};
use crate::logins::{LoginId, Logins};
use crate::stream::Stream;
use crate::tls::Connector;

/// A server takes a connection and logs the node in within this time.
const CONNECT: Duration = Duration::from_secs(2);
/// Wait before servers are asked again for a first greeting.
const FIRST_AGAIN: Duration = Duration::from_millis(50);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// Pairs of database and login that connections are opened ahead for; the one used longest ago makes room.
const MOST_WARM: usize = 64;
/// So many transactions wait for each connection of a server at most: with more, the wait would outlast any deadline.
const WAITING_EACH: usize = 64;
/// Weight of one transaction in what is known of how long they hold a connection.
const HOLD_SMOOTHING: f64 = 0.05;

/// A server, and where it listens.
pub type ServerAddress = (BackendId, SocketAddr);

/// What a connection is for: the server, the database, the number of the login.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey {
    /// The server.
    pub place: ServerAddress,
    /// The database.
    pub database: String,
    /// The login.
    pub login: LoginId,
}

/// A connection to a server, logged in and with nothing on it.
pub struct ServerConnection {
    /// Its bytes.
    pub stream: Stream,
    /// What has come and was not looked at.
    pub cutter: FrameDecoder,
    /// What is known of it.
    pub state: ServerState,
    /// By which a statement on it is cancelled.
    pub cancel: (i32, i32),
    key: PoolKey,
    /// It is closed after this.
    until: Nanos,
    epoch: u64,
    leased: Nanos,
    opened: Opened,
}

impl IdleCheck for ServerConnection {
    fn is_idle(&mut self) -> bool {
        // One that was closed meanwhile, or on which something has come that nobody asked for, is of no use.
        self.cutter.buffered_len() == 0 && self.stream.is_quiet()
    }
}

/// Transactions that wait for a connection of a server, the worthiest first.
type Waiting = BTreeMap<(u64, u64), oneshot::Sender<Promise>>;

/// What is known of one server.
#[derive(Default)]
struct Server {
    open: Cell<usize>,
    logging_in: Cell<usize>,
    waiting: RefCell<Waiting>,
    /// Waiting transactions that were woken and have not looked yet: what is free is theirs first.
    promised: Cell<usize>,
    /// How long a transaction holds a connection, smoothed, in nanoseconds.
    hold: Cell<f64>,
    served: Cell<u64>,
}

impl Server {
    /// There may be something for the first that waits.
    fn wake(self: &Rc<Self>) {
        loop {
            let first = self.waiting.borrow_mut().pop_first();
            let Some((_, first)) = first else { return };
            self.promised.set(self.promised.get() + 1);
            match first.send(Promise(Some(self.clone()))) {
                Ok(()) => return,
                // One that has given up meanwhile leaves its turn to the next.
                Err(promise) => promise.void(),
            }
        }
    }

    /// Whether others come before a transaction that has not waited yet. Without this whoever comes as a
    /// connection is put back takes it, and those that wait starve.
    fn others_first(&self, place: (u64, u64)) -> bool {
        self.promised.get() > 0 || self.waiting.borrow().range(..place).next().is_some()
    }
}

/// The first look of a woken transaction at what has come free. Dropped, used or not, it wakes the next one.
struct Promise(Option<Rc<Server>>);

impl Promise {
    fn settle(&mut self) -> Option<Rc<Server>> {
        let server = self.0.take()?;
        server.promised.set(server.promised.get().saturating_sub(1));
        Some(server)
    }

    /// There was nothing: nobody else need look.
    fn void(mut self) {
        self.settle();
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        if let Some(server) = self.settle() {
            server.wake();
        }
    }
}

/// A connection's part in the count of its server's.
struct Opened(Rc<Server>);

impl Opened {
    fn new(server: &Rc<Server>) -> Self {
        server.open.set(server.open.get() + 1);
        Self(server.clone())
    }
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.wake();
    }
}

struct LoggingIn(Rc<Server>);

impl Drop for LoggingIn {
    fn drop(&mut self) {
        self.0
            .logging_in
            .set(self.0.logging_in.get().saturating_sub(1));
        self.0.wake();
    }
}

/// What one server's connections are doing, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerFigures {
    /// The server.
    pub place: ServerAddress,
    /// Connections that stand.
    pub open: usize,
    /// Those with nothing on them.
    pub idle: usize,
    /// Logins under way.
    pub logging_in: usize,
    /// Transactions that wait for one.
    pub waiting: usize,
    /// Transactions that had one so far.
    pub served: u64,
    /// How long one is held, smoothed, in microseconds.
    pub hold_us: u64,
}

/// Connections to all servers.
pub struct Pool {
    clock: Clock,
    logins: Logins,
    tls: Option<Connector>,
    limits: PoolLimits,
    idle: IdlePool<PoolKey, ServerConnection>,
    servers: RefCell<BTreeMap<ServerAddress, Rc<Server>>>,
    /// The settings that each server reports, and what they came to together when any was known last.
    reports: RefCell<BTreeMap<ServerAddress, BTreeMap<String, String>>>,
    greeting: RefCell<BTreeMap<String, String>>,
    /// Databases and logins in use, and when they were last.
    warm: RefCell<BTreeMap<(String, LoginId), Nanos>>,
    /// Connections of an earlier one are not used again.
    epoch: Cell<u64>,
    made: Cell<u64>,
    turns: Cell<u64>,
    paused: Cell<bool>,
    resumed: Notify,
}

impl Pool {
    /// An empty pool.
    pub fn new(
        clock: Clock,
        logins: Logins,
        tls: Option<Connector>,
        limits: PoolLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            logins,
            tls,
            limits,
            idle: IdlePool::default(),
            servers: RefCell::default(),
            reports: RefCell::default(),
            greeting: RefCell::default(),
            warm: RefCell::default(),
            epoch: Cell::new(0),
            made: Cell::new(0),
            turns: Cell::new(0),
            paused: Cell::new(false),
            resumed: Notify::new(),
        })
    }

    /// The login for a client.
    pub fn login_for(&self, user: &str) -> Option<LoginId> {
        self.logins.for_client(user)
    }

    fn server(&self, place: ServerAddress) -> Rc<Server> {
        let mut servers = self.servers.borrow_mut();
        // Servers that nobody is connected to any more and that have left are forgotten with their figures.
        if servers.len() > 256 {
            servers.retain(|known, server| *known == place || Rc::strong_count(server) > 1);
        }
        servers.entry(place).or_default().clone()
    }

    /// Takes a connection back on which nothing is left.
    pub fn keep(&self, fleet: &PostgresEngine, mut link: ServerConnection) {
        let now = self.clock.now();
        let server = link.opened.0.clone();
        let held = now.saturating_sub(link.leased) as f64;
        let before = server.hold.get();
        server.hold.set(if before == 0.0 {
            held
        } else {
            before + (held - before) * HOLD_SMOOTHING
        });
        server.served.set(server.served.get() + 1);
        let (backend, endpoint) = link.key.place;
        let current = link.epoch == self.epoch.get() && now < link.until;
        if current && fleet.is_in_service_at(backend, endpoint) && link.is_idle() {
            self.idle.put(link.key.clone(), link, now);
            server.wake();
        }
    }

    /// Drops the idle connections to a server that has left, moved or started anew.
    pub fn retire(&self, backend: BackendId) {
        self.idle
            .retain(self.clock.now(), |key, _, _| key.place.0 != backend);
        self.reports
            .borrow_mut()
            .retain(|place, _| place.0 != backend);
    }

    /// A connection for a transaction: an idle one, a new one, or the first that comes free before `give_up`; those of
    /// lower `rank` go first. Who could not have one in time is told so at once.
    pub async fn link(
        &self,
        key: &PoolKey,
        rank: u64,
        give_up: Nanos,
    ) -> Result<ServerConnection, ConnectError> {
        let server = self.server(key.place);
        let turn = self.turns.get();
        self.turns.set(turn + 1);
        self.note_warm(key);
        let mut promise: Option<Promise> = None;
        loop {
            let now = self.clock.now();
            let behind = promise.is_none() && server.others_first((rank, turn));
            while !behind && let Some(taken) = self.idle.take(key, now, 0) {
                let mut link = taken.connection;
                if link.epoch == self.epoch.get() && now < link.until {
                    link.leased = now;
                    return Ok(link);
                }
            }
            if !behind
                && server.open.get() < self.limits.max_connections_per_server
                && server.logging_in.get() < self.limits.max_concurrent_logins
            {
                // Others need not wait for this login.
                drop(promise.take());
                return self.log_in(key, &server).await;
            }
            if !behind
                && server.open.get() >= self.limits.max_connections_per_server
                && self.idle.drop_oldest(|other| other.place == key.place)
            {
                // An idle one of another database or login has made room.
                continue;
            }
            let (ahead, all) = {
                let waiting = server.waiting.borrow();
                (waiting.range(..(rank, turn)).count(), waiting.len())
            };
            let each = server.hold.get() / self.limits.max_connections_per_server.max(1) as f64;
            let expected = (each * (ahead + 1) as f64) as Nanos;
            if now.saturating_add(expected) >= give_up
                || all
                    >= self
                        .limits
                        .max_connections_per_server
                        .saturating_mul(WAITING_EACH)
            {
                return Err(ConnectError::Full(
                    "all of the node's connections to it are in use".to_owned(),
                ));
            }
            let (free, freed) = oneshot::channel();
            promise.take().into_iter().for_each(Promise::void);
            server.waiting.borrow_mut().insert((rank, turn), free);
            tokio::select! {
                biased;
                woken = freed => promise = woken.ok(),
                () = self.clock.sleep_until(give_up) => {
                    server.waiting.borrow_mut().remove(&(rank, turn));
                    return Err(ConnectError::Full("none of its connections came free in time".to_owned()));
                }
            }
        }
    }

    async fn log_in(
        &self,
        key: &PoolKey,
        server: &Rc<Server>,
    ) -> Result<ServerConnection, ConnectError> {
        let endpoint = key.place.1;
        if self.clock.is_controlled() && !endpoint.ip().is_loopback() {
            return Err(ConnectError::Refused(
                "a rehearsal reaches loopback addresses only".to_owned(),
            ));
        }
        let identity = self.logins.get(key.login).ok_or(ConnectError::NoPassword)?;
        server.logging_in.set(server.logging_in.get() + 1);
        let _logging_in = LoggingIn(server.clone());
        let opened = Opened::new(server);
        let login = log_in(endpoint, self.tls.as_ref(), identity, &key.database);
        let fresh = self
            .clock
            .timeout(CONNECT, login)
            .await
            .map_err(|_| ConnectError::Late)??;
        self.note_reports(key.place, fresh.reports);
        let now = self.clock.now();
        // Spread, so that those opened together are not closed together: a quarter less or more, by turns.
        let made = self.made.get();
        self.made.set(made + 1);
        let part = made.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let lifetime = nanos(self.limits.max_lifetime) / 100 * (75 + part % 51);
        Ok(ServerConnection {
            stream: fresh.stream,
            cutter: fresh.cutter,
            state: fresh.state,
            cancel: fresh.cancel,
            key: key.clone(),
            until: now.saturating_add(lifetime),
            epoch: self.epoch.get(),
            leased: now,
            opened,
        })
    }

    fn note_warm(&self, key: &PoolKey) {
        let mut warm = self.warm.borrow_mut();
        let pair = (key.database.clone(), key.login);
        if warm.len() >= MOST_WARM && !warm.contains_key(&pair) {
            let oldest = warm
                .iter()
                .min_by_key(|(_, used)| **used)
                .map(|(oldest, _)| oldest.clone());
            oldest.iter().for_each(|oldest| {
                warm.remove(oldest);
            });
        }
        warm.insert(pair, self.clock.now());
    }

    fn note_reports(&self, place: ServerAddress, reports: BTreeMap<String, String>) {
        let mut all = self.reports.borrow_mut();
        if all.get(&place) == Some(&reports) {
            return;
        }
        all.insert(place, reports);
        *self.greeting.borrow_mut() = lowest(all.values());
    }

    /// What clients are told of the servers: the lowest of what they report, or what that was last. Where no server has
    /// ever been asked, one is now, for this database and login. None if no server can be reached.
    pub async fn greeting(
        &self,
        fleet: &PostgresEngine,
        database: &str,
        login: LoginId,
    ) -> Option<BTreeMap<String, String>> {
        let last = self.clock.now().saturating_add(nanos(CONNECT));
        while self.greeting.borrow().is_empty() && self.clock.now() < last {
            for listed in fleet.endpoints_in_service() {
                let place = (listed.backend, listed.address);
                let key = PoolKey {
                    place,
                    database: database.to_owned(),
                    login,
                };
                match self.link(&key, 0, last).await {
                    Ok(link) => {
                        self.keep(fleet, link);
                        break;
                    }
                    Err(error) => {
                        tracing::warn!(endpoint = %place.1, %error, "no first connection to a PostgreSQL server");
                    }
                }
            }
            if self.greeting.borrow().is_empty() {
                // The list of servers may not be here yet.
                self.clock.sleep(FIRST_AGAIN).await;
            }
        }
        let greeting = self.greeting.borrow().clone();
        (!greeting.is_empty()).then_some(greeting)
    }

    /// Closes what has been idle for too long or stood too long, and opens connections ahead of need; never ends.
    pub async fn maintain(self: Rc<Self>, fleet: PostgresEngine) {
        loop {
            self.clock.sleep(SWEEP).await;
            let now = self.clock.now();
            let (most, epoch) = (nanos(self.limits.idle_timeout), self.epoch.get());
            self.idle.retain(now, |_, link, idle| {
                idle < most && now < link.until && link.epoch == epoch && link.is_idle()
            });
            if self.limits.min_idle == 0 || self.paused.get() {
                continue;
            }
            let warm: Vec<(String, LoginId)> = {
                let mut warm = self.warm.borrow_mut();
                warm.retain(|_, used| now.saturating_sub(*used) < most);
                warm.keys().cloned().collect()
            };
            for listed in fleet.endpoints_in_service() {
                let place = (listed.backend, listed.address);
                for (database, login) in &warm {
                    let key = PoolKey {
                        place,
                        database: database.clone(),
                        login: *login,
                    };
                    let server = self.server(place);
                    let room = server.open.get() < self.limits.max_connections_per_server
                        && server.logging_in.get() < self.limits.max_concurrent_logins;
                    if room
                        && self.idle.count(|other| *other == key) < self.limits.min_idle
                        && let Ok(link) = self.log_in(&key, &server).await
                    {
                        self.idle.put(key, link, self.clock.now());
                        server.wake();
                    }
                }
            }
        }
    }

    /// Has a server cancel what runs on a connection. Returns once the server has closed the request's own
    /// connection, and so has heard.
    pub async fn cancel(&self, endpoint: SocketAddr, (process, secret): (i32, i32)) {
        let ask = async {
            let mut stream = Stream::plain(TcpStream::connect(endpoint).await?);
            let mut out = BytesMut::new();
            frontend::cancel_request(process, secret, &mut out);
            stream.write_all(&out).await?;
            stream.read(&mut [0; 1]).await
        };
        let _ = self.clock.timeout(CONNECT, ask).await;
    }

    /// New transactions wait, or go on.
    pub fn set_paused(&self, paused: bool) {
        self.paused.set(paused);
        if !paused {
            self.resumed.notify_waiters();
        }
    }

    /// Whether new transactions wait.
    pub fn is_paused(&self) -> bool {
        self.paused.get()
    }

    /// Waits until new transactions go on.
    pub async fn resumed(&self) {
        while self.paused.get() {
            self.resumed.notified().await;
        }
    }

    /// Each connection is closed once it is idle, and opened anew when it is needed.
    pub fn reconnect(&self) {
        self.epoch.set(self.epoch.get() + 1);
        self.idle.retain(self.clock.now(), |_, _, _| false);
    }

    /// What the connections to each server are doing.
    pub fn figures(&self) -> Vec<ServerFigures> {
        let servers = self.servers.borrow();
        let figures = servers.iter().map(|(place, server)| ServerFigures {
            place: *place,
            open: server.open.get(),
            idle: self.idle.count(|key| key.place == *place),
            logging_in: server.logging_in.get(),
            waiting: server.waiting.borrow().len(),
            served: server.served.get(),
            hold_us: (server.hold.get() / 1000.0) as u64,
        });
        figures.collect()
    }
}

/// For each setting the lowest value that any server reports; versions by their numbers.
fn lowest<'a>(all: impl Iterator<Item = &'a BTreeMap<String, String>>) -> BTreeMap<String, String> {
    let version = |text: &str| -> Vec<u64> {
        text.split(|sign: char| !sign.is_ascii_digit())
            .filter_map(|part| part.parse().ok())
            .collect()
    };
    let mut lowest: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in all.flatten() {
        match lowest.get(name) {
            Some(known) if (version(known), known) <= (version(value), value) => {}
            _ => drop(lowest.insert(name.clone(), value.clone())),
        }
    }
    lowest
}

#[cfg(test)]
mod tests;

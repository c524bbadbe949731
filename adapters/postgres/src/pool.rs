//! The pool of connections to servers, by server, database and login. A connection returns to the pool only outside a
//! transaction; any other is closed, and its uncommitted work with it.
//!
//! - `connection`: a pooled connection and its key
//! - `server_slots`: limits of one server, and who waits for a connection to it
//! - `server_parameters`: what servers report of themselves, for clients
//! - `maintenance`: closing old connections, opening new ones ahead of need

mod connection;
mod maintenance;
mod server_parameters;
mod server_slots;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{Clock, Engine, IdleCheck, IdlePool, Protocol, nanos};
use tokio::sync::Notify;

use self::maintenance::RecentTargets;
use self::server_parameters::ServerParameters;
use self::server_slots::{QueuePosition, ServerSlots, Turn};
use crate::config::PoolLimits;
use crate::login::{ConnectError, log_in};
use crate::logins::{LoginId, Logins};
use crate::tls::Connector;

pub use self::connection::{ConnectionTarget, PoolKey, ServerAddress, ServerConnection};

/// Timeout of connecting and logging in to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Servers with figures before those that have left and have no connections are forgotten.
const SERVERS_BEFORE_CLEANUP: usize = 256;
/// Shortest lifetime of a connection, in percent of the configured one.
const MIN_LIFETIME_PERCENT: u64 = 75;
/// Number of different lifetimes, one percent apart: from 75% to 125% of the configured one.
const LIFETIME_STEPS: u64 = 51;

/// What one server's connections are doing, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStats {
    /// The server.
    pub address: ServerAddress,
    /// Open connections.
    pub open: usize,
    /// Those that are idle.
    pub idle: usize,
    /// Logins in progress.
    pub logging_in: usize,
    /// Transactions that wait for a connection.
    pub waiting: usize,
    /// Transactions that had a connection so far.
    pub transactions: u64,
    /// Smoothed time for which a transaction has a connection, in microseconds.
    pub mean_lease_us: u64,
}

/// Whether transactions may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolState {
    /// Transactions start.
    Active,
    /// New transactions wait, those that have a connection go on.
    Paused,
}

impl fmt::Display for PoolState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Active => "active",
            Self::Paused => "paused",
        })
    }
}

/// Connections to all servers.
pub struct Pool {
    clock: Clock,
    logins: Logins,
    tls: Option<Connector>,
    limits: PoolLimits,
    idle: IdlePool<PoolKey, ServerConnection>,
    servers: RefCell<BTreeMap<ServerAddress, Rc<ServerSlots>>>,
    parameters: ServerParameters,
    recent_targets: RecentTargets,
    /// Connections of an earlier generation are not used again.
    generation: Cell<u64>,
    connections_opened: Cell<u64>,
    arrivals: Cell<u64>,
    state: Cell<PoolState>,
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
            parameters: ServerParameters::default(),
            recent_targets: RecentTargets::default(),
            generation: Cell::new(0),
            connections_opened: Cell::new(0),
            arrivals: Cell::new(0),
            state: Cell::new(PoolState::Active),
            resumed: Notify::new(),
        })
    }

    /// The login that a client's transactions use at the servers.
    pub fn login_for(&self, user: &str) -> Option<LoginId> {
        self.logins.for_client(user)
    }

    /// A connection for a transaction: an idle one, a new one, or the first that comes free before `deadline`. Where
    /// several wait, those of lower `rank` go first.
    ///
    /// # Errors
    /// [`ConnectError`] if the login fails, or if no connection will come free in time; that is known at once where the
    /// queue is too long.
    pub async fn acquire(
        &self,
        key: &PoolKey,
        rank: u64,
        deadline: Nanos,
    ) -> Result<ServerConnection, ConnectError> {
        let slots = self.server_slots(key.address);
        let position = QueuePosition {
            rank,
            arrival: count_up(&self.arrivals),
        };
        self.recent_targets.record(&key.target, self.clock.now());
        let mut turn: Option<Turn> = None;
        loop {
            let now = self.clock.now();
            if turn.is_some() || !slots.has_earlier_waiter(position) {
                if let Some(connection) = self.take_idle(key, now) {
                    return Ok(connection);
                }
                if slots.can_log_in(&self.limits) {
                    // Others need not wait for this login.
                    drop(turn.take());
                    return self.log_in(key, &slots).await;
                }
                if slots.is_full(&self.limits) && self.close_idle_for_other_target(key.address) {
                    continue;
                }
            }
            slots.check_expected_wait(position, &self.limits, now, deadline)?;
            if let Some(turn) = turn.take() {
                turn.end_unused();
            }
            turn = self.wait_for_turn(&slots, position, deadline).await?;
        }
    }

    /// Waits until something may have come free for this position.
    async fn wait_for_turn(
        &self,
        slots: &ServerSlots,
        position: QueuePosition,
        deadline: Nanos,
    ) -> Result<Option<Turn>, ConnectError> {
        let woken = slots.enqueue(position);
        tokio::select! {
            biased;
            turn = woken => Ok(turn.ok()),
            () = self.clock.wait_for_deadline(deadline) => {
                slots.dequeue(position);
                Err(ConnectError::WaitTimedOut)
            }
        }
    }

    /// Takes an idle connection; those that may not be used any more are closed.
    fn take_idle(&self, key: &PoolKey, now: Nanos) -> Option<ServerConnection> {
        while let Some(taken) = self.idle.take(key, now, 0) {
            let mut connection = taken.connection;
            if connection.is_current(self.generation.get(), now) {
                connection.leased_at = now;
                return Some(connection);
            }
        }
        None
    }

    /// Closes an idle connection of another database or login, so that a new one can be opened. Returns whether there
    /// was one.
    fn close_idle_for_other_target(&self, address: ServerAddress) -> bool {
        self.idle.drop_oldest(|other| other.address == address)
    }

    async fn log_in(
        &self,
        key: &PoolKey,
        slots: &Rc<ServerSlots>,
    ) -> Result<ServerConnection, ConnectError> {
        let endpoint = key.address.endpoint;
        if self.clock.is_virtual() && !endpoint.ip().is_loopback() {
            return Err(ConnectError::NotLoopback);
        }
        let credentials = self
            .logins
            .get(key.target.login)
            .ok_or(ConnectError::NoPassword)?;
        let _login = slots.start_login();
        let slot = slots.open_connection();
        let login = log_in(
            endpoint,
            self.tls.as_ref(),
            credentials,
            &key.target.database,
        );
        let new = self
            .clock
            .timeout(CONNECT_TIMEOUT, login)
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        self.parameters.record(key.address, new.parameters);
        let now = self.clock.now();
        let lifetime = spread_lifetime(
            nanos(self.limits.max_lifetime),
            count_up(&self.connections_opened),
        );
        Ok(ServerConnection {
            stream: new.stream,
            decoder: new.decoder,
            state: new.state,
            cancel_key: new.cancel_key,
            key: key.clone(),
            expires_at: now.saturating_add(lifetime),
            generation: self.generation.get(),
            leased_at: now,
            slot,
        })
    }

    /// Returns a connection that is in no transaction. It is closed if it may not be used any more.
    pub fn release<P: Protocol>(&self, fleet: &Engine<P>, mut connection: ServerConnection) {
        let now = self.clock.now();
        let slots = connection.slot.server_slots().clone();
        slots.record_lease(now.saturating_sub(connection.leased_at));
        let ServerAddress { backend, endpoint } = connection.key.address;
        let is_current = connection.is_current(self.generation.get(), now);
        if is_current && fleet.is_in_service_at(backend, endpoint) && connection.is_idle() {
            self.idle.put(connection.key.clone(), connection, now);
            slots.wake_next();
        }
    }

    /// Closes the idle connections to a server that has left, moved or restarted.
    pub fn close_idle_connections(&self, backend: BackendId) {
        self.idle
            .retain(self.clock.now(), |key, _, _| key.address.backend != backend);
        self.parameters.forget(backend);
    }

    /// Holds new transactions back.
    pub fn pause(&self) {
        self.state.set(PoolState::Paused);
    }

    /// Lets new transactions start again.
    pub fn resume(&self) {
        self.state.set(PoolState::Active);
        self.resumed.notify_waiters();
    }

    /// Whether new transactions may start.
    pub fn state(&self) -> PoolState {
        self.state.get()
    }

    /// Whether new transactions are held back.
    pub fn is_paused(&self) -> bool {
        self.state.get() == PoolState::Paused
    }

    /// Waits until new transactions may start.
    pub async fn resumed(&self) {
        while self.is_paused() {
            self.resumed.notified().await;
        }
    }

    /// Closes each connection once it is idle; new ones are opened when they are needed.
    pub fn reconnect(&self) {
        count_up(&self.generation);
        self.idle.retain(self.clock.now(), |_, _, _| false);
    }

    /// What the connections to each server are doing.
    pub fn stats(&self) -> Vec<ServerStats> {
        let servers = self.servers.borrow();
        let stats = servers.iter().map(|(address, slots)| ServerStats {
            address: *address,
            open: slots.open(),
            idle: self.idle.count(|key| key.address == *address),
            logging_in: slots.logging_in(),
            waiting: slots.waiting(),
            transactions: slots.transactions(),
            mean_lease_us: (slots.mean_lease_time() / 1000.0) as u64,
        });
        stats.collect()
    }

    fn server_slots(&self, address: ServerAddress) -> Rc<ServerSlots> {
        let mut servers = self.servers.borrow_mut();
        if servers.len() > SERVERS_BEFORE_CLEANUP {
            servers.retain(|known, slots| *known == address || Rc::strong_count(slots) > 1);
        }
        servers.entry(address).or_default().clone()
    }
}

/// The value before it is increased by one.
fn count_up(counter: &Cell<u64>) -> u64 {
    let before = counter.get();
    counter.set(before + 1);
    before
}

/// The lifetime of the n-th connection: the configured one, up to a quarter shorter or longer. Connections that were
/// opened together are so not closed together.
fn spread_lifetime(lifetime: Nanos, opened_before: u64) -> Nanos {
    /// 2^64 divided by the golden ratio: multiples of it are spread evenly (Fibonacci hashing).
    const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let hash = opened_before.wrapping_mul(FIBONACCI_MULTIPLIER) >> 33;
    lifetime / 100 * (MIN_LIFETIME_PERCENT + hash % LIFETIME_STEPS)
}

//! The pool of server connections, keyed by server, database and login. A connection returns to the pool only when it
//! is outside a transaction. A connection that is still in a transaction is closed, and the server rolls back.
//!
//! - `connection`: a pooled connection and its pool key
//! - `server_slots`: the connection limits of one server, and the queue of transactions that wait for a connection
//! - `server_parameters`: the `ParameterStatus` values of the servers, combined for clients
//! - `maintenance`: closes expired connections and opens connections up to `min_idle`

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

/// Time limit for connecting and logging in to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of servers with statistics above which servers without connections are removed from the statistics.
const SERVERS_BEFORE_CLEANUP: usize = 256;
/// Shortest lifetime of a connection, in percent of the configured lifetime.
const MIN_LIFETIME_PERCENT: u64 = 75;
/// Number of distinct lifetimes, one percent apart: from 75% to 125% of the configured lifetime.
const LIFETIME_STEPS: u64 = 51;

/// Connection statistics of one server, shown on the console.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStats {
    /// The server, and the address at which the connections were opened.
    pub address: ServerAddress,
    /// Open connections, idle or leased, including those whose login is in progress.
    pub open: usize,
    /// Open connections that are idle in the pool.
    pub idle: usize,
    /// Logins in progress.
    pub logging_in: usize,
    /// Transactions that wait for a connection.
    pub waiting: usize,
    /// Transactions that have acquired and released a connection to the server.
    pub transactions: u64,
    /// Moving average of the time for which a transaction holds a connection, in microseconds.
    pub mean_lease_us: u64,
    /// Connections that their session did not return to the pool: lost, or with work on them that was not finished.
    pub dropped: u64,
}

/// Whether new transactions may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolState {
    /// New transactions may start.
    Active,
    /// New transactions wait; transactions that already have a connection continue.
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

/// The pool of connections to all servers.
pub struct Pool {
    clock: Clock,
    logins: Logins,
    tls: Option<Connector>,
    limits: PoolLimits,
    idle: IdlePool<PoolKey, ServerConnection>,
    servers: RefCell<BTreeMap<ServerAddress, Rc<ServerSlots>>>,
    parameters: ServerParameters,
    recent_targets: RecentTargets,
    /// Incremented by [`Pool::reconnect`]. Connections of an earlier generation are closed instead of reused.
    generation: Cell<u64>,
    connections_opened: Cell<u64>,
    arrivals: Cell<u64>,
    state: Cell<PoolState>,
    resumed: Notify,
}

impl Pool {
    /// Creates an empty pool. With `tls`, every connection to a server is encrypted.
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

    /// The login with which transactions of the client user `user` run on the servers. `None` if no login is configured
    /// for the user.
    pub fn login_for(&self, user: &str) -> Option<LoginId> {
        self.logins.for_client(user)
    }

    /// Acquires a connection for a transaction: an idle connection, a new connection, or the first connection that is
    /// released before `deadline`. Waiting transactions with a lower `rank` are served first.
    ///
    /// # Errors
    /// [`ConnectError`] if the login fails or no connection is released before `deadline`. Returned without waiting if
    /// the queue is full or the expected wait exceeds the deadline.
    pub async fn acquire(
        &self,
        key: &PoolKey,
        rank: u64,
        deadline: Nanos,
    ) -> Result<ServerConnection, ConnectError> {
        let slots = self.server_slots(key.address);
        let position = QueuePosition {
            rank,
            arrival: fetch_increment(&self.arrivals),
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
                    // Ends the turn before the login, so that the next waiter is not delayed by the login.
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

    /// Waits for this position's turn to look for a connection.
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

    /// Takes an idle connection. Expired connections and connections of an earlier generation are closed.
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

    /// Closes the oldest idle connection to the server, whatever its database and login, to free a slot for a new
    /// connection. Returns false if the server has no idle connection.
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
            fetch_increment(&self.connections_opened),
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

    /// Returns a connection that is outside a transaction to the pool. The connection is closed if it has expired, the
    /// server is no longer in service, or unread bytes have arrived.
    pub fn release<P: Protocol>(&self, engine: &Engine<P>, mut connection: ServerConnection) {
        let now = self.clock.now();
        let slots = connection.slot.server_slots().clone();
        slots.record_lease(now.saturating_sub(connection.leased_at));
        let address = connection.key.address.into();
        let is_current = connection.is_current(self.generation.get(), now);
        if is_current && engine.is_in_service_at(address) && connection.is_idle() {
            self.idle.put(connection.key.clone(), connection, now);
            slots.wake_next();
        }
    }

    /// Closes a leased connection that must not return to the pool.
    pub fn drop_connection(&self, connection: ServerConnection) {
        connection.slot.server_slots().count_dropped();
        drop(connection);
    }

    /// Closes the idle connections to a server that was removed, changed its address or restarted.
    pub fn close_idle_connections(&self, backend: BackendId) {
        self.idle
            .retain(self.clock.now(), |key, _, _| key.address.backend != backend);
        self.parameters.remove(backend);
    }

    /// Holds new transactions back until [`Self::resume`].
    pub fn pause(&self) {
        self.state.set(PoolState::Paused);
    }

    /// Ends a pause and wakes the transactions that wait for it.
    pub fn resume(&self) {
        self.state.set(PoolState::Active);
        self.resumed.notify_waiters();
    }

    /// Whether the pool is active or paused.
    pub fn state(&self) -> PoolState {
        self.state.get()
    }

    /// Whether new transactions are held back by [`Self::pause`].
    pub fn is_paused(&self) -> bool {
        self.state.get() == PoolState::Paused
    }

    /// Waits until the pool is no longer paused; returns at once if it is active.
    pub async fn resumed(&self) {
        while self.is_paused() {
            self.resumed.notified().await;
        }
    }

    /// Closes idle connections now and leased connections when they are released. New connections are opened on demand.
    pub fn reconnect(&self) {
        fetch_increment(&self.generation);
        self.idle.retain(self.clock.now(), |_, _, _| false);
    }

    /// Connection statistics of each server to which the pool has opened or requested a connection.
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
            dropped: slots.dropped(),
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

/// Increments the counter and returns the previous value.
fn fetch_increment(counter: &Cell<u64>) -> u64 {
    let before = counter.get();
    counter.set(before + 1);
    before
}

/// The lifetime of the connection that was opened after `opened_before` others: the configured lifetime, varied by up
/// to 25% so that connections opened together do not expire together.
fn spread_lifetime(lifetime: Nanos, opened_before: u64) -> Nanos {
    /// 2^64 divided by the golden ratio; the products are evenly distributed (Fibonacci hashing).
    const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let hash = opened_before.wrapping_mul(FIBONACCI_MULTIPLIER) >> 33;
    lifetime / 100 * (MIN_LIFETIME_PERCENT + hash % LIFETIME_STEPS)
}

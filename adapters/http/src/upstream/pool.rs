//! The bounded pool of connections to backends. A connection is leased for one exchange: an idle one where there is one
//! that can be trusted, else a new one.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::{BackendId, Nanos};
use badgerpost_engine::{BackendAddress, Clock, ConnectionCounter, IdleCheck, IdlePool};
use badgerpost_settings::ConnectionSettings;
use badgerpost_time::MILLISECOND;

use super::connection::{BackendConnection, ConnectError};
use super::idle_reset_rates::IdleResetRates;
use crate::HttpEngine;
use crate::memory_budget::MemoryBudget;
use crate::upload::UploadExchange;

/// A connection is not used again before it has been idle for this long. Stray bytes behind a response would pass for
/// the next one's response; on an idle connection they show as unexpected, and it is dropped. So does a close.
const MIN_IDLE_TIME: Nanos = 10 * MILLISECOND;

/// An idle connection is kept for the backends' idle timeout divided by this: a request written just as its backend
/// closes the connection ends in a reset, and may have run.
const IDLE_TIMEOUT_DIVISOR: u64 = 2;

/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The limit on open connections may be exceeded by the limit divided by this: the task of a connection that was closed
/// to make room ends a moment later.
const OVERSHOOT_DIVISOR: usize = 8;

/// The limit on open connections divided by this is reserved for requests that are waited for: nothing else uses these
/// last connections.
const RESERVE_DIVISOR: usize = 4;

/// Idle connections to the backends, and the limit on all that are open.
pub struct ConnectionPool {
    idle: IdlePool<BackendAddress, BackendConnection>,
    /// Open connections, idle or not.
    open: ConnectionCounter,
    /// The limit on open connections.
    max_open: Rc<Cell<usize>>,
    settings: ConnectionSettings,
    pub(super) clock: Clock,
    /// For responses that are held whole.
    pub(super) response_budget: MemoryBudget,
    /// How often connections were reset at their next request, by how long they had been idle.
    reset_rates: IdleResetRates,
}

impl ConnectionPool {
    pub(super) fn new(
        settings: ConnectionSettings,
        clock: Clock,
        max_open: Rc<Cell<usize>>,
        response_budget: MemoryBudget,
    ) -> Self {
        Self {
            idle: IdlePool::default(),
            open: ConnectionCounter::default(),
            max_open,
            settings,
            clock,
            response_budget,
            reset_rates: IdleResetRates::default(),
        }
    }

    /// Closes connections that have been idle for too long. Never returns.
    pub(super) async fn sweep(&self) {
        loop {
            self.clock.sleep(SWEEP_INTERVAL).await;
            let max_idle_time = self.max_idle_time();
            self.idle
                .retain(self.clock.now(), |_, connection, idle_time| {
                    connection.is_idle() && idle_time < max_idle_time
                });
            self.reset_rates.decay();
        }
    }

    /// Closes the idle connections to a backend.
    pub(super) fn close_idle(&self, backend: BackendId) {
        self.idle.retain(self.clock.now(), |destination, _, _| {
            destination.backend != backend
        });
    }

    /// Whether a connection may be used for something else than a request that is waited for.
    pub(super) fn has_spare_connections(&self) -> bool {
        self.open.get() < self.max_open.get() / RESERVE_DIVISOR * (RESERVE_DIVISOR - 1)
    }

    /// Leases the idle connection to a backend that was used last, so that those in excess reach their idle timeout.
    pub(super) fn lease_idle(
        self: &Rc<Self>,
        engine: &HttpEngine,
        destination: BackendAddress,
    ) -> Option<LeasedConnection> {
        let idle = self
            .idle
            .take(&destination, self.clock.now(), MIN_IDLE_TIME)?;
        let is_usable =
            idle.idle_time < self.max_idle_time() && self.reset_rates.allows_reuse(idle.idle_time);
        is_usable.then(|| LeasedConnection {
            connection: idle.connection,
            idle_time: Some(idle.idle_time),
            destination,
            pool: self.clone(),
            engine: engine.clone(),
            upload: UploadExchange::default(),
        })
    }

    /// Opens a connection to a backend.
    pub(super) async fn lease_new(
        self: &Rc<Self>,
        engine: &HttpEngine,
        destination: BackendAddress,
    ) -> Result<LeasedConnection, ConnectError> {
        Ok(LeasedConnection {
            connection: self.open(engine, destination.address).await?,
            idle_time: None,
            destination,
            pool: self.clone(),
            engine: engine.clone(),
            upload: UploadExchange::default(),
        })
    }

    /// Records a request on a connection that had been idle for this long, and whether it was reset.
    pub(super) fn record_reuse(&self, idle_time: Nanos, was_reset: bool) {
        self.reset_rates.record(idle_time, was_reset);
    }

    async fn open(
        &self,
        engine: &HttpEngine,
        address: SocketAddr,
    ) -> Result<BackendConnection, ConnectError> {
        // A test that steps the node's clock must reach nothing but its fakes.
        if self.clock.is_virtual() && !address.ip().is_loopback() {
            return Err(ConnectError::NotLoopback);
        }
        let max_open = self.max_open.get();
        if self.open.get() >= max_open {
            self.idle.drop_oldest(|_| true);
        }
        if self.open.get() >= max_open + max_open / OVERSHOOT_DIVISOR {
            return Err(ConnectError::TooManyConnections);
        }
        let guard = self.open.open();
        let timeout = Duration::from_nanos(self.settings.connect_timeout);
        BackendConnection::open(address, timeout, &self.clock, engine.metrics(), guard).await
    }

    fn max_idle_time(&self) -> Nanos {
        self.settings.idle_timeout / IDLE_TIMEOUT_DIVISOR
    }
}

/// A connection that is in use for one exchange; closed when dropped, unless it is released.
pub(super) struct LeasedConnection {
    pub(super) connection: BackendConnection,
    /// How long it had been idle before; none for a new one.
    pub(super) idle_time: Option<Nanos>,
    pub(super) destination: BackendAddress,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) engine: HttpEngine,
    /// The upload that is sent over it, if there is one.
    pub(super) upload: UploadExchange,
}

impl LeasedConnection {
    /// Waits until a request can be written; false if the connection has ended instead.
    pub(super) async fn is_ready(&mut self) -> bool {
        self.connection.sender.ready().await.is_ok()
    }

    /// Returns the connection to the pool for the next exchange, unless its backend has left or moved meanwhile, or has
    /// responded before the request was sent: the next request could wait behind the rest of that one.
    pub(super) fn release(mut self) {
        let BackendAddress { backend, address } = self.destination;
        if !self.upload.has_early_response()
            && self.connection.is_idle()
            && self.engine.is_in_service_at(backend, address)
        {
            let now = self.pool.clock.now();
            self.pool.idle.put(self.destination, self.connection, now);
        }
    }
}

//! The bounded pool of connections to backends. A connection is leased for one exchange: an idle connection if one can
//! be reused, else a new one.

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

/// Minimum idle time before a connection is reused. Unexpected bytes behind a response would be taken for the next
/// response. While the connection is idle, such bytes or a close are detected, and the connection is dropped.
const MIN_IDLE_TIME: Nanos = 10 * MILLISECOND;

/// Divisor of the backends' idle timeout: idle connections are kept for this fraction of it. A request written while
/// the backend closes the connection would be reset, and may have run.
const IDLE_TIMEOUT_DIVISOR: u64 = 2;

/// Interval at which idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Divisor of the limit on open connections: the limit may be exceeded by this fraction of it. A connection that is
/// closed to make room counts as open until its task ends.
const OVERSHOOT_DIVISOR: usize = 8;

/// Divisor of the limit on open connections: this fraction of it is reserved for requests with a waiting client.
const RESERVE_DIVISOR: usize = 4;

/// Interval at which it is checked whether a connection may be opened again.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a new connection is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPurpose {
    /// A request whose client has sent all of it. Waits for capacity as long as for a connect.
    CompleteRequest,
    /// An upload, which may take long: leaves a part of the capacity to complete requests. Waits until it is cancelled.
    Upload,
    /// A health check, which waits for no capacity.
    HealthCheck,
}

/// The pool of idle connections to the backends, and the limit on all open connections.
pub struct ConnectionPool {
    idle: IdlePool<BackendAddress, BackendConnection>,
    /// Number of open connections, idle or leased.
    open: ConnectionCounter,
    /// Maximum number of open connections; may change at any time.
    max_open: Rc<Cell<usize>>,
    settings: ConnectionSettings,
    pub(super) clock: Clock,
    /// Memory for buffered responses.
    pub(super) response_budget: MemoryBudget,
    /// How often connections were reset by their next request, by idle time.
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

    /// Whether a connection may be used for other purposes than a request with a waiting client.
    pub(super) fn has_spare_connections(&self) -> bool {
        self.open.get() < self.max_open.get() / RESERVE_DIVISOR * (RESERVE_DIVISOR - 1)
    }

    /// Leases the most recently used idle connection to a backend, so that surplus connections reach their idle
    /// timeout.
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
        purpose: ConnectionPurpose,
    ) -> Result<LeasedConnection, ConnectError> {
        self.wait_for_capacity(purpose).await?;
        Ok(LeasedConnection {
            connection: self.open(engine, destination.address).await?,
            idle_time: None,
            destination,
            pool: self.clone(),
            engine: engine.clone(),
            upload: UploadExchange::default(),
        })
    }

    /// Records whether a request on a connection that had been idle for `idle_time` was reset.
    pub(super) fn record_reuse(&self, idle_time: Nanos, was_reset: bool) {
        self.reset_rates.record(idle_time, was_reset);
    }

    /// Waits until another connection may be opened for this purpose.
    async fn wait_for_capacity(&self, purpose: ConnectionPurpose) -> Result<(), ConnectError> {
        let max_wait = match purpose {
            ConnectionPurpose::CompleteRequest => self.settings.connect_timeout,
            ConnectionPurpose::Upload => Nanos::MAX,
            ConnectionPurpose::HealthCheck => 0,
        };
        let ends_at = self.clock.now().saturating_add(max_wait);
        while !self.has_capacity(purpose) {
            if self.clock.now() >= ends_at {
                return Err(ConnectError::TooManyConnections);
            }
            self.clock.sleep(CAPACITY_CHECK_INTERVAL).await;
        }
        Ok(())
    }

    /// Whether another connection may be opened for this purpose. Closes the oldest idle connection if the limit is
    /// reached.
    fn has_capacity(&self, purpose: ConnectionPurpose) -> bool {
        let max_open = self.max_open.get();
        if purpose == ConnectionPurpose::Upload && !self.has_spare_connections() {
            self.idle.drop_oldest(|_| true);
            return false;
        }
        if self.open.get() >= max_open {
            self.idle.drop_oldest(|_| true);
        }
        self.open.get() < max_open + max_open / OVERSHOOT_DIVISOR
    }

    async fn open(
        &self,
        engine: &HttpEngine,
        address: SocketAddr,
    ) -> Result<BackendConnection, ConnectError> {
        // A node on a test-controlled clock must not connect to anything but the fakes of its test.
        if self.clock.is_virtual() && !address.ip().is_loopback() {
            return Err(ConnectError::NotLoopback);
        }
        let guard = self.open.open();
        let timeout = Duration::from_nanos(self.settings.connect_timeout);
        BackendConnection::open(address, timeout, &self.clock, engine.metrics(), guard).await
    }

    fn max_idle_time(&self) -> Nanos {
        self.settings.idle_timeout / IDLE_TIMEOUT_DIVISOR
    }
}

/// A connection leased for one exchange. Closed when dropped, unless released.
pub(super) struct LeasedConnection {
    pub(super) connection: BackendConnection,
    /// How long the connection was idle before the lease; `None` for a new connection.
    pub(super) idle_time: Option<Nanos>,
    pub(super) destination: BackendAddress,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) engine: HttpEngine,
    /// The upload that is sent over the connection, if there is one.
    pub(super) upload: UploadExchange,
}

impl LeasedConnection {
    /// Waits until a request can be written. Returns false if the connection has ended instead.
    pub(super) async fn is_ready(&mut self) -> bool {
        self.connection.sender.ready().await.is_ok()
    }

    /// Returns the connection to the pool. The connection is closed instead if the backend has left the list, restarted
    /// or changed its address, or if the backend has responded before the request was sent: the next request could be
    /// blocked by the unread rest of the body.
    pub(super) fn release(mut self) {
        if !self.upload.has_early_response()
            && self.connection.is_idle()
            && self.engine.is_in_service_at(self.destination)
        {
            let now = self.pool.clock.now();
            self.pool.idle.put(self.destination, self.connection, now);
        }
    }
}

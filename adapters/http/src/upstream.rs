//! The upstream side: attempts and health checks over a bounded pool of connections to the backends. The result of an
//! attempt is reported as an [`Outcome`](badgerpost_balancer::Outcome), and the balancer decides on retries. Only a
//! pooled connection that has closed before anything was written to it is replaced within the same attempt.

mod attempt;
mod connection;
mod forwarding;
mod health_check;
mod idle_reset_rates;
mod load_report;
mod pool;
mod response_activity;
mod response_reader;

use std::cell::Cell;
use std::rc::Rc;

use badgerpost_balancer::BackendId;
use badgerpost_engine::{BackendAddress, Clock, Transport, spawn};
use badgerpost_settings::ConnectionSettings;

use crate::backend_response::BackendResponse;
use crate::memory_budget::MemoryBudget;
use crate::{Http, HttpEngine};

pub use pool::ConnectionPool;

type AttemptCommand = badgerpost_engine::AttemptCommand<Http>;
type AttemptEnd = badgerpost_engine::AttemptEnd<BackendResponse>;

/// Runs attempts and health checks over a pool of connections, each in a task of its own.
pub struct HttpTransport(Rc<ConnectionPool>);

impl HttpTransport {
    /// Creates a transport whose pool holds at most `max_open` connections; the limit may change at any time. Buffered
    /// responses reserve memory from `response_budget`.
    pub fn new(
        settings: ConnectionSettings,
        clock: Clock,
        max_open: Rc<Cell<usize>>,
        response_budget: MemoryBudget,
    ) -> Self {
        Self(Rc::new(ConnectionPool::new(
            settings,
            clock,
            max_open,
            response_budget,
        )))
    }

    /// Closes connections of the pool that have been idle for too long. Never returns.
    pub async fn sweep(pool: Rc<ConnectionPool>) {
        pool.sweep().await;
    }

    /// The connection pool, shared with [`sweep`](Self::sweep).
    pub fn pool(&self) -> Rc<ConnectionPool> {
        self.0.clone()
    }
}

impl Transport<Http> for HttpTransport {
    fn start_attempt(&self, engine: &HttpEngine, command: AttemptCommand) {
        spawn(attempt::run(self.0.clone(), engine.clone(), command));
    }

    fn check_health(&self, engine: &HttpEngine, target: BackendAddress) {
        spawn(health_check::run(self.0.clone(), engine.clone(), target));
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.0.close_idle(backend);
    }
}

//! Counts client connections that are closed by a limit, and logs them at a limited rate.

use std::cell::RefCell;
use std::sync::Arc;

use badgerpost_engine::{Clock, ConnectionLimit, LogLimiter, Metrics};

/// Records which limits close client connections.
pub(crate) struct CloseRecorder {
    metrics: Arc<Metrics>,
    log: RefCell<LogLimiter>,
}

impl CloseRecorder {
    pub(crate) fn new(metrics: Arc<Metrics>, clock: Clock) -> Self {
        Self {
            metrics,
            log: RefCell::new(LogLimiter::new(clock)),
        }
    }

    /// Records that `limit` has closed a connection.
    pub(crate) fn record(&self, limit: ConnectionLimit) {
        self.metrics.connection_closed(limit);
        self.log.borrow_mut().log(|suppressed| {
            let limit = limit.name();
            tracing::info!(limit, suppressed, "client connection closed by a limit");
        });
    }
}

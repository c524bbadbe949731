//! Counts client connections that are closed by a limit, and logs them at a limited rate.

use std::cell::RefCell;
use std::sync::Arc;

use badgerpost_engine::{Clock, ConnectionLimit, LogLimiter, Metrics};
use badgerpost_time::{MILLISECOND, Nanos};

/// How long nothing has moved on a connection, in each direction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inactivity {
    /// Time since bytes were last read from the client.
    pub(crate) receive: Nanos,
    /// Time since the operating system last took bytes for the client.
    pub(crate) send: Nanos,
}

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
    pub(crate) fn record(&self, limit: ConnectionLimit, inactivity: Inactivity) {
        self.metrics.connection_closed(limit);
        self.log.borrow_mut().log(|suppressed| {
            let limit = limit.name();
            let receive_idle_ms = inactivity.receive / MILLISECOND;
            let send_idle_ms = inactivity.send / MILLISECOND;
            tracing::info!(
                limit,
                receive_idle_ms,
                send_idle_ms,
                suppressed,
                "client connection closed by a limit"
            );
        });
    }
}

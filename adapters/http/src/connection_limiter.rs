//! Admission of client connections: limits their number, evicts connections to admit new ones, and closes connections
//! that time out. A connection is never evicted while a complete request on it is being served, or while its upload
//! waits for a backend.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use badgerpost_engine::{Clock, Metrics};
use tokio::sync::Notify;

use crate::close_recorder::CloseRecorder;
use crate::timeouts::{EVICTION_RETRY_INTERVAL, TIMEOUT_CHECK_INTERVAL};
use crate::tracked_connection::{IdleConnections, TrackedConnection};

/// All client connections; at most `max_connections` are open at a time.
pub(crate) struct ConnectionLimiter {
    /// Keyed by a sequence number, in the order of admission.
    connections: RefCell<BTreeMap<u64, Rc<TrackedConnection>>>,
    idle_connections: Rc<IdleConnections>,
    close_recorder: Rc<CloseRecorder>,
    next_number: Cell<u64>,
    /// May change at any time.
    max_connections: Rc<Cell<usize>>,
    released: Notify,
    clock: Clock,
}

impl ConnectionLimiter {
    /// Creates a limiter without connections. Connections closed by a limit are counted in `metrics`.
    pub(crate) fn new(
        max_connections: Rc<Cell<usize>>,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Self {
            connections: RefCell::default(),
            idle_connections: Rc::new(IdleConnections::new(max_connections.clone())),
            close_recorder: Rc::new(CloseRecorder::new(metrics, clock.clone())),
            next_number: Cell::new(0),
            max_connections,
            released: Notify::new(),
            clock,
        })
    }

    /// Waits until a new connection can be admitted. Evicts connections while the limit is reached.
    pub(crate) async fn admit(self: &Rc<Self>) -> ConnectionPermit {
        while self.connections.borrow().len() >= self.max_connections.get() {
            self.evict_one();
            // Meanwhile another connection may end, or become old enough to be evicted.
            let released = self.released.notified();
            let _ = self.clock.timeout(EVICTION_RETRY_INTERVAL, released).await;
        }
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = Rc::new(TrackedConnection::new(
            self.idle_connections.clone(),
            self.close_recorder.clone(),
            self.clock.clone(),
        ));
        self.connections
            .borrow_mut()
            .insert(number, connection.clone());
        ConnectionPermit {
            limiter: self.clone(),
            number,
            connection,
        }
    }

    fn evict_one(&self) {
        let now = self.clock.now();
        let connections = self.connections.borrow();
        let evictable = connections
            .values()
            .filter_map(|connection| Some((connection.eviction_rank(now)?, connection)));
        if let Some((_, connection)) = evictable.min_by_key(|(rank, _)| *rank) {
            connection.request_eviction();
        }
    }

    /// Closes connections that time out. Never returns.
    pub(crate) async fn run_timeouts(self: Rc<Self>) {
        loop {
            // This loop also serves as the heartbeat by which a stall of the process is detected.
            self.clock.heartbeat(TIMEOUT_CHECK_INTERVAL).await;
            let now = self.clock.now();
            for connection in self.connections.borrow().values() {
                connection.check_timeout(now);
            }
        }
    }

    pub(crate) async fn wait_until_empty(&self) {
        while !self.connections.borrow().is_empty() {
            self.released.notified().await;
        }
    }
}

/// Admission of one connection, which counts against the limit until the permit is dropped.
pub(crate) struct ConnectionPermit {
    limiter: Rc<ConnectionLimiter>,
    number: u64,
    connection: Rc<TrackedConnection>,
}

impl ConnectionPermit {
    pub(crate) fn connection(&self) -> &Rc<TrackedConnection> {
        &self.connection
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.limiter.connections.borrow_mut().remove(&self.number);
        self.limiter.released.notify_one();
    }
}

#[cfg(test)]
mod tests;

//! State shared by all client connections: the engine, the memory budget and the node's lifecycle.

use std::cell::Cell;
use std::rc::Rc;

use badgerpost_engine::Clock;
use badgerpost_lifecycle::Stage;
use badgerpost_time::Nanos;
use tokio::sync::watch;

use crate::HttpEngine;
use crate::memory_budget::MemoryBudget;

/// The node's lifecycle, as far as the HTTP server follows it.
#[derive(Clone)]
pub struct ServerLifecycle {
    /// The current stage.
    pub stage: watch::Receiver<Stage>,
    /// From this time on the node reports itself as ready even without a backend in service, as other nodes may have
    /// none either.
    pub ready_by: Nanos,
    /// Deadline for the last response; `None` until the process is asked to exit.
    pub respond_by: Rc<Cell<Option<Nanos>>>,
    /// Whether new connections are accepted.
    pub accepts: watch::Receiver<bool>,
}

/// Limits of the HTTP server.
#[derive(Clone)]
pub struct ServerLimits {
    /// Maximum number of open client connections; may change at any time.
    pub max_connections: Rc<Cell<usize>>,
    /// Memory for buffered request bodies.
    pub memory_budget: MemoryBudget,
}

/// State shared by all client connections.
pub(crate) struct ServerContext {
    pub(crate) engine: HttpEngine,
    /// Memory for buffered request bodies.
    pub(crate) memory_budget: MemoryBudget,
    pub(crate) lifecycle: ServerLifecycle,
}

impl ServerContext {
    pub(crate) fn clock(&self) -> &Clock {
        self.engine.clock()
    }

    pub(crate) fn is_in_service(&self) -> bool {
        self.lifecycle.stage.borrow().is_ready()
    }

    /// Whether a backend is in service, or the time to wait for one is over.
    pub(crate) fn has_backend_or_waited(&self) -> bool {
        self.engine.has_endpoint_in_service() || self.clock().now() >= self.lifecycle.ready_by
    }

    /// The time left for the last response; `Nanos::MAX` until the process is asked to exit.
    pub(crate) fn time_until_last_response(&self) -> Nanos {
        self.lifecycle
            .respond_by
            .get()
            .map_or(Nanos::MAX, |at| at.saturating_sub(self.clock().now()))
    }
}

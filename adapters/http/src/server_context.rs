//! What all connections of the client side share: the engine, its limits, and the node's lifecycle.

use std::cell::Cell;
use std::rc::Rc;

use badgerpost_engine::Clock;
use badgerpost_lifecycle::Stage;
use badgerpost_time::Nanos;
use tokio::sync::watch;

use crate::HttpEngine;
use crate::memory_budget::MemoryBudget;

/// The node's lifecycle, as the client side sees it.
#[derive(Clone)]
pub struct ServerLifecycle {
    /// The stage of the lifecycle.
    pub stage: watch::Receiver<Stage>,
    /// When the node reports itself as ready though it knows of no backend: no other node may know of one either.
    pub ready_by: Nanos,
    /// When the last response has to be sent; none until the process has been asked to exit.
    pub respond_by: Rc<Cell<Option<Nanos>>>,
    /// Whether new connections are accepted.
    pub accepts: watch::Receiver<bool>,
}

/// Limits of the client side.
#[derive(Clone)]
pub struct ServerLimits {
    /// The most client connections; may change at any time.
    pub max_connections: Rc<Cell<usize>>,
    /// For bodies that are buffered.
    pub memory_budget: MemoryBudget,
}

/// What all connections share.
pub(crate) struct ServerContext {
    pub(crate) engine: HttpEngine,
    /// For bodies that are buffered.
    pub(crate) memory_budget: MemoryBudget,
    pub(crate) lifecycle: ServerLifecycle,
}

impl ServerContext {
    /// The node's clock.
    pub(crate) fn clock(&self) -> &Clock {
        self.engine.clock()
    }

    /// Whether the node is in service.
    pub(crate) fn is_in_service(&self) -> bool {
        self.lifecycle.stage.borrow().is_ready()
    }

    /// Whether the node knows of a backend in service, or has waited for long enough to hear of one.
    pub(crate) fn has_backend_or_waited(&self) -> bool {
        self.engine.has_endpoint_in_service() || self.clock().now() >= self.lifecycle.ready_by
    }

    /// The time until the last response has to be sent; unlimited until the process has been asked to exit.
    pub(crate) fn time_until_last_response(&self) -> Nanos {
        self.lifecycle
            .respond_by
            .get()
            .map_or(Nanos::MAX, |at| at.saturating_sub(self.clock().now()))
    }
}

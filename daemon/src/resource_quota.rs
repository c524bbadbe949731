//! This process's share of the node's file descriptors and memory: the share of a single process, or a smaller one while
//! another version of the node runs on the same machine.

use std::cell::Cell;
use std::rc::Rc;

use badgerpost_http::memory_budget::MemoryBudget;

use crate::config::{ResourcePlan, ResourceShare};

/// The current limits of this process. Clones share the limits.
#[derive(Clone)]
pub struct ResourceQuota {
    plan: ResourcePlan,
    /// Maximum number of client connections.
    pub clients: Rc<Cell<usize>>,
    /// Maximum number of backend connections.
    pub backends: Rc<Cell<usize>>,
    /// Memory for bodies.
    pub body_memory: MemoryBudget,
}

impl ResourceQuota {
    /// The quota of a process that runs alone.
    pub fn new(plan: ResourcePlan) -> Self {
        let ResourceShare {
            clients,
            backends,
            body_bytes,
        } = plan.alone;
        Self {
            plan,
            clients: Rc::new(Cell::new(clients)),
            backends: Rc::new(Cell::new(backends)),
            body_memory: MemoryBudget::new(body_bytes),
        }
    }

    /// Sets whether another version of the node runs beside this one. What is in use beyond the smaller share stays in
    /// use until it is released.
    pub fn set_shared(&self, is_shared: bool) {
        let share = if is_shared {
            &self.plan.beside_another
        } else {
            &self.plan.alone
        };
        self.clients.set(share.clients);
        self.backends.set(share.backends);
        self.body_memory.set_limit(share.body_bytes);
    }
}

//! This process's share of the node's file descriptors: all of them, or half while another version of the node runs on
//! the same machine.

use std::cell::Cell;
use std::rc::Rc;

use crate::config::ConnectionLimits;

/// The current connection limits of this process. Clones share the limits.
#[derive(Clone)]
pub struct DescriptorQuota {
    limits: ConnectionLimits,
    /// Maximum number of client connections.
    pub clients: Rc<Cell<usize>>,
    /// Maximum number of backend connections.
    pub backends: Rc<Cell<usize>>,
}

impl DescriptorQuota {
    /// A quota of all descriptors of the node.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            clients: Rc::new(Cell::new(limits.clients)),
            backends: Rc::new(Cell::new(limits.backends)),
        }
    }

    /// Halves the limits, or restores the full ones.
    pub fn set_halved(&self, is_halved: bool) {
        let divisor = if is_halved { 2 } else { 1 };
        self.clients.set(self.limits.clients / divisor);
        self.backends.set(self.limits.backends / divisor);
    }
}

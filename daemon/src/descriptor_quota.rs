//! This process's quota of the node's descriptors: all of them, or half while another version runs beside it.

use std::cell::Cell;
use std::rc::Rc;

use crate::config::ConnectionLimits;

/// The most connections of each kind that this process may have at the moment. Clones share it.
#[derive(Clone)]
pub struct DescriptorQuota {
    limits: ConnectionLimits,
    /// Connections with clients.
    pub clients: Rc<Cell<usize>>,
    /// Connections with backends.
    pub backends: Rc<Cell<usize>>,
}

impl DescriptorQuota {
    /// All that the node may have.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            clients: Rc::new(Cell::new(limits.clients)),
            backends: Rc::new(Cell::new(limits.backends)),
        }
    }

    /// Sets whether another process has the other half.
    pub fn set_halved(&self, is_halved: bool) {
        let divisor = if is_halved { 2 } else { 1 };
        self.clients.set(self.limits.clients / divisor);
        self.backends.set(self.limits.backends / divisor);
    }
}

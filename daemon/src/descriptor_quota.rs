//! This process's share of the node's descriptors: all of them, or half while another version runs beside it.

use std::cell::Cell;
use std::rc::Rc;

/// The most of either kind of connection. Clones share it.
#[derive(Clone)]
pub struct DescriptorQuota {
    all: (usize, usize),
    /// Clients' connections.
    pub clients: Rc<Cell<usize>>,
    /// Servers' connections.
    pub servers: Rc<Cell<usize>>,
}

impl DescriptorQuota {
    /// All of them.
    pub fn new(clients: usize, servers: usize) -> Self {
        Self {
            all: (clients, servers),
            clients: Rc::new(Cell::new(clients)),
            servers: Rc::new(Cell::new(servers)),
        }
    }

    /// Half of them from now on, or all.
    pub fn halve(&self, halved: bool) {
        let part = if halved { 2 } else { 1 };
        self.clients.set(self.all.0 / part);
        self.servers.set(self.all.1 / part);
    }
}

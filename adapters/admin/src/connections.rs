//! The console's open connections. With too many, the oldest one is closed: a client that has its response closes at
//! once, so the oldest is one that does not.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::oneshot;

/// The most open connections: some pollers and people. Each holds a descriptor that the clients' side does not get.
const MAX_CONNECTIONS: usize = 16;

/// The open connections, the oldest one first.
#[derive(Default)]
pub(crate) struct Connections {
    open: RefCell<VecDeque<OpenConnection>>,
    next_id: Cell<u64>,
}

struct OpenConnection {
    id: u64,
    /// Dropped to have the connection closed.
    _displaced: oneshot::Sender<()>,
}

/// One connection's place among the open ones, until dropped.
pub(crate) struct ConnectionSlot {
    connections: Rc<Connections>,
    id: u64,
    displaced: oneshot::Receiver<()>,
}

impl Connections {
    /// Adds a connection, in place of the oldest one where there are too many.
    pub(crate) fn open(connections: &Rc<Self>) -> ConnectionSlot {
        let id = connections.next_id.get();
        connections.next_id.set(id + 1);
        let (displaced_sender, displaced) = oneshot::channel();
        let mut open = connections.open.borrow_mut();
        if open.len() >= MAX_CONNECTIONS {
            open.pop_front();
        }
        open.push_back(OpenConnection {
            id,
            _displaced: displaced_sender,
        });
        ConnectionSlot {
            connections: connections.clone(),
            id,
            displaced,
        }
    }
}

impl ConnectionSlot {
    /// Waits until a newer connection takes this one's place.
    pub(crate) async fn displaced(&mut self) {
        // The sender is dropped, never used.
        let _ = (&mut self.displaced).await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections
            .open
            .borrow_mut()
            .retain(|connection| connection.id != self.id);
    }
}

#[cfg(test)]
mod tests;

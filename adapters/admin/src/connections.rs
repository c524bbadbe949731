//! Limits the number of the console's open connections. A connection beyond the limit evicts the oldest one. The oldest
//! one's client has most likely stalled, because a connection closes after one response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::oneshot;

/// The maximum number of open connections. Each connection takes a file descriptor that client connections can't use.
const MAX_CONNECTIONS: usize = 16;

/// The open connections.
#[derive(Default)]
pub(crate) struct Connections {
    /// Ordered from the oldest to the newest.
    open: RefCell<VecDeque<OpenConnection>>,
    next_id: Cell<u64>,
}

struct OpenConnection {
    id: u64,
    /// Dropped to evict the connection.
    _eviction_sender: oneshot::Sender<()>,
}

/// The slot of one open connection, which is freed on drop.
pub(crate) struct ConnectionSlot {
    connections: Rc<Connections>,
    id: u64,
    eviction: oneshot::Receiver<()>,
}

impl Connections {
    /// Adds a connection. Evicts the oldest connection if the limit is reached.
    pub(crate) fn open(connections: &Rc<Self>) -> ConnectionSlot {
        let id = connections.next_id.get();
        connections.next_id.set(id + 1);
        let (eviction_sender, eviction) = oneshot::channel();
        let mut open = connections.open.borrow_mut();
        if open.len() >= MAX_CONNECTIONS {
            open.pop_front();
        }
        open.push_back(OpenConnection {
            id,
            _eviction_sender: eviction_sender,
        });
        ConnectionSlot {
            connections: connections.clone(),
            id,
            eviction,
        }
    }
}

impl ConnectionSlot {
    /// Waits until this connection is evicted.
    pub(crate) async fn evicted(&mut self) {
        // The sender is only ever dropped, so the result is always an error.
        let _ = (&mut self.eviction).await;
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

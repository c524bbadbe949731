//! A counter of open connections that is decremented when a connection's guard is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// Counts open connections. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounter(Rc<Cell<usize>>);

impl ConnectionCounter {
    /// The number of connections that are currently open.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts a new connection until the returned guard is dropped.
    #[must_use = "the connection counts only while the guard lives"]
    pub fn open(&self) -> ConnectionGuard {
        self.0.set(self.0.get() + 1);
        ConnectionGuard(self.0.clone())
    }

    /// Whether there are other clones of the counter, or guards of open connections.
    pub fn is_shared(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

/// Counts one open connection in its [`ConnectionCounter`] until dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

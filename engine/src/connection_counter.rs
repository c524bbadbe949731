//! A count of open connections that goes down by itself when a connection's owner is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// The number of open connections. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounter(Rc<Cell<usize>>);

impl ConnectionCounter {
    /// The number of connections that are open now.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more connection, until the guard is dropped.
    #[must_use = "the connection counts only while the guard lives"]
    pub fn open(&self) -> ConnectionGuard {
        self.0.set(self.0.get() + 1);
        ConnectionGuard(self.0.clone())
    }

    /// Whether anybody else holds the counter: a guard of an open connection, or a clone that can open one.
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

//! How many connections are open: a count that goes down by itself when a connection's owner is dropped.

use std::cell::Cell;
use std::rc::Rc;

/// A count of open connections. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCounter(Rc<Cell<usize>>);

impl ConnectionCounter {
    /// How many are open now.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more, until what is returned is dropped.
    pub fn open(&self) -> ConnectionGuard {
        self.0.set(self.0.get() + 1);
        ConnectionGuard(self.0.clone())
    }

    /// Whether any connection is counted here or could still be: somebody else holds the count.
    pub fn is_shared(&self) -> bool {
        Rc::strong_count(&self.0) > 1
    }
}

/// One open connection's part of an [`OpenCount`].
#[derive(Debug)]
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

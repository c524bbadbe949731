//! The place where the engine's transport hands a leased server connection to the session that asked for it.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

use crate::ServerLease;

/// Where leases for one session arrive.
#[derive(Default)]
pub struct LeaseSlot {
    /// The transaction that waits for one; 0 for none.
    pub(crate) wanted: Cell<u64>,
    /// The lease that has arrived and is not taken yet.
    pub(crate) lease: RefCell<Option<Box<ServerLease>>>,
    waker: RefCell<Option<Waker>>,
}

impl LeaseSlot {
    /// Brings a lease for a transaction; given back if that waits for none any more.
    pub fn put(&self, transaction: u64, lease: ServerLease) -> Option<ServerLease> {
        if self.lease.borrow().is_some() || self.wanted.get() != transaction {
            return Some(lease);
        }
        *self.lease.borrow_mut() = Some(Box::new(lease));
        self.waker.borrow().iter().for_each(Waker::wake_by_ref);
        None
    }

    /// The lease, once it has arrived; the task is woken when it does.
    pub(crate) fn poll(&self, cx: &Context<'_>) -> Poll<Box<ServerLease>> {
        if let Some(lease) = self.lease.borrow_mut().take() {
            return Poll::Ready(lease);
        }
        let mut waker = self.waker.borrow_mut();
        if waker
            .as_ref()
            .is_none_or(|known| !known.will_wake(cx.waker()))
        {
            *waker = Some(cx.waker().clone());
        }
        Poll::Pending
    }
}

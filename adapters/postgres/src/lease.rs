//! Leases of server connections: what a session asks for, what it gets, and the slot in which the engine's transport
//! leaves it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use badgerpost_balancer::Nanos;
use badgerpost_engine::AttemptId;
use tokio::sync::oneshot;

use crate::pool::{ConnectionTarget, ServerAddress, ServerConnection};

/// A transaction's request for the lease of a server connection.
pub struct LeaseRequest {
    /// The database, and the login at the server.
    pub target: ConnectionTarget,
    /// Where connections are scarce, requests of lower rank go first.
    pub rank: u64,
    /// The transaction's number in its session, from 1.
    pub transaction: u64,
    /// Where the lease is delivered.
    pub slot: Rc<LeaseSlot>,
}

/// A server connection leased to a transaction, until the attempt ends.
pub struct ServerLease {
    /// The attempt.
    pub attempt: AttemptId,
    /// The server.
    pub address: ServerAddress,
    /// The connection.
    pub connection: ServerConnection,
    /// When the attempt times out.
    pub deadline: Nanos,
    /// Resolves once the engine has cancelled the attempt.
    pub cancelled: oneshot::Receiver<()>,
}

/// A transaction that waits for no lease.
const NO_TRANSACTION: u64 = 0;

/// Where the leases for one session arrive.
#[derive(Default)]
pub struct LeaseSlot {
    /// The transaction that waits for a lease, or [`NO_TRANSACTION`].
    expected: Cell<u64>,
    /// The lease that has arrived and was not taken yet.
    delivered: RefCell<Option<Box<ServerLease>>>,
    waker: RefCell<Option<Waker>>,
}

impl LeaseSlot {
    /// From now on only a lease for this transaction is accepted.
    pub fn expect(&self, transaction: u64) {
        self.expected.set(transaction);
    }

    /// Accepts no lease any more. Returns the one that has arrived and was not taken.
    pub fn close(&self) -> Option<Box<ServerLease>> {
        self.expected.set(NO_TRANSACTION);
        self.delivered.borrow_mut().take()
    }

    /// Delivers a lease for a transaction. It is given back if the transaction does not wait for one any more.
    pub fn deliver(&self, transaction: u64, lease: ServerLease) -> Option<ServerLease> {
        if self.delivered.borrow().is_some() || self.expected.get() != transaction {
            return Some(lease);
        }
        *self.delivered.borrow_mut() = Some(Box::new(lease));
        self.waker.borrow().iter().for_each(Waker::wake_by_ref);
        None
    }

    /// The lease, once it has arrived; the task is woken when it does.
    pub fn poll_lease(&self, cx: &Context<'_>) -> Poll<Box<ServerLease>> {
        if let Some(lease) = self.delivered.borrow_mut().take() {
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

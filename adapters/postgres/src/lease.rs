//! Leases of server connections: a session's request, the lease, and the slot through which the engine's transport
//! delivers the lease to the session.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use badgerpost_balancer::Nanos;
use badgerpost_engine::AttemptId;
use tokio::sync::oneshot;

use crate::pool::{ConnectionTarget, ServerAddress, ServerConnection};

/// A transaction's request for the lease of a server connection.
pub struct LeaseRequest {
    /// The database and the login at the server.
    pub target: ConnectionTarget,
    /// Requests with a lower rank are served first when all connections are in use.
    pub rank: u64,
    /// The transaction's sequence number in the session, from 1.
    pub transaction: u64,
    /// The slot into which the lease is delivered.
    pub slot: Rc<LeaseSlot>,
}

/// A server connection that is leased to a transaction until the attempt ends.
pub struct ServerLease {
    /// The engine's attempt that acquired the connection; its end has to be reported to the engine.
    pub attempt: AttemptId,
    /// The server and its address.
    pub address: ServerAddress,
    /// The leased connection.
    pub connection: ServerConnection,
    /// Time at which the attempt times out, on the node's clock.
    pub deadline: Nanos,
    /// Resolves when the engine cancels the attempt.
    pub cancelled: oneshot::Receiver<()>,
}

/// Value of [`LeaseSlot::expected`] while no transaction waits for a lease.
const NO_TRANSACTION: u64 = 0;

/// Receives the leases of one session.
#[derive(Default)]
pub struct LeaseSlot {
    /// Number of the transaction that waits for a lease, or [`NO_TRANSACTION`].
    expected: Cell<u64>,
    /// A delivered lease that the session has not taken yet.
    delivered: RefCell<Option<Box<ServerLease>>>,
    waker: RefCell<Option<Waker>>,
}

impl LeaseSlot {
    /// Accepts a lease for this transaction only, until the next call or [`Self::close`].
    pub fn expect(&self, transaction: u64) {
        self.expected.set(transaction);
    }

    /// Stops accepting leases. Returns a delivered lease that was not taken.
    pub fn close(&self) -> Option<Box<ServerLease>> {
        self.expected.set(NO_TRANSACTION);
        self.delivered.borrow_mut().take()
    }

    /// Delivers a lease for a transaction. Returns the lease if the transaction is no longer waiting.
    pub fn deliver(&self, transaction: u64, lease: ServerLease) -> Option<ServerLease> {
        if self.delivered.borrow().is_some() || self.expected.get() != transaction {
            return Some(lease);
        }
        *self.delivered.borrow_mut() = Some(Box::new(lease));
        self.waker.borrow().iter().for_each(Waker::wake_by_ref);
        None
    }

    /// Takes the delivered lease. While there is none, registers the task to be woken on delivery.
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

//! The connection slots of one server: connections open, logins in progress, and the transactions that wait for one of
//! them to come free.
//!
//! Whatever frees a slot or a connection wakes the first waiter. Until that one has looked, newcomers stay behind it;
//! otherwise whoever arrives as a connection is released would take it, and the waiters would starve.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use badgerpost_balancer::Nanos;
use tokio::sync::oneshot;

use crate::config::PoolLimits;
use crate::login::ConnectError;

/// Most transactions that wait for each connection of a server: with more, the wait would outlast any deadline.
const MAX_WAITERS_PER_CONNECTION: usize = 64;
/// Weight of one transaction in the smoothed time for which a transaction has a connection.
const LEASE_TIME_SMOOTHING: f64 = 0.05;

/// A transaction's position among those that wait; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    /// From the priority of its class.
    pub(super) rank: u64,
    /// The order of arrival at the pool.
    pub(super) arrival: u64,
}

/// Connection slots of one server.
#[derive(Default)]
pub(super) struct ServerSlots {
    open: Cell<usize>,
    logging_in: Cell<usize>,
    waiters: RefCell<BTreeMap<QueuePosition, oneshot::Sender<Turn>>>,
    /// Waiters that were woken and have not looked yet: what is free is theirs first.
    pending_turns: Cell<usize>,
    /// Smoothed time for which a transaction has a connection, in nanoseconds; 0 before the first.
    mean_lease_time: Cell<f64>,
    transactions: Cell<u64>,
}

impl ServerSlots {
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    pub(super) fn logging_in(&self) -> usize {
        self.logging_in.get()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiters.borrow().len()
    }

    /// Transactions that have released their connection so far.
    pub(super) fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Smoothed time for which a transaction has a connection, in nanoseconds.
    pub(super) fn mean_lease_time(&self) -> f64 {
        self.mean_lease_time.get()
    }

    /// Counts a transaction that had a connection for this time.
    pub(super) fn record_lease(&self, lease_time: Nanos) {
        let lease_time = lease_time as f64;
        let mean = self.mean_lease_time.get();
        self.mean_lease_time.set(if mean == 0.0 {
            lease_time
        } else {
            mean + (lease_time - mean) * LEASE_TIME_SMOOTHING
        });
        self.transactions.set(self.transactions.get() + 1);
    }

    /// Whether all connections that the limits allow are open.
    pub(super) fn is_full(&self, limits: &PoolLimits) -> bool {
        self.open.get() >= limits.max_connections_per_server
    }

    /// Whether the limits allow one more connection now.
    pub(super) fn can_log_in(&self, limits: &PoolLimits) -> bool {
        !self.is_full(limits) && self.logging_in.get() < limits.max_concurrent_logins
    }

    /// Takes a slot for a connection that is about to be opened.
    pub(super) fn open_connection(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot(self.clone())
    }

    /// Counts a login until the guard is dropped.
    pub(super) fn start_login(self: &Rc<Self>) -> LoginGuard {
        self.logging_in.set(self.logging_in.get() + 1);
        LoginGuard(self.clone())
    }

    /// Whether others come before a transaction that has not waited yet.
    pub(super) fn has_earlier_waiter(&self, position: QueuePosition) -> bool {
        self.pending_turns.get() > 0 || self.waiters.borrow().range(..position).next().is_some()
    }

    /// Checks that a transaction at this position may expect a connection before its deadline.
    pub(super) fn check_expected_wait(
        &self,
        position: QueuePosition,
        limits: &PoolLimits,
        now: Nanos,
        deadline: Nanos,
    ) -> Result<(), ConnectError> {
        let waiters = self.waiters.borrow();
        let connections = limits.max_connections_per_server;
        let time_per_waiter = self.mean_lease_time.get() / connections.max(1) as f64;
        let waiters_ahead = waiters.range(..position).count();
        let expected_wait = (time_per_waiter * (waiters_ahead + 1) as f64) as Nanos;
        let is_queue_full = waiters.len() >= connections.saturating_mul(MAX_WAITERS_PER_CONNECTION);
        if now.saturating_add(expected_wait) >= deadline || is_queue_full {
            return Err(ConnectError::PoolExhausted);
        }
        Ok(())
    }

    /// Adds a waiter; what is returned resolves when its turn has come.
    pub(super) fn enqueue(&self, position: QueuePosition) -> oneshot::Receiver<Turn> {
        let (turn, woken) = oneshot::channel();
        self.waiters.borrow_mut().insert(position, turn);
        woken
    }

    /// Removes a waiter.
    pub(super) fn dequeue(&self, position: QueuePosition) {
        self.waiters.borrow_mut().remove(&position);
    }

    /// Gives the first waiter a turn, as something may have come free.
    pub(super) fn wake_next(self: &Rc<Self>) {
        loop {
            let first = self.waiters.borrow_mut().pop_first();
            let Some((_, waiter)) = first else { return };
            self.pending_turns.set(self.pending_turns.get() + 1);
            match waiter.send(Turn(Some(self.clone()))) {
                Ok(()) => return,
                // It has given up meanwhile, so the turn is the next one's.
                Err(turn) => turn.end_unused(),
            }
        }
    }
}

/// A woken waiter's turn to look for a connection. When it is dropped, used or not, the next waiter is woken.
pub(super) struct Turn(Option<Rc<ServerSlots>>);

impl Turn {
    fn end(&mut self) -> Option<Rc<ServerSlots>> {
        let slots = self.0.take()?;
        let pending = slots.pending_turns.get();
        slots.pending_turns.set(pending.saturating_sub(1));
        Some(slots)
    }

    /// Ends the turn without waking the next waiter: there is nothing to be had.
    pub(super) fn end_unused(mut self) {
        self.end();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some(slots) = self.end() {
            slots.wake_next();
        }
    }
}

/// An open connection's slot at its server, free again once this is dropped.
pub(super) struct ConnectionSlot(Rc<ServerSlots>);

impl ConnectionSlot {
    /// All slots of its server.
    pub(super) fn server_slots(&self) -> &Rc<ServerSlots> {
        &self.0
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
        self.0.wake_next();
    }
}

/// A login in progress.
pub(super) struct LoginGuard(Rc<ServerSlots>);

impl Drop for LoginGuard {
    fn drop(&mut self) {
        let logging_in = self.0.logging_in.get();
        self.0.logging_in.set(logging_in.saturating_sub(1));
        self.0.wake_next();
    }
}

#[cfg(test)]
mod tests;

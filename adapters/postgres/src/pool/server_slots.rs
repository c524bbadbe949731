//! The connection slots of one server: open connections, logins in progress, and the queue of transactions that wait
//! for a connection.
//!
//! Releasing a slot or a connection wakes the first waiter. Until that waiter has looked for a connection, newly
//! arrived transactions queue behind it. Otherwise new arrivals would take every released connection and starve the
//! waiters.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use badgerpost_balancer::Nanos;
use tokio::sync::oneshot;

use crate::config::PoolLimits;
use crate::login::ConnectError;

/// Maximum queue length of a server, per allowed connection. In a longer queue the wait would outlast any deadline.
const MAX_WAITERS_PER_CONNECTION: usize = 64;
/// Weight of the latest transaction in the moving average of lease times.
const LEASE_TIME_WEIGHT: f64 = 0.05;

/// A transaction's position in a server's queue; the lowest position is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    /// Derived from the priority weight of the transaction's class; lower for a higher weight.
    pub(super) rank: u64,
    /// Sequence number of the transaction's arrival at the pool.
    pub(super) arrival: u64,
}

/// Connection slots and waiting queue of one server.
#[derive(Default)]
pub(super) struct ServerSlots {
    open: Cell<usize>,
    logging_in: Cell<usize>,
    waiters: RefCell<BTreeMap<QueuePosition, oneshot::Sender<Turn>>>,
    /// Woken waiters that have not yet looked for a connection. They take precedence over new arrivals.
    pending_turns: Cell<usize>,
    /// Moving average of lease times, in nanoseconds; 0 before the first lease ends.
    mean_lease_time: Cell<f64>,
    transactions: Cell<u64>,
    /// Leased connections that were closed instead of returned to the pool.
    dropped: Cell<u64>,
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

    /// Transactions that have released their connection since these slots were created.
    pub(super) fn transactions(&self) -> u64 {
        self.transactions.get()
    }

    /// Leased connections that were closed instead of returned to the pool.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Counts a leased connection that is closed instead of returned to the pool.
    pub(super) fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }

    /// Moving average of the time for which a transaction holds a connection, in nanoseconds.
    pub(super) fn mean_lease_time(&self) -> f64 {
        self.mean_lease_time.get()
    }

    /// Counts a transaction that held a connection for `lease_time`.
    pub(super) fn record_lease(&self, lease_time: Nanos) {
        let lease_time = lease_time as f64;
        let mean = self.mean_lease_time.get();
        self.mean_lease_time.set(if mean == 0.0 {
            lease_time
        } else {
            mean + (lease_time - mean) * LEASE_TIME_WEIGHT
        });
        self.transactions.set(self.transactions.get() + 1);
    }

    /// Whether the connection limit is reached.
    pub(super) fn is_full(&self, limits: &PoolLimits) -> bool {
        self.open.get() >= limits.max_connections_per_server
    }

    /// Whether the limits on connections and on concurrent logins allow one more login now.
    pub(super) fn can_log_in(&self, limits: &PoolLimits) -> bool {
        !self.is_full(limits) && self.logging_in.get() < limits.max_concurrent_logins
    }

    /// Reserves a slot for a connection that is about to be opened.
    pub(super) fn open_connection(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot(self.clone())
    }

    /// Counts a login until the guard is dropped.
    pub(super) fn start_login(self: &Rc<Self>) -> LoginGuard {
        self.logging_in.set(self.logging_in.get() + 1);
        LoginGuard(self.clone())
    }

    /// Whether a transaction that has not queued yet has to queue behind a waiter.
    pub(super) fn has_earlier_waiter(&self, position: QueuePosition) -> bool {
        self.pending_turns.get() > 0 || self.waiters.borrow().range(..position).next().is_some()
    }

    /// Returns [`ConnectError::PoolExhausted`] if the queue is full or the expected wait exceeds the deadline.
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

    /// Adds a waiter. The returned receiver resolves when the waiter's turn has come.
    pub(super) fn enqueue(&self, position: QueuePosition) -> oneshot::Receiver<Turn> {
        let (turn, woken) = oneshot::channel();
        self.waiters.borrow_mut().insert(position, turn);
        woken
    }

    /// Removes a waiter that has timed out.
    pub(super) fn dequeue(&self, position: QueuePosition) {
        self.waiters.borrow_mut().remove(&position);
    }

    /// Gives the first waiter a turn to look for a connection. Called when a slot or a connection was released.
    pub(super) fn wake_next(self: &Rc<Self>) {
        loop {
            let first = self.waiters.borrow_mut().pop_first();
            let Some((_, waiter)) = first else { return };
            self.pending_turns.set(self.pending_turns.get() + 1);
            match waiter.send(Turn(Some(self.clone()))) {
                Ok(()) => return,
                // The waiter was cancelled, so the next waiter gets the turn.
                Err(turn) => turn.end_unused(),
            }
        }
    }
}

/// A woken waiter's turn to look for a connection. Dropping a turn wakes the next waiter, except after
/// [`Turn::end_unused`].
pub(super) struct Turn(Option<Rc<ServerSlots>>);

impl Turn {
    fn end(&mut self) -> Option<Rc<ServerSlots>> {
        let slots = self.0.take()?;
        let pending = slots.pending_turns.get();
        slots.pending_turns.set(pending.saturating_sub(1));
        Some(slots)
    }

    /// Ends the turn without waking the next waiter, because no connection was available.
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

/// The slot of an open connection. Dropping it releases the slot and wakes the first waiter.
pub(super) struct ConnectionSlot(Rc<ServerSlots>);

impl ConnectionSlot {
    /// All slots of the connection's server.
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

/// Counts a login as in progress until dropped.
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

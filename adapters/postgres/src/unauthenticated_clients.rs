//! Slots for clients that are not authenticated yet, counted separately from sessions. When all slots are taken, a new
//! client evicts the client that has been silent longest, so that idle connections cannot block new clients.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// One client's slot.
#[derive(Default)]
struct Slot {
    /// Sequence number, over all clients, of the last input from this client; 0 before the first input.
    last_event: Cell<u64>,
    /// Received bytes that are buffered, because their message is incomplete.
    buffered_bytes: Cell<usize>,
    evicted: Notify,
}

/// The slots of all clients that are not authenticated yet.
pub struct UnauthenticatedClients {
    slots: RefCell<BTreeMap<u64, Rc<Slot>>>,
    max_clients: usize,
    next_number: Cell<u64>,
    events: Cell<u64>,
    evictions: Cell<u64>,
}

/// A client that is not authenticated yet. Dropping it frees the slot.
pub struct PendingClient {
    clients: Rc<UnauthenticatedClients>,
    number: u64,
    slot: Rc<Slot>,
}

impl UnauthenticatedClients {
    /// Creates `max_clients` slots; 0 counts as 1.
    pub fn new(max_clients: usize) -> Rc<Self> {
        Rc::new(Self {
            slots: RefCell::default(),
            max_clients: max_clients.max(1),
            next_number: Cell::new(0),
            events: Cell::new(0),
            evictions: Cell::new(0),
        })
    }

    /// Takes a slot for a new client. Evicts another client if all slots are taken.
    pub fn admit(self: &Rc<Self>) -> PendingClient {
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= self.max_clients {
            self.evict_one(&mut slots);
        }
        let number = self.next_number.get();
        let slot = Rc::new(Slot::default());
        self.next_number.set(number + 1);
        slots.insert(number, slot.clone());
        PendingClient {
            clients: self.clone(),
            number,
            slot,
        }
    }

    /// Evicts the client that has been silent longest. Clients that have sent nothing are evicted first, in order of
    /// arrival.
    fn evict_one(&self, slots: &mut BTreeMap<u64, Rc<Slot>>) {
        let longest_silent = slots
            .iter()
            .min_by_key(|(number, slot)| (slot.last_event.get(), **number))
            .map(|(number, _)| *number);
        if let Some(slot) = longest_silent.and_then(|number| slots.remove(&number)) {
            slot.evicted.notify_one();
            self.evictions.set(self.evictions.get() + 1);
        }
    }

    /// Number of clients that hold a slot.
    pub fn pending(&self) -> usize {
        self.slots.borrow().len()
    }

    /// Received bytes that are buffered for all clients that hold a slot.
    pub fn buffered_bytes(&self) -> usize {
        let slots = self.slots.borrow();
        slots.values().map(|slot| slot.buffered_bytes.get()).sum()
    }

    /// Number of clients evicted since the node started.
    pub fn evictions(&self) -> u64 {
        self.evictions.get()
    }
}

impl PendingClient {
    /// Records that bytes were received from this client, and how many are buffered now.
    pub fn record_received(&self, buffered_bytes: usize) {
        let events = self.clients.events.get() + 1;
        self.clients.events.set(events);
        self.slot.last_event.set(events);
        self.slot.buffered_bytes.set(buffered_bytes);
    }

    /// Resolves when the client is evicted.
    pub async fn evicted(&self) {
        self.slot.evicted.notified().await;
    }
}

impl Drop for PendingClient {
    fn drop(&mut self) {
        self.clients.slots.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;

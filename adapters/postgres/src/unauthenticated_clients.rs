//! Slots for clients that are not authenticated yet, separate from those of sessions: any number of silent connections
//! keeps no client out. When all slots are taken, the client that has been silent longest is evicted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// One client's slot.
#[derive(Default)]
struct Slot {
    /// The number of the last event of this client, counted over all clients; 0 before the first.
    last_event: Cell<u64>,
    evicted: Notify,
}

/// The slots of all clients that are not authenticated.
pub struct UnauthenticatedClients {
    slots: RefCell<BTreeMap<u64, Rc<Slot>>>,
    max_clients: usize,
    next_number: Cell<u64>,
    events: Cell<u64>,
    evictions: Cell<u64>,
}

/// A client that is not authenticated. Its slot is free again once this is dropped.
pub struct PendingClient {
    clients: Rc<UnauthenticatedClients>,
    number: u64,
    slot: Rc<Slot>,
}

impl UnauthenticatedClients {
    /// Slots for this many clients, at least one.
    pub fn new(max_clients: usize) -> Rc<Self> {
        Rc::new(Self {
            slots: RefCell::default(),
            max_clients: max_clients.max(1),
            next_number: Cell::new(0),
            events: Cell::new(0),
            evictions: Cell::new(0),
        })
    }

    /// A slot for a new client. If all are taken, another client is evicted.
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

    /// Evicts the client that has been silent longest; those that never sent anything first, the oldest before others.
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

    /// The number of clients that are not authenticated yet.
    pub fn pending(&self) -> usize {
        self.slots.borrow().len()
    }

    /// The number of clients that were evicted so far.
    pub fn evictions(&self) -> u64 {
        self.evictions.get()
    }
}

impl PendingClient {
    /// Notes that something was received from this client.
    pub fn record_activity(&self) {
        let events = self.clients.events.get() + 1;
        self.clients.events.set(events);
        self.slot.last_event.set(events);
    }

    /// Resolves once the client is evicted.
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

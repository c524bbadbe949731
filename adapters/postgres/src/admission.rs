//! Admission of clients that have not shown who they are. They have slots of their own, so that any number of silent
//! ones shuts out nobody: when the slots are full, the one that has been silent for the longest time goes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

#[derive(Default)]
struct Slot {
    /// When something was heard of it last, as a count of all that was heard of any; 0 for never.
    heard: Cell<u64>,
    evicted: Notify,
}

/// The slots of clients that have not shown who they are.
pub struct UnauthenticatedClients {
    slots: RefCell<BTreeMap<u64, Rc<Slot>>>,
    most: usize,
    next: Cell<u64>,
    events: Cell<u64>,
    evicted: Cell<u64>,
}

/// A client's slot; free again once this is dropped.
pub struct PendingClient {
    all: Rc<UnauthenticatedClients>,
    number: u64,
    slot: Rc<Slot>,
}

impl UnauthenticatedClients {
    /// So many slots.
    pub fn new(most: usize) -> Rc<Self> {
        let zero = || Cell::new(0);
        Rc::new(Self {
            slots: RefCell::default(),
            most: most.max(1),
            next: zero(),
            events: zero(),
            evicted: zero(),
        })
    }

    /// A slot for a new client; where all are taken, another loses its own.
    pub fn admit(self: &Rc<Self>) -> PendingClient {
        let mut slots = self.slots.borrow_mut();
        if slots.len() >= self.most {
            // Those that never said anything go first, the oldest of them before the others.
            let silent = slots
                .iter()
                .min_by_key(|(number, slot)| (slot.heard.get(), **number));
            if let Some((number, slot)) = silent.map(|(number, slot)| (*number, slot.clone())) {
                slots.remove(&number);
                slot.evicted.notify_one();
                self.evicted.set(self.evicted.get() + 1);
            }
        }
        let (number, slot) = (self.next.get(), Rc::new(Slot::default()));
        self.next.set(number + 1);
        slots.insert(number, slot.clone());
        PendingClient {
            all: self.clone(),
            number,
            slot,
        }
    }

    /// How many wait, and how many have had to go so far.
    pub fn counts(&self) -> (usize, u64) {
        (self.slots.borrow().len(), self.evicted.get())
    }
}

impl PendingClient {
    /// Something has come from this client.
    pub fn heard(&self) {
        self.all.events.set(self.all.events.get() + 1);
        self.slot.heard.set(self.all.events.get());
    }

    /// Resolves once it has to go, to make room.
    pub async fn evicted(&self) {
        self.slot.evicted.notified().await;
    }
}

impl Drop for PendingClient {
    fn drop(&mut self) {
        self.all.slots.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;

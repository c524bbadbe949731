use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

use super::*;

fn is_evicted(slot: &mut ConnectionSlot) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    pin!(slot.evicted()).poll(&mut cx).is_ready()
}

#[test]
fn a_connection_beyond_the_limit_evicts_the_oldest() {
    let connections = Rc::<Connections>::default();
    let mut slots: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| Connections::open(&connections))
        .collect();
    assert!(!slots.iter_mut().any(is_evicted));
    slots.push(Connections::open(&connections));
    let evicted: Vec<bool> = slots.iter_mut().map(is_evicted).collect();
    assert!(evicted[0] && !evicted[1..].contains(&true));
}

#[test]
fn a_closed_connection_frees_its_slot_without_an_eviction() {
    let connections = Rc::<Connections>::default();
    let mut slots: VecDeque<_> = (0..MAX_CONNECTIONS)
        .map(|_| Connections::open(&connections))
        .collect();
    slots.pop_back();
    slots.push_back(Connections::open(&connections));
    assert!(!slots.iter_mut().any(is_evicted));
}

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

use super::*;

fn is_displaced(slot: &mut ConnectionSlot) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    pin!(slot.displaced()).poll(&mut cx).is_ready()
}

#[test]
fn one_connection_too_many_displaces_the_oldest() {
    let connections = Rc::<Connections>::default();
    let mut slots: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| Connections::open(&connections))
        .collect();
    assert!(!slots.iter_mut().any(is_displaced));
    slots.push(Connections::open(&connections));
    let displaced: Vec<bool> = slots.iter_mut().map(is_displaced).collect();
    assert!(displaced[0] && !displaced[1..].contains(&true));
}

#[test]
fn a_connection_that_ends_leaves_its_place_to_another() {
    let connections = Rc::<Connections>::default();
    let mut slots: VecDeque<_> = (0..MAX_CONNECTIONS)
        .map(|_| Connections::open(&connections))
        .collect();
    slots.pop_back();
    slots.push_back(Connections::open(&connections));
    assert!(!slots.iter_mut().any(is_displaced));
}

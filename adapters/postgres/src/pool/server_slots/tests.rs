use std::time::Duration;

use tokio::sync::oneshot::Receiver;
use tokio::sync::oneshot::error::TryRecvError;

use super::*;

const LIMITS: PoolLimits = PoolLimits {
    max_connections_per_server: 2,
    max_concurrent_logins: 1,
    min_idle: 0,
    idle_timeout: Duration::from_secs(60),
    max_lifetime: Duration::from_secs(3600),
};

fn position(rank: u64, arrival: u64) -> QueuePosition {
    QueuePosition { rank, arrival }
}

fn is_waiting(waiter: &mut Receiver<Turn>) -> bool {
    matches!(waiter.try_recv(), Err(TryRecvError::Empty))
}

#[test]
fn a_freed_connection_wakes_the_waiter_of_the_lowest_rank() {
    let slots = Rc::new(ServerSlots::default());
    let connection = slots.open_connection();
    let mut second = slots.enqueue(position(2, 0));
    let mut first = slots.enqueue(position(1, 1));
    drop(connection);
    let turn = first.try_recv().expect("the first waiter is woken");
    assert!(is_waiting(&mut second));
    assert!(
        slots.has_earlier_waiter(position(0, 2)),
        "a new arrival of a lower rank queues behind a woken waiter"
    );
    drop(turn);
    assert!(
        second.try_recv().is_ok(),
        "the next waiter is woken when the turn ends"
    );
}

#[test]
fn a_turn_that_ends_unused_wakes_no_other_waiter() {
    let slots = Rc::new(ServerSlots::default());
    let mut first = slots.enqueue(position(1, 0));
    let mut second = slots.enqueue(position(1, 1));
    slots.wake_next();
    first
        .try_recv()
        .expect("the first waiter is woken")
        .end_unused();
    assert!(is_waiting(&mut second));
    assert!(!slots.has_earlier_waiter(position(0, 2)));
}

#[test]
fn a_cancelled_waiter_is_skipped_for_the_next_one() {
    let slots = Rc::new(ServerSlots::default());
    drop(slots.enqueue(position(1, 0)));
    let mut second = slots.enqueue(position(1, 1));
    slots.wake_next();
    assert!(second.try_recv().is_ok());
}

#[test]
fn connections_and_logins_are_limited() {
    let slots = Rc::new(ServerSlots::default());
    let login = slots.start_login();
    let first = slots.open_connection();
    assert!(
        !slots.can_log_in(&LIMITS),
        "the limit is one concurrent login"
    );
    drop(login);
    assert!(slots.can_log_in(&LIMITS));
    let _second = slots.open_connection();
    assert!(slots.is_full(&LIMITS) && !slots.can_log_in(&LIMITS));
    drop(first);
    assert!(slots.can_log_in(&LIMITS));
}

#[test]
fn a_wait_that_would_outlast_the_deadline_is_rejected_at_once() {
    let slots = Rc::new(ServerSlots::default());
    slots.record_lease(1000);
    let _waiter = slots.enqueue(position(1, 0));
    let check = |rank, deadline| {
        slots
            .check_expected_wait(position(rank, 1), &LIMITS, 0, deadline)
            .is_ok()
    };
    // Two connections, each released after 1000 ns, serve one waiter every 500 ns.
    assert!(check(0, 501) && !check(0, 500));
    assert!(check(2, 1001) && !check(2, 1000));
}

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
    let turn = first.try_recv().expect("its turn");
    assert!(is_waiting(&mut second));
    assert!(
        slots.has_earlier_waiter(position(0, 2)),
        "until the woken one has looked, even a lower rank stays behind"
    );
    drop(turn);
    assert!(second.try_recv().is_ok(), "the next one is woken then");
}

#[test]
fn a_turn_that_ends_unused_wakes_nobody() {
    let slots = Rc::new(ServerSlots::default());
    let mut first = slots.enqueue(position(1, 0));
    let mut second = slots.enqueue(position(1, 1));
    slots.wake_next();
    first.try_recv().expect("its turn").end_unused();
    assert!(is_waiting(&mut second));
    assert!(!slots.has_earlier_waiter(position(0, 2)));
}

#[test]
fn a_waiter_that_has_given_up_passes_its_turn_on() {
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
    assert!(!slots.can_log_in(&LIMITS), "one login at a time");
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
    // Each of the two connections comes free every 1000 ns, so one waiter takes 500 ns.
    assert!(check(0, 501) && !check(0, 500));
    assert!(check(2, 1001) && !check(2, 1000));
}

use super::*;

const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// A connect, as `discovery.rs` bounds it.
const CONNECT: Duration = Duration::from_millis(500);

/// What a watch that falls silent in its first moment costs until the answer that tells what it missed, with the next
/// call failing so many times.
fn path(pace: &mut PollSchedule, failures: u32) -> (Duration, Duration) {
    let PollCall {
        want: PollKind::Watch(hold),
        most,
        ..
    } = pace.next(false)
    else {
        panic!("a watch")
    };
    pace.silent();
    let mut whole = false;
    let mut all = most;
    for _ in 0..failures {
        all += CONNECT;
        pace.next(whole);
        let (wait, all_of_it) = pace.failed();
        (all, whole) = (all + wait, whole || all_of_it);
    }
    (hold, all + CONNECT + pace.next(whole).most)
}

/// Guards against a hold and its grace that are as long as what is allowed for all of it (5 s and 1 s stood here).
#[test]
fn beside_an_agent_a_silent_watch_costs_less_than_the_time_to_be_told() {
    for failures in 0..=2 {
        let (_, all) = path(&mut PollSchedule::new(false, 1), failures);
        assert!(all < TOLD_WITHIN, "{failures} failures: {all:?}");
    }
}

/// What a watch misses counts as told 2 s after its wait, and may be sent to for the grace of a drain after that.
#[test]
fn where_it_is_asked_a_silent_watch_is_replaced_within_two_seconds_of_its_wait() {
    for seed in 0..200 {
        let mut pace = PollSchedule::new(true, seed);
        let PollCall {
            want: PollKind::Watch(hold),
            most,
            ..
        } = pace.next(false)
        else {
            panic!("a watch")
        };
        assert!(
            most + CONNECT < hold + Duration::from_secs(2),
            "{hold:?} {most:?}"
        );
        pace.silent();
        // At once, and of what has changed only: the whole list costs the service several times as much.
        assert_eq!(pace.next(false).want, PollKind::Delta);
        pace.answered();
        assert!(matches!(pace.next(false).want, PollKind::Watch(_)));
    }
}

/// Twelve nodes whose watches fall silent together must not ask again together.
#[test]
fn nodes_that_ask_one_service_wait_for_times_of_their_own() {
    let hold = |seed| match PollSchedule::new(true, seed).next(false).want {
        PollKind::Watch(hold) => hold,
        want => panic!("{want:?}"),
    };
    let mut holds: Vec<Duration> = (0..12).map(|node| hold(0x8c1f_30d2 + node)).collect();
    holds.sort();
    assert!(
        holds[0] < Duration::from_secs(10) && holds[11] > Duration::from_secs(14),
        "{holds:?}"
    );
    assert!(
        holds
            .windows(2)
            .all(|two| two[1] - two[0] < Duration::from_secs(3)),
        "{holds:?}"
    );
}

/// What an agent gets when discovery is back counts at once, it answers nothing that it was asked before, and nothing
/// new may go to a server that drains after half a second: a connect that is coming up takes half of that.
#[test]
fn an_agent_that_is_silent_is_asked_again_within_a_quarter_of_a_second() {
    let mut pace = PollSchedule::new(false, 1);
    for whole in [true, false, true, true, true] {
        pace.silent();
        let call = pace.next(whole);
        assert!(call.beside <= Duration::from_millis(150) && call.most >= Duration::from_secs(1));
        assert!(pace.failed().0 <= Duration::from_millis(100));
    }
    // Where all nodes ask one service each call is paid for.
    assert!(PollSchedule::new(true, 1).next(true).beside >= Duration::from_secs(3));
}

#[test]
fn waits_after_failures_grow_and_end_with_an_answer() {
    let mut pace = PollSchedule::new(false, 1);
    let waits: Vec<u128> = (0..6).map(|_| pace.failed().0.as_millis()).collect();
    assert_eq!(waits, [50, 100, 100, 100, 100, 100]);
    pace.answered();
    assert_eq!(pace.failed(), (Duration::from_millis(50), true));
    assert_eq!(
        PollSchedule::new(true, 1).failed(),
        (Duration::from_secs(4), false)
    );
}

use super::*;

/// The time within which an update has to be in force.
const UPDATE_LIMIT: Duration = Duration::from_secs(6);
/// Equal to the connect timeout in `discovery/poll.rs`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The next call, which has to be a watch, and the hold of that watch.
fn next_watch(schedule: &mut PollSchedule) -> (Duration, PollCall) {
    let call = schedule.next_call(false);
    let PollKind::Watch(hold) = call.kind else {
        panic!("expected a watch, got {:?}", call.kind)
    };
    (hold, call)
}

/// The time from the start of a watch that times out to the response with the missed changes, if `failures` calls fail
/// in between.
fn recovery_time(schedule: &mut PollSchedule, failures: u32) -> Duration {
    let (_, watch) = next_watch(schedule);
    schedule.watch_timed_out();
    let mut needs_snapshot = false;
    let mut total = watch.timeout;
    for _ in 0..failures {
        total += CONNECT_TIMEOUT;
        schedule.next_call(needs_snapshot);
        let backoff = schedule.failed();
        total += backoff.delay;
        needs_snapshot |= backoff.needs_snapshot;
    }
    total + CONNECT_TIMEOUT + schedule.next_call(needs_snapshot).timeout
}

/// Guards against a hold and a grace period that together use up the whole limit.
#[test]
fn changes_missed_by_a_watch_of_an_agent_arrive_within_the_update_limit() {
    for failures in 0..=2 {
        let total = recovery_time(&mut PollSchedule::new(false, 1), failures);
        assert!(total < UPDATE_LIMIT, "{failures} failures: {total:?}");
    }
}

/// An update that a watch missed has to be in force within 2 s after the hold: the grace period of a drain starts then.
#[test]
fn a_watch_of_a_service_times_out_within_two_seconds_of_its_hold_and_a_delta_follows() {
    for seed in 0..200 {
        let mut schedule = PollSchedule::new(true, seed);
        let (hold, watch) = next_watch(&mut schedule);
        assert!(
            watch.timeout + CONNECT_TIMEOUT < hold + Duration::from_secs(2),
            "{hold:?} {:?}",
            watch.timeout
        );
        schedule.watch_timed_out();
        // The next call is a delta without a backoff, as a snapshot is more expensive for the service.
        assert_eq!(schedule.next_call(false).kind, PollKind::Delta);
        schedule.succeeded();
        assert!(matches!(schedule.next_call(false).kind, PollKind::Watch(_)));
    }
}

/// Guards against nodes that call again at the same moment after their watches have timed out together.
#[test]
fn nodes_that_poll_one_service_hold_their_watches_for_different_times() {
    let hold = |seed| next_watch(&mut PollSchedule::new(true, seed)).0;
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

/// An agent that is silent during an outage of discovery answers none of the calls made in that time. After the outage,
/// a drain has to be in force within half a second, and a new connect may take half of that time.
#[test]
fn a_silent_agent_is_called_again_within_a_quarter_of_a_second() {
    let mut schedule = PollSchedule::new(false, 1);
    for needs_snapshot in [true, false, true, true, true] {
        schedule.watch_timed_out();
        let call = schedule.next_call(needs_snapshot);
        assert!(call.hedge_delay <= Duration::from_millis(150));
        assert!(call.timeout >= Duration::from_secs(1));
        assert!(schedule.failed().delay <= Duration::from_millis(100));
    }
    // Calls to a service that all nodes poll are hedged late, as each call costs capacity.
    let call = PollSchedule::new(true, 1).next_call(true);
    assert!(call.hedge_delay >= Duration::from_secs(3));
}

#[test]
fn the_backoff_grows_with_failures_and_ends_with_a_response() {
    let mut schedule = PollSchedule::new(false, 1);
    let delays: Vec<u128> = (0..6)
        .map(|_| schedule.failed().delay.as_millis())
        .collect();
    assert_eq!(delays, [50, 100, 100, 100, 100, 100]);
    schedule.succeeded();
    let after_success = Backoff {
        delay: Duration::from_millis(50),
        needs_snapshot: true,
    };
    assert_eq!(schedule.failed(), after_success);
    let at_a_service = Backoff {
        delay: Duration::from_secs(4),
        needs_snapshot: false,
    };
    assert_eq!(PollSchedule::new(true, 1).failed(), at_a_service);
}

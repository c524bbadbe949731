//! Regression tests for faults found in incidents and simulations.

mod common;
use badgerpost_balancer::*;
use common::*;

fn fleet(count: u32) -> Vec<Endpoint> {
    (0..count).map(|backend| endpoint(backend, 0)).collect()
}

/// Guards against preferring a backend that rejects requests at once and therefore has few in flight.
#[test]
fn a_backend_that_rejects_at_once_is_not_preferred() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut rejected = 0;
    for _ in 0..200 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while to == Some(BackendId(0)) {
            rejected += 1;
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Rejected,
                2 * MILLISECOND,
                utilization_report(0.0),
            ));
            attempt += 1;
        }
        node.advance(30 * MILLISECOND);
        node.end_attempt(request, attempt, Outcome::Success, utilization_report(0.4));
    }
    assert!(rejected < 20, "{rejected} sent to the rejecting backend");
}

#[test]
fn a_backend_that_fails_fast_is_ejected_and_readmitted() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(4));
    let count_sends = |node: &mut Node, rounds: usize, is_failing: bool| {
        let mut sent = 0;
        for _ in 0..rounds {
            let (request, actions) = node.arrive(SECOND);
            let (mut to, mut attempt) = (first_send(&actions), 0);
            while to == Some(BackendId(0)) && is_failing {
                sent += 1;
                to = first_send(&node.end_attempt_after(
                    request,
                    attempt,
                    Outcome::Error,
                    MILLISECOND,
                    utilization_report(0.0),
                ));
                attempt += 1;
            }
            sent += usize::from(to == Some(BackendId(0)));
            node.advance(30 * MILLISECOND);
            node.end_attempt(request, attempt, Outcome::Success, utilization_report(0.4));
        }
        sent
    };
    assert!(count_sends(&mut node, 200, true) < 20);
    node.advance(40 * SECOND);
    assert!(count_sends(&mut node, 200, false) > 20, "never readmitted");
}

/// Guards against many nodes together overloading a backend that seems idle because each has no request there.
#[test]
fn a_backend_without_requests_of_this_node_does_not_count_as_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    node.serve_requests(100, |_| utilization_report(0.5));
    for _ in 0..40 {
        let (request, actions) = node.arrive(SECOND);
        node.advance(200 * MILLISECOND);
        if first_send(&actions).is_some() {
            node.end_attempt_after(
                request,
                0,
                Outcome::Success,
                900 * MILLISECOND,
                utilization_report(1.0),
            );
        }
    }
    let sent = (0..20)
        .filter(|_| first_send(&node.arrive(SECOND).1).is_some())
        .count();
    assert!(sent <= 1, "{sent} requests sent to overloaded backends");
}

/// Guards against other classes taking all capacity from the class with the highest priority weight.
#[test]
fn the_class_with_the_higher_priority_weight_has_precedence() {
    let mut node_settings = settings(Idempotency::Idempotent);
    let low_priority = ClassSettings {
        latency_objective: 800 * MILLISECOND,
        ..class(800, 2000, Idempotency::Idempotent)
    };
    node_settings.classes = vec![
        low_priority,
        ClassSettings {
            priority_weight: 5.0,
            ..class(500, 2000, Idempotency::Idempotent)
        },
    ];
    let mut node = Node::new(node_settings, fleet(2));
    let mut sent = [0, 0];
    let mut in_flight = Vec::new();
    for turn in 0..2000u64 {
        let id = RequestId(1_000_000 + turn);
        let class = ClassId((turn % 2) as u32);
        let arrival = RequestArrival {
            request: id,
            class,
            affinity_key: None,
            expected_service_time: None,
            is_retry: false,
            tenant: None,
            expires_at: node.now + SECOND,
        };
        for action in node.handle(Event::RequestArrived(arrival)) {
            if let Action::Send { request, .. } = action {
                sent[(request.0 % 2) as usize] += 1;
                in_flight.push(request);
            }
        }
        node.now += 5 * MILLISECOND;
        // The backends together serve one request every 15 ms, in the order of the sends.
        if turn % 3 == 0 && !in_flight.is_empty() {
            let request = in_flight.remove(0);
            let elapsed = 15 * MILLISECOND * (in_flight.len() as u64 + 1);
            for action in node.end_attempt_after(
                request,
                0,
                Outcome::Success,
                elapsed,
                utilization_report(0.99),
            ) {
                if let Action::Send { request, .. } = action {
                    sent[(request.0 % 2) as usize] += 1;
                    in_flight.push(request);
                }
            }
        }
        node.handle(Event::TimerFired { token: 0 });
    }
    assert!(sent[1] > sent[0], "{sent:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut retries = 0;
    for _ in 0..500 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while to.is_some() {
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Error,
                5 * MILLISECOND,
                LoadReport::default(),
            ));
            retries += usize::from(to.is_some());
            attempt += 1;
        }
        node.advance(10 * MILLISECOND);
    }
    assert!(retries <= 500 / 5 + 11, "{retries} retries of 500 requests");
}

#[test]
fn requests_are_still_sent_when_every_backend_fails() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut sent_late = 0;
    for turn in 0..300 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        sent_late += usize::from(turn > 200 && to.is_some());
        while to.is_some() {
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                Outcome::Reset,
                5 * MILLISECOND,
                LoadReport::default(),
            ));
            attempt += 1;
        }
        node.advance(20 * MILLISECOND);
    }
    assert!(sent_late > 50, "{sent_late} of 99 requests were sent");
}

/// Guards against each of several nodes in a zone filling the backends as if it were the only node.
#[test]
fn nodes_that_share_a_zone_leave_capacity_for_each_other() {
    let sent = |nodes| {
        let node_settings = Settings {
            node_count: nodes,
            ..settings(Idempotency::Idempotent)
        };
        let mut node = Node::new(node_settings, fleet(2));
        node.serve_requests(200, |_| utilization_report(0.5));
        (0..60)
            .filter(|_| first_send(&node.arrive(SECOND).1).is_some())
            .count()
    };
    let (as_only_node, as_one_of_four) = (sent(3), sent(12));
    assert!(
        as_one_of_four < as_only_node,
        "{as_only_node} requests sent as the only node of the zone, {as_one_of_four} as one of four"
    );
}

/// Guards against the CPU cost of a timer that runs although nothing is queued.
#[test]
fn a_node_with_nothing_queued_sets_no_timer() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    let (request, actions) = node.arrive(SECOND);
    assert_eq!(sends(&actions).len(), 1);
    let has_timer = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::SetTimer { .. }))
    };
    assert!(
        !has_timer(&actions)
            && !has_timer(&node.end_attempt(request, 0, Outcome::Success, utilization_report(0.1)))
    );
    assert!(
        has_timer(
            &Node::new(settings(Idempotency::Idempotent), vec![])
                .arrive(SECOND)
                .1
        ),
        "a queued request needs a timer"
    );
}

/// Guards against mistaking a first attempt with a short client timeout for a late retry, where clients mark their
/// retries and a retry may have more time left than a first attempt.
#[test]
fn a_first_attempt_with_less_time_than_a_retry_is_admitted_where_retries_are_marked() {
    let settings_with = |retries_marked| Settings {
        retries_marked,
        ..settings(Idempotency::Idempotent)
    };
    for (retries_marked, is_admitted) in [(true, true), (false, false)] {
        let mut node = Node::new(settings_with(retries_marked), vec![endpoint(1, 0)]);
        node.arrive_as_retry(950 * MILLISECOND);
        let (_, actions) = node.arrive(400 * MILLISECOND);
        assert_eq!(
            (first_send(&actions).is_some(), has_rejection(&actions)),
            (is_admitted, !is_admitted)
        );
    }
}

/// Guards against giving up a retry that has time left because no backend has capacity at the moment.
#[test]
fn a_retry_that_finds_no_capacity_is_queued() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(1));
    let (request, actions) = node.arrive(SECOND);
    assert!(first_send(&actions).is_some());
    let actions = node.end_attempt_after(
        request,
        0,
        Outcome::Rejected,
        2 * MILLISECOND,
        LoadReport::default(),
    );
    assert!(!has_rejection(&actions) && !has_failure(&actions) && first_send(&actions).is_none());
    assert_eq!(
        first_send(&node.advance(150 * MILLISECOND)),
        Some(BackendId(0)),
        "the retry is sent once the backend takes requests again"
    );
}

/// Guards against rejections after the start, when the base response time is only an initial estimate.
#[test]
fn first_responses_do_not_make_a_backend_count_as_slow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut in_flight = Vec::new();
    for _ in 0..3 {
        let (request, actions) = node.arrive(SECOND);
        in_flight.push((request, first_send(&actions)));
    }
    node.advance(200 * MILLISECOND);
    for (request, to) in in_flight {
        assert!(to.is_some());
        node.end_attempt_after(
            request,
            0,
            Outcome::Success,
            200 * MILLISECOND,
            utilization_report(0.1),
        );
    }
    assert!(
        first_send(&node.arrive(SECOND).1).is_some(),
        "idle backends take the next request"
    );
}

/// The rejection leaves the client half of the request's time for another attempt.
#[test]
fn a_request_that_was_never_sent_is_rejected_by_half_of_its_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), Vec::new());
    for timeout in [100 * MILLISECOND, 300 * MILLISECOND, SECOND] {
        let arrived_at = node.now;
        let (_, mut actions) = node.arrive(timeout);
        while !has_rejection(&actions) {
            assert!(node.now < arrived_at + timeout / 2, "timeout {timeout} ns");
            actions = node.advance(10 * MILLISECOND);
        }
    }
}

/// Guards against ejecting healthy backends for timeouts of clients that allow less time than a request takes.
#[test]
fn short_client_timeouts_eject_no_backend() {
    let node_settings = Settings {
        retries_marked: true,
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(node_settings, fleet(3));
    node.serve_requests(200, |_| utilization_report(0.3));
    let mut sent = 0;
    for _ in 0..60 {
        let (request, actions) = node.arrive(20 * MILLISECOND);
        sent += usize::from(first_send(&actions).is_some());
        node.advance(20 * MILLISECOND);
        let actions = node.end_attempt_after(
            request,
            0,
            Outcome::TimedOut,
            20 * MILLISECOND,
            LoadReport::default(),
        );
        let is_ejection = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { .. }));
        assert!(!actions.iter().any(is_ejection));
    }
    assert!(
        sent > 50,
        "{sent} of 60 requests sent, with capacity on every backend"
    );
}

/// Guards against queueing a request with little time left while load reports show spare capacity, which the request
/// takes from no other.
#[test]
fn a_request_with_little_time_left_is_sent_where_load_reports_show_capacity() {
    let large_backend = Endpoint {
        size: 2.0,
        ..endpoint(1, 0)
    };
    for (utilization, is_sent) in [(0.6, true), (0.9, false)] {
        let node_settings = Settings {
            retries_marked: true,
            ..settings(Idempotency::Idempotent)
        };
        let mut node = Node::new(node_settings, vec![large_backend]);
        node.serve_requests(100, |_| utilization_report(utilization));
        assert!(first_send(&node.arrive(SECOND).1).is_some());
        assert_eq!(
            first_send(&node.arrive(20 * MILLISECOND).1).is_some(),
            is_sent,
            "utilization {utilization}"
        );
    }
}

/// Guards against ejecting a backend when a few resets happen in a row by chance.
#[test]
fn a_few_resets_in_a_row_eject_no_backend() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    node.serve_requests(100, |_| utilization_report(0.3));
    let in_flight: Vec<(RequestId, Option<BackendId>)> = (0..6)
        .map(|_| node.arrive(SECOND))
        .map(|(request, actions)| (request, first_send(&actions)))
        .collect();
    let to_first_backend: Vec<_> = in_flight
        .iter()
        .filter(|(_, to)| *to == Some(BackendId(0)))
        .collect();
    assert!(to_first_backend.len() >= 3, "{in_flight:?}");
    for (request, _) in to_first_backend {
        let actions = node.end_attempt_after(
            *request,
            0,
            Outcome::Reset,
            10 * MILLISECOND,
            LoadReport::default(),
        );
        let is_ejection = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { .. }));
        assert!(!actions.iter().any(is_ejection));
        node.now += 2 * SECOND;
    }
}

/// Guards against a retry budget that is too small for one reset in six requests.
#[test]
fn the_retry_budget_covers_a_reset_of_one_request_in_six() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    node.serve_requests(100, |_| utilization_report(0.3));
    for turn in 0..400 {
        let (request, actions) = node.arrive(SECOND);
        assert!(first_send(&actions).is_some());
        if turn % 6 == 0 {
            let actions = node.end_attempt_after(
                request,
                0,
                Outcome::Reset,
                10 * MILLISECOND,
                LoadReport::default(),
            );
            assert!(first_send(&actions).is_some(), "turn {turn}");
            node.end_attempt(request, 1, Outcome::Success, utilization_report(0.3));
        } else {
            node.end_attempt(request, 0, Outcome::Success, utilization_report(0.3));
        }
        node.now += 50 * MILLISECOND;
    }
}

/// Guards against ejecting a restarted backend for the attempts that failed when its previous process ended.
#[test]
fn failures_of_a_process_that_has_gone_do_not_eject_its_successor() {
    for (restarts, is_ejected) in [(false, true), (true, false)] {
        let mut node = Node::new(settings(Idempotency::NonIdempotent), fleet(4));
        let mut at_first_backend = Vec::new();
        for _ in 0..80 {
            let (request, actions) = node.arrive(SECOND);
            if first_send(&actions) == Some(BackendId(0)) {
                at_first_backend.push(request);
            }
        }
        assert!(at_first_backend.len() >= 3, "{}", at_first_backend.len());
        if restarts {
            let mut successor = endpoint(0, 0);
            successor.started_at = Some(node.now);
            node.update_endpoints(EndpointUpdate::Delta, vec![successor]);
        }
        let mut actions = Vec::new();
        for request in at_first_backend {
            actions.extend(node.end_attempt(
                request,
                0,
                Outcome::ConnectFailed,
                LoadReport::default(),
            ));
        }
        let is_ejection = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { backend, .. }) if *backend == BackendId(0));
        assert_eq!(
            actions.iter().any(is_ejection),
            is_ejected,
            "restarts: {restarts}"
        );
    }
}

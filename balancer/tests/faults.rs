//! A small reproduction of each fault found in incidents and simulated days.

mod common;
use badgerpost_balancer::*;
use common::*;

fn fleet(count: u32) -> Vec<Endpoint> {
    (0..count).map(|backend| endpoint(backend, 0)).collect()
}

/// Incident idbb93b: a server that rejected requests within a millisecond got nearly all sends.
#[test]
fn a_backend_that_rejects_at_once_does_not_look_idle() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut away = 0;
    for _ in 0..200 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while to == Some(BackendId(0)) {
            away += 1;
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
    assert!(away < 20, "{away} sends to the backend that is full");
}

/// A backend that returns errors at once must be ejected, then be tried and readmitted.
#[test]
fn a_backend_that_fails_fast_is_ejected_and_readmitted() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(4));
    let run = |node: &mut Node, rounds: usize, broken: bool| {
        let mut bad = 0;
        for _ in 0..rounds {
            let (request, actions) = node.arrive(SECOND);
            let (mut to, mut attempt) = (first_send(&actions), 0);
            while to == Some(BackendId(0)) && broken {
                bad += 1;
                to = first_send(&node.end_attempt_after(
                    request,
                    attempt,
                    Outcome::Error,
                    MILLISECOND,
                    utilization_report(0.0),
                ));
                attempt += 1;
            }
            bad += usize::from(to == Some(BackendId(0)));
            node.advance(30 * MILLISECOND);
            node.end_attempt(request, attempt, Outcome::Success, utilization_report(0.4));
        }
        bad
    };
    assert!(run(&mut node, 200, true) < 20);
    node.advance(40 * SECOND);
    assert!(run(&mut node, 200, false) > 20, "never readmitted");
}

/// Incident idbb93b: with many nodes, one request of each to a backend where it has none overloads that backend.
#[test]
fn a_backend_without_own_requests_does_not_count_as_idle() {
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
    let taken = (0..20)
        .filter(|_| first_send(&node.arrive(SECOND).1).is_some())
        .count();
    assert!(taken <= 1, "{taken} sent to overloaded backends");
}

/// Incident if301ed: the most valuable class, with the tightest objective, found all capacity taken by the others.
#[test]
fn the_class_of_higher_value_has_precedence() {
    let mut given = settings(Idempotency::Idempotent);
    let wide = ClassSettings {
        latency_objective: 800 * MILLISECOND,
        ..class(800, 2000, Idempotency::Idempotent)
    };
    given.classes = vec![
        wide,
        ClassSettings {
            priority_weight: 5.0,
            ..class(500, 2000, Idempotency::Idempotent)
        },
    ];
    let mut node = Node::new(given, fleet(2));
    let mut taken = [0, 0];
    let mut out = Vec::new();
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
                taken[(request.0 % 2) as usize] += 1;
                out.push(request);
            }
        }
        node.now += 5 * MILLISECOND;
        // The fleet serves one request in 15 ms, in turn.
        if turn % 3 == 0 && !out.is_empty() {
            let request = out.remove(0);
            let elapsed = 15 * MILLISECOND * (out.len() as u64 + 1);
            for action in node.end_attempt_after(
                request,
                0,
                Outcome::Success,
                elapsed,
                utilization_report(0.99),
            ) {
                if let Action::Send { request, .. } = action {
                    taken[(request.0 % 2) as usize] += 1;
                    out.push(request);
                }
            }
        }
        node.handle(Event::TimerFired { token: 0 });
    }
    assert!(taken[1] > taken[0], "{taken:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(6));
    let mut extra = 0;
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
            extra += usize::from(to.is_some());
            attempt += 1;
        }
        node.advance(10 * MILLISECOND);
    }
    assert!(extra <= 500 / 5 + 11, "{extra} retries of 500 requests");
}

#[test]
fn most_of_the_fleet_failing_does_not_empty_it() {
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
    assert!(sent_late > 50, "{sent_late} of 99 were sent at all");
}

/// Incident if301ed: three nodes a zone, each filling the servers as if it were the only one.
#[test]
fn nodes_that_share_a_zone_leave_capacity_for_each_other() {
    let taken = |nodes| {
        let given = Settings {
            node_count: nodes,
            ..settings(Idempotency::Idempotent)
        };
        let mut node = Node::new(given, fleet(2));
        node.serve_requests(200, |_| utilization_report(0.5));
        (0..60)
            .filter(|_| first_send(&node.arrive(SECOND).1).is_some())
            .count()
    };
    let (alone, crowded) = (taken(3), taken(12));
    assert!(
        crowded < alone,
        "{alone} alone, {crowded} among four a zone"
    );
}

/// Incidents idbcff6 and i9be87d: a timer that always ran on every node cost more CPU than all requests.
#[test]
fn a_node_with_nothing_queued_sets_no_timer() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    let (request, actions) = node.arrive(SECOND);
    assert_eq!(sends(&actions).len(), 1);
    let timer = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::SetTimer { .. }))
    };
    assert!(
        !timer(&actions)
            && !timer(&node.end_attempt(request, 0, Outcome::Success, utilization_report(0.1)))
    );
    assert!(
        timer(
            &Node::new(settings(Idempotency::Idempotent), vec![])
                .arrive(SECOND)
                .1
        ),
        "a queued request needs one"
    );
}

/// A client's first attempt with a short timeout must not be taken for a late retry: a retry may get all that is left of
/// the client's time, which is more than the first attempt had.
#[test]
fn a_first_attempt_shorter_than_retries_is_admitted() {
    let marked = |retries_marked| Settings {
        retries_marked,
        ..settings(Idempotency::Idempotent)
    };
    for (retries_marked, taken) in [(true, true), (false, false)] {
        let mut node = Node::new(marked(retries_marked), vec![endpoint(1, 0)]);
        node.arrive_as_retry(950 * MILLISECOND);
        let (_, actions) = node.arrive(400 * MILLISECOND);
        assert_eq!(
            (first_send(&actions).is_some(), has_rejection(&actions)),
            (taken, !taken)
        );
    }
}

/// Retries were given up with time left, as no backend had capacity at that moment.
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
        "sent once the backend takes requests again"
    );
}

/// Each simulated day began with rejections: against the first guess of the base time every backend looked slow.
#[test]
fn first_answers_make_no_backend_slow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(3));
    let mut open = Vec::new();
    for _ in 0..3 {
        let (request, actions) = node.arrive(SECOND);
        open.push((request, first_send(&actions)));
    }
    node.advance(200 * MILLISECOND);
    for (request, to) in open {
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
        "idle backends take the next one"
    );
}

/// A request that was never sent is rejected while the client has half of its time left for another attempt.
#[test]
fn a_request_never_sent_is_rejected_by_half_of_its_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), Vec::new());
    for wait in [100 * MILLISECOND, 300 * MILLISECOND, SECOND] {
        let came = node.now;
        let (_, mut actions) = node.arrive(wait);
        while !has_rejection(&actions) {
            assert!(node.now < came + wait / 2, "{wait}");
            actions = node.advance(10 * MILLISECOND);
        }
    }
}

/// Most clients of a simulated day had less time than a request takes. Their time-outs ejected healthy backends.
#[test]
fn clients_with_little_time_eject_no_backend() {
    let marked = Settings {
        retries_marked: true,
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(marked, fleet(3));
    node.serve_requests(200, |_| utilization_report(0.3));
    let mut tried = 0;
    for _ in 0..60 {
        let (request, actions) = node.arrive(20 * MILLISECOND);
        tried += usize::from(first_send(&actions).is_some());
        node.advance(20 * MILLISECOND);
        let actions = node.end_attempt_after(
            request,
            0,
            Outcome::TimedOut,
            20 * MILLISECOND,
            LoadReport::default(),
        );
        let ejects = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { .. }));
        assert!(!actions.iter().any(ejects));
    }
    assert!(
        tried > 50,
        "{tried} were sent, with capacity on every backend"
    );
}

/// Where reports show capacity, a request that may be late takes it from no other: half of such requests were queued
/// in vain.
#[test]
fn a_request_with_little_time_is_sent_where_reports_show_capacity() {
    let wide = Endpoint {
        size: 2.0,
        ..endpoint(1, 0)
    };
    for (used, taken) in [(0.6, true), (0.9, false)] {
        let given = Settings {
            retries_marked: true,
            ..settings(Idempotency::Idempotent)
        };
        let mut node = Node::new(given, vec![wide]);
        node.serve_requests(100, |_| utilization_report(used));
        assert!(first_send(&node.arrive(SECOND).1).is_some());
        assert_eq!(
            first_send(&node.arrive(20 * MILLISECOND).1).is_some(),
            taken,
            "{used}"
        );
    }
}

/// With every eighth connection reset, three in a row happened by chance, and most of a zone was ejected.
#[test]
fn connections_that_break_by_chance_eject_nobody() {
    let mut node = Node::new(settings(Idempotency::Idempotent), fleet(2));
    node.serve_requests(100, |_| utilization_report(0.3));
    let open: Vec<(RequestId, Option<BackendId>)> = (0..6)
        .map(|_| node.arrive(SECOND))
        .map(|(request, actions)| (request, first_send(&actions)))
        .collect();
    let broken: Vec<_> = open
        .iter()
        .filter(|(_, to)| *to == Some(BackendId(0)))
        .collect();
    assert!(broken.len() >= 3, "{open:?}");
    for (request, _) in broken {
        let actions = node.end_attempt_after(
            *request,
            0,
            Outcome::Reset,
            10 * MILLISECOND,
            LoadReport::default(),
        );
        let ejects = |action: &Action| matches!(action, Action::Log(LogEvent::Ejected { .. }));
        assert!(!actions.iter().any(ejects));
        node.now += 2 * SECOND;
    }
}

/// On the same day the retry budget ran out: it was a tenth of the arrivals, less than the resets.
#[test]
fn one_broken_attempt_in_six_leaves_retries_for_all() {
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

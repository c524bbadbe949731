//! The balancer's safety rules for final answers, retries, draining backends and slow start.

mod common;
use badgerpost_balancer::*;
use common::*;

const MAY_HAVE_RUN: [Outcome; 5] = [
    Outcome::Error,
    Outcome::InvalidResponse,
    Outcome::TimedOut,
    Outcome::Reset,
    Outcome::Cancelled,
];
const NEVER_RAN: [Outcome; 3] = [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent];

fn keyed(scope: DedupScope) -> Idempotency {
    Idempotency::Keyed {
        scope,
        window: 200 * MILLISECOND,
    }
}

fn three_zones() -> Vec<Endpoint> {
    vec![
        endpoint(0, 0),
        endpoint(1, 0),
        endpoint(2, 1),
        endpoint(3, 2),
    ]
}

#[test]
fn a_request_without_any_backend_is_rejected_in_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), vec![]);
    let (_, actions) = node.arrive(300 * MILLISECOND);
    assert!(
        first_send(&actions).is_none() && !has_rejection(&actions) && !has_failure(&actions),
        "the request must be queued at first"
    );
    assert!(has_rejection(&node.advance(300 * MILLISECOND)));
}

#[test]
fn a_client_timeout_shorter_than_the_class_deadline_applies() {
    let mut node = Node::new(settings(Idempotency::Idempotent), vec![]);
    node.arrive(50 * MILLISECOND);
    assert!(has_rejection(&node.advance(60 * MILLISECOND)));
}

#[test]
fn a_request_whose_attempt_times_out_at_the_deadline_fails() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), three_zones());
    let (request, actions) = node.arrive(100 * MILLISECOND);
    assert!(first_send(&actions).is_some());
    node.now += 100 * MILLISECOND;
    assert!(has_failure(&node.end_attempt(
        request,
        0,
        Outcome::TimedOut,
        LoadReport::default()
    )));
}

#[test]
fn an_event_of_an_ended_request_is_ignored() {
    let mut node = Node::new(settings(Idempotency::Idempotent), three_zones());
    let (request, _) = node.arrive(SECOND);
    node.end_attempt(request, 0, Outcome::Success, utilization_report(0.1));
    assert!(
        node.end_attempt(request, 0, Outcome::Error, utilization_report(0.1))
            .is_empty()
    );
    assert!(
        node.handle(Event::ClientDisconnected { request })
            .is_empty()
    );
    let (other, _) = node.arrive(SECOND);
    node.handle(Event::ClientDisconnected { request: other });
    let actions = node.end_attempt(other, 0, Outcome::Error, utilization_report(0.1));
    assert!(first_send(&actions).is_none() && !has_rejection(&actions) && !has_failure(&actions));
}

#[test]
fn a_non_idempotent_request_is_retried_only_when_it_never_ran() {
    for outcome in NEVER_RAN {
        let mut node = Node::new(settings(Idempotency::NonIdempotent), three_zones());
        let (request, _) = node.arrive(SECOND);
        assert!(
            first_send(&node.end_attempt(request, 0, outcome, LoadReport::default())).is_some(),
            "{outcome:?}"
        );
    }
    for outcome in MAY_HAVE_RUN {
        let mut node = Node::new(settings(Idempotency::NonIdempotent), three_zones());
        let (request, _) = node.arrive(SECOND);
        let actions = node.end_attempt(request, 0, outcome, LoadReport::default());
        assert!(
            first_send(&actions).is_none() && has_failure(&actions) && !has_rejection(&actions),
            "{outcome:?}"
        );
    }
}

/// Guards against a retry written after the deduplication window because its connection was established late.
#[test]
fn a_keyed_request_is_written_again_within_its_window_only() {
    for outcome in MAY_HAVE_RUN {
        let mut node = Node::new(settings(keyed(DedupScope::Zone)), three_zones());
        let (request, _) = node.arrive(SECOND);
        let first = node.now;
        assert!(
            node.balancer
                .may_write(first + 300 * MILLISECOND, request, 0),
            "the window applies to retries only"
        );
        node.now += 150 * MILLISECOND;
        assert!(
            first_send(&node.end_attempt(request, 0, outcome, LoadReport::default())).is_some()
        );
        assert!(
            !node.balancer.may_write(node.now, request, 0),
            "attempt 0 has ended"
        );
        assert!(
            node.balancer
                .may_write(first + 190 * MILLISECOND, request, 1),
            "{outcome:?}"
        );
        assert!(
            !node
                .balancer
                .may_write(first + 200 * MILLISECOND, request, 1),
            "{outcome:?}"
        );
        node.handle(Event::ClientDisconnected { request });
        assert!(
            !node.balancer.may_write(node.now, request, 1),
            "the client has disconnected"
        );
    }
    for outcome in NEVER_RAN {
        let mut node = Node::new(settings(keyed(DedupScope::Zone)), three_zones());
        let (request, _) = node.arrive(SECOND);
        let first = node.now;
        node.end_attempt(request, 0, outcome, LoadReport::default());
        assert!(
            node.balancer
                .may_write(first + 900 * MILLISECOND, request, 1),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_keyed_request_stays_in_its_dedup_scope_and_window() {
    for outcome in MAY_HAVE_RUN {
        let mut node = Node::new(settings(keyed(DedupScope::Zone)), three_zones());
        let (request, first) = node.arrive(SECOND);
        let retry_to = first_send(&node.end_attempt(request, 0, outcome, LoadReport::default()));
        assert_ne!(retry_to, None, "{outcome:?}");
        assert!(
            retry_to.is_none_or(|to| to.0 < 2),
            "retried outside the zone of the first attempt: {first:?}"
        );

        let mut without_hedging = settings(keyed(DedupScope::Zone));
        without_hedging.limits.hedging = false;
        let mut node = Node::new(without_hedging, three_zones());
        let (request, _) = node.arrive(SECOND);
        node.advance(200 * MILLISECOND);
        let late = node.end_attempt(request, 0, outcome, LoadReport::default());
        assert!(
            first_send(&late).is_none() && has_failure(&late),
            "retried after the deduplication window on {outcome:?}"
        );
    }
}

#[test]
fn a_request_keyed_by_cell_does_not_leave_the_cell() {
    let endpoints = vec![
        Endpoint {
            cell: 1,
            ..endpoint(0, 0)
        },
        Endpoint {
            cell: 2,
            ..endpoint(1, 0)
        },
    ];
    let mut node = Node::new(settings(keyed(DedupScope::Cell)), endpoints);
    let (request, first) = node.arrive(SECOND);
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..endpoint(first_send(&first).unwrap().0, 0)
        }],
    );
    let actions = node.end_attempt(request, 0, Outcome::Reset, LoadReport::default());
    assert!(first_send(&actions).is_none() && has_failure(&actions));
}

#[test]
fn a_request_deduplicated_by_all_backends_may_be_rejected_after_it_ran() {
    let mut node = Node::new(settings(keyed(DedupScope::All)), vec![endpoint(0, 0)]);
    let (request, _) = node.arrive(SECOND);
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Removed,
            ..endpoint(0, 0)
        }],
    );
    assert!(has_rejection(&node.end_attempt(
        request,
        0,
        Outcome::Reset,
        LoadReport::default()
    )));
}

#[test]
fn attempts_stop_at_the_cap() {
    let mut node_settings = settings(Idempotency::Idempotent);
    node_settings.limits.max_attempts = 2;
    let mut node = Node::new(node_settings, three_zones());
    let (request, _) = node.arrive(SECOND);
    assert!(
        first_send(&node.end_attempt(request, 0, Outcome::ConnectFailed, LoadReport::default()))
            .is_some()
    );
    assert!(
        first_send(&node.end_attempt(request, 1, Outcome::ConnectFailed, LoadReport::default()))
            .is_none()
    );
}

#[test]
fn nothing_is_sent_to_a_backend_listed_as_draining_or_removed() {
    let two_zones = vec![endpoint(0, 0), endpoint(1, 1)];
    let changed_state = |state| {
        (
            EndpointUpdate::Delta,
            vec![Endpoint {
                state,
                ..endpoint(0, 0)
            }],
        )
    };
    let lists = [
        changed_state(EndpointState::Draining),
        changed_state(EndpointState::Removed),
        (EndpointUpdate::Snapshot, vec![endpoint(1, 1)]),
        (
            EndpointUpdate::Cached,
            vec![
                Endpoint {
                    state: EndpointState::Draining,
                    ..endpoint(0, 0)
                },
                endpoint(1, 1),
            ],
        ),
    ];
    for (update, endpoints) in lists {
        let mut node = Node::new(settings(Idempotency::Idempotent), two_zones.clone());
        node.update_endpoints(update, endpoints);
        for _ in 0..20 {
            assert_ne!(
                first_send(&node.arrive(SECOND).1),
                Some(BackendId(0)),
                "{update:?}"
            );
        }
    }
}

#[test]
fn a_polling_node_watches_and_polls_again_well_within_the_poll_interval() {
    let mut node_settings = settings(Idempotency::Idempotent);
    node_settings.discovery = Discovery::Polled;
    let mut node = Node::new(node_settings, three_zones());
    for _ in 0..8 {
        node.handle(Event::DiscoveryFailed);
        let actions = node.advance(8 * SECOND);
        assert_eq!(
            actions
                .iter()
                .filter(|action| **action == Action::WatchEndpoints)
                .count(),
            1
        );
    }
}

#[test]
fn a_warming_backend_gets_its_slow_start_budget_and_no_more() {
    let mut node = Node::new(
        settings(Idempotency::Idempotent),
        vec![endpoint(0, 0), endpoint(1, 0)],
    );
    node.serve_requests(200, |_| utilization_report(0.5));
    let warming = Endpoint {
        started_at: Some(node.now),
        ..endpoint(9, 0)
    };
    node.update_endpoints(EndpointUpdate::Delta, vec![warming]);
    let mut sent_to_warming = 0;
    for _ in 0..40 {
        sent_to_warming += usize::from(first_send(&node.arrive(SECOND).1) == Some(BackendId(9)));
    }
    // The budget is a tenth of a backend's capacity of about 33 requests a second, over 2 s: about 7 requests. The
    // overload limit, for all nodes together, is twice that.
    assert!(
        (1..=7).contains(&sent_to_warming),
        "{sent_to_warming} requests sent to the warming backend"
    );
}

#[test]
fn a_restarted_backend_warms_up_again() {
    let mut node = Node::new(settings(Idempotency::Idempotent), vec![endpoint(0, 0)]);
    node.serve_requests(50, |_| utilization_report(0.5));
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started_at: Some(node.now),
            ..endpoint(0, 0)
        }],
    );
    let burst: usize = (0..30)
        .filter(|_| first_send(&node.arrive(SECOND).1).is_some())
        .count();
    assert!(
        (1..=4).contains(&burst),
        "{burst} requests sent at once to a restarted backend"
    );
}

/// Guards against a slow-start budget that fills up with requests whose service time hints are too low, and whose
/// actual work is far more than counted.
#[test]
fn low_service_time_hints_do_not_stretch_the_slow_start_budget() {
    let node_settings = Settings {
        classes: vec![class(60_000, 90_000, Idempotency::Idempotent)],
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(node_settings, vec![endpoint(0, 0), endpoint(1, 0)]);
    let arrive_with_hint = |node: &mut Node, hint| {
        let request = RequestId(node.next_request_id);
        node.next_request_id += 1;
        let (class, expires_at) = (ClassId(0), node.now + 90 * SECOND);
        (
            request,
            node.handle(Event::RequestArrived(RequestArrival {
                request,
                class,
                affinity_key: None,
                expected_service_time: hint,
                is_retry: false,
                tenant: None,
                expires_at,
            })),
        )
    };
    for _ in 0..600 {
        let (request, _) = arrive_with_hint(&mut node, Some(20 * MILLISECOND));
        node.advance(20 * MILLISECOND);
        node.end_attempt(request, 0, Outcome::Success, utilization_report(0.5));
    }
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started_at: Some(node.now - 8 * SECOND),
            ..endpoint(9, 0)
        }],
    );
    let to_warming = |actions: Vec<Action>| usize::from(first_send(&actions) == Some(BackendId(9)));
    let sent: usize = (0..500)
        .map(|turn| {
            to_warming(
                arrive_with_hint(
                    &mut node,
                    Some(if turn % 2 == 0 {
                        MILLISECOND
                    } else {
                        39 * MILLISECOND
                    }),
                )
                .1,
            )
        })
        .sum();
    // Half-used backends get 1 s of service time per second, so the budget over 2 s is about 1.07 s: 18 pairs of
    // requests, counted as 20 ms and 39 ms.
    assert!((1..=40).contains(&sent), "{sent} to the warming backend");
}

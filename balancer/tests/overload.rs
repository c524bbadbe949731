//! Queue limits of backends, health checks where only these return load reports, and key affinity.

mod common;
use common::*;

use badgerpost_balancer::*;

const WIDE_OBJECTIVE_MS: u64 = 600;

/// Settings of one of `node_count` nodes in five zones, with a wide latency objective.
fn wide_objective_settings(node_count: u32) -> Settings {
    let class = class(WIDE_OBJECTIVE_MS, 3000, Idempotency::NonIdempotent);
    Settings {
        classes: vec![class],
        node_count,
        ..Settings::new(ZoneId(0), 5)
    }
}

/// Three endpoints in each of five zones.
fn fifteen_endpoints() -> Vec<Endpoint> {
    (0..15)
        .map(|b| Endpoint {
            name_hash: u64::from(b) * 0x9e37_79b9,
            ..endpoint(b, b / 3)
        })
        .collect()
}

/// Lets `count` requests arrive at one moment. Returns the number in flight at each backend.
fn flood(node: &mut Node, count: usize) -> Vec<usize> {
    let mut in_flight = vec![0; 15];
    for _ in 0..count {
        for to in sends(&node.arrive(3 * SECOND).1) {
            in_flight[to.0 as usize] += 1;
        }
    }
    in_flight
}

/// Guards against queues that fit into the latency objective and still overload the backends.
#[test]
fn a_flood_of_requests_is_queued_at_the_node_and_not_at_the_backends() {
    let mut node = Node::new(wide_objective_settings(5), fifteen_endpoints());
    let in_flight = flood(&mut node, 400);
    assert!(
        in_flight[..3].iter().all(|&n| (2..=3).contains(&n)),
        "local zone: {in_flight:?}"
    );
    assert!(
        in_flight[3..].iter().all(|&n| n == 1),
        "other zones: {in_flight:?}"
    );
}

/// Guards against rejecting requests while the backends of zones without a node are idle.
#[test]
fn zones_without_a_node_are_used_in_full() {
    let mut node = Node::new(wide_objective_settings(2), fifteen_endpoints());
    let in_flight = flood(&mut node, 400);
    assert!(
        in_flight[3..].iter().all(|&n| (2..=3).contains(&n)),
        "other zones: {in_flight:?}"
    );
}

/// Guards against a queue limit that excludes slow backends: an idle backend can always take a request.
#[test]
fn an_idle_slow_backend_of_another_zone_is_used() {
    let mut node = Node::new(wide_objective_settings(5), fifteen_endpoints());
    let (mut unanswered, mut slow) = (Vec::new(), [false; 15]);
    let sends_with_requests = |actions: &[Action]| -> Vec<(RequestId, BackendId)> {
        let send_of = |action: &Action| match action {
            Action::Send {
                request, backend, ..
            } => Some((*request, *backend)),
            _ => None,
        };
        actions.iter().filter_map(send_of).collect()
    };
    for _ in 0..60 {
        for _ in 0..20 {
            unanswered.extend(sends_with_requests(&node.arrive(3 * SECOND).1));
        }
        while !unanswered.is_empty() {
            node.now += 10 * MILLISECOND;
            for (request, to) in std::mem::take(&mut unanswered) {
                let elapsed = if to.0 % 2 == 1 {
                    60 * MILLISECOND
                } else {
                    180 * MILLISECOND
                };
                slow[to.0 as usize] |= to.0 % 2 == 0;
                unanswered.extend(sends_with_requests(&node.end_attempt_after(
                    request,
                    0,
                    Outcome::Success,
                    elapsed,
                    LoadReport::default(),
                )));
            }
        }
        node.now += 200 * MILLISECOND;
    }
    assert!(slow[4..].iter().step_by(2).all(|&used| used), "{slow:?}");
    let in_flight = flood(&mut node, 400);
    assert!(in_flight.iter().all(|&n| n >= 1), "{in_flight:?}");
}

/// The queue limit is the same for fast backends, since contention in longer queues slows down any machine.
#[test]
fn a_fast_backend_gets_no_longer_queue() {
    let mut node = Node::new(wide_objective_settings(5), fifteen_endpoints());
    for _ in 0..300 {
        let (request, actions) = node.arrive(3 * SECOND);
        node.now += 10 * MILLISECOND;
        let Some(to) = first_send(&actions) else {
            continue;
        };
        let elapsed = if to.0 == 1 {
            10 * MILLISECOND
        } else {
            80 * MILLISECOND
        };
        node.end_attempt_after(request, 0, Outcome::Success, elapsed, LoadReport::default());
    }
    let in_flight = flood(&mut node, 400);
    assert!(in_flight[1] <= 3, "{in_flight:?}");
}

/// Pauses a node for a second while twelve requests are in flight, ends these with `end_request`, and lets a flood of
/// requests arrive. Returns how many requests of the flood are sent at once.
fn sends_after_a_pause(end_request: impl Fn(&mut Node, RequestId)) -> usize {
    let mut node = Node::new(wide_objective_settings(1), fifteen_endpoints());
    node.serve_requests(200, |_| LoadReport::default());
    let in_flight: Vec<RequestId> = (0..12).map(|_| node.arrive(3 * SECOND).0).collect();
    node.now += SECOND;
    for request in in_flight {
        end_request(&mut node, request);
    }
    flood(&mut node, 400).iter().sum()
}

/// Guards against counting responses as slow whose duration is unknown because the node was paused: the node would
/// shed load that the backends have capacity for.
#[test]
fn responses_of_unknown_duration_cause_no_load_shedding() {
    let in_time = sends_after_a_pause(|node, request| {
        node.end_attempt_after(
            request,
            0,
            Outcome::Success,
            40 * MILLISECOND,
            LoadReport::default(),
        );
    });
    let as_slow = sends_after_a_pause(|node, request| {
        node.end_attempt_after(request, 0, Outcome::Success, SECOND, LoadReport::default());
    });
    let unknown = sends_after_a_pause(|node, request| {
        node.end_attempt_at_unknown_time(request, 0);
    });
    assert!(as_slow < in_time, "{as_slow} sent, {in_time} if in time");
    assert!(unknown >= in_time, "{unknown} sent, {in_time} if in time");
}

fn checked_backends(actions: &[Action]) -> Vec<BackendId> {
    let backend_of = |action: &Action| match action {
        Action::CheckHealth { backend } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(backend_of).collect()
}

/// Settings where only health checks return load reports. `health_checks` tells whether health checks are allowed.
fn health_check_settings(health_checks: bool) -> Settings {
    let mut settings = wide_objective_settings(5);
    settings.reports_by_health_check = true;
    settings.limits.health_checks = health_checks;
    settings
}

/// Backends of all health checks within ten seconds at `rate` requests per second. Each check succeeds at once.
fn run_health_checks(settings: Settings, rate: u64, endpoints: Vec<Endpoint>) -> Vec<BackendId> {
    let mut node = Node::new(settings, endpoints);
    let mut all = Vec::new();
    for _ in 0..10 * rate {
        let (request, actions) = node.arrive(3 * SECOND);
        node.now += SECOND / rate;
        let mut checked = checked_backends(&actions);
        if first_send(&actions).is_some() {
            checked.extend(checked_backends(&node.end_attempt(
                request,
                0,
                Outcome::Success,
                LoadReport::default(),
            )));
        }
        for &backend in &checked {
            let (outcome, elapsed, report) =
                (Outcome::Success, MILLISECOND, utilization_report(0.3));
            node.handle(Event::HealthCheckEnded {
                backend,
                outcome,
                elapsed,
                report,
            });
        }
        all.extend(checked);
    }
    all
}

#[test]
fn health_checks_reach_every_backend_and_are_limited_by_traffic() {
    let all = run_health_checks(health_check_settings(true), 60, fifteen_endpoints());
    for backend in 0..15 {
        assert!(
            all.contains(&BackendId(backend)),
            "backend {backend} was never checked"
        );
    }
    let quiet = run_health_checks(health_check_settings(true), 20, fifteen_endpoints());
    assert!(
        quiet.len() <= 200 / 5 + 4,
        "{} health checks for 200 requests",
        quiet.len()
    );
    let local = all.iter().filter(|to| to.0 < 3).count();
    assert!(
        local > all.len() / 3,
        "the local zone, with a fifth of the backends, got {local} of {} health checks",
        all.len()
    );
    // Even with much traffic no backend is checked more often than load reports need a refresh.
    let busy = run_health_checks(health_check_settings(true), 2000, fifteen_endpoints());
    assert!(busy.len() <= 15 * 13, "{} health checks", busy.len());
}

#[test]
fn no_health_check_is_sent_where_disallowed_or_where_responses_report_load() {
    assert!(run_health_checks(health_check_settings(false), 60, fifteen_endpoints()).is_empty());
    let mut settings = health_check_settings(true);
    settings.reports_by_health_check = false;
    assert!(run_health_checks(settings, 60, fifteen_endpoints()).is_empty());
}

#[test]
fn a_draining_backend_gets_no_health_check() {
    let mut endpoints = fifteen_endpoints();
    endpoints[2].state = EndpointState::Draining;
    assert!(!run_health_checks(health_check_settings(true), 60, endpoints).contains(&BackendId(2)));
}

#[test]
fn a_local_zone_that_health_checks_show_as_full_spills() {
    let spills = |utilization: f64| {
        let mut node = Node::new(health_check_settings(true), fifteen_endpoints());
        for backend in 0..15 {
            let report = utilization_report(if backend < 3 { utilization } else { 0.2 });
            let (backend, outcome) = (BackendId(backend), Outcome::Success);
            node.handle(Event::HealthCheckEnded {
                backend,
                outcome,
                elapsed: MILLISECOND,
                report,
            });
        }
        node.now += 200 * MILLISECOND;
        first_send(&node.arrive(3 * SECOND).1).is_some_and(|to| to.0 >= 3)
    };
    assert!(spills(0.95));
    assert!(!spills(0.5));
}

fn key_affinity_settings() -> Settings {
    Settings {
        key_affinity: true,
        ..wide_objective_settings(5)
    }
}

fn arrive_with_key(node: &mut Node, key: u64) -> (RequestId, Vec<Action>) {
    let request = RequestId(node.next_request_id);
    node.next_request_id += 1;
    let expires_at = node.now + 3 * SECOND;
    let (class, key) = (ClassId(0), Some(key));
    let arrival = RequestArrival {
        request,
        class,
        affinity_key: key,
        expected_service_time: None,
        is_retry: false,
        tenant: None,
        expires_at,
    };
    (request, node.handle(Event::RequestArrived(arrival)))
}

/// The name hash of the backend that a node chooses for each of 60 keys; `None` where no request was sent.
fn backends_by_key(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Vec<Option<u64>> {
    let name_hashes: Vec<(BackendId, u64)> = endpoints
        .iter()
        .map(|endpoint| (endpoint.backend, endpoint.name_hash))
        .collect();
    let mut node = Node::seeded(seed, settings, endpoints);
    let mut chosen = Vec::new();
    for key in 0..60u64 {
        let (request, actions) = arrive_with_key(&mut node, key * 0x1234_5678_9abc);
        let to = first_send(&actions);
        chosen.push(
            to.and_then(|to| name_hashes.iter().find(|entry| entry.0 == to))
                .map(|entry| entry.1),
        );
        node.now += 20 * MILLISECOND;
        node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
    }
    chosen
}

#[test]
fn a_key_has_the_same_backend_at_every_node_whatever_the_backend_ids() {
    let mut renumbered = fifteen_endpoints();
    renumbered
        .iter_mut()
        .for_each(|endpoint| endpoint.backend = BackendId(14 - endpoint.backend.0));
    let chosen = backends_by_key(key_affinity_settings(), 1, fifteen_endpoints());
    assert_eq!(
        chosen,
        backends_by_key(key_affinity_settings(), 2, renumbered)
    );
    let used: std::collections::BTreeSet<_> = chosen.iter().collect();
    assert_eq!(used.len(), 3, "the keys are spread over the zone");
    assert_ne!(
        chosen,
        backends_by_key(wide_objective_settings(5), 1, fifteen_endpoints()),
        "without key affinity the key does not determine the backend"
    );
}

/// Guards against overloading the one backend that a hot key has affinity to.
#[test]
fn requests_with_a_hot_key_go_to_other_backends_once_its_backend_is_full() {
    let mut node = Node::new(key_affinity_settings(), fifteen_endpoints());
    let mut in_flight = [0; 15];
    for _ in 0..6 {
        for to in sends(&arrive_with_key(&mut node, 42).1) {
            in_flight[to.0 as usize] += 1;
        }
    }
    assert!(in_flight[..3].iter().all(|&n| n >= 1), "{in_flight:?}");
}

/// A request costs a backend less work if the backend has recently served the key.
#[test]
fn a_backend_with_capacity_gets_queued_requests_whose_keys_it_has_served() {
    let (mut with_served_key, mut total) = (0, 0);
    for seed in 0..20 {
        let mut settings = key_affinity_settings();
        settings.zone_count = 1;
        settings.node_count = 1;
        let endpoints: Vec<Endpoint> = fifteen_endpoints().into_iter().take(3).collect();
        let mut node = Node::seeded(seed, settings, endpoints);
        let mut backend_of_key = std::collections::BTreeMap::new();
        for key in 0..12u64 {
            let (request, actions) = arrive_with_key(&mut node, key);
            backend_of_key.insert(key, first_send(&actions));
            node.now += 20 * MILLISECOND;
            node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
        }
        let mut sent = Vec::new();
        let mut key_of_request = std::collections::BTreeMap::new();
        for turn in 0..40u64 {
            let (request, actions) = arrive_with_key(&mut node, turn % 12);
            key_of_request.insert(request, turn % 12);
            sent.extend(first_send(&actions).map(|_| request));
        }
        node.now += 30 * MILLISECOND;
        for action in node.end_attempt(sent[0], 0, Outcome::Success, LoadReport::default()) {
            if let Action::Send {
                request, backend, ..
            } = action
            {
                total += 1;
                with_served_key +=
                    usize::from(backend_of_key[&key_of_request[&request]] == Some(backend));
            }
        }
    }
    assert!(total >= 15, "{total} queued requests sent");
    assert!(
        with_served_key * 10 >= total * 8,
        "{with_served_key} of {total} requests went to the backend of their key"
    );
}

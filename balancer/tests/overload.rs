//! Bounded queues whatever the latency objective, health checks where only these bring reports, and key affinity.

mod common;
use common::*;

use badgerpost_balancer::*;

const WIDE_OBJECTIVE_MS: u64 = 600;

/// Five zones of three servers, a wide latency objective, `nodes` nodes.
fn wide_objective(nodes: u32) -> Settings {
    let class = class(WIDE_OBJECTIVE_MS, 3000, Idempotency::NonIdempotent);
    Settings {
        classes: vec![class],
        node_count: nodes,
        ..Settings::new(ZoneId(0), 5)
    }
}

fn fifteen_endpoints() -> Vec<Endpoint> {
    (0..15)
        .map(|b| Endpoint {
            name_hash: u64::from(b) * 0x9e37_79b9,
            ..endpoint(b, b / 3)
        })
        .collect()
}

/// Requests in flight at each server once `count` have arrived at one moment and none was answered.
fn flood(node: &mut Node, count: usize) -> Vec<usize> {
    let mut in_flight = vec![0; 15];
    for _ in 0..count {
        for to in sends(&node.arrive(3 * SECOND).1) {
            in_flight[to.0 as usize] += 1;
        }
    }
    in_flight
}

/// Queues that fit into a wide objective overloaded their servers: 7 of 15 in two seconds.
#[test]
fn a_flood_waits_at_the_node_not_at_the_servers() {
    let mut node = Node::new(wide_objective(5), fifteen_endpoints());
    let in_flight = flood(&mut node, 400);
    assert!(
        in_flight[..3].iter().all(|&at| (2..=3).contains(&at)),
        "local zone: {in_flight:?}"
    );
    assert!(
        in_flight[3..].iter().all(|&at| at == 1),
        "other zones: {in_flight:?}"
    );
}

/// Requests were rejected with most servers idle: with two nodes for five zones, three zones have none of their own.
#[test]
fn zones_without_nodes_of_their_own_are_used_in_full() {
    let mut node = Node::new(wide_objective(2), fifteen_endpoints());
    let in_flight = flood(&mut node, 400);
    assert!(
        in_flight[3..].iter().all(|&at| (2..=3).contains(&at)),
        "other zones: {in_flight:?}"
    );
}

/// The bound must not exclude slow servers: an idle one can always take a request.
#[test]
fn a_slow_server_of_another_zone_is_used_as_long_as_it_is_idle() {
    let mut node = Node::new(wide_objective(5), fifteen_endpoints());
    let (mut out, mut slow) = (Vec::new(), [false; 15]);
    let sends_with_requests = |actions: &[Action]| -> Vec<(RequestId, BackendId)> {
        let to = |action: &Action| match action {
            Action::Send {
                request, backend, ..
            } => Some((*request, *backend)),
            _ => None,
        };
        actions.iter().filter_map(to).collect()
    };
    for _ in 0..60 {
        for _ in 0..20 {
            out.extend(sends_with_requests(&node.arrive(3 * SECOND).1));
        }
        while !out.is_empty() {
            node.now += 10 * MILLISECOND;
            for (request, to) in std::mem::take(&mut out) {
                let elapsed = if to.0 % 2 == 1 {
                    60 * MILLISECOND
                } else {
                    180 * MILLISECOND
                };
                slow[to.0 as usize] |= to.0 % 2 == 0;
                out.extend(sends_with_requests(&node.end_attempt_after(
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
    assert!(in_flight.iter().all(|&at| at >= 1), "{in_flight:?}");
}

/// The bound does not depend on how fast a server is: beyond it any machine loses to contention.
#[test]
fn a_fast_server_gets_no_longer_queue() {
    let mut node = Node::new(wide_objective(5), fifteen_endpoints());
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

/// How many of a flood's requests go out at once, after twelve whose responses came in this way behind a pause of a second.
fn flood_after_a_pause(end: impl Fn(&mut Node, RequestId)) -> usize {
    let mut node = Node::new(wide_objective(1), fifteen_endpoints());
    node.serve_requests(200, |_| LoadReport::default());
    let waiting: Vec<RequestId> = (0..12).map(|_| node.arrive(3 * SECOND).0).collect();
    node.now += SECOND;
    for request in waiting {
        end(&mut node, request);
    }
    flood(&mut node, 400).iter().sum()
}

/// A node that has stood still does not know how long the responses have taken that it finds then: taken for slow, they
/// would make it shed what its servers have capacity for.
#[test]
fn responses_of_unknown_age_shed_no_load() {
    let in_time = flood_after_a_pause(|node, request| {
        node.end_attempt_after(
            request,
            0,
            Outcome::Success,
            40 * MILLISECOND,
            LoadReport::default(),
        );
    });
    let as_slow = flood_after_a_pause(|node, request| {
        node.end_attempt_after(request, 0, Outcome::Success, SECOND, LoadReport::default());
    });
    let unknown = flood_after_a_pause(|node, request| {
        node.end_attempt_at_unknown_time(request, 0);
    });
    assert!(as_slow < in_time, "{as_slow} and {in_time}");
    assert!(unknown >= in_time, "{unknown} and {in_time}");
}

fn checked_backends(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::CheckHealth { backend } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

fn reporting_by_health_check(allowed: bool) -> Settings {
    let mut settings = wide_objective(5);
    settings.reports_by_health_check = true;
    settings.limits.health_checks = allowed;
    settings
}

/// All health checks of ten seconds at `rate` requests a second, each answered at once.
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
fn health_checks_reach_every_server_and_are_paid_for_by_traffic() {
    let all = run_health_checks(reporting_by_health_check(true), 60, fifteen_endpoints());
    for backend in 0..15 {
        assert!(
            all.contains(&BackendId(backend)),
            "{backend} was never checked"
        );
    }
    let quiet = run_health_checks(reporting_by_health_check(true), 20, fifteen_endpoints());
    assert!(
        quiet.len() <= 200 / 5 + 4,
        "{} health checks for 200 requests",
        quiet.len()
    );
    let local = all.iter().filter(|to| to.0 < 3).count();
    assert!(
        local > all.len() / 3,
        "the local zone, a fifth of the servers, got {local} of {}",
        all.len()
    );
    // Whatever the traffic, no server is checked more often than reports are refreshed.
    let busy = run_health_checks(reporting_by_health_check(true), 2000, fifteen_endpoints());
    assert!(busy.len() <= 15 * 13, "{} health checks", busy.len());
}

#[test]
fn no_health_check_where_none_is_allowed_or_answers_report_load() {
    assert!(
        run_health_checks(reporting_by_health_check(false), 60, fifteen_endpoints()).is_empty()
    );
    let mut settings = reporting_by_health_check(true);
    settings.reports_by_health_check = false;
    assert!(run_health_checks(settings, 60, fifteen_endpoints()).is_empty());
}

#[test]
fn a_draining_server_gets_no_health_check() {
    let mut endpoints = fifteen_endpoints();
    endpoints[2].state = EndpointState::Draining;
    assert!(
        !run_health_checks(reporting_by_health_check(true), 60, endpoints).contains(&BackendId(2))
    );
}

/// The spill threshold applies to what health checks report: a local zone that is full by these spills.
#[test]
fn a_local_zone_that_health_checks_show_as_full_spills() {
    let spills = |used: f64| {
        let mut node = Node::new(reporting_by_health_check(true), fifteen_endpoints());
        for backend in 0..15 {
            let report = utilization_report(if backend < 3 { used } else { 0.2 });
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

fn key_affinity() -> Settings {
    Settings {
        key_affinity: true,
        ..wide_objective(5)
    }
}

fn arrive_with_key(node: &mut Node, key: u64) -> (RequestId, Vec<Action>) {
    let request = RequestId(node.next);
    node.next += 1;
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

/// Name hashes of the servers of 60 keys, at a node with this seed and this list.
fn servers_of(settings: Settings, seed: u64, endpoints: Vec<Endpoint>) -> Vec<Option<u64>> {
    let tags: Vec<(BackendId, u64)> = endpoints.iter().map(|m| (m.backend, m.name_hash)).collect();
    let mut node = Node::seeded(seed, settings, endpoints);
    let mut at = Vec::new();
    for key in 0..60u64 {
        let (request, actions) = arrive_with_key(&mut node, key * 0x1234_5678_9abc);
        let to = first_send(&actions);
        at.push(
            to.and_then(|to| tags.iter().find(|tag| tag.0 == to))
                .map(|tag| tag.1),
        );
        node.now += 20 * MILLISECOND;
        node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
    }
    at
}

#[test]
fn a_key_has_the_same_server_at_every_node_whatever_their_numbers() {
    let mut renumbered = fifteen_endpoints();
    renumbered
        .iter_mut()
        .for_each(|m| m.backend = BackendId(14 - m.backend.0));
    let here = servers_of(key_affinity(), 1, fifteen_endpoints());
    assert_eq!(here, servers_of(key_affinity(), 2, renumbered));
    let used: std::collections::BTreeSet<_> = here.iter().collect();
    assert_eq!(used.len(), 3, "the keys are spread over the zone");
    assert_ne!(
        here,
        servers_of(wide_objective(5), 1, fifteen_endpoints()),
        "without key affinity they have no server"
    );
}

/// A hot key must not overload the one server that has its affinity.
#[test]
fn a_hot_key_goes_on_to_other_servers_as_its_own_fills_up() {
    let mut node = Node::new(key_affinity(), fifteen_endpoints());
    let mut in_flight = [0; 15];
    for _ in 0..6 {
        for to in sends(&arrive_with_key(&mut node, 42).1) {
            in_flight[to.0 as usize] += 1;
        }
    }
    assert!(in_flight[..3].iter().all(|&at| at >= 1), "{in_flight:?}");
}

/// Of the queued requests, a server with capacity gets those whose keys it knows: these cost half there.
#[test]
fn a_server_with_capacity_gets_the_queued_requests_whose_keys_it_knows() {
    let (mut known, mut served) = (0, 0);
    for seed in 0..20 {
        let mut settings = key_affinity();
        settings.zone_count = 1;
        settings.node_count = 1;
        let endpoints: Vec<Endpoint> = fifteen_endpoints().into_iter().take(3).collect();
        let mut node = Node::seeded(seed, settings, endpoints);
        let mut server_of = std::collections::BTreeMap::new();
        for key in 0..12u64 {
            let (request, actions) = arrive_with_key(&mut node, key);
            server_of.insert(key, first_send(&actions));
            node.now += 20 * MILLISECOND;
            node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
        }
        let mut out = Vec::new();
        let mut keys = std::collections::BTreeMap::new();
        for turn in 0..40u64 {
            let (request, actions) = arrive_with_key(&mut node, turn % 12);
            keys.insert(request, turn % 12);
            out.extend(first_send(&actions).map(|_| request));
        }
        node.now += 30 * MILLISECOND;
        for action in node.end_attempt(out[0], 0, Outcome::Success, LoadReport::default()) {
            if let Action::Send {
                request, backend, ..
            } = action
            {
                served += 1;
                known += usize::from(server_of[&keys[&request]] == Some(backend));
            }
        }
    }
    assert!(served >= 15, "{served} sent");
    assert!(known * 10 >= served * 8, "{known} of {served}");
}

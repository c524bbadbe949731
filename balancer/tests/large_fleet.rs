//! Regression tests for large fleets, where each node sees a small part of the traffic and nodes with the same
//! endpoint list must not all act alike.

mod common;
use badgerpost_balancer::*;
use common::*;

const NODE_COUNT: u32 = 300;

/// Settings of one of many nodes in three zones, with load-adjusted sizes and no value for late answers.
fn fleet_settings() -> Settings {
    Settings {
        node_count: NODE_COUNT,
        weight_source: WeightSource::LoadAdjusted,
        ..settings(Idempotency::Idempotent)
    }
}

/// A list of ten backends in each of three zones. `queues` gives the queued requests per core of a zone's backends.
fn load_adjusted_list(queues: [f64; 3]) -> Vec<Endpoint> {
    let size = |zone: u32| 1.0 / (1.0 + queues[zone as usize]);
    (0..30)
        .map(|b| Endpoint {
            size: size(b / 10),
            ..endpoint(b, b / 10)
        })
        .collect()
}

fn node(seed: u64, node_settings: Settings, endpoints: Vec<Endpoint>) -> Node {
    // The first list shows idle backends: the largest size of a machine kind counts as that of an idle backend.
    let mut node = Node::seeded(seed, node_settings, load_adjusted_list([0.0; 3]));
    node.update_endpoints(EndpointUpdate::Snapshot, endpoints);
    node
}

/// Serves two requests per second, each after `delay`, with a new list every second. Returns their backends.
fn serve(node: &mut Node, seconds: u64, queues: [f64; 3], delay: Nanos) -> Vec<BackendId> {
    let mut used = Vec::new();
    for turn in 0..seconds * 2 {
        if turn % 2 == 0 {
            node.update_endpoints(EndpointUpdate::Snapshot, load_adjusted_list(queues));
        }
        let (request, actions) = node.arrive(SECOND);
        node.now += delay;
        if let Some(to) = first_send(&actions) {
            used.push(to);
            node.end_attempt_after(request, 0, Outcome::Success, delay, LoadReport::default());
        }
        node.now += SECOND / 2 - delay;
    }
    used
}

fn zone(backend: &BackendId) -> u32 {
    backend.0 / 10
}

/// Guards against treating load-adjusted sizes as capacity: the local zone would never reach its spill threshold.
#[test]
fn a_local_zone_that_load_adjusted_sizes_show_as_full_spills() {
    let mut lightly_loaded = node(1, fleet_settings(), load_adjusted_list([1.0; 3]));
    assert!(
        serve(&mut lightly_loaded, 30, [1.0, 0.2, 0.2], 50 * MILLISECOND)
            .iter()
            .all(|to| zone(to) == 0)
    );
    let mut fully_loaded = node(1, fleet_settings(), load_adjusted_list([9.0, 0.2, 3.5]));
    let used = serve(&mut fully_loaded, 30, [9.0, 0.2, 3.5], 50 * MILLISECOND);
    let spilled = used.iter().filter(|to| zone(to) == 1).count();
    assert!(
        spilled > used.len() / 3,
        "{spilled} of {} requests left the full local zone",
        used.len()
    );
    assert!(
        used.iter().all(|to| zone(to) != 2),
        "only the best zone takes the overflow"
    );
}

/// Guards against all nodes leaving the local zone at the same time and overloading another zone.
#[test]
fn nodes_with_the_same_list_start_to_spill_at_different_times() {
    let first_spill = |seed| {
        let mut node = node(seed, fleet_settings(), load_adjusted_list([5.0, 0.2, 0.2]));
        serve(&mut node, 20, [5.0, 0.2, 0.2], 50 * MILLISECOND)
            .iter()
            .position(|to| zone(to) == 1)
    };
    let mut starts: Vec<Option<usize>> = (0..12).map(first_spill).collect();
    starts.sort_unstable();
    starts.dedup();
    assert!(starts.len() > 3, "few distinct first spills: {starts:?}");
}

/// Guards against every node choosing the few backends that an outdated list shows as idle.
#[test]
fn nodes_do_not_all_choose_the_backend_that_an_outdated_list_shows_as_idle() {
    let endpoints: Vec<Endpoint> = (0..30)
        .map(|b| Endpoint {
            size: if b == 3 { 1.0 } else { 0.25 },
            ..endpoint(b, b / 10)
        })
        .collect();
    let to_idle = (0..200).filter(|&seed| {
        let mut node = node(seed, fleet_settings(), endpoints.clone());
        first_send(&node.arrive(SECOND).1) == Some(BackendId(3))
    });
    let to_idle = to_idle.count();
    assert!(
        (10..60).contains(&to_idle),
        "{to_idle} of 200 nodes chose the one idle backend of ten"
    );
}

/// Guards against refused connections because every node connects to every backend.
#[test]
fn a_node_uses_a_subset_of_the_backends_and_widens_it_on_failure() {
    let distinct = |used: &[BackendId]| {
        let mut seen: Vec<u32> = used.iter().map(|to| to.0).collect();
        seen.sort_unstable();
        seen.dedup();
        seen
    };
    let mut node = node(5, fleet_settings(), load_adjusted_list([0.5; 3]));
    let subset = distinct(&serve(&mut node, 60, [0.5; 3], 50 * MILLISECOND));
    assert_eq!(subset.len(), 4);
    // No backend of the subset accepts a connection: requests reach another one once each has been tried.
    let mut widened = false;
    for _ in 0..10 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while let Some(tried) = to {
            widened |= !subset.contains(&tried.0);
            let outcome = if subset.contains(&tried.0) {
                Outcome::ConnectFailed
            } else {
                Outcome::Success
            };
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                outcome,
                MILLISECOND,
                LoadReport::default(),
            ));
            attempt += 1;
        }
    }
    assert!(widened);
}

/// Guards against ejecting a backend because its connection table is full.
#[test]
fn refused_connections_eject_no_backend_in_a_large_fleet() {
    let mut node = node(5, fleet_settings(), load_adjusted_list([0.5; 3]));
    let mut ejections = 0;
    for _ in 0..40 {
        let (request, _) = node.arrive(SECOND);
        let actions = node.end_attempt_after(
            request,
            0,
            Outcome::ConnectFailed,
            MILLISECOND,
            LoadReport::default(),
        );
        ejections += actions
            .iter()
            .filter(|action| matches!(action, Action::Log(LogEvent::Ejected { .. })))
            .count();
        node.now += SECOND;
    }
    assert_eq!(ejections, 0);
}

/// Guards against mistaking a first attempt for a late retry because jitter left the request slightly less time.
#[test]
fn a_first_attempt_with_slightly_less_time_than_others_is_admitted() {
    let mut node = node(3, fleet_settings(), load_adjusted_list([0.5; 3]));
    for turn in 0..40 {
        let (request, actions) = node.arrive(500 * MILLISECOND - (turn % 7) * MILLISECOND);
        assert!(first_send(&actions).is_some(), "turn {turn}");
        node.now += 50 * MILLISECOND;
        node.end_attempt_after(
            request,
            0,
            Outcome::Success,
            50 * MILLISECOND,
            LoadReport::default(),
        );
        node.now += 400 * MILLISECOND;
    }
}

/// Guards against retries that prolong an overload although their answers would be late and have no value.
#[test]
fn a_retry_past_its_objective_is_rejected_where_late_answers_have_no_value() {
    let mut node = node(3, fleet_settings(), load_adjusted_list([0.5; 3]));
    let (request, _) = node.arrive(800 * MILLISECOND);
    node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
    // The deadline is 1 s: a request with 300 ms left started 700 ms ago, past its objective of 400 ms.
    let (_, actions) = node.arrive(300 * MILLISECOND);
    assert!(first_send(&actions).is_none() && has_rejection(&actions));
}

/// Guards against rejecting a class without recent arrivals because its admitted rate is rounded to zero.
#[test]
fn a_class_without_recent_arrivals_is_admitted() {
    let mut node_settings = fleet_settings();
    node_settings
        .classes
        .push(class(400, 1000, Idempotency::Idempotent));
    let mut node = node(3, node_settings, load_adjusted_list([0.5; 3]));
    serve(&mut node, 10, [0.5; 3], 50 * MILLISECOND);
    let (request, class) = (RequestId(9_999), ClassId(1));
    let expires_at = node.now + SECOND;
    let actions = node.handle(Event::RequestArrived(RequestArrival {
        request,
        class,
        affinity_key: None,
        expected_service_time: None,
        is_retry: false,
        tenant: None,
        expires_at,
    }));
    assert!(first_send(&actions).is_some());
}

/// Guards against an admitted fraction that does not follow an overload while discovery is down.
#[test]
fn timeouts_reduce_admission_without_new_endpoint_lists_until_they_end() {
    let mut node = node(3, fleet_settings(), load_adjusted_list([0.5; 3]));
    let count_sends = |node: &mut Node, count: usize, outcome| {
        let mut sent = 0;
        for _ in 0..count {
            let (request, actions) = node.arrive(SECOND);
            node.now += 100 * MILLISECOND;
            if first_send(&actions).is_some() {
                sent += 1;
                node.end_attempt_after(
                    request,
                    0,
                    outcome,
                    100 * MILLISECOND,
                    LoadReport::default(),
                );
            }
            node.now += 100 * MILLISECOND;
        }
        sent
    };
    node.now += 10 * SECOND;
    assert!(count_sends(&mut node, 50, Outcome::Success) > 45);
    count_sends(&mut node, 30, Outcome::TimedOut);
    let overloaded = count_sends(&mut node, 50, Outcome::TimedOut);
    assert!(
        (1..20).contains(&overloaded),
        "{overloaded} of 50 requests sent to overloaded backends"
    );
    count_sends(&mut node, 150, Outcome::Success);
    let after = count_sends(&mut node, 50, Outcome::Success);
    assert!(after > 40, "{after} of 50 requests sent after the overload");
}

/// Guards against work on requests past their latency objective; with few nodes the retries would cost more.
#[test]
fn attempts_time_out_at_the_latency_objective_only_in_a_large_fleet() {
    let timeout = |node_count| {
        let node_settings = Settings {
            node_count,
            ..fleet_settings()
        };
        let mut node = node(3, node_settings, load_adjusted_list([0.5; 3]));
        node.arrive(SECOND)
            .1
            .iter()
            .find_map(|action| match action {
                Action::Send { timeout, .. } => Some(*timeout),
                _ => None,
            })
    };
    assert_eq!(timeout(NODE_COUNT), Some(Some(400 * MILLISECOND)));
    assert_eq!(timeout(2), Some(None));
}

/// Guards against at least one send of every node per window: with many nodes that overloads a warming backend.
#[test]
fn many_nodes_together_stay_within_the_slow_start_budget() {
    let mut to_warming = 0;
    for seed in 0..u64::from(NODE_COUNT / 3) {
        let mut node = node(seed, fleet_settings(), load_adjusted_list([0.5; 3]));
        serve(&mut node, 10, [0.5; 3], 50 * MILLISECOND);
        let warming = Endpoint {
            started_at: Some(node.now),
            ..endpoint(3, 0)
        };
        node.update_endpoints(EndpointUpdate::Delta, vec![warming]);
        for _ in 0..4 {
            to_warming += usize::from(first_send(&node.arrive(SECOND).1) == Some(BackendId(3)));
            node.now += SECOND / 2;
        }
    }
    // 200 requests a second arrive at ten backends that are a third used, so the capacity of one is 60 a second. A
    // tenth of that over 2 s is 12 requests; the overload limit is twice that.
    assert!(
        (1..=24).contains(&to_warming),
        "{to_warming} requests sent to the warming backend"
    );
}

/// Guards against a new node shedding most requests after its first list because it has counted no arrivals.
#[test]
fn a_newly_started_node_does_not_shed_most_requests_after_its_first_list() {
    let senders = (0..100).filter(|&seed| {
        let mut node = node(seed, fleet_settings(), load_adjusted_list([6.0; 3]));
        let (request, _) = node.arrive(SECOND);
        node.now += 50 * MILLISECOND;
        node.end_attempt_after(
            request,
            0,
            Outcome::Success,
            50 * MILLISECOND,
            LoadReport::default(),
        );
        node.now += 100 * MILLISECOND;
        node.arrive(SECOND);
        node.now += 200 * MILLISECOND;
        first_send(&node.arrive(SECOND).1).is_some()
    });
    let senders = senders.count();
    assert!(senders > 60, "{senders} of 100 nodes sent the request");
}

/// Guards against a tenant over its quota displacing the others.
#[test]
fn requests_of_a_tenant_over_its_quota_are_rejected_first() {
    // A node's part of each quota is three requests a second. Tenant 0 exceeds its quota and tenant 1 does not.
    let quota = 3.0 * f64::from(NODE_COUNT);
    let node_settings = Settings {
        tenant_quotas: vec![quota, quota],
        over_quota_value: 0.1,
        ..fleet_settings()
    };
    let mut node = node(3, node_settings, load_adjusted_list([9.0; 3]));
    let mut sent = [0, 0];
    let mut arrived = [0, 0];
    for turn in 0..600u64 {
        if turn % 10 == 0 {
            node.update_endpoints(EndpointUpdate::Snapshot, load_adjusted_list([9.0; 3]));
        }
        let tenant = u32::from(turn % 6 == 0);
        let request = RequestId(10_000 + turn);
        let expires_at = node.now + SECOND;
        let arrival = RequestArrival {
            request,
            class: ClassId(0),
            affinity_key: None,
            expected_service_time: None,
            is_retry: false,
            tenant: Some(tenant),
            expires_at,
        };
        let actions = node.handle(Event::RequestArrived(arrival));
        arrived[tenant as usize] += 1;
        node.now += 50 * MILLISECOND;
        if first_send(&actions).is_some() {
            sent[tenant as usize] += 1;
            node.end_attempt_after(
                request,
                0,
                Outcome::Success,
                50 * MILLISECOND,
                LoadReport::default(),
            );
        }
        node.now += 50 * MILLISECOND;
    }
    let sent_part = |tenant: usize| f64::from(sent[tenant]) / f64::from(arrived[tenant]);
    assert!(sent_part(1) > 1.5 * sent_part(0), "{sent:?} of {arrived:?}");
}

/// Guards against a node that admits so little under overload that new backends, which could relieve the overload,
/// get almost no requests.
#[test]
fn new_backends_get_their_slow_start_budget_during_an_overload() {
    let node_settings = Settings {
        node_count: 3,
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(node_settings, (0..3).map(|b| endpoint(b, 0)).collect());
    node.now += 60 * SECOND;
    node.serve_requests(300, |_| utilization_report(0.5));
    for _ in 0..60 {
        let (request, actions) = node.arrive(SECOND);
        node.advance(100 * MILLISECOND);
        if first_send(&actions).is_some() {
            node.end_attempt_after(
                request,
                0,
                Outcome::TimedOut,
                100 * MILLISECOND,
                utilization_report(1.0),
            );
        }
    }
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started_at: Some(node.now - 15 * SECOND),
            ..endpoint(9, 0)
        }],
    );
    let to_new = (0..40)
        .filter(|_| first_send(&node.arrive(SECOND).1) == Some(BackendId(9)))
        .count();
    assert!(to_new >= 3, "{to_new} requests sent to the new backend");
}

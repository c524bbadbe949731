//! Faults found in large fleets, where each node sees little and nodes with the same view must not act as one.

mod common;
use badgerpost_balancer::*;
use common::*;

const NODES: u32 = 300;

/// Settings of one of many nodes in three zones, with load-adjusted sizes and worthless late answers.
fn large_fleet() -> Settings {
    Settings {
        node_count: NODES,
        weight_source: WeightSource::LoadAdjusted,
        ..settings(Idempotency::Idempotent)
    }
}

/// A list of ten backends a zone, each with the queue that `queues` gives for its zone.
fn load_adjusted_list(queues: [f64; 3]) -> Vec<Endpoint> {
    let weight = |zone: u32| 1.0 / (1.0 + queues[zone as usize]);
    (0..30)
        .map(|b| Endpoint {
            size: weight(b / 10),
            ..endpoint(b, b / 10)
        })
        .collect()
}

fn node(seed: u64, given: Settings, endpoints: Vec<Endpoint>) -> Node {
    // An idle list first: the largest size of a machine kind is that of an idle one.
    let mut node = Node::seeded(seed, given, load_adjusted_list([0.0; 3]));
    node.update_endpoints(EndpointUpdate::Snapshot, endpoints);
    node
}

/// Two requests a second, each served after `took`, with a new list every second.
fn serve(node: &mut Node, seconds: u64, queues: [f64; 3], took: Nanos) -> Vec<BackendId> {
    let mut used = Vec::new();
    for turn in 0..seconds * 2 {
        if turn % 2 == 0 {
            node.update_endpoints(EndpointUpdate::Snapshot, load_adjusted_list(queues));
        }
        let (request, actions) = node.arrive(SECOND);
        node.now += took;
        if let Some(to) = first_send(&actions) {
            used.push(to);
            node.end_attempt_after(request, 0, Outcome::Success, took, LoadReport::default());
        }
        node.now += SECOND / 2 - took;
    }
    used
}

fn zone(backend: &BackendId) -> u32 {
    backend.0 / 10
}

/// Load-adjusted sizes were taken for capacity: the local zone never counted as used, and never spilled.
#[test]
fn load_adjusted_weights_show_the_utilization() {
    let mut calm = node(1, large_fleet(), load_adjusted_list([1.0; 3]));
    assert!(
        serve(&mut calm, 30, [1.0, 0.2, 0.2], 50 * MILLISECOND)
            .iter()
            .all(|to| zone(to) == 0)
    );
    let mut full = node(1, large_fleet(), load_adjusted_list([9.0, 0.2, 3.5]));
    let used = serve(&mut full, 30, [9.0, 0.2, 3.5], 50 * MILLISECOND);
    let spilled = used.iter().filter(|to| zone(to) == 1).count();
    assert!(
        spilled > used.len() / 3,
        "{spilled} of {} left a full local zone",
        used.len()
    );
    assert!(
        used.iter().all(|to| zone(to) != 2),
        "only the best zone takes the overflow"
    );
}

/// Nodes with the same view all left the local zone at once and overloaded the next one.
#[test]
fn nodes_do_not_spill_as_one() {
    let first_spill = |seed| {
        let mut node = node(seed, large_fleet(), load_adjusted_list([5.0, 0.2, 0.2]));
        serve(&mut node, 20, [5.0, 0.2, 0.2], 50 * MILLISECOND)
            .iter()
            .position(|to| zone(to) == 1)
    };
    let mut times: Vec<Option<usize>> = (0..12).map(first_spill).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() > 3, "spilled at the same request: {times:?}");
}

/// The busiest server had 13 times the mean load: every node chose the few that a late list showed as free.
#[test]
fn nodes_do_not_herd_onto_what_a_late_list_shows_as_free() {
    let endpoints: Vec<Endpoint> = (0..30)
        .map(|b| Endpoint {
            size: if b == 3 { 1.0 } else { 0.25 },
            ..endpoint(b, b / 10)
        })
        .collect();
    let to_free = (0..200).filter(|&seed| {
        let mut node = node(seed, large_fleet(), endpoints.clone());
        first_send(&node.arrive(SECOND).1) == Some(BackendId(3))
    });
    let to_free = to_free.count();
    assert!(
        (10..60).contains(&to_free),
        "{to_free} of 200 nodes chose the free one of ten"
    );
}

/// In a full-size run 2,000 connections were refused in 5 s, as every node opened one to every server.
#[test]
fn a_node_keeps_to_a_subset_and_widens_it_on_failure() {
    let distinct = |used: &[BackendId]| {
        let mut seen: Vec<u32> = used.iter().map(|to| to.0).collect();
        seen.sort_unstable();
        seen.dedup();
        seen
    };
    let mut node = node(5, large_fleet(), load_adjusted_list([0.5; 3]));
    let subset = distinct(&serve(&mut node, 60, [0.5; 3], 50 * MILLISECOND));
    assert_eq!(subset.len(), 4);
    // No backend of the subset accepts a connection: the request still finds one, once each has been tried.
    let mut widened = false;
    for _ in 0..10 {
        let (request, actions) = node.arrive(SECOND);
        let (mut to, mut attempt) = (first_send(&actions), 0);
        while let Some(tried) = to {
            widened |= !subset.contains(&tried.0);
            let failed = if subset.contains(&tried.0) {
                Outcome::ConnectFailed
            } else {
                Outcome::Success
            };
            to = first_send(&node.end_attempt_after(
                request,
                attempt,
                failed,
                MILLISECOND,
                LoadReport::default(),
            ));
            attempt += 1;
        }
    }
    assert!(widened);
}

/// Backends with a full connection table were ejected for seconds.
#[test]
fn a_refused_connection_is_no_outlier_in_a_large_fleet() {
    let mut node = node(5, large_fleet(), load_adjusted_list([0.5; 3]));
    let mut logs = 0;
    for _ in 0..40 {
        let (request, _) = node.arrive(SECOND);
        let actions = node.end_attempt_after(
            request,
            0,
            Outcome::ConnectFailed,
            MILLISECOND,
            LoadReport::default(),
        );
        logs += actions
            .iter()
            .filter(|action| matches!(action, Action::Log(LogEvent::Ejected { .. })))
            .count();
        node.now += SECOND;
    }
    assert_eq!(logs, 0);
}

/// Jitter of arrivals made first attempts look like retries near their deadline: a third was rejected.
#[test]
fn an_attempt_a_little_shorter_than_others_is_admitted() {
    let mut node = node(3, large_fleet(), load_adjusted_list([0.5; 3]));
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

/// Retries past the objective of the first attempt kept overloads going: serving them is worth nothing.
#[test]
fn a_retry_past_its_objective_is_rejected_where_late_answers_have_no_value() {
    let mut node = node(3, large_fleet(), load_adjusted_list([0.5; 3]));
    let (request, _) = node.arrive(800 * MILLISECOND);
    node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
    // The deadline is 1 s and the objective 400 ms: a request with 300 ms left began 700 ms ago.
    let (_, actions) = node.arrive(300 * MILLISECOND);
    assert!(first_send(&actions).is_none() && has_rejection(&actions));
}

/// A class without recent arrivals was rejected, as rounding left nothing of the admitted rate for it.
#[test]
fn a_class_without_recent_arrivals_is_admitted() {
    let mut given = large_fleet();
    given
        .classes
        .push(class(400, 1000, Idempotency::Idempotent));
    let mut node = node(3, given, load_adjusted_list([0.5; 3]));
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

/// With discovery down, the admitted fraction was frozen when a burst came: nine in ten attempts timed out.
#[test]
fn time_outs_throttle_a_node_without_lists_until_they_end() {
    let mut node = node(3, large_fleet(), load_adjusted_list([0.5; 3]));
    let run = |node: &mut Node, count: usize, outcome| {
        let mut taken = 0;
        for _ in 0..count {
            let (request, actions) = node.arrive(SECOND);
            node.now += 100 * MILLISECOND;
            if first_send(&actions).is_some() {
                taken += 1;
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
        taken
    };
    node.now += 10 * SECOND;
    assert!(run(&mut node, 50, Outcome::Success) > 45);
    run(&mut node, 30, Outcome::TimedOut);
    let overloaded = run(&mut node, 50, Outcome::TimedOut);
    assert!(
        (1..20).contains(&overloaded),
        "{overloaded} of 50 sent to overloaded backends"
    );
    run(&mut node, 150, Outcome::Success);
    let after = run(&mut node, 50, Outcome::Success);
    assert!(after > 40, "{after} of 50 after the overload");
}

/// Servers worked on requests past their objective; with few nodes the retries would cost more.
#[test]
fn attempts_end_at_the_objective_only_in_a_large_fleet() {
    let timeout = |nodes| {
        let given = Settings {
            node_count: nodes,
            ..large_fleet()
        };
        let mut node = node(3, given, load_adjusted_list([0.5; 3]));
        node.arrive(SECOND)
            .1
            .iter()
            .find_map(|action| match action {
                Action::Send { timeout, .. } => Some(*timeout),
                _ => None,
            })
    };
    assert_eq!(timeout(NODES), Some(Some(400 * MILLISECOND)));
    assert_eq!(timeout(2), Some(None));
}

/// One send of each node in a window was always allowed: with a thousand nodes more than a warming backend can take.
#[test]
fn many_nodes_together_keep_the_slow_start_budget() {
    let mut to_cold = 0;
    for seed in 0..u64::from(NODES / 3) {
        let mut node = node(seed, large_fleet(), load_adjusted_list([0.5; 3]));
        serve(&mut node, 10, [0.5; 3], 50 * MILLISECOND);
        let cold = Endpoint {
            started_at: Some(node.now),
            ..endpoint(3, 0)
        };
        node.update_endpoints(EndpointUpdate::Delta, vec![cold]);
        for _ in 0..4 {
            to_cold += usize::from(first_send(&node.arrive(SECOND).1) == Some(BackendId(3)));
            node.now += SECOND / 2;
        }
    }
    // 200 requests a second arrive at ten backends, a third used: the capacity of one is 60 a second. A tenth of that
    // over 2 s is 12 requests, and the rule's limit twice that.
    assert!(
        (1..=24).contains(&to_cold),
        "{to_cold} to the warming backend"
    );
}

/// A node that had just started admitted 5% after its first list: it had counted no arrivals yet.
#[test]
fn a_node_that_has_just_started_does_not_shed_all_on_its_first_list() {
    let taken = (0..100).filter(|&seed| {
        let mut node = node(seed, large_fleet(), load_adjusted_list([6.0; 3]));
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
    let taken = taken.count();
    assert!(taken > 60, "{taken} of 100");
}

/// A tenant with several times its usual traffic displaced all others.
#[test]
fn a_flooding_tenant_is_rejected_first() {
    // Five requests a second arrive at each node; three a second of tenant 0 are within the node's part of its quota.
    let quota = 3.0 * f64::from(NODES);
    let given = Settings {
        tenant_quotas: vec![quota, quota],
        over_quota_value: 0.1,
        ..large_fleet()
    };
    let mut node = node(3, given, load_adjusted_list([9.0; 3]));
    let mut taken = [0, 0];
    let mut asked = [0, 0];
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
        asked[tenant as usize] += 1;
        node.now += 50 * MILLISECOND;
        if first_send(&actions).is_some() {
            taken[tenant as usize] += 1;
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
    let part = |tenant: usize| f64::from(taken[tenant]) / f64::from(asked[tenant]);
    assert!(part(1) > 1.5 * part(0), "{taken:?} of {asked:?}");
}

/// Incident i58b577: under overload nearly nothing was served, so the new servers that would have relieved it got nearly
/// nothing.
#[test]
fn an_overload_leaves_new_servers_their_slow_start_budget() {
    let given = Settings {
        node_count: 3,
        ..settings(Idempotency::Idempotent)
    };
    let mut node = Node::new(given, (0..3).map(|b| endpoint(b, 0)).collect());
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
    assert!(to_new >= 3, "{to_new} to the new server");
}

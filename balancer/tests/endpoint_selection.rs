//! Zone routing: the local zone below the spill threshold, one best zone for overflow, the local zone where none
//! qualifies.

mod common;
use badgerpost_balancer::*;
use common::*;

fn zones() -> Vec<Endpoint> {
    (0..6)
        .map(|backend| endpoint(backend, backend / 2))
        .collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

/// A node with reports of this utilization from each zone; it gets those of remote zones while the list has no other.
fn node_with_utilizations(utils: [f64; 3]) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    for remote in [1, 2, 0] {
        let only = zones()
            .into_iter()
            .filter(|endpoint| endpoint.zone == ZoneId(remote))
            .collect();
        node.update_endpoints(EndpointUpdate::Snapshot, only);
        node.update_endpoints(
            EndpointUpdate::Snapshot,
            zones()
                .into_iter()
                .filter(|m| m.zone == ZoneId(remote))
                .collect(),
        );
        node.serve_requests(10, |to| utilization_report(utils[zone(to) as usize]));
    }
    node
}

#[test]
fn the_local_zone_serves_below_the_spill_threshold() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve_requests(50, |_| utilization_report(0.5));
    // The first sends count in full until the first reports have arrived.
    assert!(used[25..].iter().all(|&to| zone(to) == 0), "{used:?}");
}

#[test]
fn an_unseen_zone_gets_the_first_overflow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve_requests(50, |to| {
        utilization_report(if zone(to) == 0 { 0.95 } else { 0.3 })
    });
    assert!(used.iter().any(|&to| zone(to) != 0));
}

#[test]
fn overflow_goes_to_the_zone_with_headroom() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let load = [0.95, 0.7, 0.2];
    let used = node.serve_requests(200, |to| utilization_report(load[zone(to) as usize]));
    let late = &used[50..];
    let count = |z| late.iter().filter(|&&to| zone(to) == z).count();
    assert!(
        count(2) > 3 * count(1).max(1),
        "{} to zone 1, {} to zone 2",
        count(1),
        count(2)
    );
}

#[test]
fn the_local_zone_serves_when_no_zone_qualifies() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve_requests(200, |_| utilization_report(0.95));
    let local = used[50..].iter().filter(|&&to| zone(to) == 0).count();
    assert!(local > 100, "{local} of 150 stayed in the local zone");
}

#[test]
fn requests_leave_a_local_zone_without_backends() {
    let mut node = node_with_utilizations([0.1, 0.2, 0.3]);
    node.update_endpoints(
        EndpointUpdate::Snapshot,
        zones()
            .into_iter()
            .filter(|m| m.zone != ZoneId(0))
            .collect(),
    );
    assert!(first_send(&node.arrive(SECOND).1).is_some_and(|to| zone(to) != 0));
}

#[test]
fn sends_since_the_last_report_raise_the_utilization() {
    let mut node = node_with_utilizations([0.6, 0.1, 0.1]);
    node.update_endpoints(EndpointUpdate::Snapshot, zones());
    node.serve_requests(20, |to| {
        utilization_report(if zone(to) == 0 { 0.6 } else { 0.1 })
    });
    let used: Vec<u32> = (0..12)
        .filter_map(|_| first_send(&node.arrive(SECOND).1))
        .map(zone)
        .collect();
    assert_eq!(used[0], 0);
    assert!(
        used.iter().any(|&z| z != 0),
        "a burst stayed in the local zone by an old report: {used:?}"
    );
}

#[test]
fn impossible_load_reports_are_ignored() {
    for figure in [f64::NAN, f64::INFINITY, -1.0] {
        let mut node = Node::new(settings(Idempotency::Idempotent), zones());
        let used = node.serve_requests(30, |_| utilization_report(figure));
        assert!(used.len() >= 30, "{figure}: {}", used.len());
    }
}

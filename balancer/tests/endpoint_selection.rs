//! Zone routing: the local zone serves below the spill threshold, the best other zone takes the overflow, and the
//! local zone serves where no other zone qualifies.

mod common;
use badgerpost_balancer::*;
use common::*;

fn endpoints() -> Vec<Endpoint> {
    (0..6)
        .map(|backend| endpoint(backend, backend / 2))
        .collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

/// A node with load reports of these utilizations from zones 0 to 2. Each zone serves while the endpoint list
/// contains no other zone.
fn node_with_utilizations(utilizations: [f64; 3]) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), endpoints());
    for listed_zone in [1, 2, 0] {
        let in_listed_zone = endpoints()
            .into_iter()
            .filter(|endpoint| endpoint.zone == ZoneId(listed_zone))
            .collect();
        node.update_endpoints(EndpointUpdate::Snapshot, in_listed_zone);
        node.update_endpoints(
            EndpointUpdate::Snapshot,
            endpoints()
                .into_iter()
                .filter(|endpoint| endpoint.zone == ZoneId(listed_zone))
                .collect(),
        );
        node.serve_requests(10, |to| utilization_report(utilizations[zone(to) as usize]));
    }
    node
}

#[test]
fn the_local_zone_serves_below_the_spill_threshold() {
    let mut node = Node::new(settings(Idempotency::Idempotent), endpoints());
    let used = node.serve_requests(50, |_| utilization_report(0.5));
    // Until the first load reports arrive, sends count in full towards the utilization.
    assert!(used[25..].iter().all(|&to| zone(to) == 0), "{used:?}");
}

#[test]
fn overflow_goes_to_a_zone_without_load_reports() {
    let mut node = Node::new(settings(Idempotency::Idempotent), endpoints());
    let used = node.serve_requests(50, |to| {
        utilization_report(if zone(to) == 0 { 0.95 } else { 0.3 })
    });
    assert!(used.iter().any(|&to| zone(to) != 0));
}

#[test]
fn overflow_goes_to_the_zone_with_headroom() {
    let mut node = Node::new(settings(Idempotency::Idempotent), endpoints());
    let utilizations = [0.95, 0.7, 0.2];
    let used = node.serve_requests(200, |to| {
        utilization_report(utilizations[zone(to) as usize])
    });
    let later = &used[50..];
    let count = |z| later.iter().filter(|&&to| zone(to) == z).count();
    assert!(
        count(2) > 3 * count(1).max(1),
        "{} requests to zone 1, {} to zone 2",
        count(1),
        count(2)
    );
}

#[test]
fn the_local_zone_serves_when_no_zone_qualifies() {
    let mut node = Node::new(settings(Idempotency::Idempotent), endpoints());
    let used = node.serve_requests(200, |_| utilization_report(0.95));
    let local = used[50..].iter().filter(|&&to| zone(to) == 0).count();
    assert!(
        local > 100,
        "{local} of 150 requests stayed in the local zone"
    );
}

#[test]
fn requests_leave_a_local_zone_without_backends() {
    let mut node = node_with_utilizations([0.1, 0.2, 0.3]);
    node.update_endpoints(
        EndpointUpdate::Snapshot,
        endpoints()
            .into_iter()
            .filter(|endpoint| endpoint.zone != ZoneId(0))
            .collect(),
    );
    assert!(first_send(&node.arrive(SECOND).1).is_some_and(|to| zone(to) != 0));
}

#[test]
fn sends_since_the_last_report_raise_the_utilization() {
    let mut node = node_with_utilizations([0.6, 0.1, 0.1]);
    node.update_endpoints(EndpointUpdate::Snapshot, endpoints());
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
        "the whole burst went to the local zone on an outdated load report: {used:?}"
    );
}

#[test]
fn invalid_utilizations_in_load_reports_are_ignored() {
    for utilization in [f64::NAN, f64::INFINITY, -1.0] {
        let mut node = Node::new(settings(Idempotency::Idempotent), endpoints());
        let used = node.serve_requests(30, |_| utilization_report(utilization));
        assert!(
            used.len() >= 30,
            "utilization {utilization}: {} requests sent",
            used.len()
        );
    }
}

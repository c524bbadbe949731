//! The design: home under the threshold, one best overflow zone, home when none qualifies.

mod common;
use badgerpost_balancer::*;
use common::*;

fn zones() -> Vec<Endpoint> {
    (0..6).map(|backend| member(backend, backend / 2)).collect()
}

fn zone(backend: BackendId) -> u32 {
    backend.0 / 2
}

/// Teaches the node the utilisation of every zone, remote ones by keeping home out of the list.
fn taught(utils: [f64; 3]) -> Node {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    for remote in [1, 2, 0] {
        let only = zones()
            .into_iter()
            .filter(|member| member.zone == ZoneId(remote))
            .collect();
        node.list(EndpointUpdate::Snapshot, only);
        node.list(
            EndpointUpdate::Snapshot,
            zones()
                .into_iter()
                .filter(|m| m.zone == ZoneId(remote))
                .collect(),
        );
        node.serve(10, |to| util(utils[zone(to) as usize]));
    }
    node
}

#[test]
fn home_serves_under_the_threshold() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(50, |_| util(0.5));
    // The first sends count in full until the first figures have come back.
    assert!(used[25..].iter().all(|&to| zone(to) == 0), "{used:?}");
}

#[test]
fn an_unseen_zone_gets_the_first_overflow() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(50, |to| util(if zone(to) == 0 { 0.95 } else { 0.3 }));
    assert!(used.iter().any(|&to| zone(to) != 0));
}

#[test]
fn overflow_goes_to_the_zone_with_headroom() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let load = [0.95, 0.7, 0.2];
    let used = node.serve(200, |to| util(load[zone(to) as usize]));
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
fn home_serves_when_no_zone_qualifies() {
    let mut node = Node::new(settings(Idempotency::Idempotent), zones());
    let used = node.serve(200, |_| util(0.95));
    let home = used[50..].iter().filter(|&&to| zone(to) == 0).count();
    assert!(home > 100, "{home} of 150 stayed home");
}

#[test]
fn a_home_zone_without_usable_backends_is_left() {
    let mut node = taught([0.1, 0.2, 0.3]);
    node.list(
        EndpointUpdate::Snapshot,
        zones()
            .into_iter()
            .filter(|m| m.zone != ZoneId(0))
            .collect(),
    );
    assert!(sent(&node.ask(SECOND).1).is_some_and(|to| zone(to) != 0));
}

#[test]
fn own_sends_since_the_report_count() {
    let mut node = taught([0.6, 0.1, 0.1]);
    node.list(EndpointUpdate::Snapshot, zones());
    node.serve(20, |to| util(if zone(to) == 0 { 0.6 } else { 0.1 }));
    let used: Vec<u32> = (0..12)
        .filter_map(|_| sent(&node.ask(SECOND).1))
        .map(zone)
        .collect();
    assert_eq!(used[0], 0);
    assert!(
        used.iter().any(|&z| z != 0),
        "a burst stayed home on an old figure: {used:?}"
    );
}

#[test]
fn impossible_load_reports_are_ignored() {
    for figure in [f64::NAN, f64::INFINITY, -1.0] {
        let mut node = Node::new(settings(Idempotency::Idempotent), zones());
        let used = node.serve(30, |_| util(figure));
        assert!(used.len() >= 30, "{figure}: {}", used.len());
    }
}

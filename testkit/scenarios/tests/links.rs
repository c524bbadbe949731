//! Guards against link faults that affect other messages than those of their target, and against faults of a zone or
//! of a fraction of the nodes or servers that miss a member.

mod common;

use badgerpost_scenarios::outcome::{AttemptOutcome, ClientResult, Request};
use badgerpost_scenarios::run::RunReport;
use common::MS;

const SCENARIO: &str = r#"
about = "links"
length_ms = 3000
[clients]
rate = 160.0
[discovery]
known = true
[[nodes]]
count = 2
name = "a"
zone = "dc-a"
[[nodes]]
count = 2
name = "b"
zone = "dc-b"
[[servers]]
count = 2
name = "ma"
zone = "dc-a"
[[servers]]
count = 2
name = "mb"
zone = "dc-b"
[[class]]
name = "status"
effect = "safe"
share = 1.0
work_ms = [10, 20]
aim_ms = 200
deadline_ms = 500
"#;

/// Runs the scenario with a fault from 1 s to 2 s.
fn run_with_fault(fault: &str) -> RunReport {
    let text = format!("{SCENARIO}[[fault]]\nat_ms = 1000\nfor_ms = 1000\n{fault}\n");
    let plan = common::plan(&text, 5);
    let report = common::run_plan(&plan, common::program("badgerpost"), "", false);
    assert!(report.is_good(), "{fault}: {:?}", report.breaches);
    report
}

/// The requests that arrived at nodes with this name prefix: during the fault, and before the fault.
fn requests_of<'a>(report: &'a RunReport, node: &'a str) -> [Vec<&'a Request>; 2] {
    // Excludes the last part of the fault, because delayed requests from there can be served after the fault.
    [1000..1400, 100..950].map(|period| {
        let is_in_period = |request: &&Request| period.contains(&(request.arrival / MS));
        report
            .log
            .iter()
            .filter(|request| request.node.starts_with(node))
            .filter(is_in_period)
            .collect()
    })
}

fn served_count(requests: &[&Request]) -> usize {
    requests
        .iter()
        .filter(|one| one.result() == Some(ClientResult::Served))
        .count()
}

/// The time from arrival to response in milliseconds; 0 without a response.
fn latency_ms(request: &Request) -> u64 {
    request
        .response
        .map_or(0, |response| response.at - request.arrival)
        / MS
}

#[test]
fn a_partition_between_two_zones_does_not_affect_requests_within_a_zone() {
    let report = run_with_fault("kind = 'cut'\nzone = 'dc-a'\nto = 'dc-b'");
    for node in ["a", "b"] {
        let [during, before] = requests_of(&report, node);
        assert!(before.len() > 15 && served_count(&before) == before.len());
        assert!(
            during.len() > 10 && served_count(&during) == during.len(),
            "{node}: a request within the zone was not served"
        );
    }
}

#[test]
fn a_partitioned_node_serves_nothing_and_the_others_serve_everything() {
    let report = run_with_fault("kind = 'cut'\nnode = 'a0'");
    let [during, before] = requests_of(&report, "a0");
    assert!(!before.is_empty() && served_count(&before) == before.len());
    assert!(during.len() > 5 && served_count(&during) == 0);
    assert!(
        during
            .iter()
            .flat_map(|one| &one.attempts)
            .all(|attempt| !attempt.executed)
    );
    for node in ["a1", "b"] {
        let [during, _] = requests_of(&report, node);
        assert_eq!(served_count(&during), during.len(), "{node}");
    }
}

#[test]
fn requests_execute_during_a_one_way_partition_only_if_it_blocks_the_responses() {
    for (way, is_executed) in [("there", false), ("back", true)] {
        let report = run_with_fault(&format!(
            "kind = 'cut'\nnode = 'a0'\nto = 'servers'\nway = '{way}'"
        ));
        let [during, _] = requests_of(&report, "a0");
        let attempts: Vec<_> = during.iter().flat_map(|one| &one.attempts).collect();
        assert!(attempts.len() > 3 && served_count(&during) == 0, "{way}");
        assert!(
            attempts
                .iter()
                .all(|attempt| attempt.executed == is_executed),
            "{way}"
        );
    }
}

#[test]
fn a_slow_link_delays_both_directions_and_a_lossy_link_delays_some_requests() {
    let slow = run_with_fault("kind = 'slow-link'\nnode = 'a0'\nto = 'servers'\nby_ms = 40");
    let [during, before] = requests_of(&slow, "a0");
    assert!(
        before.iter().all(|one| latency_ms(one) < 40)
            && during.iter().all(|one| latency_ms(one) >= 90)
    );
    let lossy = run_with_fault("kind = 'lossy-link'\nnode = 'a0'\nto = 'servers'\nloss = 0.2");
    let [during, _] = requests_of(&lossy, "a0");
    let delayed = during
        .iter()
        .filter(|one| latency_ms(one) >= 200 || one.response.is_none())
        .count();
    assert!(
        delayed > 0 && delayed < during.len(),
        "{delayed} of {}",
        during.len()
    );
}

#[test]
fn a_resetting_link_breaks_connections_during_requests() {
    let report = run_with_fault("kind = 'reset-link'\nzone = 'dc-a'\nto = 'dc-a'");
    let [during, _] = requests_of(&report, "a");
    let was_reset = |request: &&&Request| {
        request
            .attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::ConnectionReset)
    };
    assert!(during.iter().filter(was_reset).count() > 3);
    let [during, _] = requests_of(&report, "b");
    assert_eq!(during.iter().filter(was_reset).count(), 0);
}

#[test]
fn requests_of_partitioned_clients_are_excused() {
    let report = run_with_fault("kind = 'cut'\nshare = 1.0\nto = 'clients'");
    let during: Vec<_> = ["a", "b"]
        .iter()
        .flat_map(|node| requests_of(&report, node)[0].clone())
        .collect();
    assert!(
        during.len() > 30
            && during
                .iter()
                .all(|one| one.is_excused && one.attempts.is_empty())
    );
}

#[test]
fn a_fault_of_a_zone_affects_all_of_its_nodes() {
    let report = run_with_fault("kind = 'kill-node'\nzone = 'dc-a'");
    // Clients then connect to nodes of the other zone.
    assert!(requests_of(&report, "a")[0].is_empty() && requests_of(&report, "b")[0].len() > 50);
}

#[test]
fn a_fault_in_waves_affects_every_server() {
    let waves = run_with_fault("kind = 'error'\nshare = 1.0\nwaves = 4\nevery_ms = 100");
    let failed: std::collections::BTreeSet<_> = waves
        .log
        .iter()
        .flat_map(|one| &one.attempts)
        .filter(|attempt| attempt.outcome == AttemptOutcome::ServerError)
        .map(|attempt| attempt.server.clone())
        .collect();
    assert_eq!(failed.len(), 4);
}

#[test]
fn a_fault_with_a_probability_affects_some_attempts() {
    let report = run_with_fault("kind = 'error'\nshare = 1.0\nchance = 0.3");
    let attempts = report.log.iter().flat_map(|one| &one.attempts);
    let during: Vec<_> = attempts
        .filter(|one| (1000..1900).contains(&(one.start / MS)))
        .collect();
    let failed = during
        .iter()
        .filter(|attempt| attempt.outcome == AttemptOutcome::ServerError)
        .count();
    assert!(
        (during.len() / 8..during.len() / 2).contains(&failed),
        "{failed} of {}",
        during.len()
    );
}

#[test]
fn a_slow_zone_delays_its_own_requests() {
    let slow = run_with_fault("kind = 'slow'\nzone = 'dc-b'\ntimes = 4");
    assert!(
        requests_of(&slow, "b")[0]
            .iter()
            .filter(|one| latency_ms(one) >= 40)
            .count()
            > 5
    );
    assert!(
        requests_of(&slow, "b")[1]
            .iter()
            .all(|one| latency_ms(one) < 40)
    );
}

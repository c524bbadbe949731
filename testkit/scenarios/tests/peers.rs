//! Zone failover of node processes that gossip: the nodes leave and return to a zone together, a single partitioned
//! node affects no other node, and failed gossip is no worse than no gossip. Most checks also run against a fleet that
//! must fail them: without gossip, or with too many partitioned nodes.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use badgerpost_scenarios::fleet::{self, FailoverReport};
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::RunReport;
use common::{MS, ZONE_WATCH_SETTINGS};

const SEED: u64 = 7;

struct FleetRun {
    plan: Plan,
    report: RunReport,
}

/// Runs twelve nodes and thirty servers in three zones; each node receives 15 requests per second.
fn run_fleet(length_ms: u64, faults: &str, peers: bool) -> FleetRun {
    println!("seed {SEED}, peers {peers}: {faults}");
    let plan = common::plan(
        &common::three_zone_scenario(4, 180.0, length_ms, "", faults),
        SEED,
    );
    let report = common::run_plan(
        &plan,
        common::program("badgerpost"),
        ZONE_WATCH_SETTINGS,
        peers,
    );
    assert!(report.is_good(), "{faults}: {:?}", report.breaches);
    FleetRun { plan, report }
}

impl FleetRun {
    fn failover(&self) -> FailoverReport {
        let outages = fleet::zone_outages(&self.plan);
        fleet::measure_failover(
            &self.report.log,
            outages.first().expect("a zone in trouble"),
        )
    }

    fn zone_state_counts(&self, why: &str) -> Vec<(&str, usize)> {
        common::zone_state_counts(&self.report, why)
    }

    /// Whether all four nodes of the zone returned within `max_ms` after the fault.
    fn all_returned_within(&self, max_ms: u64) -> bool {
        let return_delays = self.failover().return_times;
        return_delays.len() == 4 && return_delays.iter().all(|delay| *delay <= max_ms * MS)
    }

    /// The number of requests that arrived at the node in this period, in milliseconds, and whose first attempt went to
    /// the zone.
    fn first_attempts(&self, node: &str, zone: &str, period_ms: std::ops::Range<u64>) -> usize {
        let requests = self
            .report
            .log
            .iter()
            .filter(|one| one.node == node && period_ms.contains(&(one.arrival / MS)));
        requests.filter(|one| one.first_attempt_is_in(zone)).count()
    }
}

/// A fault that makes all servers of a zone unresponsive.
const UNRESPONSIVE_ZONE: &str = "kind = 'hang'\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'";

#[test]
fn nodes_leave_an_unresponsive_zone_together_and_return_together() {
    let fleet_run = run_fleet(13_000, UNRESPONSIVE_ZONE, true);
    let failover = fleet_run.failover();
    assert_eq!(failover.nodes_not_failed_over, 0);
    assert!(
        failover
            .failover_times
            .iter()
            .all(|delay| *delay <= 300 * MS),
        "{failover}"
    );
    assert!(fleet_run.all_returned_within(3500), "{failover}");
    assert!(
        failover
            .nine_tenths_load_after
            .is_some_and(|delay| delay < 4000 * MS),
        "{failover}"
    );
    // The same fleet without gossip fails the checks.
    let without_gossip = run_fleet(13_000, UNRESPONSIVE_ZONE, false);
    let is_late = without_gossip
        .failover()
        .failover_times
        .iter()
        .any(|delay| *delay > 300 * MS);
    println!("without gossip: {}", without_gossip.failover());
    assert!(
        is_late && !without_gossip.all_returned_within(3500),
        "{}",
        without_gossip.failover()
    );
}

#[test]
fn no_node_leaves_a_zone_because_one_other_node_is_partitioned_from_it() {
    let faults = "kind = 'cut'\nat_ms = 4000\nfor_ms = 3000\nnode = 'b0'\nto = 'dc-b'";
    let fleet_run = run_fleet(9000, faults, true);
    let ejections = fleet_run.zone_state_counts("silent");
    assert!(
        ejections.iter().all(|(node, _)| *node == "b0") && !ejections.is_empty(),
        "{ejections:?}"
    );
    // If most of the zone's nodes are partitioned in the same way, other nodes leave the zone too.
    let mostly_partitioned =
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'\nshare = 0.75\nto = 'dc-b'";
    let ejecting_nodes = run_fleet(9000, mostly_partitioned, true)
        .zone_state_counts("silent")
        .len();
    assert!(ejecting_nodes >= 3, "{ejecting_nodes}");
}

#[test]
fn no_zone_is_ejected_for_long_for_a_partial_partition_or_a_brief_fault() {
    for faults in [
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 2000\nzone = 'dc-a'\nto = 'dc-b'",
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 200\nzone = 'dc-b'\nto = 'servers'",
        "kind = 'hang'\nat_ms = 4000\nfor_ms = 2000\nserver = 'mb1'",
    ] {
        let fleet_run = run_fleet(8000, faults, true);
        assert_eq!(
            fleet::false_ejections(&fleet_run.plan, &fleet_run.report.log),
            [],
            "{faults}"
        );
        for why in ["trying", "returning"] {
            assert_eq!(
                fleet_run.zone_state_counts(why),
                [],
                "{faults}: a node kept the zone ejected"
            );
        }
    }
}

#[test]
fn nodes_leave_a_failed_zone_and_no_healthy_one_when_gossip_is_delayed_lost_or_partitioned() {
    let delayed =
        "kind = 'slow-link'\nat_ms = 2500\nfor_ms = 20000\nby_ms = 5000\nshare = 1.0\nto = 'nodes'";
    let lossy =
        "kind = 'lossy-link'\nat_ms = 2500\nfor_ms = 20000\nloss = 0.3\nshare = 1.0\nto = 'nodes'";
    let partitioned =
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 5500\nzone = 'dc-b'\nshare = 0.5\nto = 'nodes'";
    for (gossip_fault, max_ms) in [(delayed, 1500), (lossy, 400), (partitioned, 1500)] {
        let fleet_run = run_fleet(14_000, &format!("{UNRESPONSIVE_ZONE};{gossip_fault}"), true);
        let failover = fleet_run.failover();
        assert!(
            failover
                .failover_times
                .iter()
                .all(|delay| *delay <= max_ms * MS),
            "{gossip_fault}: {failover}"
        );
        assert_eq!(
            (failover.nodes_not_failed_over, failover.return_times.len()),
            (0, 4),
            "{gossip_fault}: {failover}"
        );
        // No node leaves a healthy zone because of delayed gossip.
        assert_eq!(
            fleet::false_ejections(&fleet_run.plan, &fleet_run.report.log),
            [],
            "{gossip_fault}"
        );
    }
}

#[test]
fn a_node_started_during_a_zone_ejection_adopts_it_from_gossip() {
    let faults =
        format!("{UNRESPONSIVE_ZONE};kind = 'kill-node'\nat_ms = 4800\nfor_ms = 200\nnode = 'b0'");
    let with_gossip = run_fleet(9000, &faults, true);
    let without_gossip = run_fleet(9000, &faults, false);
    // The node restarts at 5 s; the zone is unresponsive until 7 s.
    let [with_gossip, without_gossip] = [with_gossip, without_gossip]
        .map(|fleet_run| fleet_run.first_attempts("b0", "dc-b", 5000..7000));
    assert!(
        with_gossip < without_gossip && with_gossip <= 8,
        "{with_gossip} first attempts in the zone with gossip, {without_gossip} without"
    );
}

#[test]
fn all_nodes_leave_a_zone_with_30_percent_errors_and_none_leaves_a_slow_zone() {
    let failing = "kind = 'error'\nchance = 0.3\nat_ms = 4000\nfor_ms = 4000\nzone = 'dc-b'";
    let failover = run_fleet(8500, failing, true).failover();
    assert_eq!(failover.nodes_not_failed_over, 0, "{failover}");
    // Without gossip, some nodes observe too few failures to leave the zone.
    let without_gossip = run_fleet(8500, failing, false).failover();
    assert!(without_gossip.nodes_not_failed_over > 0, "{without_gossip}");
    let slow = "kind = 'slow'\ntimes = 3.0\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'";
    let fleet_run = run_fleet(8500, slow, true);
    for why in ["silent", "failing"] {
        assert_eq!(fleet_run.zone_state_counts(why), [], "{slow}");
    }
    assert_eq!(
        fleet::false_ejections(&fleet_run.plan, &fleet_run.report.log),
        []
    );
}

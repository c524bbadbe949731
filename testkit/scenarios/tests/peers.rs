//! Nodes that gossip, as processes with faults between them: all leave a zone and return to it together, one node alone
//! moves no other, and without gossip a node does as well as one without peers. Each check is also run against a fleet
//! that must fail it: the same one without gossip, or with more partitioned nodes than it tolerates.
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

/// Twelve nodes and thirty servers in three zones; each node sees 15 requests a second.
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

    /// Whether all four nodes of the zone had returned within this time after the fault, in milliseconds.
    fn all_returned_within(&self, most: u64) -> bool {
        let back = self.failover().return_times;
        back.len() == 4 && back.iter().all(|span| *span <= most * MS)
    }

    /// First attempts of a node at a zone, between two times.
    fn sent(&self, node: &str, zone: &str, between: std::ops::Range<u64>) -> usize {
        let log = self
            .report
            .log
            .iter()
            .filter(|one| one.node == node && between.contains(&(one.arrival / MS)));
        log.filter(|one| one.first_attempt_is_in(zone)).count()
    }
}

const SILENT: &str = "kind = 'hang'\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'";

#[test]
fn nodes_leave_an_unresponsive_zone_together_and_return_together() {
    let fleet_run = run_fleet(13_000, SILENT, true);
    let failover = fleet_run.failover();
    assert_eq!(failover.nodes_not_failed_over, 0);
    assert!(
        failover.failover_times.iter().all(|span| *span <= 300 * MS),
        "{failover}"
    );
    assert!(fleet_run.all_returned_within(3500), "{failover}");
    assert!(
        failover
            .nine_tenths_load_after
            .is_some_and(|span| span < 4000 * MS),
        "{failover}"
    );
    // The same fleet without gossip.
    let alone = run_fleet(13_000, SILENT, false);
    let late = alone
        .failover()
        .failover_times
        .iter()
        .any(|span| *span > 300 * MS);
    println!("alone: {}", alone.failover());
    assert!(
        late && !alone.all_returned_within(3500),
        "{}",
        alone.failover()
    );
}

#[test]
fn one_partitioned_node_moves_no_other_node() {
    let faults = "kind = 'cut'\nat_ms = 4000\nfor_ms = 3000\nnode = 'b0'\nto = 'dc-b'";
    let fleet_run = run_fleet(9000, faults, true);
    let moved = fleet_run.zone_state_counts("silent");
    assert!(
        moved.iter().all(|(node, _)| *node == "b0") && !moved.is_empty(),
        "{moved:?}"
    );
    // With most of the zone's nodes partitioned like this, others do follow: the check can fail.
    let most =
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'\nshare = 0.75\nto = 'dc-b'";
    let moved = run_fleet(9000, most, true)
        .zone_state_counts("silent")
        .len();
    assert!(moved >= 3, "{moved}");
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
                "{faults}: closed for long"
            );
        }
    }
}

#[test]
fn delayed_or_lost_gossip_does_no_harm() {
    let late =
        "kind = 'slow-link'\nat_ms = 2500\nfor_ms = 20000\nby_ms = 5000\nshare = 1.0\nto = 'nodes'";
    let lossy =
        "kind = 'lossy-link'\nat_ms = 2500\nfor_ms = 20000\nloss = 0.3\nshare = 1.0\nto = 'nodes'";
    let split =
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 5500\nzone = 'dc-b'\nshare = 0.5\nto = 'nodes'";
    for (bad, most) in [(late, 1500), (lossy, 400), (split, 1500)] {
        let fleet_run = run_fleet(14_000, &format!("{SILENT};{bad}"), true);
        let failover = fleet_run.failover();
        assert!(
            failover
                .failover_times
                .iter()
                .all(|span| *span <= most * MS),
            "{bad}: {failover}"
        );
        assert_eq!(
            (failover.nodes_not_failed_over, failover.return_times.len()),
            (0, 4),
            "{bad}: {failover}"
        );
        // No node leaves a healthy zone, however late the gossip about it is.
        assert_eq!(
            fleet::false_ejections(&fleet_run.plan, &fleet_run.report.log),
            [],
            "{bad}"
        );
    }
}

#[test]
fn a_node_started_during_a_zone_ejection_adopts_it_from_gossip() {
    let faults = format!("{SILENT};kind = 'kill-node'\nat_ms = 4800\nfor_ms = 200\nnode = 'b0'");
    let with_gossip = run_fleet(9000, &faults, true);
    let alone = run_fleet(9000, &faults, false);
    // Restarted at 5 s; the zone is unresponsive until 7 s.
    let [with_gossip, alone] =
        [with_gossip, alone].map(|fleet_run| fleet_run.sent("b0", "dc-b", 5000..7000));
    assert!(
        with_gossip < alone && with_gossip <= 8,
        "{with_gossip} sent there with gossip, {alone} without"
    );
}

#[test]
fn all_nodes_leave_a_zone_that_fails_30_percent_and_none_leaves_a_slow_one() {
    let failing = "kind = 'error'\nchance = 0.3\nat_ms = 4000\nfor_ms = 4000\nzone = 'dc-b'";
    let left = run_fleet(8500, failing, true).failover();
    assert_eq!(left.nodes_not_failed_over, 0, "{left}");
    // Without gossip, some nodes observe too few failures: the check can fail.
    let alone = run_fleet(8500, failing, false).failover();
    assert!(alone.nodes_not_failed_over > 0, "{alone}");
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

//! Zone failover of real nodes: all nodes leave a failed zone, no node leaves a healthy zone, the number of attempts at
//! the failed zone is limited, and the nodes return after recovery. The checks of leaving, of attempts and of healthy
//! zones also run against a fleet that must fail them: without zone monitoring, or of a mutant that leaves a healthy
//! zone.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use badgerpost_scenarios::fleet;
use badgerpost_scenarios::outcome::ClientResult;
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::RunReport;
use common::{MS, ZONE_WATCH_SETTINGS};

/// The text of a scenario with six nodes and thirty servers in three zones.
fn scenario_text(length_ms: u64, expect: &str, faults: &str) -> String {
    common::three_zone_scenario(2, 300.0, length_ms, expect, faults)
}

struct FleetRun {
    plan: Plan,
    report: RunReport,
    unmet: Vec<String>,
}

fn run_fleet(text: &str, own: &str) -> FleetRun {
    let plan = common::plan(text, 7);
    let report = common::run_plan(&plan, common::program("badgerpost"), own, false);
    let unmet = fleet::unmet_expectations(&plan, &report);
    FleetRun {
        plan,
        report,
        unmet,
    }
}

/// Runs a fleet with zone monitoring, and asserts that no rule is broken and all expectations are met.
fn run_with_zone_watch(length_ms: u64, expect: &str, faults: &str) -> FleetRun {
    let fleet_run = run_fleet(
        &scenario_text(length_ms, expect, faults),
        ZONE_WATCH_SETTINGS,
    );
    println!("seed 7: {faults}");
    let logs: String = fleet_run
        .report
        .logs
        .iter()
        .map(|(name, log)| format!("{name}\n{log}"))
        .collect();
    assert!(
        fleet_run.report.is_good(),
        "{faults}: {:?}\n{logs}",
        fleet_run.report.breaches
    );
    assert_eq!(fleet_run.unmet, [""; 0], "{faults}\n{logs}");
    fleet_run
}

/// Runs a fleet without zone monitoring, and asserts that an expectation is unmet, which proves that the check works.
fn assert_unmet_without_zone_watch(length_ms: u64, expect: &str, faults: &str) {
    let fleet_run = run_fleet(&scenario_text(length_ms, expect, faults), "");
    assert!(
        !fleet_run.unmet.is_empty(),
        "{faults}: all expectations are met without zone monitoring too"
    );
}

/// The number of zone state changes that the nodes logged for this reason.
fn zone_state_count(fleet_run: &FleetRun, why: &str) -> usize {
    common::zone_state_counts(&fleet_run.report, why)
        .iter()
        .map(|(_, count)| count)
        .sum()
}

#[test]
fn nodes_leave_an_unresponsive_zone_at_once_and_return_after_recovery() {
    let expect = "left_ms = 500\nspent = 60\nworst_second = 0.9\nfull_back_ms = 7000\nstrayed = 0";
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    let fleet_run = run_with_zone_watch(13_000, expect, faults);
    assert!(
        zone_state_count(&fleet_run, "open") >= 2,
        "a node of the zone did not return"
    );
    assert_unmet_without_zone_watch(9000, expect, faults);
}

#[test]
fn nodes_leave_a_zone_whose_network_is_partitioned() {
    for way in ["both", "there", "back"] {
        let faults = format!(
            "kind = 'cut'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'\nto = 'dc-b'\nway = '{way}'"
        );
        let fleet_run = run_with_zone_watch(4500, "worst_second = 0.85", &faults);
        assert_eq!(zone_state_count(&fleet_run, "silent"), 2, "{way}");
    }
}

#[test]
fn nodes_leave_a_killed_zone_and_warm_its_servers_up_slowly() {
    let expect = "left_ms = 500\nspent = 20\nworst_second = 0.9\nfull_back_ms = 8000\ncold = 1.0";
    run_with_zone_watch(
        13_000,
        expect,
        "kind = 'kill-server'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'",
    );
}

#[test]
fn nodes_leave_a_zone_that_responds_with_errors() {
    let faults = "kind = 'error'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    run_with_zone_watch(6000, "left_ms = 800\nspent = 60", faults);
    assert_unmet_without_zone_watch(6000, "left_ms = 800\nspent = 60", faults);
}

#[test]
fn no_zone_is_ejected_for_partial_brief_or_global_faults() {
    for faults in [
        // Partial: one server, or half of a zone.
        "kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nserver = 'mb1'",
        "kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'\nshare = 0.5",
        // Brief: 200 ms.
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 200\nzone = 'dc-b'\nto = 'servers'",
        // Only between two zones.
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-a'\nto = 'dc-b'",
        // Global: errors in every zone.
        &["a", "b", "c"]
            .map(|zone| {
                format!(
                    "kind = 'error'\nchance = 0.4\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-{zone}'"
                )
            })
            .join(";"),
    ] {
        let fleet_run = run_with_zone_watch(6000, "strayed = 0", faults);
        for why in ["returning", "by-hand"] {
            assert_eq!(
                zone_state_count(&fleet_run, why),
                0,
                "{faults}: a node kept the zone ejected"
            );
        }
    }
}

#[test]
fn reports_a_node_that_leaves_a_healthy_zone() {
    let mut plan = common::plan(
        &scenario_text(6000, "strayed = 0", "kind = 'list-stale'\nat_ms = 5900"),
        7,
    );
    plan.faults.clear();
    let script = write_mutant_script(&common::program("badgerpost-faulty-node"), "stray");
    let report = common::run_plan(&plan, script.clone(), "", false);
    let _ = std::fs::remove_file(script);
    assert!(
        fleet::unmet_expectations(&plan, &report)
            .iter()
            .any(|unmet| unmet.ends_with("times a node left a healthy zone, expected at most 0"))
    );
}

/// Writes a script that runs the mutant program with a mutation, and returns the script's path.
fn write_mutant_script(program: &std::path::Path, fault: &str) -> std::path::PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("badgerpost-{fault}-{}.sh", std::process::id()));
    let script = format!(
        "#!/bin/sh\nBADGERPOST_FAULT={fault} exec {} \"$@\"\n",
        program.display()
    );
    std::fs::write(&path, script).expect("the script is written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700))
        .expect("the permissions are set");
    path
}

#[test]
fn a_partitioned_or_suspended_node_ejects_no_zone_for_long() {
    let cut = "kind = 'cut'\nat_ms = 2500\nfor_ms = 3000\nnode = 'b0'\nto = 'servers'";
    let fleet_run = run_with_zone_watch(10_000, "strayed = 3", cut);
    assert!(zone_state_count(&fleet_run, "nobody-else") > 0);
    let is_after_recovery = |request: &&badgerpost_scenarios::outcome::Request| {
        request.node == "b0" && request.arrival > 7500 * MS && !request.attempts.is_empty()
    };
    let after: Vec<_> = fleet_run
        .report
        .log
        .iter()
        .filter(is_after_recovery)
        .collect();
    assert!(after.len() > 30);
    assert!(
        after.iter().all(|one| one.attempts[0].zone == "dc-b"),
        "b0 did not return to the local zone"
    );
    assert!(
        after
            .iter()
            .all(|one| one.result() == Some(ClientResult::Served))
    );
    // After the pause the node reads all waiting requests at once, and some of them spill to other zones.
    let fleet_run = run_with_zone_watch(
        8000,
        "strayed = 1",
        "kind = 'pause-node'\nat_ms = 2500\nfor_ms = 3000\nnode = 'b0'",
    );
    assert_eq!(
        zone_state_count(&fleet_run, "silent") + zone_state_count(&fleet_run, "failing"),
        0
    );
}

#[test]
fn the_third_zone_serves_most_requests_when_two_are_unresponsive() {
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-a';\
        kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    let fleet_run = run_with_zone_watch(9000, "left_ms = 1500", faults);
    let during = fleet_run
        .report
        .log
        .iter()
        .filter(|one| (4500..5300).contains(&(one.arrival / MS)));
    let served = during
        .clone()
        .filter(|one| one.result() == Some(ClientResult::Served));
    assert!(served.count() as f64 > 0.85 * during.count() as f64);
    assert!(zone_state_count(&fleet_run, "silent") >= 4);
}

#[test]
fn all_zones_are_used_again_after_all_were_unresponsive() {
    let faults = ["a", "b", "c"]
        .map(|zone| format!("kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-{zone}'"));
    let fleet_run = run_with_zone_watch(8000, "", &faults.join(";"));
    let is_after_recovery = |one: &&badgerpost_scenarios::outcome::Request| one.arrival > 6500 * MS;
    let after: Vec<_> = fleet_run
        .report
        .log
        .iter()
        .filter(is_after_recovery)
        .collect();
    let served = after
        .iter()
        .filter(|one| one.result() == Some(ClientResult::Served));
    assert!(served.count() as f64 > 0.98 * after.len() as f64);
    assert_eq!(fleet_run.plan.seed, 7);
}

#[test]
fn expectations_hold_for_a_flapping_zone_and_for_a_node_restarted_during_an_outage() {
    let faults =
        "kind = 'hang'\nat_ms = 2000\nfor_ms = 1000\nzone = 'dc-b'\nrepeat = 4\nevery_ms = 2000";
    let fleet_run = run_with_zone_watch(11_000, "served = 0.93", faults);
    assert!(zone_state_count(&fleet_run, "silent") >= 2);
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 4000\nzone = 'dc-b';\
        kind = 'kill-node'\nat_ms = 3500\nfor_ms = 500\nnode = 'b0'";
    // The restarted node has no zone state and detects the outage again.
    run_with_zone_watch(7000, "spent = 110\nworst_second = 0.7", faults);
}

//! A zone fails under a fleet of real nodes, in each way that is hard to tell from another: whether all of its nodes
//! leave it, and only then, what that costs, and how they return. The checks of leaving, cost and straying are seen to
//! fail on a spoilt node here: the same program with its watch over the zones off, or one that strays.
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
use common::{MS, WATCHED};

/// Six nodes and thirty servers in three zones.
fn scene(length_ms: u64, expect: &str, faults: &str) -> String {
    common::three_zones(2, 300.0, length_ms, expect, faults)
}

struct Shown {
    plan: Plan,
    played: RunReport,
    lost: Vec<String>,
}

fn play(text: &str, own: &str) -> Shown {
    let plan = common::plan(text, 7);
    let played = common::play(&plan, common::program("badgerpost"), own, false);
    let lost = fleet::lost(&plan, &played);
    Shown { plan, played, lost }
}

/// Plays with the watch on: the rules hold and the scene's expectations are met.
fn good(length_ms: u64, expect: &str, faults: &str) -> Shown {
    let shown = play(&scene(length_ms, expect, faults), WATCHED);
    println!("seed 7: {faults}");
    let logs: String = shown
        .played
        .logs
        .iter()
        .map(|(name, log)| format!("{name}\n{log}"))
        .collect();
    assert!(
        shown.played.is_good(),
        "{faults}: {:?}\n{logs}",
        shown.played.breaches
    );
    assert_eq!(shown.lost, [""; 0], "{faults}\n{logs}");
    shown
}

/// Plays with the watch off: what is expected is lost, or the check could not fail.
fn spoilt(length_ms: u64, expect: &str, faults: &str) {
    let shown = play(&scene(length_ms, expect, faults), "");
    assert!(!shown.lost.is_empty(), "{faults}: met without a watch, too");
}

/// How often the nodes' logs tell of a zone in this state.
fn told(shown: &Shown, why: &str) -> usize {
    common::told(&shown.played, why)
        .iter()
        .map(|(_, count)| count)
        .sum()
}

#[test]
fn a_zone_that_falls_silent_is_left_at_once_and_returned_to() {
    let expect = "left_ms = 500\nspent = 60\nworst_second = 0.9\nfull_back_ms = 7000\nstrayed = 0";
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    let shown = good(13_000, expect, faults);
    assert!(told(&shown, "open") >= 2, "both nodes of the zone are back");
    spoilt(9000, expect, faults);
}

#[test]
fn a_zone_whose_links_are_cut_is_left_like_a_silent_one() {
    for way in ["both", "there", "back"] {
        let faults = format!(
            "kind = 'cut'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'\nto = 'dc-b'\nway = '{way}'"
        );
        let shown = good(4500, "worst_second = 0.85", &faults);
        assert_eq!(told(&shown, "silent"), 2, "{way}");
    }
}

#[test]
fn a_zone_that_is_killed_is_left_and_its_cold_servers_are_spared() {
    let expect = "left_ms = 500\nspent = 20\nworst_second = 0.9\nfull_back_ms = 8000\ncold = 1.0";
    good(
        13_000,
        expect,
        "kind = 'kill-server'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'",
    );
}

#[test]
fn a_zone_that_answers_with_errors_is_left() {
    let faults = "kind = 'error'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    good(6000, "left_ms = 800\nspent = 60", faults);
    spoilt(6000, "left_ms = 800\nspent = 60", faults);
}

#[test]
fn what_strikes_a_part_or_all_alike_moves_nobody() {
    for faults in [
        // One server, half of a zone.
        "kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nserver = 'mb1'",
        "kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'\nshare = 0.5",
        // A moment.
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 200\nzone = 'dc-b'\nto = 'servers'",
        // Between zones only.
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-a'\nto = 'dc-b'",
        // Errors everywhere.
        &["a", "b", "c"]
            .map(|zone| {
                format!(
                    "kind = 'error'\nchance = 0.4\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-{zone}'"
                )
            })
            .join(";"),
    ] {
        let shown = good(6000, "strayed = 0", faults);
        for why in ["returning", "by-hand"] {
            assert_eq!(told(&shown, why), 0, "{faults}: closed for long");
        }
    }
}

#[test]
fn a_node_that_strays_is_found() {
    let mut plan = common::plan(
        &scene(6000, "strayed = 0", "kind = 'list-stale'\nat_ms = 5900"),
        7,
    );
    plan.faults.clear();
    let script = spoilt_program(&common::program("badgerpost-faulty-node"), "stray");
    let played = common::play(&plan, script.clone(), "", false);
    let _ = std::fs::remove_file(script);
    assert!(
        fleet::lost(&plan, &played)
            .iter()
            .any(|lost| lost.contains("in no trouble"))
    );
}

/// A program that runs another one with a fault.
fn spoilt_program(program: &std::path::Path, fault: &str) -> std::path::PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("badgerpost-{fault}-{}.sh", std::process::id()));
    let text = format!(
        "#!/bin/sh\nBADGERPOST_FAULT={fault} exec {} \"$@\"\n",
        program.display()
    );
    std::fs::write(&path, text).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("set");
    path
}

#[test]
fn a_node_that_is_cut_off_or_was_paused_blames_nobody_for_long() {
    let cut = "kind = 'cut'\nat_ms = 2500\nfor_ms = 3000\nnode = 'b0'\nto = 'servers'";
    let shown = good(10_000, "strayed = 3", cut);
    assert!(told(&shown, "nobody-else") > 0);
    let late = |request: &&badgerpost_scenarios::outcome::Request| {
        request.node == "b0" && request.arrival > 7500 * MS && !request.attempts.is_empty()
    };
    let after: Vec<_> = shown.played.log.iter().filter(late).collect();
    assert!(after.len() > 30);
    assert!(
        after.iter().all(|one| one.attempts[0].zone == "dc-b"),
        "it is back at home"
    );
    assert!(
        after
            .iter()
            .all(|one| one.result() == Some(ClientResult::Served))
    );
    // What had come meanwhile is there at once, and some of that overflows.
    let shown = good(
        8000,
        "strayed = 1",
        "kind = 'pause-node'\nat_ms = 2500\nfor_ms = 3000\nnode = 'b0'",
    );
    assert_eq!(told(&shown, "silent") + told(&shown, "failing"), 0);
}

#[test]
fn with_two_zones_of_three_silent_the_third_takes_what_it_can() {
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-a';\
        kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    let shown = good(9000, "left_ms = 1500", faults);
    let during = shown
        .played
        .log
        .iter()
        .filter(|one| (4500..5300).contains(&(one.arrival / MS)));
    let served = during
        .clone()
        .filter(|one| one.result() == Some(ClientResult::Served));
    assert!(served.count() as f64 > 0.85 * during.count() as f64);
    assert!(told(&shown, "silent") >= 4);
}

#[test]
fn with_all_zones_silent_nobody_is_left_out_afterwards() {
    let faults = ["a", "b", "c"]
        .map(|zone| format!("kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-{zone}'"));
    let shown = good(8000, "", &faults.join(";"));
    let late = |one: &&badgerpost_scenarios::outcome::Request| one.arrival > 6500 * MS;
    let after: Vec<_> = shown.played.log.iter().filter(late).collect();
    let served = after
        .iter()
        .filter(|one| one.result() == Some(ClientResult::Served));
    assert!(served.count() as f64 > 0.98 * after.len() as f64);
    assert_eq!(shown.plan.seed, 7);
}

#[test]
fn a_flapping_zone_gets_less_each_time_and_a_node_may_restart_meanwhile() {
    let faults =
        "kind = 'hang'\nat_ms = 2000\nfor_ms = 1000\nzone = 'dc-b'\nrepeat = 4\nevery_ms = 2000";
    let shown = good(11_000, "served = 0.93", faults);
    assert!(told(&shown, "silent") >= 2);
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 4000\nzone = 'dc-b';\
        kind = 'kill-node'\nat_ms = 3500\nfor_ms = 500\nnode = 'b0'";
    // The one that starts anew knows nothing and has to see for itself.
    good(7000, "spent = 110\nworst_second = 0.7", faults);
}

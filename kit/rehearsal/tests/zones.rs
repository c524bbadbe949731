//! A zone fails under a fleet of real nodes, in each way that is hard to tell from another: whether all of its nodes
//! leave it, and only then, what that costs, and how they return. The checks of leaving, cost and straying are seen to
//! fail on a spoilt node here: the same program with its watch over the zones off, or one that strays.

use badgerpost_rehearsal::fleet;
use badgerpost_rehearsal::outcome::Told;
use badgerpost_rehearsal::plan::Plan;
use badgerpost_rehearsal::run::{self, Options, Played};
use badgerpost_rehearsal::scene;
use brookfield_settings::file::Source;

const MS: u64 = 1_000_000;

/// Six nodes and thirty servers in three zones.
fn scene(length_ms: u64, expect: &str, faults: &str) -> String {
    let mut text = format!(
        r#"
about = "a zone fails"
length_ms = {length_ms}
[clients]
rate = 300.0
retries = 1
backoff_ms = 50
[discovery]
known = true
notice_ms = 300
[expect]
{expect}
[[class]]
name = "lobby-status"
effect = "safe"
share = 0.65
work_ms = [20, 36]
aim_ms = 200
deadline_ms = 500
[[class]]
name = "lobby-join"
effect = "keyed"
scope = "zone"
window_ms = 2000
share = 0.35
work_ms = [35, 64]
aim_ms = 300
deadline_ms = 1000
"#
    );
    for zone in ["a", "b", "c"] {
        text += &format!("[[nodes]]\ncount = 2\nname = \"{zone}\"\nzone = \"dc-{zone}\"\n");
        text += &format!("[[servers]]\ncount = 10\nname = \"m{zone}\"\nzone = \"dc-{zone}\"\n");
    }
    for fault in faults.split(';') {
        text += &format!("[[fault]]\n{fault}\n");
    }
    text
}

const WATCHED: &str = "[zones]\nwatch = true\n";

struct Shown {
    plan: Plan,
    played: Played,
    lost: Vec<String>,
}

fn play(text: &str, seed: u64, own: &str, program: &str) -> Shown {
    let checked = scene::check("zones", Source::shipped("zones.toml", text));
    let plan = Plan::draw(checked.unwrap_or_else(|error| panic!("{error}")), seed);
    let program = badgerpost_standins::program(program).unwrap_or_else(|error| panic!("{error}"));
    let options = Options { program, real_time: false, port: 0, own: own.to_owned(), peers: false };
    let played = run::play(&plan, &options, &mut |_| {}).unwrap_or_else(|error| panic!("{error}"));
    let lost = fleet::lost(&plan, &played);
    Shown { plan, played, lost }
}

/// Plays with the watch on: the rules hold and the scene's expectations are met.
fn good(length_ms: u64, expect: &str, faults: &str) -> Shown {
    let shown = play(&scene(length_ms, expect, faults), 7, WATCHED, "badgerpost");
    println!("seed 7: {faults}");
    let logs: String = shown.played.logs.iter().map(|(name, log)| format!("{name}\n{log}")).collect();
    assert!(shown.played.is_good(), "{faults}: {:?}\n{logs}", shown.played.breaches);
    assert_eq!(shown.lost, [""; 0], "{faults}\n{logs}");
    shown
}

/// Plays with the watch off: what is expected is lost, or the check could not fail.
fn spoilt(length_ms: u64, expect: &str, faults: &str) {
    let shown = play(&scene(length_ms, expect, faults), 7, "", "badgerpost");
    assert!(!shown.lost.is_empty(), "{faults}: met without a watch, too");
}

/// How often the nodes' logs tell of a zone in this state.
fn told(shown: &Shown, why: &str) -> usize {
    let word = format!("why=\"{why}\"");
    let lines = shown.played.logs.iter().flat_map(|(_, log)| log.lines());
    lines.filter(|line| line.contains("zone changed") && line.contains(&word)).count()
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
        let faults =
            format!("kind = 'cut'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'\nto = 'dc-b'\nway = '{way}'");
        let shown = good(4500, "worst_second = 0.85", &faults);
        assert_eq!(told(&shown, "silent"), 2, "{way}");
    }
}

#[test]
fn a_zone_that_is_killed_is_left_and_its_cold_servers_are_spared() {
    let expect = "left_ms = 500\nspent = 20\nworst_second = 0.9\nfull_back_ms = 8000\ncold = 1.0";
    good(13_000, expect, "kind = 'kill-server'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-b'");
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
                format!("kind = 'error'\nchance = 0.4\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-{zone}'")
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
    let text = scene(6000, "strayed = 0", "kind = 'list-stale'\nat_ms = 5900");
    let mut checked =
        scene::check("zones", Source::shipped("zones.toml", &text)).unwrap_or_else(|error| panic!("{error}"));
    checked.faults.clear();
    let plan = Plan::draw(checked, 7);
    let program = badgerpost_standins::program("badgerpost-faulty-node").unwrap_or_else(|e| panic!("{e}"));
    let script = spoilt_program(&program, "stray");
    let options =
        Options { program: script.clone(), real_time: false, port: 0, own: String::new(), peers: false };
    let played = run::play(&plan, &options, &mut |_| {}).unwrap_or_else(|error| panic!("{error}"));
    let _ = std::fs::remove_file(script);
    assert!(fleet::lost(&plan, &played).iter().any(|lost| lost.contains("in no trouble")));
}

/// A program that runs another one with a fault.
fn spoilt_program(program: &std::path::Path, fault: &str) -> std::path::PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let path = std::env::temp_dir().join(format!("badgerpost-{fault}-{}.sh", std::process::id()));
    let text = format!("#!/bin/sh\nBADGERPOST_FAULT={fault} exec {} \"$@\"\n", program.display());
    std::fs::write(&path, text).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("set");
    path
}

#[test]
fn a_node_that_is_cut_off_or_was_paused_blames_nobody_for_long() {
    let cut = "kind = 'cut'\nat_ms = 2500\nfor_ms = 3000\nnode = 'b0'\nto = 'servers'";
    let shown = good(10_000, "strayed = 3", cut);
    assert!(told(&shown, "nobody-else") > 0);
    let late = |request: &&badgerpost_rehearsal::outcome::Request| {
        request.node == "b0" && request.arrival > 7500 * MS && !request.attempts.is_empty()
    };
    let after: Vec<_> = shown.played.log.iter().filter(late).collect();
    assert!(after.len() > 30);
    assert!(after.iter().all(|one| one.attempts[0].zone == "dc-b"), "it is back at home");
    assert!(after.iter().all(|one| one.answer.is_some_and(|answer| answer.told == Told::Served)));
    // What had come meanwhile is there at once, and some of that overflows.
    let shown = good(8000, "strayed = 1", "kind = 'pause-node'\nat_ms = 2500\nfor_ms = 3000\nnode = 'b0'");
    assert_eq!(told(&shown, "silent") + told(&shown, "failing"), 0);
}

#[test]
fn with_two_zones_of_three_silent_the_third_takes_what_it_can() {
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-a';\
        kind = 'hang'\nat_ms = 2500\nfor_ms = 3000\nzone = 'dc-b'";
    let shown = good(9000, "left_ms = 1500", faults);
    let during = shown.played.log.iter().filter(|one| (4500..5300).contains(&(one.arrival / MS)));
    let served = during.clone().filter(|one| one.answer.is_some_and(|answer| answer.told == Told::Served));
    assert!(served.count() as f64 > 0.85 * during.count() as f64);
    assert!(told(&shown, "silent") >= 4);
}

#[test]
fn with_all_zones_silent_nobody_is_left_out_afterwards() {
    let faults =
        ["a", "b", "c"].map(|zone| format!("kind = 'hang'\nat_ms = 2500\nfor_ms = 2000\nzone = 'dc-{zone}'"));
    let shown = good(8000, "", &faults.join(";"));
    let late = |one: &&badgerpost_rehearsal::outcome::Request| one.arrival > 6500 * MS;
    let after: Vec<_> = shown.played.log.iter().filter(late).collect();
    let served = after.iter().filter(|one| one.answer.is_some_and(|answer| answer.told == Told::Served));
    assert!(served.count() as f64 > 0.98 * after.len() as f64);
    assert_eq!(shown.plan.seed, 7);
}

#[test]
fn a_flapping_zone_gets_less_each_time_and_a_node_may_restart_meanwhile() {
    let faults = "kind = 'hang'\nat_ms = 2000\nfor_ms = 1000\nzone = 'dc-b'\nrepeat = 4\nevery_ms = 2000";
    let shown = good(11_000, "served = 0.93", faults);
    assert!(told(&shown, "silent") >= 2);
    let faults = "kind = 'hang'\nat_ms = 2500\nfor_ms = 4000\nzone = 'dc-b';\
        kind = 'kill-node'\nat_ms = 3500\nfor_ms = 500\nnode = 'b0'";
    // The one that starts anew knows nothing and has to see for itself.
    good(7000, "spent = 110\nworst_second = 0.7", faults);
}

//! Nodes that talk to each other, as processes with faults between them: a zone is left and returned to by all as one,
//! nobody is moved by one node alone, and without the others' words each node is as good as one that has none. Each
//! check is seen to fail on a spoilt fleet: the same one without its talk, or with more that lie than may.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use badgerpost_scenarios::fleet::{self, Conduct};
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::RunReport;
use common::{MS, WATCHED};

const SEED: u64 = 7;

struct Shown {
    plan: Plan,
    played: RunReport,
}

/// Twelve nodes and thirty servers in three zones; each node sees 15 requests a second.
fn play(length_ms: u64, faults: &str, peers: bool) -> Shown {
    println!("seed {SEED}, peers {peers}: {faults}");
    let plan = common::plan(&common::three_zones(4, 180.0, length_ms, "", faults), SEED);
    let played = common::play(&plan, common::program("badgerpost"), WATCHED, peers);
    assert!(played.is_good(), "{faults}: {:?}", played.breaches);
    Shown { plan, played }
}

impl Shown {
    fn conduct(&self) -> Conduct {
        let troubles = fleet::troubles(&self.plan);
        fleet::conduct(
            &self.played.log,
            troubles.first().expect("a zone in trouble"),
        )
    }

    fn told(&self, why: &str) -> Vec<(&str, usize)> {
        common::told(&self.played, why)
    }

    /// Whether all four nodes of the zone were back this soon after the trouble, in milliseconds.
    fn back_within(&self, most: u64) -> bool {
        let back = self.conduct().back_after;
        back.len() == 4 && back.iter().all(|span| *span <= most * MS)
    }

    /// First attempts of a node at a zone, between two times.
    fn sent(&self, node: &str, zone: &str, between: std::ops::Range<u64>) -> usize {
        let log = self
            .played
            .log
            .iter()
            .filter(|one| one.node == node && between.contains(&(one.arrival / MS)));
        log.filter(|one| one.first_attempt_is_in(zone)).count()
    }
}

const SILENT: &str = "kind = 'hang'\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'";

#[test]
fn a_silent_zone_is_left_by_all_as_one_and_returned_to_as_one() {
    let shown = play(13_000, SILENT, true);
    let conduct = shown.conduct();
    assert_eq!(conduct.stayed, 0);
    assert!(
        conduct.left_after.iter().all(|span| *span <= 300 * MS),
        "{conduct}"
    );
    assert!(shown.back_within(3500), "{conduct}");
    assert!(
        conduct.full_back.is_some_and(|span| span < 4000 * MS),
        "{conduct}"
    );
    // The same fleet without its talk.
    let alone = play(13_000, SILENT, false);
    let late = alone
        .conduct()
        .left_after
        .iter()
        .any(|span| *span > 300 * MS);
    println!("alone: {}", alone.conduct());
    assert!(late && !alone.back_within(3500), "{}", alone.conduct());
}

#[test]
fn a_node_with_a_broken_network_moves_nobody() {
    let faults = "kind = 'cut'\nat_ms = 4000\nfor_ms = 3000\nnode = 'b0'\nto = 'dc-b'";
    let shown = play(9000, faults, true);
    let moved = shown.told("silent");
    assert!(
        moved.iter().all(|(node, _)| *node == "b0") && !moved.is_empty(),
        "{moved:?}"
    );
    // With most of the zone's nodes cut off like this it is no longer one node's word: the check can fail.
    let most =
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'\nshare = 0.75\nto = 'dc-b'";
    let moved = play(9000, most, true).told("silent").len();
    assert!(moved >= 3, "{moved}");
}

#[test]
fn a_cut_between_two_zones_closes_nothing_for_a_third_and_a_moment_moves_nobody() {
    for faults in [
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 2000\nzone = 'dc-a'\nto = 'dc-b'",
        "kind = 'cut'\nat_ms = 4000\nfor_ms = 200\nzone = 'dc-b'\nto = 'servers'",
        "kind = 'hang'\nat_ms = 4000\nfor_ms = 2000\nserver = 'mb1'",
    ] {
        let shown = play(8000, faults, true);
        assert_eq!(
            fleet::strayed(&shown.plan, &shown.played.log),
            [],
            "{faults}"
        );
        for why in ["trying", "returning"] {
            assert_eq!(shown.told(why), [], "{faults}: closed for long");
        }
    }
}

#[test]
fn words_that_are_late_by_seconds_or_lost_do_no_harm() {
    let late =
        "kind = 'slow-link'\nat_ms = 2500\nfor_ms = 20000\nby_ms = 5000\nshare = 1.0\nto = 'nodes'";
    let lossy =
        "kind = 'lossy-link'\nat_ms = 2500\nfor_ms = 20000\nloss = 0.3\nshare = 1.0\nto = 'nodes'";
    let split =
        "kind = 'cut'\nat_ms = 2500\nfor_ms = 5500\nzone = 'dc-b'\nshare = 0.5\nto = 'nodes'";
    for (bad, most) in [(late, 1500), (lossy, 400), (split, 1500)] {
        let shown = play(14_000, &format!("{SILENT};{bad}"), true);
        let conduct = shown.conduct();
        assert!(
            conduct.left_after.iter().all(|span| *span <= most * MS),
            "{bad}: {conduct}"
        );
        assert_eq!(
            (conduct.stayed, conduct.back_after.len()),
            (0, 4),
            "{bad}: {conduct}"
        );
        // Nobody leaves a zone that nothing is wrong with, however late the words about it are.
        assert_eq!(fleet::strayed(&shown.plan, &shown.played.log), [], "{bad}");
    }
}

#[test]
fn a_node_that_starts_into_a_closed_zone_takes_the_others_word() {
    let faults = format!("{SILENT};kind = 'kill-node'\nat_ms = 4800\nfor_ms = 200\nnode = 'b0'");
    let told = play(9000, &faults, true);
    let alone = play(9000, &faults, false);
    // Up again at 5 s; the zone stays silent until 7 s.
    let [told, alone] = [told, alone].map(|shown| shown.sent("b0", "dc-b", 5000..7000));
    assert!(
        told < alone && told <= 8,
        "{told} sent there with the others' word, {alone} without"
    );
}

#[test]
fn a_zone_that_fails_three_in_ten_is_left_by_all_and_a_slow_one_by_nobody() {
    let failing = "kind = 'error'\nchance = 0.3\nat_ms = 4000\nfor_ms = 4000\nzone = 'dc-b'";
    let left = play(8500, failing, true).conduct();
    assert_eq!(left.stayed, 0, "{left}");
    // Each for itself, some see too little of it: the check can fail.
    let alone = play(8500, failing, false).conduct();
    assert!(alone.stayed > 0, "{alone}");
    let slow = "kind = 'slow'\ntimes = 3.0\nat_ms = 4000\nfor_ms = 3000\nzone = 'dc-b'";
    let shown = play(8500, slow, true);
    for why in ["silent", "failing"] {
        assert_eq!(shown.told(why), [], "{slow}");
    }
    assert_eq!(fleet::strayed(&shown.plan, &shown.played.log), []);
}

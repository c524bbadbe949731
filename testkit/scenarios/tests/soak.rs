//! The soak with fixed seeds, short: real processes in real time, several troubles at once, the rules to the letter.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use badgerpost_scenarios::run::Verdict;
use badgerpost_scenarios::soak::Soak;

/// What is played: settings with and without a crowd, both kinds of lists, all kinds of faults among them.
const SEEDS: std::ops::Range<u64> = 1..17;
/// How often a seed is played until the test kit has not stood still meanwhile.
const PLAYS_TO_BE_JUDGED: u32 = 5;
/// Runs at once; each has up to eight nodes.
const LANES: usize = 4;

/// What is wrong with a seed. A run that the test kit has spoilt, as it stood still itself, says nothing of the node, good
/// or bad: such a seed is played again.
fn fault_of(seed: u64, program: &Path) -> Option<String> {
    let soak = Soak::draw(seed).unwrap();
    for _ in 0..PLAYS_TO_BE_JUDGED {
        let played = match soak.play(program.to_owned()) {
            Ok(played) => played,
            Err(error) => return Some(format!("seed {seed}: {error}")),
        };
        match played.verdict() {
            Verdict::Passed => return None,
            Verdict::Failed => {
                let ways = Soak::breach_details(&played).join("\n");
                return Some(format!("seed {seed}: {}\n{ways}", soak.summary()));
            }
            Verdict::Inconclusive => {}
        }
    }
    Some(format!("seed {seed}: could not be judged"))
}

#[test]
fn the_rules_hold_to_the_letter_under_several_troubles_at_once() {
    let next = AtomicU64::new(SEEDS.start);
    let program = badgerpost_fakes::program("badgerpost").unwrap();
    let found: Vec<String> = thread::scope(|scope| {
        let lane = || {
            let mut found = Vec::new();
            loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= SEEDS.end {
                    return found;
                }
                found.extend(fault_of(seed, &program));
            }
        };
        let lanes: Vec<_> = (0..LANES).map(|_| scope.spawn(lane)).collect();
        let results = lanes.into_iter().map(|lane| lane.join().unwrap());
        results.flatten().collect()
    });
    assert!(found.is_empty(), "{}", found.join("\n"));
}

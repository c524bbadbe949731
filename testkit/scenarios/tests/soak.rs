//! The soak with fixed seeds, short: real processes in real time, several troubles at once, the rules to the letter.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use badgerpost_scenarios::soak::Soak;

/// What is played: settings with and without a crowd, both kinds of lists, all kinds of faults among them.
const SEEDS: std::ops::Range<u64> = 1..17;
/// Runs at once; each has up to eight nodes.
const LANES: usize = 4;

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
                let soak = Soak::draw(seed).unwrap();
                match soak.play(program.clone()) {
                    Ok(played) if played.is_good() => {}
                    Ok(played) => {
                        let ways = Soak::ways(&played).join("\n");
                        found.push(format!("seed {seed}: {}\n{ways}", soak.summary()));
                    }
                    Err(error) => found.push(format!("seed {seed}: {error}")),
                }
            }
        };
        let lanes: Vec<_> = (0..LANES).map(|_| scope.spawn(lane)).collect();
        let results = lanes.into_iter().map(|lane| lane.join().unwrap());
        results.flatten().collect()
    });
    assert!(found.is_empty(), "{}", found.join("\n"));
}

//! A short soak test with fixed seeds: node processes in real time under several simultaneous faults, with the strict
//! time limits of the rules.
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

/// The seeds draw runs with and without silent clients, with watched and polled discovery, and all kinds of faults.
const SEEDS: std::ops::Range<u64> = 1..17;
/// Runs of a seed before the test fails because the test kit stalled in all of them.
const MAX_RUNS_PER_SEED: u32 = 5;
/// Concurrent runs; each has up to eight nodes.
const CONCURRENT_RUNS: usize = 4;

/// Runs a seed and describes the failure, if any. A run in which the test kit stalled cannot be judged and is repeated.
fn failure_of(seed: u64, program: &Path) -> Option<String> {
    let soak = Soak::draw(seed).unwrap();
    for _ in 0..MAX_RUNS_PER_SEED {
        let report = match soak.play(program.to_owned()) {
            Ok(report) => report,
            Err(error) => return Some(format!("seed {seed}: {error}")),
        };
        match report.verdict() {
            Verdict::Passed => return None,
            Verdict::Failed => {
                let traces = Soak::breach_details(&report).join("\n");
                return Some(format!("seed {seed}: {}\n{traces}", soak.summary()));
            }
            Verdict::Inconclusive => {}
        }
    }
    Some(format!(
        "seed {seed}: could not be judged, because the test kit stalled in each of {MAX_RUNS_PER_SEED} runs"
    ))
}

#[test]
fn no_rule_is_broken_under_several_simultaneous_faults() {
    let next_seed = AtomicU64::new(SEEDS.start);
    let program = badgerpost_fakes::program("badgerpost").unwrap();
    let failures: Vec<String> = thread::scope(|scope| {
        let run_seeds = || {
            let mut failures = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= SEEDS.end {
                    return failures;
                }
                failures.extend(failure_of(seed, &program));
            }
        };
        let workers: Vec<_> = (0..CONCURRENT_RUNS)
            .map(|_| scope.spawn(run_seeds))
            .collect();
        let results = workers.into_iter().map(|worker| worker.join().unwrap());
        results.flatten().collect()
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

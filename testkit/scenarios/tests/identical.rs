//! Guards against non-deterministic runs: two runs of a scenario with the same seed, each with new node processes,
//! write identical outcome logs.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use badgerpost_scenarios::outcome;
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::{self, Options};
use badgerpost_scenarios::scenario;

fn outcome_log(name: &str, seed: u64) -> String {
    let program = badgerpost_fakes::program("badgerpost").unwrap_or_else(|error| panic!("{error}"));
    let plan = Plan::draw(scenario::find(name).expect("a shipped scenario"), seed);
    let options = Options {
        program,
        real_time: false,
        port: 0,
        extra_settings: String::new(),
        gossip: false,
        system_faults: Vec::new(),
    };
    let report = run::play(&plan, &options, &mut |_| {})
        .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    assert!(report.is_good(), "seed {seed}: {:?}", report.breaches);
    assert!(
        report.log.len() > 200,
        "seed {seed}: {} requests",
        report.log.len()
    );
    outcome::write(&report.log).expect("a log")
}

fn assert_same_log(one: &str, other: &str, seed: u64) {
    let first_difference = one
        .lines()
        .zip(other.lines())
        .find(|(one, other)| one != other);
    assert!(
        one == other,
        "seed {seed}: the logs differ; first different lines, if any: {first_difference:#?}"
    );
}

/// Serializes the tests, because one of them loads the processors.
static SERIAL: Mutex<()> = Mutex::new(());

#[test]
fn the_night_scenario_gives_the_same_log_for_the_same_seed_on_a_busy_machine_too() {
    let _guard = SERIAL.lock();
    let logs: Vec<String> = (1..=3).map(|seed| outcome_log("night", seed)).collect();
    for (one, seed) in logs.iter().zip(1..) {
        assert_same_log(one, &outcome_log("night", seed), seed);
    }
    assert_ne!(logs[0], logs[1], "seeds 1 and 2 gave the same log");
    // Compares with a run while four threads load the processors.
    let is_stopped = Arc::new(AtomicBool::new(false));
    let busy_threads: Vec<_> = (0..4)
        .map(|_| {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || while !is_stopped.load(Ordering::Relaxed) {})
        })
        .collect();
    let log_under_load = outcome_log("night", 1);
    is_stopped.store(true, Ordering::Relaxed);
    busy_threads
        .into_iter()
        .for_each(|thread| thread.join().expect("a busy thread"));
    assert_same_log(&logs[0], &log_under_load, 1);
}

#[test]
fn shipped_scenarios_give_the_same_log_for_the_same_seed() {
    let _guard = SERIAL.lock();
    // `night` has a test above; the zone scenarios run smaller fleets in `zones.rs`.
    let is_included = |name: &str| name != "night" && !name.starts_with("zone-");
    for (name, _) in scenario::SHIPPED
        .iter()
        .filter(|shipped| is_included(shipped.0))
    {
        assert_same_log(&outcome_log(name, 7), &outcome_log(name, 7), 7);
    }
}

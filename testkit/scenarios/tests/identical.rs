//! Two runs with one seed give the same log byte for byte, against a separate process of the node's program.
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
    let plan = Plan::draw(scenario::find(name).expect("a shipped scene"), seed);
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
    let differs = one
        .lines()
        .zip(other.lines())
        .find(|(one, other)| one != other);
    assert!(
        one == other,
        "seed {seed}: these differ first, if not by length: {differs:#?}"
    );
}

/// The tests run one after the other: one keeps the processors busy on purpose.
static RUN_ALONE: Mutex<()> = Mutex::new(());

#[test]
fn the_night_scenario_gives_the_same_log_for_the_same_seed_on_a_busy_machine_too() {
    let _alone = RUN_ALONE.lock();
    let logs: Vec<String> = (1..=3).map(|seed| outcome_log("night", seed)).collect();
    for (one, seed) in logs.iter().zip(1..) {
        assert_same_log(one, &outcome_log("night", seed), seed);
    }
    assert_ne!(logs[0], logs[1], "seeds differ");
    // Again, on a busy machine.
    let over = Arc::new(AtomicBool::new(false));
    let loops: Vec<_> = (0..4)
        .map(|_| {
            let over = over.clone();
            std::thread::spawn(move || while !over.load(Ordering::Relaxed) {})
        })
        .collect();
    let beside = outcome_log("night", 1);
    over.store(true, Ordering::Relaxed);
    loops
        .into_iter()
        .for_each(|busy| busy.join().expect("a busy loop"));
    assert_same_log(&logs[0], &beside, 1);
}

#[test]
fn shipped_scenarios_give_the_same_log_for_the_same_seed() {
    let _alone = RUN_ALONE.lock();
    // The scenarios of fleets have smaller tests of their own.
    let small = |name: &str| name != "night" && !name.starts_with("zone-");
    for (name, _) in scenario::SHIPPED.iter().filter(|shipped| small(shipped.0)) {
        assert_same_log(&outcome_log(name, 7), &outcome_log(name, 7), 7);
    }
}

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

fn log(name: &str, seed: u64) -> String {
    let program = badgerpost_fakes::program("badgerpost").unwrap_or_else(|error| panic!("{error}"));
    let plan = Plan::draw(scenario::find(name).expect("a shipped scene"), seed);
    let options = Options {
        program,
        real_time: false,
        port: 0,
        own: String::new(),
        peers: false,
        system_faults: Vec::new(),
    };
    let played = run::play(&plan, &options, &mut |_| {})
        .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    assert!(played.is_good(), "seed {seed}: {:?}", played.breaches);
    assert!(
        played.log.len() > 200,
        "seed {seed}: {} requests",
        played.log.len()
    );
    outcome::write(&played.log).expect("a log")
}

fn same(one: &str, other: &str, seed: u64) {
    let differs = one
        .lines()
        .zip(other.lines())
        .find(|(one, other)| one != other);
    assert!(
        one == other,
        "seed {seed}: these differ first, if not by length: {differs:#?}"
    );
}

/// One after the other: the busy machine of one test is not the other's matter.
static ALONE: Mutex<()> = Mutex::new(());

#[test]
fn a_night_is_the_same_night_again_from_its_seed() {
    let _alone = ALONE.lock();
    let logs: Vec<String> = (1..=3).map(|seed| log("night", seed)).collect();
    for (one, seed) in logs.iter().zip(1..) {
        same(one, &log("night", seed), seed);
    }
    assert_ne!(logs[0], logs[1], "seeds differ");
    // Once more, with the machine busy.
    let over = Arc::new(AtomicBool::new(false));
    let loops: Vec<_> = (0..4)
        .map(|_| {
            let over = over.clone();
            std::thread::spawn(move || while !over.load(Ordering::Relaxed) {})
        })
        .collect();
    let beside = log("night", 1);
    over.store(true, Ordering::Relaxed);
    loops
        .into_iter()
        .for_each(|busy| busy.join().expect("a busy loop"));
    same(&logs[0], &beside, 1);
}

#[test]
fn every_other_scene_too() {
    let _alone = ALONE.lock();
    // The fleets' have a test of their own, smaller.
    let small = |name: &str| name != "night" && !name.starts_with("zone-");
    for (name, _) in scenario::SHIPPED.iter().filter(|shipped| small(shipped.0)) {
        same(&log(name, 7), &log(name, 7), 7);
    }
}

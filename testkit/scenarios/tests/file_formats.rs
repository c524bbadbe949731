//! Guards against incompatible changes of the formats of files that operators keep: scenarios, repro files and outcome
//! logs are read, and are written byte for byte as the recorded files.
//!
//! Append a new kind of fault to `recorded/every-fault.toml` and record `every-fault.repro.json` again; the two
//! versions of the repro file may differ by the new entry only.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::path::PathBuf;

use badgerpost_scenarios::outcome;
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::scenario;
use badgerpost_settings::file::Source;
use sha2::{Digest, Sha256};

/// The shipped scenarios, each with the SHA-256 of the repro file for seed 1 with faults varied by the seed.
const SHIPPED: [(&str, &str); 10] = [
    (
        "calm",
        "460613b9de0da6e9e86aeebc091114febe1a2cb6672f5b19ede07eff7bfa82d9",
    ),
    (
        "cold-start",
        "f0a913315c50a19f8c2be5e1332ebe220556244b2e50411f6a3474e6ede487fe",
    ),
    (
        "crowded",
        "d0ea432f271466b8f2cce80a75b5356c22a0b76c5e0660daec6bcb4a531ffde9",
    ),
    (
        "discovery-down",
        "01af270a728ba53f7976539df5c92c79b53169bc71af7ae5b46c38af00ac08a9",
    ),
    (
        "drain",
        "0f15ad0da9ed73b230f393ee01919d8f7b61f61002e793fe4618910569eb9230",
    ),
    (
        "night",
        "eb952e243cc32aa0cb9ba121125ff483c7d000b222a50e504c14824bd34099f0",
    ),
    (
        "node-killed",
        "1b1bb737c46b19273c1afbff60d5957ec840a2c63aa70c5dd5095f44d04b0096",
    ),
    (
        "silent-server",
        "80c04e4f716e39ad05096169cfcd2d516002796aa02446af32ac3bca417ac293",
    ),
    (
        "zone-killed",
        "0686865754cdd36acdd6ce8bf98c1ffcb716c66b24480e4e2861600ce1413e57",
    ),
    (
        "zone-silent",
        "f6d98ca9fcb3cc964679688797e0e19ff2cf6af71d413f3bc5fe06af5684a53e",
    ),
];

fn recorded_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/recorded")
        .join(name)
}

fn recorded_text(name: &str) -> String {
    std::fs::read_to_string(recorded_path(name)).unwrap()
}

/// The plan for seed 1 of the recorded scenario, which contains every kind of fault.
fn plan_with_every_fault() -> Plan {
    let scenario = recorded_text("every-fault.toml");
    let loaded = scenario::load(
        "every-fault",
        &Source::embedded("every-fault.toml", &scenario),
    );
    Plan::draw(loaded.unwrap_or_else(|error| panic!("{error}")), 1)
}

#[test]
fn shipped_scenarios_draw_the_recorded_repro_files() {
    for (name, digest) in SHIPPED {
        let plan = Plan::draw(scenario::find(name).unwrap(), 1).vary();
        let written = plan.to_repro().unwrap();
        assert_eq!(format!("{:x}", Sha256::digest(&written)), digest, "{name}");
    }
}

/// The names of all kinds of faults, taken from the error message for an unknown kind.
fn fault_kinds() -> Vec<String> {
    let unknown = recorded_text("every-fault.toml").replace("\"refuse\"", "\"no-such-kind\"");
    let source = Source::embedded("every-fault.toml", &unknown);
    let loaded = scenario::load("every-fault", &source);
    let error = loaded.err().expect("an unknown kind").to_string();
    let (_, kinds) = error
        .split_once("unknown kind of fault; known kinds: ")
        .expect("a list");
    kinds.trim().split(", ").map(str::to_owned).collect()
}

#[test]
fn the_recorded_scenario_has_every_kind_of_fault() {
    let scenario = recorded_text("every-fault.toml");
    let kinds = fault_kinds();
    assert!(kinds.len() >= 25, "{kinds:?}");
    for kind in kinds {
        assert!(scenario.contains(&format!("kind = \"{kind}\"")), "{kind}");
    }
}

#[test]
fn a_scenario_with_every_kind_of_fault_draws_the_recorded_repro_file() {
    let written = plan_with_every_fault().to_repro().unwrap();
    assert_eq!(written, recorded_text("every-fault.repro.json"));
}

#[test]
fn a_recorded_repro_file_is_read_and_written_again_the_same() {
    let plan = Plan::from_repro(&recorded_path("every-fault.repro.json"))
        .unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(
        plan.to_repro().unwrap(),
        recorded_text("every-fault.repro.json")
    );
    let drawn = plan_with_every_fault();
    assert_eq!(plan.faults, drawn.faults);
    assert_eq!(plan.arrivals, drawn.arrivals);
}

/// The files are a log of the scenario `night` and a log with every value of every field.
#[test]
fn recorded_outcome_logs_are_read_and_written_again_the_same() {
    for name in ["night.jsonl", "every-outcome.jsonl"] {
        let log: Vec<outcome::Request> = recorded_text(name)
            .lines()
            .map(|line| {
                serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}"))
            })
            .collect();
        assert!(!log.is_empty());
        assert_eq!(outcome::write(&log).unwrap(), recorded_text(name), "{name}");
    }
}

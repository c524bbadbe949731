//! Helpers for tests of fleets: scenarios with three zones, runs of a plan, and zone state changes in the nodes' logs.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]
#![allow(dead_code)]

use std::path::PathBuf;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::{self, Options, RunReport};
use badgerpost_scenarios::scenario;
use badgerpost_settings::file::Source;

pub const MS: u64 = 1_000_000;
/// The operators' configuration file that enables zone health monitoring.
pub const ZONE_WATCH_SETTINGS: &str = "[zones]\nwatch = true\n";

/// The text of a scenario with thirty servers in three zones. `nodes` is the number of nodes per zone, `rate` is in
/// requests per second, and semicolons separate the faults.
pub fn three_zone_scenario(
    nodes: usize,
    rate: f64,
    length_ms: u64,
    expect: &str,
    faults: &str,
) -> String {
    let mut text = format!(
        r#"
about = "a zone fails"
length_ms = {length_ms}
[clients]
rate = {rate:.1}
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
        text += &format!("[[nodes]]\ncount = {nodes}\nname = \"{zone}\"\nzone = \"dc-{zone}\"\n");
        text += &format!("[[servers]]\ncount = 10\nname = \"m{zone}\"\nzone = \"dc-{zone}\"\n");
    }
    for fault in faults.split(';') {
        text += &format!("[[fault]]\n{fault}\n");
    }
    text
}

/// Draws the plan of a scenario.
pub fn plan(text: &str, seed: u64) -> Plan {
    let loaded = scenario::load("scene", &Source::embedded("scene.toml", text));
    Plan::draw(loaded.unwrap_or_else(|error| panic!("{error}")), seed)
}

/// The path of a program of the workspace that is built with the tests.
pub fn program(name: &str) -> PathBuf {
    badgerpost_fakes::program(name).unwrap_or_else(|error| panic!("{error}"))
}

/// Runs a plan on the virtual clock, with `own` as the operators' configuration file of every node, and with gossip if
/// `peers`.
pub fn run_plan(plan: &Plan, program: PathBuf, own: &str, peers: bool) -> RunReport {
    let options = Options {
        program,
        real_time: false,
        port: 0,
        extra_settings: own.to_owned(),
        gossip: peers,
        system_faults: Vec::new(),
    };
    run::play(plan, &options, &mut |_| {}).unwrap_or_else(|error| panic!("{error}"))
}

/// The nodes that logged zone state changes for this reason, with the number of changes.
pub fn zone_state_counts<'a>(report: &'a RunReport, why: &str) -> Vec<(&'a str, usize)> {
    let reason = format!("why=\"{why}\"");
    let change_count = |log: &str| {
        log.lines()
            .filter(|line| line.contains("zone changed") && line.contains(&reason))
            .count()
    };
    let logs = report
        .logs
        .iter()
        .map(|(name, log)| (name.as_str(), change_count(log)));
    logs.filter(|(_, count)| *count > 0).collect()
}

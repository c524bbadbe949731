//! Helpers of the tests of fleets: scenarios of three zones, runs of a plan, and zone states in the nodes' logs.
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
/// The operators' file of a node that monitors the health of zones.
pub const ZONE_WATCH_SETTINGS: &str = "[zones]\nwatch = true\n";

/// A scenario of thirty servers in three zones; `nodes` for each zone, `rate` in requests a second. Semicolons separate
/// the faults.
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

/// The plan of a scenario with a seed.
pub fn plan(text: &str, seed: u64) -> Plan {
    let checked = scenario::load("scene", &Source::embedded("scene.toml", text));
    Plan::draw(checked.unwrap_or_else(|error| panic!("{error}")), seed)
}

/// The program under test.
pub fn program(name: &str) -> PathBuf {
    badgerpost_fakes::program(name).unwrap_or_else(|error| panic!("{error}"))
}

/// Runs a plan on the virtual clock, with `own` as the operators' file of every node.
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

/// The nodes that logged a change of a zone for this reason, and how often.
pub fn zone_state_counts<'a>(report: &'a RunReport, why: &str) -> Vec<(&'a str, usize)> {
    let word = format!("why=\"{why}\"");
    let lines = |log: &str| {
        log.lines()
            .filter(|line| line.contains("zone changed") && line.contains(&word))
            .count()
    };
    let logs = report
        .logs
        .iter()
        .map(|(name, log)| (name.as_str(), lines(log)));
    logs.filter(|(_, count)| *count > 0).collect()
}

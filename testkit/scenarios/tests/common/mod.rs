//! What the tests of fleets have in common: scenes of three zones, plays, and what the nodes' logs tell.
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
/// The operators' own file of a node that watches the zones.
pub const WATCHED: &str = "[zones]\nwatch = true\n";

/// A scene of thirty servers in three zones, with so many nodes in each and so many requests a second. Faults are parted
/// by semicolons.
pub fn three_zones(nodes: usize, rate: f64, length_ms: u64, expect: &str, faults: &str) -> String {
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

/// The plan of a scene under a seed.
pub fn plan(text: &str, seed: u64) -> Plan {
    let checked = scenario::load("scene", &Source::embedded("scene.toml", text));
    Plan::draw(checked.unwrap_or_else(|error| panic!("{error}")), seed)
}

/// The program under test.
pub fn program(name: &str) -> PathBuf {
    badgerpost_fakes::program(name).unwrap_or_else(|error| panic!("{error}"))
}

/// Plays a plan in steps, with this as the operators' own file of every node.
pub fn play(plan: &Plan, program: PathBuf, own: &str, peers: bool) -> RunReport {
    let options = Options {
        program,
        real_time: false,
        port: 0,
        own: own.to_owned(),
        peers,
        system_faults: Vec::new(),
    };
    run::play(plan, &options, &mut |_| {}).unwrap_or_else(|error| panic!("{error}"))
}

/// Which nodes logged that a zone is in this state, and how often.
pub fn told<'a>(played: &'a RunReport, why: &str) -> Vec<(&'a str, usize)> {
    let word = format!("why=\"{why}\"");
    let lines = |log: &str| {
        log.lines()
            .filter(|line| line.contains("zone changed") && line.contains(&word))
            .count()
    };
    let logs = played
        .logs
        .iter()
        .map(|(name, log)| (name.as_str(), lines(log)));
    logs.filter(|(_, count)| *count > 0).collect()
}

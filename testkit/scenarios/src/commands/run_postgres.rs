//! `run` of a scene of PostgreSQL.

use std::path::Path;
use std::process::ExitCode;

use badgerpost_scenarios::postgres::truth::Told;
use badgerpost_scenarios::postgres::{self, PgScene};

use crate::failure::Failure;
use crate::output::{bar, say, write};

pub(super) fn run_postgres(
    name: &str,
    scene: &PgScene,
    seed: u64,
    out: Option<&Path>,
    program: &Path,
) -> Result<ExitCode, Failure> {
    let bar = bar(100);
    let played = postgres::play(scene, seed, program, &mut |done| {
        bar.set_position((done * 100.0).min(100.0) as u64)
    })?;
    bar.finish_and_clear();
    if let Some(path) = out {
        let lines = played
            .seen
            .iter()
            .map(serde_json::to_string)
            .collect::<Result<Vec<_>, _>>()?;
        write(path, &(lines.join("\n") + "\n"))?;
    }
    if let Some(crashed) = &played.crashed {
        eprintln!("{crashed}");
        return Ok(ExitCode::from(2));
    }
    say(&format!(
        "scene {name}, seed {seed}, in real time; node {}",
        program.display()
    ))?;
    let mut counts = std::collections::BTreeMap::<(Told, &str), usize>::new();
    for one in &played.seen {
        *counts.entry((one.told, one.driver)).or_default() += 1;
    }
    for ((told, driver), count) in &counts {
        say(&format!("{count:8} {told:?} by {driver}"))?;
    }
    let mut took: Vec<u64> = played.seen.iter().map(|one| one.took_us).collect();
    took.sort_unstable();
    let at = |share: f64| {
        took.get(((took.len() as f64 - 1.0) * share) as usize)
            .copied()
            .unwrap_or(0)
    };
    let all = played.seen.len();
    say(&format!(
        "{all} transactions in {:.1} s; p50 {} us, p99 {} us, longest {} us",
        played.wall.as_secs_f64(),
        at(0.5),
        at(0.99),
        at(1.0)
    ))?;
    say(&format!(
        "{} kills; {} drains, {} transactions begun after the grace",
        played.kills, played.drains.0, played.drains.1
    ))?;
    for finding in played.findings.iter().take(20) {
        say(&format!("transaction {}: {}", finding.id, finding.problem))?;
    }
    let committed = played
        .seen
        .iter()
        .filter(|one| one.told == Told::Committed)
        .count() as f64
        / all.max(1) as f64;
    let enough = scene.kills.is_none_or(|kills| played.kills >= kills.least)
        && scene
            .drains
            .is_none_or(|drains| played.drains.0 >= drains.least)
        && committed >= scene.expect.committed;
    let good = played.findings.is_empty() && played.drains.1 == 0;
    say(&format!(
        "{}: {} findings, {:.1}% committed",
        if good && enough {
            "good"
        } else if good {
            "less than expected"
        } else {
            "BROKEN"
        },
        played.findings.len(),
        committed * 100.0
    ))?;
    Ok(if good && enough {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

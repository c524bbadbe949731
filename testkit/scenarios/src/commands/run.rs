//! `run`: plays a scene to its end and checks the rules.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::rules::RULES;
use badgerpost_scenarios::run::{self, Options, Played};
use badgerpost_scenarios::{fleet, outcome, plot};

use crate::failure::Failure;
use crate::output::{bar, say, write};

pub(super) fn run(
    plan: &Plan,
    options: &Options,
    out: Option<&Path>,
    picture: Option<&Path>,
    logs: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let bar = bar(100);
    let played = run::play(plan, options, &mut |done| {
        bar.set_position((done * 100.0).min(100.0) as u64)
    })?;
    bar.finish_and_clear();
    if let Some(path) = out {
        write(path, &outcome::write(&played.log)?)?;
    }
    if let Some(path) = picture {
        plot::draw(plan, &played.log, path).map_err(Failure::Plot)?;
    }
    if let Some(path) = logs {
        let logs: String = played
            .logs
            .iter()
            .map(|(name, log)| format!("{name}:\n{log}"))
            .collect();
        write(path, &logs)?;
    }
    let lost = fleet::lost(plan, &played);
    summary(plan, options, &played, &lost)?;
    Ok(if played.is_good() && lost.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn summary(
    plan: &Plan,
    options: &Options,
    played: &Played,
    lost: &[String],
) -> std::io::Result<()> {
    let counts = played.counts();
    let seconds = |span: Duration| span.as_secs_f64();
    let simulated = seconds(Duration::from_nanos(played.simulated));
    let mode = if options.real_time {
        "in real time"
    } else {
        "in steps"
    };
    say(&format!(
        "scene {}, seed {}, {mode}",
        plan.scene.name, plan.seed
    ))?;
    say(&format!(
        "node {}, sha256 {}",
        options.program.display(),
        played.sha256
    ))?;
    say(&format!(
        "{} requests: {} served, {} refused, {} failed, {} without an answer; {} attempts",
        counts.requests,
        counts.served,
        counts.refused,
        counts.failed,
        counts.unanswered,
        counts.attempts
    ))?;
    say(&format!(
        "{simulated:.1} s played in {:.1} s ({:.1} to one), {} steps{}",
        seconds(played.wall),
        simulated / seconds(played.wall).max(1e-9),
        played.steps,
        if played.late > 0 {
            format!(", {} waits for late bytes", played.late)
        } else {
            String::new()
        }
    ))?;
    if played.talk.iter().any(|(datagrams, _)| *datagrams > 0) {
        let (most, all) = (
            played.talk.iter().map(|(_, bytes)| *bytes).max(),
            played.talk.len() as f64,
        );
        let sum = played
            .talk
            .iter()
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        say(&format!(
            "nodes to each other: {:.1} datagrams and {:.0} bytes a second and node, {:.0} bytes at the most",
            sum.0 as f64 / all / simulated.max(1e-9),
            sum.1 as f64 / all / simulated.max(1e-9),
            most.unwrap_or(0) as f64 / simulated.max(1e-9),
        ))?;
    }
    for rule in RULES {
        let broken: Vec<_> = played
            .breaches
            .iter()
            .filter(|breach| breach.rule == rule)
            .collect();
        match broken.first() {
            None => say(&format!("rule {rule}: kept"))?,
            Some(first) => say(&format!(
                "rule {rule}: BROKEN {} times; first: {first}",
                broken.len()
            ))?,
        }
    }
    if played.strangers > 0 {
        say(&format!(
            "{} requests came to servers or discovery that no client had sent so",
            played.strangers
        ))?;
    }
    for trouble in fleet::troubles(plan) {
        say(&format!(
            "zone {}, {} for {} ms:",
            trouble.zone,
            trouble.what,
            (trouble.until - trouble.from) / 1_000_000
        ))?;
        say(&fleet::conduct(&played.log, &trouble).to_string())?;
        let peak = played.cold_peak(Some(&trouble.zone));
        let falls = plan.scene.scene.rules.tip_multiple;
        say(&format!(
            "  most at one cold server there: {peak:.2} of what it could do; it falls over at {falls:.2}"
        ))?;
    }
    let strayed = fleet::strayed(plan, &played.log);
    if !strayed.is_empty() {
        let first = strayed.first().map_or(String::new(), |(node, at)| {
            format!("{node} at {} ms", at / 1_000_000)
        });
        say(&format!(
            "nodes that left a zone in no trouble: {}, first {first}",
            strayed.len()
        ))?;
    }
    for lost in lost {
        say(&format!("expectation LOST: {lost}"))?;
    }
    Ok(())
}

//! The summary that `run` prints.

use std::io;
use std::time::Duration;

use badgerpost_scenarios::fleet;
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::rules::RULES;
use badgerpost_scenarios::run::{Options, RunReport};

use crate::output::print_line;

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// The shortest time, in seconds, that rates are computed over.
const MIN_SECONDS: f64 = 1e-9;

/// Prints what was played, the counts, each rule, what the fleet did in each fault, and the lost expectations.
pub(super) fn print_summary(
    plan: &Plan,
    options: &Options,
    played: &RunReport,
    lost: &[String],
) -> io::Result<()> {
    print_head(plan, options, played)?;
    print_counts(played)?;
    print_gossip(played)?;
    print_rules(played)?;
    print_faults(plan, played)?;
    print_strayed_nodes(plan, played)?;
    for expectation in lost {
        print_line(&format!("expectation LOST: {expectation}"))?;
    }
    Ok(())
}

fn print_head(plan: &Plan, options: &Options, played: &RunReport) -> io::Result<()> {
    let mode = if options.real_time {
        "in real time"
    } else {
        "in steps"
    };
    print_line(&format!(
        "scene {}, seed {}, {mode}",
        plan.scenario.name, plan.seed
    ))?;
    print_line(&format!(
        "node {}, sha256 {}",
        options.program.display(),
        played.sha256
    ))
}

fn simulated_seconds(played: &RunReport) -> f64 {
    Duration::from_nanos(played.simulated).as_secs_f64()
}

fn print_counts(played: &RunReport) -> io::Result<()> {
    let counts = played.counts();
    print_line(&format!(
        "{} requests: {} served, {} refused, {} failed, {} without an answer; {} attempts",
        counts.requests,
        counts.served,
        counts.rejected,
        counts.failed,
        counts.unanswered,
        counts.attempts
    ))?;
    let simulated = simulated_seconds(played);
    let wall = played.wall.as_secs_f64();
    let late = if played.late > 0 {
        format!(", {} waits for late bytes", played.late)
    } else {
        String::new()
    };
    print_line(&format!(
        "{simulated:.1} s played in {wall:.1} s ({:.1} to one), {} steps{late}",
        simulated / wall.max(MIN_SECONDS),
        played.steps,
    ))
}

/// Prints how much the nodes sent to each other, if they did.
fn print_gossip(played: &RunReport) -> io::Result<()> {
    if !played.talk.iter().any(|(datagrams, _)| *datagrams > 0) {
        return Ok(());
    }
    let node_count = played.talk.len() as f64;
    let seconds = simulated_seconds(played).max(MIN_SECONDS);
    let datagrams: u64 = played.talk.iter().map(|(datagrams, _)| *datagrams).sum();
    let bytes: u64 = played.talk.iter().map(|(_, sent)| *sent).sum();
    let most_bytes = played.talk.iter().map(|(_, sent)| *sent).max();
    print_line(&format!(
        "nodes to each other: {:.1} datagrams and {:.0} bytes a second and node, {:.0} bytes at the most",
        datagrams as f64 / node_count / seconds,
        bytes as f64 / node_count / seconds,
        most_bytes.unwrap_or(0) as f64 / seconds,
    ))
}

fn print_rules(played: &RunReport) -> io::Result<()> {
    for rule in RULES {
        let breaches = played.breaches.iter().filter(|breach| breach.rule == rule);
        let breaches: Vec<_> = breaches.collect();
        match breaches.first() {
            None => print_line(&format!("rule {rule}: kept"))?,
            Some(first) => print_line(&format!(
                "rule {rule}: BROKEN {} times; first: {first}",
                breaches.len()
            ))?,
        }
    }
    if played.strangers > 0 {
        print_line(&format!(
            "{} requests came to servers or discovery that no client had sent so",
            played.strangers
        ))?;
    }
    Ok(())
}

/// Prints what the fleet did in each fault of a zone.
fn print_faults(plan: &Plan, played: &RunReport) -> io::Result<()> {
    for fault in fleet::troubles(plan) {
        print_line(&format!(
            "zone {}, {} for {} ms:",
            fault.zone,
            fault.what,
            (fault.until - fault.from) / NANOSECONDS_PER_MILLISECOND
        ))?;
        print_line(&fleet::conduct(&played.log, &fault).to_string())?;
        let peak = played.cold_peak(Some(&fault.zone));
        let overload_multiple = plan.scenario.spec.rules.overload_multiple;
        print_line(&format!(
            "  most at one cold server there: {peak:.2} of what it could do; it falls over at {overload_multiple:.2}"
        ))?;
    }
    Ok(())
}

/// Prints how many nodes ejected a zone that had no fault.
fn print_strayed_nodes(plan: &Plan, played: &RunReport) -> io::Result<()> {
    let strayed = fleet::strayed(plan, &played.log);
    let Some((node, at)) = strayed.first() else {
        return Ok(());
    };
    print_line(&format!(
        "nodes that left a zone in no trouble: {}, first {node} at {} ms",
        strayed.len(),
        at / NANOSECONDS_PER_MILLISECOND
    ))
}

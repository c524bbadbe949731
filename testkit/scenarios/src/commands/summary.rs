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

/// Prints what was played, the counts, each rule, what the fleet did in each outage of a zone, and the expectations that were not met.
pub(super) fn print_summary(
    plan: &Plan,
    options: &Options,
    report: &RunReport,
    unmet_expectations: &[String],
) -> io::Result<()> {
    print_head(plan, options, report)?;
    print_counts(report)?;
    print_gossip(report)?;
    print_rules(report)?;
    print_faults(plan, report)?;
    print_false_ejections(plan, report)?;
    for expectation in unmet_expectations {
        print_line(&format!("expectation LOST: {expectation}"))?;
    }
    Ok(())
}

fn print_head(plan: &Plan, options: &Options, report: &RunReport) -> io::Result<()> {
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
        report.sha256
    ))
}

fn simulated_seconds(report: &RunReport) -> f64 {
    Duration::from_nanos(report.simulated).as_secs_f64()
}

fn print_counts(report: &RunReport) -> io::Result<()> {
    let counts = report.counts();
    print_line(&format!(
        "{} requests: {} served, {} refused, {} failed, {} without an answer; {} attempts",
        counts.requests,
        counts.served,
        counts.rejected,
        counts.failed,
        counts.unanswered,
        counts.attempts
    ))?;
    let simulated = simulated_seconds(report);
    let wall = report.wall.as_secs_f64();
    let late_bytes = if report.late > 0 {
        format!(", {} waits for late bytes", report.late)
    } else {
        String::new()
    };
    print_line(&format!(
        "{simulated:.1} s played in {wall:.1} s ({:.1} to one), {} steps{late_bytes}",
        simulated / wall.max(MIN_SECONDS),
        report.steps,
    ))
}

/// Prints how much the nodes sent to each other, if they did.
fn print_gossip(report: &RunReport) -> io::Result<()> {
    if !report.talk.iter().any(|(datagrams, _)| *datagrams > 0) {
        return Ok(());
    }
    let node_count = report.talk.len() as f64;
    let seconds = simulated_seconds(report).max(MIN_SECONDS);
    let datagrams: u64 = report.talk.iter().map(|(datagrams, _)| *datagrams).sum();
    let bytes: u64 = report.talk.iter().map(|(_, sent)| *sent).sum();
    let max_bytes = report.talk.iter().map(|(_, sent)| *sent).max();
    print_line(&format!(
        "nodes to each other: {:.1} datagrams and {:.0} bytes a second and node, {:.0} bytes at the most",
        datagrams as f64 / node_count / seconds,
        bytes as f64 / node_count / seconds,
        max_bytes.unwrap_or(0) as f64 / seconds,
    ))
}

fn print_rules(report: &RunReport) -> io::Result<()> {
    for rule in RULES {
        let breaches = report.breaches.iter().filter(|breach| breach.rule == rule);
        let breaches: Vec<_> = breaches.collect();
        match breaches.first() {
            None => print_line(&format!("rule {rule}: kept"))?,
            Some(first) => print_line(&format!(
                "rule {rule}: BROKEN {} times; first: {first}",
                breaches.len()
            ))?,
        }
    }
    if report.strangers > 0 {
        print_line(&format!(
            "{} requests came to servers or discovery that no client had sent so",
            report.strangers
        ))?;
    }
    Ok(())
}

/// Prints what the fleet did in each outage of a zone.
fn print_faults(plan: &Plan, report: &RunReport) -> io::Result<()> {
    for outage in fleet::zone_outages(plan) {
        print_line(&format!(
            "zone {}, {} for {} ms:",
            outage.zone,
            outage.fault_name,
            (outage.end - outage.start) / NANOSECONDS_PER_MILLISECOND
        ))?;
        print_line(&fleet::measure_failover(&report.log, &outage).to_string())?;
        let peak = report.cold_peak(Some(&outage.zone));
        let overload_multiple = plan.scenario.spec.rules.overload_multiple;
        print_line(&format!(
            "  most at one cold server there: {peak:.2} of what it could do; it falls over at {overload_multiple:.2}"
        ))?;
    }
    Ok(())
}

/// Prints how many nodes ejected a zone that had no fault.
fn print_false_ejections(plan: &Plan, report: &RunReport) -> io::Result<()> {
    let ejections = fleet::false_ejections(plan, &report.log);
    let Some((node, at)) = ejections.first() else {
        return Ok(());
    };
    print_line(&format!(
        "nodes that left a zone in no trouble: {}, first {node} at {} ms",
        ejections.len(),
        at / NANOSECONDS_PER_MILLISECOND
    ))
}

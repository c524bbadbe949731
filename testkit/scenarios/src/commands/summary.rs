//! The summary that `run` prints.

use std::io;
use std::time::Duration;

use badgerpost_scenarios::fleet;
use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::rules::RULES;
use badgerpost_scenarios::run::{Options, RunReport};

use crate::output::print_line;

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// The minimum time over which rates are computed; prevents divisions by zero.
const MIN_SECONDS: f64 = 1e-9;

/// Prints the run's settings, the counts, the result of each rule, the failover in each outage of a zone, and unmet
/// expectations.
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
    print_zone_outages(plan, report)?;
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
        "{} requests: {} served, {} refused, {} failed, {} without a response; {} attempts",
        counts.requests,
        counts.served,
        counts.rejected,
        counts.failed,
        counts.unanswered,
        counts.attempts
    ))?;
    let simulated = simulated_seconds(report);
    let wall = report.wall.as_secs_f64();
    let late_bytes = if report.late_waits > 0 {
        format!(", {} waits for late bytes", report.late_waits)
    } else {
        String::new()
    };
    print_line(&format!(
        "{simulated:.1} s played in {wall:.1} s ({:.1} times real time), {} steps{late_bytes}",
        simulated / wall.max(MIN_SECONDS),
        report.steps,
    ))
}

/// Prints the rates of gossip, if the nodes sent any.
fn print_gossip(report: &RunReport) -> io::Result<()> {
    if !report
        .gossip_traffic
        .iter()
        .any(|(datagrams, _)| *datagrams > 0)
    {
        return Ok(());
    }
    let node_count = report.gossip_traffic.len() as f64;
    let seconds = simulated_seconds(report).max(MIN_SECONDS);
    let datagrams: u64 = report
        .gossip_traffic
        .iter()
        .map(|(datagrams, _)| *datagrams)
        .sum();
    let bytes: u64 = report.gossip_traffic.iter().map(|(_, sent)| *sent).sum();
    let max_bytes = report.gossip_traffic.iter().map(|(_, sent)| *sent).max();
    print_line(&format!(
        "gossip: {:.1} datagrams and {:.0} bytes a second sent per node, at most {:.0} bytes a second by one node",
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
    if report.unknown_requests > 0 {
        print_line(&format!(
            "{} requests reached servers or discovery that no client sent in this form",
            report.unknown_requests
        ))?;
    }
    Ok(())
}

/// Prints the failover in each outage of a zone.
fn print_zone_outages(plan: &Plan, report: &RunReport) -> io::Result<()> {
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
            "  peak load of a server in slow start there: {peak:.2} times its capacity; overload begins at {overload_multiple:.2}"
        ))?;
    }
    Ok(())
}

/// Prints how many times nodes left a healthy zone, and the first time.
fn print_false_ejections(plan: &Plan, report: &RunReport) -> io::Result<()> {
    let ejections = fleet::false_ejections(plan, &report.log);
    let Some((node, at)) = ejections.first() else {
        return Ok(());
    };
    print_line(&format!(
        "times a node left a healthy zone: {}, first {node} at {} ms",
        ejections.len(),
        at / NANOSECONDS_PER_MILLISECOND
    ))
}

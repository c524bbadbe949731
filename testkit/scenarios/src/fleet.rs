//! Measures from an outcome log how a fleet behaved during the outage of a zone: when the nodes stopped sending to the
//! zone, when they returned, how many attempts were lost and how the load was spread. No I/O.

mod expectations;

use std::collections::BTreeMap;

use crate::outcome::{ClientResult, Request};
use crate::plan::Plan;
use crate::scenario::{FaultTarget, PlannedFault};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};
pub use expectations::unmet_expectations;

/// Nodes that sent a smaller fraction of their requests to the zone before its outage are not measured.
const MIN_ZONE_FRACTION: f64 = 0.2;
/// The fraction of later requests that a node may still send to the zone as trials after its failover.
const MAX_TRIAL_FRACTION: f64 = 0.1;
/// The number of consecutive requests over which a node's return to the zone is determined.
const RETURN_WINDOW_REQUESTS: usize = 8;
/// The number of consecutive requests to other zones that count as a false ejection; fewer may be spill or retries.
const FALSE_EJECTION_REQUESTS: usize = 12;
/// The time before an outage that gives the usual load.
const BASELINE: Nanos = 3 * SECOND;
/// The time after an outage within which the return of the nodes is measured.
const RECOVERY_WINDOW: Nanos = 30 * SECOND;

/// The outage of a whole zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneOutage {
    /// The name of the fault's kind.
    pub fault_name: &'static str,
    /// The name of the zone.
    pub zone: String,
    /// When the outage begins, from the start of the scenario.
    pub start: Nanos,
    /// When the outage ends, from the start of the scenario.
    pub end: Nanos,
}

impl ZoneOutage {
    /// The outage that a fault causes; none unless the fault affects all servers of a zone.
    pub fn from_fault(fault: &PlannedFault, zones: &[&str], scenario_end: Nanos) -> Option<Self> {
        let FaultTarget::Group(group) = fault.target else {
            return None;
        };
        let zone = (*zones.get(group.zone?.get())?).to_owned();
        let end = fault
            .duration
            .map_or(scenario_end, |duration| fault.at.saturating_add(duration));
        let is_whole_zone = fault.kind.affects_server() && group.from == 0 && group.to == 1000;
        is_whole_zone.then(|| Self {
            fault_name: fault.kind.name(),
            zone,
            start: fault.at,
            end,
        })
    }
}

/// How the fleet behaved during and after the outage of a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverReport {
    /// The time from the start of the outage until each node stopped sending to the zone, sorted.
    pub failover_times: Vec<Nanos>,
    /// The number of nodes that never stopped sending to the zone.
    pub nodes_not_failed_over: usize,
    /// The number of attempts at servers of the zone during the outage.
    pub attempts_during_outage: usize,
    /// The time from the end of the outage until each node sent to the zone again, sorted; nodes that did not are left
    /// out.
    pub return_times: Vec<Nanos>,
    /// The time from the end of the outage until the zone got half of its usual load, in steps of 100 ms.
    pub half_load_after: Option<Nanos>,
    /// The time from the end of the outage until the zone got nine tenths of its usual load, in steps of 100 ms.
    pub nine_tenths_load_after: Option<Nanos>,
    /// The lowest fraction of requests served in one second, and the number of that second in the outage, from 0.
    pub worst_second: (f64, Nanos),
    /// The most attempts at one server of another zone in one second of the outage, as a multiple of the mean before.
    pub peak_load_ratio_elsewhere: f64,
}

/// A request of one node: its arrival, and whether its first attempt went to the measured zone.
type SentRequest = (Nanos, bool);

/// Measures the failover from a log that is sorted by arrival.
pub fn measure_failover(log: &[Request], outage: &ZoneOutage) -> FailoverReport {
    let ZoneOutage {
        zone, start, end, ..
    } = outage;
    let (start, end) = (*start, *end);
    let baseline_start = start.saturating_sub(BASELINE);
    let mut nodes: BTreeMap<&str, Vec<SentRequest>> = BTreeMap::new();
    for request in log
        .iter()
        .filter(|request| (baseline_start..end + RECOVERY_WINDOW).contains(&request.arrival))
    {
        nodes
            .entry(&request.node)
            .or_default()
            .push((request.arrival, request.first_attempt_is_in(zone)));
    }
    let (mut failover_times, mut return_times) = (Vec::new(), Vec::new());
    let mut nodes_not_failed_over = 0;
    for sent in nodes.values() {
        let sent_within = |range: std::ops::Range<Nanos>| {
            sent.iter()
                .filter(move |(at, _)| range.contains(at))
                .copied()
                .collect::<Vec<_>>()
        };
        let usual_fraction = zone_fraction(&sent_within(baseline_start..start));
        if usual_fraction < MIN_ZONE_FRACTION {
            continue;
        }
        match failover_at(&sent_within(start..end), start) {
            Some(at) => failover_times.push(at - start),
            None => nodes_not_failed_over += 1,
        }
        let returned_at = return_at(&sent_within(end..end + RECOVERY_WINDOW), usual_fraction);
        return_times.extend(returned_at.map(|at| at - end));
    }
    failover_times.sort_unstable();
    return_times.sort_unstable();
    let attempts = || log.iter().flat_map(|request| &request.attempts);
    let attempts_during_outage = attempts()
        .filter(|attempt| attempt.zone == *zone && (start..end).contains(&attempt.start))
        .count();
    let (half_load_after, nine_tenths_load_after) =
        load_recovery_times(log, zone, baseline_start, start, end);
    FailoverReport {
        failover_times,
        nodes_not_failed_over,
        attempts_during_outage,
        return_times,
        half_load_after,
        nine_tenths_load_after,
        worst_second: worst_second(log, start, end),
        peak_load_ratio_elsewhere: peak_load_ratio_elsewhere(log, zone, baseline_start, start, end),
    }
}

fn zone_fraction(sent: &[SentRequest]) -> f64 {
    sent.iter().filter(|(_, to_zone)| *to_zone).count() as f64 / sent.len().max(1) as f64
}

/// The arrival of the last request that a node sent to the zone before its failover; all later ones but trials went to
/// other zones.
fn failover_at(sent: &[SentRequest], start: Nanos) -> Option<Nanos> {
    let mut last = start;
    for (index, (at, to_zone)) in sent.iter().enumerate() {
        if *to_zone {
            last = *at;
            continue;
        }
        // One request is allowed in addition to the fraction, for a trial soon after the failover.
        let mut sent_to_zone = 0;
        let has_failed_over = sent[index..]
            .iter()
            .enumerate()
            .all(|(count, (_, to_zone))| {
                sent_to_zone += usize::from(*to_zone);
                sent_to_zone as f64 <= 1.0 + MAX_TRIAL_FRACTION * count as f64
            });
        if has_failed_over {
            return Some(last);
        }
    }
    sent.is_empty().then_some(start)
}

/// The arrival of the first request to the zone from which on the node sends there at least half as much as usual.
fn return_at(sent: &[SentRequest], usual_fraction: f64) -> Option<Nanos> {
    let to_zone = sent.iter().enumerate().filter(|(_, (_, to_zone))| *to_zone);
    let keeps_sending = |from: usize| {
        let next = &sent[from..(from + RETURN_WINDOW_REQUESTS).min(sent.len())];
        next.iter().filter(|(_, to_zone)| *to_zone).count() as f64
            >= usual_fraction / 2.0 * next.len() as f64
    };
    to_zone
        .into_iter()
        .find(|(index, _)| keeps_sending(*index))
        .map(|(_, (at, _))| *at)
}

/// The times from the end of the outage until the zone's attempts in 100 ms were half and nine tenths of the mean before
/// the outage.
fn load_recovery_times(
    log: &[Request],
    zone: &str,
    baseline_start: Nanos,
    start: Nanos,
    end: Nanos,
) -> (Option<Nanos>, Option<Nanos>) {
    let mut counts: BTreeMap<Nanos, f64> = BTreeMap::new();
    let mut baseline_count = 0.0;
    for attempt in log
        .iter()
        .flat_map(|request| &request.attempts)
        .filter(|attempt| attempt.zone == zone)
    {
        if (baseline_start..start).contains(&attempt.start) {
            baseline_count += 1.0;
        } else if attempt.start >= end {
            *counts
                .entry((attempt.start - end) / (100 * MILLISECOND))
                .or_default() += 1.0;
        }
    }
    let mean = baseline_count * (100 * MILLISECOND) as f64 / (start - baseline_start).max(1) as f64;
    let time_to_reach = |fraction: f64| {
        counts
            .iter()
            .find(|(_, count)| **count >= fraction * mean)
            .map(|(step, _)| step * 100 * MILLISECOND)
    };
    (time_to_reach(0.5), time_to_reach(0.9))
}

/// The lowest fraction of requests served in one second of the outage and of the two seconds after the outage, retries
/// not counted, and the number of that second.
fn worst_second(log: &[Request], start: Nanos, end: Nanos) -> (f64, Nanos) {
    let mut seconds: BTreeMap<Nanos, (u64, u64)> = BTreeMap::new();
    for request in log.iter().filter(|request| request.retry_of.is_none()) {
        if (start..end + 2 * SECOND).contains(&request.arrival) {
            let served = request.result() == Some(ClientResult::Served);
            let second = seconds
                .entry((request.arrival - start) / SECOND)
                .or_default();
            second.0 += u64::from(served);
            second.1 += 1;
        }
    }
    let fractions = seconds
        .iter()
        .map(|(second, (served, all))| (*served as f64 / *all as f64, *second));
    fractions.fold(
        (1.0, 0),
        |worst, one| if one.0 < worst.0 { one } else { worst },
    )
}

/// The most attempts at one server of another zone in one second of the outage, as a multiple of the mean before.
fn peak_load_ratio_elsewhere(
    log: &[Request],
    zone: &str,
    baseline_start: Nanos,
    start: Nanos,
    end: Nanos,
) -> f64 {
    let mut before: BTreeMap<&str, f64> = BTreeMap::new();
    let mut during: BTreeMap<(&str, Nanos), f64> = BTreeMap::new();
    for attempt in log
        .iter()
        .flat_map(|request| &request.attempts)
        .filter(|attempt| attempt.zone != zone)
    {
        if (baseline_start..start).contains(&attempt.start) {
            *before.entry(&attempt.server).or_default() += 1.0;
        } else if (start..end).contains(&attempt.start) {
            *during
                .entry((&attempt.server, (attempt.start - start) / SECOND))
                .or_default() += 1.0;
        }
    }
    let seconds = (start - baseline_start) as f64 / SECOND as f64;
    let mean = before.values().sum::<f64>() / before.len().max(1) as f64 / seconds.max(1e-9);
    during
        .values()
        .fold(0.0, |most: f64, count| most.max(*count))
        / mean.max(1e-9)
}

/// The outages of whole zones in a plan, in the order of the plan's faults.
pub fn zone_outages(plan: &Plan) -> Vec<ZoneOutage> {
    let zones = plan.scenario.spec.zones();
    let scenario_end = plan.scenario.spec.length_ms.get_ref() * MILLISECOND;
    plan.faults
        .iter()
        .filter_map(|fault| ZoneOutage::from_fault(fault, &zones, scenario_end))
        .collect()
}

/// Nodes that sent several consecutive requests to other zones though their own zone had no outage: each node's name and
/// the time.
pub fn false_ejections(plan: &Plan, log: &[Request]) -> Vec<(String, Nanos)> {
    let outages = zone_outages(plan);
    // Faults of discovery or of a part of a zone are no reason to leave the zone.
    let has_outage = |zone: &str, at: Nanos| {
        let in_zone = outages.iter().filter(|outage| outage.zone == zone);
        in_zone
            .into_iter()
            .any(|outage| (outage.start..outage.end + RECOVERY_WINDOW).contains(&at))
    };
    let mut nodes: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    for request in log.iter().filter(|request| !request.attempts.is_empty()) {
        nodes.entry(&request.node).or_default().push(request);
    }
    let mut ejections = Vec::new();
    for (name, requests) in nodes {
        let node = plan
            .scenario
            .spec
            .nodes
            .iter()
            .find(|known| known.name.get_ref() == name);
        let Some(local_zone) = node.map(|node| node.zone.as_str()) else {
            continue;
        };
        let mut consecutive = 0;
        for request in requests {
            let is_elsewhere =
                request.attempts[0].zone != local_zone && !has_outage(local_zone, request.arrival);
            consecutive = if is_elsewhere { consecutive + 1 } else { 0 };
            if consecutive == FALSE_EJECTION_REQUESTS {
                ejections.push((name.to_owned(), request.arrival));
            }
        }
    }
    ejections
}

/// The least of the sorted values that is no less than this fraction of them; none without values.
pub fn quantile(sorted: &[Nanos], fraction: f64) -> Option<Nanos> {
    let last = sorted.len().checked_sub(1)?;
    sorted
        .get(
            ((sorted.len() as f64 * fraction).ceil() as usize)
                .saturating_sub(1)
                .min(last),
        )
        .copied()
}

impl std::fmt::Display for FailoverReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |duration: Option<Nanos>| {
            duration.map_or("never".to_owned(), |duration| {
                format!("{} ms", duration / MILLISECOND)
            })
        };
        let quantiles = |durations: &[Nanos]| {
            let [half, most, all] =
                [0.5, 0.9, 1.0].map(|fraction| ms(quantile(durations, fraction)));
            format!("{half}, {most}, {all}")
        };
        writeln!(
            f,
            "  failover of 50, 90 and 100% of {} nodes after: {} ({} never)",
            self.failover_times.len() + self.nodes_not_failed_over,
            quantiles(&self.failover_times),
            self.nodes_not_failed_over
        )?;
        writeln!(
            f,
            "  attempts at the zone during the outage: {}",
            self.attempts_during_outage
        )?;
        writeln!(
            f,
            "  return of the first of {} nodes and of 50, 90 and 100% after: {}, {}",
            self.return_times.len(),
            ms(self.return_times.first().copied()),
            quantiles(&self.return_times)
        )?;
        writeln!(
            f,
            "  load of the zone at 50 and 90% of the usual load after: {}, {}",
            ms(self.half_load_after),
            ms(self.nine_tenths_load_after)
        )?;
        writeln!(
            f,
            "  worst second: {:.3} served, in second {}",
            self.worst_second.0, self.worst_second.1
        )?;
        write!(
            f,
            "  peak load of a server in another zone: {:.2} times the mean before the outage",
            self.peak_load_ratio_elsewhere
        )
    }
}

#[cfg(test)]
mod tests;

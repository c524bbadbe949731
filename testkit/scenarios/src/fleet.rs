//! How a fleet behaved while a zone was in trouble, from the outcome log alone: when its nodes left the zone and
//! when they returned, what that cost, and how evenly. No I/O.

use std::collections::BTreeMap;

use crate::outcome::{ClientResult, Request};
use crate::plan::Plan;
use crate::run::RunReport;
use crate::scenario::{FaultTarget, PlannedFault};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// A node counts as one of a zone's if it sent there at least this share of its requests before the trouble.
const OF_THE_ZONE: f64 = 0.2;
/// It has left once no more than this share of its later requests goes there: trials may.
const TRIALS: f64 = 0.1;
/// It has returned once of so many requests at least half as many as before go there.
const RETURN_OF: usize = 8;
/// A node has left its zone once so many requests in a row went elsewhere: single ones are overflow and retries.
const STRAYED: usize = 12;
/// How long before the trouble is looked at, and how long after it.
const BEFORE: Nanos = 3 * SECOND;
const AFTER: Nanos = 30 * SECOND;

/// A zone in trouble, over a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// The fault's name.
    pub what: &'static str,
    /// The zone.
    pub zone: String,
    /// From.
    pub from: Nanos,
    /// Until.
    pub until: Nanos,
}

impl Trouble {
    /// What a plan's fault does to a whole zone, if it does.
    pub fn of(fault: &PlannedFault, zones: &[&str], end: Nanos) -> Option<Self> {
        let FaultTarget::Group(group) = fault.target else {
            return None;
        };
        let zone = (*zones.get(group.zone?.get())?).to_owned();
        let until = fault
            .duration
            .map_or(end, |duration| fault.at.saturating_add(duration));
        let whole = fault.kind.affects_server() && group.from == 0 && group.to == 1000;
        whole.then(|| Self {
            what: fault.kind.name(),
            zone,
            from: fault.at,
            until,
        })
    }
}

/// What the fleet did.
#[derive(Clone, Debug, PartialEq)]
pub struct Conduct {
    /// For how long each node of the zone went on sending there, sorted.
    pub left_after: Vec<Nanos>,
    /// Nodes that never left.
    pub stayed: usize,
    /// Attempts at the zone during the trouble.
    pub spent: usize,
    /// When after the trouble each node sent there again, sorted; one that did not is missing.
    pub back_after: Vec<Nanos>,
    /// How long after the trouble the zone got half and nine tenths of what it got before, by the 100 ms.
    pub half_back: Option<Nanos>,
    /// See `half_back`.
    pub full_back: Option<Nanos>,
    /// The least share served of one second's requests, and which second it was.
    pub worst: (f64, Nanos),
    /// The most attempts that a server elsewhere got in a second of the trouble, against its mean before.
    pub peak_elsewhere: f64,
}

/// Reads a fleet's conduct from a log that is sorted by arrival.
pub fn conduct(log: &[Request], trouble: &Trouble) -> Conduct {
    let Trouble {
        zone, from, until, ..
    } = trouble;
    let (from, until) = (*from, *until);
    let begin = from.saturating_sub(BEFORE);
    let mut nodes: BTreeMap<&str, Vec<(Nanos, bool)>> = BTreeMap::new();
    for request in log
        .iter()
        .filter(|request| (begin..until + AFTER).contains(&request.arrival))
    {
        nodes
            .entry(&request.node)
            .or_default()
            .push((request.arrival, request.first_attempt_is_in(zone)));
    }
    let (mut left_after, mut back_after, mut stayed) = (Vec::new(), Vec::new(), 0);
    for sent in nodes.values() {
        let in_span = |span: std::ops::Range<Nanos>| {
            sent.iter()
                .filter(move |(at, _)| span.contains(at))
                .copied()
                .collect::<Vec<_>>()
        };
        let before = in_span(begin..from);
        let share = share(&before);
        if share < OF_THE_ZONE {
            continue;
        }
        match left(&in_span(from..until), from) {
            Some(at) => left_after.push(at - from),
            None => stayed += 1,
        }
        back_after.extend(back(&in_span(until..until + AFTER), share).map(|at| at - until));
    }
    left_after.sort_unstable();
    back_after.sort_unstable();
    let attempts = || log.iter().flat_map(|request| &request.attempts);
    let spent = attempts()
        .filter(|one| one.zone == *zone && (from..until).contains(&one.start))
        .count();
    let (half_back, full_back) = returned(log, zone, begin, from, until);
    Conduct {
        left_after,
        stayed,
        spent,
        back_after,
        half_back,
        full_back,
        worst: worst_second(log, from, until),
        peak_elsewhere: peak_elsewhere(log, zone, begin, from, until),
    }
}

fn share(sent: &[(Nanos, bool)]) -> f64 {
    sent.iter().filter(|(_, there)| *there).count() as f64 / sent.len().max(1) as f64
}

/// When a node last sent to the zone before it had left: from then on all but trials went elsewhere.
fn left(sent: &[(Nanos, bool)], from: Nanos) -> Option<Nanos> {
    let mut last = from;
    for (number, (at, there)) in sent.iter().enumerate() {
        if *there {
            last = *at;
            continue;
        }
        // One straggler is let pass, so that a trial right after leaving is one.
        let mut went = 0;
        let gone = sent[number..]
            .iter()
            .enumerate()
            .all(|(count, (_, there))| {
                went += usize::from(*there);
                went as f64 <= 1.0 + TRIALS * count as f64
            });
        if gone {
            return Some(last);
        }
    }
    sent.is_empty().then_some(from)
}

/// When a node sent to the zone again, and went on to.
fn back(sent: &[(Nanos, bool)], share: f64) -> Option<Nanos> {
    let starts = sent.iter().enumerate().filter(|(_, (_, there))| *there);
    let goes_on = |from: usize| {
        let next = &sent[from..(from + RETURN_OF).min(sent.len())];
        next.iter().filter(|(_, there)| *there).count() as f64 >= share / 2.0 * next.len() as f64
    };
    starts
        .into_iter()
        .find(|(number, _)| goes_on(*number))
        .map(|(_, (at, _))| *at)
}

/// How long after the trouble the zone's attempts in 100 ms were again half and nine tenths of before.
fn returned(
    log: &[Request],
    zone: &str,
    begin: Nanos,
    from: Nanos,
    until: Nanos,
) -> (Option<Nanos>, Option<Nanos>) {
    let mut counts: BTreeMap<Nanos, f64> = BTreeMap::new();
    let mut before = 0.0;
    for one in log
        .iter()
        .flat_map(|request| &request.attempts)
        .filter(|one| one.zone == zone)
    {
        if (begin..from).contains(&one.start) {
            before += 1.0;
        } else if one.start >= until {
            *counts
                .entry((one.start - until) / (100 * MILLISECOND))
                .or_default() += 1.0;
        }
    }
    let mean = before * (100 * MILLISECOND) as f64 / (from - begin).max(1) as f64;
    let reaches = |part: f64| {
        counts
            .iter()
            .find(|(_, count)| **count >= part * mean)
            .map(|(step, _)| step * 100 * MILLISECOND)
    };
    (reaches(0.5), reaches(0.9))
}

/// The least share of a second's requests that was served, first tries only, while the trouble lasted and for two
/// seconds after it.
fn worst_second(log: &[Request], from: Nanos, until: Nanos) -> (f64, Nanos) {
    let mut seconds: BTreeMap<Nanos, (u64, u64)> = BTreeMap::new();
    for request in log.iter().filter(|request| request.retry_of.is_none()) {
        if (from..until + 2 * SECOND).contains(&request.arrival) {
            let served = request.result() == Some(ClientResult::Served);
            let second = seconds
                .entry((request.arrival - from) / SECOND)
                .or_default();
            second.0 += u64::from(served);
            second.1 += 1;
        }
    }
    let shares = seconds
        .iter()
        .map(|(second, (served, all))| (*served as f64 / *all as f64, *second));
    shares.fold(
        (1.0, 0),
        |worst, one| if one.0 < worst.0 { one } else { worst },
    )
}

/// The most that a server of another zone got in a second of the trouble, against the mean of those before.
fn peak_elsewhere(log: &[Request], zone: &str, begin: Nanos, from: Nanos, until: Nanos) -> f64 {
    let mut before: BTreeMap<&str, f64> = BTreeMap::new();
    let mut during: BTreeMap<(&str, Nanos), f64> = BTreeMap::new();
    for one in log
        .iter()
        .flat_map(|request| &request.attempts)
        .filter(|one| one.zone != zone)
    {
        if (begin..from).contains(&one.start) {
            *before.entry(&one.server).or_default() += 1.0;
        } else if (from..until).contains(&one.start) {
            *during
                .entry((&one.server, (one.start - from) / SECOND))
                .or_default() += 1.0;
        }
    }
    let seconds = (from - begin) as f64 / SECOND as f64;
    let mean = before.values().sum::<f64>() / before.len().max(1) as f64 / seconds.max(1e-9);
    during
        .values()
        .fold(0.0, |most: f64, count| most.max(*count))
        / mean.max(1e-9)
}

/// The troubles of whole zones in a plan.
pub fn troubles(plan: &Plan) -> Vec<Trouble> {
    let zones = plan.scenario.spec.zones();
    let end = plan.scenario.spec.length_ms.get_ref() * MILLISECOND;
    plan.faults
        .iter()
        .filter_map(|fault| Trouble::of(fault, &zones, end))
        .collect()
}

/// Nodes that sent nothing to their zone for a while, though nothing was wrong with it: which, and when.
pub fn strayed(plan: &Plan, log: &[Request]) -> Vec<(String, Nanos)> {
    let troubles = troubles(plan);
    // A list that takes servers away, and whatever else is wrong with a part, is no zone's health.
    let disturbed = |zone: &str, at: Nanos| {
        let in_zone = troubles.iter().filter(|trouble| trouble.zone == zone);
        in_zone
            .into_iter()
            .any(|trouble| (trouble.from..trouble.until + AFTER).contains(&at))
    };
    let mut nodes: BTreeMap<&str, Vec<&Request>> = BTreeMap::new();
    for request in log.iter().filter(|request| !request.attempts.is_empty()) {
        nodes.entry(&request.node).or_default().push(request);
    }
    let mut strayed = Vec::new();
    for (node, requests) in nodes {
        let own = plan
            .scenario
            .spec
            .nodes
            .iter()
            .find(|known| known.name.get_ref() == node);
        let Some(main) = own.map(|own| own.zone.as_str()) else {
            continue;
        };
        let mut away = 0;
        for request in requests {
            let elsewhere = request.attempts[0].zone != main && !disturbed(main, request.arrival);
            away = if elsewhere { away + 1 } else { 0 };
            if away == STRAYED {
                strayed.push((node.to_owned(), request.arrival));
            }
        }
    }
    strayed
}

/// What a scene expects and the run did not show.
#[expect(clippy::too_many_lines, reason = "to be split with the module")]
pub fn lost(plan: &Plan, played: &RunReport) -> Vec<String> {
    let expect = &plan.scenario.spec.expectations;
    let mut lost = Vec::new();
    let mut need = |good: bool, what: String| {
        if !good {
            lost.push(what);
        }
    };
    let counts = played.counts();
    if counts.requests > 0 {
        let share = counts.served_fraction();
        need(
            share >= expect.min_served_fraction,
            format!(
                "served {share:.3}, wanted {:.3}",
                expect.min_served_fraction
            ),
        );
    }
    for trouble in troubles(plan) {
        let seen = conduct(&played.log, &trouble);
        let zone = &trouble.zone;
        if let Some(most) = expect.max_failover_ms {
            let last = seen.left_after.last().copied().unwrap_or(0);
            let good = seen.stayed == 0 && last <= most * MILLISECOND;
            need(
                good,
                format!(
                    "zone {zone} left after {} ms, {} never; wanted {most}",
                    last / MILLISECOND,
                    seen.stayed
                ),
            );
        }
        if let Some(most) = expect.max_failed_over_attempts {
            need(
                seen.spent <= most,
                format!(
                    "{} attempts spent on zone {zone}, wanted {most}",
                    seen.spent
                ),
            );
        }
        if let Some(least) = expect.min_served_fraction_in_a_second {
            need(
                seen.worst.0 >= least,
                format!("a second served {:.3}, wanted {least:.3}", seen.worst.0),
            );
        }
        if let Some(most) = expect.max_recovery_ms {
            let back = seen.full_back.map_or("never".to_owned(), |span| {
                format!("after {} ms", span / MILLISECOND)
            });
            let good = seen
                .full_back
                .is_some_and(|span| span <= most * MILLISECOND);
            need(
                good,
                format!("zone {zone} had its load back {back}, wanted {most}"),
            );
        }
    }
    if let Some(most) = expect.max_slow_start_load {
        let peak = played.cold_peak(None);
        need(
            peak <= most,
            format!("a cold server got {peak:.2} of what it could do, wanted {most:.2}"),
        );
    }
    if let Some(most) = expect.max_false_ejections {
        let strayed = strayed(plan, &played.log).len();
        need(
            strayed <= most,
            format!("{strayed} times a node left a zone in no trouble, wanted {most}"),
        );
    }
    lost
}

/// A value below which lies such a share of sorted ones.
pub fn at_share(sorted: &[Nanos], share: f64) -> Option<Nanos> {
    let last = sorted.len().checked_sub(1)?;
    sorted
        .get(
            ((sorted.len() as f64 * share).ceil() as usize)
                .saturating_sub(1)
                .min(last),
        )
        .copied()
}

impl std::fmt::Display for Conduct {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = |span: Option<Nanos>| {
            span.map_or("never".to_owned(), |span| {
                format!("{} ms", span / MILLISECOND)
            })
        };
        let of = |spans: &[Nanos]| {
            let [half, most, all] = [0.5, 0.9, 1.0].map(|share| ms(at_share(spans, share)));
            format!("{half}, {most}, {all}")
        };
        writeln!(
            f,
            "  left, 50, 90 and 100% of {} nodes: {} ({} never)",
            self.left_after.len() + self.stayed,
            of(&self.left_after),
            self.stayed
        )?;
        writeln!(f, "  attempts spent there meanwhile: {}", self.spent)?;
        writeln!(
            f,
            "  back, the first of {} nodes and 50, 90 and 100%: {}, {}",
            self.back_after.len(),
            ms(self.back_after.first().copied()),
            of(&self.back_after)
        )?;
        writeln!(
            f,
            "  the zone's load at 50 and 90% of before: {}, {}",
            ms(self.half_back),
            ms(self.full_back)
        )?;
        writeln!(
            f,
            "  worst second: {:.3} served, in second {}",
            self.worst.0, self.worst.1
        )?;
        write!(
            f,
            "  most at one server elsewhere in a second: {:.2} of the mean before",
            self.peak_elsewhere
        )
    }
}

#[cfg(test)]
mod tests;

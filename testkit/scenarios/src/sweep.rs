//! Plays a scenario with many seeds, several at once, and computes the spread of each measure over the seeds.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use badgerpost_time::{MILLISECOND, Nanos};

use crate::fleet::{self, FailoverReport};
use crate::plan::Plan;
use crate::run::{self, Options, RunError};
use crate::scenario;

/// The measures of the run of one seed.
#[derive(Clone, Debug)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// The fraction of the requests that was served.
    pub served_fraction: f64,
    /// The number of breaches of rules; requests that no client sent count as one breach.
    pub breaches: usize,
    /// The failover in the first outage of a zone; none without an outage.
    pub failover: Option<FailoverReport>,
    /// The maximum load of a server in slow start, as a multiple of its capacity.
    pub slow_start_peak: f64,
    /// The number of times that nodes left a healthy zone.
    pub false_ejections: usize,
}

/// The results so far, or the first error.
type Results = Result<Vec<SeedResult>, RunError>;

/// Plays the seeds, `jobs` at once, and returns the results sorted by seed.
pub fn sweep(name: &str, seeds: Range<u64>, jobs: usize, options: &Options) -> Results {
    let next_seed = AtomicU64::new(seeds.start);
    let results: Mutex<Results> = Mutex::new(Ok(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| run_seeds(name, &next_seed, seeds.end, options, &results));
        }
    });
    let mut results = results
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner)?;
    results.sort_by_key(|result| result.seed);
    Ok(results)
}

/// Plays seeds until none is left or one has failed.
fn run_seeds(
    name: &str,
    next_seed: &AtomicU64,
    end: u64,
    options: &Options,
    results: &Mutex<Results>,
) {
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let result = run_seed(name, seed, options);
        let mut results: MutexGuard<'_, Results> =
            results.lock().unwrap_or_else(PoisonError::into_inner);
        match (&mut *results, result) {
            (Ok(results), Ok(result)) => results.push(result),
            (Ok(_), Err(error)) => *results = Err(error),
            (Err(_), _) => return,
        }
    }
}

fn run_seed(name: &str, seed: u64, options: &Options) -> Result<SeedResult, RunError> {
    let plan = Plan::draw(scenario::find(name)?, seed);
    let report = run::play(&plan, options, &mut |_| {})?;
    let first_outage = fleet::zone_outages(&plan).into_iter().next();
    Ok(SeedResult {
        seed,
        served_fraction: report.counts().served_fraction(),
        breaches: report.breaches.len() + usize::from(report.unknown_requests > 0),
        failover: first_outage.map(|outage| fleet::measure_failover(&report.log, &outage)),
        slow_start_peak: report.cold_peak(None),
        false_ejections: fleet::false_ejections(&plan, &report.log).len(),
    })
}

/// The names of the measures, as printed.
pub const COLUMNS: [&str; 12] = [
    "served",
    "left50_ms",
    "left90_ms",
    "left100_ms",
    "spent",
    "worst_second",
    "back50_ms",
    "back90_ms",
    "elsewhere",
    "cold",
    "strayed",
    "broken",
];

/// The measures of a result in the order of [`COLUMNS`]; none for measures that the run does not have.
pub fn figures(result: &SeedResult) -> [Option<f64>; COLUMNS.len()] {
    let failover = result.failover.as_ref();
    let failover_ms = |fraction| failover.and_then(|failover| failover_ms(failover, fraction));
    [
        Some(result.served_fraction),
        failover_ms(0.5),
        failover_ms(0.9),
        failover_ms(1.0),
        failover.map(|failover| failover.attempts_during_outage as f64),
        failover.map(|failover| failover.worst_second.0),
        failover
            .and_then(|failover| failover.half_load_after)
            .map(milliseconds),
        failover
            .and_then(|failover| failover.nine_tenths_load_after)
            .map(milliseconds),
        failover.map(|failover| failover.peak_load_ratio_elsewhere),
        Some(result.slow_start_peak),
        Some(result.false_ejections as f64),
        Some(result.breaches as f64),
    ]
}

/// The time within which this fraction of the zone's nodes failed over; none unless all did.
fn failover_ms(failover: &FailoverReport, fraction: f64) -> Option<f64> {
    if failover.nodes_not_failed_over > 0 {
        return None;
    }
    fleet::quantile(&failover.failover_times, fraction).map(milliseconds)
}

/// A duration in whole milliseconds.
fn milliseconds(duration: Nanos) -> f64 {
    (duration / MILLISECOND) as f64
}

/// The spread of a measure over all results.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The minimum.
    pub min: f64,
    /// The median; the lower one of two.
    pub median: f64,
    /// The maximum.
    pub max: f64,
}

/// The spread of one column; none if any result lacks the measure.
pub fn spread(results: &[SeedResult], column: usize) -> Option<Spread> {
    let values: Option<Vec<f64>> = results
        .iter()
        .map(|result| figures(result)[column])
        .collect();
    let mut values = values.filter(|values| !values.is_empty())?;
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    Some(Spread {
        min: values[0],
        median: values[last / 2],
        max: values[last],
    })
}

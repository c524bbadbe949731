//! Plays a scene under many seeds, some at once, and says what the fleet did in each and in the middle of them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::fleet::{self, Conduct};
use crate::plan::Plan;
use crate::run::{self, Options, RunError};
use crate::scenario;
use badgerpost_time::MILLISECOND;

/// What one seed showed.
#[derive(Clone, Debug)]
pub struct Row {
    /// The seed.
    pub seed: u64,
    /// Share of the requests served.
    pub served: f64,
    /// Broken rules.
    pub broken: usize,
    /// What the fleet did about the first trouble of a whole zone, if there is one.
    pub conduct: Option<Conduct>,
    /// The most that a cold server got, against what it could do.
    pub cold: f64,
    /// Times that a node left a zone in no trouble.
    pub strayed: usize,
}

/// Plays the seeds, `jobs` at once; the rows come sorted by seed.
pub fn sweep(
    name: &str,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: &Options,
) -> Result<Vec<Row>, RunError> {
    let next = AtomicU64::new(seeds.start);
    let rows: Mutex<Result<Vec<Row>, RunError>> = Mutex::new(Ok(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let row = row(name, seed, options);
                    let mut rows = rows
                        .lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner);
                    match (&mut *rows, row) {
                        (Ok(rows), Ok(row)) => rows.push(row),
                        (Ok(_), Err(error)) => *rows = Err(error),
                        (Err(_), _) => return,
                    }
                }
            });
        }
    });
    let mut rows = rows
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)?;
    rows.sort_by_key(|row| row.seed);
    Ok(rows)
}

fn row(name: &str, seed: u64, options: &Options) -> Result<Row, RunError> {
    let plan = Plan::draw(scenario::find(name)?, seed);
    let played = run::play(&plan, options, &mut |_| {})?;
    let trouble = fleet::troubles(&plan).into_iter().next();
    Ok(Row {
        seed,
        served: played.counts().served_fraction(),
        broken: played.breaches.len() + usize::from(played.strangers > 0),
        conduct: trouble.map(|trouble| fleet::conduct(&played.log, &trouble)),
        cold: played.cold_peak(None),
        strayed: fleet::strayed(&plan, &played.log).len(),
    })
}

/// The figures of a row that a sweep compares, in the order of [`COLUMNS`]; none where there is no such thing.
pub fn figures(row: &Row) -> [Option<f64>; COLUMNS.len()] {
    let conduct = row.conduct.as_ref();
    let left = |share| {
        let spans = conduct
            .filter(|seen| seen.stayed == 0)
            .map(|seen| &seen.left_after);
        spans
            .and_then(|spans| fleet::at_share(spans, share))
            .map(|span| (span / MILLISECOND) as f64)
    };
    let ms = |span: Option<u64>| span.map(|span| (span / MILLISECOND) as f64);
    [
        Some(row.served),
        left(0.5),
        left(0.9),
        left(1.0),
        conduct.map(|seen| seen.spent as f64),
        conduct.map(|seen| seen.worst.0),
        ms(conduct.and_then(|seen| seen.half_back)),
        ms(conduct.and_then(|seen| seen.full_back)),
        conduct.map(|seen| seen.peak_elsewhere),
        Some(row.cold),
        Some(row.strayed as f64),
        Some(row.broken as f64),
    ]
}

/// What the figures are.
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

/// Least, middle and most of one column; `None` where a row lacks it, since that is no number.
pub fn spread(rows: &[Row], column: usize) -> Option<[f64; 3]> {
    let values: Option<Vec<f64>> = rows.iter().map(|row| figures(row)[column]).collect();
    let mut values = values.filter(|values| !values.is_empty())?;
    values.sort_by(f64::total_cmp);
    Some([
        values[0],
        values[(values.len() - 1) / 2],
        values[values.len() - 1],
    ])
}

//! `soak`: plays runs drawn from seeds in real time and checks the rules with the platform's own limits.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use badgerpost_scenarios::run::{RunError, RunReport, Verdict};
use badgerpost_scenarios::soak::Soak;
use badgerpost_time::MILLISECOND;

use crate::arguments::SoakArguments;
use crate::failure::Failure;
use crate::output::print_line;

/// At most one in this many runs may be without a verdict because the test kit itself was stalled.
const MIN_RUNS_PER_UNJUDGED_RUN: u64 = 20;

/// The number of runs by verdict.
#[derive(Clone, Copy, Default)]
struct VerdictCounts {
    kept: u64,
    broken: u64,
    not_judged: u64,
}

impl VerdictCounts {
    fn count(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Passed => self.kept += 1,
            Verdict::Failed => self.broken += 1,
            Verdict::Inconclusive => self.not_judged += 1,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            kept: self.kept + other.kept,
            broken: self.broken + other.broken,
            not_judged: self.not_judged + other.not_judged,
        }
    }

    fn is_good(self) -> bool {
        let runs = self.kept + self.broken + self.not_judged;
        self.broken == 0 && self.not_judged * MIN_RUNS_PER_UNJUDGED_RUN <= runs
    }
}

/// Plays each seed and prints what was drawn, the result and the details of each breach. Returns the exit code of a
/// failure if a rule was broken or too many runs were not judged.
pub(super) fn soak(arguments: &SoakArguments) -> Result<ExitCode, Failure> {
    let program = match &arguments.node {
        Some(path) => path.clone(),
        None => badgerpost_fakes::program("badgerpost")?,
    };
    let next_seed = AtomicU64::new(arguments.seeds.start);
    let verdicts = thread::scope(|scope| {
        let jobs: Vec<_> = (0..arguments.jobs.max(1))
            .map(|_| scope.spawn(|| run_seeds(&next_seed, arguments.seeds.end, &program)))
            .collect();
        let panicked = VerdictCounts {
            broken: 1,
            ..VerdictCounts::default()
        };
        let mut results = jobs
            .into_iter()
            .map(|job| job.join().unwrap_or(Ok(panicked)));
        results.try_fold(VerdictCounts::default(), |sum, job| {
            Ok::<_, RunError>(sum.plus(job?))
        })
    })?;
    let count = arguments.seeds.end - arguments.seeds.start;
    let VerdictCounts {
        kept,
        broken,
        not_judged,
    } = verdicts;
    print_line(&format!(
        "{count} seeds played: {kept} kept all rules, {broken} broke a rule, {not_judged} not judged"
    ))?;
    Ok(if verdicts.is_good() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Plays seeds until none is left.
fn run_seeds(next_seed: &AtomicU64, end: u64, program: &Path) -> Result<VerdictCounts, RunError> {
    let mut verdicts = VerdictCounts::default();
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return Ok(verdicts);
        }
        let soak = Soak::draw(seed)?;
        let result = soak.play(program.to_owned());
        verdicts.count(print_result(seed, &soak, result)?);
    }
}

/// Prints the result of a seed with a single write, so that concurrent results do not mix.
fn print_result(
    seed: u64,
    soak: &Soak,
    result: Result<RunReport, RunError>,
) -> Result<Verdict, RunError> {
    let drawn = soak.summary();
    let report = match result {
        Ok(report) => report,
        Err(error @ RunError::Crashed { .. }) => {
            print_line(&format!("seed {seed}: CRASHED: {error}\n  {drawn}"))?;
            return Ok(Verdict::Failed);
        }
        Err(error) => return Err(error),
    };
    let counts = report.counts();
    let verdict = match report.verdict() {
        Verdict::Passed => "kept",
        Verdict::Failed => "BROKEN",
        Verdict::Inconclusive => "not judged",
    };
    let mut lines = vec![
        format!(
            "seed {seed}: {verdict}; {} requests: {} served, {} refused, {} failed, {} without a response; \
             peak load in slow start: {:.2} times the capacity; the test kit was stalled for {} ms",
            counts.requests,
            counts.served,
            counts.rejected,
            counts.failed,
            counts.unanswered,
            report.cold_peak(None),
            report.longest_stall / MILLISECOND
        ),
        format!("  {drawn}"),
    ];
    lines.extend(
        Soak::breach_details(&report)
            .into_iter()
            .map(|line| format!("  {line}")),
    );
    print_line(&lines.join("\n"))?;
    Ok(report.verdict())
}

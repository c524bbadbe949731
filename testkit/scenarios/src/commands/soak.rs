//! `soak`: plays runs drawn from seeds in real time, and checks the rules to the letter of the platform's pages.

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

/// One run in this many may not be judged, because the test kit itself stood still.
const RUNS_PER_UNJUDGED: u64 = 20;

/// How many runs ended in which way.
#[derive(Clone, Copy, Default)]
struct Verdicts {
    kept: u64,
    broken: u64,
    not_judged: u64,
}

impl Verdicts {
    fn count(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Kept => self.kept += 1,
            Verdict::Broken => self.broken += 1,
            Verdict::NotJudged => self.not_judged += 1,
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
        self.broken == 0 && self.not_judged * RUNS_PER_UNJUDGED <= runs
    }
}

/// Plays each seed, and prints what was drawn, what came of it, and the way of each request that broke a rule. Fails if
/// there is one, or if too many runs could not be judged.
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
        let panicked = Verdicts {
            broken: 1,
            ..Verdicts::default()
        };
        let mut results = jobs
            .into_iter()
            .map(|job| job.join().unwrap_or(Ok(panicked)));
        results.try_fold(Verdicts::default(), |sum, job| {
            Ok::<_, RunError>(sum.plus(job?))
        })
    })?;
    let count = arguments.seeds.end - arguments.seeds.start;
    let Verdicts {
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

/// Plays seeds until there are no more.
fn run_seeds(next_seed: &AtomicU64, end: u64, program: &Path) -> Result<Verdicts, RunError> {
    let mut verdicts = Verdicts::default();
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

/// Prints the result of a seed in one piece.
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
            return Ok(Verdict::Broken);
        }
        Err(error) => return Err(error),
    };
    let counts = report.counts();
    let verdict = match report.verdict() {
        Verdict::Kept => "kept",
        Verdict::Broken => "BROKEN",
        Verdict::NotJudged => "not judged",
    };
    let mut lines = vec![
        format!(
            "seed {seed}: {verdict}; {} requests: {} served, {} refused, {} failed, {} without an answer; \
             most in slow start: {:.2} of the capacity; the kit stood still for {} ms",
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
            .map(|way| format!("  {way}")),
    );
    print_line(&lines.join("\n"))?;
    Ok(report.verdict())
}

//! `soak`: plays runs drawn from seeds in real time, and checks the rules to the letter of the platform's pages.

use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use badgerpost_scenarios::run::{RunError, RunReport};
use badgerpost_scenarios::soak::Soak;

use crate::arguments::SoakArguments;
use crate::failure::Failure;
use crate::output::print_line;

/// Plays each seed, and prints what was drawn, what came of it, and the way of each request that broke a rule. Fails if
/// there is one.
pub(super) fn soak(arguments: &SoakArguments) -> Result<ExitCode, Failure> {
    let program = match &arguments.node {
        Some(path) => path.clone(),
        None => badgerpost_fakes::program("badgerpost")?,
    };
    let next_seed = AtomicU64::new(arguments.seeds.start);
    let failed = thread::scope(|scope| {
        let jobs: Vec<_> = (0..arguments.jobs.max(1))
            .map(|_| scope.spawn(|| run_seeds(&next_seed, arguments.seeds.end, &program)))
            .collect();
        let results = jobs.into_iter().map(|job| job.join().unwrap_or(Ok(1)));
        results.sum::<Result<u64, RunError>>()
    })?;
    let count = arguments.seeds.end - arguments.seeds.start;
    print_line(&format!("{count} seeds played, {failed} broke a rule"))?;
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Plays seeds until there are no more; returns how many of them broke a rule.
fn run_seeds(next_seed: &AtomicU64, end: u64, program: &Path) -> Result<u64, RunError> {
    let mut failed = 0;
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return Ok(failed);
        }
        let soak = Soak::draw(seed)?;
        let result = soak.play(program.to_owned());
        failed += u64::from(!print_result(seed, &soak, result)?);
    }
}

/// Prints the result of a seed in one piece; returns whether all rules held.
fn print_result(
    seed: u64,
    soak: &Soak,
    result: Result<RunReport, RunError>,
) -> Result<bool, RunError> {
    let drawn = soak.summary();
    let report = match result {
        Ok(report) => report,
        Err(error @ RunError::Crashed { .. }) => {
            print_line(&format!("seed {seed}: CRASHED: {error}\n  {drawn}"))?;
            return Ok(false);
        }
        Err(error) => return Err(error),
    };
    let counts = report.counts();
    let verdict = if report.is_good() { "kept" } else { "BROKEN" };
    let mut lines = vec![
        format!(
            "seed {seed}: {verdict}; {} requests: {} served, {} refused, {} failed, {} without an answer; \
             most in slow start: {:.2} of the capacity",
            counts.requests,
            counts.served,
            counts.rejected,
            counts.failed,
            counts.unanswered,
            report.cold_peak(None)
        ),
        format!("  {drawn}"),
    ];
    lines.extend(
        Soak::ways(&report)
            .into_iter()
            .map(|way| format!("  {way}")),
    );
    print_line(&lines.join("\n"))?;
    Ok(report.is_good())
}

//! The `run` command for PostgreSQL scenarios.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use badgerpost_scenarios::postgres::consistency::{ClientOutcome, TransactionRecord};
use badgerpost_scenarios::postgres::{self, PgRunReport, PgScenario};

use crate::arguments::RunArguments;
use crate::failure::Failure;
use crate::output::{percent_bar, print_line, show_progress, write_file};

/// The exit code if the node exited during the run.
const EXIT_CRASHED: u8 = 2;

/// Upper bound of the violations that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Runs the scenario in real time and prints a summary. The exit code reports a failure if an outcome that a client
/// received contradicts the stored rows, or if the scenario's expectations are not met.
pub(super) fn run(
    name: &str,
    scenario: &PgScenario,
    arguments: &RunArguments,
) -> Result<ExitCode, Failure> {
    let program = arguments.program.path()?;
    let bar = percent_bar();
    let report = postgres::run(scenario, arguments.seed, &program, &mut |done| {
        show_progress(&bar, done);
    })?;
    bar.finish_and_clear();
    if let Some(path) = &arguments.out {
        write_log(path, &report.transactions)?;
    }
    if let Some(crash) = &report.crash {
        eprintln!("{crash}");
        return Ok(ExitCode::from(EXIT_CRASHED));
    }
    print_line(&format!(
        "scene {name}, seed {}, in real time; node {}",
        arguments.seed,
        program.display()
    ))?;
    print_results(&report.transactions)?;
    print_durations(&report)?;
    let verdict = Verdict::of(scenario, &report);
    verdict.print(&report)?;
    Ok(verdict.exit_code())
}

/// Writes one line of JSON for each transaction.
fn write_log(path: &Path, transactions: &[TransactionRecord]) -> Result<(), Failure> {
    let lines = transactions.iter().map(serde_json::to_string);
    let lines = lines.collect::<Result<Vec<_>, _>>()?;
    write_file(path, &(lines.join("\n") + "\n"))
}

/// Prints the number of transactions by outcome and driver.
fn print_results(transactions: &[TransactionRecord]) -> io::Result<()> {
    let mut counts = BTreeMap::<(ClientOutcome, &str), usize>::new();
    for transaction in transactions {
        *counts
            .entry((transaction.outcome, transaction.driver))
            .or_default() += 1;
    }
    for ((outcome, driver), count) in &counts {
        print_line(&format!("{count:8} {outcome} by {driver}"))?;
    }
    Ok(())
}

fn print_durations(report: &PgRunReport) -> io::Result<()> {
    let mut durations: Vec<u64> = report
        .transactions
        .iter()
        .map(|transaction| transaction.duration_us)
        .collect();
    durations.sort_unstable();
    print_line(&format!(
        "{} transactions in {:.1} s; p50 {} us, p99 {} us, longest {} us",
        durations.len(),
        report.duration.as_secs_f64(),
        quantile(&durations, 0.5),
        quantile(&durations, 0.99),
        quantile(&durations, 1.0)
    ))?;
    print_line(&format!(
        "{} kills; {} drains, {} transactions begun after the grace period",
        report.kills, report.drains.drains, report.drains.late_transactions
    ))
}

/// The value below which this fraction of the sorted values lies; 0 if there are none.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "an index into the values, rounded down; below 0, which is 0, only without values"
)]
fn quantile(sorted: &[u64], fraction: f64) -> u64 {
    let index = ((sorted.len() as f64 - 1.0) * fraction) as usize;
    sorted.get(index).copied().unwrap_or(0)
}

/// The checks of a run: the node's correctness and the scenario's expectations.
struct Verdict {
    /// Every outcome agrees with the stored rows, and no transaction began after the grace period of a drain.
    is_correct: bool,
    /// At least the expected numbers of crashes and drains occurred, and the expected fraction was committed.
    meets_expectations: bool,
    committed_fraction: f64,
}

impl Verdict {
    fn of(scenario: &PgScenario, report: &PgRunReport) -> Self {
        let committed = report
            .transactions
            .iter()
            .filter(|transaction| transaction.outcome == ClientOutcome::Committed)
            .count();
        let committed_fraction = committed as f64 / report.transactions.len().max(1) as f64;
        let drains = report.drains;
        let enough_kills = scenario
            .kills
            .is_none_or(|kills| report.kills >= kills.least);
        let enough_drains = scenario
            .drains
            .is_none_or(|expected| drains.drains >= expected.least);
        let enough_committed = committed_fraction >= scenario.expect.committed;
        Self {
            is_correct: report.violations.is_empty() && drains.late_transactions == 0,
            meets_expectations: enough_kills && enough_drains && enough_committed,
            committed_fraction,
        }
    }

    fn print(&self, report: &PgRunReport) -> io::Result<()> {
        for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
            print_line(&format!(
                "transaction {}: {}",
                violation.id, violation.problem
            ))?;
        }
        let verdict = match (self.is_correct, self.meets_expectations) {
            (true, true) => "good",
            (true, false) => "less than expected",
            (false, _) => "BROKEN",
        };
        print_line(&format!(
            "{verdict}: {} findings, {:.1}% committed",
            report.violations.len(),
            self.committed_fraction * 100.0
        ))
    }

    fn exit_code(&self) -> ExitCode {
        if self.is_correct && self.meets_expectations {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

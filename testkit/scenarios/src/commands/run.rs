//! `run`: plays a scenario to its end and checks the rules.

use std::process::ExitCode;

use badgerpost_scenarios::plan::Plan;
use badgerpost_scenarios::run::{self, RunReport};
use badgerpost_scenarios::{fleet, outcome, plot, scenario};

use super::summary::print_summary;
use crate::arguments::RunArguments;
use crate::failure::Failure;
use crate::output::{percent_bar, show_progress, write_file};

/// Plays the scenario or repro file, writes the requested files and prints the summary. Returns the exit code of a failure
/// if a rule was broken or an expectation was not met.
pub(super) fn run(arguments: &RunArguments) -> Result<ExitCode, Failure> {
    let plan = match &arguments.repro {
        Some(file) => Plan::from_repro(file)?,
        None => {
            let name = arguments.scenario.as_deref().unwrap_or_default();
            Plan::draw(scenario::find(name)?, arguments.seed)
        }
    };
    let options = arguments.program.options(arguments.real_time, 0)?;
    let bar = percent_bar();
    let report = run::play(&plan, &options, &mut |done| show_progress(&bar, done))?;
    bar.finish_and_clear();
    write_files(&plan, &report, arguments)?;
    let unmet = fleet::unmet_expectations(&plan, &report);
    print_summary(&plan, &options, &report, &unmet)?;
    Ok(if report.is_good() && unmet.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Writes the outcome log, the plot and the nodes' logs, as requested by the arguments.
fn write_files(plan: &Plan, report: &RunReport, arguments: &RunArguments) -> Result<(), Failure> {
    if let Some(path) = &arguments.out {
        write_file(path, &outcome::write(&report.log)?)?;
    }
    if let Some(path) = &arguments.plot {
        plot::draw(plan, &report.log, path).map_err(Failure::Plot)?;
    }
    if let Some(path) = &arguments.logs {
        let logs = report
            .logs
            .iter()
            .map(|(name, log)| format!("{name}:\n{log}"));
        write_file(path, &logs.collect::<String>())?;
    }
    Ok(())
}

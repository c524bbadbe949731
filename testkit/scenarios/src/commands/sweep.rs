//! `sweep`: plays a scenario with many seeds and prints the spread of each measure.

use std::process::ExitCode;

use badgerpost_scenarios::sweep::{self, COLUMNS, Spread};

use crate::arguments::SweepArguments;
use crate::failure::Failure;
use crate::output::print_line;

/// Plays the scenario with each seed and prints the spread of each measure. Returns the exit code of a failure if a rule
/// was broken.
pub(super) fn sweep(arguments: SweepArguments) -> Result<ExitCode, Failure> {
    let options = arguments.program.options(false, 0)?;
    let results = sweep::sweep(
        &arguments.scenario,
        arguments.seeds,
        arguments.jobs,
        &options,
    )?;
    print_line(&format!(
        "scene {}, {} seeds; minimum, median, maximum",
        arguments.scenario,
        results.len()
    ))?;
    for (column, name) in COLUMNS.iter().enumerate() {
        let figures = match sweep::spread(&results, column) {
            Some(Spread { min, median, max }) => format!("{min:10.3} {median:10.3} {max:10.3}"),
            None => "not in every run".to_owned(),
        };
        print_line(&format!("{name:14} {figures}"))?;
    }
    let has_broken_rule = results.iter().any(|result| result.breaches > 0);
    Ok(if has_broken_rule {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

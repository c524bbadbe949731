//! `sweep`: a scene under many seeds, and the spread of each figure.

use std::process::ExitCode;

use badgerpost_scenarios::sweep::{self, COLUMNS};

use crate::arguments::SweepArguments;
use crate::failure::Failure;
use crate::output::print_line;

/// Plays the scene and prints the least, middle and most of each figure.
pub(super) fn sweep(arguments: SweepArguments) -> Result<ExitCode, Failure> {
    let options = arguments.program.options(false, 0)?;
    let rows = sweep::sweep(&arguments.scene, arguments.seeds, arguments.jobs, &options)?;
    print_line(&format!(
        "scene {}, {} seeds; least, middle, most",
        arguments.scene,
        rows.len()
    ))?;
    for (column, name) in COLUMNS.iter().enumerate() {
        let figures = match sweep::spread(&rows, column) {
            Some(spread) => spread.map(|value| format!("{value:10.3}")).join(" "),
            None => "not in every run".to_owned(),
        };
        print_line(&format!("{name:14} {figures}"))?;
    }
    let has_broken_rule = rows.iter().any(|row| row.broken > 0);
    Ok(if has_broken_rule {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

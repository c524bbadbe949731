//! The `measure-postgres` command: benchmark of the PostgreSQL front end.

use std::io;
use std::process::ExitCode;

use badgerpost_scenarios::postgres::measure::{self, Figure};

use crate::arguments::MeasureArguments;
use crate::failure::Failure;
use crate::output::print_line;

/// Runs the benchmark and prints each figure when its measurement is complete. The benchmark continues after an output
/// error; the first such error is returned.
pub(super) fn measure(arguments: &MeasureArguments) -> Result<ExitCode, Failure> {
    let program = arguments.program.path()?;
    let mut printed: io::Result<()> = Ok(());
    measure::measure(&program, arguments.silent, &mut |figure: Figure| {
        let outcome = print_line(&format!("{}: {}", figure.name, figure.value));
        if printed.is_ok() {
            printed = outcome;
        }
    })?;
    printed?;
    Ok(ExitCode::SUCCESS)
}

//! `measure-postgres`: the costs of the PostgreSQL front end.

use std::io;
use std::process::ExitCode;

use badgerpost_scenarios::postgres::measure::{self, Figure};

use crate::arguments::MeasureArguments;
use crate::failure::Failure;
use crate::output::print_line;

/// Measures, and prints each figure once it is known. Printing goes on after it has failed; the first error is returned.
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

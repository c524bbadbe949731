//! The subcommands, one module each.

mod hunt;
mod list;
mod measure_postgres;
mod run;
mod run_postgres;
mod soak;
mod summary;
mod sweep;
mod up;
mod up_postgres;

use std::process::ExitCode;

use badgerpost_scenarios::postgres;

use crate::arguments::{Command, RunArguments, UpArguments};
use crate::failure::Failure;

/// Executes a subcommand and returns the exit code of the program.
pub(crate) fn execute(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Up(arguments) => up(&arguments),
        Command::Run(arguments) => run(&arguments),
        Command::Hunt(arguments) => hunt::hunt(&arguments),
        Command::Sweep(arguments) => sweep::sweep(arguments),
        Command::Soak(arguments) => soak::soak(&arguments),
        Command::MeasurePostgres(arguments) => measure_postgres::measure(&arguments),
        Command::List => list::list(),
    }
}

/// Starts the PostgreSQL scenario of this name if there is one, or else an HTTP scenario.
fn up(arguments: &UpArguments) -> Result<ExitCode, Failure> {
    match postgres::find(&arguments.scenario) {
        Some(scenario) => up_postgres::up(&scenario?, arguments.port, &arguments.program.path()?),
        None => up::up(arguments),
    }
}

/// Plays the PostgreSQL scenario of this name if there is one, or else an HTTP scenario or a repro file.
fn run(arguments: &RunArguments) -> Result<ExitCode, Failure> {
    if arguments.repro.is_none()
        && let Some(name) = &arguments.scenario
        && let Some(scenario) = postgres::find(name)
    {
        return run_postgres::run(name, &scenario?, arguments);
    }
    run::run(arguments)
}

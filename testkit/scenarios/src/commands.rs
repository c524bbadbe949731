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

/// Executes a subcommand. Returns the program's exit code.
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

/// Starts a scenario of PostgreSQL, if there is one of this name, or one of HTTP.
fn up(arguments: &UpArguments) -> Result<ExitCode, Failure> {
    match postgres::find(&arguments.scenario) {
        Some(scene) => up_postgres::up(&scene?, arguments.port, &arguments.program.path()?),
        None => up::up(arguments),
    }
}

/// Plays a scenario of PostgreSQL, if there is one of this name, or one of HTTP.
fn run(arguments: &RunArguments) -> Result<ExitCode, Failure> {
    if arguments.repro.is_none()
        && let Some(name) = &arguments.scenario
        && let Some(scene) = postgres::find(name)
    {
        return run_postgres::run(name, &scene?, arguments);
    }
    run::run(arguments)
}

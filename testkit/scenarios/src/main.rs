//! The program `badgerpost-rehearse`, which plays scenarios against the daemon. This crate holds the command line.

mod arguments;
mod commands;
mod failure;
mod output;
mod stay;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::Arguments;

/// The exit code of a command that ends without a verdict.
const EXIT_NO_VERDICT: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match commands::execute(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("badgerpost-rehearse: {error}");
            ExitCode::from(EXIT_NO_VERDICT)
        }
    }
}

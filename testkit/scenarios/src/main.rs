//! badgerpost-rehearse: the command line.

mod arguments;
mod commands;
mod failure;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::Arguments;
use crate::commands::carry_out;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match carry_out(arguments.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("badgerpost-rehearse: {error}");
            ExitCode::from(2)
        }
    }
}

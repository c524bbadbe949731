//! Runs instances of `badgerpost-balancer` for the simulator: reads batches of messages from standard input and
//! writes the replies to standard output. The program translates names and messages; the balancer makes all
//! decisions.

mod error;
mod host;
mod instance;
mod name_ids;
mod session;
mod wire;

use std::io::{self, BufWriter};
use std::process::ExitCode;

use session::Session;

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = BufWriter::new(io::stdout().lock());
    match Session::new(output).run(input) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("badgerpost-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

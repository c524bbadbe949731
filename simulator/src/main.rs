//! Puts `badgerpost-balancer` on the simulator's protocol: reads batches of messages from standard input, writes the
//! replies to standard output. It translates names and messages and decides nothing.

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

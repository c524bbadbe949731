//! Errors that end the program. Invalid input is a bug in the simulator or in this program, so the program recovers
//! from no error.

use std::io;

use badgerpost_settings::ObjectError;

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// Standard input can't be read.
    #[error("reading standard input failed: {0}")]
    Input(#[source] io::Error),
    /// Standard output can't be written.
    #[error("writing standard output failed: {0}")]
    Output(#[source] io::Error),
    /// A line of input is invalid.
    #[error("line {line}: {problem}")]
    Line {
        /// The number of the line, from 1.
        line: u64,
        /// What is wrong with the line.
        #[source]
        problem: LineError,
    },
}

/// What is wrong with a line of input.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not JSON.
    #[error("invalid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is not an object with the message's name as its only key.
    #[error("expected an object with the message's name as its only key")]
    NotAMessage,
    /// The message's body, or one of its fields, is missing or invalid.
    #[error(transparent)]
    Body(#[from] ObjectError),
}

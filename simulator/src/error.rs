//! Errors that end the program. The simulator's input is either right or a bug on one of the two sides, so no error
//! is recovered from.

use std::io;

use badgerpost_settings::ObjectError;

/// Why the program ends.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// Standard input can't be read.
    #[error("standard input: {0}")]
    Input(#[source] io::Error),
    /// Standard output can't be written.
    #[error("standard output: {0}")]
    Output(#[source] io::Error),
    /// A line of input can't be used.
    #[error("line {line}: {problem}")]
    Line {
        /// The line, from 1.
        line: u64,
        /// What is wrong with it.
        #[source]
        problem: LineError,
    },
}

/// What is wrong with a line of input.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It is not JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// It is not an object with the message's name as its only key.
    #[error("not an object with a single key")]
    NotAMessage,
    /// The message's body, or one of its fields, can't be used.
    #[error(transparent)]
    Body(#[from] ObjectError),
}

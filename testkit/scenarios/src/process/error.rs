//! Errors of starting and controlling a node's process.

use std::io;
use std::path::PathBuf;

use super::RESPONSE_TIMEOUT;

/// An error of a node's process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program can't be started or read.
    #[error("can't start or read the node's program {}: {source}", program.display())]
    Start {
        /// The path of the program.
        program: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// A file, socket or system call that the test kit needs for the node failed.
    #[error(
        "node {name}: setting up its files, control connection or system-call faults failed: {source}"
    )]
    System {
        /// The node's name.
        name: String,
        /// The underlying error.
        source: io::Error,
    },
    /// The node exited or the time limit ended before the node listened.
    #[error("node {name} exited or did not listen within {} s; its log:\n{log}", RESPONSE_TIMEOUT.as_secs())]
    NotReady {
        /// The node's name.
        name: String,
        /// The last lines of the node's log.
        log: String,
    },
    /// The node did not become idle in time.
    #[error("node {name} did not become idle within {} s of a step; its log:\n{log}", RESPONSE_TIMEOUT.as_secs())]
    Stalled {
        /// The node's name.
        name: String,
        /// The last lines of the node's log.
        log: String,
    },
    /// The node sent a malformed message on the control connection.
    #[error(
        "node {name} sent a malformed line on its control connection: {source}; its log:\n{log}"
    )]
    Control {
        /// The node's name.
        name: String,
        /// The parse error of the line.
        source: badgerpost_virtual_clock::MalformedLine,
        /// The last lines of the node's log.
        log: String,
    },
}

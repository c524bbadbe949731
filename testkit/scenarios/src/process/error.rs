//! Failures of a node's process.

use std::io;
use std::path::PathBuf;

use super::PATIENCE;

/// Why a node's process is of no use.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It can't be started.
    #[error("can't start {}: {source}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// What happened.
        source: io::Error,
    },
    /// Something else that the kit needs fails.
    #[error("node {name}: {source}")]
    System {
        /// The node.
        name: String,
        /// What happened.
        source: io::Error,
    },
    /// It does not say that it serves.
    #[error("node {name} did not start to serve; its log:\n{log}")]
    NotReady {
        /// The node.
        name: String,
        /// What it logged.
        log: String,
    },
    /// It does not come to rest.
    #[error("node {name} did not come to rest within {} s; its log:\n{log}", PATIENCE.as_secs())]
    Stalled {
        /// The node.
        name: String,
        /// What it logged.
        log: String,
    },
    /// It says what the kit does not understand.
    #[error("node {name}: {source}; its log:\n{log}")]
    Control {
        /// The node.
        name: String,
        /// What it said.
        source: badgerpost_virtual_clock::MalformedLine,
        /// What it logged.
        log: String,
    },
}

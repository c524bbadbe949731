//! Errors that leave a run without a verdict.

use std::net::SocketAddr;

use badgerpost_time::{MILLISECOND, Nanos};

use crate::process::ProcessError;

/// The reason why a run has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A node's process could not be started or controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A node's process exited unexpectedly.
    #[error("node {name} crashed ({status}) {} ms into the scenario; its log:\n{log}", at / MILLISECOND)]
    Crashed {
        /// The node's name.
        name: String,
        /// The exit status.
        status: String,
        /// The time since the start of the scenario.
        at: Nanos,
        /// The last lines of the node's log.
        log: String,
    },
    /// A node's port can't be reserved.
    #[error("can't listen at {at}: {source}")]
    Port {
        /// The address.
        at: SocketAddr,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A scenario file can't be read.
    #[error(transparent)]
    Scenario(#[from] badgerpost_settings::file::FileError),
    /// A fake could not be set up, or a client of the test kit failed.
    #[error("{0}")]
    Environment(String),
    /// A socket, file or system call of the test kit failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The run on virtual time does not end: nothing is scheduled, or the nodes take too many steps.
    #[error("the scenario does not end: {0}")]
    NoProgress(&'static str),
}

//! Reasons for which a run has no verdict.

use std::net::SocketAddr;

use badgerpost_time::{MILLISECOND, Nanos};

use crate::process::ProcessError;

/// Why a run has no verdict.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A node's process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// It crashed.
    #[error("node {name} crashed ({status}) {} ms into the scene; its log:\n{log}", at / MILLISECOND)]
    Crashed {
        /// The node.
        name: String,
        /// How it ended.
        status: String,
        /// When.
        at: Nanos,
        /// What it logged.
        log: String,
    },
    /// A node's port is not to be had.
    #[error("can't listen at {at}: {source}")]
    Port {
        /// The address.
        at: SocketAddr,
        /// What happened.
        source: std::io::Error,
    },
    /// A shipped scene can't be read.
    #[error(transparent)]
    Scenario(#[from] badgerpost_settings::file::FileError),
    /// The stage can't be set, or a client of the kit's own broke.
    #[error("{0}")]
    Environment(String),
    /// Sockets or files.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// Nothing moves any more, or it moves on for ever.
    #[error("the scene does not come to its end: {0}")]
    NoProgress(&'static str),
}

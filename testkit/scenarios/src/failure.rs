//! The errors that end the program without a verdict.

use std::path::PathBuf;

use badgerpost_scenarios::plan::ReproError;
use badgerpost_scenarios::run::RunError;

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] badgerpost_settings::file::FileError),
    /// The repro file is invalid.
    #[error(transparent)]
    Repro(#[from] ReproError),
    /// The run has no verdict.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The node's program is not built.
    #[error(transparent)]
    NotBuilt(#[from] badgerpost_fakes::NotBuilt),
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// Any other system call has failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The log can't be written as JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The plot can't be drawn.
    #[error("can't draw: {0}")]
    Plot(Box<dyn std::error::Error>),
    /// The requested number of nodes is 0, or above the scenario's.
    #[error("the scene has {available} nodes")]
    NodeCount { available: usize },
}

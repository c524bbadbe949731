//! Errors that end the program without a verdict.

use std::path::PathBuf;

use badgerpost_scenarios::plan::ReproError;
use badgerpost_scenarios::run::RunError;

/// Why a command ended without a verdict.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    /// The scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] badgerpost_settings::file::FileError),
    /// The repro file is invalid.
    #[error(transparent)]
    Repro(#[from] ReproError),
    /// The run ended without a verdict.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The node's program is not built.
    #[error(transparent)]
    NotBuilt(#[from] badgerpost_fakes::NotBuilt),
    /// A file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// Another I/O operation failed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The outcome log or the repro file cannot be serialized.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The plot cannot be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(Box<dyn std::error::Error>),
    /// The requested number of nodes is 0 or above the number of the scenario's nodes.
    #[error("the scene has {available} nodes")]
    NodeCount { available: usize },
}

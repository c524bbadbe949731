//! Errors that end the program without a verdict.

use std::path::PathBuf;

use badgerpost_scenarios::run::RunError;

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failure {
    #[error(transparent)]
    Scene(#[from] badgerpost_settings::file::FileError),
    #[error(transparent)]
    Repro(#[from] badgerpost_scenarios::plan::ReproError),
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    NotBuilt(#[from] badgerpost_fakes::NotBuilt),
    #[error("{}: {source}", path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("can't draw: {0}")]
    Plot(Box<dyn std::error::Error>),
    #[error("the scene has {0} nodes")]
    Nodes(usize),
}

//! Standard output, files and the progress bar.

use std::io::{IsTerminal, Write};
use std::path::Path;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::failure::Failure;

/// One line on standard output; whoever has stopped reading it ends the program quietly.
pub(crate) fn say(line: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

pub(crate) fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|source| Failure::File {
        path: path.to_owned(),
        source,
    })
}

pub(crate) fn bar(steps: u64) -> ProgressBar {
    let target = if std::io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(steps), target);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg} {elapsed}");
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

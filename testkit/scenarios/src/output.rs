//! Output to standard output, files and progress bars.

use std::io::{self, IsTerminal, Write};
use std::path::Path;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::failure::Failure;

const PERCENT_STEPS: u64 = 100;

/// Prints a line on standard output and flushes it. Fails with an I/O error if the reader has closed the pipe.
pub(crate) fn print_line(line: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}

/// Writes a file. The error names the path.
pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|source| Failure::File {
        path: path.to_owned(),
        source,
    })
}

/// Creates a progress bar on standard error, which is hidden if standard error is not a terminal.
pub(crate) fn progress_bar(steps: u64) -> ProgressBar {
    let target = if io::stderr().is_terminal() {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(steps), target);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg} {elapsed}");
    style.map_or(bar.clone(), |style| bar.with_style(style))
}

/// Creates a progress bar in per cent.
pub(crate) fn percent_bar() -> ProgressBar {
    progress_bar(PERCENT_STEPS)
}

/// Sets a progress bar in per cent to a fraction between 0 and 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a percentage between 0 and 100, rounded down"
)]
pub(crate) fn show_progress(bar: &ProgressBar, fraction: f64) {
    let steps = PERCENT_STEPS as f64;
    bar.set_position((fraction * steps).min(steps) as u64);
}

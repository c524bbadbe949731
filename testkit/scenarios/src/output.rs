//! Standard output, files and the progress bar.

use std::io::{self, IsTerminal, Write};
use std::path::Path;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::failure::Failure;

/// The steps of a bar that shows per cent.
const PERCENT_STEPS: u64 = 100;

/// Prints a line on standard output. The error after its reader has gone ends the program quietly.
pub(crate) fn print_line(line: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}

/// Writes a file; the error names it.
pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|source| Failure::File {
        path: path.to_owned(),
        source,
    })
}

/// A progress bar on standard error, hidden if that is not a terminal.
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

/// A progress bar in per cent.
pub(crate) fn percent_bar() -> ProgressBar {
    progress_bar(PERCENT_STEPS)
}

/// Shows on a bar in per cent which fraction is done.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a percentage between 0 and 100, rounded down"
)]
pub(crate) fn show_progress(bar: &ProgressBar, done: f64) {
    let steps = PERCENT_STEPS as f64;
    bar.set_position((done * steps).min(steps) as u64);
}

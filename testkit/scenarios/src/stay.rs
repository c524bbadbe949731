//! Requests to stop a command that runs until it is stopped.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Whether the program was asked to stop.
#[derive(Clone)]
pub(crate) struct StopRequest(Arc<AtomicBool>);

impl StopRequest {
    /// Handles SIGINT and SIGTERM as requests to stop. Must be called before any child process is started, because an
    /// unhandled signal would end this program without stopping its children.
    pub(crate) fn on_signals() -> io::Result<Self> {
        let requested = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, requested.clone())?;
        }
        Ok(Self(requested))
    }

    /// Handles the end of standard input as a request to stop, unless standard input is `/dev/null`.
    pub(crate) fn on_end_of_input(&self) {
        if is_input_null() {
            return;
        }
        let requested = self.0.clone();
        thread::spawn(move || {
            let mut discarded = [0; 256];
            while io::stdin().read(&mut discarded).is_ok_and(|read| read > 0) {}
            requested.store(true, Ordering::SeqCst);
        });
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Whether standard input is `/dev/null`, as under a supervisor, where the end of input is no request to stop.
fn is_input_null() -> bool {
    use std::os::unix::fs::MetadataExt;
    let device = |path| std::fs::metadata(path).map(|metadata| metadata.rdev());
    match (device("/dev/stdin"), device("/dev/null")) {
        (Ok(input), Ok(null)) => input == null,
        _ => false,
    }
}

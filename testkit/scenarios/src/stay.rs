//! Waiting for the end of a command that stays until it is stopped.

use std::io::{self, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};

/// Whether the program was asked to end.
#[derive(Clone)]
pub(crate) struct StopRequest(Arc<AtomicBool>);

impl StopRequest {
    /// Handles the signals that ask for the end. To be called before any child is started: an unhandled signal would
    /// leave children behind.
    pub(crate) fn on_signals() -> io::Result<Self> {
        let requested = Arc::new(AtomicBool::new(false));
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, requested.clone())?;
        }
        Ok(Self(requested))
    }

    /// Lets the end of standard input ask for the end too, unless it is `/dev/null`.
    pub(crate) fn on_end_of_input(&self) {
        if input_is_null() {
            return;
        }
        let requested = self.0.clone();
        thread::spawn(move || {
            let mut ignored = [0; 256];
            while io::stdin().read(&mut ignored).is_ok_and(|read| read > 0) {}
            requested.store(true, Ordering::SeqCst);
        });
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Whether standard input is `/dev/null`, as under a supervisor: its end means nothing.
fn input_is_null() -> bool {
    use std::os::unix::fs::MetadataExt;
    let device = |path| std::fs::metadata(path).map(|metadata| metadata.rdev());
    match (device("/dev/stdin"), device("/dev/null")) {
        (Ok(input), Ok(null)) => input == null,
        _ => false,
    }
}

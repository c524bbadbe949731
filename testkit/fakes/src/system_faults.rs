//! Injects system call faults into a process under test: a preloaded library fails a share of the calls in ways that
//! Linux documents. A seed determines which calls fail, so that a run can be repeated.

mod request_log;
mod temporary_file;
mod wall_clock;

use std::ffi::OsString;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::process::Command;

pub use request_log::{LoggedCall, LoggedRequest, RequestLog};
use temporary_file::replace_file;
pub use wall_clock::WallClock;

/// The contents of the shared library, which `build.rs` builds.
const LIBRARY: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/libsystem_faults.so"));

/// A system call into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `recv`.
    Recv,
    /// `send` and `writev`.
    Send,
    /// `accept4`.
    Accept,
    /// `connect`, which fails at once.
    Connect,
    /// `getsockopt(SO_ERROR)`, which returns the result of a connect in progress.
    ConnectResult,
    /// `socket`.
    Socket,
    /// `bind` of a Unix socket, which creates a file.
    BindUnix,
    /// `epoll_wait`.
    EpollWait,
}

impl SystemCall {
    /// The name of the call in `BADGERPOST_FAULTS`.
    fn name(self) -> &'static str {
        match self {
            Self::Recv => "recv",
            Self::Send => "send",
            Self::Accept => "accept",
            Self::Connect => "connect",
            Self::ConnectResult => "so_error",
            Self::Socket => "socket",
            Self::BindUnix => "bind_unix",
            Self::EpollWait => "epoll",
        }
    }
}

/// The fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The call transfers at most 40 bytes.
    Short,
    /// The call starts 150 ms late.
    Delay,
    /// The call fails with the error of this name, such as `EINTR`.
    Error(&'static str),
}

impl fmt::Display for CallFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Delay => "hold",
            Self::Error(name) => name,
        })
    }
}

/// The faults that are injected into one process, and the process's wall clock and request log.
#[derive(Clone, Debug, Default)]
pub struct SystemFaults {
    seed: u64,
    /// Entries of `BADGERPOST_FAULTS`, in the form `call:fault=permille`.
    entries: Vec<String>,
    wall_clock: Option<PathBuf>,
    request_log: Option<PathBuf>,
}

impl SystemFaults {
    /// Creates an empty set of faults; the seed determines into which calls faults are injected.
    #[must_use]
    pub fn seeded(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Replaces the seed.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Adds a fault that is injected into `permille` of a thousand calls of this kind, on average.
    #[must_use]
    pub fn with(mut self, call: SystemCall, fault: CallFault, permille: u32) -> Self {
        self.entries
            .push(format!("{}:{fault}={permille}", call.name()));
        self
    }

    /// Whether [`CallFault::Delay`] is among the faults.
    #[must_use]
    pub fn has_delays(&self) -> bool {
        let delay = format!(":{}=", CallFault::Delay);
        self.entries.iter().any(|entry| entry.contains(&delay))
    }

    /// Makes the process read this wall clock instead of the system's.
    #[must_use]
    pub fn with_wall_clock(mut self, clock: &WallClock) -> Self {
        self.wall_clock = Some(clock.file().to_owned());
        self
    }

    /// Makes the process append the requests that it receives and sends to this log.
    #[must_use]
    pub fn with_request_log(mut self, log: &RequestLog) -> Self {
        self.request_log = Some(log.file().to_owned());
        self
    }

    /// Sets the environment variables that load and configure the library in a process to be started.
    ///
    /// # Errors
    ///
    /// The library cannot be written to the temporary folder.
    pub fn apply(&self, command: &mut Command) -> io::Result<()> {
        command
            .env("LD_PRELOAD", library_file()?)
            .env("BADGERPOST_FAULTS", self.entries.join(","))
            .env("BADGERPOST_FAULT_SEED", self.seed.to_string());
        if let Some(file) = &self.wall_clock {
            command.env("BADGERPOST_WALL_CLOCK", file);
        }
        if let Some(file) = &self.request_log {
            command.env("BADGERPOST_REQUEST_LOG", file);
        }
        Ok(())
    }
}

impl fmt::Display for SystemFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (seed {})", self.entries.join(","), self.seed)
    }
}

/// The path of a file with the library, which is written unless it exists. The name contains a hash of the library, so
/// that different builds do not share a file.
fn library_file() -> io::Result<OsString> {
    let hash = LIBRARY.iter().fold(0u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let file = std::env::temp_dir().join(format!("badgerpost-system-faults-{hash:016x}.so"));
    if !file.exists() {
        replace_file(&file, LIBRARY)?;
    }
    Ok(file.into_os_string())
}

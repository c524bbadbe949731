//! Faults of system calls, and a wall clock that steps, for a process under test: a small library that is preloaded
//! into it fails a share of its calls as Linux documents. Seeded, so that a run's draws can be had again.

use std::ffi::OsString;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// The library, built by `build.rs`.
const LIBRARY: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/libsystem_faults.so"));

/// A system call that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `recv`.
    Recv,
    /// `send` and `writev`.
    Send,
    /// `accept4`.
    Accept,
    /// `connect`, at once.
    Connect,
    /// What became of a connect, told later by `getsockopt(SO_ERROR)`.
    ConnectLater,
    /// `socket`.
    Socket,
    /// `bind` of a Unix socket, which makes a file.
    BindUnix,
    /// `epoll_wait`.
    EpollWait,
}

impl Call {
    fn name(self) -> &'static str {
        match self {
            Self::Recv => "recv",
            Self::Send => "send",
            Self::Accept => "accept",
            Self::Connect => "connect",
            Self::ConnectLater => "so_error",
            Self::Socket => "socket",
            Self::BindUnix => "bind_unix",
            Self::EpollWait => "epoll",
        }
    }
}

/// What a call meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It moves 40 bytes at most.
    Short,
    /// It begins 150 ms late.
    Hold,
    /// It fails with the error of this name, such as `EINTR`.
    Error(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Hold => "hold",
            Self::Error(name) => name,
        })
    }
}

/// Faults for one process.
#[derive(Clone, Debug, Default)]
pub struct SystemFaults {
    seed: u64,
    calls: Vec<String>,
    wall_clock: Option<PathBuf>,
}

impl SystemFaults {
    /// None so far; the seed drives which calls they strike.
    #[must_use]
    pub fn seeded(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// The same with another seed.
    #[must_use]
    pub fn reseeded(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// One more, in so many of a thousand calls.
    #[must_use]
    pub fn with(mut self, call: Call, fault: Fault, permille: u32) -> Self {
        self.calls
            .push(format!("{}:{fault}={permille}", call.name()));
        self
    }

    /// Whether some of its calls begin late.
    #[must_use]
    pub fn has_holds(&self) -> bool {
        let hold = format!(":{}=", Fault::Hold);
        self.calls.iter().any(|call| call.contains(&hold))
    }

    /// The process reads its wall clock through this one.
    #[must_use]
    pub fn on(mut self, clock: &WallClock) -> Self {
        self.wall_clock = Some(clock.file.clone());
        self
    }

    /// Sets the environment of a process that is about to start.
    ///
    /// # Errors
    ///
    /// The library can't be written.
    pub fn apply(&self, command: &mut Command) -> io::Result<()> {
        command
            .env("LD_PRELOAD", library()?)
            .env("BADGERPOST_FAULTS", self.calls.join(","))
            .env("BADGERPOST_FAULT_SEED", self.seed.to_string());
        if let Some(file) = &self.wall_clock {
            command.env("BADGERPOST_WALL_CLOCK", file);
        }
        Ok(())
    }
}

impl fmt::Display for SystemFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (seed {})", self.calls.join(","), self.seed)
    }
}

/// A wall clock that is ahead of the system's, by as much as is set. Its file goes with it.
#[derive(Debug)]
pub struct WallClock {
    file: PathBuf,
}

impl WallClock {
    /// One that is ahead by so many milliseconds; behind, where that is negative.
    ///
    /// # Errors
    ///
    /// Its file can't be written.
    pub fn ahead_by(milliseconds: i64) -> io::Result<Self> {
        let clock = Self {
            file: own_file("clock"),
        };
        clock.set(milliseconds)?;
        Ok(clock)
    }

    /// Steps it.
    ///
    /// # Errors
    ///
    /// Its file can't be written.
    pub fn set(&self, milliseconds: i64) -> io::Result<()> {
        replace(&self.file, milliseconds.to_string().as_bytes())
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Where the library stands: one file for each build of it.
fn library() -> io::Result<OsString> {
    let hash = LIBRARY.iter().fold(0u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let file = std::env::temp_dir().join(format!("badgerpost-system-faults-{hash:016x}.so"));
    if !file.exists() {
        replace(&file, LIBRARY)?;
    }
    Ok(file.into_os_string())
}

/// Writes a file so that nobody finds half of it.
fn replace(file: &Path, bytes: &[u8]) -> io::Result<()> {
    let new = own_file("new");
    std::fs::write(&new, bytes)?;
    std::fs::rename(new, file)
}

/// A path that nobody else uses.
fn own_file(kind: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("badgerpost-{}-{number}.{kind}", std::process::id()))
}

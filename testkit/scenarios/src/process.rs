//! A node's process: its configuration, its start, its log, its end, and the control connection by which its
//! clock is stepped.

mod edge;
mod error;
mod files;

use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::system_faults::SystemFaults;
use badgerpost_virtual_clock::{ControllerMessage, NodeMessage};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use badgerpost_time::Nanos;
pub use edge::edge_config;
pub use error::ProcessError;
pub use files::sha256;
use files::{private_folder, write_private_files};

/// Nothing that a node does at its start, or between two steps, takes longer, on a busy machine either.
const PATIENCE: Duration = Duration::from_secs(30);
/// What a process has logged before its end is here that soon after it.
const LAST_WORDS: Duration = Duration::from_secs(5);
/// So many lines of a node's log are kept, its last ones.
const LOG_LINES: usize = 400;
const LOG_LINE: u64 = 4096;

/// The last lines of a node's log, and where it has said that it listens.
#[derive(Default)]
struct Log {
    lines: VecDeque<String>,
    listens: Option<SocketAddr>,
    ended: bool,
}

/// A node's process; killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    log: Arc<(Mutex<Log>, Condvar)>,
    control: Option<BufReader<TcpStream>>,
    /// When it next waits for the time, on a stepped clock; Unix time.
    pub next_timer_at: Option<Nanos>,
    folder: PathBuf,
}

/// How a node is started.
pub struct StartOptions<'a> {
    /// The program.
    pub program: &'a Path,
    /// Its name.
    pub name: &'a str,
    /// What the platform tells it.
    pub edge_config: Value,
    /// The Unix time at which its stepped clock stands at first; none for the system's clock.
    pub virtual_clock_start: Option<Nanos>,
    /// More of the operators' own file: a text in TOML.
    pub operator_settings: String,
    /// Files that it names, with their texts; they lie beside it, mode 0600, and `{folder}` in the text is theirs.
    pub files: Vec<(&'static str, String)>,
    /// Faults of its system calls.
    pub system_faults: Option<SystemFaults>,
}

impl Process {
    /// Starts a node and waits until it serves.
    pub fn start(start: &StartOptions<'_>) -> Result<(Self, SocketAddr), ProcessError> {
        let (mut process, control) = Self::launch(start)?;
        let listens = match control {
            Some(listener) => process.welcome(&listener)?,
            None => process.wait_for_listen()?,
        };
        Ok((process, listens))
    }

    /// Starts a node on the system's clock and does not wait for it.
    pub fn start_in_background(start: &StartOptions<'_>) -> Result<Self, ProcessError> {
        Ok(Self::launch(start)?.0)
    }

    /// Where a node that was started in the background listens, once it does.
    pub fn listen_address(&mut self) -> Result<Option<SocketAddr>, ProcessError> {
        let listens = {
            let kept = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
            kept.listens
        };
        match listens {
            None if self.exit_status().is_some() => Err(self.not_ready()),
            listens => Ok(listens),
        }
    }

    /// Starts a node's process. Returns the listener for its control connection too, if it has one.
    fn launch(start: &StartOptions<'_>) -> Result<(Self, Option<TcpListener>), ProcessError> {
        let name = start.name.to_owned();
        let system = |source| ProcessError::System {
            name: start.name.to_owned(),
            source,
        };
        let folder = private_folder().map_err(system)?;
        let edge = folder.join("edge.json");
        std::fs::write(&edge, start.edge_config.to_string()).map_err(system)?;
        let mut command = Command::new(start.program);
        command
            .env("EDGE_CONFIG", &edge)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if let Some(faults) = &start.system_faults {
            faults.apply(&mut command).map_err(system)?;
        }
        let mut settings = start
            .operator_settings
            .replace("{folder}", &folder.to_string_lossy());
        write_private_files(&folder, &start.files).map_err(system)?;
        let control = match start.virtual_clock_start {
            Some(now) => Some(listen_for_control(&mut settings, now).map_err(system)?),
            None => None,
        };
        if !settings.is_empty() {
            let own = folder.join("badgerpost.toml");
            std::fs::write(&own, settings).map_err(system)?;
            command.arg("--config").arg(&own);
        }
        let started = command.spawn();
        let mut child = started.map_err(|source| ProcessError::Start {
            program: start.program.to_owned(),
            source,
        })?;
        let log = Arc::new((Mutex::new(Log::default()), Condvar::new()));
        if let Some(stderr) = child.stderr.take() {
            let kept = log.clone();
            thread::spawn(move || keep(stderr, &kept));
        }
        let process = Self {
            name,
            child,
            log,
            control: None,
            next_timer_at: None,
            folder,
        };
        Ok((process, control))
    }

    fn not_ready(&self) -> ProcessError {
        ProcessError::NotReady {
            name: self.name.clone(),
            log: self.log(),
        }
    }

    fn system(&self, source: io::Error) -> ProcessError {
        ProcessError::System {
            name: self.name.clone(),
            source,
        }
    }

    /// Waits for the control connection and its first line.
    fn welcome(&mut self, door: &TcpListener) -> Result<SocketAddr, ProcessError> {
        door.set_nonblocking(true)
            .map_err(|source| self.system(source))?;
        let began = Instant::now();
        let stream = loop {
            match door.accept() {
                Ok((stream, _)) => break stream,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(self.system(error)),
            }
            if began.elapsed() > PATIENCE || self.exit_status().is_some() {
                return Err(self.not_ready());
            }
            thread::sleep(Duration::from_millis(1));
        };
        let set = stream
            .set_nonblocking(false)
            .and_then(|()| stream.set_nodelay(true));
        set.and_then(|()| stream.set_read_timeout(Some(PATIENCE)))
            .map_err(|source| self.system(source))?;
        self.control = Some(BufReader::new(stream));
        match self.hear()? {
            Some(NodeMessage::Hello { listen, .. }) => Ok(listen),
            _ => Err(self.not_ready()),
        }
    }

    fn wait_for_listen(&mut self) -> Result<SocketAddr, ProcessError> {
        let (lock, changed) = &*self.log;
        let kept = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let waits = |kept: &mut Log| kept.listens.is_none() && !kept.ended;
        let waited = changed.wait_timeout_while(kept, PATIENCE, waits);
        let listens = waited.unwrap_or_else(PoisonError::into_inner).0.listens;
        listens.ok_or_else(|| self.not_ready())
    }

    /// The next line on the control connection; none where that has ended, and so the process.
    fn hear(&mut self) -> Result<Option<NodeMessage>, ProcessError> {
        let Some(control) = &mut self.control else {
            return Ok(None);
        };
        let mut line = String::new();
        match control.take(LOG_LINE).read_line(&mut line) {
            Ok(0) => Ok(None),
            Ok(_) => line.parse().map(Some).map_err(|source| {
                let (name, log) = (self.name.clone(), self.log());
                ProcessError::Control { name, source, log }
            }),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Err(ProcessError::Stalled {
                    name: self.name.clone(),
                    log: self.log(),
                })
            }
            Err(_) => Ok(None),
        }
    }

    /// Has the node run at this Unix time until nothing is ready. Returns how many bytes it has written to its
    /// sockets, and how many of its connections have ended since its start; none if its process has ended.
    pub fn step(
        &mut self,
        now: Nanos,
        bytes: u64,
        ended: u64,
    ) -> Result<Option<(u64, u64)>, ProcessError> {
        let Some(control) = &mut self.control else {
            return Ok(None);
        };
        let line = ControllerMessage::Step { now, bytes, ended }.to_string();
        if control.get_mut().write_all(line.as_bytes()).is_err() {
            return Ok(None);
        }
        match self.hear()? {
            Some(NodeMessage::Idle {
                next,
                written,
                ended,
                ..
            }) => {
                self.next_timer_at = next;
                Ok(Some((written, ended)))
            }
            Some(NodeMessage::Hello { .. }) | None => Ok(None),
        }
    }

    /// Its exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end, and for its last words in the log.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(status) = self.exit_status() {
                let (lock, changed) = &*self.log;
                let kept = lock.lock().unwrap_or_else(PoisonError::into_inner);
                // A child of its own that lives on would keep the log open; there is none, but the wait is bounded.
                let _ = changed.wait_timeout_while(kept, LAST_WORDS, |kept| !kept.ended);
                return Some(status);
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// Its process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        // One that has ended and was not waited for yet takes signals without effect.
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Where it says that it listens for this kind of clients, once it does.
    pub fn wait_for_logged_address(&mut self, what: &str) -> Result<SocketAddr, ProcessError> {
        let began = Instant::now();
        while began.elapsed() < PATIENCE && self.exit_status().is_none() {
            let kept = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
            let line = kept.lines.iter().find(|line| line.contains(what));
            let at = line.and_then(|line| {
                line.split_whitespace()
                    .find_map(|field| field.strip_prefix("listen="))
            });
            if let Some(at) = at.and_then(|at| at.parse().ok()) {
                return Ok(at);
            }
            drop(kept);
            thread::sleep(Duration::from_millis(2));
        }
        Err(self.not_ready())
    }

    /// The last lines of its log.
    pub fn log(&self) -> String {
        let kept = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.lines
            .iter()
            .map(|line| format!("  {line}\n"))
            .collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Keeps what a node logs, the last of it.
fn keep(stderr: ChildStderr, log: &(Mutex<Log>, Condvar)) {
    let mut reader = BufReader::new(stderr);
    loop {
        let mut line = Vec::new();
        // A line longer than that is cut in two.
        let read = (&mut reader).take(LOG_LINE).read_until(b'\n', &mut line);
        let mut kept = log.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !read.is_ok_and(|read| read > 0) {
            kept.ended = true;
            log.1.notify_all();
            return;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if let Some(at) = badgerpost_fakes::listens_at(&line) {
            kept.listens = kept.listens.or(Some(at));
            log.1.notify_all();
        }
        if kept.lines.len() >= LOG_LINES {
            kept.lines.pop_front();
        }
        kept.lines.push_back(line);
    }
}

/// Listens for the control connection of a node on a stepped clock, and adds its address to the settings.
fn listen_for_control(settings: &mut String, now: Nanos) -> io::Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    *settings += &format!("\n[rehearsal]\ncontrol = \"{address}\"\nstart_ns = {now}\n");
    Ok(listener)
}

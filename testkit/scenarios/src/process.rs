//! A node's process: configuration, start, log and exit, and the control connection that advances its virtual clock.

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

/// The time limit for a node's start, for one step of its virtual clock, and for its exit.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// The time limit for reading the rest of a node's log after its exit.
const LOG_END_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of log lines that are kept of a node; older ones are dropped.
const MAX_LOG_LINES: usize = 400;
/// The limit for one line of the log or of the control connection, in bytes.
const MAX_LINE_BYTES: u64 = 4096;

/// The last lines of a node's log.
#[derive(Default)]
struct Log {
    lines: VecDeque<String>,
    /// The listen address that the node logged first.
    listen_address: Option<SocketAddr>,
    has_ended: bool,
}

/// A node's process. It is killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    log: Arc<(Mutex<Log>, Condvar)>,
    control: Option<BufReader<TcpStream>>,
    /// When the node's next timer is due, in Unix time; absent without a timer or on the system clock.
    pub next_timer_at: Option<Nanos>,
    folder: PathBuf,
}

/// The options for starting a node's process.
pub struct StartOptions<'a> {
    /// The path of the node's program.
    pub program: &'a Path,
    /// The node's name, for error messages.
    pub name: &'a str,
    /// The platform's configuration, which the node reads from the file that `EDGE_CONFIG` names.
    pub edge_config: Value,
    /// The Unix time at which the node's virtual clock starts; absent for the system clock.
    pub virtual_clock_start: Option<Nanos>,
    /// The operator's settings file in TOML, in which `{folder}` stands for the node's private folder.
    pub operator_settings: String,
    /// Names and contents of files that are written to the private folder, with mode 0600.
    pub files: Vec<(&'static str, String)>,
    /// Faults that are injected into the node's system calls.
    pub system_faults: Option<SystemFaults>,
}

impl Process {
    /// Starts a node and waits until the node listens. Returns the listen address too.
    pub fn start(options: &StartOptions<'_>) -> Result<(Self, SocketAddr), ProcessError> {
        let (mut process, control) = Self::launch(options)?;
        let listen_address = match control {
            Some(listener) => process.accept_control(&listener)?,
            None => process.wait_for_listen_address()?,
        };
        Ok((process, listen_address))
    }

    /// Starts a node on the system clock without waiting until the node listens.
    pub fn start_in_background(options: &StartOptions<'_>) -> Result<Self, ProcessError> {
        Ok(Self::launch(options)?.0)
    }

    /// The listen address of a node that was started in the background; absent until the node logs it.
    pub fn listen_address(&mut self) -> Result<Option<SocketAddr>, ProcessError> {
        let listen_address = {
            let log = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
            log.listen_address
        };
        match listen_address {
            None if self.exit_status().is_some() => Err(self.not_ready()),
            listen_address => Ok(listen_address),
        }
    }

    /// Starts a node's process. On a virtual clock, returns the listener for the control connection too.
    fn launch(options: &StartOptions<'_>) -> Result<(Self, Option<TcpListener>), ProcessError> {
        let name = options.name.to_owned();
        let system = |source| ProcessError::System {
            name: options.name.to_owned(),
            source,
        };
        let folder = private_folder().map_err(system)?;
        let edge_file = folder.join("edge.json");
        std::fs::write(&edge_file, options.edge_config.to_string()).map_err(system)?;
        let mut command = Command::new(options.program);
        command
            .env("EDGE_CONFIG", &edge_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if let Some(faults) = &options.system_faults {
            faults.apply(&mut command).map_err(system)?;
        }
        let mut settings = options
            .operator_settings
            .replace("{folder}", &folder.to_string_lossy());
        write_private_files(&folder, &options.files).map_err(system)?;
        let control = match options.virtual_clock_start {
            Some(now) => Some(listen_for_control(&mut settings, now).map_err(system)?),
            None => None,
        };
        if !settings.is_empty() {
            let settings_file = folder.join("badgerpost.toml");
            std::fs::write(&settings_file, settings).map_err(system)?;
            command.arg("--config").arg(&settings_file);
        }
        let spawned = command.spawn();
        let mut child = spawned.map_err(|source| ProcessError::Start {
            program: options.program.to_owned(),
            source,
        })?;
        let log = Arc::new((Mutex::new(Log::default()), Condvar::new()));
        if let Some(stderr) = child.stderr.take() {
            let shared_log = log.clone();
            thread::spawn(move || read_log(stderr, &shared_log));
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

    /// Waits for the control connection and the node's first message on it. Returns the node's listen address. Connections
    /// of processes that take this port for that of an earlier listener are closed.
    fn accept_control(&mut self, listener: &TcpListener) -> Result<SocketAddr, ProcessError> {
        listener
            .set_nonblocking(true)
            .map_err(|source| self.system(source))?;
        let began = Instant::now();
        loop {
            let stream = self.accept_before_timeout(listener, began)?;
            let configured = stream
                .set_nonblocking(false)
                .and_then(|()| stream.set_nodelay(true));
            configured
                .and_then(|()| stream.set_read_timeout(Some(RESPONSE_TIMEOUT)))
                .map_err(|source| self.system(source))?;
            self.control = Some(BufReader::new(stream));
            match self.read_message() {
                Ok(Some(NodeMessage::Hello { listen, .. })) => return Ok(listen),
                Err(ProcessError::Control { .. }) if began.elapsed() <= RESPONSE_TIMEOUT => {}
                Ok(_) => return Err(self.not_ready()),
                Err(error) => return Err(error),
            }
        }
    }

    /// Accepts a connection, at the latest [`RESPONSE_TIMEOUT`] after `began`.
    fn accept_before_timeout(
        &mut self,
        listener: &TcpListener,
        began: Instant,
    ) -> Result<TcpStream, ProcessError> {
        loop {
            match listener.accept() {
                Ok((stream, _)) => return Ok(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(self.system(error)),
            }
            if began.elapsed() > RESPONSE_TIMEOUT || self.exit_status().is_some() {
                return Err(self.not_ready());
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn wait_for_listen_address(&mut self) -> Result<SocketAddr, ProcessError> {
        let (lock, changed) = &*self.log;
        let log = lock.lock().unwrap_or_else(PoisonError::into_inner);
        let is_pending = |log: &mut Log| log.listen_address.is_none() && !log.has_ended;
        let waited = changed.wait_timeout_while(log, RESPONSE_TIMEOUT, is_pending);
        let listen_address = waited
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .listen_address;
        listen_address.ok_or_else(|| self.not_ready())
    }

    /// Reads the next message from the control connection; absent if the connection has ended, as it does on exit.
    fn read_message(&mut self) -> Result<Option<NodeMessage>, ProcessError> {
        let Some(control) = &mut self.control else {
            return Ok(None);
        };
        let mut line = String::new();
        match control.take(MAX_LINE_BYTES).read_line(&mut line) {
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

    /// Runs the node at the Unix time `now` until it is idle. `bytes`: written to the node's sockets since the last
    /// step; `ended`: connections of the node that have ended since its start, as seen by the test kit. Returns the
    /// bytes that the node wrote, and the connections that have ended since its start as seen by the node; none if the
    /// process has ended.
    pub fn step(
        &mut self,
        now: Nanos,
        bytes: u64,
        ended: u64,
    ) -> Result<Option<(u64, u64)>, ProcessError> {
        let Some(control) = &mut self.control else {
            return Ok(None);
        };
        let line = ControllerMessage::Step {
            now,
            bytes_sent: bytes,
            connections_ended: ended,
        }
        .to_string();
        if control.get_mut().write_all(line.as_bytes()).is_err() {
            return Ok(None);
        }
        match self.read_message()? {
            Some(NodeMessage::Idle {
                next_timer_at,
                bytes_written,
                connections_ended,
                ..
            }) => {
                self.next_timer_at = next_timer_at;
                Ok(Some((bytes_written, connections_ended)))
            }
            Some(NodeMessage::Hello { .. }) | None => Ok(None),
        }
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the exit of the process and the end of its log. Returns none after a time limit.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        let began = Instant::now();
        while began.elapsed() < RESPONSE_TIMEOUT {
            if let Some(status) = self.exit_status() {
                let (lock, changed) = &*self.log;
                let log = lock.lock().unwrap_or_else(PoisonError::into_inner);
                // A surviving child process of the node would keep the log open, so the wait is bounded.
                let _ = changed.wait_timeout_while(log, LOG_END_TIMEOUT, |log| !log.has_ended);
                return Some(status);
            }
            thread::sleep(Duration::from_millis(1));
        }
        None
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // A signal to a process that has exited and was not waited for has no effect.
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for a log line that contains `message`, and returns the address in the line's `listen` field.
    pub fn wait_for_logged_address(&mut self, message: &str) -> Result<SocketAddr, ProcessError> {
        let began = Instant::now();
        while began.elapsed() < RESPONSE_TIMEOUT && self.exit_status().is_none() {
            let log = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
            let line = log.lines.iter().find(|line| line.contains(message));
            let address = line.and_then(|line| {
                line.split_whitespace()
                    .find_map(|field| field.strip_prefix("listen="))
            });
            if let Some(address) = address.and_then(|text| text.parse().ok()) {
                return Ok(address);
            }
            drop(log);
            thread::sleep(Duration::from_millis(2));
        }
        Err(self.not_ready())
    }

    /// The last lines of the node's log.
    pub fn log(&self) -> String {
        let log = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.lines.iter().map(|line| format!("  {line}\n")).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Reads a node's log until its end, and keeps the last lines and the first listen address.
fn read_log(stderr: ChildStderr, shared_log: &(Mutex<Log>, Condvar)) {
    let mut reader = BufReader::new(stderr);
    loop {
        let mut line = Vec::new();
        // A longer line is split.
        let read = (&mut reader)
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut line);
        let mut log = shared_log.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !read.is_ok_and(|read| read > 0) {
            log.has_ended = true;
            shared_log.1.notify_all();
            return;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if let Some(address) = badgerpost_fakes::listens_at(&line) {
            log.listen_address = log.listen_address.or(Some(address));
            shared_log.1.notify_all();
        }
        if log.lines.len() >= MAX_LOG_LINES {
            log.lines.pop_front();
        }
        log.lines.push_back(line);
    }
}

/// Listens for the control connection of a node on a virtual clock, and adds the listener's address to the settings.
fn listen_for_control(settings: &mut String, now: Nanos) -> io::Result<TcpListener> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    *settings += &format!("\n[rehearsal]\ncontrol = \"{address}\"\nstart_ns = {now}\n");
    Ok(listener)
}

//! Peers for tests, scripted by hand on loopback sockets with a thread each: a node as a process, backends,
//! discovery and clients. They panic where a test has failed, and are of use in tests only.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    reason = "test helpers, used by tests only"
)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use socket2::SockRef;

use crate::system_faults::SystemFaults;

mod client;
mod load;

pub use client::{Client, call, figure, get, post};
pub use load::{Load, LoadResult, RequestText};

/// Nothing here takes that long; a test that waits for it has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A message as read from a socket.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn values(&self, name: &str) -> Vec<&str> {
        let named = self
            .headers
            .iter()
            .filter(|header| header.0.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str()).collect()
    }

    pub fn value(&self, name: &str) -> Option<&str> {
        self.values(name).first().copied()
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message; none where the connection ends first.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        let read = reader.read_line(&mut text).ok()?;
        (read > 0).then(|| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Vec::new();
    loop {
        let text = line()?;
        let Some((name, value)) = text.split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message {
        first,
        headers,
        body: Vec::new(),
    };
    if message.value("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
        return Some(message);
    }
    let length = message
        .value("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Reads a body in chunks; none where the connection ends first.
fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
        if size == 0 {
            reader.read_line(&mut line).ok()?;
            return Some(body);
        }
        let from = body.len();
        body.resize(from + size, 0);
        reader.read_exact(&mut body[from..]).ok()?;
        reader.read_exact(&mut [0; 2]).ok()?;
    }
}

/// What a backend does with a request.
#[derive(Clone)]
pub enum Does {
    /// Writes these bytes and keeps the connection.
    Writes(String),
    /// Writes these bytes and closes.
    Ends(String),
    /// Writes these bytes, lets them arrive, and resets the connection.
    Resets(String),
    /// Writes these bytes, and in one go with them some more.
    Adds(String, String),
    /// Writes these bytes at once, and the others behind the gate.
    Then(String, Arc<Gate>, String),
    /// Says nothing and keeps the connection.
    Hangs,
    /// Waits for the gate and closes.
    Breaks(Arc<Gate>),
    /// Waits for the gate, then writes.
    Waits(Arc<Gate>, String),
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn status(code: u16, headers: &str) -> String {
    format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// Opens once.
#[derive(Default)]
pub struct Gate {
    open: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    pub fn open(&self) {
        *self.open.lock().unwrap() = true;
        self.changed.notify_all();
    }

    pub fn wait(&self) {
        let open = self.open.lock().unwrap();
        let (_open, timed_out) = self
            .changed
            .wait_timeout_while(open, PATIENCE, |open| !*open)
            .unwrap();
        assert!(!timed_out.timed_out(), "the gate never opened");
    }
}

/// A backend: what it gets can be received, what it does is set by the test.
pub struct Backend {
    pub at: SocketAddr,
    pub got: Receiver<Message>,
    pub connections: Arc<AtomicU32>,
    /// Connections that were ended here and that the node has closed in turn.
    pub closed: Arc<AtomicU32>,
}

impl Backend {
    pub fn new(does: impl Fn(&Message) -> Does + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (send, got) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let closed = Arc::new(AtomicU32::new(0));
        let (does, counter, ended) = (Arc::new(does), connections.clone(), closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::SeqCst);
                let (does, send, ended) = (does.clone(), send.clone(), ended.clone());
                thread::spawn(move || attend(stream, &*does, &send, &ended));
            }
        });
        Self {
            at,
            got,
            connections,
            closed,
        }
    }

    #[expect(clippy::expect_used, reason = "a test fails here")]
    pub fn next(&self) -> Message {
        self.got
            .recv_timeout(PATIENCE)
            .expect("a request reaches the backend")
    }

    pub fn count(&self) -> usize {
        self.got.try_iter().count()
    }
}

fn attend(
    stream: TcpStream,
    does: &dyn Fn(&Message) -> Does,
    send: &Sender<Message>,
    ended: &AtomicU32,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let next = does(&message);
        if send.send(message).is_err() {
            return;
        }
        let written = match next {
            Does::Writes(text) => writer.write_all(text.as_bytes()),
            Does::Waits(gate, text) => {
                gate.wait();
                writer.write_all(text.as_bytes())
            }
            Does::Breaks(gate) => return gate.wait(),
            Does::Ends(text) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = writer.shutdown(Shutdown::Write);
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                ended.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Does::Resets(text) => {
                let _ = writer.write_all(text.as_bytes());
                thread::sleep(Duration::from_millis(20));
                return reset(&writer);
            }
            Does::Adds(text, more) => writer.write_all((text + &more).as_bytes()),
            Does::Then(first, gate, text) => {
                let written = writer.write_all(first.as_bytes());
                gate.wait();
                written.and_then(|()| writer.write_all(text.as_bytes()))
            }
            Does::Hangs => Ok(()),
        };
        if written.is_err() {
            return;
        }
    }
}

/// Has a connection end by a reset, once its last handle is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Discovery: one list, and the answers to watches on it.
#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    state: Arc<(Mutex<(u64, String)>, Condvar)>,
    /// Watches that have been answered or are waiting, by the version they came from.
    pub calls: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn new(targets: Value) -> Self {
        Self::at(TcpListener::bind("127.0.0.1:0").unwrap(), targets)
    }

    /// One that begins to answer now, at a listener that has been there before.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub fn at(listener: TcpListener, targets: Value) -> Self {
        let discovery = Self {
            at: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new((1, list(1, &targets))), Condvar::new())),
            calls: Arc::default(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.attend(stream));
            }
        });
        discovery
    }

    fn attend(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            self.calls.lock().unwrap().push(message.first.clone());
            let from = message
                .first
                .split("from=")
                .nth(1)
                .and_then(|t| t.split('&').next()?.parse().ok());
            let (lock, changed) = &*self.state;
            let state = lock.lock().unwrap();
            let seen = |state: &mut (u64, String)| Some(state.0) == from;
            let wait = Duration::from_secs(4);
            let (state, _) = changed.wait_timeout_while(state, wait, seen).unwrap();
            let text = if Some(state.0) == from {
                format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, state.0)
            } else {
                state.1.clone()
            };
            drop(state);
            if writer.write_all(ok(&text).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Changes the list; watches get it whole.
    #[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
    pub fn set(&self, targets: Value) {
        let rev = self.state.0.lock().unwrap().0 + 1;
        self.set_text(rev, list(rev, &targets));
    }

    /// What watches get next, whatever it is.
    pub fn set_text(&self, rev: u64, text: String) {
        *self.state.0.lock().unwrap() = (rev, text);
        self.state.1.notify_all();
    }

    /// Waits until a watch from this version has come: what that version held has been taken in.
    pub fn watched_from(&self, rev: u64) {
        let mark = format!("from={rev}&");
        until("the watch goes on", || {
            self.calls
                .lock()
                .unwrap()
                .iter()
                .any(|call| call.contains(&mark))
        });
    }

    pub fn rev(&self) -> u64 {
        self.state.0.lock().unwrap().0
    }
}

fn list(rev: u64, targets: &Value) -> String {
    json!({"rev": rev, "all": true, "targets": targets}).to_string()
}

/// Waits for a condition.
#[expect(clippy::panic, reason = "a test fails here")]
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..PATIENCE.as_millis() / 5 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("in vain: {what}");
}

pub fn target(uid: &str, at: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": at.to_string(), "az": "a", "model": "k", "pod_group": 0, "state": state,
        "capacity_hint": 1.0, "boot_ms": 0})
}

pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key-scope": "zone", "window-ns": 10_000_000_000u64,
            "on-time-ns": 2_000_000_000u64, "deadline-ns": 4_000_000_000u64, "importance": 1.0})
    };
    json!({"az": "a", "zones": ["a", "b"], "kinds": ["k"], "n-instances": 2, "discovery": "pushed",
        "classes": [class("read", "repeatable"), class("join", "by_key"), class("pay", "once")],
        "projects": [{"name": "acme", "quota-rps": 1000.0}],
        "policy-limits": {"attempts-cap": 3, "may-cancel": true, "second-copies": true, "probes": false,
            "retry-after": true, "max-retry-after-ns": 1_000_000_000u64, "conn-idle-ns": 30_000_000_000u64,
            "connect-timeout-ns": 1_000_000_000u64},
        "goal": {"worst-class": 0.1}, "quantum-ns": 1_000_000,
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": 500_000_000u64, "fall-ns": 1_500_000_000u64,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}})
}

#[expect(clippy::needless_pass_by_value, reason = "callers hand the value over")]
pub fn config(discovery: SocketAddr, known: Value) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 0, "all": true, "targets": known}, "settings": settings()})
}

/// The node's process; ended with the test.
pub struct Node {
    pub child: Child,
    pub at: SocketAddr,
    log: Arc<Mutex<String>>,
    file: PathBuf,
}

/// Starts the program on this text of a configuration, which stands in the file that is returned.
pub fn spawn(config: &str) -> (Child, PathBuf) {
    spawn_with(config, None)
}

/// The same with the operators' own file too.
pub fn spawn_with(config: &str, own: Option<&Path>) -> (Child, PathBuf) {
    spawn_in(config, own, None)
}

/// The same with a folder of its own for what the platform keeps.
pub fn spawn_in(config: &str, own: Option<&Path>, folder: Option<&Path>) -> (Child, PathBuf) {
    spawn_process(config, own, folder, None, Stdio::piped())
}

#[expect(clippy::expect_used, reason = "a test fails here")]
#[expect(clippy::panic, reason = "a test fails here")]
fn spawn_process(
    config: &str,
    own: Option<&Path>,
    folder: Option<&Path>,
    faults: Option<&SystemFaults>,
    log: Stdio,
) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let path =
        std::env::temp_dir().join(format!("badgerpost-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let program = crate::program("badgerpost").unwrap_or_else(|error| panic!("{error}"));
    let mut command = Command::new(program);
    command
        .env("EDGE_CONFIG", &path)
        .env_remove("TMPDIR")
        .envs(folder.map(|folder| ("TMPDIR", folder)))
        .args(
            own.into_iter()
                .flat_map(|own| ["--config".as_ref(), own.as_os_str()]),
        )
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    if let Some(faults) = faults {
        faults.apply(&mut command).unwrap();
    }
    let child = command.spawn().expect("the node starts");
    (child, path)
}

#[expect(clippy::panic, reason = "a test fails here")]
fn listening(reader: &mut BufReader<ChildStderr>, log: &mut String) -> SocketAddr {
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 0 {
        log.push_str(&line);
        if let Some(at) = crate::listens_at(&line) {
            return at;
        }
        line.clear();
    }
    panic!("the node ended before it listened");
}

impl Node {
    pub fn start(config: &Value) -> Self {
        Self::start_in(config, None)
    }

    /// One with this folder for what the platform keeps.
    pub fn start_in(config: &Value, folder: Option<&Path>) -> Self {
        Self::started(spawn_in(&config.to_string(), None, folder))
    }

    /// One with the operators' own file too.
    pub fn start_with(config: &Value, own: &Path) -> Self {
        Self::started(spawn_with(&config.to_string(), Some(own)))
    }

    /// One whose system calls and wall clock do badly.
    pub fn start_with_faults(config: &Value, faults: &SystemFaults) -> Self {
        Self::start_with_faults_in(config, faults, None)
    }

    /// The same with this folder for what the platform keeps.
    pub fn start_with_faults_in(
        config: &Value,
        faults: &SystemFaults,
        folder: Option<&Path>,
    ) -> Self {
        let text = config.to_string();
        let log = Stdio::piped();
        Self::started(spawn_process(&text, None, folder, Some(faults), log))
    }

    /// One that logs there, so that the configuration must say where it listens. Returns once it does.
    pub fn start_logging_to(config: &Value, log: Stdio) -> Self {
        let at = config["listen"].as_str().unwrap().parse().unwrap();
        let (mut child, file) = spawn_process(&config.to_string(), None, None, None, log);
        until("the node listens", || {
            assert_eq!(child.try_wait().unwrap(), None, "the node has ended");
            TcpStream::connect(at).is_ok()
        });
        Self {
            child,
            at,
            log: Arc::default(),
            file,
        }
    }

    fn started((mut child, file): (Child, PathBuf)) -> Self {
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let mut first = String::new();
        let at = listening(&mut reader, &mut first);
        let log = Arc::new(Mutex::new(first));
        let kept = log.clone();
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                kept.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self {
            child,
            at,
            log,
            file,
        }
    }

    /// A node that discovery tells of these backends, as `s-0`, `s-1` and so on.
    pub fn with(backends: &[&Backend]) -> (Self, Discovery) {
        let targets: Vec<Value> = (0..)
            .zip(backends)
            .map(|(n, backend)| target(&format!("s-{n}"), backend.at, "Ready"))
            .collect();
        let discovery = Discovery::new(json!(targets));
        let node = Self::start(&config(discovery.at, json!([])));
        discovery.watched_from(1);
        (node, discovery)
    }

    /// Where its operators call, from the line of its log that says so.
    pub fn console(&self) -> SocketAddr {
        self.address("operators may call console=")
    }

    /// The address behind these words in its log, once they are there.
    pub fn address(&self, mark: &str) -> SocketAddr {
        until(mark, || self.logged(mark));
        let log = self.log.lock().unwrap();
        let (_, rest) = log.split_once(mark).unwrap();
        rest.split_whitespace().next().unwrap().parse().unwrap()
    }

    pub fn logged(&self, text: &str) -> bool {
        self.count(text) > 0
    }

    pub fn count(&self, text: &str) -> usize {
        self.log.lock().unwrap().matches(text).count()
    }

    /// Replaces the configuration's file and has it read.
    pub fn reconfigure(&self, config: &str) {
        let new = self.file.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, &self.file).unwrap();
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(done.success());
    }

    #[expect(clippy::expect_used, reason = "a test fails here")]
    pub fn ask(&self, text: &str) -> Message {
        Client::to(self.at).ask(text).expect("an answer")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

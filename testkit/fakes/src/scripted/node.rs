//! The node as a process. Panics where a test has failed.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

use super::backend::Backend;
use super::client::Client;
use super::configuration::{config, target};
use super::discovery::Discovery;
use super::message::Message;
use super::wait::until;
use crate::system_faults::SystemFaults;

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

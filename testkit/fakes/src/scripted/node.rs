//! Starts a node as a process, reads its log and sends it signals. Panics if a test has failed.

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
use super::wait::wait_until;
use crate::system_faults::SystemFaults;

/// A running node process, which is killed when this is dropped.
pub struct Node {
    pub child: Child,
    /// The address at which the node listens for clients.
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
    config_file: PathBuf,
}

/// A node process that has just been started and may exit before it listens.
pub struct NodeProcess {
    pub child: Child,
    /// The file with the platform's configuration of the node.
    pub config_file: PathBuf,
}

/// How a node is started, besides the platform's configuration.
#[derive(Default)]
struct StartOptions<'a> {
    /// The operators' configuration file, passed by `--config`.
    operator_file: Option<&'a Path>,
    /// The folder in which the node stores its data, set by `TMPDIR`.
    data_folder: Option<&'a Path>,
    faults: Option<&'a SystemFaults>,
    /// Where the log goes; `None` if the test reads the log.
    log: Option<Stdio>,
}

/// Starts the node program with this text as the platform's configuration.
pub fn spawn(config: &str) -> NodeProcess {
    spawn_process(config, StartOptions::default())
}

/// Starts the node program with this text as the platform's configuration and with the operators' configuration file.
pub fn spawn_with_file(config: &str, operator_file: &Path) -> NodeProcess {
    let operator_file = Some(operator_file);
    spawn_process(
        config,
        StartOptions {
            operator_file,
            ..StartOptions::default()
        },
    )
}

#[expect(clippy::expect_used, reason = "a test fails here")]
#[expect(clippy::panic, reason = "a test fails here")]
fn spawn_process(config: &str, options: StartOptions) -> NodeProcess {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let config_file =
        std::env::temp_dir().join(format!("badgerpost-{}-{number}.json", std::process::id()));
    std::fs::write(&config_file, config).unwrap();
    let program = crate::program("badgerpost").unwrap_or_else(|error| panic!("{error}"));
    let mut command = Command::new(program);
    command
        .env("EDGE_CONFIG", &config_file)
        .env_remove("TMPDIR")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(options.log.unwrap_or_else(Stdio::piped));
    if let Some(folder) = options.data_folder {
        command.env("TMPDIR", folder);
    }
    if let Some(operator_file) = options.operator_file {
        command.arg("--config").arg(operator_file);
    }
    if let Some(faults) = options.faults {
        faults.apply(&mut command).unwrap();
    }
    let child = command.spawn().expect("the node program should start");
    NodeProcess { child, config_file }
}

/// Reads the node's log up to the line with the address at which the node listens, and returns that address.
#[expect(clippy::panic, reason = "a test fails here")]
fn wait_for_listen_line(reader: &mut BufReader<ChildStderr>, log: &mut String) -> SocketAddr {
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 0 {
        log.push_str(&line);
        if let Some(address) = crate::listens_at(&line) {
            return address;
        }
        line.clear();
    }
    panic!("the node exited before it listened; its log:\n{log}");
}

impl Node {
    /// Starts a node and waits until it listens.
    pub fn start(config: &Value) -> Self {
        Self::start_with(config, StartOptions::default())
    }

    /// Starts a node that stores its data in `data_folder`, if given, and waits until it listens.
    pub fn start_in(config: &Value, data_folder: Option<&Path>) -> Self {
        let options = StartOptions {
            data_folder,
            ..StartOptions::default()
        };
        Self::start_with(config, options)
    }

    /// Starts a node with the operators' configuration file too, and waits until it listens.
    pub fn start_with_file(config: &Value, operator_file: &Path) -> Self {
        let options = StartOptions {
            operator_file: Some(operator_file),
            ..StartOptions::default()
        };
        Self::start_with(config, options)
    }

    /// Starts a node with injected system call faults, and waits until it listens.
    pub fn start_with_faults(config: &Value, faults: &SystemFaults) -> Self {
        Self::start_with_faults_in(config, faults, None)
    }

    /// Starts a node with injected system call faults that stores its data in `data_folder`, if given, and waits until
    /// it listens.
    pub fn start_with_faults_in(
        config: &Value,
        faults: &SystemFaults,
        data_folder: Option<&Path>,
    ) -> Self {
        let options = StartOptions {
            faults: Some(faults),
            data_folder,
            ..StartOptions::default()
        };
        Self::start_with(config, options)
    }

    /// Starts a node that writes its log to `log`, and waits until the node accepts connections. The `listen` address
    /// of the configuration must have a fixed port, since the log is not read.
    pub fn start_logging_to(config: &Value, log: Stdio) -> Self {
        let address = config["listen"].as_str().unwrap().parse().unwrap();
        let options = StartOptions {
            log: Some(log),
            ..StartOptions::default()
        };
        let mut process = spawn_process(&config.to_string(), options);
        wait_until("the node listens", || {
            let exit_status = process.child.try_wait().unwrap();
            assert_eq!(exit_status, None, "the node exited before it listened");
            TcpStream::connect(address).is_ok()
        });
        Self {
            child: process.child,
            address,
            log: Arc::default(),
            config_file: process.config_file,
        }
    }

    fn start_with(config: &Value, options: StartOptions) -> Self {
        let NodeProcess {
            mut child,
            config_file,
        } = spawn_process(&config.to_string(), options);
        let mut reader = BufReader::new(child.stderr.take().unwrap());
        let mut first_lines = String::new();
        let address = wait_for_listen_line(&mut reader, &mut first_lines);
        let log = Arc::new(Mutex::new(first_lines));
        let collected = log.clone();
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                collected.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        Self {
            child,
            address,
            log,
            config_file,
        }
    }

    /// Starts a node and a discovery service that lists these backends as `s-0`, `s-1` and so on. Returns once the node
    /// has applied the list.
    pub fn start_with_backends(backends: &[&Backend]) -> (Self, Discovery) {
        let targets: Vec<Value> = (0..)
            .zip(backends)
            .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"))
            .collect();
        let discovery = Discovery::new(json!(targets));
        let node = Self::start(&config(discovery.address, json!([])));
        discovery.wait_for_watch_from(1);
        (node, discovery)
    }

    /// A value in kB of the status that the system tells of the process, such as `VmRSS:`; 0 once it has ended.
    pub fn status_kb(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    /// The address of the node's console, from the log.
    pub fn console(&self) -> SocketAddr {
        self.logged_address("operators may call console=")
    }

    /// Waits for this text in the log and returns the address that follows the text.
    pub fn logged_address(&self, prefix: &str) -> SocketAddr {
        wait_until(prefix, || self.has_logged(prefix));
        let log = self.log.lock().unwrap();
        let (_, text) = log.split_once(prefix).unwrap();
        text.split_whitespace().next().unwrap().parse().unwrap()
    }

    pub fn has_logged(&self, text: &str) -> bool {
        self.log_count(text) > 0
    }

    /// How often this text occurs in the log.
    pub fn log_count(&self, text: &str) -> usize {
        self.log.lock().unwrap().matches(text).count()
    }

    /// Replaces the configuration file atomically and makes the node read it.
    pub fn reconfigure(&self, config: &str) {
        let new = self.config_file.with_extension("new");
        std::fs::write(&new, config).unwrap();
        std::fs::rename(&new, &self.config_file).unwrap();
        self.signal("-HUP");
    }

    /// Sends a signal, given as an option of `kill`, such as `-HUP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    #[expect(clippy::expect_used, reason = "a test fails here")]
    /// Sends a request on a new connection and reads the response.
    pub fn request(&self, text: &str) -> Message {
        Client::connect(self.address)
            .request(text)
            .expect("the node should respond")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

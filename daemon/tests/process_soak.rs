//! A seeded soak of one node's processes: signals in series, upgrades, kills at the earliest time that the platform
//! allows, clients that use their connections until then, slow responses and uploads, and in some runs a crowd.
//!
//! `BADGERPOST_SOAK_SEEDS=FIRST..END` plays other seeds than those of CI.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::small_buffers::connect_with_small_buffers;
use serde_json::{Value, json};

/// The seeds that CI plays.
const SEEDS: Range<u64> = 1..9;
/// Concurrent runs.
const CONCURRENT_RUNS: u64 = 4;
const MEMORY_MB: u64 = 48;
/// Memory that a release build takes before it has clients; the build under test takes more.
const PROCESS_KB: u64 = 7 * 1024;
/// The deadline of all classes.
const DEADLINE: Duration = Duration::from_millis(1000);
/// The earliest SIGKILL after SIGTERM: the longest deadline and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(1700);
/// How long new connections go on coming after SIGTERM; the platform names 0.2 to 0.4 s.
const FRONT_DELAY: Duration = Duration::from_millis(250);
/// How long after its deadline an answer may still come.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const CLIENTS: usize = 6;
const CROWD_CLIENTS: usize = 80;
const STEPS: u64 = 4;

/// A sequence of pseudo-random numbers.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }
}

/// What happens to the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// SIGHUP several times.
    Reload,
    /// SIGTERM, SIGKILL at the earliest time, and a restart.
    Restart,
    /// SIGKILL and a restart.
    Kill,
    /// A second process takes over, SIGTERM to the first, SIGKILL at the earliest time.
    Upgrade,
}

const ALL_STEPS: [Step; 4] = [Step::Reload, Step::Restart, Step::Kill, Step::Upgrade];

/// What the clients and backends of a run have seen.
#[derive(Default)]
struct Records {
    /// How often each request of a class that must not run twice has run.
    runs: Mutex<HashMap<String, u32>>,
    failures: Mutex<Vec<String>>,
    served: AtomicU64,
    /// Raised before and after each kill without a SIGTERM, so that it is odd meanwhile; requests that such a kill meets may
    /// be lost.
    kills: AtomicU64,
    has_ended: AtomicBool,
    /// Whether the front sends no new connections to the node, as between a restart's SIGTERM and the new process.
    is_closed: AtomicBool,
}

impl Records {
    /// Whether a request that began when `kills` had this value may have met a kill.
    fn has_met_kill(&self, kills_before: u64) -> bool {
        let kills = self.kills.load(Ordering::SeqCst);
        kills != kills_before || kills % 2 == 1
    }

    fn fail(&self, failure: String) {
        self.failures.lock().unwrap().push(failure);
    }
}

/// A backend that responds by the id of the request: at once, or slowly in one of the forms that the platform allows.
fn start_backend(records: Arc<Records>) -> Backend {
    Backend::new(move |message| {
        let id = message.value("x-call-id").unwrap().to_owned();
        if message.start_line.starts_with("POST") {
            *records.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        }
        let part = |pause, text: String| TimedPart {
            pause: Duration::from_millis(pause),
            text,
        };
        let large = "x".repeat(100_000);
        let chunk = format!("{:x}\r\n{large}\r\n", large.len());
        let (parts, closes) = match id.split('-').next().unwrap() {
            "pause" => (
                vec![
                    part(
                        0,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
                    ),
                    part(600, chunk + "0\r\n\r\n"),
                ],
                false,
            ),
            "lumps" => (
                vec![
                    part(
                        0,
                        format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{large}"),
                    ),
                    part(400, large),
                ],
                false,
            ),
            "close" => (
                vec![
                    part(0, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned()),
                    part(200, large),
                ],
                true,
            ),
            "late" => (vec![part(300, ok("late"))], false),
            _ => (vec![part(5, ok("yes"))], false),
        };
        ResponsePlan::RespondInParts { parts, closes }
    })
}

fn request_text(random: &mut Random, client: usize, number: u64) -> (String, String) {
    let form = ["quick", "quick", "quick", "late", "pause", "lumps", "close"]
        [usize::try_from(random.below(7)).unwrap()];
    let id = format!("{form}-{client}-{number}");
    let text = match random.below(3) {
        0 => get(&id, ""),
        1 => post("pay", &id, "", "x"),
        _ => post("pay", &id, "", &"b".repeat(100_000)),
    };
    (id, text.replace("Budget-Ms: 3000", "Budget-Ms: 1000"))
}

/// Sends requests on one connection for as long as it stays open, and checks each answer.
fn run_client(address: SocketAddr, seed: u64, client: usize, records: &Records) {
    let mut random = Random::new(seed * 1000 + client as u64);
    let mut connection: Option<Client> = None;
    for number in 0.. {
        if records.has_ended.load(Ordering::Relaxed) {
            return;
        }
        let (id, text) = request_text(&mut random, client, number);
        let kills_before = records.kills.load(Ordering::SeqCst);
        let was_reused = connection.is_some();
        let mut answer = send(&mut connection, address, &text, records);
        if answer.response.is_none() && was_reused && !records.has_met_kill(kills_before) {
            // The close of a connection between requests may cross the request.
            answer = send(&mut connection, address, &text, records);
        }
        let Answer { response, took } = answer;
        let was_killed = records.has_met_kill(kills_before);
        match response {
            None if was_killed => {}
            None => records.fail(format!("{id}: no whole answer after {took:?}")),
            Some(response) => {
                let is_small = response.body.len() <= 64 * 1024;
                if is_small && took > DEADLINE + ANSWER_SLACK && !was_killed {
                    records.fail(format!("{id}: {} after {took:?}", response.status()));
                }
                records
                    .served
                    .fetch_add(u64::from(response.status() == 200), Ordering::Relaxed);
                if response.value("connection").is_some() {
                    connection = None;
                }
            }
        }
        thread::sleep(Duration::from_millis(random.below(30)));
    }
}

/// What a client has got for a request.
struct Answer {
    /// `None` if the connection was closed before the whole response.
    response: Option<Message>,
    took: Duration,
}

/// Sends a request, on a new connection if there is none. The connection is kept only if there is a response.
fn send(
    connection: &mut Option<Client>,
    address: SocketAddr,
    text: &str,
    records: &Records,
) -> Answer {
    let client = connection.take().or_else(|| connect(address, records));
    let began = Instant::now();
    let Some(mut client) = client else {
        return Answer {
            response: None,
            took: Duration::ZERO,
        };
    };
    let response = client.try_request(text);
    if response.is_some() {
        *connection = Some(client);
    }
    Answer {
        response,
        took: began.elapsed(),
    }
}

/// Connects as soon as the front sends connections to a node that listens.
fn connect(address: SocketAddr, records: &Records) -> Option<Client> {
    (0..500).find_map(|_| {
        let is_closed = records.is_closed.load(Ordering::SeqCst);
        let client = (!is_closed).then(|| Client::try_connect(address)).flatten();
        if client.is_none() {
            thread::sleep(Duration::from_millis(20));
        }
        client
    })
}

/// A client that stops half way through a request, or reads nothing.
fn run_crowd_client(address: SocketAddr, number: usize, records: &Records) {
    while !records.has_ended.load(Ordering::Relaxed) {
        if let Ok(mut stream) = connect_with_small_buffers(address) {
            let text = if number.is_multiple_of(2) {
                let head = post("pay", &format!("crowd-{number}"), "", "");
                head.replace("Content-Length: 0", "Content-Length: 4000000")
            } else {
                let id = format!("lumps-crowd-{number}");
                get(&id, "").repeat(20)
            };
            let _ = stream.write_all(text.as_bytes());
            let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
            let _ = stream.write_all(&[b'x'; 100_000]);
        }
        thread::sleep(Duration::from_millis(500));
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// The node of a run.
struct Player {
    config: Value,
    folder: PathBuf,
    node: Node,
    at_start_kb: u64,
    records: Arc<Records>,
}

impl Player {
    fn start(config: Value, folder: &Path, records: Arc<Records>) -> Self {
        let node = Node::start_in(&config, Some(folder));
        let at_start_kb = node.status_kb("VmRSS:");
        Self {
            config,
            folder: folder.to_owned(),
            node,
            at_start_kb,
            records,
        }
    }

    fn start_process(&mut self) -> Node {
        self.config["console"] = json!(free_address().to_string());
        Node::start_in(&self.config, Some(&self.folder))
    }

    fn check_process(&mut self) {
        let grown_kb = self
            .node
            .status_kb("VmHWM:")
            .saturating_sub(self.at_start_kb);
        if PROCESS_KB + grown_kb > MEMORY_MB * 1024 {
            self.records
                .fail(format!("{} kB taken", PROCESS_KB + grown_kb));
        }
        if let Some(status) = self.node.child.try_wait().unwrap() {
            self.records.fail(format!("the node has ended: {status}"));
        }
    }

    fn play(&mut self, step: Step) {
        self.check_process();
        match step {
            Step::Reload => (0..3).for_each(|_| self.node.signal("-HUP")),
            Step::Restart => {
                self.node.signal("-TERM");
                thread::sleep(FRONT_DELAY);
                self.records.is_closed.store(true, Ordering::SeqCst);
                thread::sleep(KILL_DELAY - FRONT_DELAY);
                let _ = self.node.child.kill();
                let _ = self.node.child.wait();
                self.node = self.start_process();
                self.records.is_closed.store(false, Ordering::SeqCst);
            }
            Step::Kill => {
                self.records.kills.fetch_add(1, Ordering::SeqCst);
                let _ = self.node.child.kill();
                let _ = self.node.child.wait();
                self.node = self.start_process();
                // Requests whose connections the kill has reset have failed by now.
                thread::sleep(Duration::from_millis(100));
                self.records.kills.fetch_add(1, Ordering::SeqCst);
            }
            Step::Upgrade => {
                let new = self.start_process();
                thread::sleep(Duration::from_millis(100));
                self.node.signal("-TERM");
                thread::sleep(KILL_DELAY);
                let _ = self.node.child.kill();
                let _ = self.node.child.wait();
                self.node = new;
            }
        }
    }
}

/// Plays a seed. Returns its failures.
fn play(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed);
    let records = Arc::new(Records::default());
    let backends = [(); 3].map(|()| start_backend(records.clone()));
    let targets: Vec<Value> = (0..)
        .zip(&backends)
        .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let mut config = config(discovery.address, json!(targets));
    config["listen"] = json!(free_address().to_string());
    config["console"] = json!(free_address().to_string());
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024});
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadline-ns"] = json!(u64::try_from(DEADLINE.as_nanos()).unwrap());
        class["on-time-ns"] = json!(500_000_000);
    }
    let folder =
        std::env::temp_dir().join(format!("badgerpost-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut player = Player::start(config, &folder, records.clone());
    let address = player.node.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let records = records.clone();
            thread::spawn(move || run_client(address, seed, client, &records))
        })
        .collect();
    let crowd_clients = if seed.is_multiple_of(3) {
        CROWD_CLIENTS
    } else {
        0
    };
    for number in 0..crowd_clients {
        let records = records.clone();
        thread::spawn(move || run_crowd_client(address, number, &records));
    }
    for _ in 0..STEPS {
        thread::sleep(Duration::from_millis(300 + random.below(900)));
        let step = ALL_STEPS[usize::try_from(random.below(4)).unwrap()];
        player.play(step);
    }
    thread::sleep(DEADLINE);
    player.check_process();
    records.has_ended.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    let _ = std::fs::remove_dir_all(&folder);
    conclude(seed, &records)
}

/// Checks what a run has recorded. Returns its failures.
fn conclude(seed: u64, records: &Records) -> Vec<String> {
    let runs = records.runs.lock().unwrap();
    for (id, count) in runs
        .iter()
        .filter(|(id, count)| **count > 1 && !id.contains("crowd"))
    {
        records.fail(format!("{id} has run {count} times"));
    }
    if records.served.load(Ordering::Relaxed) < 20 {
        records.fail("fewer than 20 requests were served".to_owned());
    }
    let failures = std::mem::take(&mut *records.failures.lock().unwrap());
    failures
        .into_iter()
        .map(|failure| format!("seed {seed}: {failure}"))
        .collect()
}

/// The seeds to play.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("BADGERPOST_SOAK_SEEDS") else {
        return SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against requests that signals in series, restarts, upgrades or a crowd lose, cut off, answer late or run twice.
#[test]
fn no_request_is_lost_or_run_twice_under_signals_in_series() {
    let seeds = seeds();
    let next_seed = AtomicU64::new(seeds.start);
    let failures: Vec<String> = thread::scope(|scope| {
        let play_seeds = || {
            let mut failures = Vec::new();
            loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return failures;
                }
                failures.extend(play(seed));
            }
        };
        let runs: Vec<_> = (0..CONCURRENT_RUNS)
            .map(|_| scope.spawn(play_seeds))
            .collect();
        runs.into_iter()
            .flat_map(|run| run.join().unwrap())
            .collect()
    });
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

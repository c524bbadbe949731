//! Slow start over many real processes: what all nodes together send to a server that has just started stays within the
//! pages' bound in each window, with an expensive class, retries, and nodes that restart meanwhile.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

const SERVERS: usize = 4;
/// Clients of each node.
const CLIENTS: usize = 8;
/// Requests a second over all nodes, before more start.
const RATE: f64 = 400.0;
/// The window in which a server in slow start may be pushed over, the multiple that it bears, and how it warms up.
const WINDOW: Duration = Duration::from_millis(1500);
const TIP_MULTIPLE: f64 = 2.5;
const START_CAPACITY: f64 = 0.1;
const WARM_AFTER: f64 = 20.0;
/// How long the new server is watched.
const WATCHED: Duration = Duration::from_secs(6);

/// The most requests that a server may get in the window that ends this long after its start: N + 2 * sqrt(N) + 2, or
/// N + 3 * sqrt(N) + 3 for an N under 30.
fn most_in_window(age: Duration) -> f64 {
    // The others report that they are used to nine tenths.
    let capacity = RATE / SERVERS as f64 / 0.9;
    let warmth = START_CAPACITY + (1.0 - START_CAPACITY) * age.as_secs_f64() / WARM_AFTER;
    let n = TIP_MULTIPLE * warmth.min(1.0) * capacity * WINDOW.as_secs_f64();
    let chance = if n < 30.0 { 3.0 } else { 2.0 };
    n + chance * n.sqrt() + chance
}

/// A server that works 5 ms, 30 ms for one request in ten, and fails one in twelve.
fn busy(arrivals: Option<Arc<Mutex<Vec<Instant>>>>) -> Backend {
    let count = AtomicU32::new(0);
    Backend::new(move |_| {
        if let Some(arrivals) = &arrivals {
            arrivals.lock().unwrap().push(Instant::now());
        }
        let number = count.fetch_add(1, Ordering::Relaxed);
        let work = if number.is_multiple_of(10) { 30 } else { 5 };
        thread::sleep(Duration::from_millis(work));
        let report = "X-Load-Report: {\"util\":0.9}\r\n";
        ResponsePlan::Respond(if number % 12 == 5 {
            status(500, report)
        } else {
            ok("served").replace("\r\n\r\n", &format!("\r\n{report}\r\n"))
        })
    })
}

fn entry(uid: &str, backend: &Backend, boot_ms: u128) -> Value {
    let mut entry = target(uid, backend.address, "Ready");
    entry["boot_ms"] = json!(u64::try_from(boot_ms).unwrap());
    entry
}

fn configuration(discovery: &Discovery, nodes: usize) -> Value {
    let mut config = config(discovery.address, json!([]));
    config["settings"]["n-instances"] = json!(nodes);
    config["settings"]["zones"] = json!(["a"]);
    config
}

fn load_on(node: &Node, life: &str, nodes: usize) -> Load {
    let every = Duration::from_secs_f64(CLIENTS as f64 * nodes as f64 / RATE);
    Load::start(node.address, life, CLIENTS, every, |id| {
        get(id, "").replace("3000", "800")
    })
}

/// A server starts while `nodes` serve, and `more` of them start behind it; each window of its first seconds stays within
/// what it bears.
fn a_new_server_is_spared(nodes: usize, more: usize) {
    let old: Vec<Backend> = (0..SERVERS).map(|_| busy(None)).collect();
    let mut entries: Vec<Value> = (0..)
        .zip(&old)
        .map(|(n, backend)| entry(&format!("s-{n}"), backend, 0))
        .collect();
    let discovery = Discovery::new(json!(entries));
    let config = configuration(&discovery, nodes);
    let processes: Vec<Node> = (0..nodes).map(|_| Node::start(&config)).collect();
    let loads: Vec<Load> = (0..)
        .zip(&processes)
        .map(|(n, node)| load_on(node, &format!("n{n}"), nodes))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
    let new = busy(Some(arrivals.clone()));
    let started = Instant::now();
    let boot = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // The list brings it some hundred milliseconds later.
    thread::sleep(Duration::from_millis(300));
    entries.push(entry("new", &new, boot.as_millis()));
    discovery.set_endpoints(json!(entries));
    thread::sleep(Duration::from_millis(1500));
    // These know nothing but the list.
    let later: Vec<Node> = (0..more).map(|_| Node::start(&config)).collect();
    let more_loads: Vec<Load> = (0..)
        .zip(&later)
        .map(|(n, node)| load_on(node, &format!("r{n}"), nodes))
        .collect();
    thread::sleep(WATCHED.saturating_sub(started.elapsed()));
    let asked: usize = loads
        .into_iter()
        .chain(more_loads)
        .map(|load| load.stop().len())
        .sum();
    assert!(asked > 2000, "{asked} requests are no load");
    let arrivals = arrivals.lock().unwrap();
    for (last, at) in arrivals.iter().enumerate() {
        let in_window = arrivals[..=last]
            .iter()
            .filter(|earlier| at.duration_since(**earlier) < WINDOW)
            .count();
        let age = at.duration_since(started);
        let most = most_in_window(age);
        assert!(
            in_window as f64 <= most,
            "{in_window} requests in the window that ends {age:?} behind the start, {most} at most"
        );
    }
    assert!(!arrivals.is_empty(), "it was not used at all");
}

#[test]
fn twenty_processes_together_keep_the_slow_start_budget() {
    a_new_server_is_spared(20, 5);
}

/// As in an upgrade: the new version starts from the list, and does not know what the old one sends.
#[test]
fn two_versions_beside_each_other_keep_the_slow_start_budget() {
    a_new_server_is_spared(1, 1);
}

//! Slow start with many node processes: the requests of all nodes to a backend that has just started stay within the
//! budget in each window, with slow requests, retries, and nodes that start meanwhile.
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

const OLD_BACKENDS: usize = 4;
const CLIENTS_PER_NODE: usize = 8;
/// The load over all nodes before further nodes start.
const TOTAL_REQUESTS_PER_S: f64 = 400.0;
/// The window over which the slow start budget counts. This and the next three are as in the settings.
const WINDOW: Duration = Duration::from_millis(1500);
const TIP_MULTIPLE: f64 = 2.5;
const START_CAPACITY: f64 = 0.1;
const WARM_UP_SECONDS: f64 = 20.0;
/// How long requests to the new backend are observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);

/// The most requests to a backend in the window that ends at this age, for a budget of N: N + 2 * sqrt(N) + 2, or
/// N + 3 * sqrt(N) + 3 for N < 30.
fn max_requests_in_window(age: Duration) -> f64 {
    // The other backends report a utilization of 0.9.
    let capacity = TOTAL_REQUESTS_PER_S / OLD_BACKENDS as f64 / 0.9;
    let warmth = START_CAPACITY + (1.0 - START_CAPACITY) * age.as_secs_f64() / WARM_UP_SECONDS;
    let n = TIP_MULTIPLE * warmth.min(1.0) * capacity * WINDOW.as_secs_f64();
    let deviations = if n < 30.0 { 3.0 } else { 2.0 };
    n + deviations * n.sqrt() + deviations
}

/// A backend that takes 5 ms, or 30 ms for one request in ten, and fails one in twelve.
fn busy_backend(arrivals: Option<Arc<Mutex<Vec<Instant>>>>) -> Backend {
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

fn start_load(node: &Node, id_prefix: &str, nodes: usize) -> Load {
    let interval =
        Duration::from_secs_f64(CLIENTS_PER_NODE as f64 * nodes as f64 / TOTAL_REQUESTS_PER_S);
    Load::start(node.address, id_prefix, CLIENTS_PER_NODE, interval, |id| {
        get(id, "").replace("3000", "800")
    })
}

/// Starts a backend while `nodes` nodes serve, and `late_count` further nodes after it; checks each window of its first
/// seconds.
fn check_slow_start_budget(nodes: usize, late_count: usize) {
    let backends: Vec<Backend> = (0..OLD_BACKENDS).map(|_| busy_backend(None)).collect();
    let mut entries: Vec<Value> = (0..)
        .zip(&backends)
        .map(|(n, backend)| entry(&format!("s-{n}"), backend, 0))
        .collect();
    let discovery = Discovery::new(json!(entries));
    let config = configuration(&discovery, nodes);
    let processes: Vec<Node> = (0..nodes).map(|_| Node::start(&config)).collect();
    let loads: Vec<Load> = (0..)
        .zip(&processes)
        .map(|(n, node)| start_load(node, &format!("n{n}"), nodes))
        .collect();
    thread::sleep(Duration::from_secs(3));
    let arrivals = Arc::<Mutex<Vec<Instant>>>::default();
    let new = busy_backend(Some(arrivals.clone()));
    let started = Instant::now();
    let boot = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    // The endpoint list contains the new backend only some time after its start.
    thread::sleep(Duration::from_millis(300));
    entries.push(entry("new", &new, boot.as_millis()));
    discovery.set_endpoints(json!(entries));
    thread::sleep(Duration::from_millis(1500));
    // These nodes have only the endpoint list to go by.
    let late_nodes: Vec<Node> = (0..late_count).map(|_| Node::start(&config)).collect();
    let late_loads: Vec<Load> = (0..)
        .zip(&late_nodes)
        .map(|(n, node)| start_load(node, &format!("r{n}"), nodes))
        .collect();
    thread::sleep(OBSERVATION_TIME.saturating_sub(started.elapsed()));
    let sent: usize = loads
        .into_iter()
        .chain(late_loads)
        .map(|load| load.stop().len())
        .sum();
    assert!(sent > 2000, "only {sent} requests were sent");
    let arrivals = arrivals.lock().unwrap();
    for (last, at) in arrivals.iter().enumerate() {
        let in_window = arrivals[..=last]
            .iter()
            .filter(|earlier| at.duration_since(**earlier) < WINDOW)
            .count();
        let age = at.duration_since(started);
        let limit = max_requests_in_window(age);
        assert!(
            in_window as f64 <= limit,
            "{in_window} requests in the window that ends {age:?} after the start, {limit} at most"
        );
    }
    assert!(!arrivals.is_empty(), "the new backend got no request");
}

#[test]
fn twenty_processes_together_stay_within_the_slow_start_budget() {
    check_slow_start_budget(20, 5);
}

/// As in an upgrade: the new process does not share the counts of the old one.
#[test]
fn two_versions_in_parallel_stay_within_the_slow_start_budget() {
    check_slow_start_budget(1, 1);
}

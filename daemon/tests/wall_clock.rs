//! Wall clocks that are wrong or step, by seconds or an hour: backends that have just started get slow start, and
//! backends that started long ago do not.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::system_faults::{SystemFaults, WallClock};
use serde_json::{Value, json};

const HOUR_MS: i64 = 3_600_000;
const TEN_MINUTES_MS: i64 = 600_000;
/// The window over which the slow start budget counts, as in the settings.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1500);
/// The load of each of three backends, in requests per second.
const REQUESTS_PER_SERVER_PER_S: f64 = 400.0 / 3.0;

/// The most requests to a backend in the window right after its start: N + 2 * sqrt(N) + 2 for a budget of N.
fn max_requests_in_window() -> usize {
    let tip_multiple = 2.5;
    let start_capacity = 0.1;
    // The backends report a utilization of 0.9.
    let budget = tip_multiple * start_capacity * REQUESTS_PER_SERVER_PER_S / 0.9
        * OVERLOAD_WINDOW.as_secs_f64();
    (budget + 2.0 * budget.sqrt() + 2.0) as usize
}

/// The true Unix time in milliseconds, this many milliseconds ago.
fn unix_ms_ago(milliseconds: i64) -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    i64::try_from(now.as_millis()).unwrap() - milliseconds
}

fn busy_backend() -> Backend {
    Backend::new(|_| {
        thread::sleep(Duration::from_millis(4));
        ResponsePlan::Respond(
            ok("served").replace("\r\n\r\n", "\r\nX-Load-Report: {\"util\":0.9}\r\n\r\n"),
        )
    })
}

fn entry_with_start(uid: &str, backend: &Backend, boot_ms: i64) -> Value {
    let mut entry = target(uid, backend.address, "Ready");
    entry["boot_ms"] = json!(boot_ms);
    entry
}

/// Three backends, and a node with a controlled wall clock under 400 requests per second.
struct Fleet {
    backends: [Backend; 3],
    entries: Vec<Value>,
    discovery: Discovery,
    load: Load,
    _node: Node,
}

impl Fleet {
    /// `boot_ms` is the start of the backends as Unix time in milliseconds; 0 for long ago.
    fn start(clock: &WallClock, boot_ms: i64) -> Self {
        let backends = [busy_backend(), busy_backend(), busy_backend()];
        let entries: Vec<Value> = (0..)
            .zip(&backends)
            .map(|(n, backend)| entry_with_start(&format!("s-{n}"), backend, boot_ms))
            .collect();
        let discovery = Discovery::new(json!(entries));
        let node = Node::start_with_faults(
            &config(discovery.address, json!([])),
            &SystemFaults::seeded(1).with_wall_clock(clock),
        );
        discovery.wait_for_watch_from(1);
        let load = Load::start(node.address, "r", 40, Duration::from_millis(100), |id| {
            get(id, "").replace("3000", "500")
        });
        Self {
            backends,
            entries,
            discovery,
            load,
            _node: node,
        }
    }

    /// Adds a backend to the list, and counts its requests in the first window.
    fn count_sent_to_new_backend(&mut self, uid: &str, boot_ms: i64) -> usize {
        let new = busy_backend();
        self.entries.push(entry_with_start(uid, &new, boot_ms));
        self.discovery.set_endpoints(json!(self.entries));
        self.count_in_window(&new)
    }

    fn count_in_window(&self, backend: &Backend) -> usize {
        let listed = Instant::now();
        backend.take_request_count();
        thread::sleep(OVERLOAD_WINDOW.saturating_sub(listed.elapsed()));
        backend.take_request_count()
    }
}

#[track_caller]
fn check_slow_start_budget(sent: usize, case: &str) {
    let limit = max_requests_in_window();
    assert!(
        sent <= limit,
        "{case}: {sent} requests in the window, {limit} at most"
    );
}

/// Runs the cases in parallel, each with its own node.
fn run_in_parallel(cases: &[(&'static str, i64)], run: fn(&str, i64)) {
    thread::scope(|scope| {
        for (case, ahead_ms) in cases {
            scope.spawn(move || run(case, *ahead_ms));
        }
    });
}

/// A backend that was not in the previous list has just started, whatever the node's clock says.
#[test]
fn a_backend_started_after_the_node_gets_slow_start_under_any_clock() {
    let cases = [
        ("a correct clock", 0),
        ("ahead by an hour", HOUR_MS),
        ("behind by an hour", -HOUR_MS),
        ("ahead by 30 s", 30_000),
    ];
    run_in_parallel(&cases, |case, ahead_ms| {
        let clock = WallClock::ahead_by(ahead_ms).unwrap();
        let mut fleet = Fleet::start(&clock, 0);
        thread::sleep(Duration::from_secs(2));
        let sent = fleet.count_sent_to_new_backend("new", unix_ms_ago(300));
        // The same holds for the next backend after the clock has been corrected.
        clock.set(0).unwrap();
        thread::sleep(Duration::from_millis(500));
        let sent_later = fleet.count_sent_to_new_backend("next", unix_ms_ago(300));
        drop(fleet.load.stop());
        check_slow_start_budget(sent, case);
        check_slow_start_budget(sent_later, &format!("{case}, then corrected"));
    });
}

/// Such backends get their full share, even if the node's clock is behind their start.
#[test]
fn backends_started_long_ago_get_no_slow_start_under_any_clock() {
    let cases = [
        ("behind by an hour", -HOUR_MS),
        ("behind by 5 s", -5000),
        ("ahead by an hour", HOUR_MS),
    ];
    run_in_parallel(&cases, |case, ahead_ms| {
        let clock = WallClock::ahead_by(ahead_ms).unwrap();
        let fleet = Fleet::start(&clock, unix_ms_ago(TEN_MINUTES_MS));
        for step_ms in [-HOUR_MS, 5000] {
            thread::sleep(Duration::from_secs(1));
            clock.set(ahead_ms + step_ms).unwrap();
        }
        thread::sleep(Duration::from_secs(1));
        let results = fleet.load.stop();
        let served = results.iter().filter(|result| result.is_ok());
        let share = served.count() as f64 / results.len() as f64;
        assert!(share > 0.9, "{case}: a share of {share} served");
        assert!(
            fleet
                .backends
                .iter()
                .all(|backend| backend.take_request_count() > 100)
        );
    });
}

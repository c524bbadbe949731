//! Wall clocks that step, by seconds or an hour: a server in slow start is known as such, and one that has long been up
//! is not held for one.
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
/// The window in which a server in slow start may be pushed over, by the settings.
const OVERLOAD_WINDOW: Duration = Duration::from_millis(1500);
/// What a server serves that is used as the others are, a second.
const RATE: f64 = 400.0 / 3.0;

/// The requests that a server may get in the window right after its start: N + 2 * sqrt(N) + 2.
fn most_in_window() -> usize {
    let tip_multiple = 2.5;
    let start_capacity = 0.1;
    // The servers report that they are used to nine tenths.
    let budget = tip_multiple * start_capacity * RATE / 0.9 * OVERLOAD_WINDOW.as_secs_f64();
    (budget + 2.0 * budget.sqrt() + 2.0) as usize
}

/// The true Unix time, so many milliseconds ago.
fn ago(milliseconds: i64) -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    i64::try_from(now.as_millis()).unwrap() - milliseconds
}

fn busy() -> Backend {
    Backend::new(|_| {
        thread::sleep(Duration::from_millis(4));
        ResponsePlan::Respond(
            ok("served").replace("\r\n\r\n", "\r\nX-Load-Report: {\"util\":0.9}\r\n\r\n"),
        )
    })
}

fn started(uid: &str, backend: &Backend, boot_ms: i64) -> Value {
    let mut entry = target(uid, backend.address, "Ready");
    entry["boot_ms"] = json!(boot_ms);
    entry
}

/// Three servers, a node that reads this wall clock, and 400 requests a second on it.
struct Play {
    old: [Backend; 3],
    entries: Vec<Value>,
    discovery: Discovery,
    load: Load,
    _node: Node,
}

impl Play {
    /// One whose servers have started at this Unix time; 0 for long ago.
    fn begin(clock: &WallClock, boot_ms: i64) -> Self {
        let old = [busy(), busy(), busy()];
        let entries: Vec<Value> = (0..)
            .zip(&old)
            .map(|(n, backend)| started(&format!("s-{n}"), backend, boot_ms))
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
            old,
            entries,
            discovery,
            load,
            _node: node,
        }
    }

    /// Adds a server to the list, and counts what it gets in its first window.
    fn sends_to_a_new_one(&mut self, uid: &str, boot_ms: i64) -> usize {
        let new = busy();
        self.entries.push(started(uid, &new, boot_ms));
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
fn spared(sends: usize, case: &str) {
    let most = most_in_window();
    assert!(
        sends <= most,
        "{case}: {sends} requests in the window, {most} at most"
    );
}

/// Plays the cases beside each other, each with a node of its own.
fn beside_each_other(cases: &[(&'static str, i64)], play: fn(&str, i64)) {
    thread::scope(|scope| {
        for (case, ahead_ms) in cases {
            scope.spawn(move || play(case, *ahead_ms));
        }
    });
}

/// The server has started since the list before, whatever the node's clock says of its start.
#[test]
fn a_backend_that_starts_while_the_node_runs_is_in_slow_start_under_any_clock() {
    let cases = [
        ("a clock that is right", 0),
        ("ahead by an hour", HOUR_MS),
        ("behind by an hour", -HOUR_MS),
        ("ahead by 30 s", 30_000),
    ];
    beside_each_other(&cases, |case, ahead_ms| {
        let clock = WallClock::ahead_by(ahead_ms).unwrap();
        let mut play = Play::begin(&clock, 0);
        thread::sleep(Duration::from_secs(2));
        let sends = play.sends_to_a_new_one("new", ago(300));
        // A clock that is right again later changes nothing for the next one.
        clock.set(0).unwrap();
        thread::sleep(Duration::from_millis(500));
        let sends_later = play.sends_to_a_new_one("next", ago(300));
        drop(play.load.stop());
        spared(sends, case);
        spared(sends_later, &format!("{case}, then right"));
    });
}

/// Servers that have long been up get their full share, also where the node's clock is behind their start.
#[test]
fn backends_that_have_long_been_up_are_not_in_slow_start() {
    let cases = [
        ("behind by an hour", -HOUR_MS),
        ("behind by 5 s", -5000),
        ("ahead by an hour", HOUR_MS),
    ];
    beside_each_other(&cases, |case, ahead_ms| {
        let clock = WallClock::ahead_by(ahead_ms).unwrap();
        let play = Play::begin(&clock, ago(TEN_MINUTES_MS));
        for step_ms in [-HOUR_MS, 5000] {
            thread::sleep(Duration::from_secs(1));
            clock.set(ahead_ms + step_ms).unwrap();
        }
        thread::sleep(Duration::from_secs(1));
        let results = play.load.stop();
        let served = results.iter().filter(|result| result.is_ok());
        let share = served.count() as f64 / results.len() as f64;
        assert!(share > 0.9, "{case}: {share} served");
        assert!(
            play.old
                .iter()
                .all(|backend| backend.take_request_count() > 100)
        );
    });
}

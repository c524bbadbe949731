//! Changes of the list that discovery had and could tell, while the call that should have brought them comes to a bad
//! end: each is in force within 6 s. What goes wrong begins with the first watch, and the change is there from then on.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

const TOLD_WITHIN: Duration = Duration::from_secs(6);

fn serving(body: &'static str) -> Backend {
    Backend::new(move |_| ResponsePlan::Respond(ok(body)))
}

fn list(rev: u64, targets: &[Value]) -> String {
    json!({"rev": rev, "all": true, "targets": targets}).to_string()
}

/// How long a change takes to be in force where the first watch, and so many calls behind it, end like this.
fn in_force_after(
    bad: impl Fn() -> ResponsePlan + Send + Sync + 'static,
    calls: usize,
    asked: bool,
) -> Duration {
    let (old, new) = (serving("old"), serving("new"));
    let before = list(5, &[target("s-0", old.address, "Ready")]);
    let after = list(
        6,
        &[
            target("s-0", old.address, "Terminating"),
            target("s-1", new.address, "Ready"),
        ],
    );
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let discovery = Backend::new(move |message| {
        let call = counted.fetch_add(1, Ordering::SeqCst);
        match call {
            0 => ResponsePlan::Respond(ok(&before)),
            call if call <= calls => bad(),
            // Nothing newer than that.
            _ if message.start_line.contains("from=6") => ResponsePlan::Hang,
            _ => ResponsePlan::Respond(ok(&after)),
        }
    });
    let mut config = config(discovery.address, json!([]));
    if asked {
        config["settings"]["discovery"] = json!("on_request");
    }
    let node = Node::start(&config);
    wait_until("the first watch", || count.load(Ordering::SeqCst) >= 2);
    until_new(&node)
}

/// How long it takes until requests go to the new backend.
fn until_new(node: &Node) -> Duration {
    let began = Instant::now();
    let mut n = 0;
    while node.request(&get(&format!("u{n}"), "")).body != b"new" {
        n += 1;
        assert!(began.elapsed() < TEST_TIMEOUT, "never");
        std::thread::sleep(Duration::from_millis(10));
    }
    began.elapsed()
}

type Play = Box<dyn FnOnce() -> Duration + Send>;

/// All at the same time, each with a node of its own.
fn all_in_time(cases: Vec<(&'static str, Play)>) {
    let plays: Vec<_> = cases
        .into_iter()
        .map(|(what, play)| (what, std::thread::spawn(play)))
        .collect();
    for (what, play) in plays {
        let took = play.join().unwrap();
        assert!(took < TOLD_WITHIN, "{what}: {took:?}");
    }
}

const HALF: &str = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":6,\"all\":true,\"targets\":[{\"uid\":\"s-0\",\"end";

#[test]
fn a_pushed_update_is_in_force_in_time_however_the_call_failed() {
    let case = |bad: fn() -> ResponsePlan, calls| -> Play {
        Box::new(move || in_force_after(bad, calls, false))
    };
    all_in_time(vec![
        ("a watch falls silent", case(|| ResponsePlan::Hang, 1)),
        ("and the call behind it too", case(|| ResponsePlan::Hang, 2)),
        (
            "silent in mid-head",
            case(
                || ResponsePlan::Respond("HTTP/1.1 200 OK\r\nContent-Le".to_owned()),
                1,
            ),
        ),
        (
            "silent in mid-body",
            case(|| ResponsePlan::Respond(HALF.to_owned()), 1),
        ),
        (
            "reset",
            case(|| ResponsePlan::RespondAndClose(String::new()), 1),
        ),
        (
            "reset five times",
            case(|| ResponsePlan::RespondAndClose(String::new()), 5),
        ),
        (
            "ends in mid-body",
            case(|| ResponsePlan::RespondAndClose(HALF.to_owned()), 3),
        ),
        (
            "503 five times",
            case(|| ResponsePlan::Respond(status(503, "")), 5),
        ),
        (
            "broken in the middle",
            case(
                || ResponsePlan::Respond(ok("{\"rev\":6,\"all\":true,\"targets\":[{\"uid\"")),
                3,
            ),
        ),
    ]);
}

/// A watch that falls silent there is another matter: see `pace.rs`.
#[test]
fn a_polled_update_is_in_force_in_time_after_failed_calls() {
    let case = |bad: fn() -> ResponsePlan, calls| -> Play {
        Box::new(move || in_force_after(bad, calls, true))
    };
    all_in_time(vec![
        (
            "reset",
            case(|| ResponsePlan::RespondAndClose(String::new()), 1),
        ),
        (
            "reset twice",
            case(|| ResponsePlan::RespondAndClose(String::new()), 2),
        ),
        (
            "503 three times",
            case(|| ResponsePlan::Respond(status(503, "")), 3),
        ),
        (
            "broken in the middle",
            case(
                || ResponsePlan::Respond(ok("{\"rev\":6,\"all\":true,\"tar")),
                2,
            ),
        ),
    ]);
}

/// One entry that can't be read must not keep the others' drains from being honoured, nor take its own server away.
#[test]
fn an_invalid_entry_among_valid_ones_delays_nothing() {
    let (old, new) = (serving("old"), serving("new"));
    let (node, discovery) = Node::start_with_backends(&[&old]);
    assert_eq!(node.request(&get("o0", "")).body, b"old");
    let mut odd = target("s-1", new.address, "Ready");
    odd["endpoint"] = json!("somewhere");
    let unknown = target("s-2", new.address, "Quarantined");
    discovery.set_endpoints(json!([target("s-0", old.address, "Ready"), odd, unknown]));
    discovery.wait_for_watch_from(2);
    wait_until("the entry is logged", || {
        node.has_logged("an entry of the list can't be read") && node.has_logged("server=\"s-1\"")
    });
    for n in 1..5 {
        assert_eq!(
            node.request(&get(&format!("o{n}"), "")).body,
            b"old",
            "nobody is sent to an unknown state"
        );
    }
    odd["uid"] = json!("s-0");
    discovery.set_endpoints(json!([odd, target("s-3", new.address, "Ready")]));
    discovery.wait_for_watch_from(3);
    let bodies = (0..40)
        .map(|n| node.request(&get(&format!("p{n}"), "")).body)
        .collect::<Vec<_>>();
    assert!(
        bodies.contains(&b"old".to_vec()) && bodies.contains(&b"new".to_vec()),
        "both are in service"
    );
    let mut drains = odd;
    drains["state"] = json!("Terminating");
    discovery.set_endpoints(json!([drains, target("s-3", new.address, "Ready")]));
    discovery.wait_for_watch_from(4);
    for n in 0..10 {
        assert_eq!(
            node.request(&get(&format!("q{n}"), "")).body,
            b"new",
            "its state could be read"
        );
    }
}

/// The agent has started anew and counts from the beginning: a watch from the old version would wait for ever.
#[test]
fn a_version_that_goes_back_after_a_failure_is_accepted() {
    let (old, new) = (serving("old"), serving("new"));
    let (node, discovery) = Node::start_with_backends(&[&old]);
    discovery.set_response(900, list(900, &[target("s-0", old.address, "Ready")]));
    discovery.wait_for_watch_from(900);
    // A failed call, then the list of a new agent.
    discovery.set_response(901, "no list".to_owned());
    wait_until("the call fails", || node.has_logged("error=not a list"));
    discovery.set_response(2, list(2, &[target("s-1", new.address, "Ready")]));
    until_new(&node);
}

/// An agent is silent while discovery is down, answers nothing that it was asked meanwhile, and what it gets at the return
/// counts at once: from then on nothing new may go to a server that drains for longer than half a second.
#[test]
fn the_list_of_an_agent_that_returns_is_known_within_the_drain_grace() {
    let (old, new) = (serving("old"), serving("new"));
    let before = list(5, &[target("s-0", old.address, "Ready")]);
    let after = list(
        6,
        &[
            target("s-0", old.address, "Terminating"),
            target("s-1", new.address, "Ready"),
        ],
    );
    let (count, back) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let (counted, is_back) = (count.clone(), back.clone());
    let discovery = Backend::new(
        move |message| match counted.fetch_add(1, Ordering::SeqCst) {
            0 => ResponsePlan::Respond(ok(&before)),
            _ if !is_back.load(Ordering::SeqCst) || message.start_line.contains("from=6") => {
                ResponsePlan::Hang
            }
            _ => ResponsePlan::Respond(ok(&after)),
        },
    );
    let node = Node::start(&config(discovery.address, json!([])));
    wait_until("some calls are not answered", || {
        count.load(Ordering::SeqCst) >= 4
    });
    let calls = count.load(Ordering::SeqCst);
    wait_until("another has just been made in vain", || {
        count.load(Ordering::SeqCst) > calls
    });
    back.store(true, Ordering::SeqCst);
    let took = until_new(&node);
    assert!(took < Duration::from_millis(450), "{took:?}");
}

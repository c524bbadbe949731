//! Endpoint list updates after failed discovery calls: an update that is available from the first watch on applies
//! within 6 s, whichever way this watch and some calls after it fail.
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

const UPDATE_TIME_LIMIT: Duration = Duration::from_secs(6);

fn serving(body: &'static str) -> Backend {
    Backend::new(move |_| ResponsePlan::Respond(ok(body)))
}

fn list(rev: u64, targets: &[Value]) -> String {
    json!({"rev": rev, "all": true, "targets": targets}).to_string()
}

/// The time until an update applies if `failed_calls` calls after the first one fail in this way.
fn time_to_update_after_failures(
    failure: impl Fn() -> ResponsePlan + Send + Sync + 'static,
    failed_calls: usize,
    is_polled: bool,
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
            call if call <= failed_calls => failure(),
            // There is no newer version.
            _ if message.start_line.contains("from=6") => ResponsePlan::Hang,
            _ => ResponsePlan::Respond(ok(&after)),
        }
    });
    let mut config = config(discovery.address, json!([]));
    if is_polled {
        config["settings"]["discovery"] = json!("on_request");
    }
    let node = Node::start(&config);
    wait_until("the first watch", || count.load(Ordering::SeqCst) >= 2);
    time_until_new_backend_is_used(&node)
}

/// The time until requests go to the new backend.
fn time_until_new_backend_is_used(node: &Node) -> Duration {
    let began = Instant::now();
    let mut n = 0;
    while node.request(&get(&format!("u{n}"), "")).body != b"new" {
        n += 1;
        assert!(
            began.elapsed() < TEST_TIMEOUT,
            "no request reached the new backend"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    began.elapsed()
}

type Case = Box<dyn FnOnce() -> Duration + Send>;

/// Runs all cases in parallel, each with its own node.
fn check_update_times(cases: Vec<(&'static str, Case)>) {
    let running: Vec<_> = cases
        .into_iter()
        .map(|(name, run)| (name, std::thread::spawn(run)))
        .collect();
    for (name, run) in running {
        let took = run.join().unwrap();
        assert!(took < UPDATE_TIME_LIMIT, "{name}: {took:?}");
    }
}

const INCOMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":6,\"all\":true,\"targets\":[{\"uid\":\"s-0\",\"end";

#[test]
fn a_pushed_update_applies_in_time_after_failed_calls() {
    let case = |failure: fn() -> ResponsePlan, failed_calls| -> Case {
        Box::new(move || time_to_update_after_failures(failure, failed_calls, false))
    };
    check_update_times(vec![
        ("a watch is not answered", case(|| ResponsePlan::Hang, 1)),
        ("two calls are not answered", case(|| ResponsePlan::Hang, 2)),
        (
            "no more data within the head",
            case(
                || ResponsePlan::Respond("HTTP/1.1 200 OK\r\nContent-Le".to_owned()),
                1,
            ),
        ),
        (
            "no more data within the body",
            case(|| ResponsePlan::Respond(INCOMPLETE_RESPONSE.to_owned()), 1),
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
            "closed within the body",
            case(
                || ResponsePlan::RespondAndClose(INCOMPLETE_RESPONSE.to_owned()),
                3,
            ),
        ),
        (
            "503 five times",
            case(|| ResponsePlan::Respond(status(503, "")), 5),
        ),
        (
            "truncated JSON",
            case(
                || ResponsePlan::Respond(ok("{\"rev\":6,\"all\":true,\"targets\":[{\"uid\"")),
                3,
            ),
        ),
    ]);
}

#[test]
fn a_polled_update_applies_in_time_after_failed_calls() {
    let case = |failure: fn() -> ResponsePlan, failed_calls| -> Case {
        Box::new(move || time_to_update_after_failures(failure, failed_calls, true))
    };
    check_update_times(vec![
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
            "truncated JSON",
            case(
                || ResponsePlan::Respond(ok("{\"rev\":6,\"all\":true,\"tar")),
                2,
            ),
        ),
    ]);
}

/// An invalid entry must not delay updates of the other entries, nor remove its own backend.
#[test]
fn an_invalid_entry_does_not_delay_updates_of_valid_entries() {
    let (old, new) = (serving("old"), serving("new"));
    let (node, discovery) = Node::start_with_backends(&[&old]);
    assert_eq!(node.request(&get("o0", "")).body, b"old");
    let mut invalid_entry = target("s-1", new.address, "Ready");
    invalid_entry["endpoint"] = json!("somewhere");
    let unknown = target("s-2", new.address, "Quarantined");
    discovery.set_endpoints(json!([
        target("s-0", old.address, "Ready"),
        invalid_entry,
        unknown
    ]));
    discovery.wait_for_watch_from(2);
    wait_until("the entry is logged", || {
        node.has_logged("an entry of the list can't be read") && node.has_logged("server=\"s-1\"")
    });
    for n in 1..5 {
        assert_eq!(
            node.request(&get(&format!("o{n}"), "")).body,
            b"old",
            "a backend in an unknown state gets no requests"
        );
    }
    invalid_entry["uid"] = json!("s-0");
    discovery.set_endpoints(json!([invalid_entry, target("s-3", new.address, "Ready")]));
    discovery.wait_for_watch_from(3);
    let bodies = (0..40)
        .map(|n| node.request(&get(&format!("p{n}"), "")).body)
        .collect::<Vec<_>>();
    assert!(
        bodies.contains(&b"old".to_vec()) && bodies.contains(&b"new".to_vec()),
        "both backends are in service"
    );
    let mut draining_entry = invalid_entry;
    draining_entry["state"] = json!("Terminating");
    discovery.set_endpoints(json!([draining_entry, target("s-3", new.address, "Ready")]));
    discovery.wait_for_watch_from(4);
    for n in 0..10 {
        assert_eq!(
            node.request(&get(&format!("q{n}"), "")).body,
            b"new",
            "the state of the invalid entry still applies"
        );
    }
}

/// A restarted discovery agent counts versions from the start; a watch from the old version would never be answered.
#[test]
fn a_lower_version_is_accepted_after_a_failed_call() {
    let (old, new) = (serving("old"), serving("new"));
    let (node, discovery) = Node::start_with_backends(&[&old]);
    discovery.set_response(900, list(900, &[target("s-0", old.address, "Ready")]));
    discovery.wait_for_watch_from(900);
    // A failed call, then the list of the restarted agent.
    discovery.set_response(901, "no list".to_owned());
    wait_until("the call fails", || node.has_logged("error=not a list"));
    discovery.set_response(2, list(2, &[target("s-1", new.address, "Ready")]));
    time_until_new_backend_is_used(&node);
}

/// While discovery is down, the node's calls are never answered. Once discovery is up again, requests to a draining
/// backend stop within the drain grace of 0.5 s.
#[test]
fn an_update_applies_within_the_drain_grace_once_discovery_responds_again() {
    let (old, new) = (serving("old"), serving("new"));
    let before = list(5, &[target("s-0", old.address, "Ready")]);
    let after = list(
        6,
        &[
            target("s-0", old.address, "Terminating"),
            target("s-1", new.address, "Ready"),
        ],
    );
    let (count, is_discovery_up) = (
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let (counted, is_up) = (count.clone(), is_discovery_up.clone());
    let discovery = Backend::new(
        move |message| match counted.fetch_add(1, Ordering::SeqCst) {
            0 => ResponsePlan::Respond(ok(&before)),
            _ if !is_up.load(Ordering::SeqCst) || message.start_line.contains("from=6") => {
                ResponsePlan::Hang
            }
            _ => ResponsePlan::Respond(ok(&after)),
        },
    );
    let node = Node::start(&config(discovery.address, json!([])));
    wait_until("some calls are open", || count.load(Ordering::SeqCst) >= 4);
    let call_count = count.load(Ordering::SeqCst);
    wait_until("another call has just been made", || {
        count.load(Ordering::SeqCst) > call_count
    });
    is_discovery_up.store(true, Ordering::SeqCst);
    let took = time_until_new_backend_is_used(&node);
    assert!(took < Duration::from_millis(450), "{took:?}");
}

//! Short and failing system calls, as documented for Linux, under a steady load: every request is served.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::system_faults::{CallFault, SystemCall, SystemFaults};
use serde_json::json;

const LOAD_TIME: Duration = Duration::from_secs(3);
/// The slack of forwarded deadlines, which count from the accept.
const CONNECTION_TIME_LIMIT: Duration = Duration::from_millis(150);

fn serving() -> Backend {
    Backend::new(|_| {
        thread::sleep(Duration::from_millis(4));
        ResponsePlan::Respond(ok(
            "a body of some length that comes in more than one piece",
        ))
    })
}

/// Runs a load on a node with these faults; returns the number of requests and those that failed. The requests are
/// non-idempotent, so that no retry hides a broken attempt.
fn run_load(faults: &SystemFaults) -> (usize, Vec<LoadResult>) {
    let backends = [serving(), serving(), serving()];
    let targets: Vec<_> = (0..)
        .zip(&backends)
        .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let node = Node::start_with_faults(&config(discovery.address, json!(targets)), faults);
    let load = Load::start(node.address, "r", 20, Duration::from_millis(50), |id| {
        post("pay", id, "", "what is paid").replace("3000", "2000")
    });
    thread::sleep(LOAD_TIME);
    let results = load.stop();
    let sent = results.len();
    assert!(sent > 600, "only {sent} requests were sent");
    let failed = results
        .into_iter()
        .filter(|result| !result.is_ok())
        .collect();
    (sent, failed)
}

#[track_caller]
fn check_that_all_are_served(faults: &SystemFaults) {
    let (sent, failed) = run_load(faults);
    assert!(
        failed.is_empty(),
        "{faults}: {} of {sent} failed: {:?}",
        failed.len(),
        &failed[..failed.len().min(10)]
    );
}

/// More data may be available after a short read.
#[test]
fn short_reads_lose_no_request() {
    for permille in [10, 50, 500] {
        check_that_all_are_served(&SystemFaults::seeded(7).with(
            SystemCall::Recv,
            CallFault::Short,
            permille,
        ));
    }
}

#[test]
fn short_writes_lose_no_request() {
    for permille in [50, 500] {
        check_that_all_are_served(&SystemFaults::seeded(7).with(
            SystemCall::Send,
            CallFault::Short,
            permille,
        ));
    }
}

/// A call that failed with EINTR is repeated.
#[test]
fn interrupted_system_calls_lose_no_request() {
    for call in [SystemCall::Recv, SystemCall::Send, SystemCall::EpollWait] {
        check_that_all_are_served(&SystemFaults::seeded(7).with(
            call,
            CallFault::Error("EINTR"),
            50,
        ));
    }
}

#[test]
fn a_node_retries_to_listen_when_no_socket_is_available() {
    for (seed, error) in [(1, "ENFILE"), (2, "EMFILE"), (3, "ENOBUFS")] {
        let backend = serving();
        let targets = json!([target("s-0", backend.address, "Ready")]);
        let discovery = Discovery::new(targets.clone());
        let faults =
            SystemFaults::seeded(seed).with(SystemCall::Socket, CallFault::Error(error), 900);
        let node = Node::start_with_faults(&config(discovery.address, targets), &faults);
        assert_eq!(
            node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                .status(),
            200,
            "{error}"
        );
    }
}

/// Guards against a back-off after a failed accept that delays the other connections in the queue.
#[test]
fn failed_accepts_do_not_delay_other_connections() {
    for (seed, error) in [(1, "ENFILE"), (2, "ECONNABORTED"), (3, "ENOBUFS")] {
        let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
        let targets = json!([target("s-0", backend.address, "Ready")]);
        let discovery = Discovery::new(targets.clone());
        let faults =
            SystemFaults::seeded(seed).with(SystemCall::Accept, CallFault::Error(error), 300);
        let node = Node::start_with_faults(&config(discovery.address, targets), &faults);
        let mut clients: Vec<Client> = (0..200).map(|_| Client::connect(node.address)).collect();
        let began = Instant::now();
        for client in &mut clients {
            client.write("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        for client in &mut clients {
            assert_eq!(client.read().expect("a response").status(), 200, "{error}");
        }
        let took = began.elapsed();
        assert!(took < CONNECTION_TIME_LIMIT, "{error}: {took:?}");
    }
}

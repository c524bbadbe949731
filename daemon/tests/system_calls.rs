//! System calls that fail as Linux documents, under a steady load: each request gets its answer all the same.
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

/// How long a load lasts.
const LASTS: Duration = Duration::from_secs(3);
/// By which the deadlines that are told to backends may be off, as they count from the accept.
const CROWD_LIMIT: Duration = Duration::from_millis(150);

fn serving() -> Backend {
    Backend::new(|_| {
        thread::sleep(Duration::from_millis(4));
        ResponsePlan::Respond(ok(
            "a body of some length that comes in more than one piece",
        ))
    })
}

/// The requests of a load on a node with these faults that were not served. The requests may not be repeated, so that
/// nothing hides an attempt that broke.
fn not_served(faults: &SystemFaults) -> (usize, Vec<LoadResult>) {
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
    thread::sleep(LASTS);
    let results = load.stop();
    let asked = results.len();
    assert!(asked > 600, "{asked} requests are no load");
    let lost = results
        .into_iter()
        .filter(|result| !result.is_ok())
        .collect();
    (asked, lost)
}

#[track_caller]
fn all_served(faults: &SystemFaults) {
    let (asked, lost) = not_served(faults);
    assert!(
        lost.is_empty(),
        "{faults}: {} of {asked} not served: {:?}",
        lost.len(),
        &lost[..lost.len().min(10)]
    );
}

/// A read that returns less than was asked for does not mean that there is no more.
#[test]
fn short_reads_lose_no_request() {
    for permille in [10, 50, 500] {
        all_served(&SystemFaults::seeded(7).with(SystemCall::Recv, CallFault::Short, permille));
    }
}

#[test]
fn short_writes_lose_no_request() {
    for permille in [50, 500] {
        all_served(&SystemFaults::seeded(7).with(SystemCall::Send, CallFault::Short, permille));
    }
}

/// An interrupted call has done nothing: it is made again.
#[test]
fn interrupted_system_calls_lose_no_request() {
    for call in [SystemCall::Recv, SystemCall::Send, SystemCall::EpollWait] {
        all_served(&SystemFaults::seeded(7).with(call, CallFault::Error("EINTR"), 50));
    }
}

/// Sockets that are short for a moment are no reason not to start.
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

/// An accept that fails says nothing of the connections behind it: a crowd that connects at once waits no longer for it.
#[test]
fn failed_accepts_do_not_hold_up_the_connections_behind_them() {
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
            assert_eq!(client.read().expect("an answer").status(), 200, "{error}");
        }
        let took = began.elapsed();
        assert!(took < CROWD_LIMIT, "{error}: {took:?}");
    }
}

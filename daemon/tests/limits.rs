//! Boundary conditions: almost no time left, stalled bodies, exhausted connections, slow connects, and truncated
//! responses to HTTP/1.0 clients.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::system_faults::{
    CallFault, LoggedCall, LoggedRequest, RequestLog, SystemCall, SystemFaults,
};
use serde_json::json;

/// The time within which a stalled client gets an error or a close.
const STALLED_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// A non-idempotent request gets 502 only if it was forwarded, and 503 only if it was not, however little time it has.
#[test]
fn a_request_with_almost_no_time_fails_only_if_it_was_forwarded() {
    let backend = Backend::new(|_| {
        thread::sleep(Duration::from_millis(4));
        ResponsePlan::Respond(ok("yes"))
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let at = node.address;
    let clients: Vec<_> = (0..8u64)
        .map(|client| {
            thread::spawn(move || {
                let mut responses = Vec::new();
                for n in 0..60u64 {
                    let id = format!("t{client}-{n}");
                    let budget = (n % 15).to_string();
                    let text = post("pay", &id, "", "b").replace("3000", &budget);
                    let response = Client::connect(at).request(&text).expect("a response");
                    responses.push((id, budget, response.status()));
                }
                responses
            })
        })
        .collect();
    let responses: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    thread::sleep(Duration::from_millis(300));
    let ids_at_backend: HashSet<String> = backend
        .requests
        .try_iter()
        .filter_map(|message| message.value("x-call-id").map(str::to_owned))
        .collect();
    for (id, budget, status) in responses {
        let is_at_backend = ids_at_backend.contains(&id);
        let expected: &[u16] = if is_at_backend { &[200, 502] } else { &[503] };
        assert!(
            expected.contains(&status),
            "{id} with {budget} ms: {status}, at the backend: {is_at_backend}"
        );
    }
}

/// Clients that stall within a body get 408 or a close within 3 s of their last byte.
#[test]
fn a_stalled_large_body_times_out() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let chunk = format!("{:x}\r\n{}\r\n", 50_000, "b".repeat(50_000));
    let chunked_head = post("pay", "chunked", "Transfer-Encoding: chunked\r\n", "")
        .replace("Content-Length: 0\r\n", "");
    let whole = post("pay", "length", "", &"b".repeat(1_000_000));
    let clients: Vec<_> = [
        ("70 kB", whole[..70_000].to_owned()),
        ("300 kB", whole[..300_000].replace("length", "lengthy")),
        ("300 kB in chunks", chunked_head + &chunk.repeat(6)),
    ]
    .into_iter()
    .map(|(case, text)| {
        let mut client = Client::connect(node.address);
        thread::spawn(move || {
            client.write(&text);
            let began = Instant::now();
            if let Some(response) = client.read() {
                assert_eq!(response.status(), 408, "{case}");
            }
            (case, began.elapsed())
        })
    })
    .collect();
    for client in clients {
        let (case, took) = client.join().unwrap();
        assert!(took < STALLED_CLIENT_LIMIT, "{case}: {took:?}");
    }
    assert_eq!(backend.take_request_count(), 0);
}

/// A connection whose complete request waits for a backend is not evicted for new connections.
#[test]
fn a_request_whose_body_waits_for_a_backend_is_not_evicted() {
    let discovery = Discovery::new(json!([]));
    let mut config = config(discovery.address, json!([]));
    // Sixteen of the sockets are for client connections.
    config["limits"]["sockets"] = json!(50);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    let mut client = Client::connect(node.address);
    client.write(&post("pay", "large", "", &"b".repeat(100_000)).replace("3000", "2000"));
    thread::sleep(Duration::from_millis(700));
    let _others: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
    assert_eq!(client.read().expect("a response").status(), 503);
}

/// For an HTTP/1.0 client a response of unknown length ends with the connection, so an aborted one must end with a
/// reset.
#[test]
fn an_aborted_response_of_unknown_length_is_reset_for_an_http_1_0_client() {
    let chunk = format!("{:x}\r\n{}\r\n", 100_000, "b".repeat(100_000));
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    let bare = format!("HTTP/1.1 200 OK\r\n\r\n{}", "b".repeat(100_000));
    for text in [chunked, bare] {
        let backend = Backend::new(move |_| ResponsePlan::RespondAndReset(text.clone()));
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        let mut stream = Client::connect(node.address).stream();
        let request = get("old", "").replace("HTTP/1.1", "HTTP/1.0");
        stream.write_all(request.as_bytes()).unwrap();
        let mut all = Vec::new();
        let read = stream.read_to_end(&mut all);
        assert!(read.is_err(), "{} bytes and no reset", all.len());
    }
}

/// With each write of the node delayed by 0.15 s, the forwarded deadline exceeds the remaining time by at most 0.15 s,
/// in first attempts and in retries. Times are taken at the node's system calls, because those of a backend's thread
/// are late on a busy machine.
#[test]
fn the_deadline_forwarded_by_a_delayed_node_is_within_its_slack() {
    const REQUESTS: usize = 3;
    const BUDGET: Duration = Duration::from_millis(1000);
    const DELAY: Duration = Duration::from_millis(150);
    const SLACK: Duration = Duration::from_millis(150);
    let refusing = Backend::new(|_| ResponsePlan::Respond(status(503, "X-Rejected: 1\r\n")));
    let serving = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let targets = json!([
        target("s-0", refusing.address, "Ready"),
        target("s-1", serving.address, "Ready")
    ]);
    let discovery = Discovery::new(targets.clone());
    let log = RequestLog::default();
    let faults = SystemFaults::seeded(3)
        .with(SystemCall::Send, CallFault::Delay, 1000)
        .with_request_log(&log);
    let node = Node::start_with_faults(&config(discovery.address, targets), &faults);
    // The next discovery call follows 2.7 s later, so its delay does not hold up the reading of the requests.
    discovery.wait_for_watch_from(1);
    thread::sleep(Duration::from_millis(300));
    for n in 0..REQUESTS {
        let mut client = Client::connect(node.address);
        client.write(&post("pay", &format!("h{n}"), "", "").replace("3000", "1000"));
        assert!(client.read().is_some(), "h{n}");
    }
    let requests = log.requests().unwrap();
    let requests_with_id = |call, id: &str| {
        let of_request = move |request: &&LoggedRequest| {
            request.call == call && request.header("x-call-id") == Some(id)
        };
        requests.iter().filter(of_request).cloned().collect()
    };
    let mut attempts = 0;
    for id in (0..REQUESTS).map(|n| format!("h{n}")) {
        let received: Vec<LoggedRequest> = requests_with_id(LoggedCall::Received, &id);
        for sent in requests_with_id(LoggedCall::Sent, &id) {
            let written_at = sent.began_at + DELAY;
            let left = BUDGET.saturating_sub(written_at - received[0].passed_at);
            let forwarded = sent.header("x-budget-ms").unwrap().parse().unwrap();
            let forwarded = Duration::from_millis(forwarded);
            assert!(
                forwarded <= left + SLACK,
                "{id}: forwarded {forwarded:?}, {left:?} left"
            );
            attempts += 1;
        }
    }
    assert!(attempts > REQUESTS, "no retry was seen");
}

/// A connect that completes after the backend began to drain is not written to, even within the drain grace.
#[test]
fn nothing_is_written_to_a_backend_that_drains_during_the_connect() {
    let slow_backend = badgerpost_fakes::slow_connect::SlowConnectBackend::new();
    let listed = json!([target("s-0", slow_backend.address, "Ready")]);
    let discovery = Discovery::new(listed.clone());
    let mut config = config(discovery.address, listed);
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
    config["settings"]["rules"]["drain-grace-ns"] = json!(3_000_000_000u64);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    let mut client = Client::connect(node.address);
    client.write(&get("d0", ""));
    slow_backend.wait_for_connect_attempt();
    discovery.set_endpoints(json!([target("s-0", slow_backend.address, "Terminating")]));
    discovery.wait_for_watch_from(2);
    slow_backend.make_room();
    assert_eq!(
        slow_backend.read_until_closed(Duration::from_millis(300)),
        ""
    );
    assert_eq!(client.read().expect("a response").status(), 503);
}

/// A backend that never accepts connections must not hold a request beyond the client timeout.
#[test]
fn a_request_to_a_backend_that_accepts_no_connection_fails_at_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listed = json!([target("s-0", listener.local_addr().unwrap(), "Ready")]);
    let discovery = Discovery::new(listed.clone());
    let node = Node::start(&config(discovery.address, listed));
    let began = Instant::now();
    let response = node.request(&post("pay", "deaf", "", "").replace("3000", "500"));
    assert_eq!(response.status(), 502, "the request may have run");
    assert!(began.elapsed() < Duration::from_millis(700));
}

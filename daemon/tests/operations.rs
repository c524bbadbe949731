//! Operation: console calls, metrics, draining, and a second process on the same address.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

/// The response time limit of console calls.
const CONSOLE_TIME_LIMIT: Duration = Duration::from_secs(1);

fn start_node(backends: &[&Backend]) -> (Node, Discovery, Value) {
    let listed = (0..)
        .zip(backends)
        .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"));
    let discovery = Discovery::new(listed.collect());
    let mut config = config(discovery.address, json!([]));
    config["console"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery, config)
}

fn call(console: SocketAddr, method: &str, path: &str) -> Message {
    let began = Instant::now();
    let mut client = Client::connect(console);
    let response = client
        .request(&format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n"))
        .expect("a response");
    assert!(
        began.elapsed() < CONSOLE_TIME_LIMIT,
        "{method} {path} took {:?}",
        began.elapsed()
    );
    assert!(client.is_closed(), "the console closes after one call");
    response
}

fn metrics(console: SocketAddr) -> HashMap<String, u64> {
    let response = call(console, "GET", "/status/metrics");
    assert_eq!(response.status(), 200);
    let text = String::from_utf8(response.body).unwrap();
    let parse_line = |line: &str| {
        line.split_once('=')
            .map(|(name, value)| (name.to_owned(), value.parse().unwrap()))
    };
    text.lines()
        .map(|text| parse_line(text).unwrap_or_else(|| panic!("not a metric: {text}")))
        .collect()
}

fn ready(address: SocketAddr) -> u16 {
    Client::connect(address)
        .request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("a response")
        .status()
}

fn serving(body: &'static str) -> Backend {
    Backend::new(move |_| ResponsePlan::Respond(ok(body)))
}

#[test]
fn console_calls_with_a_wrong_method_or_path_are_rejected() {
    let backend = serving("yes");
    let (node, _discovery, _) = start_node(&[&backend]);
    let console = node.console();
    wait_until("the process can serve", || {
        call(console, "GET", "/status").status() == 200
    });
    for (method, path, status) in [
        ("POST", "/status", 405),
        ("GET", "/standby", 405),
        ("GET", "/active", 405),
        ("DELETE", "/status/metrics", 405),
        ("GET", "/", 404),
        ("GET", "/statusses", 404),
        ("POST", "/active", 200),
    ] {
        assert_eq!(
            call(console, method, path).status(),
            status,
            "{method} {path}"
        );
    }
    assert_eq!(
        Client::connect(console)
            .request("nonsense\r\n\r\n")
            .expect("a response")
            .status(),
        400
    );
}

/// Half of the other connections send nothing, and half send an incomplete head.
#[test]
fn incomplete_console_calls_do_not_block_others() {
    let backend = serving("yes");
    let (node, _discovery, _) = start_node(&[&backend]);
    let console = node.console();
    let silent: Vec<Client> = (0..100)
        .map(|n| {
            let mut client = Client::connect(console);
            if n % 2 == 0 {
                client.write("GET /status HTTP/1.1\r\nHos");
            }
            client
        })
        .collect();
    for _ in 0..20 {
        call(console, "GET", "/status");
    }
    drop(silent);
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn metrics_match_what_backends_and_clients_have_seen() {
    let backend = Backend::new(|message| {
        match message.value("x-call-id").unwrap_or_default().as_bytes()[0] {
            b'e' => ResponsePlan::Respond(status(500, "")),
            b'f' => ResponsePlan::Respond(status(503, "X-Rejected: 1\r\n")),
            b'h' => ResponsePlan::Hang,
            _ => ResponsePlan::Respond(ok("yes")),
        }
    });
    let (node, discovery, _) = start_node(&[&backend]);
    let console = node.console();
    let (mut answered, mut errored, mut deferred) = (0, 0, 0);
    for n in 0..20 {
        let kind = ["a", "e", "f", "a"][n % 4];
        match node
            .request(&post("pay", &format!("{kind}{n}"), "", "x"))
            .status()
        {
            200 => answered += 1,
            503 | 429 => deferred += 1,
            _ => errored += 1,
        }
    }
    // A request that is rejected as invalid counts as an error of its class.
    assert_eq!(
        node.request(&post("pay", "b1", "Idempotency-Key: k\r\n", "x"))
            .status(),
        400
    );
    // A request that is still open.
    let mut waiting = Client::connect(node.address);
    waiting.write(&post("pay", "h1", "", "x"));
    let mut sends = 0;
    while backend.next_request().value("x-call-id") != Some("h1") {
        sends += 1;
    }
    sends += 1;
    // The request may reach the backend before the node has counted it.
    wait_until("the last send is counted", || {
        metrics(console)["node.sends"] >= sends
    });
    let values = metrics(console);
    assert_eq!(values["node.transactions.pay.answered"], answered);
    assert_eq!(values["node.transactions.pay.deferred"], deferred);
    assert_eq!(values["node.transactions.pay.errored"], errored + 1);
    assert!(
        answered == 10 && errored > 0,
        "{answered} {deferred} {errored}"
    );
    assert_eq!(values["node.transactions.read.answered"], 0);
    assert_eq!(values["node.sends"], sends);
    assert_eq!(values["node.current"], 1);
    let limits = values
        .keys()
        .filter(|name| name.starts_with("node.connections.closed."));
    assert_eq!(limits.count(), 10);
    let outcomes = values
        .keys()
        .filter(|name| name.starts_with("node.attempts.ended."));
    assert_eq!(outcomes.count(), 9);
    let reasons = values
        .keys()
        .filter(|name| name.starts_with("node.requests.unanswered."));
    assert_eq!(reasons.count(), 10);
    assert_eq!(
        (values["node.cluster_size"], values.len()),
        (1, 3 * 3 + 4 + 10 + 9 + 10)
    );
    discovery.set_endpoints(json!([
        target("s-0", backend.address, "Terminating"),
        target("s-1", backend.address, "Ready")
    ]));
    wait_until("the new endpoint list shows", || {
        let values = metrics(console);
        (
            values["node.cluster_size"],
            values["node.cluster_unhealthy"],
        ) == (2, 1)
    });
    drop(waiting);
    wait_until("the open request is no longer counted", || {
        metrics(console)["node.current"] == 0
    });
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn a_drain_closes_connections_and_ends_with_the_active_call() {
    let backend = serving("yes");
    let (node, _discovery, _) = start_node(&[&backend]);
    let console = node.console();
    for round in 0..2 {
        let (mut idle, mut kept, mut silent) = (
            Client::connect(node.address),
            Client::connect(node.address),
            Client::connect(node.address),
        );
        assert_eq!(
            idle.request(&get(&format!("i{round}"), ""))
                .expect("a response")
                .status(),
            200
        );
        assert_eq!(
            kept.request(&get(&format!("k{round}"), ""))
                .expect("a response")
                .status(),
            200
        );
        assert_eq!(ready(node.address), 200);
        assert_eq!(call(console, "POST", "/standby").status(), 200);
        assert_eq!(ready(node.address), 503, "not ready at once");
        assert_eq!(
            call(console, "POST", "/standby").status(),
            200,
            "a repeated call succeeds"
        );
        // Requests are still served, on existing and new connections, each of which closes after its response.
        for (id, client) in [
            ("old", &mut kept),
            ("new", &mut Client::connect(node.address)),
        ] {
            let response = client
                .request(&get(&format!("{id}{round}"), ""))
                .expect("a response");
            assert_eq!(
                (response.status(), response.value("connection")),
                (200, Some("close"))
            );
            assert!(client.is_closed());
        }
        let began = Instant::now();
        assert!(
            idle.is_closed() && silent.is_closed(),
            "idle connections are closed"
        );
        assert!(began.elapsed() < Duration::from_secs(3));
        assert_eq!(ready(node.address), 503);
        assert_eq!(
            node.request(&get(&format!("late{round}"), "")).status(),
            200,
            "a draining node still serves requests"
        );
        assert_eq!(call(console, "POST", "/active").status(), 200);
        assert_eq!(ready(node.address), 200);
        let mut again = Client::connect(node.address);
        for n in 0..3 {
            assert_eq!(
                again
                    .request(&get(&format!("b{round}-{n}"), ""))
                    .expect("the connection is kept open")
                    .status(),
                200
            );
        }
    }
}

#[test]
fn sigterm_during_a_drain_ends_the_process() {
    let backend = serving("yes");
    let (mut node, _discovery, _) = start_node(&[&backend]);
    let console = node.console();
    assert_eq!(call(console, "POST", "/standby").status(), 200);
    node.signal("-TERM");
    wait_until("shutdown is logged", || node.has_logged("stopping node="));
    assert_eq!(
        call(console, "POST", "/active").status(),
        409,
        "already stopping"
    );
    assert_eq!(call(console, "POST", "/standby").status(), 200);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_second_process_serves_in_parallel_with_the_first_and_after_its_exit() {
    let backend = serving("yes");
    let (mut old, _discovery, mut config) = start_node(&[&backend]);
    config["listen"] = json!(old.address.to_string());
    let new = Node::start(&config);
    wait_until("the second process can serve", || {
        call(new.console(), "GET", "/status").status() == 200
    });
    for n in 0..20 {
        assert_eq!(old.request(&get(&format!("both{n}"), "")).status(), 200);
    }
    old.signal("-TERM");
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    for n in 0..20 {
        assert_eq!(new.request(&get(&format!("after{n}"), "")).status(), 200);
    }
    let answered = |node: &Node| metrics(node.console())["node.transactions.read.answered"];
    assert!(answered(&new) >= 20, "each process counts its own requests");
}

#[test]
fn an_error_for_an_unavailable_console_address_names_the_setting() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config(taken.local_addr().unwrap(), json!([]));
    config["console"] = json!(taken.local_addr().unwrap().to_string());
    let NodeProcess {
        child,
        config_file: file,
    } = spawn(&config.to_string());
    let ended = child.wait_with_output().unwrap();
    let stderr = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(1));
    assert!(stderr.contains("console: can't listen at"), "{stderr}");
    std::fs::remove_file(file).unwrap();
}

/// A library can be preloaded into the process (LD_PRELOAD) only with dynamic linking.
#[test]
fn the_program_is_linked_dynamically() {
    let program = std::fs::read(badgerpost_fakes::program("badgerpost").unwrap()).unwrap();
    let head = &program[..program.len().min(64 * 1024)];
    assert!(
        head.windows(8).any(|part| part == b"/ld-linu"),
        "the program names no dynamic loader"
    );
}

#[test]
fn console_calls_are_answered_while_the_serving_thread_is_saturated() {
    let backend = serving("yes");
    let (node, _discovery, _) = start_node(&[&backend]);
    let (console, address) = (node.console(), node.address);
    let is_stopping = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let is_stopping = is_stopping.clone();
            thread::spawn(move || {
                let mut stream = Client::connect(address);
                for n in 0.. {
                    if is_stopping.load(Ordering::SeqCst) {
                        return;
                    }
                    // Ten pipelined requests, so that the node always has more to read.
                    let text: String = (0..10)
                        .map(|k| get(&format!("c{client}-{n}-{k}"), ""))
                        .collect();
                    stream.write(&text);
                    if (0..10).any(|_| stream.read().is_none()) {
                        stream = Client::connect(address);
                    }
                }
            })
        })
        .collect();
    let (mut longest_call, mut call_count, started) = (Duration::ZERO, 0, Instant::now());
    while started.elapsed() < Duration::from_secs(2) {
        call_count += 1;
        let began = Instant::now();
        assert_eq!(call(console, "GET", "/status/metrics").status(), 200);
        longest_call = longest_call.max(began.elapsed());
    }
    is_stopping.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let answered = metrics(console)["node.transactions.read.answered"];
    assert!(answered > 500, "only {answered} requests in 2 s");
    println!(
        "longest of {call_count} console calls: {longest_call:?}; {answered} requests answered meanwhile"
    );
}

//! Daily operation: the operators' calls, what the figures say, a drain and its end, a second process beside the first.
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

/// A caller waits no longer than this.
const CALLER: Duration = Duration::from_secs(1);

fn operated(backends: &[&Backend]) -> (Node, Discovery, Value) {
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
    let answer = client
        .request(&format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n"))
        .expect("an answer");
    assert!(
        began.elapsed() < CALLER,
        "{method} {path} took {:?}",
        began.elapsed()
    );
    assert!(client.is_closed(), "one call to a connection");
    answer
}

fn figures(console: SocketAddr) -> HashMap<String, u64> {
    let answer = call(console, "GET", "/status/metrics");
    assert_eq!(answer.status(), 200);
    let text = String::from_utf8(answer.body).unwrap();
    let line = |line: &str| {
        line.split_once('=')
            .map(|(name, value)| (name.to_owned(), value.parse().unwrap()))
    };
    text.lines()
        .map(|text| line(text).unwrap_or_else(|| panic!("no figure: {text}")))
        .collect()
}

fn ready(at: SocketAddr) -> u16 {
    Client::connect(at)
        .request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("an answer")
        .status()
}

fn serving(body: &'static str) -> Backend {
    Backend::new(move |_| ResponsePlan::Respond(ok(body)))
}

#[test]
fn each_console_call_has_its_method_and_response() {
    let backend = serving("yes");
    let (node, _discovery, _) = operated(&[&backend]);
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
            .expect("an answer")
            .status(),
        400
    );
}

/// Callers who connect and say nothing, or begin a call and stop, hold nobody up.
#[test]
fn unfinished_console_calls_do_not_block_others() {
    let backend = serving("yes");
    let (node, _discovery, _) = operated(&[&backend]);
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
fn figures_are_those_of_the_servers_and_clients() {
    let backend = Backend::new(|message| {
        match message.value("x-call-id").unwrap_or_default().as_bytes()[0] {
            b'e' => ResponsePlan::Respond(status(500, "")),
            b'f' => ResponsePlan::Respond(status(503, "X-Rejected: 1\r\n")),
            b'h' => ResponsePlan::Hang,
            _ => ResponsePlan::Respond(ok("yes")),
        }
    });
    let (node, discovery, _) = operated(&[&backend]);
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
    // Taken by nobody, but of a class: failed.
    assert_eq!(
        node.request(&post("pay", "b1", "Idempotency-Key: k\r\n", "x"))
            .status(),
        400
    );
    // One that is still out.
    let mut waiting = Client::connect(node.address);
    waiting.write(&post("pay", "h1", "", "x"));
    let mut sends = 0;
    while backend.next_request().value("x-call-id") != Some("h1") {
        sends += 1;
    }
    sends += 1;
    // The server has it before the node has counted it.
    wait_until("the last send is counted", || {
        figures(console)["node.sends"] >= sends
    });
    let told = figures(console);
    assert_eq!(told["node.transactions.pay.answered"], answered);
    assert_eq!(told["node.transactions.pay.deferred"], deferred);
    assert_eq!(told["node.transactions.pay.errored"], errored + 1);
    assert!(
        answered == 10 && errored > 0,
        "{answered} {deferred} {errored}"
    );
    assert_eq!(told["node.transactions.read.answered"], 0);
    assert_eq!(told["node.sends"], sends);
    assert_eq!(told["node.current"], 1);
    let limits = told
        .keys()
        .filter(|name| name.starts_with("node.connections.closed."));
    assert_eq!(limits.count(), 10);
    assert_eq!((told["node.cluster_size"], told.len()), (1, 3 * 3 + 4 + 10));
    discovery.set_endpoints(json!([
        target("s-0", backend.address, "Terminating"),
        target("s-1", backend.address, "Ready")
    ]));
    wait_until("the list shows", || {
        let told = figures(console);
        (told["node.cluster_size"], told["node.cluster_unhealthy"]) == (2, 1)
    });
    drop(waiting);
    wait_until("who has gone is not counted as open", || {
        figures(console)["node.current"] == 0
    });
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn a_drain_empties_the_node_and_the_second_call_ends_it() {
    let backend = serving("yes");
    let (node, _discovery, _) = operated(&[&backend]);
    let console = node.console();
    for round in 0..2 {
        let (mut idle, mut kept, mut silent) = (
            Client::connect(node.address),
            Client::connect(node.address),
            Client::connect(node.address),
        );
        assert_eq!(
            idle.request(&get(&format!("i{round}"), ""))
                .expect("an answer")
                .status(),
            200
        );
        assert_eq!(
            kept.request(&get(&format!("k{round}"), ""))
                .expect("an answer")
                .status(),
            200
        );
        assert_eq!(ready(node.address), 200);
        assert_eq!(call(console, "POST", "/standby").status(), 200);
        assert_eq!(ready(node.address), 503, "at once");
        assert_eq!(
            call(console, "POST", "/standby").status(),
            200,
            "again: no harm"
        );
        // What still comes is served, on connections from before and on new ones, and ends its connection.
        for (id, client) in [
            ("old", &mut kept),
            ("new", &mut Client::connect(node.address)),
        ] {
            let answer = client
                .request(&get(&format!("{id}{round}"), ""))
                .expect("an answer");
            assert_eq!(
                (answer.status(), answer.value("connection")),
                (200, Some("close"))
            );
            assert!(client.is_closed());
        }
        let began = Instant::now();
        assert!(
            idle.is_closed() && silent.is_closed(),
            "nothing is held idle"
        );
        assert!(began.elapsed() < Duration::from_secs(3));
        assert_eq!(ready(node.address), 503);
        assert_eq!(
            node.request(&get(&format!("late{round}"), "")).status(),
            200,
            "it still serves who comes"
        );
        assert_eq!(call(console, "POST", "/active").status(), 200);
        assert_eq!(ready(node.address), 200);
        let mut again = Client::connect(node.address);
        for n in 0..3 {
            assert_eq!(
                again
                    .request(&get(&format!("b{round}-{n}"), ""))
                    .expect("kept open")
                    .status(),
                200
            );
        }
    }
}

#[test]
fn sigterm_during_a_drain_ends_the_process() {
    let backend = serving("yes");
    let (mut node, _discovery, _) = operated(&[&backend]);
    let console = node.console();
    assert_eq!(call(console, "POST", "/standby").status(), 200);
    node.signal("-TERM");
    wait_until("the node has heard", || node.has_logged("stopping node="));
    assert_eq!(call(console, "POST", "/active").status(), 409, "too late");
    assert_eq!(call(console, "POST", "/standby").status(), 200);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

#[test]
fn a_second_process_serves_beside_the_first_and_after_it() {
    let backend = serving("yes");
    let (mut old, _discovery, mut config) = operated(&[&backend]);
    config["listen"] = json!(old.address.to_string());
    let new = Node::start(&config);
    wait_until("the new one can serve", || {
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
    let answered = |node: &Node| figures(node.console())["node.transactions.read.answered"];
    assert!(answered(&new) >= 20, "each counts for itself");
}

#[test]
fn a_console_address_that_cannot_be_bound_is_named() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config(taken.local_addr().unwrap(), json!([]));
    config["console"] = json!(taken.local_addr().unwrap().to_string());
    let NodeProcess {
        child,
        config_file: file,
    } = spawn(&config.to_string());
    let ended = child.wait_with_output().unwrap();
    let said = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(1));
    assert!(said.contains("console: can't listen at"), "{said}");
    std::fs::remove_file(file).unwrap();
}

/// The fleet trial loads a library of its own into the process: it has to be linked dynamically.
#[test]
fn the_program_is_linked_dynamically() {
    let program = std::fs::read(badgerpost_fakes::program("badgerpost").unwrap()).unwrap();
    let head = &program[..program.len().min(64 * 1024)];
    assert!(
        head.windows(8).any(|part| part == b"/ld-linu"),
        "it names no dynamic loader"
    );
}

/// Callers get their answer within their second while the serving thread has more to do than it can.
#[test]
fn console_calls_are_answered_while_the_serving_thread_is_saturated() {
    let backend = serving("yes");
    let (node, _discovery, _) = operated(&[&backend]);
    let (console, at) = (node.console(), node.address);
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let over = over.clone();
            thread::spawn(move || {
                let mut stream = Client::connect(at);
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    // Ten at a time, so that the node always has some to read.
                    let text: String = (0..10)
                        .map(|k| get(&format!("c{client}-{n}-{k}"), ""))
                        .collect();
                    stream.write(&text);
                    if (0..10).any(|_| stream.read().is_none()) {
                        stream = Client::connect(at);
                    }
                }
            })
        })
        .collect();
    let (mut longest, mut made, started) = (Duration::ZERO, 0, Instant::now());
    while started.elapsed() < Duration::from_secs(2) {
        made += 1;
        let began = Instant::now();
        assert_eq!(call(console, "GET", "/status/metrics").status(), 200);
        longest = longest.max(began.elapsed());
    }
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    let answered = figures(console)["node.transactions.read.answered"];
    assert!(answered > 500, "{answered} requests in 2 s are no load");
    println!("longest of {made} calls: {longest:?}; {answered} requests answered meanwhile");
}

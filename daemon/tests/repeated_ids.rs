//! Requests that come again with the id of an earlier one, whose client has left.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use badgerpost_fakes::scripted::*;
use serde_json::json;

/// How long a backend works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// How long a client waits before it leaves.
const CLIENT_PATIENCE: Duration = Duration::from_millis(50);

fn slow_backend() -> Backend {
    Backend::new(|message| {
        let is_slow = message.value("x-call-id").unwrap().starts_with("slow");
        ResponsePlan::RespondInParts {
            parts: vec![TimedPart {
                pause: if is_slow {
                    SERVICE_TIME
                } else {
                    Duration::ZERO
                },
                text: ok("yes"),
            }],
            closes: false,
        }
    })
}

fn start_node(backend: &Backend) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["window-ns"] = json!(2_000_000_000_u64);
    }
    (Node::start(&config), discovery)
}

/// Sends a request and resets the connection before the response.
fn send_and_leave(node: &Node, text: &str) {
    let mut client = Client::connect(node.address);
    client.write(text);
    thread::sleep(CLIENT_PATIENCE);
    client.reset();
}

/// How often the backend has got a request with this id.
fn runs(backend: &Backend, id: &str) -> usize {
    let ids = backend.requests.try_iter();
    ids.filter(|message| message.value("x-call-id") == Some(id))
        .count()
}

/// Guards against running a request again whose id was forgotten one second after its end.
#[test]
fn an_id_that_may_have_run_is_refused_for_as_long_as_repeats_are_possible() {
    let checks: Vec<_> = [20, 300, 700, 1200, 1800, 2400, 4000]
        .into_iter()
        .map(|after_ms| {
            thread::spawn(move || {
                let backend = slow_backend();
                let (node, _discovery) = start_node(&backend);
                for (class, headers) in [("pay", ""), ("join", "Idempotency-Key: k\r\n")] {
                    let id = format!("slow-{class}");
                    let text = post(class, &id, headers, "x");
                    send_and_leave(&node, &text);
                    thread::sleep(
                        Duration::from_millis(after_ms)
                            - CLIENT_PATIENCE.min(Duration::from_millis(after_ms)),
                    );
                    assert_eq!(node.request(&text).status(), 409, "{class}, {after_ms} ms");
                    assert_eq!(runs(&backend, &id), 1, "{class}, {after_ms} ms");
                }
            })
        })
        .collect();
    for check in checks {
        check.join().unwrap();
    }
}

/// Guards against forgetting an id because many other requests have ended since.
#[test]
fn an_id_that_may_have_run_outlives_thousands_of_others() {
    let backend = slow_backend();
    let (node, _discovery) = start_node(&backend);
    let text = post("pay", "slow-1", "", "x");
    send_and_leave(&node, &text);
    thread::sleep(SERVICE_TIME);
    let clients: Vec<_> = (0..8)
        .map(|client| {
            let address = node.address;
            thread::spawn(move || {
                let mut connection = Client::connect(address);
                for number in 0..700 {
                    let id = format!("other-{client}-{number}");
                    let response = connection.try_request(&get(&id, ""));
                    if response.is_none_or(|response| response.value("connection").is_some()) {
                        connection = Client::connect(address);
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().unwrap();
    }
    assert_eq!(node.request(&text).status(), 409);
    assert_eq!(runs(&backend, "slow-1"), 1);
}

/// An address at which several processes can listen later.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a second process of an upgrade that runs a request again which the first one has run, or the other way
/// round.
#[test]
fn an_id_that_may_have_run_is_refused_by_the_other_process_of_an_upgrade() {
    let backend = slow_backend();
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["listen"] = json!(free_address().to_string());
    config["console"] = json!(free_address().to_string());
    let name = format!("badgerpost-repeated-ids-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let old = Node::start_in(&config, Some(&folder));
    let mut connections_to_old: Vec<_> = (0..2)
        .map(|number| {
            let mut connection = Client::connect(old.address);
            let response = connection.request(&get(&format!("first-{number}"), ""));
            assert_eq!(response.unwrap().status(), 200);
            connection
        })
        .collect();
    let text = |id: &str| post("pay", id, "", "x");
    send_and_leave(&old, &text("slow-before"));
    config["console"] = json!(free_address().to_string());
    let new = Node::start_in(&config, Some(&folder));
    let taken = "the next version takes connections here";
    wait_until(taken, || old.has_logged(taken));
    send_and_leave(&old, &text("slow-during"));
    thread::sleep(SERVICE_TIME);
    for id in ["slow-before", "slow-during"] {
        for _ in 0..8 {
            assert_eq!(new.request(&text(id)).status(), 409, "{id}");
        }
        // A refusal closes its connection.
        let mut connection = connections_to_old.pop().unwrap();
        assert_eq!(connection.request(&text(id)).unwrap().status(), 409, "{id}");
    }
    old.signal("-TERM");
    thread::sleep(SERVICE_TIME);
    for id in ["slow-before", "slow-during"] {
        assert_eq!(new.request(&text(id)).status(), 409, "{id}");
    }
    let runs: Vec<_> = backend.requests.try_iter().collect();
    assert_eq!(runs.len(), 2 + 2, "{runs:?}");
    let _ = std::fs::remove_dir_all(&folder);
}

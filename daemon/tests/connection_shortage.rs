//! Shortage of the node's own connections to backends.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

const UPLOADS: usize = 30;
const UPLOAD_BYTES: usize = 4_000_000;
const UPLOAD_BYTES_PER_SECOND: usize = 80_000;
const TEST_TIME: Duration = Duration::from_secs(3);

/// Uploads at the rate of a slow client until the connection fails.
fn upload_slowly(address: std::net::SocketAddr, number: usize) {
    let body = "x".repeat(UPLOAD_BYTES);
    let text = post("pay", &format!("u{number}"), "", &body);
    let mut stream = Client::connect(address).stream();
    for piece in text.as_bytes().chunks(UPLOAD_BYTES_PER_SECOND / 10) {
        if stream.write_all(piece).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against taking the node's own limit on connections for a failure of the backends, which ejected them, and
/// against slow uploads that leave no connection to other requests.
#[test]
fn uploads_that_hold_many_connections_neither_eject_backends_nor_exclude_requests() {
    let backends = [(); 2].map(|()| Backend::new(|_| ResponsePlan::Respond(ok("yes"))));
    let targets: Vec<Value> = (0..)
        .zip(&backends)
        .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let mut config = config(discovery.address, json!(targets));
    // 30 connections to clients and 17 to backends.
    config["limits"]["sockets"] = json!(64);
    config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(100_000_000);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    for number in 0..UPLOADS {
        let address = node.address;
        thread::spawn(move || upload_slowly(address, number));
    }
    thread::sleep(Duration::from_millis(500));
    let ends_at = Instant::now() + TEST_TIME;
    let mut statuses = Vec::new();
    for number in 0.. {
        if Instant::now() >= ends_at {
            break;
        }
        let text = get(&format!("h{number}"), "");
        let response = Client::connect(node.address).try_request(&text);
        statuses.push(response.map_or(0, |response| response.status()));
        thread::sleep(Duration::from_millis(50));
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 10 >= statuses.len() * 9, "{statuses:?}");
    assert!(!node.has_logged("server ejected"));
}

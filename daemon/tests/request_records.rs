//! Log lines and metrics about failed attempts and requests that got no response.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::net::SocketAddr;

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn start_node(backend: &Backend) -> (Node, Discovery) {
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let mut config = config(discovery.address, json!([]));
    config["console"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

fn count(console: SocketAddr, name: &str) -> u64 {
    let value = metric(console, &format!("node.{name}")).expect("the metric");
    value.parse().expect("a number")
}

/// Guards against failures whose cause no log line and no metric shows.
#[test]
fn a_failed_request_is_logged_and_counted_with_its_reason() {
    let backend = Backend::new(|_| ResponsePlan::Respond(status(500, "")));
    let (node, _discovery) = start_node(&backend);
    assert_eq!(node.request(&post("pay", "f1", "", "")).status(), 502);
    for text in [
        "attempt failed request=\"f1\" server=\"s-0\" attempt=0 reason=\"Error\"",
        "request ended without a response request=\"f1\" class=\"pay\" attempts=1",
        "reason=\"no_retry_target\"",
    ] {
        wait_until(text, || node.has_logged(text));
    }
    let console = node.console();
    assert_eq!(count(console, "attempts.ended.Error"), 1);
    assert_eq!(count(console, "attempts.ended.Served"), 0);
    assert_eq!(count(console, "requests.unanswered.no_retry_target"), 1);
}

/// Guards against refusals of ids in use that no log line and no metric shows.
#[test]
fn a_request_with_an_id_in_use_is_logged_and_counted() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = start_node(&backend);
    assert_eq!(node.request(&post("pay", "d1", "", "")).status(), 200);
    assert_eq!(node.request(&post("pay", "d1", "", "")).status(), 409);
    let line = "request ended without a response request=\"d1\"";
    wait_until(line, || node.has_logged(line));
    assert!(node.has_logged("reason=\"duplicate_id\""));
    let console = node.console();
    assert_eq!(count(console, "requests.unanswered.duplicate_id"), 1);
    assert_eq!(count(console, "attempts.ended.Served"), 1);
}

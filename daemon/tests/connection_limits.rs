//! Metrics and log lines for client connections that a limit closed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use badgerpost_fakes::scripted::*;
use serde_json::json;

/// A node with a console and room for sixteen client connections.
fn node_with_console(backend: &Backend) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["console"] = json!("127.0.0.1:0");
    config["limits"]["sockets"] = json!(74);
    (Node::start(&config), discovery)
}

fn closed_by_limit(node: &Node, name: &str) -> u64 {
    let name = format!("node.connections.closed.{name}");
    let value = metric(node.console(), &name).expect("a metric");
    value.parse().unwrap()
}

#[test]
fn the_limit_that_closes_a_connection_is_counted_and_logged() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = node_with_console(&backend);
    let mut silent = Client::connect(node.address);
    let mut incomplete_head = Client::connect(node.address);
    incomplete_head.write("GET /api HTTP/1.1\r\nX-Ca");
    let mut incomplete_body = Client::connect(node.address);
    let text = post("pay", "half", "", "0123456789");
    incomplete_body.write(&text[..text.len() - 3]);
    assert!(silent.is_closed() && incomplete_head.is_closed());
    assert_eq!(incomplete_body.read().expect("a response").status(), 408);
    for limit in ["first_request", "request_head", "request_body"] {
        wait_until("the limit is counted", || {
            closed_by_limit(&node, limit) == 1
        });
    }
    assert_eq!(closed_by_limit(&node, "idle"), 0);
    wait_until("the limit is logged", || {
        node.has_logged("client connection closed by a limit")
    });
}

#[test]
fn an_eviction_is_counted() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = node_with_console(&backend);
    let _others: Vec<Client> = (0..60).map(|_| Client::connect(node.address)).collect();
    wait_until("connections are evicted", || {
        closed_by_limit(&node, "eviction") > 0
    });
}

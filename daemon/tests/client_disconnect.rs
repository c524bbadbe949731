//! Clients that disconnect while their request waits, connects or is retried: nothing more is sent to a backend for
//! them. Also requests whose time or deduplication window ends before the backend connection is established.

use std::sync::Arc;
use std::time::Duration;

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::slow_connect::SlowConnectBackend;
use serde_json::json;

/// Starts a node without backends, which queues all requests.
fn node_without_backends(mut change: impl FnMut(&mut serde_json::Value)) -> (Node, Discovery) {
    let discovery = Discovery::new(json!([]));
    let mut config = config(discovery.address, json!([]));
    change(&mut config);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// Waits until the node has processed all earlier input: the node serves on one thread, and this request comes last.
fn wait_until_processed(node: &Node) {
    let response = node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(matches!(response.status(), 200 | 503), "{response:?}");
}

/// Adds a backend, and returns the ids that reach it of requests whose clients have disconnected.
fn forwarded_after_disconnect(node: &Node, discovery: &Discovery) -> Vec<String> {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    discovery.set_endpoints(json!([target("s-0", backend.address, "Ready")]));
    // Each response makes the node send queued requests.
    for n in 0..3 {
        assert_eq!(node.request(&get(&format!("stays{n}"), "")).status(), 200);
    }
    let ids = backend
        .requests
        .try_iter()
        .filter_map(|message| message.value("x-call-id").map(str::to_owned));
    ids.filter(|id| !id.starts_with("stays")).collect()
}

/// Guards against a disconnect that stays undetected because data follows the request: hyper looks for one only without
/// it.
#[test]
fn a_disconnect_is_detected_with_any_data_after_the_request() {
    let flood = get("flood", "").repeat(400);
    let incomplete_head = "GET /api HTTP/1.1\r\nHos";
    for extra in [
        "",
        "\r\n",
        &get("behind", ""),
        incomplete_head,
        &"x".repeat(3000),
        &flood,
    ] {
        let (node, discovery) = node_without_backends(|_| {});
        let mut client = Client::connect(node.address);
        client.write(&(get("gone", "") + extra));
        wait_until_processed(&node);
        drop(client);
        wait_until_processed(&node);
        // With more data than is read ahead, the node checks for a disconnect every 20 ms.
        std::thread::sleep(Duration::from_millis(if extra.len() > 16_000 {
            100
        } else {
            0
        }));
        assert_eq!(
            forwarded_after_disconnect(&node, &discovery),
            [""; 0],
            "{} bytes after the request",
            extra.len()
        );
    }
}

#[test]
fn a_disconnect_on_a_connection_to_be_closed_is_detected() {
    for text in [
        get("gone", "Connection: close\r\n"),
        get("gone", "").replace("HTTP/1.1", "HTTP/1.0"),
    ] {
        let (node, discovery) = node_without_backends(|_| {});
        let mut client = Client::connect(node.address);
        client.write(&text);
        wait_until_processed(&node);
        drop(client);
        wait_until_processed(&node);
        assert_eq!(forwarded_after_disconnect(&node, &discovery), [""; 0]);
    }
}

/// The rest of a large body stays unread while its request waits for a backend.
#[test]
fn a_disconnect_within_a_request_body_is_detected() {
    for sent in [70_000, 100_000] {
        let (node, discovery) = node_without_backends(|_| {});
        let mut client = Client::connect(node.address);
        client.write(&post("pay", "gone", "", &"b".repeat(100_000))[..sent]);
        wait_until_processed(&node);
        drop(client);
        std::thread::sleep(Duration::from_millis(100));
        wait_until_processed(&node);
        assert_eq!(
            forwarded_after_disconnect(&node, &discovery),
            [""; 0],
            "{sent} bytes"
        );
    }
}

#[test]
fn no_request_is_forwarded_after_hundreds_of_simultaneous_disconnects() {
    let (node, discovery) = node_without_backends(|_| {});
    let mut clients: Vec<Client> = (0..300).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&(get(&format!("gone{n}"), "") + "\r\n"));
    }
    wait_until_processed(&node);
    drop(clients);
    wait_until_processed(&node);
    assert_eq!(forwarded_after_disconnect(&node, &discovery), [""; 0]);
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_the_connect() {
    let slow_backend = SlowConnectBackend::new();
    let (node, discovery) = node_without_backends(|config| {
        config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
    });
    discovery.set_endpoints(json!([target("s-0", slow_backend.address, "Ready")]));
    discovery.wait_for_watch_from(2);
    let mut client = Client::connect(node.address);
    client.write(&get("gone", ""));
    slow_backend.wait_for_connect_attempt();
    drop(client);
    wait_until_processed(&node);
    slow_backend.make_room();
    assert_eq!(
        slow_backend.read_until_closed(Duration::from_millis(300)),
        ""
    );
}

/// Guards against a retry that starts within the deduplication window but whose connection is established after the
/// window, so that the request runs twice.
#[test]
fn a_retry_is_not_written_after_the_deduplication_window() {
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let first = Backend::new(move |_| ResponsePlan::CloseAfter(backend_latch.clone()));
    let slow_backend = SlowConnectBackend::new();
    let (node, discovery) = node_without_backends(|config| {
        config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
        config["settings"]["classes"][1]["window-ns"] = json!(700_000_000u64);
    });
    let listed = target("s-0", first.address, "Ready");
    discovery.set_endpoints(json!([listed]));
    discovery.wait_for_watch_from(2);
    let mut client = Client::connect(node.address);
    client.write(&post("join", "j1", "Idempotency-Key: k1\r\n", ""));
    assert_eq!(first.next_request().value("x-call-id"), Some("j1"));
    discovery.set_endpoints(json!([
        listed,
        target("s-1", slow_backend.address, "Ready")
    ]));
    discovery.wait_for_watch_from(3);
    // The first attempt may have run. The connect to the other backend completes a second from now.
    latch.release();
    slow_backend.wait_for_connect_attempt();
    slow_backend.make_room();
    assert_eq!(
        slow_backend.read_until_closed(Duration::from_millis(300)),
        "",
        "a retry was written after the window"
    );
    assert_eq!(
        client.read().expect("a response").status(),
        502,
        "the request may have run"
    );
}

/// Guards against closing the connection as stalled because the node does not read the body while no backend is
/// available.
#[test]
fn a_large_request_without_a_backend_is_rejected_in_time() {
    let (node, _discovery) = node_without_backends(|config| {
        config["settings"]["classes"][2]["deadline-ns"] = json!(30_000_000_000u64);
    });
    let text = post("pay", "large", "", &"b".repeat(400_000)).replace("3000", "2000");
    assert_eq!(node.request(&text).status(), 503);
}

/// The backend's listener completes the connection, but nothing is accepted or read.
#[test]
fn a_large_request_to_a_backend_that_reads_nothing_is_rejected_in_time() {
    let silent_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, discovery) = node_without_backends(|_| {});
    discovery.set_endpoints(json!([target(
        "s-0",
        silent_listener.local_addr().unwrap(),
        "Ready"
    )]));
    discovery.wait_for_watch_from(2);
    let mut client = Client::connect(node.address);
    let mut stream = client.stream();
    let text = post("pay", "large", "", &"b".repeat(40_000_000)).replace("3000", "1000");
    // The socket buffers are full long before the end of the body.
    let writer =
        std::thread::spawn(move || std::io::Write::write_all(&mut stream, text.as_bytes()));
    assert_eq!(client.read().expect("a response").status(), 503);
    drop(client);
    let _ = writer.join();
}

#[test]
fn nothing_is_written_for_a_client_that_disconnected_while_its_retry_connects() {
    let slow_backend = SlowConnectBackend::new();
    let (node, discovery) = node_without_backends(|config| {
        config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
    });
    let resetting_backend = Backend::new(|_| ResponsePlan::RespondAndClose(String::new()));
    discovery.set_endpoints(json!([
        target("s-0", resetting_backend.address, "Ready"),
        target("s-1", slow_backend.address, "Ready")
    ]));
    discovery.wait_for_watch_from(2);
    // Both backends are tried, whichever is chosen first.
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&get(&format!("gone{n}"), ""));
    }
    resetting_backend.next_request();
    slow_backend.wait_for_connect_attempt();
    drop(clients);
    wait_until_processed(&node);
    slow_backend.make_room();
    assert_eq!(
        slow_backend.read_until_closed(Duration::from_millis(300)),
        ""
    );
}

/// A suspended node reads a request together with its client's disconnect: no attempt starts, whether the connection is
/// new or used, nor for a request pipelined behind another.
#[test]
fn no_attempt_starts_for_a_client_that_disconnected_before_its_request_was_read() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for round in 0..5 {
        let mut served = Client::connect(node.address);
        let first = served.request(&get(&format!("served{round}"), ""));
        assert_eq!(first.expect("a response").status(), 200);
        let fresh = Client::connect(node.address);
        wait_until_processed(&node);
        node.signal("-STOP");
        let clients = [served, fresh, Client::connect(node.address)];
        for (n, mut client) in clients.into_iter().enumerate() {
            let gone = |part| get(&format!("gone{round}-{n}-{part}"), "");
            client.write(&(gone(1) + &post("pay", &format!("gone{round}-{n}-2"), "", "b")));
        }
        std::thread::sleep(Duration::from_millis(200));
        node.signal("-CONT");
        wait_until_processed(&node);
    }
    std::thread::sleep(Duration::from_millis(200));
    let ids = backend
        .requests
        .try_iter()
        .filter_map(|message| message.value("x-call-id").map(str::to_owned));
    let forwarded: Vec<String> = ids.filter(|id| id.starts_with("gone")).collect();
    assert_eq!(forwarded, [""; 0]);
}

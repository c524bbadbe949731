//! Clients that leave while something is still to be done for them, and connections to backends that come up when it no
//! longer is.

use std::sync::Arc;
use std::time::Duration;

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::slow_connect::SlowConnectBackend;
use serde_json::json;

/// A node that knows of no backend: what it takes, it holds.
fn holding(mut more: impl FnMut(&mut serde_json::Value)) -> (Node, Discovery) {
    let discovery = Discovery::new(json!([]));
    let mut config = config(discovery.address, json!([]));
    more(&mut config);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, discovery)
}

/// Whatever the node was told before this has been taken in: it has one thread, and this comes last.
fn settle(node: &Node) {
    let answer = node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
}

/// What reaches the first backend that comes up, up to a request of a client that stayed.
fn reached(node: &Node, discovery: &Discovery) -> Vec<String> {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    discovery.set_endpoints(json!([target("s-0", backend.address, "Ready")]));
    // Each answer has what is held sent on.
    for n in 0..3 {
        assert_eq!(node.request(&get(&format!("stays{n}"), "")).status(), 200);
    }
    let ids = backend
        .requests
        .try_iter()
        .filter_map(|message| message.value("x-call-id").map(str::to_owned));
    ids.filter(|id| !id.starts_with("stays")).collect()
}

/// The library looks for a client's end only while nothing has come behind its request: with anything there, requests
/// of clients that had left were sent on when a backend came up.
#[test]
fn a_disconnect_is_detected_whatever_follows_the_request() {
    let flood = get("flood", "").repeat(400);
    let half = "GET /api HTTP/1.1\r\nHos";
    for behind in [
        "",
        "\r\n",
        &get("behind", ""),
        half,
        &"x".repeat(3000),
        &flood,
    ] {
        let (node, discovery) = holding(|_| {});
        let mut client = Client::connect(node.address);
        client.write(&(get("gone", "") + behind));
        settle(&node);
        drop(client);
        settle(&node);
        // One that has sent more than is read ahead is looked for every 20 ms.
        std::thread::sleep(Duration::from_millis(if behind.len() > 16_000 {
            100
        } else {
            0
        }));
        assert_eq!(
            reached(&node, &discovery),
            [""; 0],
            "behind it: {} bytes",
            behind.len()
        );
    }
}

/// The same where the connection was to end with its answer anyway.
#[test]
fn a_disconnect_on_a_connections_first_request_is_detected() {
    for text in [
        get("gone", "Connection: close\r\n"),
        get("gone", "").replace("HTTP/1.1", "HTTP/1.0"),
    ] {
        let (node, discovery) = holding(|_| {});
        let mut client = Client::connect(node.address);
        client.write(&text);
        settle(&node);
        drop(client);
        settle(&node);
        assert_eq!(reached(&node, &discovery), [""; 0]);
    }
}

/// A body that is too large to be held waits unread while its request waits for a backend.
#[test]
fn a_disconnect_within_a_request_body_is_detected() {
    for sent in [70_000, 100_000] {
        let (node, discovery) = holding(|_| {});
        let mut client = Client::connect(node.address);
        client.write(&post("pay", "gone", "", &"b".repeat(100_000))[..sent]);
        settle(&node);
        drop(client);
        std::thread::sleep(Duration::from_millis(100));
        settle(&node);
        assert_eq!(reached(&node, &discovery), [""; 0], "{sent} bytes");
    }
}

#[test]
fn hundreds_of_simultaneous_disconnects_leak_nothing() {
    let (node, discovery) = holding(|_| {});
    let mut clients: Vec<Client> = (0..300).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&(get(&format!("gone{n}"), "") + "\r\n"));
    }
    settle(&node);
    drop(clients);
    settle(&node);
    assert_eq!(reached(&node, &discovery), [""; 0]);
}

/// The connection to its backend comes up when its client has left.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_during_the_connect() {
    let late = SlowConnectBackend::new();
    let (node, discovery) = holding(|config| {
        config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
    });
    discovery.set_endpoints(json!([target("s-0", late.address, "Ready")]));
    discovery.wait_for_watch_from(2);
    let mut client = Client::connect(node.address);
    client.write(&get("gone", ""));
    late.wait_for_connect_attempt();
    drop(client);
    settle(&node);
    late.make_room();
    assert_eq!(late.read_until_closed(Duration::from_millis(300)), "");
}

/// Backends remember keys for a while from the first attempt. The second one was begun within that, its connection came
/// up behind it, and it ran again.
#[test]
fn a_retry_is_not_written_after_its_deduplication_window() {
    let latch = Arc::new(Latch::default());
    let waits = latch.clone();
    let first = Backend::new(move |_| ResponsePlan::CloseAfter(waits.clone()));
    let late = SlowConnectBackend::new();
    let (node, discovery) = holding(|config| {
        config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
        config["settings"]["classes"][1]["window-ns"] = json!(700_000_000u64);
    });
    let listed = target("s-0", first.address, "Ready");
    discovery.set_endpoints(json!([listed]));
    discovery.wait_for_watch_from(2);
    let mut client = Client::connect(node.address);
    client.write(&post("join", "j1", "Idempotency-Key: k1\r\n", ""));
    assert_eq!(first.next_request().value("x-call-id"), Some("j1"));
    discovery.set_endpoints(json!([listed, target("s-1", late.address, "Ready")]));
    discovery.wait_for_watch_from(3);
    // It may have run there. The other one of its group lets connections up a second from now.
    latch.release();
    late.wait_for_connect_attempt();
    late.make_room();
    assert_eq!(
        late.read_until_closed(Duration::from_millis(300)),
        "",
        "too late for a repeat"
    );
    assert_eq!(
        client.read().expect("an answer").status(),
        502,
        "it may have run"
    );
}

/// A body that nobody takes is no fault of its client's: it gets an answer, in its time. Its connection was closed
/// instead, once the body had made no progress for long enough (some seconds with this one).
#[test]
fn a_large_request_without_a_backend_is_rejected_in_time() {
    let (node, _discovery) = holding(|config| {
        config["settings"]["classes"][2]["deadline-ns"] = json!(30_000_000_000u64);
    });
    let text = post("pay", "large", "", &"b".repeat(400_000)).replace("3000", "2000");
    assert_eq!(node.request(&text).status(), 503);
}

/// A backend that takes the connection and nothing more.
#[test]
fn a_large_request_to_a_backend_that_reads_nothing_is_rejected_in_time() {
    let deaf = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (node, discovery) = holding(|_| {});
    discovery.set_endpoints(json!([target("s-0", deaf.local_addr().unwrap(), "Ready")]));
    discovery.wait_for_watch_from(2);
    let mut client = Client::connect(node.address);
    let mut stream = client.stream();
    let text = post("pay", "large", "", &"b".repeat(40_000_000)).replace("3000", "1000");
    // Its sockets' buffers fill up long before the end.
    let writer =
        std::thread::spawn(move || std::io::Write::write_all(&mut stream, text.as_bytes()));
    assert_eq!(client.read().expect("an answer").status(), 503);
    drop(client);
    let _ = writer.join();
}

/// The same with a retry: the first attempt broke, the connection of the second one comes up when its client has left.
#[test]
fn nothing_is_written_for_a_client_that_disconnected_while_its_retry_connects() {
    let late = SlowConnectBackend::new();
    let (node, discovery) = holding(|config| {
        config["settings"]["policy-limits"]["connect-timeout-ns"] = json!(5_000_000_000u64);
    });
    let breaks = Backend::new(|_| ResponsePlan::RespondAndClose(String::new()));
    discovery.set_endpoints(json!([
        target("s-0", breaks.address, "Ready"),
        target("s-1", late.address, "Ready")
    ]));
    discovery.wait_for_watch_from(2);
    // Whichever server is chosen first, both are tried.
    let mut clients: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&get(&format!("gone{n}"), ""));
    }
    breaks.next_request();
    late.wait_for_connect_attempt();
    drop(clients);
    settle(&node);
    late.make_room();
    assert_eq!(late.read_until_closed(Duration::from_millis(300)), "");
}

/// The request and its client's end are read together, as the node was held up: nothing is begun for it, on a new
/// connection, on one that has served, nor behind another request.
#[test]
fn no_attempt_starts_for_a_client_that_disconnected_before_its_request_was_read() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for round in 0..5 {
        let mut served = Client::connect(node.address);
        let first = served.request(&get(&format!("served{round}"), ""));
        assert_eq!(first.expect("an answer").status(), 200);
        let fresh = Client::connect(node.address);
        settle(&node);
        node.signal("-STOP");
        let clients = [served, fresh, Client::connect(node.address)];
        for (n, mut client) in clients.into_iter().enumerate() {
            let gone = |part| get(&format!("gone{round}-{n}-{part}"), "");
            client.write(&(gone(1) + &post("pay", &format!("gone{round}-{n}-2"), "", "b")));
        }
        std::thread::sleep(Duration::from_millis(200));
        node.signal("-CONT");
        settle(&node);
    }
    std::thread::sleep(Duration::from_millis(200));
    let ids = backend
        .requests
        .try_iter()
        .filter_map(|message| message.value("x-call-id").map(str::to_owned));
    let begun: Vec<String> = ids.filter(|id| id.starts_with("gone")).collect();
    assert_eq!(begun, [""; 0]);
}

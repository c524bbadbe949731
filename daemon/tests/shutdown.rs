//! Graceful shutdown: requests that arrive while the node stops accepting, and responses still in transit.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn begin_shutdown(node: &Node) {
    node.signal("-TERM");
    wait_until("shutdown is logged", || node.has_logged("stopping node="));
}

/// Starts a node with a single backend that never responds, and class deadlines of 1.5 s.
fn start_node_with_hanging_backend() -> (Node, Backend) {
    let backend = Backend::new(|_| ResponsePlan::Hang);
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let mut config = config(discovery.address, json!([]));
    for class in 0..3 {
        config["settings"]["classes"][class]["deadline-ns"] = json!(1_500_000_000u64);
    }
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    (node, backend)
}

/// Guards against closing a connection after a response while a further request on this connection has already been
/// read.
#[test]
fn pipelined_requests_read_at_once_are_all_answered_during_shutdown() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    assert_eq!(
        client.request(&get("r0", "")).expect("a response").status(),
        200
    );
    begin_shutdown(&node);
    client.write(&(get("r1", "") + &get("r2", "") + &post("pay", "r3", "", "last")));
    for (n, closes) in [(1, false), (2, false), (3, true)] {
        let response = client
            .read()
            .unwrap_or_else(|| panic!("a response to r{n}"));
        assert_eq!(
            (response.status(), response.value("connection").is_some()),
            (200, closes),
            "r{n}"
        );
    }
    assert!(client.is_closed());
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A client sends a request while the node closes the idle connection. The node forwards nothing and closes without a
/// reset, so the client can tell that the request was not processed.
#[test]
fn an_idle_connection_closed_at_shutdown_is_not_reset_by_a_late_request() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(get("c0", "").as_bytes()).unwrap();
    let mut response = [0; 4096];
    assert!(stream.read(&mut response).unwrap() > 0);
    begin_shutdown(&node);
    assert_eq!(stream.read(&mut response).unwrap(), 0, "end of stream");
    let began = Instant::now();
    // A reset is reported by the next write or read.
    while began.elapsed() < Duration::from_millis(200) {
        stream
            .write_all(get("c1", "").as_bytes())
            .expect("the connection was reset");
        assert_eq!(
            stream.take_error().unwrap().map(|error| error.kind()),
            None::<ErrorKind>
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        backend.take_request_count(),
        1,
        "only the first request is forwarded"
    );
}

/// SIGKILL follows SIGTERM after the longest deadline plus 0.7 s. A request that is completed late in the shutdown gets
/// a response before that, even if the backend does not respond.
#[test]
fn a_request_completed_late_in_the_shutdown_is_answered_before_the_exit() {
    let (mut node, _backend) = start_node_with_hanging_backend();
    let text = post("pay", "late", "", "0123456789");
    let mut client = Client::connect(node.address);
    client.write(&text[..text.len() - 1]);
    assert_eq!(
        node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status(),
        200
    );
    let began = Instant::now();
    begin_shutdown(&node);
    wait_until("new connections are refused", || {
        TcpStream::connect(node.address).is_err()
    });
    // The longest deadline, counted from now, ends after SIGKILL.
    wait_until("one second has passed", || {
        began.elapsed() > Duration::from_millis(1000)
    });
    client.write(&text[text.len() - 1..]);
    let response = client.read().expect("a response");
    assert_eq!(response.status(), 502, "the request may have run");
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert!(
        began.elapsed() < Duration::from_millis(2200),
        "{:?}",
        began.elapsed()
    );
}

/// Connections accepted until the listener closes: each request gets exactly one response.
#[test]
fn every_request_accepted_while_backends_hang_is_answered_before_the_exit() {
    let (mut node, _backend) = start_node_with_hanging_backend();
    begin_shutdown(&node);
    let mut open = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(node.address) {
        let id = format!("h{}", open.len());
        if stream.write_all(get(&id, "").as_bytes()).is_ok() {
            open.push(stream);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(
        open.len() > 5,
        "only {} connections were accepted",
        open.len()
    );
    let responses = open.into_iter().map(|mut stream| {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text
    });
    let responses: Vec<String> = responses.collect();
    // The last connection may have been reset in the accept queue as the listener closed.
    let unanswered = responses
        .iter()
        .rev()
        .take_while(|text| text.is_empty())
        .count();
    assert!(
        unanswered <= 1,
        "{unanswered} of {} got no response",
        responses.len()
    );
    for text in &responses[..responses.len() - unanswered] {
        assert!(text.starts_with("HTTP/1.1 5"), "{text:?}");
        assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// An incomplete request line gets 503 or a close; the node does not wait for the rest.
#[test]
fn an_incomplete_request_line_does_not_delay_the_exit() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    assert_eq!(
        client.request(&get("l0", "")).expect("a response").status(),
        200
    );
    client.write("GET /api HT");
    assert_eq!(node.request(&get("l1", "")).status(), 200);
    let began = Instant::now();
    begin_shutdown(&node);
    if let Some(response) = client.read() {
        assert_eq!(response.status(), 503);
    }
    assert!(client.is_closed());
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "{:?}",
        began.elapsed()
    );
}

/// Each pipelined request that was read gets a response before SIGKILL, including requests read after the listener
/// closed, while the backend does not respond.
#[test]
fn pipelined_requests_are_answered_before_the_exit_while_backends_hang() {
    let (mut node, backend) = start_node_with_hanging_backend();
    let burst: String = (0..30)
        .map(|n| post("pay", &format!("b{n}"), "", "0123456789").replace("3000", "1500"))
        .collect();
    let mut client = Client::connect(node.address);
    client.write(&burst);
    assert_eq!(backend.next_request().value("x-call-id"), Some("b0"));
    let began = Instant::now();
    begin_shutdown(&node);
    for n in 0..30 {
        let response = client.read();
        let status = response
            .unwrap_or_else(|| panic!("a response to b{n}"))
            .status();
        assert_eq!(status, if n == 0 { 502 } else { 503 }, "b{n}");
    }
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2200), "{took:?}");
    assert!(client.is_closed());
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert_eq!(
        backend.take_request_count(),
        0,
        "only the first request is forwarded"
    );
}

/// A head that was begun before SIGTERM and completed after the listener closed is answered before SIGKILL, 3.7 s after
/// SIGTERM, even if the deadline of its class is longer.
#[test]
fn a_head_completed_during_the_shutdown_is_answered_before_sigkill() {
    let backend = Backend::new(|_| ResponsePlan::Hang);
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let mut config = config(discovery.address, json!([]));
    for class in 0..3 {
        config["settings"]["classes"][class]["deadline-ns"] = json!(10_000_000_000u64);
    }
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    let text = get("slow", "").replace("3000", "9000");
    let (first, rest) = text.split_at(40);
    let mut client = Client::connect(node.address);
    client.write(first);
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    begin_shutdown(&node);
    std::thread::sleep(Duration::from_millis(1200));
    client.write(rest);
    let response = client.read().expect("a response");
    assert!(response.status() >= 500, "{response:?}");
    let took = began.elapsed();
    assert!(took < Duration::from_millis(3700), "{took:?}");
}

/// A head that is begun before SIGTERM and never completed is answered with 503.
#[test]
fn an_incomplete_head_is_answered_before_the_exit() {
    let (mut node, _backend) = start_node_with_hanging_backend();
    let mut client = Client::connect(node.address);
    client.write("GET /api HTTP/1.1\r\nX-Call-Id: half");
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    begin_shutdown(&node);
    assert_eq!(client.read().expect("a response").status(), 503);
    assert!(client.is_closed());
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2200), "{took:?}");
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Repeated SIGHUP, SIGTERM and SIGINT during open requests: each request is answered, and the node shuts down once.
#[test]
fn repeated_signals_lose_no_request() {
    let backend = Backend::new(|_| {
        std::thread::sleep(Duration::from_millis(400));
        ResponsePlan::Respond(ok("yes"))
    });
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    for round in 0..2 {
        let mut open: Vec<Client> = (0..10).map(|_| Client::connect(node.address)).collect();
        for (n, client) in open.iter_mut().enumerate() {
            client.write(&post("pay", &format!("s{round}-{n}"), "", "body"));
        }
        let signals: &[&str] = match round {
            0 => &["-HUP", "-HUP", "-HUP"],
            _ => &["-HUP", "-TERM", "-HUP", "-INT", "-TERM", "-INT", "-HUP"],
        };
        for signal in signals {
            node.signal(signal);
            std::thread::sleep(Duration::from_millis(20));
        }
        for (n, client) in open.iter_mut().enumerate() {
            let response = client
                .read()
                .unwrap_or_else(|| panic!("a response to s{round}-{n}"));
            assert_eq!(response.status(), 200, "s{round}-{n}");
        }
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert_eq!(node.log_count("stopping node="), 1);
}

/// Guards against a reset on exit that discards a response which the client has not read yet.
#[test]
fn the_last_response_reaches_a_client_that_reads_after_the_exit() {
    let body = "b".repeat(60_000);
    let text = ok(&body);
    let backend = Backend::new(move |_| ResponsePlan::Respond(text.clone()));
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("last", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("last"));
    begin_shutdown(&node);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let response = client.read().expect("a response");
    assert_eq!((response.status(), response.body.len()), (200, body.len()));
}

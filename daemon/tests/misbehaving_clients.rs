//! Malicious and faulty clients: they get an error or a close in time, and other clients are still served.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn serving() -> Backend {
    Backend::new(|_| ResponsePlan::Respond(ok("yes")))
}

/// A node with room for sixteen client connections, a third of what these tests open.
fn node_with_few_descriptors(backend: &Backend) -> Node {
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let mut config = config(
        discovery.address,
        json!([target("s-0", backend.address, "Ready")]),
    );
    config["limits"]["sockets"] = json!(50);
    Node::start(&config)
}

fn connect_silent_clients(node: &Node, count: usize) -> Vec<Client> {
    (0..count).map(|_| Client::connect(node.address)).collect()
}

#[test]
fn silent_connections_are_evicted_for_new_clients() {
    let backend = serving();
    let node = node_with_few_descriptors(&backend);
    let mut others = connect_silent_clients(&node, 48);
    assert_eq!(node.request(&get("s0", "")).status(), 200);
    others
        .iter_mut()
        .for_each(|client| assert!(client.is_closed(), "not evicted"));
}

#[test]
fn idle_connections_are_evicted_for_new_clients() {
    let backend = serving();
    let node = node_with_few_descriptors(&backend);
    let mut kept = Vec::new();
    for n in 0..40 {
        let mut client = Client::connect(node.address);
        assert_eq!(
            client
                .request(&get(&format!("i{n}"), ""))
                .expect("a response")
                .status(),
            200
        );
        kept.push(client);
    }
}

/// Idle connections must not use up the connection limit of a proxy in front of the node.
#[test]
fn a_connection_closes_after_its_response_while_many_are_idle() {
    let backend = serving();
    let node = node_with_few_descriptors(&backend);
    let sent = Cell::new(0);
    let send_request = || {
        let n = sent.replace(sent.get() + 1);
        let mut client = Client::connect(node.address);
        let response = client
            .request(&get(&format!("m{n}"), ""))
            .expect("a response");
        assert_eq!(response.status(), 200);
        (
            client,
            response
                .value("connection")
                .is_some_and(|value| value == "close"),
        )
    };
    let kept: Vec<(Client, bool)> = (0..8).map(|_| send_request()).collect();
    assert!(
        kept.iter().all(|(_, closes)| !closes),
        "a connection was closed below the limit"
    );
    let (mut surplus, closes) = send_request();
    assert!(closes && surplus.is_closed());
    drop(kept);
    wait_until("connections are kept open again", || !send_request().1);
}

#[test]
fn a_connection_with_a_request_is_not_evicted() {
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend =
        Backend::new(move |_| ResponsePlan::RespondAfter(backend_latch.clone(), ok("late")));
    let node = node_with_few_descriptors(&backend);
    let mut open = Client::connect(node.address);
    open.write(&get("o0", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("o0"));
    let mut others = connect_silent_clients(&node, 48);
    others
        .iter_mut()
        .take(8)
        .for_each(|client| assert!(client.is_closed()));
    latch.release();
    assert_eq!(open.read().expect("a response").body, b"late");
}

/// A trickle of bytes does not extend the time limit of an incomplete request.
#[test]
fn an_incomplete_request_times_out() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let started = Instant::now();
    let head = "GET /api HTTP/1.1\r\nX-Drop: ".to_owned();
    let body = post("pay", "t1", "", "").replace("Content-Length: 0", "Content-Length: 60000");
    for (text, expected) in [(head, None), (body, Some(408))] {
        let mut client = Client::connect(node.address);
        client.write(&text);
        let mut trickle = client.stream();
        thread::spawn(move || {
            while trickle.write_all(b"x").is_ok() {
                thread::sleep(Duration::from_millis(50));
            }
        });
        if let Some(status) = expected {
            assert_eq!(client.read().expect("a response").status(), status);
        }
        assert!(client.is_closed());
    }
    // The limit is 3 s for each of the two; the margin is for slow machines.
    assert!(started.elapsed() < Duration::from_secs(8));
    assert_eq!(backend.take_request_count(), 0);
}

/// Guards against request smuggling with ambiguous body lengths.
#[test]
fn a_length_beside_a_transfer_coding_is_rejected_in_either_order() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let hidden = get("hidden", "");
    let chunked = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    let (length, coding) = (
        format!("Content-Length: {}\r\n", chunked.len()),
        "Transfer-Encoding: chunked\r\n",
    );
    for headers in [
        format!("{length}{coding}"),
        format!("{coding}{length}"),
        format!("{coding}{coding}"),
        "Transfer-Encoding: gzip, chunked\r\n".to_owned(),
        "Transfer-Encoding: identity\r\n".to_owned(),
        "Transfer-Encoding : chunked\r\n".to_owned(),
        "X: y\r\n z: folded\r\nContent-Length: 0\r\n".to_owned(),
    ] {
        let text = post("pay", "c1", "", "").replace("Content-Length: 0\r\n", &headers) + &chunked;
        let mut client = Client::connect(node.address);
        assert_eq!(
            client.request(&text).expect("a response").status(),
            400,
            "{headers}"
        );
        assert!(client.is_closed(), "the body was parsed as another request");
    }
    // The same for a request pipelined behind a valid one.
    let bad =
        post("pay", "c2", "", "").replace("Content-Length: 0\r\n", &format!("{length}{coding}"));
    let mut client = Client::connect(node.address);
    assert_eq!(
        client
            .request(&(get("good", "") + &bad + &chunked))
            .expect("a response")
            .status(),
        200
    );
    assert_eq!(client.read().expect("a response").status(), 400);
    assert!(client.is_closed());
    assert_eq!(backend.take_request_count(), 1);
}

#[test]
fn invalid_lengths_are_rejected_before_the_body_is_read() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for length in [
        "-1",
        "1\r\nContent-Length: 2",
        "0\r\ncontent-length: 0",
        "1, 2",
        "0x10",
        "",
        "18446744073709551616",
        "99999999999999999999999999",
    ] {
        let text = post("pay", "l1", "", "").replace("Length: 0", &format!("Length: {length}"));
        let mut client = Client::connect(node.address);
        assert_eq!(
            client.request(&text).expect("a response").status(),
            400,
            "{length}"
        );
        assert!(client.is_closed(), "{length}");
    }
    assert_eq!(backend.take_request_count(), 0);
}

/// Guards against a reset that discards the error response while the client still sends.
#[test]
fn the_error_response_is_not_lost_while_a_large_body_arrives() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let length = 60_000_000;
    let text = post("nobody", "b1", "", "").replace("Length: 0", &format!("Length: {length}"));
    stream.write_all(text.as_bytes()).unwrap();
    // The whole body is sent before the response is read.
    stream
        .write_all(&vec![b'x'; length])
        .expect("the node stopped reading the body");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the connection was reset");
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
}

/// Backends identify requests by id: a second request with the id of an open one must not be forwarded.
#[test]
fn the_id_of_an_open_request_is_rejected() {
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend =
        Backend::new(move |_| ResponsePlan::RespondAfter(backend_latch.clone(), ok("mine")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut owner = Client::connect(node.address);
    owner.write(&post("pay", "d1", "", "mine"));
    assert_eq!(backend.next_request().value("x-call-id"), Some("d1"));
    assert_eq!(node.request(&post("pay", "d1", "", "theirs")).status(), 409);
    latch.release();
    assert_eq!(owner.read().expect("a response").body, b"mine");
    assert_eq!(backend.take_request_count(), 0);
}

/// With its descriptor limit exhausted by clients the node still connects to its backends, and to discovery once it is
/// up.
#[test]
fn idle_clients_leave_descriptors_for_discovery_and_backends() {
    for sockets in [32, 64, 256] {
        let (old, new) = (
            serving(),
            Backend::new(|_| ResponsePlan::Respond(ok("new"))),
        );
        // Discovery accepts connections but does not respond.
        let down = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config = config(
            down.local_addr().unwrap(),
            json!([target("s-0", old.address, "Ready")]),
        );
        config["limits"]["sockets"] = json!(sockets);
        let node = Node::start(&config);
        let limit = format!("--nofile={sockets}:{sockets}");
        let id = node.child.id().to_string();
        let status = std::process::Command::new("prlimit")
            .args(["--pid", &id, &limit])
            .status();
        assert!(status.expect("prlimit runs").success());
        // Idle connections, incomplete heads, and connections without a request.
        let mut others = Vec::new();
        for n in 0..sockets {
            let mut client = Client::connect(node.address);
            match n % 3 {
                0 => client.write(&get(&format!("{sockets}idle{n}"), "")),
                1 => client.write("GET /api HTTP/1.1\r\nHos"),
                _ => {}
            }
            others.push(client);
        }
        for n in 0..5 {
            assert_eq!(
                node.request(&get(&format!("{sockets}r{n}"), "")).body,
                b"yes",
                "{sockets}"
            );
        }
        let discovery = Discovery::on_listener(down, json!([target("s-1", new.address, "Ready")]));
        let began = std::time::Instant::now();
        discovery.wait_for_watch_from(1);
        assert!(
            began.elapsed() < Duration::from_secs(6),
            "{sockets}: {:?}",
            began.elapsed()
        );
        for n in 0..5 {
            assert_eq!(
                node.request(&get(&format!("{sockets}q{n}"), "")).body,
                b"new",
                "{sockets}"
            );
        }
        assert!(!node.has_logged("Too many open files"), "{sockets}");
        drop(others);
    }
}

#[test]
fn stalled_and_idle_connections_are_evicted_for_requests() {
    let backend = serving();
    let discovery = Discovery::new(json!([target("s-0", backend.address, "Ready")]));
    let mut config = config(discovery.address, json!([]));
    // 32 of the sockets are for client connections.
    config["limits"]["sockets"] = json!(79);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    let mut others = Vec::new();
    for n in 0..200 {
        let mut client = Client::connect(node.address);
        match n % 3 {
            0 => client.write(&get(&format!("once{n}"), "")),
            1 => client.write("GET /api HTTP/1.1\r\nHos"),
            _ => client.write(
                &post("pay", &format!("half{n}"), "", "body").replace("Length: 4", "Length: 400"),
            ),
        }
        others.push(client);
    }
    let began = std::time::Instant::now();
    for n in 0..10 {
        assert_eq!(node.request(&get(&format!("r{n}"), "")).status(), 200);
    }
    // Without evictions the 133 incomplete requests would occupy the 32 connections for 2.5 s each, ten seconds in all.
    assert!(
        began.elapsed() < Duration::from_secs(7),
        "{:?}",
        began.elapsed()
    );
    drop(others);
}

/// Guards against an incomplete request on a used connection that gets the idle limit instead of the limit of a head.
#[test]
fn half_a_request_on_a_used_connection_times_out() {
    let backend = Backend::new(|_| {
        thread::sleep(Duration::from_millis(100));
        ResponsePlan::Respond(ok("yes"))
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let half_body = post("pay", "half", "", "0123456789");
    let halves = [
        "GET /api HTTP/1.1\r\nX-Ca",
        "G",
        &half_body[..half_body.len() - 3],
    ];
    let cases = halves.iter().flat_map(|half| {
        [
            "with the first request",
            "before the first response",
            "after the first response",
        ]
        .map(|when| (*half, when))
    });
    let mut clients = Vec::new();
    for (n, (half, when)) in cases.enumerate() {
        let whole = get(&format!("whole{n}"), "");
        let mut client = Client::connect(node.address);
        if when == "with the first request" {
            client.write(&(whole + half));
        } else {
            client.write(&whole);
        }
        if when == "before the first response" {
            assert!(backend.next_request().value("x-call-id").is_some());
            client.write(half);
        }
        clients.push((client, half, when));
    }
    for (client, half, when) in &mut clients {
        assert_eq!(client.read().expect("a response").status(), 200);
        if *when == "after the first response" {
            client.write(half);
        }
    }
    let began = Instant::now();
    for (client, half, when) in &mut clients {
        if let Some(response) = client.read() {
            assert_eq!(response.status(), 408, "{half:?} {when}");
        }
        let took = began.elapsed();
        assert!(took < Duration::from_secs(3), "{half:?} {when}: {took:?}");
    }
}

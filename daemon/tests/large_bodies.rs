//! Request and response bodies of any size in every framing of HTTP/1.1, and connections that break within a body.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Limit on the node's peak resident memory while many large bodies are in transit.
const MAX_RESIDENT_KB: u64 = 48 * 1024;

fn pattern(length: usize) -> String {
    (0..length)
        .map(|n| char::from(b'a' + (n * 7 + n / 251) as u8 % 26))
        .collect()
}

fn chunked(body: &str, size: usize) -> String {
    let chunks = body.as_bytes().chunks(size);
    let text: String = chunks
        .map(|chunk| {
            format!(
                "{:X};x=\"y\"\r\n{}\r\n",
                chunk.len(),
                String::from_utf8_lossy(chunk)
            )
        })
        .collect();
    text + "0\r\nX-Trailer: t\r\n\r\n"
}

fn post_chunked(class: &str, id: &str, body: &str, size: usize) -> String {
    post(class, id, "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "")
        + &chunked(body, size)
}

fn echo() -> Backend {
    Backend::new(|message| ResponsePlan::Respond(ok(&String::from_utf8_lossy(&message.body))))
}

fn peak_resident_kb(node: &Node) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn bodies_of_any_size_are_forwarded_unchanged_in_either_framing() {
    let backend = echo();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for (n, length) in [
        0,
        1,
        1000,
        65_535,
        65_536,
        65_537,
        200_000,
        LARGE_BODY_BYTES,
    ]
    .into_iter()
    .enumerate()
    {
        let body = pattern(length);
        for (framing, text) in [
            ("length", post("pay", &format!("l{n}"), "", &body)),
            (
                "chunks",
                post_chunked("pay", &format!("c{n}"), &body, 1 + length / 3),
            ),
            (
                "expect",
                post("pay", &format!("e{n}"), "Expect: 100-continue\r\n", &body),
            ),
        ] {
            let mut client = Client::connect(node.address);
            let writer = thread::spawn({
                let mut stream = client.stream();
                move || stream.write_all(text.as_bytes())
            });
            let mut response = client.read().expect("a response");
            if response.status() == 100 {
                response = client.read().expect("the final response");
            }
            assert_eq!(response.status(), 200, "{framing} of {length}");
            assert!(
                response.body == body.as_bytes(),
                "{framing} of {length}: {} bytes",
                response.body.len()
            );
            writer.join().unwrap().expect("the whole request is read");
        }
    }
}

#[test]
fn pipelined_requests_split_at_any_byte_are_answered() {
    let backend = echo();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = pattern(3000);
    let texts = [
        post("pay", "p1", "", &body),
        post_chunked("pay", "p2", &body, 700),
        get("p3", ""),
    ];
    let mut client = Client::connect(node.address);
    client.write_in_pieces(texts.concat().as_bytes(), 97);
    for expected in [body.as_bytes(), body.as_bytes(), b""] {
        let response = client.read().expect("a response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, expected)
        );
    }
    let absolute = get("p4", "").replace("GET /api", "GET http://origin.svc/api");
    assert_eq!(client.request(&absolute).expect("a response").status(), 200);
    let first = backend
        .requests
        .try_iter()
        .map(|message| message.start_line)
        .last()
        .unwrap();
    assert_eq!(
        first, "GET /api?x=1 HTTP/1.1",
        "backends get path and query only"
    );
}

#[test]
fn responses_of_every_framing_are_forwarded_unchanged() {
    let body = pattern(LARGE_BODY_BYTES);
    let sent = body.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("chunks") => ResponsePlan::Respond(format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunked(&sent, 100_000)
        )),
        Some("interim") => ResponsePlan::Respond(format!(
            "HTTP/1.1 103 Early\r\nLink: x\r\n\r\n{}",
            ok(&sent)
        )),
        Some("close") => ResponsePlan::RespondAndClose(format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{sent}"
        )),
        _ => ResponsePlan::Respond(ok(&sent)),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for id in ["length", "chunks", "interim", "close"] {
        let response = node.request(&get(id, ""));
        assert_eq!(response.status(), 200, "{id}");
        assert!(
            response.body == body.as_bytes(),
            "{id}: {} bytes",
            response.body.len()
        );
    }
}

#[test]
fn a_large_response_is_streamed_as_it_arrives() {
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend = Backend::new(move |_| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n");
        ResponsePlan::RespondInTwoParts {
            first: head + &pattern(10_000),
            latch: backend_latch.clone(),
            second: pattern(LARGE_BODY_BYTES)[10_000..].to_owned(),
        }
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("g1", ""));
    let mut stream = client.stream();
    let mut received = Vec::new();
    while !received.ends_with(&pattern(10_000).as_bytes()[9_900..]) {
        let mut piece = [0; 512];
        let read = stream
            .read(&mut piece)
            .expect("the first bytes arrive while the backend holds the rest back");
        assert!(read > 0);
        received.extend_from_slice(&piece[..read]);
    }
    latch.release();
    let mut rest = vec![0; LARGE_BODY_BYTES - 10_000];
    stream.read_exact(&mut rest).expect("the rest");
    assert!(rest == pattern(LARGE_BODY_BYTES).as_bytes()[10_000..]);
}

/// A response whose beginning was forwarded is not retried; the client can tell that the response is truncated.
#[test]
fn an_aborted_large_response_is_truncated_and_never_retried() {
    let backend = Backend::new(|_| {
        let body = pattern(300_000);
        ResponsePlan::RespondAndClose(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{body}"
        ))
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("b1", ""));
    let mut all = Vec::new();
    let _ = client.stream().read_to_end(&mut all);
    assert!(all.starts_with(b"HTTP/1.1 200 ") && all.len() < LARGE_BODY_BYTES);
    assert_eq!(backend.take_request_count(), 1);
}

/// A small response is buffered, so a retry is possible as long as nothing of the response was forwarded.
#[test]
fn an_aborted_small_response_is_retried_if_its_request_is_idempotent() {
    for (text, expected, attempts) in [
        (get("s1", ""), 200, 2),
        (post("pay", "s1", "", "x"), 502, 1),
    ] {
        let requests = std::sync::atomic::AtomicU32::new(0);
        let backend = Backend::new(move |_| {
            match requests.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
                0 => ResponsePlan::RespondAndClose(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc".to_owned(),
                ),
                _ => ResponsePlan::Respond(ok("yes")),
            }
        });
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        assert_eq!(node.request(&text).status(), expected);
        assert_eq!(backend.take_request_count(), attempts);
    }
}

/// The sent part of a body is not kept, so the node cannot retry. The backend never received the complete request, so
/// the request did not run and 503 allows the client to repeat it.
#[test]
fn a_request_whose_upload_is_reset_is_rejected_without_a_retry() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let connections = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let counter = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            // Reads the beginning of the body and closes.
            let mut stream = stream;
            let mut beginning = vec![0; 200_000];
            let _ = stream.read_exact(&mut beginning);
        }
    });
    let discovery = Discovery::new(serde_json::json!([target("s-0", at, "Ready")]));
    let node = Node::start(&config(discovery.address, serde_json::json!([])));
    discovery.wait_for_watch_from(1);
    for (id, class, headers) in [("r1", "pay", ""), ("r2", "join", "Idempotency-Key: k\r\n")] {
        let mut client = Client::connect(node.address);
        let text = post(class, id, headers, &pattern(LARGE_BODY_BYTES));
        let mut stream = client.stream();
        thread::spawn(move || stream.write_all(text.as_bytes()));
        assert_eq!(client.read().expect("a response").status(), 503, "{class}");
    }
    assert_eq!(
        connections.load(std::sync::atomic::Ordering::SeqCst),
        2,
        "one attempt each"
    );
}

/// A client that disconnects within a body cancels the attempt; the backend is not ejected.
#[test]
fn a_client_that_disconnects_within_its_upload_leaks_nothing() {
    let backend = echo();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for n in 0..20 {
        let mut client = Client::connect(node.address);
        let text = post("pay", &format!("gone{n}"), "", &pattern(LARGE_BODY_BYTES));
        client.write(&text[..300_000]);
        drop(client);
    }
    assert_eq!(node.request(&post("pay", "after", "", "yes")).body, b"yes");
    assert!(!node.has_logged("ejected"));
    assert_eq!(
        backend
            .requests
            .try_iter()
            .filter(|m| m.value("x-call-id") != Some("after"))
            .count(),
        0
    );
}

/// The client timeout starts with the last byte of the request; a body may arrive at 64 kB/s.
#[test]
fn a_slow_body_is_accepted_and_a_stalled_one_times_out() {
    let backend = echo();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = pattern(200_000);
    let text = post("pay", "slow", "", &body).replace("Budget-Ms: 3000", "Budget-Ms: 500");
    let mut client = Client::connect(node.address);
    let began = Instant::now();
    for piece in text.as_bytes().chunks(6_400) {
        client.stream().write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(100));
    }
    assert!(
        began.elapsed() > Duration::from_millis(2500),
        "the body took longer than the limit of a head"
    );
    let response = client.read().expect("a response");
    assert_eq!((response.status(), response.body.len()), (200, body.len()));
    for (id, sent_bytes) in [("half", 1000), ("part", 100_000)] {
        let mut stalled = Client::connect(node.address);
        let text = post("pay", id, "", &body);
        stalled.write(&text[..sent_bytes]);
        let began = Instant::now();
        while stalled.read().is_some() {}
        assert!(began.elapsed() < Duration::from_secs(10), "{id}");
    }
    assert_eq!(
        backend.requests.try_iter().count(),
        1,
        "incomplete requests are not forwarded"
    );
}

#[test]
fn many_large_responses_to_slow_readers_stay_within_the_memory_limit() {
    const RESPONSE_BYTES: usize = 8 * 1024 * 1024;
    let body = pattern(RESPONSE_BYTES);
    let backend = Backend::new(move |_| ResponsePlan::Respond(ok(&body)));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let readers: Vec<_> = (0..40)
        .map(|n| {
            let mut client = Client::connect(node.address);
            client.write(&get(&format!("m{n}"), ""));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(300));
                client.read().map_or(0, |response| response.body.len())
            })
        })
        .collect();
    for reader in readers {
        assert_eq!(reader.join().unwrap(), RESPONSE_BYTES);
    }
    let peak_kb = peak_resident_kb(&node);
    assert!(
        peak_kb < MAX_RESIDENT_KB,
        "{peak_kb} kB of peak resident memory"
    );
}

/// Starts a backend that responds to the first bytes of a request, and reads nothing more.
fn backend_that_responds_early(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let response = response.clone();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]);
                let _ = stream.write_all(response.as_bytes());
                thread::sleep(Duration::from_secs(5));
            });
        }
    });
    address
}

/// Guards against aborting the upload when the response begins, which closed the backend connection and truncated the
/// response.
#[test]
fn an_early_response_reaches_a_client_that_still_uploads() {
    let response = ok(&"x".repeat(200_000));
    let address = backend_that_responds_early(response.clone());
    let targets = json!([target("s-0", address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let node = Node::start(&config(discovery.address, targets));
    let mut reader = TcpStream::connect(node.address).unwrap();
    let mut writer = reader.try_clone().unwrap();
    let request = post("pay", "r1", "", &"b".repeat(20_000_000));
    thread::spawn(move || writer.write_all(request.as_bytes()));
    let mut received = Vec::new();
    reader.read_to_end(&mut received).unwrap();
    assert!(received.len() > 200_000, "{} bytes", received.len());
}

//! Bodies of any size, both ways, in every framing of HTTP/1.1, and what breaks in their midst.
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

const LARGE: usize = 4 * 1024 * 1024;
/// The most that a node may hold resident while many large bodies are under way, in kB.
const RESIDENT_MOST: u64 = 48 * 1024;

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

fn resident(node: &Node) -> u64 {
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
    for (n, length) in [0, 1, 1000, 65_535, 65_536, 65_537, 200_000, LARGE]
        .into_iter()
        .enumerate()
    {
        let body = pattern(length);
        for (kind, text) in [
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
            let mut answer = client.read().expect("an answer");
            if answer.status() == 100 {
                answer = client.read().expect("the final answer");
            }
            assert_eq!(answer.status(), 200, "{kind} of {length}");
            assert!(
                answer.body == body.as_bytes(),
                "{kind} of {length}: {} bytes",
                answer.body.len()
            );
            writer.join().unwrap().expect("all of it is read");
        }
    }
}

#[test]
fn requests_split_anywhere_and_pipelined_ones_are_answered() {
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
    for wanted in [body.as_bytes(), body.as_bytes(), b""] {
        let answer = client.read().expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, wanted));
    }
    let absolute = get("p4", "").replace("GET /api", "GET http://origin.svc/api");
    assert_eq!(client.request(&absolute).expect("an answer").status(), 200);
    let first = backend
        .requests
        .try_iter()
        .map(|message| message.start_line)
        .last()
        .unwrap();
    assert_eq!(first, "GET /api?x=1 HTTP/1.1", "servers get path and query");
}

#[test]
fn responses_of_every_framing_are_forwarded_unchanged() {
    let body = pattern(LARGE);
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
        let answer = node.request(&get(id, ""));
        assert_eq!(answer.status(), 200, "{id}");
        assert!(
            answer.body == body.as_bytes(),
            "{id}: {} bytes",
            answer.body.len()
        );
    }
}

/// The first bytes of a large answer do not wait for its last.
#[test]
fn a_large_response_is_streamed_as_it_arrives() {
    let latch = Arc::new(Latch::default());
    let waits = latch.clone();
    let backend = Backend::new(move |_| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        ResponsePlan::RespondInTwoParts {
            first: head + &pattern(10_000),
            latch: waits.clone(),
            second: pattern(LARGE)[10_000..].to_owned(),
        }
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("g1", ""));
    let mut stream = client.stream();
    let mut seen = Vec::new();
    while !seen.ends_with(&pattern(10_000).as_bytes()[9_900..]) {
        let mut piece = [0; 512];
        let read = stream
            .read(&mut piece)
            .expect("the first bytes come while the rest is held back");
        assert!(read > 0);
        seen.extend_from_slice(&piece[..read]);
    }
    latch.release();
    let mut rest = vec![0; LARGE - 10_000];
    stream.read_exact(&mut rest).expect("the rest");
    assert!(rest == pattern(LARGE).as_bytes()[10_000..]);
}

/// Once begun, an answer is not replaced; the client can tell that it is not whole.
#[test]
fn an_aborted_large_response_is_truncated_and_never_retried() {
    let backend = Backend::new(|_| {
        let body = pattern(300_000);
        ResponsePlan::RespondAndClose(format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n{body}"
        ))
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("b1", ""));
    let mut all = Vec::new();
    let _ = client.stream().read_to_end(&mut all);
    assert!(all.starts_with(b"HTTP/1.1 200 ") && all.len() < LARGE);
    assert_eq!(backend.take_request_count(), 1);
}

/// A small one that breaks off is repeated where that is safe: nothing of it has gone out.
#[test]
fn an_aborted_small_response_is_retried_if_that_is_safe() {
    for (text, wanted, tries) in [
        (get("s1", ""), 200, 2),
        (post("pay", "s1", "", "x"), 502, 1),
    ] {
        let seen = std::sync::atomic::AtomicU32::new(0);
        let backend =
            Backend::new(
                move |_| match seen.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
                    0 => ResponsePlan::RespondAndClose(
                        "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nabc".to_owned(),
                    ),
                    _ => ResponsePlan::Respond(ok("yes")),
                },
            );
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        assert_eq!(node.request(&text).status(), wanted);
        assert_eq!(backend.take_request_count(), tries);
    }
}

/// What has gone out of a body can't be had again. Never whole at a server, the request never ran: it is refused, and
/// trying again is harmless.
#[test]
fn a_reset_within_an_upload_rejects_the_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let connections = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let counter = connections.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            counter.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            // Reads some of the body and goes.
            let mut stream = stream;
            let mut some = vec![0; 200_000];
            let _ = stream.read_exact(&mut some);
        }
    });
    let discovery = Discovery::new(serde_json::json!([target("s-0", at, "Ready")]));
    let node = Node::start(&config(discovery.address, serde_json::json!([])));
    discovery.wait_for_watch_from(1);
    for (id, class, more) in [("r1", "pay", ""), ("r2", "join", "Idempotency-Key: k\r\n")] {
        let mut client = Client::connect(node.address);
        let text = post(class, id, more, &pattern(LARGE));
        let mut stream = client.stream();
        thread::spawn(move || stream.write_all(text.as_bytes()));
        assert_eq!(client.read().expect("an answer").status(), 503, "{class}");
    }
    assert_eq!(
        connections.load(std::sync::atomic::Ordering::SeqCst),
        2,
        "one attempt each"
    );
}

/// A client that goes away in the midst of its body ends the attempt, and harms nobody.
#[test]
fn a_client_that_disconnects_within_its_upload_leaks_nothing() {
    let backend = echo();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for n in 0..20 {
        let mut client = Client::connect(node.address);
        let text = post("pay", &format!("gone{n}"), "", &pattern(LARGE));
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

/// A slow client's time runs from its last byte, and a body may come at 64 kB a second.
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
        "longer than a head may take"
    );
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
    for (id, part) in [("half", 1000), ("part", 100_000)] {
        let mut stalled = Client::connect(node.address);
        let text = post("pay", id, "", &body);
        stalled.write(&text[..part]);
        let began = Instant::now();
        while stalled.read().is_some() {}
        assert!(began.elapsed() < Duration::from_secs(10), "{id}");
    }
    assert_eq!(
        backend.requests.try_iter().count(),
        1,
        "none that is not whole arrives"
    );
}

/// Many large answers to readers that take their time: together far more than the node may hold.
#[test]
fn many_large_responses_to_slow_readers_stay_within_the_memory_limit() {
    const EACH: usize = 8 * 1024 * 1024;
    let body = pattern(EACH);
    let backend = Backend::new(move |_| ResponsePlan::Respond(ok(&body)));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let readers: Vec<_> = (0..40)
        .map(|n| {
            let mut client = Client::connect(node.address);
            client.write(&get(&format!("m{n}"), ""));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(300));
                client.read().map_or(0, |answer| answer.body.len())
            })
        })
        .collect();
    for reader in readers {
        assert_eq!(reader.join().unwrap(), EACH);
    }
    let most = resident(&node);
    assert!(most < RESIDENT_MOST, "{most} kB resident at most");
}

/// A backend that responds once a request has begun to arrive, and reads no more of it.
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

/// An attempt ends as its response begins. With that its message to the backend was abandoned, whose failure ended the
/// connection on which the response was still arriving: `server connection failed error=hyper::Error(User(Body), "the
/// attempt has ended")`, and 8,248 bytes at the client. Now only the message of an attempt without a response is abandoned.
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

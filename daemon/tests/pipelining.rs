//! Pipelined requests: forwarded deadlines, rejections, and time limits of heads and bodies.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

const FIRST_RESPONSE_TIME: Duration = Duration::from_millis(600);

/// A backend that responds to the request `r1` after `FIRST_RESPONSE_TIME`, and to all others at once.
fn backend_with_slow_first_response() -> Backend {
    Backend::new(|message| {
        if message.value("x-call-id") == Some("r1") {
            thread::sleep(FIRST_RESPONSE_TIME);
        }
        ResponsePlan::Respond(ok("yes"))
    })
}

/// The client timeout of a pipelined request also runs while the request waits for the response before its own.
#[test]
fn the_deadline_forwarded_for_a_pipelined_request_is_its_remaining_time() {
    let backend = backend_with_slow_first_response();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&(get("r1", "") + &post("pay", "r2", "", "body").replace("3000", "1000")));
    assert_eq!(client.read().expect("a response").status(), 200);
    assert_eq!(client.read().expect("a response").status(), 200);
    backend.next_request();
    let forwarded = backend.next_request();
    assert_eq!(forwarded.value("x-call-id"), Some("r2"));
    let forwarded: u64 = forwarded.value("x-budget-ms").unwrap().parse().unwrap();
    let left = 1000 - u64::try_from(FIRST_RESPONSE_TIME.as_millis()).unwrap();
    assert!(forwarded <= left, "forwarded {forwarded} ms, {left} left");
}

#[test]
fn a_pipelined_request_past_its_deadline_is_rejected_and_not_forwarded() {
    let backend = backend_with_slow_first_response();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    let expired = |id| post("pay", id, "", "body").replace("3000", "300");
    client.write(&(get("r1", "") + &expired("r2") + &expired("r3") + &get("r4", "")));
    let statuses = [(); 4].map(|()| client.read().expect("a response").status());
    assert_eq!(statuses, [200, 503, 503, 200]);
    let ids = [backend.next_request(), backend.next_request()]
        .map(|message| message.value("x-call-id").map(str::to_owned));
    assert_eq!(ids, [Some("r1".to_owned()), Some("r4".to_owned())]);
    assert_eq!(backend.take_request_count(), 0);
}

#[test]
fn the_client_timeout_of_a_pipelined_request_starts_with_its_last_byte() {
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("r1") => ResponsePlan::RespondAfter(backend_latch.clone(), ok("first")),
        _ => ResponsePlan::Respond(ok("yes")),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("r1", ""));
    backend.next_request();
    let text = post("pay", "r2", "", "body").replace("3000", "900");
    let (head, rest) = text.split_at(text.len() - 2);
    client.write(head);
    thread::sleep(Duration::from_millis(200));
    client.write(rest);
    let last_byte = Instant::now();
    thread::sleep(Duration::from_millis(300));
    latch.release();
    assert_eq!(client.read().expect("a response").status(), 200);
    let waited = u64::try_from(last_byte.elapsed().as_millis()).unwrap();
    assert_eq!(client.read().expect("a response").status(), 200);
    let forwarded = backend.next_request();
    let forwarded: u64 = forwarded.value("x-budget-ms").unwrap().parse().unwrap();
    let left = 900 - waited;
    assert!(
        forwarded <= left + 50,
        "forwarded {forwarded} ms, {left} left"
    );
    assert!(
        forwarded + 100 >= left,
        "forwarded {forwarded} ms, {left} left"
    );
}

/// A rejected request does not close the connection as long as its length is known.
#[test]
fn a_request_pipelined_after_a_rejected_one_is_answered() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let rejected = [
        (400, post("unheard-of", "b1", "", "body")),
        (400, get("b2", "").replace("3000", "soon")),
        (405, post("read", "b3", "", "")),
        (404, get("b4", "").replace("/api", "/elsewhere")),
        (409, post("pay", "good-4", "", "body")),
    ];
    for (n, (expected, invalid)) in rejected.into_iter().enumerate() {
        let mut client = Client::connect(node.address);
        let (before, after) = (format!("good-{n}"), format!("behind-{n}"));
        client
            .write(&(post("pay", &before, "", "one") + &invalid + &post("pay", &after, "", "two")));
        let statuses = [(); 3].map(|()| client.read().expect("a response").status());
        assert_eq!(statuses, [200, expected, 200], "{n}");
    }
}

/// Guards against a stall limit that counts the time during which the node does not read because the first request is
/// still open, and then answers the second request with 408.
#[test]
fn a_pipelined_body_does_not_time_out_while_the_node_does_not_read_it() {
    let backend = Backend::new(|message| {
        if message.value("x-call-id") == Some("r1") {
            thread::sleep(Duration::from_millis(2600));
        }
        ResponsePlan::Respond(ok("yes"))
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    let body = "b".repeat(60_000);
    client.write(&(get("r1", "") + &post("pay", "r2", "", &body)));
    assert_eq!(client.read().expect("a response").status(), 200);
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// Response time for requests whose id begins with `slow`: longer than the stall limit of a body.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(2600);
/// The time after the first response within which a stalled client gets an error or a close.
const STALLED_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// A backend that responds after `SLOW_RESPONSE_TIME` if the id begins with `slow`, after half of it for `half`, with a
/// large body for `large`, and at once to all others.
fn backend_with_response_time_by_id() -> Backend {
    Backend::new(|message| {
        let id = message.value("x-call-id").unwrap_or_default();
        if id.starts_with("slow") {
            thread::sleep(SLOW_RESPONSE_TIME);
        } else if id.starts_with("half") {
            thread::sleep(SLOW_RESPONSE_TIME / 2);
        }
        let size = if id.starts_with("large") {
            16_000_000
        } else {
            3
        };
        ResponsePlan::Respond(ok(&"y".repeat(size)))
    })
}

fn post_in_chunks(id: &str, body: &str) -> String {
    let head =
        post("pay", id, "Transfer-Encoding: chunked\r\n", "").replace("Content-Length: 0\r\n", "");
    let chunks: Vec<_> = body
        .as_bytes()
        .chunks(7000)
        .map(|chunk| {
            format!(
                "{:x}\r\n{}\r\n",
                chunk.len(),
                String::from_utf8_lossy(chunk)
            )
        })
        .collect();
    head + &chunks.concat() + "0\r\n\r\n"
}

/// A node with class deadlines that leave time for several slow requests in sequence.
fn node_for_slow_requests(backend: &Backend) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["on-time-ns"] = json!(9_000_000_000u64);
        class["deadline-ns"] = json!(10_000_000_000u64);
    }
    (Node::start(&config), discovery)
}

#[test]
fn pipelined_bodies_of_any_framing_are_answered_after_slow_responses() {
    let (small, large) = ("b".repeat(60_000), "b".repeat(300_000));
    let forms = [
        (
            "small, with a length",
            get("slow-1", "") + &post("pay", "r1", "", &small),
        ),
        (
            "small, in chunks",
            get("slow-2", "") + &post_in_chunks("r2", &small),
        ),
        (
            "large, with a length",
            get("slow-3", "") + &post("pay", "r3", "", &large),
        ),
        (
            "large, in chunks",
            get("slow-4", "") + &post_in_chunks("r4", &large),
        ),
        (
            "after two requests",
            get("half-1", "") + &get("half-2", "") + &post("pay", "r5", "", &small),
        ),
    ];
    let clients = forms.map(|(form, text)| {
        thread::spawn(move || {
            let backend = backend_with_response_time_by_id();
            let (node, _discovery) = node_for_slow_requests(&backend);
            let mut client = Client::connect(node.address);
            let mut writer = client.stream();
            let text = text.replace("X-Budget-Ms: 3000", "X-Budget-Ms: 9000");
            let requests = text.matches("X-Call-Id").count();
            let writing = thread::spawn(move || writer.write_all(text.as_bytes()));
            let statuses: Vec<_> = (0..requests)
                .map(|_| client.read().map(|response| response.status()))
                .collect();
            let _ = writing.join();
            (form, statuses)
        })
    });
    for client in clients {
        let (form, statuses) = client.join().unwrap();
        let all_served = statuses.iter().all(|status| *status == Some(200));
        assert!(all_served, "{form}: {statuses:?}");
    }
}

/// The stall limit of a half-sent body starts when the node reads on, after the first response.
#[test]
fn a_half_sent_pipelined_body_may_be_continued_after_the_first_response() {
    let backend = backend_with_response_time_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let text = post("pay", "r2", "", &"b".repeat(60_000));
    let half = text.len() / 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("slow", "") + &text[..half]));
    assert_eq!(client.read().expect("a response").status(), 200);
    thread::sleep(Duration::from_millis(1500));
    client.write(&text[half..]);
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// The node reads no further request while it streams a response, however slowly the client reads.
#[test]
fn a_pipelined_body_after_a_slowly_read_response_is_answered() {
    let backend = backend_with_response_time_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let text = post("pay", "r2", "", &"b".repeat(60_000));
    let half = text.len() / 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("large", "") + &text[..half]));
    // The node has begun to stream the response; the rest waits until the client reads.
    thread::sleep(SLOW_RESPONSE_TIME);
    assert_eq!(client.read().expect("a response").body.len(), 16_000_000);
    thread::sleep(Duration::from_millis(500));
    client.write(&text[half..]);
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// The head is longer than the node reads ahead, so the client cannot complete it before the first response.
#[test]
fn a_pipelined_head_beyond_the_read_buffer_does_not_time_out() {
    let backend = backend_with_response_time_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let last = get("last", &format!("X-Filler: {}\r\n", "f".repeat(30_000)));
    let half = last.len() - 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("slow", "") + &last[..half]));
    assert_eq!(client.read().expect("a response").status(), 200);
    thread::sleep(Duration::from_millis(500));
    client.write(&last[half..]);
    assert_eq!(client.read().expect("a response").status(), 200);
}

/// A client that stalls within a pipelined request gets 408 or a close, counted from the first response.
#[test]
fn a_stalled_pipelined_request_times_out() {
    let backend = backend_with_response_time_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = |id, size| post("pay", id, "", &"b".repeat(size));
    let parts = [
        ("small", body("r1", 60_000)[..30_000].to_owned()),
        ("large", body("r2", 300_000)[..150_000].to_owned()),
        ("head", get("r3", "")[..40].to_owned()),
    ];
    let clients = parts.map(|(part, text)| {
        let mut client = Client::connect(node.address);
        thread::spawn(move || {
            let mut writer = client.stream();
            let first = get(&format!("slow-{part}"), "");
            thread::spawn(move || writer.write_all((first + &text).as_bytes()));
            assert_eq!(client.read().expect("a response").status(), 200, "{part}");
            let response_received = Instant::now();
            if let Some(response) = client.read() {
                assert_eq!(response.status(), 408, "{part}");
            }
            (part, response_received.elapsed())
        })
    });
    for client in clients {
        let (part, took) = client.join().unwrap();
        assert!(took < STALLED_CLIENT_LIMIT, "{part}: {took:?}");
    }
}

/// The stall limit starts with the first response, so new connections do not evict this one right after it.
#[test]
fn a_connection_with_a_pipelined_body_is_not_evicted_as_stalled() {
    let backend = backend_with_response_time_by_id();
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    // Sixteen of the sockets are for client connections.
    config["limits"]["sockets"] = json!(50);
    let node = Node::start(&config);
    let text = post("pay", "r2", "", &"b".repeat(60_000));
    let half = text.len() / 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("slow", "") + &text[..half]));
    assert_eq!(client.read().expect("a response").status(), 200);
    let _others: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
    thread::sleep(Duration::from_millis(300));
    client.write(&text[half..]);
    assert_eq!(client.read().expect("a response").status(), 200);
}

//! Requests sent ahead of the answers to those before them on the same connection.
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

/// How long the backend takes for the first of the requests.
const FIRST_TAKES: Duration = Duration::from_millis(600);

/// A backend that takes its time for the request `r1`, and answers all others at once.
fn slow_for_the_first() -> Backend {
    Backend::new(|message| {
        if message.value("x-call-id") == Some("r1") {
            thread::sleep(FIRST_TAKES);
        }
        ResponsePlan::Respond(ok("yes"))
    })
}

/// Its time runs from its last byte, also while another is answered first: its server is told what is left of it.
#[test]
fn the_deadline_forwarded_for_a_pipelined_request_is_its_remaining_time() {
    let backend = slow_for_the_first();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&(get("r1", "") + &post("pay", "r2", "", "body").replace("3000", "1000")));
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(client.read().expect("an answer").status(), 200);
    backend.next_request();
    let told = backend.next_request();
    assert_eq!(told.value("x-call-id"), Some("r2"));
    let told: u64 = told.value("x-budget-ms").unwrap().parse().unwrap();
    let left = 1000 - u64::try_from(FIRST_TAKES.as_millis()).unwrap();
    assert!(told <= left, "told {told} ms, {left} left");
}

/// With its time over it goes to no server any more, and is answered at once.
#[test]
fn a_pipelined_request_past_its_deadline_is_rejected_and_not_forwarded() {
    let backend = slow_for_the_first();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    let late = |id| post("pay", id, "", "body").replace("3000", "300");
    client.write(&(get("r1", "") + &late("r2") + &late("r3") + &get("r4", "")));
    let statuses = [(); 4].map(|()| client.read().expect("an answer").status());
    assert_eq!(statuses, [200, 503, 503, 200]);
    let ids = [backend.next_request(), backend.next_request()]
        .map(|message| message.value("x-call-id").map(str::to_owned));
    assert_eq!(ids, [Some("r1".to_owned()), Some("r4".to_owned())]);
    assert_eq!(backend.take_request_count(), 0);
}

/// Bytes that arrive while the request before is out, and in pieces: the time runs from the last of them.
#[test]
fn the_time_of_a_request_in_pieces_runs_from_its_last_byte() {
    let latch = Arc::new(Latch::default());
    let waits = latch.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("r1") => ResponsePlan::RespondAfter(waits.clone(), ok("first")),
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
    assert_eq!(client.read().expect("an answer").status(), 200);
    let waited = u64::try_from(last_byte.elapsed().as_millis()).unwrap();
    assert_eq!(client.read().expect("an answer").status(), 200);
    let told = backend.next_request();
    let told: u64 = told.value("x-budget-ms").unwrap().parse().unwrap();
    let left = 900 - waited;
    assert!(told <= left + 50, "told {told} ms, {left} left");
    assert!(told + 100 >= left, "told {told} ms, {left} left");
}

/// A request that is turned away does not take those behind it with it, as long as its own end is known.
#[test]
fn requests_pipelined_behind_a_rejected_one_are_answered() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let turned_away = [
        (400, post("unheard-of", "b1", "", "body")),
        (400, get("b2", "").replace("3000", "soon")),
        (405, post("read", "b3", "", "")),
        (404, get("b4", "").replace("/api", "/elsewhere")),
        (409, post("pay", "good-4", "", "body")),
    ];
    for (n, (wanted, bad)) in turned_away.into_iter().enumerate() {
        let mut client = Client::connect(node.address);
        let (before, behind) = (format!("good-{n}"), format!("behind-{n}"));
        client.write(&(post("pay", &before, "", "one") + &bad + &post("pay", &behind, "", "two")));
        let statuses = [(); 3].map(|()| client.read().expect("an answer").status());
        assert_eq!(statuses, [200, wanted, 200], "{n}");
    }
}

/// The node does not read the second request while the first one runs, so its client stops for no fault of its own.
///
/// It got 408: the stall limit of a body counted from the arrival of its last bytes, and those had lain unread for longer
/// than the limit when the node turned to them. Seen at the client: 200 at 2.602 s and 408 at 2.602 s, and
/// `connections.closed.request_body` 1. The limit now counts from when the node reads on.
#[test]
fn a_body_sent_ahead_of_a_slow_response_does_not_time_out_while_it_is_not_read() {
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
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// How long the backend takes for a request whose id begins with `slow`: longer than a client may stall.
const LONGER_THAN_A_STALL: Duration = Duration::from_millis(2600);
/// What a client that stops is owed its error or close within, from when it is waited for.
const STALLED_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// A backend that takes its time for requests whose id begins with `slow`, half of it where it begins with `half`, has a
/// large response for `large`, and answers all others at once.
fn slow_by_id() -> Backend {
    Backend::new(|message| {
        let id = message.value("x-call-id").unwrap_or_default();
        if id.starts_with("slow") {
            thread::sleep(LONGER_THAN_A_STALL);
        } else if id.starts_with("half") {
            thread::sleep(LONGER_THAN_A_STALL / 2);
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

/// A node whose classes have time for several slow requests behind each other.
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

/// Each of these clients sends its requests at once, and gets a response to each.
#[test]
fn bodies_of_any_form_sent_ahead_of_slow_responses_are_answered() {
    let (small, large) = ("b".repeat(60_000), "b".repeat(300_000));
    let forms = [
        (
            "a length",
            get("slow-1", "") + &post("pay", "r1", "", &small),
        ),
        ("chunks", get("slow-2", "") + &post_in_chunks("r2", &small)),
        (
            "a large one",
            get("slow-3", "") + &post("pay", "r3", "", &large),
        ),
        (
            "large, in chunks",
            get("slow-4", "") + &post_in_chunks("r4", &large),
        ),
        (
            "behind two",
            get("half-1", "") + &get("half-2", "") + &post("pay", "r5", "", &small),
        ),
    ];
    let clients = forms.map(|(form, text)| {
        thread::spawn(move || {
            let backend = slow_by_id();
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
        let are_served = statuses.iter().all(|status| *status == Some(200));
        assert!(are_served, "{form}: {statuses:?}");
    }
}

/// A client that goes on with a body once it sees that it is waited for has not stalled before that.
#[test]
fn a_body_of_which_half_was_sent_ahead_may_be_continued_after_the_response() {
    let backend = slow_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let text = post("pay", "r2", "", &"b".repeat(60_000));
    let half = text.len() / 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("slow", "") + &text[..half]));
    assert_eq!(client.read().expect("an answer").status(), 200);
    thread::sleep(Duration::from_millis(1500));
    client.write(&text[half..]);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// While a response is streamed the node reads no further request, however long its client takes for the response.
#[test]
fn a_body_sent_ahead_of_a_response_that_is_read_slowly_is_answered() {
    let backend = slow_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let text = post("pay", "r2", "", &"b".repeat(60_000));
    let half = text.len() / 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("large", "") + &text[..half]));
    // The head of the response has come; the rest waits for this client.
    thread::sleep(LONGER_THAN_A_STALL);
    assert_eq!(client.read().expect("an answer").body.len(), 16_000_000);
    thread::sleep(Duration::from_millis(500));
    client.write(&text[half..]);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// More than the node reads ahead lies in front of the rest of a head, so that its client is not at fault.
#[test]
fn a_head_behind_more_than_is_read_ahead_is_not_late() {
    let backend = slow_by_id();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let last = get("last", &format!("X-Filler: {}\r\n", "f".repeat(30_000)));
    let half = last.len() - 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("slow", "") + &last[..half]));
    assert_eq!(client.read().expect("an answer").status(), 200);
    thread::sleep(Duration::from_millis(500));
    client.write(&last[half..]);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// A client that really stops within what it has sent ahead is told so in time, counted from when it is waited for.
#[test]
fn a_client_that_stops_within_what_it_sent_ahead_times_out() {
    let backend = slow_by_id();
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
            assert_eq!(client.read().expect("an answer").status(), 200, "{part}");
            let waited_for = Instant::now();
            if let Some(response) = client.read() {
                assert_eq!(response.status(), 408, "{part}");
            }
            (part, waited_for.elapsed())
        })
    });
    for client in clients {
        let (part, took) = client.join().unwrap();
        assert!(took < STALLED_CLIENT_LIMIT, "{part}: {took:?}");
    }
}

/// In a crowd, a client that has only just been waited for is not among those that have stalled.
#[test]
fn a_connection_whose_body_was_sent_ahead_is_not_evicted_as_stalled() {
    let backend = slow_by_id();
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    // Sixteen of these are for clients.
    config["limits"]["sockets"] = json!(50);
    let node = Node::start(&config);
    let text = post("pay", "r2", "", &"b".repeat(60_000));
    let half = text.len() / 2;
    let mut client = Client::connect(node.address);
    client.write(&(get("slow", "") + &text[..half]));
    assert_eq!(client.read().expect("an answer").status(), 200);
    let _crowd: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
    thread::sleep(Duration::from_millis(300));
    client.write(&text[half..]);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

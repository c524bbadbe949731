//! Requests sent ahead of the answers to those before them on the same connection.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;

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

//! What clients and backends see of a node in service.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn always(plan: ResponsePlan) -> Backend {
    Backend::new(move |_| plan.clone())
}

#[test]
fn forwards_a_request_unchanged_and_once() {
    let backend = always(ResponsePlan::Respond(ok("seated")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let answer = node.request(&post(
        "join",
        "a1b2",
        "Idempotency-Key: k-77\r\nX-Budget-Ms-Not: 1\r\n",
        "lobby",
    ));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"seated".as_slice())
    );
    let got = backend.next_request();
    assert_eq!(got.start_line, "POST /api HTTP/1.1");
    assert_eq!(got.body, b"lobby");
    assert_eq!(got.values("x-call-id"), ["a1b2"]);
    assert_eq!(got.values("idempotency-key"), ["k-77"]);
    assert_eq!(got.values("content-length"), ["5"]);
    let [budget] = got.values("x-budget-ms")[..] else {
        panic!("one budget: {got:?}")
    };
    assert!(budget.parse::<u64>().unwrap() <= 3000, "{budget}");
    let answer = node.request(&get("a1b3", ""));
    assert_eq!(answer.status(), 200);
    assert_eq!(backend.next_request().start_line, "GET /api?x=1 HTTP/1.1");
    assert_eq!(backend.take_request_count(), 0);
}

#[test]
fn a_bad_request_gets_400_and_reaches_no_backend() {
    let backend = always(ResponsePlan::Respond(ok("no")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let key = "Idempotency-Key: k\r\n";
    let cases = [
        (404, get("1", "").replace("/api", "/other")),
        (400, get("1", "").replace("X-Call-Id", "X-No-Id")),
        (400, get("1", "X-Call-Id: 2\r\n")),
        (400, get("1", "").replace("X-Call-Class", "X-No-Class")),
        (400, get("1", "").replace("read", "unheard-of")),
        (400, get("1", "").replace("acme", "nobody")),
        (400, get("1", "").replace("X-Caller", "X-No-Caller")),
        (400, get("1", "").replace("3000", "soon")),
        (400, get("1", "").replace("3000", "-5")),
        (400, get("1", "X-Call-Cost: much\r\n")),
        (405, get("1", "").replace("read", "pay")),
        (405, post("read", "1", "", "")),
        (400, post("join", "1", "", "")),
        (400, post("pay", "1", key, "")),
    ];
    for (wanted, text) in cases {
        assert_eq!(
            node.request(&text).status(),
            wanted,
            "{}",
            &text[..text.len().min(300)]
        );
    }
    assert_eq!(
        node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status(),
        200
    );
    assert_eq!(node.request(&get("last", "")).status(), 200);
    assert_eq!(backend.next_request().value("x-call-id"), Some("last"));
    assert_eq!(backend.take_request_count(), 0);
}

/// Each of these may have run. An unsafe call then gets no other attempt and no refusal, which would tell the
/// client that trying again does no harm.
#[test]
fn a_non_idempotent_request_that_may_have_run_fails() {
    let spoilt = [
        ResponsePlan::Respond(status(500, "")),
        ResponsePlan::Respond(status(503, "")),
        ResponsePlan::Respond(status(504, "X-Rejected: 0\r\n")),
        ResponsePlan::Respond(status(302, "")),
        ResponsePlan::RespondAndClose(String::new()),
        ResponsePlan::RespondAndClose(
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_owned(),
        ),
        ResponsePlan::RespondAndReset("HTTP/1.1 200 OK\r\n\r\nwhole or half".to_owned()),
        ResponsePlan::RespondAndReset(
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole or half".to_owned(),
        ),
        ResponsePlan::RespondAndReset("HTTP/1.0 200 OK\r\n\r\nwhole or half".to_owned()),
        ResponsePlan::RespondAndClose("noise\r\n\r\n".to_owned()),
        ResponsePlan::Hang,
    ];
    for (n, plan) in spoilt.into_iter().enumerate() {
        let (first, second) = (always(plan.clone()), always(plan));
        let (node, _discovery) = Node::start_with_backends(&[&first, &second]);
        let answer = node.request(&post("pay", "u1", "", "").replace("3000", "700"));
        assert_eq!(answer.status(), 502, "case {n}");
        assert_eq!(
            first.take_request_count() + second.take_request_count(),
            1,
            "case {n}"
        );
    }
}

/// With neither a length nor chunks an answer is whole when its connection ends (RFC 9112, section 6.3), whether or not
/// its server has announced that; a reset is no end. Half of these at least have to be forwarded: all are.
#[test]
fn a_response_without_a_length_is_complete_at_the_end_of_its_connection() {
    for head in [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
        "HTTP/1.0 200 OK\r\n",
    ] {
        let text = format!("{head}X-Load-Report: {{\"util\":0.5}}\r\n\r\nwhole");
        let backend = always(ResponsePlan::RespondAndClose(text));
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        for n in 0..5 {
            let answer = node.request(&post("pay", &format!("n{n}"), "", ""));
            assert_eq!(
                (answer.status(), answer.body.as_slice()),
                (200, b"whole".as_slice()),
                "{head:?}"
            );
        }
        assert_eq!(backend.take_request_count(), 5);
    }
}

/// Turned away it never ran, so even an unsafe call goes elsewhere, or is refused where there is nobody.
#[test]
fn a_non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    let away = |code| always(ResponsePlan::Respond(status(code, "X-Rejected: 1\r\n")));
    let serves = always(ResponsePlan::Respond(ok("paid")));
    let (full, other) = (away(503), away(504));
    let (node, _discovery) = Node::start_with_backends(&[&full, &serves]);
    for n in 0..8 {
        assert_eq!(
            node.request(&post("pay", &format!("p{n}"), "", ""))
                .status(),
            200
        );
    }
    assert_eq!(serves.take_request_count(), 8);
    let (node, _discovery) = Node::start_with_backends(&[&other]);
    assert_eq!(node.request(&post("pay", "p9", "", "")).status(), 503);
}

/// A process that has died refuses connections: nothing ran, and the module tries another.
#[test]
fn a_dead_backend_costs_no_request() {
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = dead.local_addr().unwrap();
    drop(dead);
    let serves = always(ResponsePlan::Respond(ok("paid")));
    let discovery = Discovery::new(json!([
        target("s-0", at, "Ready"),
        target("s-1", serves.address, "Ready")
    ]));
    let node = Node::start(&config(discovery.address, json!([])));
    discovery.wait_for_watch_from(1);
    for n in 0..8 {
        assert_eq!(
            node.request(&post("pay", &format!("p{n}"), "", ""))
                .status(),
            200
        );
    }
    assert_eq!(serves.take_request_count(), 8);
}

/// A silent backend must not hold a request past its client's time.
#[test]
fn an_attempt_at_a_silent_backend_times_out() {
    let backend = always(ResponsePlan::Hang);
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let answer = node.request(&get("s1", "").replace("3000", "200"));
    assert_ne!(answer.status(), 200);
    // Nothing that is left of it stands in the way of the next.
    assert_ne!(
        node.request(&get("s2", "").replace("3000", "200")).status(),
        200
    );
}

/// The backend closes after each answer without saying so: the pooled connection is dead by the next send,
/// and writing to it would turn an unsafe call into one that may have run.
#[test]
fn a_connection_closed_while_idle_is_not_used() {
    let backend = always(ResponsePlan::RespondAndClose(ok("paid")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 1..=20 {
        let answer = client
            .request(&post("pay", &format!("p{n}"), "", ""))
            .expect("an answer");
        assert_eq!(answer.status(), 200, "call {n}");
        wait_until("the node closes its end", || {
            backend.closed_by_node.load(Ordering::SeqCst) == n
        });
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 20);
}

/// Connections are used again: a new one costs the backend work.
#[test]
fn backend_connections_are_reused() {
    let backend = always(ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 0..10 {
        assert_eq!(
            client
                .request(&get(&format!("k{n}"), ""))
                .expect("an answer")
                .status(),
            200
        );
        // An answer's connection rests first.
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    // Not one for each, however slow the machine is.
    assert!(backend.connections.load(Ordering::SeqCst) <= 5);
}

#[test]
fn a_load_report_of_any_shape_is_harmless() {
    for report in [
        "{\"util\":0.4}",
        "{\"util\":\"high\"}",
        "{\"util\":1e999}",
        "{",
        "[]",
        "\u{e9}",
    ] {
        let text =
            format!("HTTP/1.1 200 OK\r\nX-Load-Report: {report}\r\nContent-Length: 2\r\n\r\nok");
        let backend = always(ResponsePlan::Respond(text));
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        for n in 0..3 {
            assert_eq!(
                node.request(&get(&format!("r{n}"), "")).status(),
                200,
                "{report}"
            );
        }
    }
}

/// A client that hangs up must leave nothing behind that the node trips over, nor be answered by mistake.
#[test]
fn a_request_is_cancelled_when_its_client_disconnects() {
    let latch = Arc::new(Latch::default());
    let first = AtomicBool::new(true);
    let waits = latch.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => ResponsePlan::RespondAfter(waits.clone(), ok("late")),
        false => ResponsePlan::Respond(ok("yes")),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("g1", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("g1"));
    drop(client);
    latch.release();
    let answer = node.request(&get("g2", ""));
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"yes".as_slice())
    );
    assert_eq!(backend.next_request().value("x-call-id"), Some("g2"));
    assert_eq!(backend.take_request_count(), 0);
}

/// A spoilt answer is a failed attempt that may have run; its connection is of no further use, and the request
/// is not left waiting for what will never come.
#[test]
fn an_invalid_response_is_abandoned_at_once_and_retried_elsewhere() {
    let lines = "X-Pad: pppppppppppppppp\r\n";
    let spoilt = [
        "\u{1}\u{2}noise\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nX-Never: ends\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\n{}", lines.repeat(4000)),
        format!(
            "HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\n\r\nno",
            lines.repeat(80)
        ),
        "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 50\r\n\r\nshort".to_owned(),
    ];
    for (n, text) in spoilt.into_iter().enumerate() {
        let first = Arc::new(AtomicBool::new(true));
        let plan = move |_: &Message| match first.swap(false, Ordering::SeqCst) {
            true => ResponsePlan::Respond(text.clone()),
            false => ResponsePlan::Respond(ok("good")),
        };
        let backend = Backend::new(plan);
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        // The connection stays open on the backend's side: only the node can end the wait. Most of the
        // client's time is left for the other attempt.
        let answer = node.request(&get("s1", ""));
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"good".as_slice()),
            "case {n}"
        );
        assert_eq!(backend.connections.load(Ordering::SeqCst), 2, "case {n}");
    }
}

/// What comes behind a good answer spoils neither that one nor the next.
#[test]
fn bytes_after_a_response_are_not_a_response() {
    for behind in [
        ok("mine"),
        "noise".to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned(),
    ] {
        let backend = Backend::new(move |message| ResponsePlan::RespondWithExtraBytes {
            response: ok(message.value("x-call-id").unwrap_or_default()),
            extra: behind.clone(),
        });
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        let mut client = Client::connect(node.address);
        for n in 0..6 {
            let answer = client
                .request(&get(&format!("w{n}"), ""))
                .expect("an answer");
            assert_eq!(
                (answer.status(), answer.body),
                (200, format!("w{n}").into_bytes())
            );
        }
    }
}

/// Interim answers announce the real one, which may take its time.
#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let latch = Arc::new(Latch::default());
    let waits = latch.clone();
    let backend = Backend::new(move |_| ResponsePlan::RespondInTwoParts {
        first: interim.to_owned(),
        latch: waits.clone(),
        second: ok("real"),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&post("pay", "i1", "", ""));
    backend.next_request();
    // Longer than an answer that has begun may take to become whole.
    std::thread::sleep(std::time::Duration::from_millis(300));
    latch.release();
    let answer = client.read().expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"real".as_slice())
    );
}

/// Requests that backends turn away as bad must not put good backends out of service.
#[test]
fn bad_requests_eject_no_backend() {
    let backend = Backend::new(|message| match message.value("x-call-id") {
        Some(id) if id.starts_with("bad") => ResponsePlan::Respond(status(400, "")),
        _ => ResponsePlan::Respond(ok("yes")),
    });
    let other = always(ResponsePlan::Respond(status(400, "")));
    let (node, _discovery) = Node::start_with_backends(&[&backend, &other]);
    for n in 0..40 {
        assert_ne!(node.request(&get(&format!("bad{n}"), "")).status(), 200);
    }
    assert!(!node.has_logged("ejected"));
}

/// Clients with little time must not cost a handshake each: the late answer frees the connection.
#[test]
fn a_late_response_leaves_its_connection_usable() {
    let (latch, first) = (Arc::new(Latch::default()), AtomicBool::new(true));
    let waits = latch.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => ResponsePlan::RespondAfter(waits.clone(), ok("late")),
        false => ResponsePlan::Respond(ok("good")),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    assert_ne!(
        node.request(&get("l1", "").replace("3000", "300")).status(),
        200
    );
    latch.release();
    std::thread::sleep(std::time::Duration::from_millis(250));
    assert_eq!(node.request(&get("l2", "")).body, b"good");
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

/// Some networks forget a quiet connection and tell nobody. The node learns after what time, and opens a new
/// one rather than have a request reset.
#[test]
fn connections_are_not_reused_after_an_idle_time_that_resets_them() {
    let (opened, seen, broken) = (
        Arc::new(OnceLock::<Arc<AtomicU32>>::new()),
        AtomicU32::new(0),
        Arc::new(AtomicU32::new(0)),
    );
    let (count, breaks) = (opened.clone(), broken.clone());
    let backend = Backend::new(move |_| {
        let now = count
            .get()
            .expect("set before the first request")
            .load(Ordering::SeqCst);
        if seen.swap(now, Ordering::SeqCst) != now {
            return ResponsePlan::Respond(ok("yes"));
        }
        breaks.fetch_add(1, Ordering::SeqCst);
        ResponsePlan::RespondAndClose(String::new())
    });
    opened.set(backend.connections.clone()).unwrap();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 0..14 {
        let answer = client
            .request(&get(&format!("q{n}"), ""))
            .expect("an answer");
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            (200, b"yes".as_slice())
        );
        std::thread::sleep(std::time::Duration::from_millis(150));
    }
    // Three resets tell, for each class of rests; a slow machine may come to know two.
    let broken = broken.load(Ordering::SeqCst);
    assert!((1..=8).contains(&broken), "{broken} of 14 were reset");
}

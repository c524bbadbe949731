//! Forwarding of requests and responses by a node in service.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn backend_with(plan: ResponsePlan) -> Backend {
    Backend::new(move |_| plan.clone())
}

#[test]
fn forwards_a_request_unchanged_and_once() {
    let backend = backend_with(ResponsePlan::Respond(ok("seated")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let response = node.request(&post(
        "join",
        "a1b2",
        "Idempotency-Key: k-77\r\nX-Budget-Ms-Not: 1\r\n",
        "lobby",
    ));
    assert_eq!(
        (response.status(), response.body.as_slice()),
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
    let response = node.request(&get("a1b3", ""));
    assert_eq!(response.status(), 200);
    assert_eq!(backend.next_request().start_line, "GET /api?x=1 HTTP/1.1");
    assert_eq!(backend.take_request_count(), 0);
}

#[test]
fn a_bad_request_gets_400_and_reaches_no_backend() {
    let backend = backend_with(ResponsePlan::Respond(ok("no")));
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

/// After each of these responses the request may have run. A non-idempotent request then gets neither a retry nor a
/// 503, which would tell the client that it may safely repeat the request.
#[test]
fn a_non_idempotent_request_that_may_have_run_fails() {
    let invalid = [
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
    for (n, plan) in invalid.into_iter().enumerate() {
        let (first, second) = (backend_with(plan.clone()), backend_with(plan));
        let (node, _discovery) = Node::start_with_backends(&[&first, &second]);
        let response = node.request(&post("pay", "u1", "", "").replace("3000", "700"));
        assert_eq!(response.status(), 502, "case {n}");
        assert_eq!(
            first.take_request_count() + second.take_request_count(),
            1,
            "case {n}"
        );
    }
}

/// A response with neither a length nor chunks ends when the backend closes the connection (RFC 9112, section 6.3),
/// with or without `Connection: close`. A reset does not complete such a response.
#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    for head in [
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
        "HTTP/1.0 200 OK\r\n",
    ] {
        let text = format!("{head}X-Load-Report: {{\"util\":0.5}}\r\n\r\nwhole");
        let backend = backend_with(ResponsePlan::RespondAndClose(text));
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        for n in 0..5 {
            let response = node.request(&post("pay", &format!("n{n}"), "", ""));
            assert_eq!(
                (response.status(), response.body.as_slice()),
                (200, b"whole".as_slice()),
                "{head:?}"
            );
        }
        assert_eq!(backend.take_request_count(), 5);
    }
}

/// A request that a backend rejected did not run: even a non-idempotent one is retried at another backend, or gets 503
/// if there is none.
#[test]
fn a_non_idempotent_request_that_did_not_run_is_retried_at_another_backend() {
    let rejecting = |code| backend_with(ResponsePlan::Respond(status(code, "X-Rejected: 1\r\n")));
    let healthy = backend_with(ResponsePlan::Respond(ok("paid")));
    let (first, other) = (rejecting(503), rejecting(504));
    let (node, _discovery) = Node::start_with_backends(&[&first, &healthy]);
    for n in 0..8 {
        assert_eq!(
            node.request(&post("pay", &format!("p{n}"), "", ""))
                .status(),
            200
        );
    }
    assert_eq!(healthy.take_request_count(), 8);
    let (node, _discovery) = Node::start_with_backends(&[&other]);
    assert_eq!(node.request(&post("pay", "p9", "", "")).status(), 503);
}

/// A refused connection means that the request did not run, so it is sent to another backend.
#[test]
fn a_backend_that_refuses_connections_fails_no_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let refused_address = listener.local_addr().unwrap();
    drop(listener);
    let healthy = backend_with(ResponsePlan::Respond(ok("paid")));
    let discovery = Discovery::new(json!([
        target("s-0", refused_address, "Ready"),
        target("s-1", healthy.address, "Ready")
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
    assert_eq!(healthy.take_request_count(), 8);
}

/// A backend that does not respond must not hold a request beyond the client timeout.
#[test]
fn an_attempt_at_a_backend_that_does_not_respond_times_out() {
    let backend = backend_with(ResponsePlan::Hang);
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let response = node.request(&get("s1", "").replace("3000", "200"));
    assert_ne!(response.status(), 200);
    // The timed-out attempt does not block the next request.
    assert_ne!(
        node.request(&get("s2", "").replace("3000", "200")).status(),
        200
    );
}

/// The backend closes after each response without announcing the close. Writing a non-idempotent request to such a
/// pooled connection would leave unknown whether the request ran.
#[test]
fn a_connection_closed_while_idle_is_not_reused() {
    let backend = backend_with(ResponsePlan::RespondAndClose(ok("paid")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 1..=20 {
        let response = client
            .request(&post("pay", &format!("p{n}"), "", ""))
            .expect("a response");
        assert_eq!(response.status(), 200, "call {n}");
        wait_until("the node closes its end", || {
            backend.closed_by_node.load(Ordering::SeqCst) == n
        });
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 20);
}

#[test]
fn backend_connections_are_reused() {
    let backend = backend_with(ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    for n in 0..10 {
        assert_eq!(
            client
                .request(&get(&format!("k{n}"), ""))
                .expect("a response")
                .status(),
            200
        );
        // The connection is reused only after a short delay.
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    // Fewer than one connection per request, even on a slow machine.
    assert!(backend.connections.load(Ordering::SeqCst) <= 5);
}

#[test]
fn an_invalid_load_report_fails_no_request() {
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
        let backend = backend_with(ResponsePlan::Respond(text));
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

/// The late response to a cancelled request must not be sent to another client.
#[test]
fn a_request_is_cancelled_when_its_client_disconnects() {
    let latch = Arc::new(Latch::default());
    let first = AtomicBool::new(true);
    let backend_latch = latch.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => ResponsePlan::RespondAfter(backend_latch.clone(), ok("late")),
        false => ResponsePlan::Respond(ok("yes")),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("g1", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("g1"));
    drop(client);
    latch.release();
    let response = node.request(&get("g2", ""));
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"yes".as_slice())
    );
    assert_eq!(backend.next_request().value("x-call-id"), Some("g2"));
    assert_eq!(backend.take_request_count(), 0);
}

/// An invalid response is a failed attempt whose request may have run. The node closes the connection and retries
/// without waiting for the attempt to time out.
#[test]
fn an_invalid_response_is_abandoned_at_once_and_its_request_retried() {
    let lines = "X-Pad: pppppppppppppppp\r\n";
    let invalid = [
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
    for (n, text) in invalid.into_iter().enumerate() {
        let first = Arc::new(AtomicBool::new(true));
        let plan = move |_: &Message| match first.swap(false, Ordering::SeqCst) {
            true => ResponsePlan::Respond(text.clone()),
            false => ResponsePlan::Respond(ok("good")),
        };
        let backend = Backend::new(plan);
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        // The backend keeps the connection open, so the node has to detect the invalid response by itself. Most of the
        // client timeout remains for the retry.
        let response = node.request(&get("s1", ""));
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"good".as_slice()),
            "case {n}"
        );
        assert_eq!(backend.connections.load(Ordering::SeqCst), 2, "case {n}");
    }
}

#[test]
fn extra_bytes_after_a_response_are_not_taken_for_the_next_response() {
    for extra_bytes in [
        ok("mine"),
        "noise".to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned(),
    ] {
        let backend = Backend::new(move |message| ResponsePlan::RespondWithExtraBytes {
            response: ok(message.value("x-call-id").unwrap_or_default()),
            extra: extra_bytes.clone(),
        });
        let (node, _discovery) = Node::start_with_backends(&[&backend]);
        let mut client = Client::connect(node.address);
        for n in 0..6 {
            let response = client
                .request(&get(&format!("w{n}"), ""))
                .expect("a response");
            assert_eq!(
                (response.status(), response.body),
                (200, format!("w{n}").into_bytes())
            );
        }
    }
}

/// The final response may follow long after the interim (1xx) responses.
#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend = Backend::new(move |_| ResponsePlan::RespondInTwoParts {
        first: interim.to_owned(),
        latch: backend_latch.clone(),
        second: ok("real"),
    });
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&post("pay", "i1", "", ""));
    backend.next_request();
    // Longer than a response that has begun may take to become complete.
    std::thread::sleep(std::time::Duration::from_millis(300));
    latch.release();
    let response = client.read().expect("a response");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"real".as_slice())
    );
}

/// Responses with status 400 do not count against the backend.
#[test]
fn bad_requests_eject_no_backend() {
    let backend = Backend::new(|message| match message.value("x-call-id") {
        Some(id) if id.starts_with("bad") => ResponsePlan::Respond(status(400, "")),
        _ => ResponsePlan::Respond(ok("yes")),
    });
    let other = backend_with(ResponsePlan::Respond(status(400, "")));
    let (node, _discovery) = Node::start_with_backends(&[&backend, &other]);
    for n in 0..40 {
        assert_ne!(node.request(&get(&format!("bad{n}"), "")).status(), 200);
    }
    assert!(!node.has_logged("ejected"));
}

/// After a client timeout the late response is read and the connection is reused, which saves a handshake.
#[test]
fn a_late_response_leaves_its_connection_usable() {
    let (latch, first) = (Arc::new(Latch::default()), AtomicBool::new(true));
    let backend_latch = latch.clone();
    let backend = Backend::new(move |_| match first.swap(false, Ordering::SeqCst) {
        true => ResponsePlan::RespondAfter(backend_latch.clone(), ok("late")),
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

/// Some networks drop idle connections silently. The node learns the idle time after which requests are reset, and
/// opens new connections instead of reusing older ones.
#[test]
fn connections_are_not_reused_after_an_idle_time_that_causes_resets() {
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
        let response = client
            .request(&get(&format!("q{n}"), ""))
            .expect("a response");
        assert_eq!(
            (response.status(), response.body.as_slice()),
            (200, b"yes".as_slice())
        );
        std::thread::sleep(std::time::Duration::from_millis(150));
    }
    // The node needs three resets for each range of idle times; on a slow machine two ranges may occur.
    let broken = broken.load(Ordering::SeqCst);
    assert!((1..=8).contains(&broken), "{broken} of 14 were reset");
}

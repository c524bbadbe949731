//! What is still owed when a node ends: requests that come as it shuts its side, and answers on their way.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

fn stopping(node: &Node) {
    node.signal("-TERM");
    wait_until("the node has heard", || node.has_logged("stopping node="));
}

/// A node whose one backend hangs, and whose clients wait for 1.5 s at most.
fn hanging() -> (Node, Backend) {
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

/// Two requests in one read: the answer to the first must not end a connection on which another has been read. It did,
/// and the second request was dropped.
#[test]
fn a_request_read_together_with_another_is_answered_during_shutdown() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    assert_eq!(
        client.request(&get("r0", "")).expect("an answer").status(),
        200
    );
    stopping(&node);
    client.write(&(get("r1", "") + &get("r2", "") + &post("pay", "r3", "", "last")));
    for (n, closes) in [(1, false), (2, false), (3, true)] {
        let answer = client.read().unwrap_or_else(|| panic!("an answer to r{n}"));
        assert_eq!(
            (answer.status(), answer.value("connection").is_some()),
            (200, closes),
            "r{n}"
        );
    }
    assert!(client.is_closed());
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// A client that rests until the node ends its connection writes in that very moment. Nothing of that is read, and the
/// connection is not reset under it: the client can tell that nobody has taken its request.
#[test]
fn an_idle_connection_is_not_reset_under_a_request_that_crosses_its_close() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut stream = TcpStream::connect(node.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(get("c0", "").as_bytes()).unwrap();
    let mut answer = [0; 4096];
    assert!(stream.read(&mut answer).unwrap() > 0);
    stopping(&node);
    assert_eq!(stream.read(&mut answer).unwrap(), 0, "its end");
    let began = Instant::now();
    // A reset shows at the next write or read.
    while began.elapsed() < Duration::from_millis(200) {
        stream
            .write_all(get("c1", "").as_bytes())
            .expect("not reset");
        assert_eq!(
            stream.take_error().unwrap().map(|error| error.kind()),
            None::<ErrorKind>
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        backend.take_request_count(),
        1,
        "and nothing of it was sent on"
    );
}

/// SIGKILL comes 0.7 s behind the longest deadline at the soonest. A request whose last byte comes late has no more time
/// than that, also where no backend answers: the node ended while it was still open.
#[test]
fn a_request_completed_at_the_last_moment_is_answered_before_the_end() {
    let (mut node, _backend) = hanging();
    let text = post("pay", "late", "", "0123456789");
    let mut client = Client::connect(node.address);
    client.write(&text[..text.len() - 1]);
    assert_eq!(
        node.request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .status(),
        200
    );
    let began = Instant::now();
    stopping(&node);
    wait_until("no more connections are taken", || {
        TcpStream::connect(node.address).is_err()
    });
    // The longest deadline from here on ends behind SIGKILL.
    wait_until("it is late", || {
        began.elapsed() > Duration::from_millis(1000)
    });
    client.write(&text[text.len() - 1..]);
    let answer = client.read().expect("an answer");
    assert_eq!(answer.status(), 502, "it may have run");
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert!(
        began.elapsed() < Duration::from_millis(2200),
        "{:?}",
        began.elapsed()
    );
}

/// Backends that hang, and requests on connections that are taken until the end: each gets its one answer.
#[test]
fn every_request_accepted_while_backends_hang_is_answered_before_the_end() {
    let (mut node, _backend) = hanging();
    stopping(&node);
    let mut open = Vec::new();
    // For as long as somebody takes them.
    while let Ok(mut stream) = TcpStream::connect(node.address) {
        let id = format!("h{}", open.len());
        if stream.write_all(get(&id, "").as_bytes()).is_ok() {
            open.push(stream);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(open.len() > 5, "{} were taken", open.len());
    let answers = open.into_iter().map(|mut stream| {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text);
        text
    });
    let answers: Vec<String> = answers.collect();
    // The very last ones may have been connected to a queue that nobody looked at any more: they were reset unread.
    let bare = answers
        .iter()
        .rev()
        .take_while(|text| text.is_empty())
        .count();
    assert!(bare <= 1, "{bare} of {} got no answer", answers.len());
    for text in &answers[..answers.len() - bare] {
        assert!(text.starts_with("HTTP/1.1 5"), "{text:?}");
        assert_eq!(text.matches("HTTP/1.1 ").count(), 1, "{text}");
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Half a request line is told that the node ends, and the node does not wait for the rest.
#[test]
fn half_a_request_line_does_not_keep_the_node_from_ending() {
    let backend = Backend::new(|_| ResponsePlan::Respond(ok("yes")));
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    assert_eq!(
        client.request(&get("l0", "")).expect("an answer").status(),
        200
    );
    client.write("GET /api HT");
    assert_eq!(node.request(&get("l1", "")).status(), 200);
    let began = Instant::now();
    stopping(&node);
    if let Some(answer) = client.read() {
        assert_eq!(answer.status(), 503);
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

/// Each request of a burst that has been read is owed its answer before SIGKILL, while the backends hang through the whole
/// of the shutdown: also those that are read after no more connections are taken.
#[test]
fn a_burst_is_answered_before_the_end_while_backends_hang() {
    let (mut node, backend) = hanging();
    let burst: String = (0..30)
        .map(|n| post("pay", &format!("b{n}"), "", "0123456789").replace("3000", "1500"))
        .collect();
    let mut client = Client::connect(node.address);
    client.write(&burst);
    assert_eq!(backend.next_request().value("x-call-id"), Some("b0"));
    let began = Instant::now();
    stopping(&node);
    for n in 0..30 {
        let answer = client.read();
        let status = answer
            .unwrap_or_else(|| panic!("an answer to b{n}"))
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
        "only the first one was forwarded"
    );
}

/// A client may take two seconds for a head. One that has begun before SIGTERM is answered, also when the head becomes
/// whole after no more connections are taken, and whatever deadline its class has: SIGKILL comes 3.7 s after SIGTERM.
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
    stopping(&node);
    std::thread::sleep(Duration::from_millis(1200));
    client.write(rest);
    let answer = client.read().expect("an answer");
    assert!(answer.status() >= 500, "{answer:?}");
    let took = began.elapsed();
    assert!(took < Duration::from_millis(3700), "{took:?}");
}

/// Half a head that never becomes whole is answered too: it has been read.
#[test]
fn half_a_head_is_answered_before_the_node_ends() {
    let (mut node, _backend) = hanging();
    let mut client = Client::connect(node.address);
    client.write("GET /api HTTP/1.1\r\nX-Call-Id: half");
    std::thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    stopping(&node);
    assert_eq!(client.read().expect("an answer").status(), 503);
    assert!(client.is_closed());
    let took = began.elapsed();
    assert!(took < Duration::from_millis(2200), "{took:?}");
    drop(client);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
}

/// Signals in series, while requests are open: each is answered, and the node ends once.
#[test]
fn signals_in_series_lose_no_request() {
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
            let answer = client
                .read()
                .unwrap_or_else(|| panic!("an answer to s{round}-{n}"));
            assert_eq!(answer.status(), 200, "s{round}-{n}");
        }
    }
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    assert_eq!(node.log_count("stopping node="), 1);
}

/// The last answer has left before the process is gone, also to a client that reads late: a close over what it has not
/// read yet would take it away.
#[test]
fn the_last_response_reaches_a_client_that_reads_after_the_end() {
    let body = "b".repeat(60_000);
    let text = ok(&body);
    let backend = Backend::new(move |_| ResponsePlan::Respond(text.clone()));
    let (mut node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("last", ""));
    assert_eq!(backend.next_request().value("x-call-id"), Some("last"));
    stopping(&node);
    assert_eq!(node.child.wait().unwrap().code(), Some(0));
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, body.len()));
}

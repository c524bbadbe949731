//! A node that is suspended (here by SIGSTOP) across a time limit: data that arrived before the limit counts as in
//! time, even if the node reads it only after the suspension.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

const CLIENTS: usize = 100;
/// Idle connections that a node with few descriptors keeps open: less than half of its client connections.
const IDLE_CONNECTIONS: usize = 7;

fn serving() -> Backend {
    Backend::new(|_| ResponsePlan::Respond(ok("yes")))
}

fn signal(node: &Node, signal: &str) {
    let pid = node.child.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status();
    assert!(status.expect("kill runs").success());
}

/// Suspends the node for `pause`, and calls `run` meanwhile.
fn run_while_suspended(node: &Node, pause: Duration, run: impl FnOnce()) {
    let began = Instant::now();
    signal(node, "-STOP");
    run();
    thread::sleep(pause.saturating_sub(began.elapsed()));
    signal(node, "-CONT");
}

/// Clients that have sent all but the `last` bytes of their requests, and these bytes.
fn clients_with_incomplete_requests(
    node: &Node,
    last: usize,
    text: impl Fn(usize) -> String,
) -> Vec<(Client, String)> {
    let clients = (0..CLIENTS).map(|n| {
        let text = text(n);
        let (first, rest) = text.split_at(text.len() - last);
        let mut client = Client::connect(node.address);
        client.write(first);
        (client, rest.to_owned())
    });
    clients.collect()
}

/// Completes the requests 50 ms after the node has been suspended; each is served.
#[track_caller]
fn check_that_all_are_served(node: &Node, mut clients: Vec<(Client, String)>, pause: Duration) {
    run_while_suspended(node, pause, || {
        thread::sleep(Duration::from_millis(50));
        for (client, rest) in &mut clients {
            client.write(rest);
        }
    });
    let served = clients
        .iter_mut()
        .filter_map(|(client, _)| client.read())
        .filter(|response| response.status() == 200)
        .count();
    assert_eq!(served, CLIENTS);
}

#[test]
fn a_head_completed_before_its_limit_is_served_after_a_suspension() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let clients = clients_with_incomplete_requests(&node, 4, |n| get(&format!("r{n}"), ""));
    thread::sleep(Duration::from_millis(2000));
    check_that_all_are_served(&node, clients, Duration::from_millis(700));
}

/// The suspension ends around the limit, so that the node sees the data and the expired limit at once.
#[test]
fn a_head_completed_in_time_is_served_if_the_suspension_ends_at_its_limit() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for pause in [480, 500, 520, 540, 560, 580, 600] {
        let clients =
            clients_with_incomplete_requests(&node, 4, |n| get(&format!("r{pause}-{n}"), ""));
        thread::sleep(Duration::from_millis(2000));
        check_that_all_are_served(&node, clients, Duration::from_millis(pause));
    }
}

#[test]
fn a_small_body_completed_before_its_limit_is_served_after_a_suspension() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = "b".repeat(9000);
    let clients =
        clients_with_incomplete_requests(&node, 4000, |n| post("pay", &format!("r{n}"), "", &body));
    thread::sleep(Duration::from_millis(2000));
    check_that_all_are_served(&node, clients, Duration::from_millis(700));
}

#[test]
fn an_upload_continued_before_its_limit_is_served_after_a_suspension() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = "b".repeat(100_000);
    let clients =
        clients_with_incomplete_requests(&node, 4000, |n| post("pay", &format!("r{n}"), "", &body));
    thread::sleep(Duration::from_millis(2000));
    check_that_all_are_served(&node, clients, Duration::from_millis(700));
}

#[test]
fn a_request_sent_before_the_idle_limit_is_served_after_a_suspension() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut clients = clients_with_incomplete_requests(&node, 0, |n| get(&format!("first{n}"), ""));
    for (client, _) in &mut clients {
        assert_eq!(client.read().expect("a response").status(), 200);
    }
    thread::sleep(Duration::from_millis(9650));
    let next = clients
        .into_iter()
        .enumerate()
        .map(|(n, (client, _))| (client, get(&format!("next{n}"), "")));
    let next = next.collect();
    check_that_all_are_served(&node, next, Duration::from_millis(700));
}

#[test]
fn a_first_request_sent_before_its_limit_is_served_after_a_suspension() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let clients = (0..CLIENTS).map(|n| (Client::connect(node.address), get(&format!("r{n}"), "")));
    let clients = clients.collect();
    thread::sleep(Duration::from_millis(2300));
    check_that_all_are_served(&node, clients, Duration::from_millis(700));
}

/// A limit still applies if nothing arrived during the suspension.
#[test]
fn an_incomplete_head_is_closed_right_after_a_suspension_beyond_its_limit() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut clients = clients_with_incomplete_requests(&node, 4, |n| get(&format!("r{n}"), ""));
    thread::sleep(Duration::from_millis(2000));
    run_while_suspended(&node, Duration::from_millis(700), || ());
    let began = Instant::now();
    assert!(clients.iter_mut().all(|(client, _)| client.is_closed()));
    assert!(began.elapsed() < Duration::from_millis(300));
}

/// Idle clients send requests and many others connect while a node with few descriptors is suspended.
#[test]
fn a_connection_with_an_unread_request_is_not_evicted() {
    let backend = serving();
    let (node, _discovery) = node_with_few_descriptors(&backend);
    let mut idle: Vec<Client> = (0..IDLE_CONNECTIONS)
        .map(|_| Client::connect(node.address))
        .collect();
    for (n, client) in idle.iter_mut().enumerate() {
        let response = client.request(&get(&format!("first{n}"), ""));
        assert_eq!(response.expect("a response").status(), 200);
    }
    thread::sleep(Duration::from_millis(400));
    let mut others = Vec::new();
    run_while_suspended(&node, Duration::from_millis(300), || {
        others.extend((0..40).map(|_| Client::connect(node.address)));
        for (n, client) in idle.iter_mut().enumerate() {
            client.write(&get(&format!("next{n}"), ""));
        }
    });
    let statuses: Vec<_> = idle
        .iter_mut()
        .map(|client| client.read().map(|response| response.status()))
        .collect();
    let served = statuses.iter().filter(|status| **status == Some(200));
    assert_eq!(served.count(), IDLE_CONNECTIONS, "{statuses:?}");
}

/// A client that resumes reading a response while the node is suspended has not stalled.
#[test]
fn a_response_that_the_client_resumes_reading_in_time_is_sent_completely() {
    const LENGTH: usize = 40_000_000;
    let backend = Backend::new(|_| ResponsePlan::Respond(ok(&"x".repeat(LENGTH))));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("r1", ""));
    thread::sleep(Duration::from_millis(29_500));
    let mut reading = None;
    run_while_suspended(&node, Duration::from_millis(1000), || {
        reading = Some(thread::spawn(move || client.read()));
    });
    let response = reading
        .expect("the reading thread was started")
        .join()
        .unwrap();
    assert_eq!(response.expect("a response").body.len(), LENGTH);
}

/// A node with room for sixteen client connections.
fn node_with_few_descriptors(backend: &Backend) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["limits"]["sockets"] = json!(50);
    (Node::start(&config), discovery)
}

/// Guards against a shutdown that closes a connection as idle while a request on this connection is still unread.
#[test]
fn a_request_sent_before_sigterm_during_a_suspension_is_served() {
    let backend = serving();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut clients = clients_with_incomplete_requests(&node, 0, |n| get(&format!("first{n}"), ""));
    for (client, _) in &mut clients {
        assert_eq!(client.read().expect("a response").status(), 200);
    }
    run_while_suspended(&node, Duration::from_millis(300), || {
        for (n, (client, _)) in clients.iter_mut().enumerate() {
            client.write(&get(&format!("next{n}"), ""));
        }
        signal(&node, "-TERM");
    });
    let served = clients
        .iter_mut()
        .filter_map(|(client, _)| client.read())
        .filter(|response| response.status() == 200)
        .count();
    assert_eq!(served, CLIENTS);
}

#[test]
fn a_watch_answered_during_a_suspension_does_not_count_as_silent() {
    let backend = serving();
    let (node, discovery) = Node::start_with_backends(&[&backend]);
    for pause in [1500, 2500, 3500] {
        let before = discovery.watch_requests.lock().unwrap().len();
        run_while_suspended(&node, Duration::from_millis(pause), || {
            let other = target("s-0", backend.address, "Ready");
            discovery.set_endpoints(json!([other]));
        });
        wait_until("another watch", || {
            discovery.watch_requests.lock().unwrap().len() > before
        });
    }
    assert!(!node.has_logged("has fallen silent"));
    assert!(!node.has_logged("asking discovery failed"));
}

/// Four backends with this response time, and the number of requests that they have received.
fn backends_with_response_time(time: Duration) -> (Vec<Backend>, Arc<AtomicU32>) {
    let requests = Arc::new(AtomicU32::new(0));
    let backends = (0..4).map(|_| {
        let requests = requests.clone();
        Backend::new(move |_| {
            requests.fetch_add(1, Ordering::SeqCst);
            thread::sleep(time);
            ResponsePlan::Respond(ok("yes"))
        })
    });
    (backends.collect(), requests)
}

fn node_with_console(backends: &[Backend], change: impl FnOnce(&mut Value)) -> (Node, Discovery) {
    let listed = (0..)
        .zip(backends)
        .map(|(n, backend)| target(&format!("s-{n}"), backend.address, "Ready"));
    let targets: Value = listed.collect();
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["console"] = json!("127.0.0.1:0");
    change(&mut config);
    (Node::start(&config), discovery)
}

/// Responses that are in the node's socket buffers when their attempts time out count as in time.
#[test]
fn responses_received_during_a_suspension_cause_neither_ejections_nor_retries() {
    let (backends, requests) = backends_with_response_time(Duration::from_millis(300));
    let (node, _discovery) = node_with_console(&backends, |_| ());
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&post("pay", &format!("r{n}"), "", "b").replace("3000", "1000"));
    }
    thread::sleep(Duration::from_millis(250));
    run_while_suspended(&node, Duration::from_millis(750), || ());
    let statuses: Vec<_> = clients
        .iter_mut()
        .map(|client| client.read().map(|response| response.status()))
        .collect();
    let sent = requests.load(Ordering::SeqCst) as usize;
    let served = statuses.iter().filter(|status| **status == Some(200));
    assert_eq!(
        served.count(),
        sent,
        "as many as were forwarded: {statuses:?}"
    );
    assert!(!node.has_logged("server ejected"));
    let unhealthy = metric(node.console(), "node.cluster_unhealthy");
    assert_eq!(unhealthy.as_deref(), Some("0"));
}

/// A suspension of the node does not count as an overload of the backends: queued requests are served afterwards.
#[test]
fn requests_queued_in_a_suspended_node_are_not_shed() {
    let (backends, _) = backends_with_response_time(Duration::from_millis(300));
    let (node, _discovery) = node_with_console(&backends, |_| ());
    for (round, pause) in [1000, 0, 2000, 0].into_iter().enumerate() {
        let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(&get(&format!("r{round}-{n}"), ""));
        }
        thread::sleep(Duration::from_millis(250));
        if pause > 0 {
            run_while_suspended(&node, Duration::from_millis(pause), || ());
        }
        let statuses: Vec<_> = clients
            .iter_mut()
            .map(|client| client.read().map(|response| response.status()))
            .collect();
        let served = statuses.iter().filter(|status| **status == Some(200));
        assert_eq!(served.count(), 20, "round {round}: {statuses:?}");
    }
}

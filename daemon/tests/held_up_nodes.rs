//! A node that stands still for some time, here by SIGSTOP, at the moment of a time limit: what has come in time by then
//! counts, though the node has not read it.
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

const MANY: usize = 100;
/// Idle connections that a node with few descriptors keeps: less than half of those for clients.
const IDLE: usize = 7;

fn at_once() -> Backend {
    Backend::new(|_| ResponsePlan::Respond(ok("yes")))
}

fn signal(node: &Node, signal: &str) {
    let pid = node.child.id().to_string();
    let status = Command::new("kill").args([signal, &pid]).status();
    assert!(status.expect("kill runs").success());
}

/// Runs this while the node stands still, which it does for `pause` from then on.
fn while_stopped(node: &Node, pause: Duration, run: impl FnOnce()) {
    let began = Instant::now();
    signal(node, "-STOP");
    run();
    thread::sleep(pause.saturating_sub(began.elapsed()));
    signal(node, "-CONT");
}

/// Clients whose requests have been written up to `last` bytes before their end, at this time.
fn clients_with_all_but(
    node: &Node,
    last: usize,
    text: impl Fn(usize) -> String,
) -> Vec<(Client, String)> {
    let clients = (0..MANY).map(|n| {
        let text = text(n);
        let (first, rest) = text.split_at(text.len() - last);
        let mut client = Client::connect(node.address);
        client.write(first);
        (client, rest.to_owned())
    });
    clients.collect()
}

/// Finishes the requests 50 ms after the node has been stopped, and counts those that are served.
#[track_caller]
fn all_are_served(node: &Node, mut clients: Vec<(Client, String)>, pause: Duration) {
    while_stopped(node, pause, || {
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
    assert_eq!(served, MANY);
}

#[test]
fn a_head_that_was_complete_in_time_is_served() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let clients = clients_with_all_but(&node, 4, |n| get(&format!("r{n}"), ""));
    thread::sleep(Duration::from_millis(2000));
    all_are_served(&node, clients, Duration::from_millis(700));
}

/// The pause ends just behind the limit: the node learns of both at once.
#[test]
fn a_head_that_was_complete_in_time_is_served_when_the_pause_ends_with_the_limit() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    for pause in [480, 500, 520, 540, 560, 580, 600] {
        let clients = clients_with_all_but(&node, 4, |n| get(&format!("r{pause}-{n}"), ""));
        thread::sleep(Duration::from_millis(2000));
        all_are_served(&node, clients, Duration::from_millis(pause));
    }
}

#[test]
fn a_small_body_that_was_complete_in_time_is_served() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = "b".repeat(9000);
    let clients = clients_with_all_but(&node, 4000, |n| post("pay", &format!("r{n}"), "", &body));
    thread::sleep(Duration::from_millis(2000));
    all_are_served(&node, clients, Duration::from_millis(700));
}

#[test]
fn an_upload_that_went_on_in_time_is_served() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let body = "b".repeat(100_000);
    let clients = clients_with_all_but(&node, 4000, |n| post("pay", &format!("r{n}"), "", &body));
    thread::sleep(Duration::from_millis(2000));
    all_are_served(&node, clients, Duration::from_millis(700));
}

#[test]
fn a_request_on_an_idle_connection_is_served() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut clients = clients_with_all_but(&node, 0, |n| get(&format!("first{n}"), ""));
    for (client, _) in &mut clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    thread::sleep(Duration::from_millis(9650));
    let next = clients
        .into_iter()
        .enumerate()
        .map(|(n, (client, _))| (client, get(&format!("next{n}"), "")));
    let next = next.collect();
    all_are_served(&node, next, Duration::from_millis(700));
}

#[test]
fn the_first_request_on_a_connection_is_served() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let clients = (0..MANY).map(|n| (Client::connect(node.address), get(&format!("r{n}"), "")));
    let clients = clients.collect();
    thread::sleep(Duration::from_millis(2300));
    all_are_served(&node, clients, Duration::from_millis(700));
}

/// A limit still strikes where nothing has come.
#[test]
fn a_head_that_was_not_completed_is_closed_in_time() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut clients = clients_with_all_but(&node, 4, |n| get(&format!("r{n}"), ""));
    thread::sleep(Duration::from_millis(2000));
    while_stopped(&node, Duration::from_millis(700), || ());
    let began = Instant::now();
    assert!(clients.iter_mut().all(|(client, _)| client.is_closed()));
    assert!(began.elapsed() < Duration::from_millis(300));
}

/// In a node with few descriptors, all of whose clients are idle, many more connect while it stands still.
#[test]
fn a_connection_whose_request_has_come_is_not_evicted() {
    let backend = at_once();
    let (node, _discovery) = small_node(&backend);
    let mut idle: Vec<Client> = (0..IDLE).map(|_| Client::connect(node.address)).collect();
    for (n, client) in idle.iter_mut().enumerate() {
        let answer = client.request(&get(&format!("first{n}"), ""));
        assert_eq!(answer.expect("an answer").status(), 200);
    }
    thread::sleep(Duration::from_millis(400));
    let mut crowd = Vec::new();
    while_stopped(&node, Duration::from_millis(300), || {
        crowd.extend((0..40).map(|_| Client::connect(node.address)));
        for (n, client) in idle.iter_mut().enumerate() {
            client.write(&get(&format!("next{n}"), ""));
        }
    });
    let statuses: Vec<_> = idle
        .iter_mut()
        .map(|client| client.read().map(|response| response.status()))
        .collect();
    let served = statuses.iter().filter(|status| **status == Some(200));
    assert_eq!(served.count(), IDLE, "{statuses:?}");
}

/// A client that begins to take a response again while the node stands still has not stalled.
#[test]
fn a_response_that_its_client_takes_in_time_is_sent_to_its_end() {
    const LENGTH: usize = 40_000_000;
    let backend = Backend::new(|_| ResponsePlan::Respond(ok(&"x".repeat(LENGTH))));
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut client = Client::connect(node.address);
    client.write(&get("r1", ""));
    thread::sleep(Duration::from_millis(29_500));
    let mut reading = None;
    while_stopped(&node, Duration::from_millis(1000), || {
        reading = Some(thread::spawn(move || client.read()));
    });
    let response = reading.expect("begun").join().unwrap();
    assert_eq!(response.expect("an answer").body.len(), LENGTH);
}

/// A node on which clients have sixteen connections.
fn small_node(backend: &Backend) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["limits"]["sockets"] = json!(50);
    (Node::start(&config), discovery)
}

/// Closed while idle by a shutdown, though a request has come: served, or its client can tell that it was not read.
#[test]
fn a_request_that_came_before_a_signal_is_served() {
    let backend = at_once();
    let (node, _discovery) = Node::start_with_backends(&[&backend]);
    let mut clients = clients_with_all_but(&node, 0, |n| get(&format!("first{n}"), ""));
    for (client, _) in &mut clients {
        assert_eq!(client.read().expect("an answer").status(), 200);
    }
    while_stopped(&node, Duration::from_millis(300), || {
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
    assert_eq!(served, MANY);
}

/// A watch that was answered while the node stood still has not fallen silent.
#[test]
fn a_watch_that_was_answered_in_time_is_not_silent() {
    let backend = at_once();
    let (node, discovery) = Node::start_with_backends(&[&backend]);
    for pause in [1500, 2500, 3500] {
        let before = discovery.watch_requests.lock().unwrap().len();
        while_stopped(&node, Duration::from_millis(pause), || {
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

/// Several backends that answer after this time, and the number of requests that they have had.
fn backends_that_take(time: Duration) -> (Vec<Backend>, Arc<AtomicU32>) {
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

fn node_with(backends: &[Backend], change: impl FnOnce(&mut Value)) -> (Node, Discovery) {
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

/// Responses that lie in the node's sockets as the time of their attempts ends are responses.
#[test]
fn backends_that_answered_in_time_are_neither_ejected_nor_asked_again() {
    let (backends, requests) = backends_that_take(Duration::from_millis(300));
    let (node, _discovery) = node_with(&backends, |_| ());
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&post("pay", &format!("r{n}"), "", "b").replace("3000", "1000"));
    }
    thread::sleep(Duration::from_millis(250));
    while_stopped(&node, Duration::from_millis(750), || ());
    let statuses: Vec<_> = clients
        .iter_mut()
        .map(|client| client.read().map(|response| response.status()))
        .collect();
    let sent = requests.load(Ordering::SeqCst) as usize;
    let served = statuses.iter().filter(|status| **status == Some(200));
    assert_eq!(served.count(), sent, "of those sent: {statuses:?}");
    assert!(!node.has_logged("server ejected"));
    let unhealthy = metric(node.console(), "node.cluster_unhealthy");
    assert_eq!(unhealthy.as_deref(), Some("0"));
}
/// The node's own pause is no overload of its backends: what waits in it is served when it goes on.
#[test]
fn requests_that_wait_in_a_node_that_stands_still_are_not_shed() {
    let (backends, _) = backends_that_take(Duration::from_millis(300));
    let (node, _discovery) = node_with(&backends, |_| ());
    for (round, pause) in [1000, 0, 2000, 0].into_iter().enumerate() {
        let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(&get(&format!("r{round}-{n}"), ""));
        }
        thread::sleep(Duration::from_millis(250));
        if pause > 0 {
            while_stopped(&node, Duration::from_millis(pause), || ());
        }
        let statuses: Vec<_> = clients
            .iter_mut()
            .map(|client| client.read().map(|response| response.status()))
            .collect();
        let served = statuses.iter().filter(|status| **status == Some(200));
        assert_eq!(served.count(), 20, "round {round}: {statuses:?}");
    }
}

//! Upgrades: a new process takes over the listening socket under load, and failures of the handover.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::system_faults::{CallFault, SystemCall, SystemFaults};
use serde_json::{Value, json};

/// A folder that the versions of a node share for the handover; removed on drop.
struct HandoverFolder(PathBuf);

impl HandoverFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("badgerpost-up-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn socket(&self, address: SocketAddr) -> PathBuf {
        self.0.join(format!(
            "badgerpost-{}-{}.handover",
            address.ip(),
            address.port()
        ))
    }
}

impl Drop for HandoverFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address that can be bound with SO_REUSEADDR.
fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn config_with_console(backend: &Backend, address: SocketAddr) -> Value {
    let mut config = config(
        free_address(),
        json!([target("s-0", backend.address, "Ready")]),
    );
    config["console"] = json!("127.0.0.1:0");
    config["listen"] = json!(address.to_string());
    config
}

fn serving() -> Backend {
    Backend::new(|_| ResponsePlan::Respond(ok("yes")))
}

fn wait_until_ready(node: &Node) {
    let console = node.console();
    wait_until("the process can serve", || {
        Client::connect(console)
            .request("GET /status HTTP/1.1\r\nHost: ops\r\n\r\n")
            .is_some_and(|a| a.status() == 200)
    });
}

/// Sends a request on a new connection; whether the response has status 200.
fn is_request_served(address: SocketAddr, id: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(get(id, "Connection: close\r\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response.starts_with("HTTP/1.1 200 "))
}

/// Each request uses a new connection, so that connections wait in the accept queue of the socket during each handover.
#[test]
fn ten_upgrades_under_load_lose_no_request() {
    let folder = HandoverFolder::new("ten");
    let (backend, address) = (serving(), free_address());
    let config = config_with_console(&backend, address);
    let mut running = Node::start_in(&config, Some(&folder.0));
    wait_until_ready(&running);
    let (is_stopping, failed, sent) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
        Arc::new(AtomicU32::new(0)),
    );
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (is_stopping, failed, sent) = (is_stopping.clone(), failed.clone(), sent.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if is_stopping.load(Ordering::SeqCst) {
                        return;
                    }
                    sent.fetch_add(1, Ordering::SeqCst);
                    if !is_request_served(address, &format!("u{client}-{n}")).unwrap_or(false) {
                        failed.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    for _ in 0..10 {
        let new = Node::start_in(&config, Some(&folder.0));
        wait_until_ready(&new);
        wait_until("the new version takes over the socket", || {
            new.has_logged("took over the listening socket")
        });
        wait_until("the old version logs the handover", || {
            running.has_logged("the next version takes connections here")
        });
        running.signal("-TERM");
        assert_eq!(running.child.wait().unwrap().code(), Some(0));
        wait_until("the new version logs the exit of the old one", || {
            new.has_logged("the version before is gone")
        });
        running = new;
    }
    is_stopping.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    assert_eq!(
        failed.load(Ordering::SeqCst),
        0,
        "failed of {} requests",
        sent.load(Ordering::SeqCst)
    );
    assert!(sent.load(Ordering::SeqCst) > 100);
}

/// The new version is killed after it has begun to accept connections.
#[test]
fn the_old_version_keeps_serving_when_the_new_one_is_killed() {
    let folder = HandoverFolder::new("dies");
    let (backend, address) = (serving(), free_address());
    let config = config_with_console(&backend, address);
    let old = Node::start_in(&config, Some(&folder.0));
    wait_until_ready(&old);
    for round in 0..2 {
        let new = Node::start_in(&config, Some(&folder.0));
        wait_until("the old version logs the handover", || {
            old.log_count("shared=true") == round + 1
        });
        new.signal("-KILL");
        wait_until("the old version logs the end of the new one", || {
            old.log_count("shared=false") == round + 1
        });
        drop(new);
        for n in 0..10 {
            assert!(is_request_served(address, &format!("d{round}-{n}")).unwrap());
        }
    }
}

/// If the handover socket cannot be created, there is no handover, and both versions still serve.
#[test]
fn a_node_starts_when_its_handover_folder_cannot_be_written() {
    for error in ["ENOSPC", "EIO"] {
        let folder = HandoverFolder::new(error);
        let (backend, address) = (serving(), free_address());
        let config = config_with_console(&backend, address);
        let faults =
            SystemFaults::seeded(1).with(SystemCall::BindUnix, CallFault::Error(error), 1000);
        let old = Node::start_with_faults_in(&config, &faults, Some(&folder.0));
        wait_until_ready(&old);
        let mut new = Node::start_with_faults_in(&config, &faults, Some(&folder.0));
        wait_until_ready(&new);
        old.signal("-TERM");
        wait_until("the old version shuts down", || {
            old.has_logged("stopping node=")
        });
        wait_until_ready(&new);
        assert!(new.child.try_wait().unwrap().is_none(), "{error}");
    }
}

#[test]
fn a_node_starts_with_any_content_at_the_handover_path() {
    fn never_respond(path: &Path) -> Box<dyn std::any::Any> {
        Box::new(UnixListener::bind(path).unwrap())
    }
    fn respond_with(path: &Path, text: &'static str) -> Box<dyn std::any::Any> {
        let listener = UnixListener::bind(path).unwrap();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.write_all(text.as_bytes());
                // The connection stays open, so the node has to end the wait by itself.
                std::mem::forget(stream);
            }
        });
        Box::new(())
    }
    type Prepare = fn(&Path) -> Box<dyn std::any::Any>;
    let cases: [(&str, Prepare); 8] = [
        ("file", |path| {
            Box::new(std::fs::write(path, "what is this"))
        }),
        ("folder", |path| Box::new(std::fs::create_dir(path))),
        ("dead", |path| Box::new(UnixListener::bind(path).map(drop))),
        ("silent", never_respond),
        ("garbage", |path| {
            respond_with(path, "\u{1}\u{2} nonsense\n")
        }),
        ("endless", |path| {
            respond_with(path, Box::leak("x".repeat(10_000).into_boxed_str()))
        }),
        ("nothing", |path| respond_with(path, "\"listener\"\n")),
        ("refuses", |path| {
            respond_with(path, "{\"refused\":{\"reason\":\"version 1 is not 2\"}}\n")
        }),
    ];
    for (name, prepare) in cases {
        let folder = HandoverFolder::new(name);
        let (backend, address) = (serving(), free_address());
        let _kept = prepare(&folder.socket(address));
        let began = Instant::now();
        let node = Node::start_in(&config_with_console(&backend, address), Some(&folder.0));
        wait_until_ready(&node);
        assert!(
            began.elapsed() < Duration::from_secs(6),
            "{name}: {:?}",
            began.elapsed()
        );
        assert!(is_request_served(address, "first").unwrap(), "{name}");
    }
}

/// Incomplete and invalid handover requests do not prevent the handover to the next version.
#[test]
fn invalid_handover_requests_are_rejected_or_ignored() {
    let folder = HandoverFolder::new("odd");
    let (backend, address) = (serving(), free_address());
    let config = config_with_console(&backend, address);
    let old = Node::start_in(&config, Some(&folder.0));
    wait_until_ready(&old);
    let handover_socket = folder.socket(address);
    wait_until("the handover socket exists", || handover_socket.exists());
    for (text, expected) in [
        (
            format!("{{\"hello\":{{\"version\":9,\"listen\":\"{address}\"}}}}\n"),
            "version 9 is not 1",
        ),
        (
            "{\"hello\":{\"version\":1,\"listen\":\"127.0.0.1:1\"}}\n".to_owned(),
            "this one listens at",
        ),
        ("garbage\n".to_owned(), ""),
        ("\"serving\"\n".to_owned(), ""),
        (String::new(), ""),
    ] {
        let mut peer = UnixStream::connect(&handover_socket).unwrap();
        peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        peer.write_all(text.as_bytes()).unwrap();
        let mut received = String::new();
        peer.read_to_string(&mut received)
            .expect("the node closes the connection");
        assert!(received.contains(expected), "{text:?}: {received:?}");
    }
    let new = Node::start_in(&config, Some(&folder.0));
    wait_until("the new version takes over the socket", || {
        new.has_logged("took over the listening socket")
    });
    assert!(is_request_served(address, "last").unwrap());
}

fn console_status(node: &Node, method: &str, path: &str) -> u16 {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n");
    Client::connect(node.console())
        .request(&text)
        .expect("a response")
        .status()
}

fn readiness_status(address: SocketAddr) -> u16 {
    Client::connect(address)
        .request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("a response")
        .status()
}

/// A drained node is upgraded, and another is drained during its upgrade: each new version is in service and each old
/// one exits.
#[test]
fn an_upgrade_completes_during_a_drain() {
    let folder = HandoverFolder::new("meet");
    let (backend, address) = (serving(), free_address());
    let config = config_with_console(&backend, address);
    let mut old = Node::start_in(&config, Some(&folder.0));
    wait_until_ready(&old);
    assert_eq!(console_status(&old, "POST", "/standby"), 200);
    assert_eq!(readiness_status(address), 503);
    let mut new = Node::start_in(&config, Some(&folder.0));
    wait_until("the old version logs the handover", || {
        old.has_logged("shared=true")
    });
    old.signal("-TERM");
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    assert_eq!(
        readiness_status(address),
        200,
        "the new version is not drained"
    );
    let last = Node::start_in(&config, Some(&folder.0));
    wait_until("the old version logs the next handover", || {
        new.has_logged("shared=true")
    });
    assert_eq!(console_status(&new, "POST", "/standby"), 200);
    new.signal("-TERM");
    assert_eq!(new.child.wait().unwrap().code(), Some(0));
    wait_until("the last version logs the exit of the one before", || {
        last.has_logged("the version before is gone")
    });
    assert_eq!(readiness_status(address), 200);
    assert!(is_request_served(address, "meet").unwrap());
}

/// Requests that the old version has begun to read before the handover are answered by the old version.
#[test]
fn the_old_version_answers_the_requests_it_has_accepted() {
    let folder = HandoverFolder::new("open");
    let latch = Arc::new(Latch::default());
    let backend_latch = latch.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => ResponsePlan::RespondAfter(backend_latch.clone(), ok("slow")),
        _ => ResponsePlan::Respond(ok("yes")),
    });
    let address = free_address();
    let config = config_with_console(&backend, address);
    let mut old = Node::start_in(&config, Some(&folder.0));
    wait_until_ready(&old);
    let mut slow_client = Client::connect(address);
    slow_client.write(&post("pay", "slow", "", "x"));
    assert_eq!(backend.next_request().value("x-call-id"), Some("slow"));
    let mut incomplete_client = Client::connect(address);
    let text = post("pay", "half", "", "whole");
    incomplete_client.write(&text[..text.len() - 2]);
    let new = Node::start_in(&config, Some(&folder.0));
    wait_until_ready(&new);
    old.signal("-TERM");
    wait_until("shutdown is logged", || old.has_logged("stopping node="));
    incomplete_client.write(&text[text.len() - 2..]);
    assert_eq!(
        incomplete_client
            .read()
            .expect("a response to the half-read request")
            .status(),
        200
    );
    latch.release();
    let response = slow_client.read().expect("a response");
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, b"slow".as_slice())
    );
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    assert!(is_request_served(address, "next").unwrap());
    assert_eq!(
        backend
            .requests
            .try_iter()
            .filter(|m| m.value("x-call-id") == Some("slow"))
            .count(),
        0,
        "the slow request was forwarded once"
    );
}

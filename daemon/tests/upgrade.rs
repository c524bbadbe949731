//! New versions started beside the one that runs, under load, and what may stand in the way of the handover.
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

/// A folder that the versions of a node share; gone with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("badgerpost-up-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn socket(&self, at: SocketAddr) -> PathBuf {
        self.0
            .join(format!("badgerpost-{}-{}.handover", at.ip(), at.port()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An address that is free, and stays so for whoever sets SO_REUSEADDR.
fn free() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn operated(backend: &Backend, at: SocketAddr) -> Value {
    let mut config = config(free(), json!([target("s-0", backend.address, "Ready")]));
    config["console"] = json!("127.0.0.1:0");
    config["listen"] = json!(at.to_string());
    config
}

fn serving() -> Backend {
    Backend::new(|_| ResponsePlan::Respond(ok("yes")))
}

fn serves(node: &Node) {
    let console = node.console();
    wait_until("the process can serve", || {
        Client::connect(console)
            .request("GET /status HTTP/1.1\r\nHost: ops\r\n\r\n")
            .is_some_and(|a| a.status() == 200)
    });
}

/// A request on a new connection; whether it was answered.
fn asks(at: SocketAddr, id: &str) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(get(id, "Connection: close\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.starts_with("HTTP/1.1 200 "))
}

/// Ten upgrades in a row under a steady load, each request on a new connection: what waits in the queue of the socket
/// that is handed over is lost to nobody.
#[test]
fn ten_upgrades_under_load_lose_no_request() {
    let folder = Folder::new("ten");
    let (backend, at) = (serving(), free());
    let config = operated(&backend, at);
    let mut running = Node::start_in(&config, Some(&folder.0));
    serves(&running);
    let (over, lost, asked) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
        Arc::new(AtomicU32::new(0)),
    );
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (over, lost, asked) = (over.clone(), lost.clone(), asked.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    asked.fetch_add(1, Ordering::SeqCst);
                    if !asks(at, &format!("u{client}-{n}")).unwrap_or(false) {
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    for _ in 0..10 {
        let new = Node::start_in(&config, Some(&folder.0));
        serves(&new);
        wait_until("it has taken the socket over", || {
            new.has_logged("took over the listening socket")
        });
        wait_until("the old one knows", || {
            running.has_logged("the next version takes connections here")
        });
        running.signal("-TERM");
        assert_eq!(running.child.wait().unwrap().code(), Some(0));
        wait_until("the new one knows", || {
            new.has_logged("the version before is gone")
        });
        running = new;
    }
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().unwrap());
    assert_eq!(
        lost.load(Ordering::SeqCst),
        0,
        "of {} requests",
        asked.load(Ordering::SeqCst)
    );
    assert!(asked.load(Ordering::SeqCst) > 100);
}

/// The new one dies after it has begun to take connections: the old one carries on, also if it was on its way out.
#[test]
fn the_old_version_carries_on_when_the_new_one_dies() {
    let folder = Folder::new("dies");
    let (backend, at) = (serving(), free());
    let config = operated(&backend, at);
    let old = Node::start_in(&config, Some(&folder.0));
    serves(&old);
    for round in 0..2 {
        let new = Node::start_in(&config, Some(&folder.0));
        wait_until("the old one knows", || {
            old.log_count("shared=true") == round + 1
        });
        new.signal("-KILL");
        wait_until("the old one hears of it", || {
            old.log_count("shared=false") == round + 1
        });
        drop(new);
        for n in 0..10 {
            assert!(asks(at, &format!("d{round}-{n}")).unwrap());
        }
    }
}

/// A folder that takes no more files, or fails, costs the handover of the socket and nothing else.
#[test]
fn a_node_starts_though_its_folder_is_full_or_fails() {
    for error in ["ENOSPC", "EIO"] {
        let folder = Folder::new(error);
        let (backend, at) = (serving(), free());
        let config = operated(&backend, at);
        let faults =
            SystemFaults::seeded(1).with(SystemCall::BindUnix, CallFault::Error(error), 1000);
        let old = Node::start_with_faults_in(&config, &faults, Some(&folder.0));
        serves(&old);
        let mut new = Node::start_with_faults_in(&config, &faults, Some(&folder.0));
        serves(&new);
        old.signal("-TERM");
        wait_until("the old one stops", || old.has_logged("stopping node="));
        serves(&new);
        assert!(new.child.try_wait().unwrap().is_none(), "{error}");
    }
}

/// Whatever stands where the versions meet, the node starts in time and serves.
#[test]
fn a_node_starts_whatever_its_folder_contains() {
    fn silent(path: &Path) -> Box<dyn std::any::Any> {
        Box::new(UnixListener::bind(path).unwrap())
    }
    fn says(path: &Path, text: &'static str) -> Box<dyn std::any::Any> {
        let listener = UnixListener::bind(path).unwrap();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.write_all(text.as_bytes());
                // Held open: only the node can end the wait.
                std::mem::forget(stream);
            }
        });
        Box::new(())
    }
    type Prepares = fn(&Path) -> Box<dyn std::any::Any>;
    let cases: [(&str, Prepares); 8] = [
        ("file", |path| {
            Box::new(std::fs::write(path, "what is this"))
        }),
        ("folder", |path| Box::new(std::fs::create_dir(path))),
        ("dead", |path| Box::new(UnixListener::bind(path).map(drop))),
        ("silent", silent),
        ("garbage", |path| says(path, "\u{1}\u{2} nonsense\n")),
        ("endless", |path| {
            says(path, Box::leak("x".repeat(10_000).into_boxed_str()))
        }),
        ("nothing", |path| says(path, "\"listener\"\n")),
        ("refuses", |path| {
            says(path, "{\"refused\":{\"reason\":\"version 1 is not 2\"}}\n")
        }),
    ];
    for (name, prepare) in cases {
        let folder = Folder::new(name);
        let (backend, at) = (serving(), free());
        let _kept = prepare(&folder.socket(at));
        let began = Instant::now();
        let node = Node::start_in(&operated(&backend, at), Some(&folder.0));
        serves(&node);
        assert!(
            began.elapsed() < Duration::from_secs(6),
            "{name}: {:?}",
            began.elapsed()
        );
        assert!(asks(at, "first").unwrap(), "{name}");
    }
}

/// Peers that ask and stop halfway, or ask for something else, do not keep the next version from its socket.
#[test]
fn invalid_successors_are_rejected_or_ignored() {
    let folder = Folder::new("odd");
    let (backend, at) = (serving(), free());
    let config = operated(&backend, at);
    let old = Node::start_in(&config, Some(&folder.0));
    serves(&old);
    let meet = folder.socket(at);
    wait_until("the meeting place is there", || meet.exists());
    for (text, wanted) in [
        (
            format!("{{\"hello\":{{\"version\":9,\"listen\":\"{at}\"}}}}\n"),
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
        let mut peer = UnixStream::connect(&meet).unwrap();
        peer.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        peer.write_all(text.as_bytes()).unwrap();
        let mut said = String::new();
        peer.read_to_string(&mut said)
            .expect("it is ended by the node");
        assert!(said.contains(wanted), "{text:?}: {said:?}");
    }
    let new = Node::start_in(&config, Some(&folder.0));
    wait_until("the socket goes over all the same", || {
        new.has_logged("took over the listening socket")
    });
    assert!(asks(at, "last").unwrap());
}

fn calls(node: &Node, method: &str, path: &str) -> u16 {
    let text = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n");
    Client::connect(node.console())
        .request(&text)
        .expect("an answer")
        .status()
}

fn ready(at: SocketAddr) -> u16 {
    Client::connect(at)
        .request("GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .expect("an answer")
        .status()
}

/// A node that stands by is upgraded, and one is told to stand by in the midst of its upgrade: the new version is in
/// service of itself, and the old one ends all the same.
#[test]
fn a_drain_and_an_upgrade_may_coincide() {
    let folder = Folder::new("meet");
    let (backend, at) = (serving(), free());
    let config = operated(&backend, at);
    let mut old = Node::start_in(&config, Some(&folder.0));
    serves(&old);
    assert_eq!(calls(&old, "POST", "/standby"), 200);
    assert_eq!(ready(at), 503);
    let mut new = Node::start_in(&config, Some(&folder.0));
    wait_until("the old one knows", || old.has_logged("shared=true"));
    old.signal("-TERM");
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    assert_eq!(ready(at), 200, "the new one was not told to stand by");
    let last = Node::start_in(&config, Some(&folder.0));
    wait_until("the socket goes over", || new.has_logged("shared=true"));
    assert_eq!(calls(&new, "POST", "/standby"), 200);
    new.signal("-TERM");
    assert_eq!(new.child.wait().unwrap().code(), Some(0));
    wait_until("the last one is alone", || {
        last.has_logged("the version before is gone")
    });
    assert_eq!(ready(at), 200);
    assert!(asks(at, "meet").unwrap());
}

/// A request that is open at the old version as its successor takes over gets its one answer from the old one.
#[test]
fn the_old_version_answers_the_requests_it_has_accepted() {
    let folder = Folder::new("open");
    let latch = Arc::new(Latch::default());
    let waits = latch.clone();
    let backend = Backend::new(move |message| match message.value("x-call-id") {
        Some("slow") => ResponsePlan::RespondAfter(waits.clone(), ok("slow")),
        _ => ResponsePlan::Respond(ok("yes")),
    });
    let at = free();
    let config = operated(&backend, at);
    let mut old = Node::start_in(&config, Some(&folder.0));
    serves(&old);
    let mut slow = Client::connect(at);
    slow.write(&post("pay", "slow", "", "x"));
    assert_eq!(backend.next_request().value("x-call-id"), Some("slow"));
    let mut half = Client::connect(at);
    let text = post("pay", "half", "", "whole");
    half.write(&text[..text.len() - 2]);
    let new = Node::start_in(&config, Some(&folder.0));
    serves(&new);
    old.signal("-TERM");
    wait_until("the old one has heard", || old.has_logged("stopping node="));
    half.write(&text[text.len() - 2..]);
    assert_eq!(
        half.read().expect("what was half read is served").status(),
        200
    );
    latch.release();
    let answer = slow.read().expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        (200, b"slow".as_slice())
    );
    assert_eq!(old.child.wait().unwrap().code(), Some(0));
    assert!(asks(at, "next").unwrap());
    assert_eq!(
        backend
            .requests
            .try_iter()
            .filter(|m| m.value("x-call-id") == Some("slow"))
            .count(),
        0,
        "sent once"
    );
}

//! A log that can't be written: the node serves and ends as ever.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::fs::OpenOptions;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

/// How long the load lasts on each side of a line that the node logs.
const HALF: Duration = Duration::from_secs(1);
/// The soonest that a node is killed after the signal to end: the longest deadline and 0.7 s.
const KILLED: Duration = Duration::from_millis(3700);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Each request to a node that logs there is answered, before and after a reload that it logs, and it ends by itself.
#[track_caller]
fn serves_logging_to(log: impl Into<Stdio>, mut once_it_serves: impl FnMut()) {
    let backends = [
        Backend::new(|_| ResponsePlan::Respond(ok("yes"))),
        Backend::new(|_| ResponsePlan::Respond(ok("yes"))),
    ];
    let targets = json!([
        target("s-0", backends[0].address, "Ready"),
        target("s-1", backends[1].address, "Ready")
    ]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["listen"] = json!(free_address().to_string());
    let mut node = Node::start_logging_to(&config, log.into());
    once_it_serves();
    let load = Load::start(node.address, "r", 5, Duration::from_millis(50), |id| {
        get(id, "")
    });
    thread::sleep(HALF);
    node.reconfigure(&config.to_string());
    thread::sleep(HALF);
    let results = load.stop();
    assert!(
        results.len() > 150,
        "{} requests are no load",
        results.len()
    );
    let lost: Vec<_> = results.iter().filter(|result| !result.is_ok()).collect();
    assert!(lost.is_empty(), "not served: {lost:?}");
    node.signal("-TERM");
    let told = Instant::now();
    let ended = loop {
        if let Some(status) = node.child.try_wait().unwrap() {
            break status;
        }
        assert!(
            told.elapsed() < KILLED,
            "the node is there when it is killed"
        );
        thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(ended.code(), Some(0));
}

#[test]
fn a_full_log_device_costs_no_request() {
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    serves_logging_to(full, || ());
}

#[test]
fn a_log_reader_that_closes_costs_no_request() {
    let (log, reader) = UnixStream::pair().unwrap();
    let mut reader = Some(reader);
    serves_logging_to(OwnedFd::from(log), || drop(reader.take()));
}

/// Nothing is read of the log, and there is no room left in it.
#[test]
fn a_log_reader_that_stalls_costs_no_request() {
    let (mut log, _reader) = UnixStream::pair().unwrap();
    log.set_nonblocking(true).unwrap();
    let full = loop {
        if let Err(error) = log.write(&[b'\n'; 4096]) {
            break error;
        }
    };
    assert_eq!(full.kind(), ErrorKind::WouldBlock);
    log.set_nonblocking(false).unwrap();
    serves_logging_to(OwnedFd::from(log), || ());
}

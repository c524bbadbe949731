//! A log that cannot be written affects neither service nor shutdown.
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

/// Duration of the load before and after a reload, which the node logs.
const LOAD_TIME_PER_HALF: Duration = Duration::from_secs(1);
/// The earliest time of SIGKILL after SIGTERM: the longest deadline plus 0.7 s.
const SHUTDOWN_TIME_LIMIT: Duration = Duration::from_millis(3700);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Checks that a node with this log serves every request before and after a reload, and exits on SIGTERM.
#[track_caller]
fn check_service_with_log(log: impl Into<Stdio>, mut after_start: impl FnMut()) {
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
    after_start();
    let load = Load::start(node.address, "r", 5, Duration::from_millis(50), |id| {
        get(id, "")
    });
    thread::sleep(LOAD_TIME_PER_HALF);
    node.reconfigure(&config.to_string());
    thread::sleep(LOAD_TIME_PER_HALF);
    let results = load.stop();
    assert!(
        results.len() > 150,
        "only {} requests were sent",
        results.len()
    );
    let lost: Vec<_> = results.iter().filter(|result| !result.is_ok()).collect();
    assert!(lost.is_empty(), "not served: {lost:?}");
    node.signal("-TERM");
    let signalled = Instant::now();
    let exit_status = loop {
        if let Some(status) = node.child.try_wait().unwrap() {
            break status;
        }
        assert!(
            signalled.elapsed() < SHUTDOWN_TIME_LIMIT,
            "the node was still running at SIGKILL"
        );
        thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(exit_status.code(), Some(0));
}

#[test]
fn a_full_log_device_does_not_affect_requests() {
    let full = OpenOptions::new().write(true).open("/dev/full").unwrap();
    check_service_with_log(full, || ());
}

#[test]
fn a_log_reader_that_closes_does_not_affect_requests() {
    let (log, reader) = UnixStream::pair().unwrap();
    let mut reader = Some(reader);
    check_service_with_log(OwnedFd::from(log), || drop(reader.take()));
}

/// The socket buffer of the log is full, and its reader does not read.
#[test]
fn a_log_reader_that_stalls_does_not_affect_requests() {
    let (mut log, _reader) = UnixStream::pair().unwrap();
    log.set_nonblocking(true).unwrap();
    let full = loop {
        if let Err(error) = log.write(&[b'\n'; 4096]) {
            break error;
        }
    };
    assert_eq!(full.kind(), ErrorKind::WouldBlock);
    log.set_nonblocking(false).unwrap();
    check_service_with_log(OwnedFd::from(log), || ());
}

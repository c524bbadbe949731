//! Backends that read large requests slowly, while the client's system already holds all of the request.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

const MEGABYTE: usize = 1_000_000;
const BUDGET: Duration = Duration::from_millis(1000);
/// How long after its deadline a client still accepts its answer.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
const READ_BYTES: usize = 16 * 1024;

/// Starts a backend that reads `bytes` bytes behind each head at this rate, then responds.
fn start_backend(bytes: usize, bytes_per_second: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || read_slowly(stream, bytes, bytes_per_second));
        }
    });
    address
}

fn read_slowly(mut stream: TcpStream, bytes: usize, bytes_per_second: usize) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    if !skip_head(&mut reader) {
        return;
    }
    let began = Instant::now();
    let mut read_bytes = 0;
    let mut buffer = [0; READ_BYTES];
    while read_bytes < bytes {
        match reader.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(read) => read_bytes += read,
        }
        let due = Duration::from_secs_f64(read_bytes as f64 / bytes_per_second as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
    let _ = stream.write_all(ok("yes").as_bytes());
}

fn start_node(backend: SocketAddr) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    (Node::start(&config(discovery.address, targets)), discovery)
}

/// The text of an upload, whose body takes as many bytes on the wire as the length that is returned.
fn upload(bytes: usize, is_chunked: bool) -> (String, usize) {
    let body = "x".repeat(bytes);
    let text = post("pay", "u1", "", &body).replace("Budget-Ms: 3000", "Budget-Ms: 1000");
    if !is_chunked {
        return (text, bytes);
    }
    let (head, _) = text.split_once("\r\n\r\n").unwrap();
    let length = format!("Content-Length: {bytes}");
    let head = head.replace(&length, "Transfer-Encoding: chunked");
    let mut chunks = String::new();
    for chunk in body.as_bytes().chunks(READ_BYTES) {
        let chunk = std::str::from_utf8(chunk).unwrap();
        chunks += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
    }
    chunks += "0\r\n\r\n";
    let length = chunks.len();
    (format!("{head}\r\n\r\n{chunks}"), length)
}

/// What a client has seen of its upload.
struct Seen {
    status: u16,
    /// From the client's last write to the response; `None` if the response came before.
    answered_after: Option<Duration>,
}

/// Sends an upload as fast as the node takes it.
fn send(bytes: usize, bytes_per_second: usize, is_chunked: bool) -> Seen {
    let (text, wire_bytes) = upload(bytes, is_chunked);
    let (node, _discovery) = start_node(start_backend(wire_bytes, bytes_per_second));
    let mut client = Client::connect(node.address);
    let mut stream = client.stream();
    let writer = thread::spawn(move || {
        stream.write_all(text.as_bytes()).ok()?;
        Some(Instant::now())
    });
    let response = client.read().expect("a response");
    let answered_at = Instant::now();
    let written_at = writer.join().unwrap();
    Seen {
        status: response.status(),
        answered_after: written_at.and_then(|at| answered_at.checked_duration_since(at)),
    }
}

/// Guards against a deadline that counts from the time at which the node reads the last byte of a request: where a
/// backend reads slowly, that is seconds after the client has sent it.
#[test]
fn the_deadline_of_an_upload_counts_from_the_last_byte_that_its_client_sends() {
    let cases = [(12, 2), (12, 4), (12, 8), (32, 4), (32, 8)];
    let checks: Vec<_> = cases
        .into_iter()
        .flat_map(|case| [(case, false), (case, true)])
        .map(|((megabytes, rate), is_chunked)| {
            thread::spawn(move || {
                let seen = send(megabytes * MEGABYTE, rate * MEGABYTE, is_chunked);
                let case = format!("{megabytes} MB at {rate} MB/s, chunked: {is_chunked}");
                let after = seen.answered_after.unwrap_or_default();
                let late = after.saturating_sub(BUDGET);
                assert!(late < ANSWER_SLACK, "{late:?} late: {case}");
            })
        })
        .collect();
    for check in checks {
        check.join().unwrap();
    }
}

/// Guards against refusing a large upload that its backend reads as fast as the deadline needs.
#[test]
fn a_large_upload_that_is_read_in_time_is_served() {
    for is_chunked in [false, true] {
        let seen = send(32 * MEGABYTE, 64 * MEGABYTE, is_chunked);
        assert_eq!(seen.status, 200, "chunked: {is_chunked}");
    }
}

//! Clients that upload at 64 kB/s, the rate of the slowest clients in service, behind a response that began early.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

const UPLOAD_BYTES_PER_SECOND: usize = 64 * 1024;
const PIECE_BYTES: usize = 8 * 1024;

/// What a backend does once it has read the head of a request.
#[derive(Clone, Copy)]
enum AfterHead {
    /// Sends the body of the request back while it arrives.
    Echoes,
    /// Sends a response of this length and reads nothing more.
    Responds(usize),
}

/// Starts a backend for uploads of `upload_bytes`.
fn start_backend(upload_bytes: usize, after_head: AfterHead) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, upload_bytes, after_head));
        }
    });
    address
}

fn serve(mut stream: TcpStream, upload_bytes: usize, after_head: AfterHead) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    if !skip_head(&mut reader) {
        return;
    }
    match after_head {
        AfterHead::Echoes => {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {upload_bytes}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = io::copy(&mut reader.take(upload_bytes as u64), &mut stream);
        }
        AfterHead::Responds(length) => {
            let _ = stream.write_all(ok(&"y".repeat(length)).as_bytes());
            // Keeps the connection open until the end of the test.
            thread::park();
        }
    }
}

fn start_node(backend: SocketAddr) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    (Node::start(&config(discovery.address, targets)), discovery)
}

/// Writes the text at the upload rate. Returns the number of bytes written before the connection failed, if it did.
fn write_slowly(stream: &mut TcpStream, text: &str) -> usize {
    let began = Instant::now();
    let mut written = 0;
    for piece in text.as_bytes().chunks(PIECE_BYTES) {
        if stream.write_all(piece).is_err() {
            return written;
        }
        written += piece.len();
        let due = Duration::from_secs_f64(written as f64 / UPLOAD_BYTES_PER_SECOND as f64);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
    written
}

/// Guards against taking a slow client for a stalled one: once the response had begun, all waits for the client
/// together had 2.3 s, whatever it had sent meanwhile, and the backend lost the rest of the upload.
#[test]
fn a_slow_upload_reaches_a_backend_that_has_begun_to_respond() {
    const UPLOAD_BYTES: usize = 8 * UPLOAD_BYTES_PER_SECOND;
    let (node, _discovery) = start_node(start_backend(UPLOAD_BYTES, AfterHead::Echoes));
    let mut client = Client::connect(node.address);
    let mut stream = client.stream();
    let text = post("pay", "echo", "", &"u".repeat(UPLOAD_BYTES));
    let writing = thread::spawn(move || write_slowly(&mut stream, &text) == text.len());
    let response = client.read().expect("a response");
    assert_eq!(
        (response.status(), response.body.len()),
        (200, UPLOAD_BYTES)
    );
    assert!(writing.join().unwrap(), "the whole upload is taken");
}

/// Guards against cutting off the response of a client that reads only after its upload: what no backend reads was
/// discarded for 30 s in all, whatever the client sent.
#[test]
fn a_client_that_uploads_slowly_for_long_gets_its_early_response() {
    const UPLOAD_BYTES: usize = 36 * UPLOAD_BYTES_PER_SECOND;
    const RESPONSE_BYTES: usize = 50_000;
    let responds = AfterHead::Responds(RESPONSE_BYTES);
    let (node, _discovery) = start_node(start_backend(UPLOAD_BYTES, responds));
    let mut client = Client::connect_with_small_buffers(node.address);
    let text = post("pay", "long", "", &"u".repeat(UPLOAD_BYTES));
    assert_eq!(write_slowly(&mut client.stream(), &text), text.len());
    let response = client.read().expect("a response");
    assert_eq!(
        (response.status(), response.body.len()),
        (200, RESPONSE_BYTES)
    );
}

//! Crowds of clients on a node with the least memory that the platform grants, 32 MB, and 1,024 descriptors.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use badgerpost_fakes::small_buffers::connect_with_small_buffers;
use serde_json::{Value, json};

const MEMORY_MB: u64 = 32;
/// Memory that a release build takes before it has clients. The build under test is larger, so that what a node takes at
/// its start counts as this.
const PROCESS_KB: u64 = 7 * 1024;
const CROWD_CLIENTS: usize = 420;
/// How long a crowd lasts.
const CROWD_TIME: Duration = Duration::from_secs(4);
const BACKEND_BYTES_PER_SECOND: usize = 256_000;
const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Only one crowd at a time, as each takes hundreds of threads.
static ONE_CROWD: Mutex<()> = Mutex::new(());

/// What one client of a crowd does on its connection.
type Conduct = fn(SocketAddr, usize) -> std::io::Result<()>;

fn detached(run: impl FnOnce() + Send + 'static) {
    let thread = thread::Builder::new().stack_size(THREAD_STACK_BYTES);
    thread.spawn(run).unwrap();
}

/// A backend that reads slowly, and responds with as many bytes as the id begins with.
fn start_slow_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    detached(move || {
        for stream in listener.incoming().flatten() {
            detached(move || while serve_request(&stream).is_some() {});
        }
    });
    address
}

fn serve_request(mut stream: &TcpStream) -> Option<()> {
    let mut reader = BufReader::with_capacity(4096, stream);
    let (mut body_bytes, mut response_bytes) = (0_usize, 0_usize);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(length) = line.strip_prefix("content-length: ") {
            body_bytes = length.parse().ok()?;
        }
        if let Some(id) = line.strip_prefix("x-call-id: ") {
            response_bytes = id.split('-').next()?.parse().ok()?;
        }
    }
    let mut buffer = [0; 4096];
    while body_bytes > 0 {
        let read = reader.read(&mut buffer).ok().filter(|read| *read > 0)?;
        body_bytes = body_bytes.saturating_sub(read);
        thread::sleep(Duration::from_secs_f64(
            read as f64 / BACKEND_BYTES_PER_SECOND as f64,
        ));
    }
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {response_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    let mut left = response_bytes;
    while left > 0 {
        let piece = left.min(buffer.len());
        stream.write_all(&buffer[..piece]).ok()?;
        left -= piece;
    }
    Some(())
}

fn request(id: &str) -> String {
    get(id, "")
}

fn upload_head(number: usize, bytes: usize) -> String {
    post("pay", &format!("2-u{number}"), "", "")
        .replace("Content-Length: 0", &format!("Content-Length: {bytes}"))
}

/// Uploads 32 MB as fast as the node takes it.
fn upload(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(upload_head(number, 32_000_000).as_bytes())?;
    for _ in 0..8000 {
        stream.write_all(&[b'x'; 4000])?;
    }
    Ok(())
}

/// Stops half way through a body of 200 kB.
fn half_request(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(upload_head(number, 200_000).as_bytes())?;
    stream.write_all(&[b'x'; 100_000])?;
    thread::sleep(CROWD_TIME);
    Ok(())
}

/// Uploads at 80 kB/s.
fn slow_upload(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(upload_head(number, 4_000_000).as_bytes())?;
    for _ in 0..500 {
        stream.write_all(&[b'x'; 8000])?;
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Sends a head of ever more short fields.
fn endless_head(address: SocketAddr, _number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /api HTTP/1.1\r\n")?;
    for _ in 0..90 {
        stream.write_all("a:\r\n".repeat(100).as_bytes())?;
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(CROWD_TIME);
    Ok(())
}

/// Reads a response of 8 MB at 64 kB/s.
fn slow_reader(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = connect_with_small_buffers(address)?;
    stream.write_all(request(&format!("8000000-r{number}")).as_bytes())?;
    loop {
        stream.read_exact(&mut [0; 6400])?;
        thread::sleep(Duration::from_millis(100));
    }
}

/// Sends 200 requests for responses of 60 kB, and reads nothing.
fn pipelined(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = connect_with_small_buffers(address)?;
    for request_number in 0..200 {
        let id = format!("60000-p{number}-{request_number}");
        stream.write_all(request(&id).as_bytes())?;
    }
    thread::sleep(CROWD_TIME);
    Ok(())
}

/// Sends a body of 60 kB, which fits into the node's buffers, in small pieces.
fn small_body(address: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(upload_head(number, 60_000).as_bytes())?;
    for _ in 0..600 {
        stream.write_all(&[b'x'; 100])?;
        thread::sleep(Duration::from_millis(4));
    }
    stream.read_exact(&mut [0; 1])
}

/// Each third of the crowd conducts itself differently.
fn mixed(address: SocketAddr, number: usize) -> std::io::Result<()> {
    match number % 3 {
        0 => half_request(address, number),
        1 => upload(address, number),
        _ => slow_reader(address, number),
    }
}

fn configuration() -> (Value, Discovery) {
    let backends: Vec<Value> = (0..4)
        .map(|n| target(&format!("s-{n}"), start_slow_backend(), "Ready"))
        .collect();
    let discovery = Discovery::new(json!(backends));
    let mut config = config(discovery.address, json!(backends));
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    config["limits"]["sockets"] = json!(1024);
    (config, discovery)
}

/// Starts the clients of a crowd; each connects again for as long as the crowd lasts.
fn start_crowd(address: SocketAddr, conduct: Conduct) -> Instant {
    let ends_at = Instant::now() + CROWD_TIME;
    for number in 0..CROWD_CLIENTS {
        detached(move || {
            while Instant::now() < ends_at {
                let _ = conduct(address, number);
                thread::sleep(Duration::from_millis(20));
            }
        });
    }
    ends_at
}

/// Plays a crowd and checks that the node stays within its memory.
#[track_caller]
fn check_memory(conduct: Conduct) {
    let _guard = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let (config, _discovery) = configuration();
    let mut node = Node::start(&config);
    node.request(&request("2-first"));
    let at_start_kb = node.status_kb("VmRSS:");
    let ends_at = start_crowd(node.address, conduct);
    thread::sleep(ends_at - Instant::now());
    assert_eq!(node.child.try_wait().unwrap(), None, "the node has ended");
    let grown_kb = node.status_kb("VmHWM:") - at_start_kb;
    let used_kb = PROCESS_KB + grown_kb;
    assert!(used_kb < MEMORY_MB * 1024, "{used_kb} kB");
}

/// Guards against the 240 kB that each upload to a slow backend took, whatever the memory limit.
#[test]
fn large_uploads_to_slow_backends_stay_within_the_memory() {
    check_memory(upload);
}

/// Guards against buffers of twice the reserved size for requests that stop half way.
#[test]
fn half_requests_stay_within_the_memory() {
    check_memory(half_request);
}

/// Guards against uploads that keep the beginning of their body although no retry is possible any more.
#[test]
fn slow_uploads_stay_within_the_memory() {
    check_memory(slow_upload);
}

/// Guards against large buffers for heads that never end.
#[test]
fn endless_heads_stay_within_the_memory() {
    check_memory(endless_head);
}

/// Guards against buffers for slow readers that do not follow the memory limit.
#[test]
fn slow_readers_stay_within_the_memory() {
    check_memory(slow_reader);
}

/// Guards against responses whose memory is returned to the budget before hyper has sent them.
#[test]
fn pipelined_requests_behind_unread_responses_stay_within_the_memory() {
    check_memory(pipelined);
}

/// Guards against small pieces that keep large read buffers allocated.
#[test]
fn bodies_in_small_pieces_stay_within_the_memory() {
    check_memory(small_body);
}

/// Guards against a sum of kinds of clients that exceeds the memory although each kind alone does not.
#[test]
fn mixed_crowds_stay_within_the_memory() {
    check_memory(mixed);
}

/// A free port for a process that is started later.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A folder that both processes of an upgrade use.
fn shared_folder() -> PathBuf {
    let name = format!("badgerpost-memory-limit-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Guards against two processes of an upgrade that each take the memory of one.
#[test]
fn both_processes_of_an_upgrade_stay_within_the_memory() {
    let _guard = ONE_CROWD.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut config, _discovery) = configuration();
    config["listen"] = json!(free_address().to_string());
    config["console"] = json!(free_address().to_string());
    let folder = shared_folder();
    let old = Node::start_in(&config, Some(&folder));
    old.request(&request("2-first"));
    let at_start_kb = old.status_kb("VmRSS:");
    start_crowd(old.address, mixed);
    thread::sleep(CROWD_TIME / 2);
    config["console"] = json!(free_address().to_string());
    let new = Node::start_in(&config, Some(&folder));
    let ends_at = start_crowd(new.address, mixed);
    let mut most_kb = 0;
    while Instant::now() < ends_at {
        let both = [&old, &new].map(|node| node.status_kb("VmRSS:"));
        let used_kb = both.iter().sum::<u64>() + 2 * PROCESS_KB;
        most_kb = most_kb.max(used_kb.saturating_sub(2 * at_start_kb));
        thread::sleep(Duration::from_millis(10));
    }
    assert!(new.has_logged("took over the listening socket"));
    assert!(most_kb < MEMORY_MB * 1024, "{most_kb} kB");
}

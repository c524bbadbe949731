//! The connection of an abandoned attempt is closed before the next attempt of its request is written.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use badgerpost_fakes::scripted::*;
use serde_json::json;

#[derive(Default)]
struct Attempts {
    /// Connections of first attempts by request id.
    open_first_attempts: HashMap<String, TcpStream>,
    /// For each later attempt, whether the previous one had ended when it arrived.
    had_previous_ended: Vec<bool>,
}

/// The beginning of a response.
const INCOMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nbegun";

/// A backend that responds to the second attempt of a request, and sends an incomplete response to the first one if
/// the request's id begins with `hang`.
fn start_backend(attempts: &Arc<Mutex<Attempts>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let attempts = Arc::clone(attempts);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let attempts = Arc::clone(&attempts);
            thread::spawn(move || serve(&stream, &attempts));
        }
    });
    address
}

fn serve(stream: &TcpStream, attempts: &Mutex<Attempts>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut reader) {
        let id = message.value("x-call-id").unwrap().to_owned();
        if id.starts_with("hang")
            && register_first_attempt(&id, stream, &mut attempts.lock().unwrap())
        {
            let mut writer = stream;
            writer.write_all(INCOMPLETE_RESPONSE.as_bytes()).unwrap();
            // Nothing more is read, so that the end of the stream stays visible to `peek`.
            return;
        }
        let mut writer = stream;
        if writer.write_all(ok("yes").as_bytes()).is_err() {
            return;
        }
    }
}

/// Whether this is the first attempt; records for a later one whether the first had ended.
fn register_first_attempt(id: &str, stream: &TcpStream, attempts: &mut Attempts) -> bool {
    let Some(first_attempt) = attempts.open_first_attempts.get(id) else {
        let kept = stream.try_clone().unwrap();
        attempts.open_first_attempts.insert(id.to_owned(), kept);
        return true;
    };
    first_attempt.set_nonblocking(true).unwrap();
    let has_ended = match first_attempt.peek(&mut [0]) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    attempts.had_previous_ended.push(has_ended);
    false
}

/// Sends requests whose first attempts hang to a node without hedged requests, and returns `had_previous_ended`.
fn run_hanging_requests(prepare: fn(&Node)) -> Vec<bool> {
    let attempts = Arc::<Mutex<Attempts>>::default();
    let backends = [(); 3].map(|()| start_backend(&attempts));
    let targets: Vec<_> = (0..)
        .zip(&backends)
        .map(|(n, address)| target(&format!("s-{n}"), *address, "Ready"))
        .collect();
    let discovery = Discovery::new(json!(targets));
    let mut config = config(discovery.address, json!(targets));
    config["settings"]["policy-limits"]["second-copies"] = json!(false);
    let node = Node::start(&config);
    prepare(&node);
    let mut clients: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&get(&format!("hang{n}"), ""));
    }
    let responses: Vec<_> = clients.iter_mut().map(Client::read).collect();
    assert!(
        responses.iter().all(Option::is_some),
        "one final response each"
    );
    std::mem::take(&mut attempts.lock().unwrap().had_previous_ended)
}

#[track_caller]
fn check_that_all_had_ended(attempts: &[bool]) {
    assert!(attempts.len() >= 10, "only {} retries", attempts.len());
    let open = attempts.iter().filter(|has_ended| !**has_ended).count();
    assert_eq!(open, 0, "open first attempts of {}", attempts.len());
}

#[test]
fn an_abandoned_attempt_ends_before_the_retry_is_written_on_a_new_connection() {
    check_that_all_had_ended(&run_hanging_requests(|_| ()));
}

/// Earlier requests leave idle connections to each backend.
#[test]
fn an_abandoned_attempt_ends_before_the_retry_is_written_on_a_kept_connection() {
    check_that_all_had_ended(&run_hanging_requests(|node| {
        let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(node.address)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(&get(&format!("served{n}"), ""));
        }
        for client in &mut clients {
            assert_eq!(client.read().expect("a response").status(), 200);
        }
    }));
}

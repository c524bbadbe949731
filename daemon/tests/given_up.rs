//! An attempt that the node gives up has ended before the next one of its request is written.
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

/// The first attempts of each request, and what the later ones found of them.
#[derive(Default)]
struct Attempts {
    hanging: HashMap<String, TcpStream>,
    /// For each later attempt, whether the one before it had ended.
    before_had_ended: Vec<bool>,
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
        if id.starts_with("hang") && first_one_hangs(&id, stream, &mut attempts.lock().unwrap()) {
            let mut writer = stream;
            writer.write_all(INCOMPLETE_RESPONSE.as_bytes()).unwrap();
            // Nothing is read any more, so that its end can be seen.
            return;
        }
        let mut writer = stream;
        if writer.write_all(ok("yes").as_bytes()).is_err() {
            return;
        }
    }
}

/// Whether this was the first attempt. Looks whether that has ended if not.
fn first_one_hangs(id: &str, stream: &TcpStream, attempts: &mut Attempts) -> bool {
    let Some(hanging) = attempts.hanging.get(id) else {
        let kept = stream.try_clone().unwrap();
        attempts.hanging.insert(id.to_owned(), kept);
        return true;
    };
    hanging.set_nonblocking(true).unwrap();
    let ended = match hanging.peek(&mut [0]) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    };
    attempts.before_had_ended.push(ended);
    false
}

/// Requests whose first attempts hang, at a node that sends no second copies.
fn attempts_of_hanging_requests(prepare: fn(&Node)) -> Vec<bool> {
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
    std::mem::take(&mut attempts.lock().unwrap().before_had_ended)
}

#[track_caller]
fn each_had_ended(attempts: &[bool]) {
    assert!(attempts.len() >= 10, "{} are few", attempts.len());
    let open = attempts.iter().filter(|ended| !**ended).count();
    assert_eq!(open, 0, "of {}", attempts.len());
}

#[test]
fn an_attempt_has_ended_before_the_next_one_is_written_on_a_new_connection() {
    each_had_ended(&attempts_of_hanging_requests(|_| ()));
}

/// Many requests have left idle connections to each backend.
#[test]
fn an_attempt_has_ended_before_the_next_one_is_written_on_a_kept_connection() {
    each_had_ended(&attempts_of_hanging_requests(|node| {
        let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(node.address)).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(&get(&format!("served{n}"), ""));
        }
        for client in &mut clients {
            assert_eq!(client.read().expect("a response").status(), 200);
        }
    }));
}

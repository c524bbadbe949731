//! A new backend process at the address of one that has gone, whose connections are still open.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use badgerpost_fakes::scripted::*;
use serde_json::{Value, json};

/// How long a backend takes for a request whose id begins with `slow`.
const SLOW_TIME: Duration = Duration::from_millis(600);
/// Longer than a connection rests before it is used again.
const REST_TIME: Duration = Duration::from_millis(100);

/// Unix time in milliseconds: another start than the first process's, and long enough ago for full traffic.
const NEW_PROCESS_START_MS: u64 = 1000;

/// A request that a process has received: the process's name and the request's id.
type Received = (&'static str, String);

/// A backend process that accepts connections until it is told to stop, and serves those that it has accepted.
struct Process {
    stop: Sender<()>,
}

impl Process {
    fn start(name: &'static str, address: SocketAddr, received: Sender<Received>) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let (stop, stopped) = channel::<()>();
        thread::spawn(move || {
            while stopped.try_recv().is_err() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let received = received.clone();
                        stream.set_nonblocking(false).unwrap();
                        thread::spawn(move || serve(name, stream, &received));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Self { stop }
    }

    /// Stops accepting connections; the address can be used again soon after.
    fn stop_accepting(&self) {
        self.stop.send(()).unwrap();
        thread::sleep(Duration::from_millis(20));
    }
}

fn serve(name: &'static str, mut stream: TcpStream, received: &Sender<Received>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = read_message(&mut reader) {
        let id = message.value("x-call-id").unwrap_or_default().to_owned();
        let is_slow = id.starts_with("slow");
        let _ = received.send((name, id));
        if is_slow {
            thread::sleep(SLOW_TIME);
        }
        if stream.write_all(ok(name).as_bytes()).is_err() {
            return;
        }
    }
}

fn listed(address: SocketAddr, started_at_ms: u64) -> Value {
    let mut entry = target("s-0", address, "Ready");
    entry["boot_ms"] = json!(started_at_ms);
    json!([entry])
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Guards against a connection to the process that has gone, which is returned to the pool after the endpoint list has
/// told of its successor, and then used for the successor's requests.
#[test]
fn a_connection_to_a_replaced_process_is_not_used_for_its_successor() {
    let address = free_address();
    let (sender, received): (Sender<Received>, Receiver<Received>) = channel();
    let old = Process::start("old", address, sender.clone());
    let discovery = Discovery::new(listed(address, 0));
    let mut config = config(discovery.address, json!([]));
    // The successor may have all of its traffic at once.
    config["settings"]["rules"]["start-capacity"] = json!(1.0);
    config["settings"]["rules"]["warm-after-ns"] = json!(1_000_000);
    let node = Node::start(&config);
    discovery.wait_for_watch_from(1);
    let served = Arc::new(Mutex::new(Vec::new()));
    let slow_client = thread::spawn({
        let (node_address, served) = (node.address, served.clone());
        move || {
            let response = Client::connect(node_address).request(&post("pay", "slow-1", "", ""));
            served.lock().unwrap().push(response.unwrap().status());
        }
    });
    assert_eq!(received.recv().unwrap(), ("old", "slow-1".to_owned()));
    old.stop_accepting();
    let _new = Process::start("new", address, sender);
    discovery.set_endpoints(listed(address, NEW_PROCESS_START_MS));
    discovery.wait_for_watch_from(2);
    slow_client.join().unwrap();
    assert_eq!(
        *served.lock().unwrap(),
        [200],
        "the request in progress ends normally"
    );
    thread::sleep(REST_TIME);
    let response = node.request(&post("pay", "next", "", ""));
    assert_eq!(
        (response.status(), response.body.as_slice()),
        (200, &b"new"[..])
    );
}

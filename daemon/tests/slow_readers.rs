//! Clients that read their responses slowly. The node notices progress only when the operating system takes more bytes,
//! which a full send buffer does in large steps.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

use std::ops::RangeInclusive;
use std::thread;
use std::time::{Duration, Instant};

use badgerpost_fakes::scripted::*;
use serde_json::json;

const KIB: usize = 1024;
/// Sizes of responses around what the operating system holds for a client with small buffers, so that of some the last
/// bytes are still in the node when the system takes no more.
const SIZES_KIB: RangeInclusive<usize> = 72..=200;
const SIZE_STEP_KIB: usize = 8;
/// How long nothing moves before a client reads on: as long as it can take a reader of 64 kB/s to free a third of a
/// send buffer of 1 MB.
const PAUSE: Duration = Duration::from_secs(6);
/// The longest time without progress of a response.
const PROGRESS_LIMIT: Duration = Duration::from_secs(30);

/// A backend whose responses are as long as the id of the request says: `ID-BYTES`.
fn backend_with_sizes() -> Backend {
    Backend::new(|request| {
        let id = request.value("x-call-id").expect("an id");
        let (_, size) = id.split_once('-').expect("a size");
        ResponsePlan::Respond(ok(&"x".repeat(size.parse().expect("a number"))))
    })
}

fn node_with_console(backend: &Backend) -> (Node, Discovery) {
    let targets = json!([target("s-0", backend.address, "Ready")]);
    let discovery = Discovery::new(targets.clone());
    let mut config = config(discovery.address, targets);
    config["console"] = json!("127.0.0.1:0");
    (Node::start(&config), discovery)
}

fn closed_by_limit(node: &Node, name: &str) -> u64 {
    let name = format!("node.connections.closed.{name}");
    let value = metric(node.console(), &name).expect("a metric");
    value.parse().unwrap()
}

/// Requests a response of each size with `read`, which returns the number of bytes that arrived, and returns the sizes
/// of the responses that were cut off, with what arrived of each.
fn cut_off_responses(
    node: &Node,
    read: impl Fn(&mut Client) -> usize + Copy + Send + 'static,
) -> Vec<(usize, usize)> {
    let readers: Vec<_> = SIZES_KIB
        .step_by(SIZE_STEP_KIB)
        .map(|kib| {
            let size = kib * KIB;
            let mut client = Client::connect_with_small_buffers(node.address);
            client.write(&get(&format!("r{kib}-{size}"), ""));
            thread::spawn(move || (size, read(&mut client)))
        })
        .collect();
    let received = readers.into_iter().map(|reader| reader.join().unwrap());
    received.filter(|(size, read)| size != read).collect()
}

fn body_length(response: Option<Message>) -> usize {
    response.map_or(0, |response| response.body.len())
}

/// Guards against cutting off the last bytes of a response: a limit of 3 s counted from the moment at which they had
/// come from the backend, whatever the client did.
#[test]
fn the_end_of_a_large_response_reaches_a_client_that_reads_slowly() {
    let backend = backend_with_sizes();
    let (node, _discovery) = node_with_console(&backend);
    let cut_off = cut_off_responses(&node, |client| {
        thread::sleep(PAUSE);
        body_length(client.read())
    });
    assert_eq!(cut_off, [], "sizes, and what arrived of them");
    assert_eq!(closed_by_limit(&node, "response_send"), 0);
}

/// Guards against the same limit for a small response, which waits in the node behind others on its connection.
#[test]
fn a_small_response_behind_unread_ones_reaches_a_client_that_reads_slowly() {
    const RESPONSES: usize = 3;
    let backend = backend_with_sizes();
    let (node, _discovery) = node_with_console(&backend);
    // Of some sizes the operating system holds two responses, but not three.
    let sizes = [28, 32, 36, 40, 44, 48].map(|kib| kib * KIB);
    let readers = sizes.map(|size| {
        let mut client = Client::connect_with_small_buffers(node.address);
        let requests = (0..RESPONSES).map(|n| get(&format!("p{n}s{size}-{size}"), ""));
        client.write(&requests.collect::<String>());
        thread::spawn(move || {
            thread::sleep(PAUSE);
            [(); RESPONSES].map(|()| client.read())
        })
    });
    let received = readers.map(|reader| reader.join().unwrap());
    for (size, responses) in sizes.into_iter().zip(&received) {
        for (n, response) in responses.iter().enumerate() {
            let response = response.as_ref();
            let response = response.unwrap_or_else(|| panic!("response {n} of {size} was lost"));
            // A request that waits behind two responses can pass its deadline, and is refused then.
            if response.status() != 503 {
                assert_eq!(response.body.len(), size, "response {n}");
            }
        }
    }
    let is_served =
        |response: &Option<Message>| response.as_ref().is_some_and(|r| r.status() == 200);
    let served = received
        .iter()
        .flatten()
        .filter(|response| is_served(response));
    assert!(served.count() > sizes.len() * 2, "too many were refused");
}

/// A client that reads nothing must not hold its connection for ever.
#[test]
fn a_client_that_reads_nothing_is_closed_after_the_limit_without_progress() {
    let backend = backend_with_sizes();
    let (node, _discovery) = node_with_console(&backend);
    let began = Instant::now();
    let mut client = Client::connect_with_small_buffers(node.address);
    let requests = (0..8).map(|n| get(&format!("n{n}-{}", 40 * KIB), ""));
    client.write(&requests.collect::<String>());
    thread::sleep(PROGRESS_LIMIT - Duration::from_secs(1));
    assert_eq!(closed_by_limit(&node, "response_send"), 0);
    wait_until("the connection is closed", || {
        closed_by_limit(&node, "response_send") == 1
    });
    assert!(began.elapsed() < PROGRESS_LIMIT + Duration::from_secs(10));
}

//! Memory that clients make the node hold.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::Duration;

use common::*;
use postgres_protocol::message::frontend;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::{Client, SimpleQueryMessage};

/// Time limit for the node's reaction to a message whose length it has received.
const REACTION_TIMEOUT: Duration = Duration::from_secs(1);

/// The value of a counter of SHOW STATS.
async fn counter(console: &Client, name: &str) -> usize {
    let rows = console.simple_query("SHOW STATS").await.expect("a table");
    let value = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) if row.get(0) == Some(name) => row.get(1)?.parse().ok(),
        _ => None,
    });
    value.unwrap_or_else(|| panic!("no counter {name}"))
}

const STARTUP: &[u8] = b"\0\0\0\x23\0\x03\0\0user\0ann\0database\0ratings\0\0";

/// Sends a start-up message, and the beginning of a message of 1,000,000 bytes.
async fn send_half_a_message(node: &Node, tag: u8, bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(node.address).await.expect("connected");
    stream.write_all(STARTUP).await.expect("written");
    let mut message = vec![tag];
    message.extend_from_slice(&1_000_000_u32.to_be_bytes());
    message.resize(message.len() + bytes, 0);
    // The node may close the connection before it has read all of this.
    let _ = stream.write_all(&message).await;
    stream
}

/// Guards against memory that clients use up before they have authenticated: the length of a message was checked once
/// the message was complete, and up to 1 MiB of each was buffered until then.
#[test]
fn a_long_message_before_the_end_of_the_authentication_is_rejected_by_its_length() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        for tag in [b'p', b'Q', b'P', b'd', b'X', 0] {
            let mut stream = send_half_a_message(&node, tag, 100).await;
            let mut response = Vec::new();
            let closed = tokio::time::timeout(REACTION_TIMEOUT, stream.read_to_end(&mut response));
            // A reset discards what the client has not read.
            let _ = closed
                .await
                .expect("the node closes the connection at once");
        }
        let honest = node.connect().await;
        honest.batch_execute("select 1").await.expect("served");
    });
}

/// Guards against the same by the sum: as many clients as may be unauthenticated at a time.
#[test]
fn clients_that_have_not_authenticated_hold_little_memory() {
    const CLIENTS: usize = 100;
    const BYTES_PER_CLIENT: usize = 8 * 1024;
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let console = node.connect_console().await.expect("the console");
        let mut crowd = Vec::new();
        let mut held = 0;
        for _ in 0..CLIENTS {
            crowd.push(send_half_a_message(&node, b'p', 200_000).await);
            held = held.max(counter(&console, "unidentified_bytes").await);
        }
        assert!(held <= CLIENTS * BYTES_PER_CLIENT, "{held} bytes");
    });
}

/// Sends a part of a `Query` of 900,000 bytes.
async fn send_part_of_a_message(client: &mut RawClient, sent_bytes: usize) {
    let mut message = vec![b'Q'];
    message.extend_from_slice(&900_000_u32.to_be_bytes());
    message.resize(sent_bytes, b' ');
    // The node may close the connection before it has read all of this.
    let _ = client.stream.write_all(&message).await;
}

/// Bytes that sessions may hold in addition to the limit on their sum.
const FREE_BYTES_PER_SESSION: usize = 16 * 1024;

/// Guards against memory that logged-in clients use up with messages that they never end: each was bounded, not their
/// sum. Other clients are served meanwhile, also with messages that need a charge.
#[test]
fn clients_that_stop_within_a_message_hold_no_more_than_the_limit() {
    const CLIENTS: usize = 40;
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let console = node.connect_console().await.expect("the console");
        let honest = node.connect().await;
        // The logins take longer on some machines than a client may stop within a message before it makes room.
        let mut crowd = Vec::new();
        for _ in 0..CLIENTS {
            crowd.push(node.connect_raw().await);
        }
        for client in &mut crowd {
            send_part_of_a_message(client, 400_000).await;
            let held = counter(&console, "client_bytes").await;
            let allowed = SESSION_MEMORY_BYTES + CLIENTS * FREE_BYTES_PER_SESSION;
            assert!(held <= allowed, "{held} bytes");
            honest.batch_execute("select 1").await.expect("served");
        }
        assert!(counter(&console, "client_memory_refusals").await > 0);
        let first_ended = crowd.last_mut().expect("a client").read_until(b'E').await;
        assert_eq!(first_ended, "E", "the client gets an error");
        // Clients that have stopped for some seconds make room.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let long = format!("select 1 /* {} */", "x".repeat(500_000));
        honest.batch_execute(&long).await.expect("served");
        drop(crowd);
    });
}

/// Guards against memory that logged-in clients use up with prepared statements.
#[test]
fn prepared_statements_count_against_the_limit() {
    const CLIENTS: usize = 20;
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let console = node.connect_console().await.expect("the console");
        let honest = node.connect().await;
        let sql = format!("select 1 /* {} */", "x".repeat(50_000));
        let mut crowd = Vec::new();
        for _ in 0..CLIENTS {
            let mut client = node.connect_raw().await;
            client
                .send(|out| {
                    for number in 0..10 {
                        frontend::parse(&format!("s{number}"), &sql, [], out).unwrap();
                    }
                    frontend::sync(out);
                })
                .await;
            client.read_until(b'Z').await;
            crowd.push(client);
            let held = counter(&console, "client_bytes").await;
            let allowed = SESSION_MEMORY_BYTES + CLIENTS * FREE_BYTES_PER_SESSION;
            assert!(held <= allowed, "{held} bytes");
            honest.batch_execute("select 1").await.expect("served");
        }
        assert!(counter(&console, "client_memory_refusals").await > 0);
        drop(crowd);
        while counter(&console, "client_bytes").await > FREE_BYTES_PER_SESSION {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

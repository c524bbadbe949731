//! Clients that read their results slowly while the node ends their sessions.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::Duration;

use badgerpost_engine::{Clock, VirtualClock, nanos};
use badgerpost_fakes::small_buffers::connect_with_small_buffers;
use common::*;
use postgres_protocol::message::frontend;

/// Numbers of result rows, of some 16 bytes each: from less to more than the operating system holds for a client with
/// small buffers, so that the last rows of some are still in the node when the system takes no more.
const ROWS: std::ops::RangeInclusive<usize> = 4_000..=14_000;
const ROWS_STEP: usize = 500;

/// The longest time in which none of a session's last bytes are taken.
const PROGRESS_LIMIT: Duration = Duration::from_secs(30);

/// Connects a client with small buffers and lets it request this many rows.
async fn request_rows(node: &Node, rows: usize) -> RawClient {
    let socket = connect_with_small_buffers(node.address).expect("a connection");
    let mut client = RawClient::log_in(node, socket).await;
    let sql = format!("select id from generate_series(1, {rows}) id");
    client.send(|out| frontend::query(&sql, out).unwrap()).await;
    client
}

/// Guards against cutting off the end of a result: the session had 1 s from its end to send its last bytes.
#[test]
fn the_last_result_reaches_a_slow_reader_although_the_node_stops() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut clients = Vec::new();
        for rows in ROWS.step_by(ROWS_STEP) {
            let socket = connect_with_small_buffers(node.address).expect("a connection");
            let mut client = RawClient::log_in(&node, socket).await;
            let sql = format!("select id from generate_series(1, {rows}) id");
            client.send(|out| frontend::query(&sql, out).unwrap()).await;
            clients.push((rows, client));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        node.stop();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut cut_off = Vec::new();
        for (rows, mut client) in clients {
            let tags = client.read_until(b'E').await;
            if tags != format!("T{}CZE", "D".repeat(rows)) {
                cut_off.push((rows, tags.len()));
            }
        }
        assert_eq!(cut_off, [], "rows, and messages that arrived");
    });
}

/// A client that reads nothing must not hold its session for ever.
#[test]
fn a_client_that_reads_nothing_loses_its_session_after_the_limit_without_progress() {
    run_test(async {
        let database = start_database();
        let virtual_clock = VirtualClock::at(0);
        let clock = Clock::from_virtual(virtual_clock.clone());
        let node = Node::start_with(&[database.address], clock.clone(), |_| {}).await;
        let console = node.connect_console().await.expect("the console");
        let _client = request_rows(&node, 9_000).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        console.batch_execute("DISCONNECT 1").await.expect("done");
        let advance = async |by: Duration| {
            virtual_clock.advance(clock.now() + nanos(by));
            // Gives the tasks woken by the clock time to run.
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        advance(PROGRESS_LIMIT - Duration::from_secs(1)).await;
        assert_eq!(node.session_count(&console).await, 1);
        advance(Duration::from_secs(2)).await;
        assert_eq!(node.session_count(&console).await, 0);
    });
}

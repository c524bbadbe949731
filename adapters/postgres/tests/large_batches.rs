//! Batches that are larger than the buffer of a session.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::{Duration, Instant};

use badgerpost_fakes::database::Database;
use bytes::BytesMut;
use common::*;
use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;
use tokio_postgres::Client;

/// Time limit within which a node ends the session of a client that has disconnected.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Encodes `Parse`, `Bind` and `Execute` of a statement with one text parameter.
fn execute(sql: &str, parameter: &str, out: &mut BytesMut) {
    const TEXT_TYPE: u32 = 25;
    frontend::parse("", sql, [TEXT_TYPE], out).unwrap();
    let value = |text: &str, value: &mut BytesMut| {
        value.extend_from_slice(text.as_bytes());
        Ok(IsNull::No)
    };
    frontend::bind("", "", [0], [parameter], value, [0], out).unwrap_or_else(|_| panic!("a bind"));
    frontend::execute("", 0, out).unwrap();
}

/// A node with one database, which has an empty table `t`, and a client.
struct Fixture {
    database: Database,
    node: Node,
    other: Client,
}

impl Fixture {
    async fn start() -> Self {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let other = node.connect().await;
        other
            .batch_execute("create table t (a text)")
            .await
            .expect("created");
        Self {
            database,
            node,
            other,
        }
    }

    /// Sends the messages and a `Sync`, and returns the number of committed rows after the answer.
    async fn rows_after(&self, write: impl FnOnce(&mut BytesMut)) -> usize {
        let mut client = self.node.connect_raw().await;
        let messages = |out: &mut BytesMut| {
            write(out);
            frontend::sync(out);
        };
        client.send(messages).await;
        let tags = client.read_until(b'Z').await;
        assert!(tags.ends_with("CZ"), "{} responses", tags.len());
        self.database.rows("t").len()
    }
}

const INSERT: &str = "insert into t values ($1)";

/// Guards against a batch that is never answered: the node read no further than 64 KiB, and the `Sync` behind it never
/// came.
#[test]
fn a_batch_above_the_buffer_limit_is_answered() {
    run_test(async {
        for parameter_bytes in [64 * 1024, 100_000, 1_000_000] {
            let fixture = Fixture::start().await;
            let parameter = "x".repeat(parameter_bytes);
            let rows = fixture.rows_after(|out| execute(INSERT, &parameter, out));
            assert_eq!(rows.await, 1, "{parameter_bytes}");
        }
    });
}

/// Guards against the same for batches of many short messages, which had a limit of their own.
#[test]
fn a_batch_of_many_statements_is_answered() {
    run_test(async {
        let fixture = Fixture::start().await;
        let rows = fixture.rows_after(|out| (0..5_000).for_each(|_| execute(INSERT, "x", out)));
        assert_eq!(rows.await, 5_000);
    });
}

/// Guards against a long batch that is not sent after the running one before it.
#[test]
fn a_large_batch_behind_a_running_statement_is_answered() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        let messages = |out: &mut BytesMut| {
            frontend::query("select pg_sleep(0.2)", out).unwrap();
            execute(INSERT, &"x".repeat(200_000), out);
            frontend::flush(out);
        };
        client.send(messages).await;
        assert_eq!(client.read_until(b'Z').await, "TDCZ");
        assert_eq!(client.read_until(b'C').await, "12C");
        client.send(frontend::sync).await;
        assert_eq!(client.read_until(b'Z').await, "Z");
        assert_eq!(fixture.database.rows("t").len(), 1);
    });
}

/// Guards against copy data that is not read, as the text of its COPY alone fills the buffer.
#[test]
fn copy_data_behind_a_long_statement_is_read() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        let sql = format!("copy t from stdin /* {} */", "x".repeat(70_000));
        client.send(|out| frontend::query(&sql, out).unwrap()).await;
        assert_eq!(client.read_until(b'G').await, "G");
        let copy_data = |out: &mut BytesMut| {
            frontend::CopyData::new(&b"one\ntwo\n"[..])
                .unwrap()
                .write(out);
            frontend::copy_done(out);
        };
        client.send(copy_data).await;
        assert_eq!(client.read_until(b'Z').await, "CZ");
        assert_eq!(fixture.database.rows("t").len(), 2);
    });
}

/// Lets a client leave after it has sent the messages, and returns how long the node then keeps its session. `running`
/// statements are executed before the client leaves.
async fn session_time_after_leaving(running: u64, write: impl FnOnce(&mut BytesMut)) -> Duration {
    let fixture = Fixture::start().await;
    let console = fixture.node.connect_console().await.expect("the console");
    let statements = fixture.database.statements() + running;
    let mut client = fixture.node.connect_raw().await;
    client.send(write).await;
    while fixture.database.statements() < statements {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // Lets the node read as much as it buffers.
    tokio::time::sleep(Duration::from_millis(100)).await;
    let sessions = fixture.node.session_count(&console).await;
    let left_at = Instant::now();
    drop(client);
    while fixture.node.session_count(&console).await == sessions {
        assert!(
            left_at.elapsed() < 8 * DISCONNECT_TIMEOUT,
            "the session does not end"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let elapsed = left_at.elapsed();
    fixture
        .other
        .batch_execute("select 1")
        .await
        .expect("served");
    assert!(
        fixture.database.rows("t").is_empty(),
        "an abandoned statement is committed"
    );
    elapsed
}

/// Guards against sessions that are kept for clients that have disconnected, as the node did not read that far.
#[test]
fn a_client_that_leaves_within_a_large_batch_is_noticed() {
    run_test(async {
        let elapsed = session_time_after_leaving(0, |out| {
            execute(INSERT, &"x".repeat(300_000), out);
            execute(INSERT, &"x".repeat(300_000), out);
        });
        assert!(elapsed.await < DISCONNECT_TIMEOUT);
    });
}

/// Guards against the same while a statement runs: the buffer is full of what the client has sent behind it.
#[test]
fn a_client_that_leaves_behind_a_running_statement_is_noticed() {
    run_test(async {
        let elapsed = session_time_after_leaving(1, |out| {
            frontend::query("select pg_sleep(3)", out).unwrap();
            execute(INSERT, &"x".repeat(300_000), out);
            frontend::sync(out);
        });
        assert!(elapsed.await < DISCONNECT_TIMEOUT);
    });
}

//! Server connections on which a client has left unfinished work. Such a connection must not serve another client.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::Duration;

use badgerpost_fakes::database::{Database, Value};
use bytes::BytesMut;
use common::*;
use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;
use tokio::io::AsyncWriteExt;
use tokio_postgres::Client;

/// Encodes `Parse`, `Bind` and `Execute` of a statement, without a `Sync`.
fn execute(sql: &str, out: &mut BytesMut) {
    frontend::parse("", sql, [], out).unwrap();
    let value = |(): (), _: &mut BytesMut| Ok(IsNull::Yes);
    frontend::bind("", "", [], Vec::<()>::new(), value, [], out)
        .unwrap_or_else(|_| panic!("a bind"));
    frontend::execute("", 0, out).unwrap();
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    Close,
    Reset,
    Terminate,
}

impl Leaving {
    const ALL: [Self; 3] = [Self::Close, Self::Reset, Self::Terminate];

    async fn leave(self, mut client: RawClient) {
        match self {
            Self::Close => {}
            Self::Reset => client.stream.set_zero_linger().expect("a socket"),
            Self::Terminate => {
                client.send(frontend::terminate).await;
                client.stream.shutdown().await.expect("shut down");
            }
        }
    }
}

/// A node with one database, which has an empty table `t`, a client, and a console.
struct Fixture {
    database: Database,
    node: Node,
    other: Client,
    console: Client,
}

impl Fixture {
    async fn start() -> Self {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let other = node.connect().await;
        other
            .batch_execute("create table t (a bigint)")
            .await
            .expect("created");
        let console = node.connect_console().await.expect("the console");
        Self {
            database,
            node,
            other,
            console,
        }
    }

    /// Lets a client leave, and waits until the node has ended its session.
    async fn leave(&self, client: RawClient, leaving: Leaving) {
        let sessions = self.node.session_count(&self.console).await;
        leaving.leave(client).await;
        while self.node.session_count(&self.console).await == sessions {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends a query, and more bytes once the database executes it.
    async fn send_during_statement(&self, client: &mut RawClient, sql: &str, bytes: &[u8]) {
        let statements = self.database.statements();
        client.send(|out| frontend::query(sql, out).unwrap()).await;
        while self.database.statements() == statements {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        client.send(|out| out.extend_from_slice(bytes)).await;
    }

    /// The committed values of the table.
    fn committed(&self) -> Vec<i64> {
        let rows = self.database.rows("t").into_iter();
        let values = rows.map(|row| match row[0] {
            Value::Int(value) => value,
            ref other => panic!("{other:?}"),
        });
        values.collect()
    }
}

/// Lets a client send this statement with a `Flush` and leave after its answer, and another client insert the value 2.
/// Returns the values that are committed then.
async fn committed_after_abandoned(sql: &str, leaving: Leaving) -> Vec<i64> {
    let fixture = Fixture::start().await;
    let mut client = fixture.node.connect_raw().await;
    let messages = |out: &mut BytesMut| {
        execute(sql, out);
        frontend::flush(out);
    };
    client.send(messages).await;
    assert_eq!(client.read_until(b'C').await, "12C", "{leaving:?}");
    fixture.leave(client, leaving).await;
    let insert = "insert into t values (2)";
    fixture.other.batch_execute(insert).await.expect("served");
    fixture.committed()
}

/// Guards against a statement that is committed by another client: its own client left before the `Sync`, so the
/// statement is in an implicit transaction that the next `Sync` or `Query` on the connection commits.
#[test]
fn a_statement_whose_client_left_before_its_sync_is_not_committed() {
    run_test(async {
        for leaving in Leaving::ALL {
            let committed = committed_after_abandoned("insert into t values (1)", leaving).await;
            assert_eq!(committed, [2], "{leaving:?}");
        }
    });
}

/// Guards against the opposite loss: the transaction block of a client that left before its `Sync` would take in the
/// next client's statement, which is then answered and not committed.
#[test]
fn a_block_whose_client_left_before_its_sync_does_not_take_in_other_statements() {
    run_test(async {
        for leaving in Leaving::ALL {
            let committed = committed_after_abandoned("begin", leaving).await;
            assert_eq!(committed, [2], "{leaving:?}");
        }
    });
}

/// The connection of a batch that was sent in two parts serves other clients once its `Sync` has been answered.
#[test]
fn a_connection_is_reused_after_the_sync_of_a_flushed_batch() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        let insert = |out: &mut BytesMut| {
            execute("insert into t values (1)", out);
            frontend::flush(out);
        };
        client.send(insert).await;
        assert_eq!(client.read_until(b'C').await, "12C");
        client.send(frontend::sync).await;
        assert_eq!(client.read_until(b'Z').await, "Z");
        fixture.leave(client, Leaving::Close).await;
        let before = fixture.database.connections();
        let insert = "insert into t values (2)";
        fixture.other.batch_execute(insert).await.expect("served");
        assert_eq!(fixture.committed(), [1, 2]);
        assert_eq!(fixture.database.connections(), before);
    });
}

const COPY_DATA_BYTES: usize = 1000;

/// A `CopyData` message. A server ignores it outside a copy, as it may cross the server's error.
fn copy_data() -> BytesMut {
    let mut out = BytesMut::new();
    frontend::CopyData::new(&[b'\n'; COPY_DATA_BYTES][..])
        .unwrap()
        .write(&mut out);
    out
}

/// Guards against a pooled connection on which half of a message was sent: the server takes what the next client sends
/// for the rest of that message.
#[test]
fn half_a_copy_message_does_not_swallow_the_statements_of_other_clients() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        let mut copy_data = copy_data();
        let rest = copy_data.split_off(COPY_DATA_BYTES / 2);
        fixture
            .send_during_statement(&mut client, "select pg_sleep(0.2)", &copy_data)
            .await;
        assert_eq!(client.read_until(b'Z').await, "TDCZ");
        let insert = "insert into t values (2)";
        fixture.other.batch_execute(insert).await.expect("served");
        let insert = |out: &mut BytesMut| {
            out.extend_from_slice(&rest);
            frontend::query("insert into t values (3)", out).unwrap();
        };
        client.send(insert).await;
        assert_eq!(client.read_until(b'Z').await, "CZ");
        assert_eq!(fixture.committed(), [2, 3]);
    });
}

/// Guards against dropping the rest of a copy message whose beginning has been sent: the server takes the client's next
/// messages for it, and the transaction waits for its deadline.
#[test]
fn the_rest_of_a_copy_message_follows_its_beginning_in_a_transaction() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        let mut copy_data = copy_data();
        let rest = copy_data.split_off(COPY_DATA_BYTES / 2);
        fixture
            .send_during_statement(&mut client, "begin; select pg_sleep(0.2)", &copy_data)
            .await;
        assert_eq!(client.read_until(b'Z').await, "CTDCZ");
        let insert = |out: &mut BytesMut| {
            out.extend_from_slice(&rest);
            frontend::query("insert into t values (3); commit", out).unwrap();
        };
        client.send(insert).await;
        assert_eq!(client.read_until(b'Z').await, "CCZ");
        assert_eq!(fixture.committed(), [3]);
    });
}

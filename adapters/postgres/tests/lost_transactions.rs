//! Transactions whose database is killed between two statements, as clients see them.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::Duration;

use badgerpost_fakes::database::Database;
use common::*;
use postgres_protocol::message::frontend;
use tokio_postgres::Client;
use tokio_postgres::error::SqlState;

/// Time limit for a response that needs no server.
const LOCAL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than the node needs to notice that a connection was closed.
const LOSS_TIME: Duration = Duration::from_millis(200);

/// Two databases with a table `t`, and a node.
struct Fixture {
    databases: [Database; 2],
    node: Node,
}

impl Fixture {
    async fn start() -> Self {
        let databases = [start_database(), start_database()];
        for database in &databases {
            execute_directly(database, "create table t (a bigint)").await;
        }
        let node = Node::start(&[&databases[0], &databases[1]], |_| {}).await;
        Self { databases, node }
    }

    /// Kills the database that has begun a transaction.
    async fn kill_database_in_transaction(&self, begun_before: [u64; 2]) {
        let begun = self.databases.each_ref().map(Database::transactions_begun);
        let used = usize::from(begun[1] > begun_before[1]);
        assert!(begun[used] > begun_before[used]);
        self.databases[used].kill();
        tokio::time::sleep(LOSS_TIME).await;
    }

    /// A client in a transaction whose database was killed after an INSERT.
    async fn client_in_lost_transaction(&self) -> Client {
        let client = self.node.connect().await;
        let begun = self.transactions_begun();
        client.batch_execute("begin").await.expect("begun");
        let insert = "insert into t values (1)";
        client.batch_execute(insert).await.expect("inserted");
        self.kill_database_in_transaction(begun).await;
        client
    }

    fn transactions_begun(&self) -> [u64; 2] {
        self.databases.each_ref().map(Database::transactions_begun)
    }

    /// Number of committed rows at both databases.
    fn committed(&self) -> usize {
        let rows = self
            .databases
            .iter()
            .map(|database| database.rows("t").len());
        rows.sum()
    }
}

/// Guards against a commit of what the client rolls back: ROLLBACK AND CHAIN was answered as done, and began no
/// transaction.
#[test]
fn what_follows_rollback_and_chain_of_a_lost_transaction_is_rolled_back() {
    run_test(async {
        for chained in ["rollback and chain", "abort transaction and chain"] {
            let fixture = Fixture::start().await;
            let client = fixture.client_in_lost_transaction().await;
            client.batch_execute(chained).await.expect(chained);
            let insert = "insert into t values (2)";
            client.batch_execute(insert).await.expect("inserted");
            client.batch_execute("rollback").await.expect("rolled back");
            assert_eq!(fixture.committed(), 0, "{chained}");
        }
    });
}

/// Guards against the same behind a COMMIT AND CHAIN that fails.
#[test]
fn what_follows_commit_and_chain_of_a_lost_transaction_is_rejected() {
    run_test(async {
        let fixture = Fixture::start().await;
        let client = fixture.client_in_lost_transaction().await;
        let lost = client.batch_execute("commit and chain").await;
        let lost = lost.expect_err("the transaction is lost");
        assert_eq!(sqlstate(&lost), Some(&SqlState::CONNECTION_FAILURE));
        let insert = "insert into t values (2)";
        let rejected = client.batch_execute(insert).await.expect_err("rejected");
        assert_eq!(
            sqlstate(&rejected),
            Some(&SqlState::IN_FAILED_SQL_TRANSACTION)
        );
        client.batch_execute("rollback").await.expect("rolled back");
        assert_eq!(fixture.committed(), 0);
    });
}

/// Encodes `Parse`, `Describe` and `Flush`.
fn prepare(out: &mut bytes::BytesMut) {
    frontend::parse("s1", "select 2", [], out).unwrap();
    frontend::describe(b'S', "s1", out).unwrap();
    frontend::flush(out);
}

/// Guards against a client that waits for ever for the answer to a `Flush`, as drivers do that prepare a statement before
/// they bind it.
#[test]
fn a_statement_that_is_prepared_in_a_lost_transaction_is_answered() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        let begun = fixture.transactions_begun();
        client
            .send(|out| frontend::query("begin", out).unwrap())
            .await;
        client.read_until(b'Z').await;
        let insert = |out: &mut bytes::BytesMut| {
            frontend::query("insert into t values (1)", out).unwrap();
        };
        client.send(insert).await;
        assert_eq!(client.read_until(b'Z').await, "CZ");
        fixture.kill_database_in_transaction(begun).await;
        client.send(prepare).await;
        let answer = tokio::time::timeout(LOCAL_RESPONSE_TIMEOUT, client.read_until(b'E'));
        assert_eq!(answer.await.expect("answered"), "E");
        client.send(frontend::sync).await;
        assert_eq!(client.read_until(b'Z').await, "Z");
        client
            .send(|out| frontend::query("rollback", out).unwrap())
            .await;
        assert_eq!(client.read_until(b'Z').await, "CZ");
    });
}

/// Guards against the same behind a BEGIN, which the node answers, where no server can be reached.
#[test]
fn a_statement_that_is_prepared_behind_a_begin_is_answered_without_a_server() {
    run_test(async {
        let fixture = Fixture::start().await;
        let mut client = fixture.node.connect_raw().await;
        fixture.databases.iter().for_each(Database::kill);
        tokio::time::sleep(LOSS_TIME).await;
        client
            .send(|out| frontend::query("begin", out).unwrap())
            .await;
        assert_eq!(client.read_until(b'Z').await, "CZ");
        client.send(prepare).await;
        assert_eq!(client.read_until(b'E').await, "E");
        client.send(frontend::sync).await;
        assert_eq!(client.read_until(b'Z').await, "Z");
    });
}

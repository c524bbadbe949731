//! What a client learns when its server dies or hangs, at each step of a transaction, and what takes effect.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_fakes::database::{Database, InjectedFault, Value};
use badgerpost_fakes::random::Random;
use common::*;
use tokio_postgres::Client;
use tokio_postgres::error::SqlState;

/// A node with one database, which has an empty table t, and a client.
struct LossFixture {
    database: Database,
    _node: Node,
    client: Client,
}

impl LossFixture {
    async fn start() -> Self {
        let database = database();
        let node = Node::start(&[&database], |_| {}).await;
        let client = node.connect().await;
        let created = client.batch_execute("create table t (a bigint)").await;
        created.expect("created");
        Self {
            database,
            _node: node,
            client,
        }
    }

    /// Inserts a row in a transaction and commits it. Returns the error of the one that fails; a session whose insert
    /// failed is in a failed transaction until that is rolled back.
    async fn failing_transaction(&self) -> tokio_postgres::Error {
        let client = &self.client;
        let Err(error) = client.batch_execute("insert into t values (1)").await else {
            return client.batch_execute("commit").await.expect_err("lost");
        };
        let again = client.batch_execute("insert into t values (2)").await;
        assert_eq!(
            again.expect_err("failed").code(),
            Some(&SqlState::IN_FAILED_SQL_TRANSACTION)
        );
        client.batch_execute("rollback").await.expect("rolled back");
        error
    }
}

/// A statement alone: it may have run, whether it has or not.
#[test]
fn a_client_learns_what_may_have_run_when_its_server_dies_in_a_statement() {
    test(async {
        let insert = "insert into t values (1)";
        for (fault, rows) in [
            (InjectedFault::CrashBeforeExecution, 0),
            (InjectedFault::CrashAfterExecution, 1),
        ] {
            let fixture = LossFixture::start().await;
            fixture.database.inject_fault(insert, fault);
            let error = fixture.client.batch_execute(insert).await;
            let error = error.expect_err("lost");
            assert_eq!(error.code().map(SqlState::code), Some("08006"), "{fault:?}");
            assert_eq!(fixture.database.rows("t").len(), rows, "{fault:?}");
        }
    });
}

/// In a transaction: it is rolled back, unless the server dies in its commit.
#[test]
fn a_client_learns_what_may_have_run_when_its_server_dies_in_a_transaction() {
    test(async {
        for (statement, fault, code, rows) in [
            ("insert", InjectedFault::CrashBeforeExecution, "08006", 0),
            ("insert", InjectedFault::CrashAfterExecution, "08006", 0),
            ("commit", InjectedFault::CrashBeforeExecution, "08007", 0),
            ("commit", InjectedFault::CrashAfterExecution, "08007", 1),
        ] {
            let fixture = LossFixture::start().await;
            let begun = fixture.client.batch_execute("begin").await;
            begun.expect("begun");
            fixture.database.inject_fault(statement, fault);
            let error = fixture.failing_transaction().await;
            let at = format!("{statement} {fault:?}");
            assert_eq!(error.code().map(SqlState::code), Some(code), "{at}");
            assert_eq!(fixture.database.rows("t").len(), rows, "{at}");
            fixture.database.restart();
            until_served(&fixture.client).await;
        }
    });
}

/// Only what its class says is safe to repeat goes out again, and then the client never knows.
#[test]
fn an_idempotent_statement_is_retried_on_another_server() {
    test(async {
        let (one, two) = (database(), database());
        let node = Node::start(&[&one, &two], |_| {}).await;
        let reads = node
            .try_connect("ann", "secret", "reads")
            .await
            .expect("a connection");
        for database in [&one, &two] {
            database.inject_fault("select 42", InjectedFault::CrashBeforeExecution);
        }
        // Whichever server comes first dies of it; so does the other at a second try, unless it is mended.
        two.inject_fault("none", InjectedFault::Hang);
        one.inject_fault("select 42", InjectedFault::CrashBeforeExecution);
        for _ in 0..20 {
            reads
                .batch_execute("select 42")
                .await
                .expect("served by the other");
            one.restart();
            if one.statements() > 0 {
                break;
            }
        }
        let rest = node.connect().await;
        one.restart();
        one.inject_fault("select 43", InjectedFault::CrashBeforeExecution);
        two.inject_fault("select 43", InjectedFault::CrashBeforeExecution);
        let error = rest
            .batch_execute("select 43")
            .await
            .expect_err("not sent again");
        assert_eq!(error.code().map(SqlState::code), Some("08006"));
    });
}

#[test]
fn a_transaction_on_a_hanging_server_times_out_at_its_deadline() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |config| {
            config.class.iter_mut().for_each(|c| c.deadline_ms = 400);
        })
        .await;
        let client = node.connect().await;
        database.inject_fault("select 1", InjectedFault::Hang);
        let error = client
            .batch_execute("select 1")
            .await
            .expect_err("timed out");
        assert_eq!(error.code().map(SqlState::code), Some("08006"));
        until_served(&client).await;
    });
}

/// Kills databases in random statements until `over` is true. Returns how often.
async fn kill_databases(databases: Rc<[Database; 2]>, over: Rc<Cell<bool>>) -> usize {
    let (mut random, mut kills) = (Random::new(11, "kills"), 0);
    while !over.get() {
        let database = &databases[random.between(0, 1) as usize];
        let statement = ["BEGIN", "insert", "COMMIT"][random.between(0, 2) as usize];
        let fault = if random.chance(0.5) {
            InjectedFault::CrashBeforeExecution
        } else {
            InjectedFault::CrashAfterExecution
        };
        database.inject_fault(statement, fault);
        tokio::time::sleep(Duration::from_millis(random.between(5, 30))).await;
        databases.iter().for_each(Database::restart);
        kills += 1;
    }
    kills
}

/// How often each row is in the databases.
fn count_effects(databases: &[Database; 2]) -> BTreeMap<i64, usize> {
    let mut counts = BTreeMap::new();
    let rows = databases
        .iter()
        .flat_map(|database| database.rows("effects"));
    for row in rows {
        let [Value::Int(id)] = row[..] else {
            panic!("{row:?}")
        };
        *counts.entry(id).or_insert(0) += 1;
    }
    counts
}

/// Databases die over and over under load. A commit that a client learned of is there once, a failure before the commit
/// never, and an unknown one at most once.
#[test]
fn effects_equal_what_clients_learned() {
    test(async {
        let databases = Rc::new([database(), database()]);
        let node = Node::start(&[&databases[0], &databases[1]], |_| {}).await;
        for database in databases.iter() {
            execute_directly(database, "create table effects (id bigint)").await;
        }
        let mut tasks = Vec::new();
        for task in 0..8_i64 {
            let mut client = node.connect().await;
            tasks.push(tokio::task::spawn_local(async move {
                let mut results = Vec::new();
                for n in 0..60 {
                    let id = task * 1000 + n;
                    results.push((id, run_one(&mut client, id).await));
                }
                results
            }));
        }
        let over = Rc::new(Cell::new(false));
        let killer = kill_databases(databases.clone(), over.clone());
        let killer = tokio::task::spawn_local(killer);
        let mut results = Vec::new();
        for task in tasks {
            results.extend(task.await.expect("a client"));
        }
        over.set(true);
        assert!(killer.await.expect("the killer") > 5);
        let effects = count_effects(&databases);
        let mut result_counts = BTreeMap::new();
        for (id, result) in results {
            let effect = effects.get(&id).copied().unwrap_or(0);
            let is_true = match result.as_str() {
                "committed" => effect == 1,
                "08007" => effect <= 1,
                _ => effect == 0,
            };
            assert!(is_true, "{id}: {result}, and it is there {effect} times");
            *result_counts.entry(result).or_insert(0) += 1;
        }
        let committed = result_counts.get("committed");
        assert!(
            committed.is_some_and(|count| *count > 100),
            "{result_counts:?}"
        );
        assert!(result_counts.len() >= 3, "{result_counts:?}");
    });
}

/// Runs a transaction. Returns what the client learned: "committed", or the code of the error.
async fn run_one(client: &mut Client, id: i64) -> String {
    let code_of =
        |error: tokio_postgres::Error| error.code().map_or("closed", SqlState::code).to_owned();
    let transaction = match client.transaction().await {
        Ok(transaction) => transaction,
        Err(error) => {
            // All servers are away for a moment, or ejected: a later transaction may find one.
            tokio::time::sleep(Duration::from_millis(5)).await;
            return code_of(error);
        }
    };
    let inserted = transaction
        .execute("insert into effects values ($1)", &[&id])
        .await;
    if let Err(error) = inserted {
        let rolled_back = transaction.rollback().await;
        rolled_back.expect("a failed transaction can be rolled back");
        return code_of(error);
    }
    match transaction.commit().await {
        Ok(()) => "committed".to_owned(),
        Err(error) => code_of(error),
    }
}

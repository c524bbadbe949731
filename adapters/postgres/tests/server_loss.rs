//! Errors that a client receives when a server crashes or hangs at each step of a transaction, compared with the
//! effects in the database.
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

/// A node with one client and one database, which has an empty table `t`.
struct ServerLossFixture {
    database: Database,
    _node: Node,
    client: Client,
}

impl ServerLossFixture {
    async fn start() -> Self {
        let database = start_database();
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

    /// Inserts a row and commits the transaction. Returns the error of the statement that fails. If the insert fails,
    /// checks that the transaction is in the failed state until it is rolled back.
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

/// The node cannot know whether the statement ran, so both cases are reported with the same SQLSTATE.
#[test]
fn a_server_crash_in_a_single_statement_is_reported_as_connection_failure() {
    run_test(async {
        let insert = "insert into t values (1)";
        for (fault, rows) in [
            (InjectedFault::CrashBeforeExecution, 0),
            (InjectedFault::CrashAfterExecution, 1),
        ] {
            let fixture = ServerLossFixture::start().await;
            fixture.database.inject_fault(insert, fault);
            let error = fixture.client.batch_execute(insert).await;
            let error = error.expect_err("lost");
            assert_eq!(error.code().map(SqlState::code), Some("08006"), "{fault:?}");
            assert_eq!(fixture.database.rows("t").len(), rows, "{fault:?}");
        }
    });
}

/// The transaction is rolled back unless the server crashes during COMMIT, whose outcome is unknown.
#[test]
fn a_server_crash_in_a_transaction_is_reported_by_whether_it_may_be_committed() {
    run_test(async {
        for (statement, fault, code, rows) in [
            ("insert", InjectedFault::CrashBeforeExecution, "08006", 0),
            ("insert", InjectedFault::CrashAfterExecution, "08006", 0),
            ("commit", InjectedFault::CrashBeforeExecution, "08007", 0),
            ("commit", InjectedFault::CrashAfterExecution, "08007", 1),
        ] {
            let fixture = ServerLossFixture::start().await;
            let begun = fixture.client.batch_execute("begin").await;
            begun.expect("begun");
            fixture.database.inject_fault(statement, fault);
            let error = fixture.failing_transaction().await;
            let at = format!("{statement} {fault:?}");
            assert_eq!(error.code().map(SqlState::code), Some(code), "{at}");
            assert_eq!(fixture.database.rows("t").len(), rows, "{at}");
            fixture.database.restart();
            wait_until_served(&fixture.client).await;
        }
    });
}

/// Statements of a class with idempotent statements are retried; statements of other classes fail.
#[test]
fn an_idempotent_statement_is_retried_on_another_server() {
    run_test(async {
        let (one, two) = (start_database(), start_database());
        let node = Node::start(&[&one, &two], |_| {}).await;
        let reads = node
            .try_connect("ann", "secret", "reads")
            .await
            .expect("a connection");
        for database in [&one, &two] {
            database.inject_fault("select 42", InjectedFault::CrashBeforeExecution);
        }
        // Replaces the fault of the second server, so that the retry succeeds there.
        two.inject_fault("none", InjectedFault::Hang);
        one.inject_fault("select 42", InjectedFault::CrashBeforeExecution);
        for _ in 0..20 {
            reads
                .batch_execute("select 42")
                .await
                .expect("served by the other server");
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
            .expect_err("not retried");
        assert_eq!(error.code().map(SqlState::code), Some("08006"));
    });
}

#[test]
fn a_transaction_on_a_hanging_server_times_out_at_its_deadline() {
    run_test(async {
        let database = start_database();
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
        wait_until_served(&client).await;
    });
}

/// Crashes random databases in random statements until `is_over` is true. Returns the number of injected crashes.
async fn crash_databases(databases: Rc<[Database; 2]>, is_over: Rc<Cell<bool>>) -> usize {
    let (mut random, mut crashes) = (Random::new(11, "kills"), 0);
    while !is_over.get() {
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
        crashes += 1;
    }
    crashes
}

/// The number of occurrences of each row in the databases.
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

/// Databases crash repeatedly under load. A row whose commit was confirmed exists once, a row whose transaction failed
/// before the commit does not exist, and a row whose commit is unknown exists at most once.
#[test]
fn effects_match_the_results_reported_to_clients() {
    run_test(async {
        let databases = Rc::new([start_database(), start_database()]);
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
                    results.push((id, run_transaction(&mut client, id).await));
                }
                results
            }));
        }
        let is_over = Rc::new(Cell::new(false));
        let crashes = crash_databases(databases.clone(), is_over.clone());
        let crashes = tokio::task::spawn_local(crashes);
        let mut results = Vec::new();
        for task in tasks {
            results.extend(task.await.expect("the task does not panic"));
        }
        is_over.set(true);
        assert!(crashes.await.expect("the task does not panic") > 5);
        let effects = count_effects(&databases);
        let mut result_counts = BTreeMap::new();
        for (id, result) in results {
            let effect = effects.get(&id).copied().unwrap_or(0);
            let matches_result = match result.as_str() {
                "committed" => effect == 1,
                "08007" => effect <= 1,
                _ => effect == 0,
            };
            assert!(
                matches_result,
                "row {id}: reported as {result}, found {effect} times"
            );
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

/// Runs a transaction that inserts a row. Returns "committed", the SQLSTATE of the error, or "closed".
async fn run_transaction(client: &mut Client, id: i64) -> String {
    let code_of =
        |error: tokio_postgres::Error| error.code().map_or("closed", SqlState::code).to_owned();
    let transaction = match client.transaction().await {
        Ok(transaction) => transaction,
        Err(error) => {
            // No server is available at the moment.
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

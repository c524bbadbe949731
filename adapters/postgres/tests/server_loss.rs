//! What a client learns when its server dies or hangs, at each step of a transaction, and what takes effect.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::rc::Rc;
use std::time::Duration;

use badgerpost_fakes::database::{Database, InjectedFault, Value};
use badgerpost_fakes::random::Random;
use common::*;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls};

/// A server that dies, by where it dies.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn a_client_learns_what_may_have_run_when_its_server_dies() {
    test(async {
        for (at, bad, code, rows) in [
            // A statement alone: it may have run, whether it has or not.
            (
                "insert into t values (1)",
                InjectedFault::CrashBeforeExecution,
                "08006",
                0,
            ),
            (
                "insert into t values (1)",
                InjectedFault::CrashAfterExecution,
                "08006",
                1,
            ),
        ] {
            let database = database();
            let node = Node::start(&[&database], |_| {}).await;
            let client = node.connect().await;
            client
                .batch_execute("create table t (a bigint)")
                .await
                .expect("created");
            database.inject_fault(at, bad);
            let error = client
                .batch_execute("insert into t values (1)")
                .await
                .expect_err("lost");
            assert_eq!(error.code().map(SqlState::code), Some(code), "{at} {bad:?}");
            assert_eq!(database.rows("t").len(), rows, "{at} {bad:?}");
        }
        for (at, bad, code, rows) in [
            ("insert", InjectedFault::CrashBeforeExecution, "08006", 0),
            ("insert", InjectedFault::CrashAfterExecution, "08006", 0),
            ("commit", InjectedFault::CrashBeforeExecution, "08007", 0),
            ("commit", InjectedFault::CrashAfterExecution, "08007", 1),
        ] {
            let database = database();
            let node = Node::start(&[&database], |_| {}).await;
            let client = node.connect().await;
            client
                .batch_execute("create table t (a bigint)")
                .await
                .expect("created");
            client.batch_execute("begin").await.expect("begun");
            database.inject_fault(at, bad);
            let inserted = client.batch_execute("insert into t values (1)").await;
            let error = match inserted {
                Err(error) => {
                    // The session stays, in a transaction that has failed until its end.
                    let again = client
                        .batch_execute("insert into t values (2)")
                        .await
                        .expect_err("failed");
                    assert_eq!(
                        again.code(),
                        Some(&SqlState::IN_FAILED_SQL_TRANSACTION),
                        "{at} {bad:?}"
                    );
                    client.batch_execute("rollback").await.expect("rolled back");
                    error
                }
                Ok(()) => client.batch_execute("commit").await.expect_err("lost"),
            };
            assert_eq!(error.code().map(SqlState::code), Some(code), "{at} {bad:?}");
            assert_eq!(database.rows("t").len(), rows, "{at} {bad:?}");
            database.revive();
            until_served(&client).await;
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
            one.revive();
            if one.statements() > 0 {
                break;
            }
        }
        let rest = node.connect().await;
        one.revive();
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
            .expect_err("given up");
        assert_eq!(error.code().map(SqlState::code), Some("08006"));
        until_served(&client).await;
    });
}

/// Databases die over and over under load. A commit that was told is there once, a failure that was told before
/// the end never, and an unknown one at most once.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn effects_equal_what_clients_learned() {
    test(async {
        let databases = [database(), database()];
        let node = Node::start(&[&databases[0], &databases[1]], |_| {}).await;
        for database in &databases {
            let direct = format!("host=127.0.0.1 port={} user=x dbname=x", database.at.port());
            let (direct, connection) = tokio_postgres::connect(&direct, NoTls)
                .await
                .expect("the stand-in");
            tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            direct
                .batch_execute("create table effects (id bigint)")
                .await
                .expect("created");
        }
        let databases = Rc::new(databases);
        let (mut told, mut tasks) = (Vec::new(), Vec::new());
        for task in 0..8_i64 {
            let mut client = node.connect().await;
            tasks.push(tokio::task::spawn_local(async move {
                let mut told = Vec::new();
                for n in 0..60 {
                    let id = task * 1000 + n;
                    told.push((id, run_one(&mut client, id).await));
                }
                told
            }));
        }
        let over = Rc::new(std::cell::Cell::new(false));
        let killer = {
            let (databases, over) = (databases.clone(), over.clone());
            tokio::task::spawn_local(async move {
                let (mut random, mut kills) = (Random::new(11, "kills"), 0);
                while !over.get() {
                    let database = &databases[random.between(0, 1) as usize];
                    let text = ["BEGIN", "insert", "COMMIT"][random.between(0, 2) as usize];
                    let bad = if random.chance(0.5) {
                        InjectedFault::CrashBeforeExecution
                    } else {
                        InjectedFault::CrashAfterExecution
                    };
                    database.inject_fault(text, bad);
                    tokio::time::sleep(Duration::from_millis(random.between(5, 30))).await;
                    databases.iter().for_each(Database::revive);
                    kills += 1;
                }
                kills
            })
        };
        for task in tasks {
            told.extend(task.await.expect("a client"));
        }
        over.set(true);
        assert!(killer.await.expect("the killer") > 5);
        let mut seen = std::collections::BTreeMap::new();
        for row in databases
            .iter()
            .flat_map(|database| database.rows("effects"))
        {
            let [Value::Int(id)] = row[..] else {
                panic!("{row:?}")
            };
            *seen.entry(id).or_insert(0) += 1;
        }
        let mut counts = std::collections::BTreeMap::new();
        for (id, told) in told {
            let there = seen.get(&id).copied().unwrap_or(0);
            let good = match told.as_str() {
                "committed" => there == 1,
                "08007" => there <= 1,
                _ => there == 0,
            };
            assert!(good, "{id} was told {told} and is there {there} times");
            *counts.entry(told).or_insert(0) += 1;
        }
        assert!(
            counts.get("committed").is_some_and(|count| *count > 100),
            "{counts:?}"
        );
        assert!(counts.len() >= 3, "{counts:?}");
    });
}

/// One transaction, and what its client was told of it.
async fn run_one(client: &mut Client, id: i64) -> String {
    let worded =
        |error: tokio_postgres::Error| error.code().map_or("closed", SqlState::code).to_owned();
    let transaction = match client.transaction().await {
        Ok(transaction) => transaction,
        Err(error) => {
            // Away for a moment, or ejected: the next one may find room.
            tokio::time::sleep(Duration::from_millis(5)).await;
            return worded(error);
        }
    };
    if let Err(error) = transaction
        .execute("insert into effects values ($1)", &[&id])
        .await
    {
        let told = worded(error);
        transaction
            .rollback()
            .await
            .expect("a failed transaction can be rolled back");
        return told;
    }
    match transaction.commit().await {
        Ok(()) => "committed".to_owned(),
        Err(error) => worded(error),
    }
}

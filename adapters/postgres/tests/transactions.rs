//! Transactions of a real driver on fake databases: transaction pooling, queueing for connections, rejection and drain.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::{Duration, Instant};

use badgerpost_balancer::EndpointUpdate;
use common::*;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::error::SqlState;

/// Covers simple queries, and prepared statements that are executed in transactions on several servers.
#[test]
fn a_driver_works_with_transaction_pooling() {
    run_test(async {
        let (one, two) = (start_database(), start_database());
        let node = Node::start(&[&one, &two], |_| {}).await;
        let mut client = node.connect().await;
        for database in [&one, &two] {
            // The node does not replicate tables, so each fake database gets its own.
            execute_directly(database, "create table scores (id bigint, name text)").await;
        }
        let insert = client
            .prepare("insert into scores values ($1, $2)")
            .await
            .expect("prepared");
        for id in 0..20_i64 {
            client
                .execute(&insert, &[&id, &"x"])
                .await
                .expect("inserted");
        }
        let transaction = client.transaction().await.expect("begun");
        transaction
            .execute(&insert, &[&100_i64, &"y"])
            .await
            .expect("inserted");
        let row = transaction
            .query_one("select name from scores where id = $1", &[&100_i64])
            .await
            .expect("a row");
        assert_eq!(row.get::<_, &str>(0), "y");
        transaction.rollback().await.expect("rolled back");
        let transaction = client.transaction().await.expect("begun");
        transaction
            .execute(&insert, &[&101_i64, &"z"])
            .await
            .expect("inserted");
        transaction.commit().await.expect("committed");
        let rows = one.rows("scores").len() + two.rows("scores").len();
        assert_eq!(rows, 21);
        let messages = client.simple_query("select 7").await.expect("served");
        assert!(
            messages
                .iter()
                .any(|m| matches!(m, SimpleQueryMessage::Row(row) if row.get(0) == Some("7")))
        );
        // A server's error is forwarded to the client, and the session continues.
        let error = client
            .simple_query("select nothing from nowhere")
            .await
            .expect_err("no such table");
        assert_eq!(sqlstate(&error), Some(&SqlState::UNDEFINED_TABLE));
        client.simple_query("select 1").await.expect("served");
    });
}

#[test]
fn server_connections_are_shared_by_clients() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut clients = Vec::new();
        for _ in 0..30 {
            clients.push(node.connect().await);
        }
        for client in &clients {
            client.simple_query("select 1").await.expect("served");
        }
        assert!(database.connections() <= 3, "{}", database.connections());
    });
}

#[test]
fn settings_and_open_transactions_do_not_leak_into_other_sessions() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let (first, second) = (node.connect().await, node.connect().await);
        first
            .batch_execute("set search_path = mine")
            .await
            .expect("set");
        second.simple_query("select 1").await.expect("served");
        assert_eq!(
            database.connections(),
            2,
            "a session with a setting keeps its connection"
        );
        // The server connection of a client that disconnects in a transaction is closed, not reused.
        second
            .batch_execute("create table t (a bigint)")
            .await
            .expect("created");
        second
            .batch_execute("begin; insert into t values (1)")
            .await
            .expect("begun");
        drop(second);
        let third = node.connect().await;
        third
            .simple_query("select count(*) from t")
            .await
            .expect("served");
        assert!(database.rows("t").is_empty());
    });
}

/// Transactions wait for a connection if they can be served before the deadline; others are rejected without waiting
/// for the deadline.
#[test]
fn transactions_wait_for_a_connection_or_are_rejected_early() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |config| config.max_connections_per_server = 2).await;
        let mut tasks = Vec::new();
        for _ in 0..20 {
            let client = node.connect().await;
            tasks.push(tokio::task::spawn_local(async move {
                let began = Instant::now();
                (
                    client.batch_execute("select pg_sleep(0.02)").await,
                    began.elapsed(),
                )
            }));
        }
        for task in tasks {
            let (served, _) = task.await.expect("the task does not panic");
            served.expect("served, after a wait");
        }
        assert!(database.open_connections() <= 2);
        // At 300 ms on two connections, about 33 transactions can be served within the deadline of 5 s.
        let mut tasks = Vec::new();
        for _ in 0..70 {
            let client = node.connect().await;
            tasks.push(tokio::task::spawn_local(async move {
                let began = Instant::now();
                (
                    client.batch_execute("select pg_sleep(0.3)").await,
                    began.elapsed(),
                )
            }));
        }
        let (mut served, mut rejected) = (0, 0);
        for task in tasks {
            match task.await.expect("the task does not panic") {
                (Ok(()), _) => served += 1,
                (Err(error), took) => {
                    assert_eq!(sqlstate(&error).map(SqlState::code), Some("53300"));
                    assert!(
                        took < Duration::from_millis(4900),
                        "rejected after {took:?}"
                    );
                    rejected += 1;
                }
            }
        }
        assert!(
            served >= 10 && rejected >= 10,
            "{served} served, {rejected} rejected"
        );
    });
}

#[test]
fn a_draining_server_completes_its_transactions_and_gets_no_new_ones() {
    run_test(async {
        let (one, two) = (start_database(), start_database());
        let node = Node::start(&[&one, &two], |_| {}).await;
        let mut clients = Vec::new();
        for _ in 0..10 {
            let client = node.connect().await;
            // BEGIN alone does not acquire a server connection.
            client.batch_execute("begin").await.expect("begun");
            client.batch_execute("select 1").await.expect("served");
            clients.push(client);
        }
        let mut list = node.config.endpoints();
        list[0].state = badgerpost_balancer::EndpointState::Draining;
        node.engine
            .endpoints_updated(EndpointUpdate::Snapshot, &list);
        let before = one.statements();
        for client in &clients {
            client.batch_execute("commit").await.expect("committed");
        }
        let ended = one.statements() - before;
        for client in &clients {
            client.batch_execute("select 1").await.expect("served");
        }
        assert!(
            (1..10).contains(&ended),
            "{ended} of ten transactions ended on the draining server"
        );
        assert_eq!(
            one.statements() - before,
            ended,
            "no new transactions on the draining server"
        );
    });
}

//! Sessions of a real driver: settings that follow the client, the greeting, cancel requests, the console.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tokio_postgres::NoTls;
use tokio_postgres::error::SqlState;

/// Each client has settings of its own, some of them changed on the way, and there are far fewer connections than
/// clients. `CLIENTS=1000` for the long one.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn settings_of_a_client_do_not_leak_to_others() {
    test(async {
        let count: usize = std::env::var("CLIENTS")
            .ok()
            .and_then(|count| count.parse().ok())
            .unwrap_or(60);
        let database = database();
        let node = Node::start(&[&database], |config| {
            (config.max_clients, config.max_connections_per_server) = (count + 10, 10);
            config.class.iter_mut().for_each(|class| {
                (class.latency_objective_ms, class.deadline_ms) = (20_000, 30_000);
            });
        })
        .await;
        let mut tasks = Vec::new();
        for n in 0..count {
            let mut config = node.driver("ann", "secret", &format!("app{n}"));
            let zone = ["UTC", "CET", "PST8PDT"][n % 3];
            // A third of them sets nothing at all.
            let path = if n % 3 == 0 {
                "\"$user\", public".to_owned()
            } else {
                format!("tenant{n}")
            };
            if n % 3 != 0 {
                config.options(format!(
                    "-c search_path={path} -c TimeZone={zone} -c statement_timeout={}",
                    5000 + n
                ));
            }
            let client = open(&config).await.expect("a connection");
            tasks.push(tokio::task::spawn_local(async move {
                let mut zone = zone.to_owned();
                for round in 0..4 {
                    assert_eq!(
                        one(&client, "SHOW search_path").await,
                        path,
                        "client {n}, round {round}"
                    );
                    assert_eq!(
                        one(&client, "SHOW application_name").await,
                        format!("app{n}")
                    );
                    assert_eq!(
                        one(&client, "SHOW TimeZone").await,
                        zone,
                        "client {n}, round {round}"
                    );
                    let timeout = if n % 3 == 0 {
                        "0".to_owned()
                    } else {
                        (5000 + n).to_string()
                    };
                    assert_eq!(one(&client, "SHOW statement_timeout").await, timeout);
                    if round == 1 {
                        zone = "Europe/Budapest".to_owned();
                        client
                            .batch_execute("SET TimeZone = 'Europe/Budapest'")
                            .await
                            .expect("set");
                    }
                    if round == 2 {
                        // What is rolled back was never set.
                        client
                            .batch_execute("BEGIN; SET TimeZone = 'Asia/Tokyo'; ROLLBACK")
                            .await
                            .expect("back");
                    }
                }
            }));
        }
        for task in tasks {
            task.await.expect("each client sees its own");
        }
        assert!(database.open() <= 10, "{} connections", database.open());
    });
}

#[test]
fn settings_that_a_server_rejects_fail_with_its_own_error() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut config = node.driver("ann", "secret", "x");
        let client = open(config.options("-c statement_timeout=soon"))
            .await
            .expect("a connection");
        let error = client
            .batch_execute("select 1")
            .await
            .expect_err("turned down");
        let error = error.as_db_error().expect("by a server").clone();
        assert_eq!(
            (error.code(), error.severity()),
            (&SqlState::INVALID_PARAMETER_VALUE, "FATAL")
        );
        // What is no setting at all is turned down at once, by name.
        let mut config = node.driver("ann", "secret", "x");
        let error = open(config.options("--nothing"))
            .await
            .expect_err("turned down");
        assert_eq!(code(&error), Some(&SqlState::FEATURE_NOT_SUPPORTED));
        assert!(
            error
                .as_db_error()
                .and_then(|error| error.detail())
                .is_some_and(|why| why.contains("--nothing"))
        );
    });
}

/// Clients choose their queries by what they are told of the servers.
#[test]
fn the_greeting_reports_the_lowest_version_of_the_servers() {
    test(async {
        let (old, new) = (database(), database());
        old.set_version("14.11");
        let node = Node::start(&[&new, &old], |_| {}).await;
        // Both servers have been met after a few transactions; the lower one counts from then on.
        for _ in 0..20 {
            let client = node.connect().await;
            client.batch_execute("select 1").await.expect("served");
        }
        let mut config = node.driver("ann", "secret", "x");
        let (_client, connection) = config
            .connect(tokio_postgres::NoTls)
            .await
            .expect("a connection");
        assert_eq!(connection.parameter("server_version"), Some("14.11"));
        assert_eq!(connection.parameter("application_name"), Some("x"));
        let _ = config.application_name("y");
    });
}

/// A cancel reaches the statement that it is about, through a key of the node's own.
#[test]
fn a_cancel_request_reaches_the_running_statement() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |_| {}).await;
        let client = node.connect().await;
        let token = client.cancel_token();
        token.cancel_query(NoTls).await.expect("asked");
        assert_eq!(database.cancels(), 0, "nothing ran");
        let slow = client.batch_execute("select pg_sleep(30)");
        let cancel = async {
            while database.statements() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            token.cancel_query(NoTls).await.expect("asked");
            while database.cancels() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let (slow, ()) = tokio::join!(slow, cancel);
        assert_eq!(
            code(&slow.expect_err("cancelled")),
            Some(&SqlState::QUERY_CANCELED)
        );
        client
            .batch_execute("select 1")
            .await
            .expect("the session goes on");
    });
}

#[test]
fn the_console_shows_tables_and_pauses_transactions() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |_| {}).await;
        let client = node.connect().await;
        client.batch_execute("select 1").await.expect("served");
        let mut config = node.driver("ann", "secret", "ops");
        let console = open(config.dbname("badgerpost"))
            .await
            .expect("the console");
        assert_eq!(one(&console, "SHOW POOLS").await, "db0");
        assert_eq!(one(&console, "SHOW CLIENTS").await, "1");
        assert_eq!(
            one(&console, "SHOW SERVERS; SHOW STATS; SHOW CONFIG").await,
            "db0"
        );
        console.batch_execute("PAUSE").await.expect("paused");
        // Its connections are closed, for a restart; the database hears of it a moment later.
        while database.open() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let waits = client.batch_execute("select 2");
        let resumes = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            console.batch_execute("RESUME").await.expect("resumed");
        };
        let began = Instant::now();
        let (waited, ()) = tokio::join!(waits, resumes);
        waited.expect("it waited, and was served");
        assert!(began.elapsed() >= Duration::from_millis(100));
        console.batch_execute("RECONNECT").await.expect("done");
        console.batch_execute("DISCONNECT 1").await.expect("done");
        assert!(console.batch_execute("DISCONNECT 77").await.is_err());
        assert!(console.batch_execute("SHOW nothing").await.is_err());
        while !client.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Others are not let in; to them it is a database like any other.
        let mut config = node.driver("eve", "secret", "x");
        let eve = open(config.dbname("badgerpost")).await.expect("a session");
        assert!(eve.batch_execute("SHOW POOLS").await.is_err());
    });
}

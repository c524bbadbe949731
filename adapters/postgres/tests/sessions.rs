//! Sessions of a real driver: settings, reported parameters, cancel requests, the console.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::time::{Duration, Instant};

use common::*;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls};

/// A client with its own settings; every third client sets none.
struct ClientWithSettings {
    number: usize,
    client: Client,
    search_path: String,
    time_zone: &'static str,
    statement_timeout: String,
}

impl ClientWithSettings {
    async fn connect(node: &Node, number: usize) -> Self {
        let mut config = node.driver_config("ann", "secret", &format!("app{number}"));
        let time_zone = ["UTC", "CET", "PST8PDT"][number % 3];
        let (mut search_path, mut statement_timeout) =
            ("\"$user\", public".to_owned(), "0".to_owned());
        if !number.is_multiple_of(3) {
            search_path = format!("tenant{number}");
            statement_timeout = (5000 + number).to_string();
            config.options(format!(
                "-c search_path={search_path} -c TimeZone={time_zone} -c statement_timeout={statement_timeout}"
            ));
        }
        Self {
            number,
            client: connect_with(&config).await.expect("a connection"),
            search_path,
            time_zone,
            statement_timeout,
        }
    }

    async fn assert_settings(&self, round: usize) {
        let at = format!("client {}, round {round}", self.number);
        for (setting, expected) in [
            ("search_path", self.search_path.as_str()),
            ("application_name", &format!("app{}", self.number)),
            ("TimeZone", self.time_zone),
            ("statement_timeout", &self.statement_timeout),
        ] {
            let value = query_value(&self.client, &format!("SHOW {setting}")).await;
            assert_eq!(value, expected, "{at}");
        }
    }

    /// Changes a setting in the second round, and again in the third round in a transaction that is rolled back.
    async fn change_settings(&mut self, round: usize) {
        let (sql, time_zone) = match round {
            1 => ("SET TimeZone = 'Europe/Budapest'", "Europe/Budapest"),
            2 => (
                "BEGIN; SET TimeZone = 'Asia/Tokyo'; ROLLBACK",
                self.time_zone,
            ),
            _ => return,
        };
        self.client.batch_execute(sql).await.expect("set");
        self.time_zone = time_zone;
    }
}

/// Clients with different settings share far fewer connections. The environment variable `CLIENTS` sets the number of
/// clients.
#[test]
fn settings_of_a_client_do_not_leak_to_others() {
    run_test(async {
        let clients: usize = std::env::var("CLIENTS")
            .ok()
            .and_then(|clients| clients.parse().ok())
            .unwrap_or(60);
        let database = start_database();
        let node = Node::start(&[&database], |config| {
            config.max_clients = clients + 10;
            config.max_connections_per_server = 10;
            for class in &mut config.class {
                class.latency_objective_ms = 20_000;
                class.deadline_ms = 30_000;
            }
        })
        .await;
        let mut tasks = Vec::new();
        for number in 0..clients {
            let mut client = ClientWithSettings::connect(&node, number).await;
            tasks.push(tokio::task::spawn_local(async move {
                for round in 0..4 {
                    client.assert_settings(round).await;
                    client.change_settings(round).await;
                }
            }));
        }
        for task in tasks {
            task.await.expect("each client sees its own settings");
        }
        assert!(
            database.open_connections() <= 10,
            "{} connections",
            database.open_connections()
        );
    });
}

#[test]
fn a_setting_that_a_server_rejects_fails_with_the_error_of_the_server() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut config = node.driver_config("ann", "secret", "x");
        let client = connect_with(config.options("-c statement_timeout=soon"))
            .await
            .expect("a connection");
        let error = client
            .batch_execute("select 1")
            .await
            .expect_err("rejected");
        let error = error.as_db_error().expect("an error response").clone();
        assert_eq!(
            (error.code(), error.severity()),
            (&SqlState::INVALID_PARAMETER_VALUE, "FATAL")
        );
        // The node rejects an argument that is not a setting, with the argument in the detail.
        let mut config = node.driver_config("ann", "secret", "x");
        let error = connect_with(config.options("--nothing"))
            .await
            .expect_err("rejected");
        assert_eq!(sqlstate(&error), Some(&SqlState::FEATURE_NOT_SUPPORTED));
        assert!(
            error
                .as_db_error()
                .and_then(|error| error.detail())
                .is_some_and(|why| why.contains("--nothing"))
        );
    });
}

/// Clients depend on the reported version, and a transaction may run on any server.
#[test]
fn the_greeting_reports_the_lowest_version_of_the_servers() {
    run_test(async {
        let (old, new) = (start_database(), start_database());
        old.set_version("14.11");
        let node = Node::start(&[&new, &old], |_| {}).await;
        // Enough transactions to connect to both servers; the lower version is reported afterwards.
        for _ in 0..20 {
            let client = node.connect().await;
            client.batch_execute("select 1").await.expect("served");
        }
        let mut config = node.driver_config("ann", "secret", "x");
        let (_client, connection) = config
            .connect(tokio_postgres::NoTls)
            .await
            .expect("a connection");
        assert_eq!(connection.parameter("server_version"), Some("14.11"));
        assert_eq!(connection.parameter("application_name"), Some("x"));
        let _ = config.application_name("y");
    });
}

#[test]
fn a_cancel_request_reaches_the_running_statement() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let client = node.connect().await;
        let token = client.cancel_token();
        token.cancel_query(NoTls).await.expect("sent");
        assert_eq!(database.cancels(), 0, "no statement was running");
        let slow = client.batch_execute("select pg_sleep(30)");
        let cancel = async {
            while database.statements() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            token.cancel_query(NoTls).await.expect("sent");
            while database.cancels() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let (slow, ()) = tokio::join!(slow, cancel);
        assert_eq!(
            sqlstate(&slow.expect_err("cancelled")),
            Some(&SqlState::QUERY_CANCELED)
        );
        client
            .batch_execute("select 1")
            .await
            .expect("the session continues");
    });
}

#[test]
fn the_console_shows_tables_and_pauses_transactions() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let client = node.connect().await;
        client.batch_execute("select 1").await.expect("served");
        let mut config = node.driver_config("ann", "secret", "ops");
        let console = connect_with(config.dbname("badgerpost"))
            .await
            .expect("the console");
        assert_eq!(query_value(&console, "SHOW POOLS").await, "db0");
        assert_eq!(query_value(&console, "SHOW CLIENTS").await, "1");
        assert_eq!(
            query_value(&console, "SHOW SERVERS; SHOW STATS; SHOW CONFIG").await,
            "db0"
        );
        console.batch_execute("PAUSE").await.expect("paused");
        // PAUSE closes all connections to the server; the database notices with a delay.
        while database.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let waits = client.batch_execute("select 2");
        let resumes = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            console.batch_execute("RESUME").await.expect("resumed");
        };
        let began = Instant::now();
        let (waited, ()) = tokio::join!(waits, resumes);
        waited.expect("served after RESUME");
        assert!(began.elapsed() >= Duration::from_millis(100));
        console.batch_execute("RECONNECT").await.expect("done");
        console.batch_execute("DISCONNECT 1").await.expect("done");
        assert!(console.batch_execute("DISCONNECT 77").await.is_err());
        assert!(console.batch_execute("SHOW nothing").await.is_err());
        while !client.is_closed() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // For users without access to the console, its name is an ordinary database.
        let mut config = node.driver_config("eve", "secret", "x");
        let eve = connect_with(config.dbname("badgerpost"))
            .await
            .expect("a session");
        assert!(eve.batch_execute("SHOW POOLS").await.is_err());
    });
}

/// Guards against closing the console at the time limit for authentication.
#[test]
fn a_console_stays_open_after_the_authentication_timeout() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut config = node.driver_config("ann", "secret", "ops");
        let console = connect_with(config.dbname("badgerpost"))
            .await
            .expect("the console");
        tokio::time::sleep(Duration::from_secs(6)).await;
        query_value(&console, "SHOW VERSION").await;
    });
}

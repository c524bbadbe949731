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
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls};

/// A client with settings of its own; every third one sets nothing.
struct ClientWithSettings {
    number: usize,
    client: Client,
    search_path: String,
    zone: &'static str,
    statement_timeout: String,
}

impl ClientWithSettings {
    async fn connect(node: &Node, number: usize) -> Self {
        let mut config = node.driver("ann", "secret", &format!("app{number}"));
        let zone = ["UTC", "CET", "PST8PDT"][number % 3];
        let (mut search_path, mut statement_timeout) =
            ("\"$user\", public".to_owned(), "0".to_owned());
        if !number.is_multiple_of(3) {
            search_path = format!("tenant{number}");
            statement_timeout = (5000 + number).to_string();
            config.options(format!(
                "-c search_path={search_path} -c TimeZone={zone} -c statement_timeout={statement_timeout}"
            ));
        }
        Self {
            number,
            client: open(&config).await.expect("a connection"),
            search_path,
            zone,
            statement_timeout,
        }
    }

    async fn assert_settings(&self, round: usize) {
        let at = format!("client {}, round {round}", self.number);
        for (setting, expected) in [
            ("search_path", self.search_path.as_str()),
            ("application_name", &format!("app{}", self.number)),
            ("TimeZone", self.zone),
            ("statement_timeout", &self.statement_timeout),
        ] {
            let value = one(&self.client, &format!("SHOW {setting}")).await;
            assert_eq!(value, expected, "{at}");
        }
    }

    /// Changes a setting in the second round, and again in the third, where that is rolled back.
    async fn change_settings(&mut self, round: usize) {
        let (sql, zone) = match round {
            1 => ("SET TimeZone = 'Europe/Budapest'", "Europe/Budapest"),
            2 => ("BEGIN; SET TimeZone = 'Asia/Tokyo'; ROLLBACK", self.zone),
            _ => return,
        };
        self.client.batch_execute(sql).await.expect("set");
        self.zone = zone;
    }
}

/// Each client has settings of its own, some of them changed on the way, and there are far fewer connections than
/// clients. `CLIENTS=1000` for the long one.
#[test]
fn settings_of_a_client_do_not_leak_to_others() {
    test(async {
        let clients: usize = std::env::var("CLIENTS")
            .ok()
            .and_then(|clients| clients.parse().ok())
            .unwrap_or(60);
        let database = database();
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
            task.await.expect("each client sees its own");
        }
        assert!(
            database.open_connections() <= 10,
            "{} connections",
            database.open_connections()
        );
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
            .expect_err("rejected");
        let error = error.as_db_error().expect("by a server").clone();
        assert_eq!(
            (error.code(), error.severity()),
            (&SqlState::INVALID_PARAMETER_VALUE, "FATAL")
        );
        // What is no setting at all is rejected at once, by name.
        let mut config = node.driver("ann", "secret", "x");
        let error = open(config.options("--nothing"))
            .await
            .expect_err("rejected");
        assert_eq!(code(&error), Some(&SqlState::FEATURE_NOT_SUPPORTED));
        assert!(
            error
                .as_db_error()
                .and_then(|error| error.detail())
                .is_some_and(|why| why.contains("--nothing"))
        );
    });
}

/// Clients choose their queries by the version that the servers report.
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

/// The console was served within the time limit and the slot of a client's admission: `SHOW STATS` counted it among the
/// unauthenticated, and it was closed 5.004 s after its client had connected. It is served behind the admission now.
#[test]
fn a_console_outlives_the_admission_timeout() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |_| {}).await;
        let mut config = node.driver("ann", "secret", "ops");
        let console = open(config.dbname("badgerpost"))
            .await
            .expect("the console");
        tokio::time::sleep(Duration::from_secs(6)).await;
        one(&console, "SHOW VERSION").await;
    });
}

//! The front with a real driver on one side and stand-in databases on the other: what works in transaction mode,
//! and what a client is told when its server dies at each step.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::EndpointUpdate;
use badgerpost_fakes::database::{Database, InjectedFault, Value};
use badgerpost_fakes::random::Random;
use badgerpost_postgres::config::Config;
use badgerpost_settings::file::Source;
use common::*;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

#[test]
fn who_knows_no_password_gets_no_session() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |_| {}).await;
        for (user, password) in [("ann", "wrong"), ("bob", "secret")] {
            let error = node
                .try_connect(user, password, "x")
                .await
                .expect_err("turned away");
            assert_eq!(code(&error), Some(&SqlState::INVALID_PASSWORD), "{user}");
        }
        node.connect()
            .await
            .simple_query("select 1")
            .await
            .expect("served");
        assert_eq!(
            database.connections(),
            1,
            "no server was bothered for those who were turned away"
        );
    });
}

/// Simple and extended queries, prepared once and used in transactions on whatever server comes.
#[test]
fn a_driver_works_in_transaction_mode() {
    test(async {
        let (one, two) = (database(), database());
        let node = Node::start(&[&one, &two], |_| {}).await;
        let mut client = node.connect().await;
        for database in [&one, &two] {
            // Tables are no matter of the node's: each stand-in gets its own.
            let direct = format!("host=127.0.0.1 port={} user=x dbname=x", database.at.port());
            let (direct, connection) = tokio_postgres::connect(&direct, NoTls)
                .await
                .expect("the stand-in");
            tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            direct
                .batch_execute("create table scores (id bigint, name text)")
                .await
                .expect("created");
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
        // An error of the server's is the client's, and the session goes on.
        let error = client
            .simple_query("select nothing from nowhere")
            .await
            .expect_err("no such table");
        assert_eq!(code(&error), Some(&SqlState::UNDEFINED_TABLE));
        client.simple_query("select 1").await.expect("served");
    });
}

/// Many clients over few server connections, and none left behind.
#[test]
fn connections_are_shared() {
    test(async {
        let database = database();
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
fn nothing_of_a_session_leaks_into_another() {
    test(async {
        let database = database();
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
        // A client that goes in a transaction takes its connection with it.
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

/// A server that dies, by where it dies.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn what_a_client_is_told_when_its_server_dies() {
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
fn a_safe_statement_goes_to_another_server() {
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
fn a_server_that_hangs_is_given_up_at_the_deadline() {
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

/// Nothing new goes to a server that drains; a transaction that it has may end there.
#[test]
fn drains_are_kept_and_transactions_end() {
    test(async {
        let (one, two) = (database(), database());
        let node = Node::start(&[&one, &two], |_| {}).await;
        let mut clients = Vec::new();
        for _ in 0..10 {
            let client = node.connect().await;
            // The BEGIN alone takes no server yet.
            client.batch_execute("begin").await.expect("begun");
            client.batch_execute("select 1").await.expect("served");
            clients.push(client);
        }
        let mut list = node.config.endpoints();
        list[0].state = badgerpost_balancer::EndpointState::Draining;
        node.fleet
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
            "{ended} of ten transactions were there"
        );
        assert_eq!(one.statements() - before, ended, "nothing new goes there");
    });
}

#[test]
fn refusals_and_bad_clients() {
    test(async {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let database = database();
        let node = Node::start(&[&database], |config| config.max_clients = 3).await;
        let said = |bytes: &'static [u8]| {
            let at = node.at;
            async move {
                let mut stream = tokio::net::TcpStream::connect(at)
                    .await
                    .expect("it listens");
                stream.write_all(bytes).await.expect("written");
                let mut answer = Vec::new();
                let _ = stream.read_to_end(&mut answer).await;
                String::from_utf8_lossy(&answer).into_owned()
            }
        };
        assert!(
            said(b"GET / HTTP/1.1\r\n\r\n")
                .await
                .contains("this is HTTP")
        );
        assert!(
            said(&[0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 47])
                .await
                .contains("asked for again")
        );
        assert!(said(&[0xff, 0xff, 0xff, 0xff]).await.contains("08P01"));
        let kept = [
            node.connect().await,
            node.connect().await,
            node.connect().await,
        ];
        let error = node
            .try_connect("ann", "secret", "x")
            .await
            .expect_err("no room");
        assert_eq!(error.code().map(SqlState::code), Some("53300"));
        drop(kept);
        // Nobody left to send to: refused, with the code that says that nothing ran.
        let mut tries = 0;
        let client = loop {
            match node.try_connect("ann", "secret", "x").await {
                Ok(client) => break client,
                Err(_) if tries < 500 => tries += 1,
                Err(error) => panic!("{error}"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        node.fleet.endpoints_updated(EndpointUpdate::Snapshot, &[]);
        let error = client
            .batch_execute("select 1")
            .await
            .expect_err("nobody there");
        assert_eq!(error.code().map(SqlState::code), Some("53300"));
    });
}

/// A cancel reaches the statement that it is about, through a key of the node's own.
#[test]
fn cancels_are_passed_on() {
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

/// Databases die over and over under load. A commit that was told is there once, a failure that was told before
/// the end never, and an unknown one at most once.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn effects_equal_what_clients_were_told() {
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
                    told.push((id, one(&mut client, id).await));
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
async fn one(client: &mut Client, id: i64) -> String {
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

/// The section of the operators' file that would say the same.
#[test]
fn the_section_is_checked() {
    let text = "listen = \"127.0.0.1:0\"\nzone = \"a\"\nusers = \"/no/such/file\"\nclass = []\nlogin = []\n";
    let no_class: Config = Source::embedded("test", text)
        .parse()
        .expect("the keys that there must be");
    assert!(
        no_class
            .read_logins()
            .err()
            .is_some_and(|error| error.to_string().contains("[[postgres.login]]"))
    );
    assert!(
        no_class
            .site()
            .err()
            .is_some_and(|error| error.to_string().contains("[[postgres.class]]"))
    );
    assert!(
        no_class
            .read_users()
            .err()
            .is_some_and(|error| error.to_string().contains("/no/such/file"))
    );
    let path = std::env::temp_dir().join(format!("badgerpost-users-{}", std::process::id()));
    std::fs::write(&path, "# who\nann secret\n").unwrap();
    let with = Config {
        users: path.clone(),
        ..no_class
    };
    let mode = |mode| {
        use std::os::unix::fs::PermissionsExt;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
        with.read_users().err().expect("bad").to_string()
    };
    assert!(mode(0o644).contains("0600"));
    let error = mode(0o600);
    assert!(
        error.contains(":2: only SCRAM-SHA-256") && !error.contains("secret"),
        "{error}"
    );
    std::fs::remove_file(&path).unwrap();
}

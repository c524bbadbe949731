//! Who clients are and what they set, by a real driver: settings that follow, logins and rules, TLS with channel
//! binding, silent connections, the console.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use badgerpost_postgres::access::AccessRule;
use badgerpost_postgres::logins::Login;
use badgerpost_postgres::tls::{ClientTls, ServerTls};
use common::*;
use tokio_postgres::config::ChannelBinding;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, SimpleQueryMessage};

async fn one(client: &Client, sql: &str) -> String {
    let rows = client
        .simple_query(sql)
        .await
        .unwrap_or_else(|error| panic!("{sql}: {error}"));
    let row = rows.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    row.unwrap_or_default()
}

/// Each client has settings of its own, some of them changed on the way, and there are far fewer connections than
/// clients. `CLIENTS=1000` for the long one.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn no_setting_leaks() {
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
fn settings_that_no_server_takes_are_told_by_its_words() {
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
fn the_greeting_comes_from_the_servers() {
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

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn logins_and_rules_by_client() {
    test(async {
        let folder = std::env::temp_dir().join(format!("badgerpost-logins-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let password = |name: &str| {
            use std::os::unix::fs::PermissionsExt;
            let path = folder.join(name);
            std::fs::write(&path, format!("{name}-password\n")).unwrap();
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).unwrap();
            path
        };
        let database = database();
        database.set_user("shared", "shared-password");
        database.set_user("eve_at_db", "eve-password");
        let node = Node::start(&[&database], |config| {
            let login = |user: &str, file: &str, clients: Option<Vec<String>>| Login {
                user: user.to_owned(),
                password_file: Some(password(file)),
                clients,
            };
            config.login = vec![
                login("shared", "shared", Some(vec!["ann".to_owned()])),
                login("eve_at_db", "eve", Some(vec!["eve".to_owned()])),
            ];
            let refuse = AccessRule {
                user: Some("eve".to_owned()),
                database: Some("secrets".to_owned()),
                address: None,
                is_tls: None,
                rejects: true,
            };
            config.access_rules = vec![
                refuse.clone(),
                AccessRule {
                    user: None,
                    database: None,
                    rejects: false,
                    ..refuse
                },
            ];
        })
        .await;
        let (ann, eve) = (
            node.connect().await,
            node.try_connect("eve", "secret", "x")
                .await
                .expect("may come"),
        );
        for _ in 0..3 {
            assert_eq!(one(&ann, "SELECT current_user").await, "shared");
            assert_eq!(one(&eve, "SELECT current_user").await, "eve_at_db");
        }
        let asked = database.connections();
        let mut config = node.driver("eve", "secret", "x");
        let error = open(config.dbname("secrets"))
            .await
            .expect_err("turned away");
        assert_eq!(
            code(&error),
            Some(&SqlState::INVALID_AUTHORIZATION_SPECIFICATION)
        );
        assert_eq!(database.connections(), asked, "no server was asked");
        std::fs::remove_dir_all(&folder).unwrap();
    });
}

/// A certificate for localhost and its key, in files of their own.
fn certificate(folder: &std::path::Path) -> (std::path::PathBuf, std::path::PathBuf, Vec<u8>) {
    use std::os::unix::fs::PermissionsExt;
    let made =
        rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).expect("a certificate");
    let (certificate, key) = (folder.join("node.pem"), folder.join("node.key"));
    std::fs::write(&certificate, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600)).unwrap();
    (certificate, key, made.cert.der().to_vec())
}

/// The server of the first node is a second one that wants TLS: so both sides of it are shown, SCRAM bound to the
/// channel among them.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn tls_on_both_sides_with_channel_binding() {
    test(async {
        let folder = std::env::temp_dir().join(format!("badgerpost-tls-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (pem, key, der) = certificate(&folder);
        let secret = folder.join("password");
        std::fs::write(&secret, "secret").unwrap();
        std::fs::set_permissions(&secret, std::os::unix::fs::PermissionsExt::from_mode(0o600))
            .unwrap();
        let database = database();
        let tls = ClientTls {
            certificate: pem.clone(),
            key,
            is_required: true,
        };
        let behind = Node::start(&[&database], |config| config.tls = Some(tls.clone())).await;
        let front = Node::start(&[&database], |config| {
            config.tls = Some(ClientTls {
                is_required: false,
                ..tls.clone()
            });
            config.server_tls = Some(ServerTls {
                roots: pem.clone(),
                name: "localhost".to_owned(),
            });
            config.server[0].address = behind.at;
            config.login = vec![Login {
                user: "ann".to_owned(),
                password_file: Some(secret.clone()),
                clients: None,
            }];
        })
        .await;
        let mut roots = rustls::RootCertStore::empty();
        roots.add(der.into()).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let client_config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        let connector = tokio_postgres_rustls::MakeRustlsConnect::new(client_config);
        for (node, binding) in [
            (&front, ChannelBinding::Require),
            (&behind, ChannelBinding::Require),
            (&front, ChannelBinding::Disable),
        ] {
            let mut config = node.driver("ann", "secret", "x");
            config
                .host("localhost")
                .hostaddr(std::net::IpAddr::from([127, 0, 0, 1]))
                .channel_binding(binding);
            let mut config = {
                let mut fresh = tokio_postgres::Config::new();
                fresh
                    .host("localhost")
                    .hostaddr(std::net::IpAddr::from([127, 0, 0, 1]))
                    .port(node.at.port());
                fresh
                    .user("ann")
                    .password("secret")
                    .dbname("ratings")
                    .channel_binding(binding);
                std::mem::swap(&mut config, &mut fresh);
                config
            };
            config.ssl_mode(tokio_postgres::config::SslMode::Require);
            let (client, connection) = config
                .connect(connector.clone())
                .await
                .expect("a connection in TLS");
            tokio::task::spawn_local(async move {
                let _ = connection.await;
            });
            assert_eq!(
                client
                    .query_one("SELECT $1::int8", &[&7_i64])
                    .await
                    .expect("served")
                    .get::<_, i64>(0),
                7
            );
        }
        // In the clear the second node takes nobody.
        let error = behind
            .try_connect("ann", "secret", "x")
            .await
            .expect_err("turned away");
        assert_eq!(
            code(&error),
            Some(&SqlState::INVALID_AUTHORIZATION_SPECIFICATION)
        );
        front
            .try_connect("ann", "secret", "x")
            .await
            .expect("offered, not required");
        std::fs::remove_dir_all(&folder).unwrap();
    });
}

/// Connections that never say a word shut nobody out.
#[test]
fn silent_connections_make_room() {
    test(async {
        let database = database();
        let node = Node::start(&[&database], |config| {
            config.max_unauthenticated_clients = 20;
        })
        .await;
        let mut silent = Vec::new();
        for _ in 0..200 {
            silent.push(
                tokio::net::TcpStream::connect(node.at)
                    .await
                    .expect("it listens"),
            );
        }
        for _ in 0..10 {
            let client = node.connect().await;
            client.batch_execute("select 1").await.expect("served");
        }
        drop(silent);
    });
}

#[test]
fn the_console_tells_and_pauses() {
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

/// With fewer connections than transactions these wait; with far too many they are refused early.
#[test]
fn transactions_wait_for_a_connection_or_are_refused_early() {
    test(async {
        let database = database();
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
            let (served, _) = task.await.expect("it ends");
            served.expect("served, after a wait");
        }
        assert!(database.open() <= 2);
        // 300 ms each on two connections: of thirty, those that would have to wait past the deadline of 5 s are many
        // fewer than those behind twice as many.
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
        let (mut served, mut refused) = (0, 0);
        for task in tasks {
            match task.await.expect("it ends") {
                (Ok(()), _) => served += 1,
                (Err(error), took) => {
                    assert_eq!(code(&error).map(SqlState::code), Some("53300"));
                    assert!(took < Duration::from_millis(4900), "refused after {took:?}");
                    refused += 1;
                }
            }
        }
        assert!(
            served >= 10 && refused >= 10,
            "{served} served, {refused} refused"
        );
    });
}

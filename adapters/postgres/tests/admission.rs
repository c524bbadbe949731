//! Which clients get a session: passwords, access rules, TLS with channel binding, silent connections, malformed first
//! packets. A real driver connects where the protocol is kept.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::EndpointUpdate;
use badgerpost_postgres::access::AccessRule;
use badgerpost_postgres::logins::Login;
use badgerpost_postgres::tls::{ClientTls, ServerTls};
use common::*;
use tokio_postgres::config::ChannelBinding;
use tokio_postgres::error::SqlState;

#[test]
fn a_client_without_the_password_gets_no_session() {
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

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn logins_and_access_rules_apply_by_client() {
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
fn silent_connections_are_evicted_for_new_clients() {
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
fn malformed_startups_and_clients_above_the_limit_are_rejected() {
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

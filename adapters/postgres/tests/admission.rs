//! Admission of clients: passwords, access rules, TLS with channel binding, silent connections, malformed start-up
//! packets.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]

mod common;

use std::net::{IpAddr, Ipv4Addr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::EndpointUpdate;
use badgerpost_postgres::access::AccessRule;
use badgerpost_postgres::logins::Login;
use badgerpost_postgres::tls::{ClientTls, ServerTls};
use common::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::Client;
use tokio_postgres::config::{ChannelBinding, SslMode};
use tokio_postgres::error::SqlState;
use tokio_postgres_rustls::MakeRustlsConnect;

#[test]
fn a_client_with_an_unknown_user_or_wrong_password_is_rejected() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |_| {}).await;
        for (user, password) in [("ann", "wrong"), ("bob", "secret")] {
            let error = node
                .try_connect(user, password, "x")
                .await
                .expect_err("rejected");
            assert_eq!(
                sqlstate(&error),
                Some(&SqlState::INVALID_PASSWORD),
                "{user}"
            );
        }
        node.connect()
            .await
            .simple_query("select 1")
            .await
            .expect("served");
        assert_eq!(
            database.connections(),
            1,
            "no server connection was opened for the rejected clients"
        );
    });
}

/// Two logins, each for one client user.
fn logins_for_ann_and_eve(folder: &TestFolder) -> Vec<Login> {
    let login = |user: &str, password: &str, client: &str| Login {
        user: user.to_owned(),
        password_file: Some(folder.private_file(user, &format!("{password}\n"))),
        clients: Some(vec![client.to_owned()]),
    };
    vec![
        login("shared", "shared-password", "ann"),
        login("eve_at_db", "eve-password", "eve"),
    ]
}

/// Allows all connections, except from eve to the database `secrets`.
fn rules_that_keep_eve_from_secrets() -> Vec<AccessRule> {
    let rejects_eve = AccessRule {
        user: Some("eve".to_owned()),
        database: Some("secrets".to_owned()),
        address: None,
        is_tls: None,
        rejects: true,
    };
    let allows_all = AccessRule {
        user: None,
        database: None,
        rejects: false,
        ..rejects_eve.clone()
    };
    vec![rejects_eve, allows_all]
}

#[test]
fn logins_and_access_rules_apply_by_client() {
    run_test(async {
        let folder = TestFolder::new("logins");
        let database = start_database();
        database.set_user("shared", "shared-password");
        database.set_user("eve_at_db", "eve-password");
        let node = Node::start(&[&database], |config| {
            config.login = logins_for_ann_and_eve(&folder);
            config.access_rules = rules_that_keep_eve_from_secrets();
        })
        .await;
        let ann = node.connect().await;
        let eve = node.try_connect("eve", "secret", "x").await;
        let eve = eve.expect("allowed");
        for _ in 0..3 {
            assert_eq!(query_value(&ann, "SELECT current_user").await, "shared");
            assert_eq!(query_value(&eve, "SELECT current_user").await, "eve_at_db");
        }
        let connections = database.connections();
        let mut config = node.driver_config("eve", "secret", "x");
        let error = connect_with(config.dbname("secrets"))
            .await
            .expect_err("rejected");
        assert_eq!(
            sqlstate(&error),
            Some(&SqlState::INVALID_AUTHORIZATION_SPECIFICATION)
        );
        assert_eq!(
            database.connections(),
            connections,
            "no server connection was opened"
        );
    });
}

/// A self-signed certificate for localhost.
struct TestCertificate {
    pem: PathBuf,
    key: PathBuf,
    der: Vec<u8>,
}

impl TestCertificate {
    fn new(folder: &TestFolder) -> Self {
        let names = vec!["localhost".to_owned()];
        let generated = rcgen::generate_simple_self_signed(names).expect("a certificate");
        Self {
            pem: folder.private_file("node.pem", &generated.cert.pem()),
            key: folder.private_file("node.key", &generated.signing_key.serialize_pem()),
            der: generated.cert.der().to_vec(),
        }
    }

    fn client_tls(&self, is_required: bool) -> ClientTls {
        ClientTls {
            certificate: self.pem.clone(),
            key: self.key.clone(),
            is_required,
        }
    }

    fn server_tls(&self) -> ServerTls {
        ServerTls {
            roots: self.pem.clone(),
            name: "localhost".to_owned(),
        }
    }

    /// A driver's TLS configuration that trusts this certificate.
    fn driver_tls(&self) -> MakeRustlsConnect {
        let mut roots = rustls::RootCertStore::empty();
        roots.add(self.der.clone().into()).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        MakeRustlsConnect::new(config)
    }
}

/// Runs a query through a driver over TLS.
async fn query_over_tls(node: &Node, tls: MakeRustlsConnect, binding: ChannelBinding) {
    let mut config = tokio_postgres::Config::new();
    config
        .host("localhost")
        .hostaddr(IpAddr::V4(Ipv4Addr::LOCALHOST))
        .port(node.address.port())
        .user("ann")
        .password("secret")
        .dbname("ratings")
        .channel_binding(binding)
        .ssl_mode(SslMode::Require);
    let (client, connection) = config.connect(tls).await.expect("a TLS connection");
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let row = client.query_one("SELECT $1::int8", &[&7_i64]).await;
    assert_eq!(row.expect("served").get::<_, i64>(0), 7);
}

/// The outer node's server is the inner node, which requires TLS. This covers TLS and channel binding both as a server
/// and as a client.
#[test]
fn clients_and_servers_are_connected_over_tls_with_channel_binding() {
    run_test(async {
        let folder = TestFolder::new("tls");
        let certificate = TestCertificate::new(&folder);
        let password_file = folder.private_file("password", "secret");
        let database = start_database();
        let inner = Node::start(&[&database], |config| {
            config.tls = Some(certificate.client_tls(true));
        })
        .await;
        let outer = Node::start(&[&database], |config| {
            config.tls = Some(certificate.client_tls(false));
            config.server_tls = Some(certificate.server_tls());
            config.server[0].address = inner.address;
            config.login = vec![Login {
                user: "ann".to_owned(),
                password_file: Some(password_file.clone()),
                clients: None,
            }];
        })
        .await;
        for (node, binding) in [
            (&outer, ChannelBinding::Require),
            (&inner, ChannelBinding::Require),
            (&outer, ChannelBinding::Disable),
        ] {
            query_over_tls(node, certificate.driver_tls(), binding).await;
        }
        // The inner node accepts no client without TLS.
        let unencrypted = inner.try_connect("ann", "secret", "x").await;
        assert_eq!(
            sqlstate(&unencrypted.expect_err("rejected")),
            Some(&SqlState::INVALID_AUTHORIZATION_SPECIFICATION)
        );
        let unencrypted = outer.try_connect("ann", "secret", "x").await;
        unencrypted.expect("TLS is optional");
    });
}

#[test]
fn silent_connections_are_evicted_for_new_clients() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |config| {
            config.max_unauthenticated_clients = 20;
        })
        .await;
        let mut silent = Vec::new();
        for _ in 0..200 {
            silent.push(
                tokio::net::TcpStream::connect(node.address)
                    .await
                    .expect("a connection"),
            );
        }
        for _ in 0..10 {
            let client = node.connect().await;
            client.batch_execute("select 1").await.expect("served");
        }
        drop(silent);
    });
}

/// Sends bytes to the node and returns all bytes of the response.
async fn response_to(node: &Node, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(node.address)
        .await
        .expect("a connection");
    stream.write_all(bytes).await.expect("written");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Retries to connect until the sessions of disconnected clients have ended.
async fn connect_when_possible(node: &Node) -> Client {
    let mut attempts = 0;
    loop {
        match node.try_connect("ann", "secret", "x").await {
            Ok(client) => return client,
            Err(_) if attempts < 500 => attempts += 1,
            Err(error) => panic!("{error}"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[test]
fn malformed_startups_and_clients_above_the_limit_are_rejected() {
    run_test(async {
        let database = start_database();
        let node = Node::start(&[&database], |config| config.max_clients = 3).await;
        let http = response_to(&node, b"GET / HTTP/1.1\r\n\r\n").await;
        assert!(http.contains("this is HTTP; the port expects the PostgreSQL protocol"));
        let ssl_request_twice = [0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 47];
        let repeated = response_to(&node, &ssl_request_twice).await;
        assert!(repeated.contains("repeated request for the same encryption"));
        let too_long = response_to(&node, &[0xff, 0xff, 0xff, 0xff]).await;
        assert!(too_long.contains("08P01"));
        let clients = [
            node.connect().await,
            node.connect().await,
            node.connect().await,
        ];
        let above_limit = node.try_connect("ann", "secret", "x").await;
        let error = above_limit.expect_err("above the limit");
        assert_eq!(error.code().map(SqlState::code), Some("53300"));
        drop(clients);
        let client = connect_when_possible(&node).await;
        // Without servers, a transaction is rejected with the SQLSTATE for a transaction that has not run.
        node.engine.endpoints_updated(EndpointUpdate::Snapshot, &[]);
        let error = client.batch_execute("select 1").await;
        let error = error.expect_err("no server");
        assert_eq!(error.code().map(SqlState::code), Some("53300"));
    });
}

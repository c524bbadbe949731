//! Test fixture: a node's PostgreSQL adapter in the test process, between real drivers and fake databases.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]
// Each test binary uses only some of the helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::EndpointUpdate;
use badgerpost_engine::{Clock, spawn};
use badgerpost_fakes::database::Database;
use badgerpost_postgres::PostgresEngine;
use badgerpost_postgres::config::Config;
use badgerpost_postgres::pool::Pool;
use badgerpost_postgres::server::PostgresServer;
use badgerpost_postgres::session_memory::SessionMemory;
use badgerpost_postgres::tls::ServerTls;
use badgerpost_postgres::upstream::PostgresTransport;
use badgerpost_postgres_session::frame::{DecodeResult, FrameDecoder};
use badgerpost_postgres_session::scram::Verifier;
use badgerpost_settings::file::Source;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Time limit of a single test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit on the memory of all sessions of a node.
pub const SESSION_MEMORY_BYTES: usize = 4 * 1024 * 1024;

pub struct Node {
    pub address: SocketAddr,
    pub engine: PostgresEngine,
    pub config: Config,
    /// Kept in the fixture, because dropping the sender would stop the server.
    stop: watch::Sender<bool>,
}

const CONFIG: &str = r#"
listen = "127.0.0.1:0"
zone = "a"
users = "unused"
clients = 100
console = ["ann"]

[[login]]
user = "node"

[[class]]
name = "reads"
application = "reads"
aim_ms = 2000
deadline_ms = 5000
repeatable = true

[[class]]
name = "rest"
aim_ms = 2000
deadline_ms = 5000
"#;

impl Node {
    pub async fn start(databases: &[&Database], configure: impl Fn(&mut Config)) -> Self {
        let servers: Vec<SocketAddr> = databases.iter().map(|database| database.address).collect();
        Self::start_with(&servers, Clock::system(), configure).await
    }

    /// Starts a node with servers at these addresses, on this clock.
    pub async fn start_with(
        servers: &[SocketAddr],
        clock: Clock,
        configure: impl Fn(&mut Config),
    ) -> Self {
        let servers = servers.iter().enumerate().map(|(n, address)| {
            format!("[[server]]\nname = \"db{n}\"\naddress = \"{address}\"\nzone = \"a\"\n")
        });
        let text = format!("{CONFIG}{}", servers.collect::<String>());
        let mut config: Config = Source::embedded("test", &text)
            .parse()
            .expect("a configuration");
        configure(&mut config);
        let tls = config
            .server_tls
            .as_ref()
            .map(ServerTls::connector)
            .transpose()
            .expect("root certificates");
        let pool = Pool::new(
            clock.clone(),
            config.read_logins().expect("logins"),
            tls,
            config.limits(),
        );
        let site = config.site().expect("balancer settings");
        let transport = Rc::new(PostgresTransport(pool.clone()));
        let engine =
            PostgresEngine::new(site.settings, site.names, 7, clock, transport).expect("an engine");
        engine.endpoints_updated(EndpointUpdate::Snapshot, &config.endpoints());
        let timers = engine.clone();
        spawn(async move { timers.run_timers().await });
        let user = |name: &str| {
            (
                name.to_owned(),
                Verifier::from_password("secret", b"some salt"),
            )
        };
        let server = PostgresServer::new(
            config.clone(),
            [user("ann"), user("eve")].into(),
            engine.clone(),
            pool,
            SessionMemory::new(SESSION_MEMORY_BYTES, engine.clock().clone()),
        );
        let listener = tokio::net::TcpListener::bind(config.listen)
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let (stop, stopping) = watch::channel(false);
        spawn(server.expect("a server").run(listener, stopping));
        Self {
            address,
            engine,
            config,
            stop,
        }
    }

    /// Shuts the server down, as a stopping node does.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }

    /// Connects to the operators' console.
    pub async fn connect_console(&self) -> Result<Client, tokio_postgres::Error> {
        let mut config = self.driver_config("ann", "secret", "ops");
        connect_with(config.dbname("badgerpost")).await
    }

    /// The driver configuration for connecting to the node.
    pub fn driver_config(
        &self,
        user: &str,
        password: &str,
        application: &str,
    ) -> tokio_postgres::Config {
        let mut config = tokio_postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(self.address.port())
            .user(user)
            .password(password)
            .dbname("ratings");
        config.application_name(application);
        config
    }

    pub async fn try_connect(
        &self,
        user: &str,
        password: &str,
        application: &str,
    ) -> Result<Client, tokio_postgres::Error> {
        connect_with(&self.driver_config(user, password, application)).await
    }

    pub async fn connect(&self) -> Client {
        self.try_connect("ann", "secret", "test")
            .await
            .expect("a connection")
    }

    /// Connects a client that sends the messages of the test.
    pub async fn connect_raw(&self) -> RawClient {
        let socket = std::net::TcpStream::connect(self.address).expect("a connection");
        RawClient::log_in(self, socket).await
    }

    /// The number of clients that have a session.
    pub async fn session_count(&self, console: &Client) -> usize {
        let messages = console.simple_query("SHOW CLIENTS").await.expect("a table");
        let is_row = |message: &&SimpleQueryMessage| matches!(message, SimpleQueryMessage::Row(_));
        messages.iter().filter(is_row).count()
    }
}

/// A client that sends the messages of the test.
pub struct RawClient {
    pub stream: TcpStream,
    decoder: FrameDecoder,
}

impl RawClient {
    /// Lets a driver log in on `socket`, and then uses the connection without the driver.
    pub async fn log_in(node: &Node, socket: std::net::TcpStream) -> Self {
        socket.set_nonblocking(true).expect("a socket");
        let for_driver = socket.try_clone().expect("a descriptor");
        let for_driver = TcpStream::from_std(for_driver).expect("a socket");
        let config = node.driver_config("ann", "secret", "raw");
        let logged_in = config.connect_raw(for_driver, NoTls).await;
        // The driver sends nothing more, because its connection is not polled.
        drop(logged_in.expect("a session"));
        Self {
            stream: TcpStream::from_std(socket).expect("a socket"),
            decoder: FrameDecoder::default(),
        }
    }

    /// Sends the messages that `write` encodes.
    pub async fn send(&mut self, write: impl FnOnce(&mut BytesMut)) {
        let mut bytes = BytesMut::new();
        write(&mut bytes);
        self.stream.write_all(&bytes).await.expect("written");
    }

    /// Reads messages up to one with this tag, and returns the tags of all of them. Shorter if the connection ends.
    pub async fn read_until(&mut self, tag: u8) -> String {
        let mut tags = String::new();
        loop {
            match self.decoder.next_from_server().expect("good frames") {
                Some(DecodeResult::Frame(frame)) => tags.push(char::from(frame.tag)),
                Some(DecodeResult::Chunk { tag, last, .. }) if last => tags.push(char::from(tag)),
                Some(DecodeResult::Chunk { .. }) => {}
                None => {
                    let mut bytes = [0; 4096];
                    let count = self.stream.read(&mut bytes).await.unwrap_or_default();
                    if count == 0 {
                        return tags;
                    }
                    self.decoder.push(&bytes[..count]);
                }
            }
            if tags.ends_with(char::from(tag)) {
                return tags;
            }
        }
    }
}

/// Connects with a driver configuration, and runs the driver's connection task on this thread.
pub async fn connect_with(
    config: &tokio_postgres::Config,
) -> Result<Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(client)
}

pub fn run_test<F: Future>(work: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, work)
            .await
            .expect("the test ends within its time limit")
    })
}

pub fn start_database() -> Database {
    Database::start().expect("a free port")
}

/// Runs SQL on a fake database, bypassing the node.
pub async fn execute_directly(database: &Database, sql: &str) {
    let address = format!(
        "host=127.0.0.1 port={} user=x dbname=x",
        database.address.port()
    );
    let config: tokio_postgres::Config = address.parse().expect("an address");
    let client = connect_with(&config)
        .await
        .expect("a connection to the fake database");
    client.batch_execute(sql).await.expect("executed");
}

/// Repeats a statement in the session until the node uses the failed server again.
pub async fn wait_until_served(client: &Client) {
    while let Err(error) = client.batch_execute("select 1").await {
        assert!(
            ["53300", "08006"].contains(&error.code().map_or("closed", SqlState::code)),
            "{error}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn sqlstate(error: &tokio_postgres::Error) -> Option<&SqlState> {
    error.code()
}

/// The first value in the result of a query.
pub async fn query_value(client: &Client, sql: &str) -> String {
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

/// A folder in the system's temporary folder, removed on drop.
pub struct TestFolder(PathBuf);

impl TestFolder {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("badgerpost-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }

    /// Writes a file with mode 0600.
    pub fn private_file(&self, name: &str, text: &str) -> PathBuf {
        use std::os::unix::fs::PermissionsExt;
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        let owner_only = std::fs::Permissions::from_mode(0o600);
        std::fs::set_permissions(&path, owner_only).expect("the mode is set");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

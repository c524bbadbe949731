//! Test environment of a PostgreSQL scenario: fake databases, a fake discovery service and one node.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use badgerpost_fakes::database::Database;
use badgerpost_fakes::scripted::{Discovery, target};
use badgerpost_postgres_session::scram::Verifier;

use super::load::ConnectionParameters;
use crate::process::{self, Process, StartOptions};
use crate::run::RunError;
use crate::scenario;

const CLIENT_USER: &str = "rehearsal";
const CLIENT_PASSWORD: &str = "rehearsal-password";
const DATABASE_NAME: &str = "ratings";
/// The node's login at the databases.
const NODE_USER: &str = "node";
const NODE_PASSWORD: &str = "node-password";

/// Fake databases and a node in front of them.
pub struct PgEnvironment {
    databases: Rc<Vec<Database>>,
    discovery: Discovery,
    node: Process,
    /// The address of the node's HTTP listener.
    pub http: SocketAddr,
    /// The address of the node's PostgreSQL listener.
    pub listen: SocketAddr,
}

impl PgEnvironment {
    /// Starts the databases and a node. `port` is the port of the node's PostgreSQL listener; 0 selects a free port.
    pub fn start(database_count: usize, program: &Path, port: u16) -> Result<Self, RunError> {
        let databases = (0..database_count)
            .map(|_| Database::start())
            .collect::<Result<Vec<_>, _>>()?;
        for database in &databases {
            database.set_user(NODE_USER, NODE_PASSWORD);
        }
        let discovery = Discovery::new(endpoint_list(&databases, None));
        let (mut node, http) = start_node(program, port, discovery.address)?;
        let listen = node.wait_for_logged_address("serving PostgreSQL clients")?;
        Ok(Self {
            databases: Rc::new(databases),
            discovery,
            node,
            http,
            listen,
        })
    }

    /// The fake databases, in the order of their indexes.
    pub fn databases(&self) -> &[Database] {
        &self.databases
    }

    /// A shared handle to the databases, for another task.
    pub(super) fn shared_databases(&self) -> Rc<Vec<Database>> {
        self.databases.clone()
    }

    pub(super) fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// The operating system's process id of the node.
    pub fn node_id(&self) -> u32 {
        self.node.id()
    }

    /// The exit status and the log of the node if its process has exited; `None` while the process runs.
    pub(super) fn crash(&mut self) -> Option<String> {
        let status = self.node.exit_status()?;
        let log = self.node.log();
        Some(format!(
            "the node process exited with {status}; node log:\n{log}"
        ))
    }

    /// Kills the node's process, which closes all of the node's connections.
    pub(super) fn kill_node(&mut self) {
        self.node.kill();
    }

    /// The parameters with which a client connects to the node.
    pub fn node_parameters(&self) -> ConnectionParameters {
        ConnectionParameters {
            port: self.listen.port(),
            user: CLIENT_USER.to_owned(),
            password: CLIENT_PASSWORD.to_owned(),
            database: DATABASE_NAME.to_owned(),
        }
    }

    /// The parameters with which a client connects to the database at this index without the node.
    pub fn database_parameters(&self, index: usize) -> ConnectionParameters {
        database_parameters(&self.databases[index])
    }

    /// Publishes an endpoint list in which the database at `index` is draining; with `None` all are in service.
    pub fn set_draining(&mut self, index: Option<usize>) {
        publish_draining(&self.discovery, &self.databases, index);
    }

    /// Creates in each database the table `w`, into which the clients' transactions insert rows.
    pub async fn create_tables(&self) -> Result<(), RunError> {
        for database in self.databases.iter() {
            create_table(database).await.map_err(|error| {
                RunError::Environment(format!("fake database: creating table w failed: {error}"))
            })?;
        }
        Ok(())
    }
}

/// Publishes an endpoint list in which the database at index `draining` is draining; with `None` all are in service.
pub(super) fn publish_draining(
    discovery: &Discovery,
    databases: &[Database],
    draining: Option<usize>,
) {
    discovery.set_endpoints(endpoint_list(databases, draining));
}

fn endpoint_list(databases: &[Database], draining: Option<usize>) -> serde_json::Value {
    let state = |index| {
        if draining == Some(index) {
            "Terminating"
        } else {
            "Ready"
        }
    };
    databases
        .iter()
        .enumerate()
        .map(|(index, database)| target(&format!("db{index}"), database.address, state(index)))
        .collect()
}

/// Starts a node without HTTP backends; returns it with the address of its HTTP listener.
fn start_node(
    program: &Path,
    port: u16,
    discovery: SocketAddr,
) -> Result<(Process, SocketAddr), RunError> {
    let empty_discovery = Discovery::new(serde_json::json!([]));
    let calm = scenario::find("calm")?;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let edge_config = process::edge_config(&calm, 0, any_port, empty_discovery.address, 7, None);
    let verifier = Verifier::from_password(CLIENT_PASSWORD, b"a salt of the rehearsal").to_text();
    let start = StartOptions {
        program,
        name: "n0",
        edge_config,
        virtual_clock_start: None,
        operator_settings: node_settings(port, discovery),
        files: vec![
            ("users", format!("{CLIENT_USER} {verifier}\n")),
            ("password", NODE_PASSWORD.to_owned()),
        ],
        system_faults: None,
    };
    Ok(Process::start(&start)?)
}

/// The node's settings file, in TOML.
fn node_settings(port: u16, discovery: SocketAddr) -> String {
    format!(
        r#"
            [postgres]
            listen = "127.0.0.1:{port}"
            zone = "a"
            users = "{{folder}}/users"
            clients = 2000
            discovery = "{discovery}"
            console = ["{CLIENT_USER}"]
            [[postgres.login]]
            user = "{NODE_USER}"
            password_file = "{{folder}}/password"
            [[postgres.class]]
            name = "ratings"
            aim_ms = 500
            deadline_ms = 3000
            "#
    )
}

fn database_parameters(database: &Database) -> ConnectionParameters {
    ConnectionParameters {
        port: database.address.port(),
        user: NODE_USER.to_owned(),
        password: NODE_PASSWORD.to_owned(),
        database: DATABASE_NAME.to_owned(),
    }
}

async fn create_table(database: &Database) -> Result<(), tokio_postgres::Error> {
    let config = database_parameters(database).tokio_postgres_config();
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    let connection = tokio::task::spawn_local(connection);
    client
        .batch_execute("CREATE TABLE w (id bigint, n int)")
        .await?;
    drop(client);
    let _ = connection.await;
    Ok(())
}

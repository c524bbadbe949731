//! The section `[postgres]` of the configuration file.

mod balancer_settings;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use badgerpost_balancer::EndpointState;
use badgerpost_engine::DiscoveredEndpoint;
use badgerpost_postgres_session::scram::Verifier;
use serde::Deserialize;

use crate::access::AccessRule;
use crate::config_error::read_private;
use crate::logins::{Login, Logins};
use crate::tls::{ClientTls, ServerTls};

pub use self::balancer_settings::idempotent_class_name;
pub use crate::config_error::{ConfigError, TlsFileError, UserLineError};

/// The section `[postgres]`. Where a field's name differs from the key, serde's `rename` gives the key.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Address on which the node accepts clients.
    pub listen: SocketAddr,
    /// Zone in which the node runs.
    pub zone: String,
    /// File with one line per client user, with mode 0600. Each line has a user name, a space and a SCRAM verifier:
    /// `name SCRAM-SHA-256$...`.
    pub users: PathBuf,
    /// Maximum number of sessions.
    #[serde(rename = "clients", default = "default_max_clients")]
    pub max_clients: usize,
    /// Maximum number of clients that are not authenticated yet. Beyond it, the client that has been silent longest is
    /// evicted.
    #[serde(
        rename = "unidentified",
        default = "default_max_unauthenticated_clients"
    )]
    pub max_unauthenticated_clients: usize,
    /// How long a session keeps a server connection.
    #[serde(default)]
    pub pooling: Pooling,
    /// Maximum number of connections to each server.
    #[serde(rename = "per_server", default = "default_max_connections_per_server")]
    pub max_connections_per_server: usize,
    /// Maximum number of concurrent logins at each server.
    #[serde(rename = "logins", default = "default_max_concurrent_logins")]
    pub max_concurrent_logins: usize,
    /// Number of idle connections to keep open to each server, for each database and login in use.
    #[serde(default)]
    pub min_idle: usize,
    /// Time after which an idle server connection is closed, in milliseconds.
    #[serde(rename = "idle_close_ms", default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Maximum age of a server connection, in milliseconds, varied by up to 25% per connection.
    #[serde(rename = "lifetime_ms", default = "default_max_lifetime_ms")]
    pub max_lifetime_ms: u64,
    /// The node's logins at the servers; at least one is required.
    pub login: Vec<Login>,
    /// Access rules, matched in order. Without rules, every authenticated user may connect to every database.
    #[serde(rename = "allow", default)]
    pub access_rules: Vec<AccessRule>,
    /// TLS for clients. If absent, clients cannot use TLS.
    pub tls: Option<ClientTls>,
    /// TLS for connections to servers. If absent, connections to servers are not encrypted.
    pub server_tls: Option<ServerTls>,
    /// Users that may use the console, which is served as the database `badgerpost`.
    #[serde(rename = "console", default)]
    pub console_users: Vec<String>,
    /// Address of a discovery service that provides an endpoint list with additional servers.
    pub discovery: Option<SocketAddr>,
    /// Statically configured servers.
    #[serde(default)]
    pub server: Vec<Server>,
    /// The classes of transactions. A client gets the first class that matches, or the last class if none matches.
    pub class: Vec<Class>,
}

/// How long a session keeps a server connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pooling {
    /// For one transaction.
    #[default]
    Transaction,
    /// From the session's first transaction to the end of the session.
    Session,
}

/// Limits of the connection pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections to each server, at least 1.
    pub max_connections_per_server: usize,
    /// Maximum number of concurrent logins at each server, at least 1.
    pub max_concurrent_logins: usize,
    /// Number of idle connections to keep open to each server, for each database and login in use.
    pub min_idle: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Maximum age of a connection, varied by up to 25% per connection.
    pub max_lifetime: Duration,
}

/// A statically configured server, `[[postgres.server]]`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the server, shown in logs and on the console.
    pub name: String,
    /// Address on which the server accepts connections.
    pub address: SocketAddr,
    /// Zone in which the server runs.
    pub zone: String,
}

/// A class of transactions, `[[postgres.class]]`. The class matches clients that meet all conditions that are set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class; the balancer's class has the same name.
    pub name: String,
    /// User name that the client has to have; any user if absent.
    pub user: Option<String>,
    /// Database that the client has to request; any database if absent.
    pub database: Option<String>,
    /// `application_name` that the client has to have; any if absent.
    pub application: Option<String>,
    /// Latency objective of a transaction, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Deadline of a transaction, in milliseconds. Transactions that take longer are aborted.
    pub deadline_ms: u64,
    /// Priority weight of the class's transactions relative to other classes.
    #[serde(rename = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
    /// Whether statements outside a transaction block are idempotent, so that a statement that may have run is retried.
    #[serde(rename = "repeatable", default)]
    pub has_idempotent_statements: bool,
}

fn default_max_clients() -> usize {
    1000
}

fn default_max_unauthenticated_clients() -> usize {
    256
}

fn default_max_connections_per_server() -> usize {
    20
}

fn default_max_concurrent_logins() -> usize {
    4
}

fn default_idle_timeout_ms() -> u64 {
    600_000
}

fn default_max_lifetime_ms() -> u64 {
    3_600_000
}

fn default_priority_weight() -> f64 {
    1.0
}

impl Config {
    /// Reads the users file: SCRAM verifiers by user name.
    ///
    /// # Errors
    /// [`ConfigError`] if the file cannot be read, is accessible by others, or has a malformed line.
    pub fn read_users(&self) -> Result<BTreeMap<String, Verifier>, ConfigError> {
        let text = read_private(&self.users)?;
        let mut users = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (name, verifier) = parse_user(line).map_err(|problem| ConfigError::Users {
                path: self.users.clone(),
                line: index + 1,
                problem,
            })?;
            users.insert(name.to_owned(), verifier);
        }
        Ok(users)
    }

    /// Reads the password files of the logins.
    ///
    /// # Errors
    /// [`ConfigError`] if no login is configured, or a password file cannot be read or is accessible by others.
    pub fn read_logins(&self) -> Result<Logins, ConfigError> {
        if self.login.is_empty() {
            return Err(ConfigError::NoLogin);
        }
        Logins::read(&self.login)
    }

    /// Validates the section and all files that it names.
    ///
    /// # Errors
    /// The first [`ConfigError`] found.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.site()?;
        self.read_users()?;
        self.read_logins()?;
        self.tls.as_ref().map(ClientTls::acceptor).transpose()?;
        self.server_tls
            .as_ref()
            .map(ServerTls::connector)
            .transpose()?;
        Ok(())
    }

    /// The limits of the connection pool; limits that have to be at least 1 are raised to 1.
    pub fn limits(&self) -> PoolLimits {
        PoolLimits {
            max_connections_per_server: self.max_connections_per_server.max(1),
            max_concurrent_logins: self.max_concurrent_logins.max(1),
            min_idle: self.min_idle,
            idle_timeout: Duration::from_millis(self.idle_timeout_ms),
            max_lifetime: Duration::from_millis(self.max_lifetime_ms),
        }
    }

    /// The class of a client's transactions: the first class that matches, otherwise the last class. `None` if no class
    /// is configured.
    pub fn class_of(&self, user: &str, database: &str, application: &str) -> Option<&Class> {
        self.class
            .iter()
            .find(|class| class.matches(user, database, application))
            .or(self.class.last())
    }

    /// The statically configured servers, as entries of an endpoint list.
    pub fn endpoints(&self) -> Vec<DiscoveredEndpoint> {
        self.server.iter().map(Server::endpoint).collect()
    }
}

impl Server {
    fn endpoint(&self) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            name: self.name.clone(),
            address: self.address,
            zone: self.zone.clone(),
            machine_kind: "postgres".to_owned(),
            cell: 0,
            state: EndpointState::InService,
            size: 1.0,
            started_at_ms: 0,
        }
    }
}

impl Class {
    fn matches(&self, user: &str, database: &str, application: &str) -> bool {
        let is_unset_or_equal = |condition: &Option<String>, value: &str| {
            condition
                .as_deref()
                .is_none_or(|required| required == value)
        };
        is_unset_or_equal(&self.user, user)
            && is_unset_or_equal(&self.database, database)
            && is_unset_or_equal(&self.application, application)
    }
}

/// Parses a line of the users file into a user name and a SCRAM verifier.
fn parse_user(line: &str) -> Result<(&str, Verifier), UserLineError> {
    let (name, verifier) = line.split_once(' ').ok_or(UserLineError::NoVerifier)?;
    let verifier = Verifier::parse(verifier).map_err(|_| UserLineError::UnsupportedVerifier)?;
    Ok((name, verifier))
}

#[cfg(test)]
mod tests;

//! The section `[postgres]` of the operators' file: its keys, and what other modules make of them.

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

/// The section `[postgres]`. Field names follow its keys, or a key is given where they differ.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The node's own zone.
    pub zone: String,
    /// A file with a line for each user, of its name and its SCRAM verifier: `name SCRAM-SHA-256$...`. Only its owner
    /// may access it.
    pub users: PathBuf,
    /// Most clients that have a session.
    #[serde(rename = "clients", default = "default_max_clients")]
    pub max_clients: usize,
    /// Most clients that are connected and not authenticated; with more, the one that is silent longest is evicted.
    #[serde(
        rename = "unidentified",
        default = "default_max_unauthenticated_clients"
    )]
    pub max_unauthenticated_clients: usize,
    /// For how long a server connection is leased.
    #[serde(default)]
    pub pooling: Pooling,
    /// Most connections to one server.
    #[serde(rename = "per_server", default = "default_max_connections_per_server")]
    pub max_connections_per_server: usize,
    /// Most logins in progress at one server.
    #[serde(rename = "logins", default = "default_max_concurrent_logins")]
    pub max_concurrent_logins: usize,
    /// Idle connections kept ready at each server, for each database and login in use.
    #[serde(default)]
    pub min_idle: usize,
    /// A connection that has been idle for this time is closed.
    #[serde(rename = "idle_close_ms", default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// A connection is closed at this age, a quarter more or less.
    #[serde(rename = "lifetime_ms", default = "default_max_lifetime_ms")]
    pub max_lifetime_ms: u64,
    /// The node's logins at the servers.
    pub login: Vec<Login>,
    /// Who may come to which database from where; without rules, all users.
    #[serde(rename = "allow", default)]
    pub access_rules: Vec<AccessRule>,
    /// TLS towards clients; without it, a client's request for TLS is refused.
    pub tls: Option<ClientTls>,
    /// TLS towards servers; without it, connections to them are not encrypted.
    pub server_tls: Option<ServerTls>,
    /// Users who may use the console, which is the database `badgerpost`.
    #[serde(rename = "console", default)]
    pub console_users: Vec<String>,
    /// Where an endpoint list with further servers is, in the platform's form.
    pub discovery: Option<SocketAddr>,
    /// The servers.
    #[serde(default)]
    pub server: Vec<Server>,
    /// The classes of transactions; the first one that matches counts, and the last one where none does.
    pub class: Vec<Class>,
}

/// For how long a server connection is leased.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pooling {
    /// For a transaction.
    #[default]
    Transaction,
    /// From a session's first transaction to the session's end.
    Session,
}

/// The pool's limits.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Most connections to one server, at least one.
    pub max_connections_per_server: usize,
    /// Most logins in progress at one server, at least one.
    pub max_concurrent_logins: usize,
    /// Idle connections kept ready at each server, for each database and login in use.
    pub min_idle: usize,
    /// A connection that has been idle for this time is closed.
    pub idle_timeout: Duration,
    /// A connection is closed at this age, a quarter more or less.
    pub max_lifetime: Duration,
}

/// A server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// A class of transactions. It matches clients that fit all conditions that are set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The client's user.
    pub user: Option<String>,
    /// The client's database.
    pub database: Option<String>,
    /// The client's `application_name`.
    pub application: Option<String>,
    /// A response within this time has its full value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// A transaction that takes longer is aborted.
    pub deadline_ms: u64,
    /// The value of its transactions, compared with those of other classes.
    #[serde(rename = "worth", default = "default_priority_weight")]
    pub priority_weight: f64,
    /// Whether a single statement may run twice, and so be retried though it may have run.
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
    /// Reads the users and their verifiers.
    ///
    /// # Errors
    /// [`ConfigError`] if the file can't be read, others than its owner may access it, or a line is malformed.
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

    /// Reads the logins' passwords.
    ///
    /// # Errors
    /// [`ConfigError`] if there is no login, or a password's file can't be used.
    pub fn read_logins(&self) -> Result<Logins, ConfigError> {
        if self.login.is_empty() {
            return Err(ConfigError::NoLogin);
        }
        Logins::read(&self.login)
    }

    /// Reads all files that the section names, to check them.
    ///
    /// # Errors
    /// [`ConfigError`] for the first that can't be used.
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

    /// The pool's limits.
    pub fn limits(&self) -> PoolLimits {
        PoolLimits {
            max_connections_per_server: self.max_connections_per_server.max(1),
            max_concurrent_logins: self.max_concurrent_logins.max(1),
            min_idle: self.min_idle,
            idle_timeout: Duration::from_millis(self.idle_timeout_ms),
            max_lifetime: Duration::from_millis(self.max_lifetime_ms),
        }
    }

    /// The class of a client's transactions: the first one that matches, otherwise the last one.
    pub fn class_of(&self, user: &str, database: &str, application: &str) -> Option<&Class> {
        self.class
            .iter()
            .find(|class| class.matches(user, database, application))
            .or(self.class.last())
    }

    /// The servers of the section, as entries of an endpoint list.
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
        let is_any_or = |condition: &Option<String>, value: &str| {
            condition.as_deref().is_none_or(|wanted| wanted == value)
        };
        is_any_or(&self.user, user)
            && is_any_or(&self.database, database)
            && is_any_or(&self.application, application)
    }
}

/// Reads a line of the users' file.
fn parse_user(line: &str) -> Result<(&str, Verifier), UserLineError> {
    let (name, verifier) = line.split_once(' ').ok_or(UserLineError::NoVerifier)?;
    let verifier = Verifier::parse(verifier).map_err(|_| UserLineError::UnsupportedVerifier)?;
    Ok((name, verifier))
}

#[cfg(test)]
mod tests;

//! The section `[postgres]` of the operators' own file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use badgerpost_balancer::EndpointState;
use badgerpost_engine::DiscoveredEndpoint;
use badgerpost_postgres_session::scram::Verifier;
use badgerpost_settings::Site;
use badgerpost_settings::private_file::{self, PrivateFileError};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::access::{Allow, Login, Logins};
use crate::tls::{ClientTls, ServerTls};

/// What the front is told.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The node's own zone.
    pub zone: String,
    /// Users and their SCRAM verifiers, a line each: `name SCRAM-SHA-256$...`. Nobody else may read the file.
    pub users: PathBuf,
    /// Clients that may have a session together.
    #[serde(default = "clients")]
    pub clients: usize,
    /// Clients that may be connected without having shown who they are; of more, the longest silent go.
    #[serde(default = "unidentified")]
    pub unidentified: usize,
    /// Whether a server connection is leased for a transaction or for a session.
    #[serde(default)]
    pub pooling: Pooling,
    /// Connections to one server, at most.
    #[serde(default = "per_server")]
    pub per_server: usize,
    /// Logins to one server that may be under way together.
    #[serde(default = "logins")]
    pub logins: usize,
    /// Idle connections that are kept ready at each server, for each database and login in use.
    #[serde(default)]
    pub min_idle: usize,
    /// An idle connection is closed after this.
    #[serde(default = "idle_close_ms")]
    pub idle_close_ms: u64,
    /// A connection is closed after this, a quarter more or less.
    #[serde(default = "lifetime_ms")]
    pub lifetime_ms: u64,
    /// Who the node is to the servers: a login for each client, or one for all that no other names.
    pub login: Vec<Login>,
    /// Who may come to which database from where; all users if there is no rule.
    #[serde(default)]
    pub allow: Vec<Allow>,
    /// TLS towards clients; without it a request for TLS is answered no.
    pub tls: Option<ClientTls>,
    /// TLS towards servers; without it they are reached in the clear.
    pub server_tls: Option<ServerTls>,
    /// Users who may use the console: the database `badgerpost`.
    #[serde(default)]
    pub console: Vec<String>,
    /// Where a list of servers is, in the platform's form; its entries join those of `server`.
    pub discovery: Option<SocketAddr>,
    /// The servers.
    #[serde(default)]
    pub server: Vec<Server>,
    /// The classes; the first one that fits counts. What fits none is of the last one.
    pub class: Vec<Class>,
}

/// For how long a server connection is leased.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pooling {
    /// For a transaction.
    #[default]
    Transaction,
    /// From a session's first transaction to its end.
    Session,
}

/// The pool's bounds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections to one server.
    pub per_server: usize,
    /// Logins to one server under way.
    pub logins: usize,
    /// Idle connections kept ready.
    pub min_idle: usize,
    /// An idle one is closed after this.
    pub idle_close: Duration,
    /// Any one is closed after this, a quarter more or less.
    pub lifetime: Duration,
}

fn clients() -> usize {
    1000
}

fn unidentified() -> usize {
    256
}

fn per_server() -> usize {
    20
}

fn logins() -> usize {
    4
}

fn idle_close_ms() -> u64 {
    600_000
}

fn lifetime_ms() -> u64 {
    3_600_000
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

/// A class of transactions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Of this user; any if left out, and so on.
    pub user: Option<String>,
    /// In this database.
    pub database: Option<String>,
    /// By an application of this name.
    pub application: Option<String>,
    /// An answer within this time is of full worth.
    pub aim_ms: u64,
    /// A transaction is given up after this.
    pub deadline_ms: u64,
    /// Its worth against other classes'.
    #[serde(default = "worth")]
    pub worth: f64,
    /// A statement that stands alone may be sent again though it may have run.
    #[serde(default)]
    pub repeatable: bool,
}

fn worth() -> f64 {
    1.0
}

/// Why the section can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A file that it names can't be read.
    #[error("postgres: {}: {source}", path.display())]
    Unread {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// A file with secrets that others may read.
    #[error("postgres: {}: others may read it; its mode must be 0600", .0.display())]
    Open(PathBuf),
    /// A line of the users' file.
    #[error("postgres: {}:{line}: {problem}", path.display())]
    Users {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What is wrong. Never the line itself.
        problem: &'static str,
    },
    /// Something else.
    #[error("postgres: {0}")]
    Wrong(String),
}

/// Reads a file that only its owner may read.
pub(crate) fn secret(path: &Path) -> Result<String, ConfigError> {
    private_file::read(path).map_err(|error| not_private(path, error))
}

/// Whether only its owner may read a file.
pub(crate) fn check_private(path: &Path) -> Result<(), ConfigError> {
    private_file::check(path).map_err(|error| not_private(path, error))
}

fn not_private(path: &Path, error: PrivateFileError) -> ConfigError {
    let path = path.to_owned();
    match error {
        PrivateFileError::Unreadable(source) => ConfigError::Unread { path, source },
        PrivateFileError::AccessibleByOthers => ConfigError::Open(path),
    }
}

impl Config {
    /// The users.
    pub fn read_users(&self) -> Result<BTreeMap<String, Verifier>, ConfigError> {
        let mut users = BTreeMap::new();
        for (number, line) in secret(&self.users)?.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = |problem| ConfigError::Users {
                path: self.users.clone(),
                line: number + 1,
                problem,
            };
            let (name, verifier_text) = line
                .split_once(' ')
                .ok_or_else(|| wrong("a name and a verifier"))?;
            let verifier = Verifier::parse(verifier_text).map_err(|_| {
                wrong("only SCRAM-SHA-256 verifiers are taken, no passwords, no md5")
            })?;
            users.insert(name.to_owned(), verifier);
        }
        Ok(users)
    }

    /// The logins, with their passwords.
    pub fn read_logins(&self) -> Result<Logins, ConfigError> {
        if self.login.is_empty() {
            return Err(ConfigError::Wrong(
                "there must be a [[postgres.login]]".to_owned(),
            ));
        }
        Logins::read(&self.login)
    }

    /// Reads all files that the section names, and says what is wrong with them.
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

    /// The pool's bounds.
    pub fn limits(&self) -> Limits {
        Limits {
            per_server: self.per_server.max(1),
            logins: self.logins.max(1),
            min_idle: self.min_idle,
            idle_close: Duration::from_millis(self.idle_close_ms),
            lifetime: Duration::from_millis(self.lifetime_ms),
        }
    }

    /// The settings of the decision module for this fleet. Each class stands there once as it is and, where its
    /// statements may be repeated, a second time for those.
    pub fn site(&self) -> Result<Site, ConfigError> {
        if self.class.is_empty() || (self.server.is_empty() && self.discovery.is_none()) {
            return Err(ConfigError::Wrong(
                "there must be a [[postgres.class]], and a [[postgres.server]] or discovery"
                    .to_owned(),
            ));
        }
        let mut zones = vec![self.zone.clone()];
        for server in &self.server {
            if !zones.contains(&server.zone) {
                zones.push(server.zone.clone());
            }
        }
        let class = |class: &Class| {
            let of = |name: String, effect: &str| {
                json!({"name": name, "effect": effect, "on-time-ns": class.aim_ms * 1_000_000,
                    "deadline-ns": class.deadline_ms * 1_000_000, "importance": class.worth})
            };
            let mut all = vec![of(class.name.clone(), "once")];
            all.extend(
                class
                    .repeatable
                    .then(|| of(repeatable(&class.name), "repeatable")),
            );
            all
        };
        let classes: Vec<Value> = self.class.iter().flat_map(class).collect();
        let settings = json!({"az": self.zone, "zones": zones, "discovery": "pushed", "classes": classes,
            "goal": {}, "policy-limits": {"attempts-cap": 3, "may-cancel": true, "second-copies": false,
                "probes": false, "retry-after": true, "max-retry-after-ns": 1_000_000_000_u64},
            "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": 500_000_000, "fall-ns": 1_500_000_000,
                "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000_u64}});
        let mut site = badgerpost_settings::read(&settings)
            .map_err(|error| ConfigError::Wrong(error.to_string()))?;
        // A server works on as many transactions as it has connections; so few more wait for one of these that
        // the module, not the pool, has the order of those that wait.
        site.settings.max_queue_per_size = self.per_server.max(1) as f64 * 1.25;
        site.settings
            .validate()
            .map_err(|error| ConfigError::Wrong(error.to_string()))?;
        Ok(site)
    }

    /// The class of a client's transactions.
    pub fn class_of(&self, user: &str, database: &str, application: &str) -> Option<&Class> {
        let fits = |class: &&Class| {
            let same = |wanted: &Option<String>, is: &str| {
                wanted.as_deref().is_none_or(|wanted| wanted == is)
            };
            same(&class.user, user)
                && same(&class.database, database)
                && same(&class.application, application)
        };
        self.class.iter().find(fits).or(self.class.last())
    }

    /// The servers as the engine is told of them.
    pub fn listed(&self) -> Vec<DiscoveredEndpoint> {
        let listed = |server: &Server| DiscoveredEndpoint {
            name: server.name.clone(),
            address: server.address,
            zone: server.zone.clone(),
            machine_kind: "postgres".to_owned(),
            cell: 0,
            state: EndpointState::InService,
            size: 1.0,
            started_at_ms: 0,
        };
        self.server.iter().map(listed).collect()
    }
}

/// The name of a class's repeatable half.
pub fn repeatable(name: &str) -> String {
    format!("{name}, repeatable")
}

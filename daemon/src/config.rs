//! What a node is told: the platform's configuration, in JSON under `EDGE_CONFIG`, and the operators' own file,
//! in TOML under `--config`, which switches on what the platform's knows nothing of.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use badgerpost_http::endpoint_list::EndpointList;
use badgerpost_settings::{Site, file};
use serde::Deserialize;

/// What the platform tells a node.
#[derive(Deserialize)]
pub struct Edge {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the platform's list of servers is.
    pub discovery: SocketAddr,
    /// Where operators call, if they do; `$EDGE_CONSOLE` where the file does not say.
    pub console: Option<SocketAddr>,
    /// For random numbers, in hexadecimal.
    seed: String,
    limits: Limits,
    /// The list as the node last had it.
    pub known: Option<EndpointList>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "usual_memory")]
    memory_mb: usize,
}

/// What a node has on the platform's scored days.
fn usual_memory() -> usize {
    192
}

/// What the operators switch on; off by default, all of it.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Own {
    /// How the node logs.
    #[serde(default)]
    pub log: Log,
    /// A clock in the hands of a rehearsal.
    pub rehearsal: Option<Rehearsal>,
    /// The watch over the zones.
    pub zones: Option<Zones>,
    /// What this node and the others of its fleet say to each other.
    pub peers: Option<badgerpost_gossip::Config>,
    /// A front for PostgreSQL.
    pub postgres: Option<badgerpost_postgres::config::Config>,
}

/// The watch over the zones: `docs/operators/zones.md`.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zones {
    /// Whether it is on.
    pub watch: bool,
}

/// How the node logs, to standard error.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Log {
    /// The form of a line.
    #[serde(default)]
    pub format: LogFormat,
}

/// The form of a line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people: time, level, place, the fields, the message.
    #[default]
    Text,
    /// One JSON object a line: `timestamp` (RFC 3339), `level`, `target`, and `fields` with the `message` among them.
    Json,
}

/// A stepped clock. Never for service.
#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rehearsal {
    /// Where the rehearsal kit waits for the node, on a loopback address.
    pub control: SocketAddr,
    /// Unix time at which the clock stands at first, in nanoseconds.
    pub start_ns: u64,
}

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file can't be read.
    #[error("configuration {}: {source}", path.display())]
    Unread {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// It is not what the platform writes.
    #[error("configuration {}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// `$EDGE_CONSOLE` is no address.
    #[error("configuration: EDGE_CONSOLE: {0:?} is not an address and port")]
    Console(String),
    /// Its seed is none.
    #[error("configuration: seed {0:?} is not a hexadecimal number of 64 bits")]
    Seed(String),
    /// The node can't work with so few.
    #[error("configuration: limits.sockets: {0} descriptors are too few")]
    Sockets(usize),
    /// Its settings can't be used.
    #[error("configuration: {0}")]
    Settings(String),
    /// The operators' file can't be used.
    #[error("configuration {0}")]
    Own(#[from] file::FileError),
    /// The section for PostgreSQL can't be used.
    #[error("configuration: {0}")]
    Postgres(#[from] badgerpost_postgres::config::ConfigError),
    /// The section for the peers can't be used.
    #[error("configuration: {0}")]
    Peers(#[from] badgerpost_gossip::ConfigError),
    /// A rehearsal must reach nothing outside this machine.
    #[error(
        "rehearsal: {what} is at {at}; with a stepped clock every address must be a loopback address"
    )]
    NotLoopback {
        /// What is there.
        what: String,
        /// Where.
        at: SocketAddr,
    },
}

/// The fewest descriptors that a node works with.
const SOCKETS_LEAST: usize = 32;
/// What it needs itself, whatever clients do: ten for standard streams, the event loop, signals and the listener, eight
/// for calls to discovery that are made beside each other, one for a client that waits for a place, one for a file.
const SOCKETS_OWN: usize = 20;
/// The same for the operators' console and the way to the next version.
const SOCKETS_CONSOLE: usize = 24;

impl Edge {
    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let path = path.to_owned();
        let text = match std::fs::read(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unread { path, source }),
        };
        let mut edge: Self = serde_json::from_slice(&text)
            .map_err(|source| ConfigError::Malformed { path, source })?;
        if edge.console.is_none()
            && let Ok(at) = std::env::var("EDGE_CONSOLE")
            && !at.is_empty()
        {
            edge.console = Some(at.parse().map_err(|_| ConfigError::Console(at))?);
        }
        Ok(edge)
    }

    /// The settings, in the module's words.
    pub fn site(&self) -> Result<Site, ConfigError> {
        let site = badgerpost_settings::read(&self.settings)
            .map_err(|error| ConfigError::Settings(error.to_string()))?;
        site.settings
            .validate()
            .map_err(|error| ConfigError::Settings(error.to_string()))?;
        Ok(site)
    }

    /// The seed.
    pub fn seed(&self) -> Result<u64, ConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| ConfigError::Seed(self.seed.clone()))
    }

    /// Bytes for bodies that are held whole: a quarter of the memory. The rest is for the buffers of connections, of
    /// which there may be as many as descriptors, and for the node's own.
    pub fn bodies(&self) -> usize {
        self.limits.memory_mb.saturating_mul(1024 * 1024 / 4)
    }

    /// Descriptors for clients and for backends: a half and three eighths of all, and less where that would not leave
    /// the node its own. Connections to backends pass their share by an eighth while old ones end.
    pub fn shares(&self) -> Result<(usize, usize), ConfigError> {
        let sockets = self.limits.sockets;
        if sockets < SOCKETS_LEAST {
            return Err(ConfigError::Sockets(sockets));
        }
        let own = SOCKETS_OWN + self.console.map_or(0, |_| SOCKETS_CONSOLE);
        // Halves, eighths and that eighth, in sixty-fourths: 32 + 24 + 3.
        let rest = sockets.saturating_sub(own);
        let clients = (sockets / 2).min(rest * 32 / 59).max(1);
        Ok((clients, (sockets * 3 / 8).min(rest * 24 / 59).max(1)))
    }
}

/// Both files, checked.
pub struct Config {
    /// The platform's.
    pub edge: Edge,
    /// The operators'.
    pub own: Own,
}

impl Config {
    /// Reads and checks both.
    pub fn read(edge: &Path, own: Option<&Path>) -> Result<Self, ConfigError> {
        let config = Self {
            edge: Edge::read(edge)?,
            own: own.map(file::read).transpose()?.unwrap_or_default(),
        };
        let site = config.edge.site()?;
        config.edge.seed()?;
        config.edge.shares()?;
        if let Some(postgres) = &config.own.postgres {
            postgres.check()?;
        }
        if let Some(peers) = &config.own.peers {
            let watched = config.own.zones.is_some_and(|zones| zones.watch);
            peers.check(site.gossip_allowed, watched, site.settings.zone_count)?;
        }
        if config.own.rehearsal.is_some() {
            config.check_loopback()?;
        }
        Ok(config)
    }

    fn check_loopback(&self) -> Result<(), ConfigError> {
        let Edge {
            listen,
            discovery,
            known,
            ..
        } = &self.edge;
        let named = [
            ("the listener".to_owned(), *listen),
            ("discovery".to_owned(), *discovery),
        ];
        let console = self.edge.console.map(|at| ("the console".to_owned(), at));
        let known = known.iter().flat_map(EndpointList::endpoints);
        let known = known.map(|(uid, at)| (format!("the known server {uid}"), at));
        let postgres = self.own.postgres.iter().flat_map(|postgres| {
            let servers = postgres
                .server
                .iter()
                .map(|server| (format!("the server {}", server.name), server.address));
            let list = postgres
                .discovery
                .map(|at| ("the list of PostgreSQL servers".to_owned(), at));
            servers
                .chain([("the PostgreSQL listener".to_owned(), postgres.listen)])
                .chain(list)
        });
        let peers = self
            .own
            .peers
            .iter()
            .flat_map(badgerpost_gossip::Config::addresses);
        let peers = peers.map(|(key, at)| (key.to_owned(), at));
        match named
            .into_iter()
            .chain(console)
            .chain(peers)
            .chain(known)
            .chain(postgres)
            .find(|(_, at)| !at.ip().is_loopback())
        {
            Some((what, at)) => Err(ConfigError::NotLoopback { what, at }),
            None => Ok(()),
        }
    }

    /// What will run, a line each.
    pub fn plan(&self) -> Vec<String> {
        let Edge {
            name,
            listen,
            discovery,
            known,
            ..
        } = &self.edge;
        let known = known.as_ref().map_or(0, |list| list.endpoints().count());
        let mut lines = vec![
            format!("node {name} takes HTTP/1.1 clients at {listen}"),
            format!("servers: the platform's list at {discovery}, {known} known from before"),
        ];
        lines.extend(
            self.edge
                .console
                .map(|at| format!("console: operators call at {at}")),
        );
        lines.extend(self.own.postgres.iter().map(|postgres| {
            format!(
                "PostgreSQL clients at {}, {} servers, {} classes",
                postgres.listen,
                postgres.server.len(),
                postgres.class.len()
            )
        }));
        if self.own.zones.is_some_and(|zones| zones.watch) {
            lines.push("zones: watched; a failing one is left and returned to by steps".to_owned());
        }
        if let Some(peers) = &self.own.peers {
            let (at, seeds) = (peers.listen, peers.seeds.len());
            lines.push(format!(
                "peers: datagrams at {at}, {seeds} seeds; zones are judged by what all see"
            ));
        }
        if self.own.log.format == LogFormat::Json {
            lines.push("log: JSON, a line each".to_owned());
        }
        lines.push(match self.own.rehearsal {
            Some(rehearsal) => {
                format!(
                    "clock: STEPPED by the rehearsal at {}; not for service",
                    rehearsal.control
                )
            }
            None => "clock: the system's".to_owned(),
        });
        lines
    }
}

//! The section `[peers]` of the operators' own file: `docs/operators/peers.md`.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerpost_membership::{Key, KeyError};
use badgerpost_settings::private_file::{self, PrivateFileError};
use serde::Deserialize;

/// More seeds than this are a mistake: a few of them are enough to join.
const SEEDS_MOST: usize = 16;

/// How a node talks to the others of its fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where it takes their datagrams.
    pub listen: SocketAddr,
    /// Where they send them, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Some of the others, which are asked first.
    pub seeds: Vec<SocketAddr>,
    /// The file with the key that they all have; mode 0600.
    pub key_file: PathBuf,
}

/// Why the section can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform says no.
    #[error("peers: the platform forbids it: settings.policy-limits.peers is not true")]
    Forbidden,
    /// The key's file can't be read.
    #[error("peers.key_file: {}: {source}", path.display())]
    Unread {
        /// The file.
        path: PathBuf,
        /// What happened.
        source: std::io::Error,
    },
    /// Others may read it.
    #[error("peers.key_file: {}: others may read it; its mode must be 0600", .0.display())]
    Open(PathBuf),
    /// It holds no key.
    #[error("peers.key_file: {}: {source}", path.display())]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: KeyError,
    },
    /// Nobody could reach that.
    #[error("peers.{key}: {at}: {wrong}")]
    Address {
        /// The key.
        key: &'static str,
        /// What it says.
        at: SocketAddr,
        /// Why not.
        wrong: &'static str,
    },
    /// Too many.
    #[error("peers.seeds: {0} addresses; at most {SEEDS_MOST}")]
    Seeds(usize),
    /// Without its zones a node has nothing to say.
    #[error("peers: needs `[zones] watch = true`: there is nothing else to say yet")]
    NothingToSay,
    /// More zones than a datagram has numbers for.
    #[error("peers: the settings list {0} zones; at most 255")]
    Zones(u32),
}

impl Config {
    /// Checks it, against what the platform allows and what else is switched on.
    pub fn check(&self, allowed: bool, watched: bool, zones: u32) -> Result<(), ConfigError> {
        if !allowed {
            return Err(ConfigError::Forbidden);
        }
        if !watched {
            return Err(ConfigError::NothingToSay);
        }
        if zones > 255 {
            return Err(ConfigError::Zones(zones));
        }
        if self.seeds.len() > SEEDS_MOST {
            return Err(ConfigError::Seeds(self.seeds.len()));
        }
        if self.advertise.is_none() && self.listen.port() == 0 {
            let wrong = "a port that the others know, or `advertise`";
            return Err(ConfigError::Address {
                key: "listen",
                at: self.listen,
                wrong,
            });
        }
        let advertised = [("advertise", self.advertised())];
        for (key, at) in advertised
            .into_iter()
            .chain(self.seeds.iter().map(|at| ("seeds", *at)))
        {
            if at.ip().is_unspecified() || at.port() == 0 {
                return Err(ConfigError::Address {
                    key,
                    at,
                    wrong: "an address and port of one node",
                });
            }
        }
        self.key().map(|_| ())
    }

    /// Where the others send.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// All addresses that it names, with their keys.
    pub fn addresses(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let own = [
            ("peers.listen", self.listen),
            ("peers.advertise", self.advertised()),
        ];
        own.into_iter()
            .chain(self.seeds.iter().map(|at| ("peers.seeds", *at)))
    }

    /// The key.
    pub fn key(&self) -> Result<Key, ConfigError> {
        let path = || self.key_file.clone();
        let text = private_file::read(&self.key_file).map_err(|error| match error {
            PrivateFileError::Unreadable(source) => ConfigError::Unread {
                path: path(),
                source,
            },
            PrivateFileError::AccessibleByOthers => ConfigError::Open(path()),
        })?;
        Key::parse(&text).map_err(|source| ConfigError::Key {
            path: path(),
            source,
        })
    }
}

//! The section `[peers]` of the operators' own file: `docs/operators/peers.md`.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerpost_membership::{Key, KeyError};
use badgerpost_settings::private_file::{self, PrivateFileError};
use serde::Deserialize;

/// The most seeds. A few of them are enough to join; more are a mistake.
const MAX_SEEDS: usize = 16;
/// The most zones: a datagram has one byte for a zone's number.
const MAX_ZONES: u32 = 255;

/// Gossip between the nodes of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where the node receives datagrams.
    pub listen: SocketAddr,
    /// Where the other nodes send them, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// Addresses of some other nodes, which are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The file with the fleet's key; mode 0600.
    pub key_file: PathBuf,
}

/// Why the section can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform does not permit it.
    #[error("peers: the platform forbids it: settings.policy-limits.peers is not true")]
    Forbidden,
    /// The key file can't be read.
    #[error("peers.key_file: {}: {source}", path.display())]
    UnreadableKeyFile {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Others than its owner may read the key file.
    #[error("peers.key_file: {}: others may read it; its mode must be 0600", .0.display())]
    KeyFileAccessibleByOthers(PathBuf),
    /// The key file holds no key.
    #[error("peers.key_file: {}: {source}", path.display())]
    InvalidKey {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: KeyError,
    },
    /// No node could be reached there.
    #[error("peers.{key}: {address}: {expected}")]
    InvalidAddress {
        /// The configuration key.
        key: &'static str,
        /// Its value.
        address: SocketAddr,
        /// What it has to be.
        expected: &'static str,
    },
    /// There are too many seeds.
    #[error("peers.seeds: {0} addresses; at most {MAX_SEEDS}")]
    TooManySeeds(usize),
    /// Zone monitoring, the only source of gossip, is off.
    #[error("peers: needs `[zones] watch = true`: there is nothing else to say yet")]
    ZonesNotMonitored,
    /// There are more zones than a datagram can number.
    #[error("peers: the settings list {0} zones; at most {MAX_ZONES}")]
    TooManyZones(u32),
}

impl Config {
    /// Checks the section against what the platform permits and what else is switched on.
    ///
    /// # Errors
    ///
    /// The first reason found for which it can't be used.
    pub fn check(
        &self,
        is_permitted: bool,
        monitors_zones: bool,
        zone_count: u32,
    ) -> Result<(), ConfigError> {
        if !is_permitted {
            return Err(ConfigError::Forbidden);
        }
        if !monitors_zones {
            return Err(ConfigError::ZonesNotMonitored);
        }
        if zone_count > MAX_ZONES {
            return Err(ConfigError::TooManyZones(zone_count));
        }
        if self.seeds.len() > MAX_SEEDS {
            return Err(ConfigError::TooManySeeds(self.seeds.len()));
        }
        self.check_addresses()?;
        self.key().map(|_| ())
    }

    /// Checks that datagrams can be sent to the addresses.
    fn check_addresses(&self) -> Result<(), ConfigError> {
        if self.advertise.is_none() && self.listen.port() == 0 {
            return Err(ConfigError::InvalidAddress {
                key: "listen",
                address: self.listen,
                expected: "a port that the others know, or `advertise`",
            });
        }
        let seeds = self.seeds.iter().map(|seed| ("seeds", *seed));
        let unreachable = [("advertise", self.advertised())]
            .into_iter()
            .chain(seeds)
            .find(|(_, address)| address.ip().is_unspecified() || address.port() == 0);
        match unreachable {
            Some((key, address)) => Err(ConfigError::InvalidAddress {
                key,
                address,
                expected: "an address and port of one node",
            }),
            None => Ok(()),
        }
    }

    /// Where the other nodes send datagrams.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// All addresses of the section, with their configuration keys.
    pub fn addresses(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let own = [
            ("peers.listen", self.listen),
            ("peers.advertise", self.advertised()),
        ];
        let seeds = self.seeds.iter().map(|seed| ("peers.seeds", *seed));
        own.into_iter().chain(seeds)
    }

    /// The fleet's key.
    ///
    /// # Errors
    ///
    /// The key file can't be read, may be read by others, or holds no key.
    pub fn key(&self) -> Result<Key, ConfigError> {
        let path = || self.key_file.clone();
        let text = private_file::read(&self.key_file).map_err(|error| match error {
            PrivateFileError::Unreadable(source) => ConfigError::UnreadableKeyFile {
                path: path(),
                source,
            },
            PrivateFileError::AccessibleByOthers => ConfigError::KeyFileAccessibleByOthers(path()),
        })?;
        Key::parse(&text).map_err(|source| ConfigError::InvalidKey {
            path: path(),
            source,
        })
    }
}

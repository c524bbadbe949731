//! The section `[peers]` of the operators' file, which `docs/operators/peers.md` describes.

use std::net::SocketAddr;
use std::path::PathBuf;

use badgerpost_membership::{Key, KeyError};
use badgerpost_settings::private_file::{self, PrivateFileError};
use serde::Deserialize;

/// The maximum number of seeds. A few seeds suffice for joining.
const MAX_SEEDS: usize = 16;
/// The maximum number of zones: a zone's index takes one byte in a datagram.
const MAX_ZONES: u32 = 255;

/// The configuration of gossip between the nodes of a fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address at which this node receives datagrams.
    pub listen: SocketAddr,
    /// The address to which the other nodes send datagrams, if not `listen`.
    pub advertise: Option<SocketAddr>,
    /// The addresses of some other nodes, which this node contacts in order to join.
    pub seeds: Vec<SocketAddr>,
    /// The file with the fleet's authentication key. The file's mode has to be 0600.
    pub key_file: PathBuf,
}

/// The reason why the section `[peers]` is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's settings do not permit gossip.
    #[error("peers: not permitted by the platform: settings.policy-limits.peers is not true")]
    Forbidden,
    /// The key file can't be read.
    #[error("peers.key_file: {}: {source}", path.display())]
    UnreadableKeyFile {
        /// The key file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Other users than the owner can access the key file, whose path this is.
    #[error("peers.key_file: {}: other users can access the file; the mode must be 0600", .0.display())]
    KeyFileAccessibleByOthers(PathBuf),
    /// The key file does not contain a valid key.
    #[error("peers.key_file: {}: {source}", path.display())]
    InvalidKey {
        /// The key file.
        path: PathBuf,
        /// The reason why the key is invalid.
        source: KeyError,
    },
    /// An address is unspecified, or a port is missing.
    #[error("peers.{key}: {address}: must be {expected}")]
    InvalidAddress {
        /// The configuration key within the section.
        key: &'static str,
        /// The configured value.
        address: SocketAddr,
        /// The expected value.
        expected: &'static str,
    },
    /// This number of seeds exceeds the maximum of 16.
    #[error("peers.seeds: {0} addresses; at most {MAX_SEEDS} are allowed")]
    TooManySeeds(usize),
    /// Zone monitoring, whose observations are the only gossip, is off.
    #[error("peers: requires `[zones] watch = true`: nodes gossip only about zones")]
    ZonesNotMonitored,
    /// This number of zones exceeds the maximum of 255.
    #[error("peers: the settings list {0} zones; at most {MAX_ZONES} are allowed with gossip")]
    TooManyZones(u32),
}

impl Config {
    /// Checks the section against the settings: whether the platform permits gossip, whether this node monitors zones,
    /// and the number of zones.
    ///
    /// # Errors
    ///
    /// The first reason found why the section is invalid.
    pub fn check(
        &self,
        is_permitted: bool,
        is_zone_monitoring_on: bool,
        zone_count: u32,
    ) -> Result<(), ConfigError> {
        if !is_permitted {
            return Err(ConfigError::Forbidden);
        }
        if !is_zone_monitoring_on {
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

    /// Checks that every address to which datagrams are sent is specified and has a port.
    fn check_addresses(&self) -> Result<(), ConfigError> {
        if self.advertise.is_none() && self.listen.port() == 0 {
            return Err(ConfigError::InvalidAddress {
                key: "listen",
                address: self.listen,
                expected: "an address with a port other than 0, unless `advertise` is set",
            });
        }
        let seeds = self.seeds.iter().map(|seed| ("seeds", *seed));
        let unreachable = [("advertise", self.advertised_address())]
            .into_iter()
            .chain(seeds)
            .find(|(_, address)| address.ip().is_unspecified() || address.port() == 0);
        match unreachable {
            Some((key, address)) => Err(ConfigError::InvalidAddress {
                key,
                address,
                expected: "the address of one node, with a port other than 0",
            }),
            None => Ok(()),
        }
    }

    /// The address to which the other nodes send datagrams: `advertise`, or else `listen`.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// The addresses of the section with their full configuration keys.
    pub fn addresses(&self) -> impl Iterator<Item = (&'static str, SocketAddr)> {
        let own = [
            ("peers.listen", self.listen),
            ("peers.advertise", self.advertised_address()),
        ];
        let seeds = self.seeds.iter().map(|seed| ("peers.seeds", *seed));
        own.into_iter().chain(seeds)
    }

    /// Reads the fleet's authentication key from the key file.
    ///
    /// # Errors
    ///
    /// The key file can't be read, is accessible by other users, or does not contain a valid key.
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

//! The check that a node with a virtual clock reaches nothing outside this machine.

use std::net::SocketAddr;

use badgerpost_http::endpoint_list::List;

use super::{Config, ConfigError};

/// An address in the configuration, with what it is of.
type NamedAddress = (String, SocketAddr);

impl Config {
    /// Checks that all addresses are loopback addresses.
    ///
    /// # Errors
    ///
    /// The first address that is not.
    pub(super) fn check_loopback(&self) -> Result<(), ConfigError> {
        let outside = self
            .platform_addresses()
            .chain(self.peer_addresses())
            .chain(self.known_endpoint_addresses())
            .chain(self.postgres_addresses())
            .find(|(_, address)| !address.ip().is_loopback());
        match outside {
            Some((what, address)) => Err(ConfigError::NotLoopback { what, address }),
            None => Ok(()),
        }
    }

    fn platform_addresses(&self) -> impl Iterator<Item = NamedAddress> {
        let listener = ("the listener".to_owned(), self.platform.listen);
        let discovery = ("discovery".to_owned(), self.platform.discovery);
        let console = self.platform.console;
        let console = console.map(|address| ("the console".to_owned(), address));
        [listener, discovery].into_iter().chain(console)
    }

    fn peer_addresses(&self) -> impl Iterator<Item = NamedAddress> {
        self.operator
            .peers
            .iter()
            .flat_map(badgerpost_gossip::Config::addresses)
            .map(|(key, address)| (key.to_owned(), address))
    }

    fn known_endpoint_addresses(&self) -> impl Iterator<Item = NamedAddress> {
        self.platform
            .known
            .iter()
            .flat_map(List::endpoints)
            .map(|(name, address)| (format!("the known server {name}"), address))
    }

    fn postgres_addresses(&self) -> impl Iterator<Item = NamedAddress> {
        self.operator.postgres.iter().flat_map(|postgres| {
            let servers = postgres
                .server
                .iter()
                .map(|server| (format!("the server {}", server.name), server.address));
            let listener = ("the PostgreSQL listener".to_owned(), postgres.listen);
            let discovery = postgres
                .discovery
                .map(|address| ("the list of PostgreSQL servers".to_owned(), address));
            servers.chain([listener]).chain(discovery)
        })
    }
}

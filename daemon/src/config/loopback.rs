//! Checks that a node with a virtual clock is configured with loopback addresses only, so that it reaches nothing
//! outside this machine.

use std::net::SocketAddr;

use badgerpost_http::endpoint_list::EndpointList;

use super::error::ConfigError;
use super::operator::OperatorConfig;
use super::platform::PlatformConfig;

/// A description for error messages, and the address that it describes.
type NamedAddress = (String, SocketAddr);

/// Checks that all addresses in both files are loopback addresses.
///
/// # Errors
///
/// The first address outside this machine.
pub(super) fn check_loopback(
    platform: &PlatformConfig,
    operator: &OperatorConfig,
) -> Result<(), ConfigError> {
    let outside = platform_addresses(platform)
        .chain(peer_addresses(operator))
        .chain(known_endpoint_addresses(platform))
        .chain(postgres_addresses(operator))
        .find(|(_, address)| !address.ip().is_loopback());
    match outside {
        Some((what, address)) => Err(ConfigError::NotLoopback { what, address }),
        None => Ok(()),
    }
}

fn platform_addresses(platform: &PlatformConfig) -> impl Iterator<Item = NamedAddress> {
    let listener = ("the HTTP listener".to_owned(), platform.listen);
    let discovery = ("discovery".to_owned(), platform.discovery);
    let console = platform
        .console
        .map(|address| ("the console".to_owned(), address));
    [listener, discovery].into_iter().chain(console)
}

fn peer_addresses(operator: &OperatorConfig) -> impl Iterator<Item = NamedAddress> {
    operator
        .peers
        .iter()
        .flat_map(badgerpost_gossip::Config::addresses)
        .map(|(key, address)| (key.to_owned(), address))
}

fn known_endpoint_addresses(platform: &PlatformConfig) -> impl Iterator<Item = NamedAddress> {
    platform
        .known_endpoints
        .iter()
        .flat_map(EndpointList::endpoints)
        .map(|(name, address)| (format!("the known endpoint {name}"), address))
}

fn postgres_addresses(operator: &OperatorConfig) -> impl Iterator<Item = NamedAddress> {
    operator.postgres.iter().flat_map(|postgres| {
        let servers = postgres.server.iter().map(|server| {
            (
                format!("the PostgreSQL server {}", server.name),
                server.address,
            )
        });
        let listener = ("the PostgreSQL listener".to_owned(), postgres.listen);
        let discovery = postgres
            .discovery
            .map(|address| ("discovery of PostgreSQL servers".to_owned(), address));
        servers.chain([listener]).chain(discovery)
    })
}

//! Stand-ins for a node's peers. The models ([`server`], [`discovery`], [`client`]) do no I/O and take the time
//! as it is told; [`net`] puts them on loopback sockets, on one thread, in stepped or in real time. [`scripted`]
//! is for tests that write out each byte of a peer by hand.

pub mod client;
pub mod database;
pub mod discovery;
pub mod message;
pub mod net;
pub mod random;
pub mod scripted;
pub mod server;
pub mod slow_connect;
pub mod system_faults;

use std::path::PathBuf;

/// A program of this workspace is not there.
#[derive(Debug, thiserror::Error)]
#[error("{} is not built: `cargo build --workspace` builds it, with --release where this one was", .0.display())]
pub struct NotBuilt(PathBuf);

/// A program of this workspace, beside the one that runs, or beside the tests of it.
pub fn program(name: &str) -> Result<PathBuf, NotBuilt> {
    let own = std::env::current_exe().unwrap_or_default();
    let beside = own.parent().map(PathBuf::from).unwrap_or_default();
    let places = [beside.join(name), beside.join("..").join(name)];
    let found = places
        .iter()
        .find(|path| path.is_file())
        .and_then(|path| path.canonicalize().ok());
    found.ok_or_else(|| NotBuilt(places[0].clone()))
}

/// Where a node listens, from the line of its log that says so.
pub fn listens_at(line: &str) -> Option<std::net::SocketAddr> {
    let (_, fields) = line.split_once("serving node=")?;
    fields
        .split_whitespace()
        .find_map(|field| field.strip_prefix("listen="))?
        .parse()
        .ok()
}

//! Fakes of a node's peers for tests. The models ([`server`], [`discovery`], [`client`]) do no I/O and are told the time;
//! [`net`] connects them to loopback sockets on one thread, on the virtual or the real clock. [`scripted`] is for tests
//! that write each byte of a peer by hand, [`database`] a PostgreSQL server in memory, [`system_faults`] what the
//! operating system does wrong.

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

/// A program of this workspace has not been built.
#[derive(Debug, thiserror::Error)]
#[error("{} is not built: `cargo build --workspace` builds it, with --release where this one was", .0.display())]
pub struct NotBuilt(PathBuf);

/// The path of a program of this workspace: in the folder of the running program or, for tests, in the one above it.
pub fn program(name: &str) -> Result<PathBuf, NotBuilt> {
    let running = std::env::current_exe().unwrap_or_default();
    let folder = running.parent().map(PathBuf::from).unwrap_or_default();
    let candidates = [folder.join(name), folder.join("..").join(name)];
    let found = candidates
        .iter()
        .find(|path| path.is_file())
        .and_then(|path| path.canonicalize().ok());
    found.ok_or_else(|| NotBuilt(candidates[0].clone()))
}

/// The address at which a node listens, from the log line that reports it; none for other lines.
pub fn listens_at(line: &str) -> Option<std::net::SocketAddr> {
    let (_, fields) = line.split_once("serving node=")?;
    fields
        .split_whitespace()
        .find_map(|field| field.strip_prefix("listen="))?
        .parse()
        .ok()
}

//! Fakes of a node's peers for tests:
//!
//! - [`server`], [`discovery`] and [`client`] are models that do no I/O; [`net`] provides loopback sockets for them,
//!   polled on one thread, on the virtual or the real clock.
//! - [`scripted`] has peers whose bytes are written out in the test, with a thread for each connection, and starts
//!   nodes as processes; [`slow_connect`] is a backend to which connects succeed late; [`small_buffers`] makes
//!   connections of slow readers.
//! - [`database`] is an in-memory PostgreSQL server.
//! - [`system_faults`] injects system call faults into a process.

pub mod client;
pub mod database;
pub mod discovery;
pub mod message;
pub mod net;
pub mod random;
pub mod scripted;
pub mod server;
pub mod slow_connect;
pub mod small_buffers;
pub mod system_faults;

use std::path::PathBuf;

/// A program of this workspace is missing at this path: it has not been built.
#[derive(Debug, thiserror::Error)]
#[error("{} does not exist: build it with `cargo build --workspace`, for release builds with --release", .0.display())]
pub struct NotBuilt(PathBuf);

/// The path of a program of this workspace: in the folder of the running program or, for tests, in the parent folder.
///
/// # Errors
///
/// Neither folder has a file of this name.
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

/// The address at which a node listens, parsed from the log line that reports it; `None` for other lines.
pub fn listens_at(line: &str) -> Option<std::net::SocketAddr> {
    let (_, fields) = line.split_once("serving node=")?;
    fields
        .split_whitespace()
        .find_map(|field| field.strip_prefix("listen="))?
        .parse()
        .ok()
}

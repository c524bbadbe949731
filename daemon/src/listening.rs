//! Opens listening sockets. Calls that fail for lack of system resources are retried for a limited time, so that a
//! brief shortage delays the node's start and does not prevent it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_engine::{Clock, nanos};
use rustix::io::Errno;
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of established connections in the accept queue.
const ACCEPT_BACKLOG: u32 = 1024;
/// Time limit of the retries: a node has to be ready within seconds of its start.
const RETRY_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Errors that are retried: exhausted descriptors, buffers or memory, and interrupted calls.
const TRANSIENT_ERRORS: [Errno; 5] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::INTR,
];

/// Calls `open` until it succeeds, fails with a permanent error, or [`RETRY_TIMEOUT`] has passed.
///
/// # Errors
///
/// The first permanent error, or the last transient error before the timeout.
pub async fn retry_transient<T>(
    clock: &Clock,
    mut open: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let retries_end_at = clock.now().saturating_add(nanos(RETRY_TIMEOUT));
    loop {
        match open() {
            Err(error) if is_transient(&error) && clock.now() < retries_end_at => {
                tracing::warn!(%error, "opening a listening socket failed with a transient error; retrying");
            }
            result => return result,
        }
        clock.sleep(RETRY_INTERVAL).await;
    }
}

fn is_transient(error: &io::Error) -> bool {
    TRANSIENT_ERRORS
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// Opens a TCP listener at `address`. `shares_port` permits other processes of the same user to listen at that address
/// too (`SO_REUSEPORT`).
///
/// # Errors
///
/// As for [`retry_transient`].
pub async fn listen(
    clock: &Clock,
    address: SocketAddr,
    shares_port: bool,
) -> io::Result<TcpListener> {
    retry_transient(clock, || open_listener(address, shares_port)).await
}

fn open_listener(address: SocketAddr, shares_port: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // Permits a restart while connections of the previous process are in the TIME-WAIT state.
    socket.set_reuseaddr(true)?;
    if shares_port {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

//! Opens listeners. Where the system is short of what a socket needs, the call is retried for a while: a node that does
//! not start is worse than one that starts late.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_engine::{Clock, nanos};
use rustix::io::Errno;
use tokio::net::{TcpListener, TcpSocket};

/// The most connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// A start that takes longer has failed: nodes are to be ready within seconds.
const RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Errors that pass: the system, or the process, is short of something, or a call was interrupted.
const TRANSIENT_ERRORS: [Errno; 5] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::INTR,
];

/// Calls `open` until it succeeds or fails for good.
///
/// # Errors
///
/// An error that does not pass, or the last one that might have.
pub async fn retry_transient<T>(
    clock: &Clock,
    mut open: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let give_up_at = clock.now().saturating_add(nanos(RETRY_TIMEOUT));
    loop {
        match open() {
            Err(error) if is_transient(&error) && clock.now() < give_up_at => {
                tracing::warn!(%error, "opening a listener failed; it is retried");
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

/// Listens at an address. `shares_port` permits other processes of this user to listen there as well.
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
    // A restart must not wait until the system has forgotten the connections of the process before.
    socket.set_reuseaddr(true)?;
    if shares_port {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

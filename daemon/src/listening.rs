//! Opens listeners. Where the system is short of what a socket takes, it is asked again for a while: a node that does not
//! start is worse than one that starts late.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use badgerpost_engine::Clock;
use rustix::io::Errno;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// A start that takes longer has failed: nodes are to be ready within seconds.
const MAX_WAIT: Duration = Duration::from_secs(4);
/// Wait before the system is asked again.
const RETRY_WAIT: Duration = Duration::from_millis(20);
/// Errors that pass: the system, or the process, is short of something.
const TRANSIENT: [Errno; 5] = [
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
pub async fn open_patiently<T>(
    clock: &Clock,
    mut open: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let give_up_at = clock
        .now()
        .saturating_add(badgerpost_engine::nanos(MAX_WAIT));
    loop {
        match open() {
            Err(error) if is_transient(&error) && clock.now() < give_up_at => {
                tracing::warn!(%error, "a listener can't be opened yet");
            }
            result => return result,
        }
        clock.sleep(RETRY_WAIT).await;
    }
}

fn is_transient(error: &io::Error) -> bool {
    TRANSIENT
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// Listens at this address; beside another process there, where that is wanted.
pub async fn listen(clock: &Clock, at: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    open_patiently(clock, || listen_once(at, beside)).await
}

fn listen_once(at: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart must not wait for the last life's connections to leave the system's tables.
    socket.set_reuseaddr(true)?;
    if beside {
        socket.set_reuseport(true)?;
    }
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

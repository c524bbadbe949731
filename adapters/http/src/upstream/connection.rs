//! A connection to a backend: how it is opened, and whether it can be reused.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::Outcome;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::io::Errno;

use badgerpost_engine::{Clock, ConnectionGuard, IdleCheck, Metrics, TcpStream, activity, spawn};

use super::response_activity::ResponseActivity;
use crate::observed_stream::ObservedStream;
use crate::upload::OutgoingBody;

/// Largest response head that is accepted.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header lines that a response may have.
const MAX_RESPONSE_HEADERS: usize = 64;

/// Why no new connection to a backend could be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error(
        "the backend's address is not a loopback address, and the node runs on a test-controlled clock"
    )]
    NotLoopback,
    #[error("the limit on open connections to backends is reached")]
    TooManyConnections,
    #[error("the backend did not accept the connection before the connect timeout")]
    TimedOut,
    #[error("the backend closed the new connection before a request was written")]
    Closed,
    #[error("socket error: {0}")]
    Socket(#[from] io::Error),
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

/// Errors that the node's own limits cause: no descriptors, buffers, memory or ports.
const LOCAL_ERRORS: [Errno; 5] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
];

impl ConnectError {
    /// The outcome of an attempt without a connection. The node's own limits say nothing about the backend.
    pub(super) fn outcome(&self) -> Outcome {
        match self {
            Self::TooManyConnections => Outcome::NotSent,
            Self::Socket(error) if is_local(error) => Outcome::NotSent,
            Self::NotLoopback | Self::TimedOut | Self::Closed | Self::Socket(_) | Self::Http(_) => {
                Outcome::ConnectFailed
            }
        }
    }
}

fn is_local(error: &io::Error) -> bool {
    LOCAL_ERRORS
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// An open connection to a backend.
pub(super) struct BackendConnection {
    pub(super) sender: SendRequest<OutgoingBody>,
    pub(super) response_activity: ResponseActivity,
}

impl BackendConnection {
    /// Connects to a backend. The connection's task holds `guard`, so that the connection counts as open until the task
    /// ends.
    pub(super) async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        clock: &Clock,
        metrics: Arc<Metrics>,
        guard: ConnectionGuard,
    ) -> Result<Self, ConnectError> {
        let connecting = activity::track_connecting(TcpStream::connect(address));
        let stream = clock
            .timeout(connect_timeout, connecting)
            .await
            .map_err(|_| ConnectError::TimedOut)??;
        stream.set_nodelay(true)?;
        let response_activity = ResponseActivity::new(metrics);
        let stream = ObservedStream::new(stream, response_activity.clone()).defer_write_errors();
        let mut builder = Builder::new();
        builder
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .max_headers(MAX_RESPONSE_HEADERS);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        spawn(async move {
            let _guard = guard;
            if let Err(error) = connection.await {
                tracing::debug!(
                    endpoint = %address,
                    %error,
                    "connection to a backend closed after an error"
                );
            }
        });
        Ok(Self {
            sender,
            response_activity,
        })
    }
}

impl IdleCheck for BackendConnection {
    /// Whether the connection is still open. A close by the backend, or bytes that belong to no response, end the
    /// connection.
    fn is_idle(&mut self) -> bool {
        !self.sender.is_closed()
    }
}

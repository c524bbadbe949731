//! One connection to a backend: how it is opened, and how the pool sees that it is still of use.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;

use badgerpost_engine::{Clock, ConnectionGuard, IdleCheck, Metrics, TcpStream, activity, spawn};

use super::response_activity::ResponseActivity;
use crate::observed_stream::ObservedStream;
use crate::upload::OutgoingBody;

/// No response's head is larger.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
/// No response has more header lines.
const MAX_RESPONSE_HEADERS: usize = 64;

/// Why there is no new connection to a backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("a node on a virtual clock connects to loopback addresses only")]
    NotLoopback,
    #[error("too many connections are open")]
    TooManyConnections,
    #[error("no connection in time")]
    TimedOut,
    #[error("the connection was closed at once")]
    Closed,
    #[error("the socket failed: {0}")]
    Socket(#[from] io::Error),
    #[error("the HTTP client failed: {0}")]
    Http(#[from] hyper::Error),
}

/// An open connection to a backend.
pub(super) struct BackendConnection {
    pub(super) sender: SendRequest<OutgoingBody>,
    pub(super) response_activity: ResponseActivity,
}

impl BackendConnection {
    /// Connects to a backend. The connection counts as open until `guard` is dropped by its task, which ends with it.
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
                tracing::debug!(endpoint = %address, %error, "server connection failed");
            }
        });
        Ok(Self {
            sender,
            response_activity,
        })
    }
}

impl IdleCheck for BackendConnection {
    /// A close, or bytes that belong to no response, end the connection's task.
    fn is_idle(&mut self) -> bool {
        !self.sender.is_closed()
    }
}

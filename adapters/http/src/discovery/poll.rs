//! One call to discovery, over a connection that is reused by the next call.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;

use badgerpost_engine::{Clock, TcpStream, activity, spawn};

use crate::endpoint_list::EndpointList;
use crate::observed_stream::{NoopObserver, ObservedStream};

/// Discovery runs on the same host or a nearby one, so that a slower connect is unlikely to succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest endpoint list that is read.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A connection to discovery, kept open between calls.
pub(super) type DiscoveryConnection = SendRequest<Empty<Bytes>>;

/// Why a call to discovery has failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("connecting to discovery failed: {0}")]
    Connect(#[source] io::Error),
    #[error("no answer in time")]
    ConnectTimedOut,
    #[error("HTTP handshake with discovery failed: {0}")]
    Handshake(#[source] hyper::Error),
    #[error("building the request failed: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("connection to discovery failed before the response headers: {0}")]
    Exchange(#[source] hyper::Error),
    #[error("no answer in time")]
    ResponseTimedOut,
    #[error("the watch has fallen silent")]
    WatchTimedOut,
    #[error("response body is truncated or longer than 4 MiB: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("unexpected response status {0}; expected 200 OK")]
    Status(StatusCode),
    #[error("not a list of endpoints: {0}")]
    InvalidList(#[from] serde_json::Error),
}

/// The result of a successful call.
pub(super) struct PollResponse {
    pub(super) list: EndpointList,
    /// The connection, for the next call.
    pub(super) connection: DiscoveryConnection,
}

/// Makes one call over `connection` if that is still open, else over a new connection.
pub(super) async fn poll_once(
    clock: Clock,
    address: SocketAddr,
    connection: Option<DiscoveryConnection>,
    target: String,
) -> Result<PollResponse, PollError> {
    let mut connection = match connection.filter(|connection| !connection.is_closed()) {
        Some(connection) => connection,
        None => connect(&clock, address).await?,
    };
    connection.ready().await.map_err(PollError::Exchange)?;
    let request = Request::get(target)
        .header(HOST, address.to_string())
        .body(Empty::new())?;
    let response = connection
        .send_request(request)
        .await
        .map_err(PollError::Exchange)?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await
        .map_err(PollError::Body)?;
    if status != StatusCode::OK {
        return Err(PollError::Status(status));
    }
    Ok(PollResponse {
        list: EndpointList::parse(&body.to_bytes())?,
        connection,
    })
}

async fn connect(clock: &Clock, address: SocketAddr) -> Result<DiscoveryConnection, PollError> {
    let connecting = activity::track_connecting(TcpStream::connect(address));
    let stream = clock
        .timeout(CONNECT_TIMEOUT, connecting)
        .await
        .map_err(|_| PollError::ConnectTimedOut)?
        .map_err(PollError::Connect)?;
    stream.set_nodelay(true).map_err(PollError::Connect)?;
    let stream = ObservedStream::new(stream, NoopObserver);
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(PollError::Handshake)?;
    spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(
                at = %address,
                %error,
                "connection to discovery closed after an error; the next call reconnects"
            );
        }
    });
    Ok(sender)
}

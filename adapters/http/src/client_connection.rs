//! The task of one client connection, from its accept to its close.

use std::future::{Future, poll_fn};
use std::rc::Rc;
use std::task::Poll;

use badgerpost_engine::{TcpStream, spawn};
use badgerpost_lifecycle::Stage;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;

use crate::connection_limiter::ConnectionPermit;
use crate::early_response::finish_upload;
use crate::observed_stream::ObservedStream;
use crate::routes::respond;
use crate::server_context::ServerContext;
use crate::timeouts::{LINGER_TIMEOUT, SHUTDOWN_CHECK_INTERVAL};
use crate::tracked_connection::{CloseMode, ForcedClose, RequestTracker, TrackedConnection};

/// Largest request head in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 32 * 1024;
/// The response to a request that is still incomplete when the node exits. Such a request has not run on any backend.
const SHUTDOWN_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Serves a connection in a task of its own.
pub(crate) fn serve_connection(
    stream: TcpStream,
    permit: ConnectionPermit,
    context: Rc<ServerContext>,
) {
    spawn(async move {
        let connection = permit.connection();
        tokio::select! {
            biased;
            () = connection.abort_requested() => {}
            result = serve_and_close(stream, &context, connection) => {
                if let Err(error) = result {
                    tracing::debug!(%error, "client connection closed after an error");
                }
            }
        }
    });
}

#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// Why no more requests are served on a connection.
enum ServeEnd {
    /// hyper has ended the connection, or failed.
    Http(Result<(), hyper::Error>),
    /// The client disconnected while a submitted request awaited its response.
    ClientDisconnected,
    /// A time limit has expired, or the connection is evicted.
    Forced(ForcedClose),
    /// The node is shutting down.
    Shutdown,
}

async fn serve_and_close(
    stream: TcpStream,
    context: &ServerContext,
    connection: &Rc<TrackedConnection>,
) -> Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let stream = ObservedStream::new(stream, RequestTracker::new(connection.clone()));
    let end = serve_requests(&stream, context, connection).await;
    let close_mode = match &end {
        ServeEnd::ClientDisconnected | ServeEnd::Forced(ForcedClose::Abort) => return Ok(()),
        ServeEnd::Shutdown if connection.has_partial_request() => {
            connection.lingering_close_started();
            stream.clone().write_all(SHUTDOWN_RESPONSE).await?;
            CloseMode::Lingering
        }
        ServeEnd::Http(Err(_)) if connection.close_mode() == CloseMode::Graceful => {
            CloseMode::Lingering
        }
        ServeEnd::Http(_) | ServeEnd::Forced(ForcedClose::Graceful) | ServeEnd::Shutdown => {
            connection.close_mode()
        }
    };
    match close_mode {
        CloseMode::Reset => return Ok(stream.reset_on_close()?),
        CloseMode::Lingering => {
            connection.lingering_close_started();
            tokio::select! {
                biased;
                () = stream.close_lingering() => {}
                () = linger_after_shutdown(context) => {}
            }
        }
        CloseMode::Graceful => {
            connection.close_started();
            stream.close_gracefully(context.clock()).await;
        }
    }
    match end {
        ServeEnd::Http(result) => Ok(result?),
        _ => Ok(()),
    }
}

/// Serves requests until the connection has to be closed.
async fn serve_requests(
    stream: &ObservedStream<RequestTracker>,
    context: &ServerContext,
    connection: &Rc<TrackedConnection>,
) -> ServeEnd {
    let service = service_fn(|request| respond(context, connection, stream, request));
    let http_connection = async {
        // A connection without a request takes no buffers.
        stream.readable().await;
        http1::Builder::new()
            .max_buf_size(MAX_REQUEST_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream.clone()), service)
            .await
    };
    // hyper detects a disconnect of the client only while no bytes have arrived behind the request.
    let mut disconnected = std::pin::pin!(stream.peer_closed(context.clock()));
    let disconnected_before_response = poll_fn(|cx| {
        if connection.awaits_response() {
            disconnected.as_mut().poll(cx)
        } else {
            Poll::Pending
        }
    });
    tokio::select! {
        biased;
        result = http_connection => ServeEnd::Http(result),
        () = disconnected_before_response => ServeEnd::ClientDisconnected,
        never = finish_upload(connection, stream, context.clock()) => match never {},
        () = closed_by_shutdown(connection, stream, context) => ServeEnd::Shutdown,
        close = closed_by_limit(connection, stream, context) => ServeEnd::Forced(close),
    }
}

/// Resolves once the connection has to be closed by a time limit or an eviction. After a stall of the process, a time
/// limit may have expired although the client's bytes arrived in time. So all tasks first handle what has arrived, and
/// then the state and the socket are checked again.
async fn closed_by_limit(
    connection: &TrackedConnection,
    stream: &ObservedStream<RequestTracker>,
    context: &ServerContext,
) -> ForcedClose {
    loop {
        connection.close_requested().await;
        context.clock().yield_to_ready_tasks().await;
        if let Some(close) = connection.forced_close(|| stream.has_unread_bytes()) {
            return close;
        }
    }
}

/// Resolves once a node that has closed its listener has waited [`LINGER_TIMEOUT`] for clients that are still sending.
async fn linger_after_shutdown(context: &ServerContext) {
    let mut stage = context.lifecycle.stage.clone();
    // An error means that the process is ending.
    let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
    context.clock().sleep(LINGER_TIMEOUT).await;
}

/// Resolves once the node closes idle connections and this one is quiescent. A new connection is closed only after its
/// first response, so that its first request is not lost. An incomplete request is awaited until the deadline for the
/// last response.
async fn closed_by_shutdown(
    connection: &TrackedConnection,
    stream: &ObservedStream<RequestTracker>,
    context: &ServerContext,
) {
    let mut stage = context.lifecycle.stage.clone();
    loop {
        if stage.wait_for(|stage| stage.closes_idle()).await.is_err() {
            // The sender is dropped only when the process ends.
            return;
        }
        let is_closed = *context.lifecycle.stage.borrow() == Stage::Closed;
        let is_past_response_deadline = is_closed && context.time_until_last_response() == 0;
        // A request whose bytes are still unread in the socket is served too.
        let has_request = connection.expects_request() && stream.has_unread_bytes();
        let is_quiescent = connection.is_quiescent() && !has_request;
        if is_quiescent || (connection.is_reading_head() && is_past_response_deadline) {
            return;
        }
        context.clock().sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
}

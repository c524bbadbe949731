//! One client's connection, from its acceptance to its end.

use std::future::{Future, poll_fn};
use std::rc::Rc;
use std::task::Poll;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;

use badgerpost_engine::{Clock, TcpStream, spawn};
use badgerpost_lifecycle::Stage;

use crate::HttpEngine;
use crate::connection_limiter::{Connection, ConnectionPermit, RequestTracker};
use crate::memory_budget::MemoryBudget;
use crate::observed_stream::ObservedStream;
use crate::server::{ServerHandle, answer};
use crate::timeouts::SHUTDOWN_CHECK_INTERVAL;

const MAX_HEAD: usize = 32 * 1024;
/// What is answered to a request that has begun to come and is not complete when the node ends: it has run nowhere.
const SHUTDOWN: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Serves a connection in a task of its own.
pub(crate) fn serve_connection(
    stream: TcpStream,
    permit: ConnectionPermit,
    node: &HttpEngine,
    bodies: &MemoryBudget,
    door: &ServerHandle,
) {
    let (node, bodies, door) = (node.clone(), bodies.clone(), door.clone());
    spawn(async move {
        tokio::select! {
            biased;
            () = permit.slot().closed() => {}
            result = converse(stream, &node, &bodies, permit.slot(), &door) => {
                result.unwrap_or_else(|error| tracing::debug!(%error, "client connection failed"));
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
enum ConnectionEnd {
    /// The HTTP library has ended it, or failed.
    Library(Result<(), hyper::Error>),
    /// The client has left while its request was open.
    ClientLeft,
    /// It stood for too long with nothing complete on it.
    Overdue,
    /// The node ends.
    Shutdown,
}

async fn converse(
    stream: TcpStream,
    node: &HttpEngine,
    bodies: &MemoryBudget,
    slot: &Rc<Connection>,
    door: &ServerHandle,
) -> Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let stream = ObservedStream::new(stream, RequestTracker::new(slot.clone()));
    let end = serve_requests(&stream, node, bodies, slot, door).await;
    let may_still_write = match &end {
        ConnectionEnd::ClientLeft => return Ok(()),
        ConnectionEnd::Library(_) if slot.is_broken() => return Ok(stream.reset()?),
        ConnectionEnd::Shutdown if slot.is_incomplete() => {
            slot.leaving();
            stream.clone().write_all(SHUTDOWN).await?;
            true
        }
        ConnectionEnd::Library(Err(_)) => true,
        _ => slot.told_off(),
    };
    if may_still_write {
        slot.leaving();
        stream.part_reading().await;
    } else {
        slot.parting();
        stream.part(node.clock()).await;
    }
    match end {
        ConnectionEnd::Library(result) => Ok(result?),
        _ => Ok(()),
    }
}

/// Answers requests until no more are to be served.
async fn serve_requests(
    stream: &ObservedStream<RequestTracker>,
    node: &HttpEngine,
    bodies: &MemoryBudget,
    slot: &Rc<Connection>,
    door: &ServerHandle,
) -> ConnectionEnd {
    let service = service_fn(|request| answer(node, bodies, slot, request, door));
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream.clone()), service);
    // The library looks for its client's end only while nothing has come behind the request.
    let mut left = std::pin::pin!(stream.left(node.clock()));
    let client_left = poll_fn(|cx| {
        if slot.is_awaited() {
            left.as_mut().poll(cx)
        } else {
            Poll::Pending
        }
    });
    tokio::select! {
        biased;
        result = connection => ConnectionEnd::Library(result),
        () = client_left => ConnectionEnd::ClientLeft,
        () = slot.ends() => ConnectionEnd::Overdue,
        () = ends_at_rest(slot, door, node.clock()) => ConnectionEnd::Shutdown,
    }
}

/// Resolves once the node closes idle connections and nothing stands on this one. One that has just come is closed by
/// its first answer: closing it sooner would lose the request for which it was opened. What has begun to come is waited
/// for until the last answer has to leave.
async fn ends_at_rest(slot: &Connection, door: &ServerHandle, clock: &Clock) {
    let mut stage = door.stage.clone();
    loop {
        // The sender lives as long as the process.
        if stage.wait_for(|stage| stage.closes_idle()).await.is_err() {
            return;
        }
        let is_closed = *door.stage.borrow() == Stage::Closed;
        let is_over = door.leaves.get().is_some_and(|at| clock.now() >= at);
        if slot.rests() || (slot.is_arriving() && is_closed && is_over) {
            return;
        }
        clock.sleep(SHUTDOWN_CHECK_INTERVAL).await;
    }
}

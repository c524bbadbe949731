//! Reads the bodies of clients' requests. A small body is buffered if the memory budget allows; any other body is an
//! upload, which is forwarded as it arrives.

use badgerpost_engine::{Clock, nanos};
use badgerpost_time::Nanos;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};

use crate::MAX_BUFFERED_BODY_BYTES;
use crate::bad_request::BadRequest;
use crate::memory_budget::{BufferedBytes, BytesCollector};
use crate::server_context::ServerContext;
use crate::timeouts::{BODY_STALL_TIMEOUT, UPLOAD_CHECK_INTERVAL};
use crate::tracked_connection::TrackedConnection;
use crate::upload::{RequestBody, Upload};

/// Reads a body until it is complete, or has to be forwarded as it arrives.
///
/// # Errors
///
/// The client aborts the body, or sends it too slowly.
pub(crate) async fn read(
    context: &ServerContext,
    connection: &TrackedConnection,
    mut body: Incoming,
) -> Result<RequestBody, BadRequest> {
    if body.is_end_stream() {
        return Ok(RequestBody::Buffered(BufferedBytes::default()));
    }
    let clock = context.clock();
    let length = body.size_hint().exact();
    let Some(reservation) = context.memory_budget.reserve(buffer_size(length)) else {
        let upload = Upload::new(BufferedBytes::default(), body, length, clock);
        return Ok(RequestBody::Streaming(upload));
    };
    let mut collected = BytesCollector::default();
    while let Some(frame) = next_frame(clock, connection, &mut body).await? {
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        collected.add(data);
        if collected.len() >= MAX_BUFFERED_BODY_BYTES && !body.is_end_stream() {
            let first = BufferedBytes::new(collected.into_bytes(), Some(reservation));
            return Ok(RequestBody::Streaming(Upload::new(
                first, body, length, clock,
            )));
        }
    }
    let bytes = BufferedBytes::new(collected.into_bytes(), Some(reservation));
    Ok(RequestBody::Buffered(bytes))
}

/// Number of bytes to reserve for a body of this length; the maximum for a body of unknown length.
fn buffer_size(length: Option<u64>) -> usize {
    length.map_or(MAX_BUFFERED_BODY_BYTES, |length| {
        usize::try_from(length)
            .unwrap_or(usize::MAX)
            .min(MAX_BUFFERED_BODY_BYTES)
    })
}

async fn next_frame(
    clock: &Clock,
    connection: &TrackedConnection,
    body: &mut Incoming,
) -> Result<Option<Frame<Bytes>>, BadRequest> {
    loop {
        let deadline = connection.body_deadline();
        match clock.timeout_at(deadline, body.frame()).await {
            Ok(frame) => return frame.transpose().map_err(|_| BadRequest::BodyIncomplete),
            // Meanwhile bytes have arrived that hyper has not passed on yet.
            Err(_) if connection.body_deadline() > deadline => {}
            Err(_) => {
                connection.request_timed_out();
                return Err(BadRequest::BodyIncomplete);
            }
        }
    }
}

/// Which side has stalled an upload.
pub(crate) enum StalledSide {
    /// The client sends nothing, or sends too slowly.
    Client,
    /// No backend reads the body.
    Backend,
}

/// When an upload is considered stalled unless it makes progress, and which side is then responsible.
struct Stall {
    deadline: Nanos,
    side: StalledSide,
}

/// Resolves once an upload has stalled. Either the client is too slow, or no backend has read the rest of the body for
/// the duration of the client's budget. In the second case the request has not run.
pub(crate) async fn upload_stalled(
    clock: &Clock,
    connection: &TrackedConnection,
    upload: &Upload,
    budget: Nanos,
) -> StalledSide {
    loop {
        let stall = next_stall(clock, connection, upload, budget);
        if clock.now() < stall.deadline {
            let next_check = clock.now().saturating_add(nanos(UPLOAD_CHECK_INTERVAL));
            clock.sleep_until(stall.deadline.min(next_check)).await;
            continue;
        }
        // Readers handle the bytes that have arrived by now, which may end the stall.
        clock.yield_to_ready_tasks().await;
        let stall = next_stall(clock, connection, upload, budget);
        if clock.now() >= stall.deadline {
            return stall.side;
        }
    }
}

/// The next possible stall, given the current state of the upload.
fn next_stall(
    clock: &Clock,
    connection: &TrackedConnection,
    upload: &Upload,
    budget: Nanos,
) -> Stall {
    let client_deadline = upload.client_stall_deadline(
        nanos(BODY_STALL_TIMEOUT),
        connection.body_time_at_lowest_rate(),
    );
    connection.set_backend_blocked(client_deadline.is_none());
    match client_deadline {
        Some(deadline) => Stall {
            deadline,
            side: StalledSide::Client,
        },
        None => {
            let since = upload.waiting_for_backend_since().unwrap_or(clock.now());
            Stall {
                deadline: since.saturating_add(budget),
                side: StalledSide::Backend,
            }
        }
    }
}

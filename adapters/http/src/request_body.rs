//! Reads the bodies of clients' requests. A small body is buffered if the memory budget allows; any other body is an
//! upload, which is forwarded as it arrives.

use std::cell::RefCell;

use badgerpost_engine::{Clock, nanos};
use badgerpost_time::Nanos;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};

use crate::bad_request::BadRequest;
use crate::memory_budget::{BufferedBytes, BytesCollector, Reservation};
use crate::observed_stream::ObservedStream;
use crate::send_time::SendTime;
use crate::server_context::ServerContext;
use crate::timeouts::{BODY_STALL_TIMEOUT, UPLOAD_CHECK_INTERVAL};
use crate::tracked_connection::{RequestTracker, TrackedConnection};
use crate::upload::{RequestBody, STREAM_BYTES, Upload};
use crate::{MAX_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};

/// Largest body that needs no reservation, since the buffers of its connection hold it.
const SMALL_BODY_BYTES: usize = 8 * 1024;

/// Reads a body until it is complete, or has to be forwarded as it arrives.
///
/// # Errors
///
/// The client aborts the body, or sends it too slowly; or no memory becomes available within `max_wait`.
pub(crate) async fn read(
    context: &ServerContext,
    connection: &TrackedConnection,
    mut body: Incoming,
    max_wait: Nanos,
) -> Result<RequestBody, BadRequest> {
    if body.is_end_stream() {
        return Ok(RequestBody::Buffered(BufferedBytes::default()));
    }
    let clock = context.clock();
    let length = body.size_hint().exact();
    let buffer_bytes = buffer_size(length);
    let reservation = context.memory_budget.reserve(buffer_bytes);
    if reservation.is_none() && buffer_bytes > SMALL_BODY_BYTES {
        let reservation = memory_for_stream(context, connection, max_wait).await?;
        let upload = Upload::new(BufferedBytes::reserved(reservation), body, length, clock);
        return Ok(RequestBody::Streaming(upload));
    }
    let mut collected = BytesCollector::new(buffer_bytes);
    while let Some(frame) = next_frame(clock, connection, &mut body).await? {
        // Trailers are not forwarded.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        collected.add(data);
        if collected.len() >= MAX_BUFFERED_BODY_BYTES && !body.is_end_stream() {
            let first = BufferedBytes::new(collected.into_bytes(), reservation);
            return Ok(RequestBody::Streaming(Upload::new(
                first, body, length, clock,
            )));
        }
    }
    let bytes = BufferedBytes::new(collected.into_bytes(), reservation);
    Ok(RequestBody::Buffered(bytes))
}

/// Waits for the memory that an upload takes. Meanwhile the client's bytes are left unread, and the client is not taken
/// for a stalled one.
async fn memory_for_stream(
    context: &ServerContext,
    connection: &TrackedConnection,
    max_wait: Nanos,
) -> Result<Reservation, BadRequest> {
    let clock = context.clock();
    connection.set_backend_blocked(true);
    let ends_at = clock.now().saturating_add(max_wait);
    let reserved = context.memory_budget.reserve_for_stream(STREAM_BYTES);
    let reservation = clock.timeout_at(ends_at, reserved).await;
    connection.set_backend_blocked(false);
    reservation.map_err(|_| BadRequest::NoMemory)
}

/// Number of bytes to reserve for a body of this length; the maximum for a body of unknown length.
fn buffer_size(length: Option<u64>) -> usize {
    let length = length.and_then(|length| usize::try_from(length).ok());
    length.map_or(MAX_BUFFER_BYTES, |length| length.min(MAX_BUFFER_BYTES))
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

/// An upload that is being forwarded, and what its progress depends on.
pub(crate) struct UploadProgress<'a> {
    pub(crate) clock: &'a Clock,
    pub(crate) connection: &'a TrackedConnection,
    pub(crate) stream: &'a ObservedStream<RequestTracker>,
    pub(crate) upload: &'a Upload,
    /// How long the client waits from its last byte on.
    pub(crate) budget: Nanos,
    pub(crate) send_time: RefCell<SendTime>,
}

impl UploadProgress<'_> {
    /// Resolves once the upload has stalled. Either the client is too slow; or no backend has read any of the body, or not
    /// the rest of a body that the client may have sent, for the duration of the client's budget. In the second case the
    /// request has not run.
    pub(crate) async fn stalled(&self) -> StalledSide {
        loop {
            self.record_arrival();
            let stall = self.next_stall();
            let now = self.clock.now();
            if now < stall.deadline {
                let next_check = now.saturating_add(nanos(UPLOAD_CHECK_INTERVAL));
                self.clock.sleep_until(stall.deadline.min(next_check)).await;
                continue;
            }
            // Readers handle the bytes that have arrived by now, which may end the stall.
            self.clock.yield_to_ready_tasks().await;
            self.record_arrival();
            let stall = self.next_stall();
            if self.clock.now() >= stall.deadline {
                return stall.side;
            }
        }
    }

    /// Time since which the client may have sent the last byte of its request.
    pub(crate) fn time_since_sent(&self) -> Nanos {
        let sent_since = self.send_time.borrow().sent_since();
        sent_since.map_or(0, |since| self.clock.now().saturating_sub(since))
    }

    fn record_arrival(&self) {
        let arrived_bytes = self
            .upload
            .read_bytes()
            .saturating_add(self.stream.unread_bytes());
        self.send_time.borrow_mut().record(
            self.clock.now(),
            arrived_bytes,
            self.upload.length(),
            self.connection.read_blocked_at(),
        );
    }

    /// The next possible stall, given the current state of the upload.
    fn next_stall(&self) -> Stall {
        let client_deadline = self.upload.client_stall_deadline(
            nanos(BODY_STALL_TIMEOUT),
            self.connection.body_time_at_lowest_rate(),
        );
        self.connection
            .set_backend_blocked(client_deadline.is_none());
        match client_deadline {
            Some(deadline) => Stall {
                deadline,
                side: StalledSide::Client,
            },
            None => Stall {
                deadline: self.backend_deadline(),
                side: StalledSide::Backend,
            },
        }
    }

    /// When a backend must have read more of the body, or all of it if the client may have sent all.
    fn backend_deadline(&self) -> Nanos {
        let now = self.clock.now();
        let progress_at = self.upload.waiting_for_backend_since().unwrap_or(now);
        let sent_since = self.send_time.borrow().sent_since().unwrap_or(now);
        progress_at.min(sent_since).saturating_add(self.budget)
    }
}

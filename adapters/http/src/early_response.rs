//! Early responses: responses that begin while the body of their request is still arriving. The backend may read the
//! rest of the body; what no backend reads is discarded. Without this, a client that reads the response only after it
//! has sent the whole body would be deadlocked with the node.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;

use badgerpost_engine::{Clock, nanos};
use badgerpost_time::Nanos;
use tokio::sync::Notify;
use tokio::task::yield_now;

use crate::connection_state::{discarding_ends_at, time_at_lowest_rate};
use crate::observed_stream::ObservedStream;
use crate::timeouts::{BODY_STALL_TIMEOUT, FORWARD_STALL_TIMEOUT, UPLOAD_CHECK_INTERVAL};
use crate::tracked_connection::{RequestTracker, TrackedConnection};
use crate::upload::Upload;

/// The early response of one connection. There is at most one, as the connection closes after an early response.
#[derive(Default)]
pub(crate) struct EarlyResponse {
    upload: RefCell<Option<Rc<Upload>>>,
    begun_at: Cell<Nanos>,
    /// The time that the body received before may take at the lowest rate.
    body_time_before: Cell<Nanos>,
    /// Bytes received from the client since the response began.
    received_bytes: Cell<u64>,
    begun: Notify,
}

impl EarlyResponse {
    /// Starts the response while `upload` is incomplete. What has been received of it may take `body_time` at the
    /// lowest rate.
    pub(crate) fn begin(&self, upload: Rc<Upload>, now: Nanos, body_time: Nanos) {
        self.begun_at.set(now);
        self.body_time_before.set(body_time);
        self.upload.replace(Some(upload));
        self.begun.notify_one();
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.upload.borrow().is_some()
    }

    /// Called when bytes have been received from the client.
    pub(crate) fn bytes_received(&self, count: u64) {
        if self.has_begun() {
            let received_bytes = self.received_bytes.get().saturating_add(count);
            self.received_bytes.set(received_bytes);
        }
    }

    /// Whether the client may still postpone reading the response while it sends the body.
    pub(crate) fn allows_sending(&self, now: Nanos) -> bool {
        let ends_at = discarding_ends_at(self.begun_at.get(), self.received_bytes.get());
        self.has_begun() && now < ends_at
    }

    /// The time that the received part of the body may take at the lowest rate.
    fn body_time_at_lowest_rate(&self) -> Nanos {
        let time_since = time_at_lowest_rate(self.received_bytes.get());
        self.body_time_before.get().saturating_add(time_since)
    }

    /// Waits until the response begins, and returns the upload of its request.
    async fn begun(&self) -> Rc<Upload> {
        loop {
            if let Some(upload) = &*self.upload.borrow() {
                return upload.clone();
            }
            self.begun.notified().await;
        }
    }
}

/// Handles the rest of the body after an early response has begun: waits while the backend reads the body, then
/// discards what the client still sends. Never resolves; the time limits of the connection bound it.
pub(crate) async fn finish_upload(
    connection: &TrackedConnection,
    stream: &ObservedStream<RequestTracker>,
    clock: &Clock,
) -> Infallible {
    let upload = connection.early_response().begun().await;
    while !upload.is_complete() {
        if has_stalled(connection, &upload, clock) {
            upload.discard_rest();
            // hyper stops reading the body before the bytes are taken from the socket.
            yield_now().await;
            stream.discard_input().await;
            break;
        }
        clock.sleep(UPLOAD_CHECK_INTERVAL).await;
    }
    pending().await
}

/// Whether the client or the backend has made no progress on the rest of the body for too long.
fn has_stalled(connection: &TrackedConnection, upload: &Upload, clock: &Clock) -> bool {
    let now = clock.now();
    if !upload.can_forward() {
        return true;
    }
    let allowance = connection.early_response().body_time_at_lowest_rate();
    match upload.client_stall_deadline(nanos(BODY_STALL_TIMEOUT), allowance) {
        Some(deadline) => now >= deadline,
        None => upload
            .waiting_for_backend_since()
            .is_some_and(|since| now >= since.saturating_add(nanos(FORWARD_STALL_TIMEOUT))),
    }
}

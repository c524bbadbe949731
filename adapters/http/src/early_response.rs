//! Responses that begin while their request's body is still arriving. The backend may read the rest of the body, and what
//! no backend reads is discarded: a client that reads only once it has sent everything would wait for the node for ever
//! otherwise, and the node for its client.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::pending;
use std::rc::Rc;

use badgerpost_engine::{Clock, nanos};
use badgerpost_time::Nanos;
use tokio::sync::Notify;
use tokio::task::yield_now;

use crate::observed_stream::ObservedStream;
use crate::timeouts::{
    BODY_STALL_TIMEOUT, FORWARD_STALL_TIMEOUT, MAX_LINGER_DURATION, UPLOAD_CHECK_INTERVAL,
};
use crate::tracked_connection::{RequestTracker, TrackedConnection};
use crate::upload::Upload;

/// The response of one connection that has begun before its request was complete. There is one at most: the connection
/// closes after it.
#[derive(Default)]
pub(crate) struct EarlyResponse {
    upload: RefCell<Option<Rc<Upload>>>,
    begun_at: Cell<Nanos>,
    begun: Notify,
}

impl EarlyResponse {
    /// A response begins while this upload is incomplete.
    pub(crate) fn begin(&self, upload: Rc<Upload>, now: Nanos) {
        self.begun_at.set(now);
        self.upload.replace(Some(upload));
        self.begun.notify_one();
    }

    /// Whether it has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.upload.borrow().is_some()
    }

    /// Whether its client is still waited for while it sends, and does not take the response.
    pub(crate) fn allows_sending(&self, now: Nanos) -> bool {
        let ends_at = self
            .begun_at
            .get()
            .saturating_add(nanos(MAX_LINGER_DURATION));
        self.has_begun() && now < ends_at
    }

    /// Waits until it begins, and returns its upload.
    async fn begun(&self) -> Rc<Upload> {
        loop {
            if let Some(upload) = &*self.upload.borrow() {
                return upload.clone();
            }
            self.begun.notified().await;
        }
    }
}

/// Goes on with a body whose response has begun: waits while the backend reads it, then reads and discards what the
/// client still sends. Never resolves; it ends with the connection, by whose time limits it is bounded.
pub(crate) async fn finish_upload(
    connection: &TrackedConnection,
    stream: &ObservedStream<RequestTracker>,
    clock: &Clock,
) -> Infallible {
    let upload = connection.early_response().begun().await;
    while !upload.is_complete() {
        if has_stalled(connection, &upload, clock) {
            upload.discard_rest();
            // The HTTP library stops reading before anything is taken away from it.
            yield_now().await;
            stream.discard_input().await;
            break;
        }
        clock.sleep(UPLOAD_CHECK_INTERVAL).await;
    }
    pending().await
}

/// Whether a body that is forwarded after its response has begun has made no progress for too long, on either side.
fn has_stalled(connection: &TrackedConnection, upload: &Upload, clock: &Clock) -> bool {
    let now = clock.now();
    if !upload.can_forward() {
        return true;
    }
    let allowance = connection.body_time_at_lowest_rate();
    match upload.client_stall_deadline(nanos(BODY_STALL_TIMEOUT), allowance) {
        Some(deadline) => now >= deadline,
        None => upload
            .waiting_for_backend_since()
            .is_some_and(|since| now >= since.saturating_add(nanos(FORWARD_STALL_TIMEOUT))),
    }
}

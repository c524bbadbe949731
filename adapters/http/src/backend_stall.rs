//! Detects that a backend has stopped sending a response that is being forwarded and may be small. Such a response has
//! to be complete soon after its client's deadline; one that is known to be large may pause for longer.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use badgerpost_engine::{Clock, nanos};

use crate::MAX_BUFFERED_BODY_BYTES;
use crate::timeouts::FORWARDED_RESPONSE_STALL_TIMEOUT;

/// Watches one response.
pub(crate) struct BackendStallDetector {
    clock: Clock,
    /// Number of bytes that have arrived from the backend.
    received_bytes: usize,
    /// Whether the response is known to be large.
    is_large: bool,
    /// Resolves when the current wait for the backend becomes too long; `None` while there is no wait.
    timeout: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl BackendStallDetector {
    /// Watches a response of which `received_bytes` have arrived, and whose declared length is `length`.
    pub(crate) fn new(clock: Clock, received_bytes: usize, length: Option<u64>) -> Self {
        Self {
            clock,
            received_bytes,
            is_large: length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64),
            timeout: None,
        }
    }

    /// Whether any byte has arrived.
    pub(crate) fn has_received(&self) -> bool {
        self.received_bytes > 0
    }

    /// Called when bytes have arrived from the backend.
    pub(crate) fn bytes_received(&mut self, count: usize) {
        self.received_bytes = self.received_bytes.saturating_add(count);
        self.is_large |= self.received_bytes > MAX_BUFFERED_BODY_BYTES;
        self.timeout = None;
    }

    /// Called while the response waits for the backend. Ready once the wait has become too long.
    pub(crate) fn poll_stalled(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_large {
            return Poll::Pending;
        }
        let clock = &self.clock;
        let timeout = self.timeout.get_or_insert_with(|| {
            let clock = clock.clone();
            let ends_at = clock
                .now()
                .saturating_add(nanos(FORWARDED_RESPONSE_STALL_TIMEOUT));
            Box::pin(async move { clock.wait_for_deadline(ends_at).await })
        });
        timeout.as_mut().poll(cx)
    }
}

//! Tracks the bytes on a backend connection: when a response begins to arrive, which hyper reports only after the whole
//! head, and when a request has been written completely.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use badgerpost_engine::{Clock, Metrics};
use hyper::Request;
use tokio::sync::Notify;

use crate::observed_stream::StreamObserver;

/// State of one connection. Atomic because hyper requires its callback to be `Send`.
struct ActivitySignals {
    metrics: Arc<Metrics>,
    /// Whether bytes have been received since the last request.
    has_received: AtomicBool,
    first_bytes_received: Notify,
    /// Number of reads that returned bytes.
    reads: AtomicU64,
    /// Whether an interim response (RFC 9110, section 15.2) has been received since the last request.
    has_interim_response: AtomicBool,
    /// Whether the request being written is counted as an attempt once it is written completely.
    counts_as_attempt: AtomicBool,
    /// Whether bytes have been written since the last flush.
    has_written: AtomicBool,
}

/// The activity on one connection. Clones share the same state.
#[derive(Clone)]
pub(super) struct ResponseActivity(Arc<ActivitySignals>);

impl ResponseActivity {
    /// Creates the state for a new connection. Attempts are counted in `metrics`.
    pub(super) fn new(metrics: Arc<Metrics>) -> Self {
        Self(Arc::new(ActivitySignals {
            metrics,
            has_received: AtomicBool::new(false),
            first_bytes_received: Notify::new(),
            reads: AtomicU64::new(0),
            has_interim_response: AtomicBool::new(false),
            counts_as_attempt: AtomicBool::new(false),
            has_written: AtomicBool::new(false),
        }))
    }

    /// Resets the state for the response to `message`, which is about to be written.
    pub(super) fn expect_response<T>(&self, message: &mut Request<T>) {
        self.0.has_received.store(false, Ordering::Relaxed);
        self.0.has_interim_response.store(false, Ordering::Relaxed);
        let signals = self.0.clone();
        hyper::ext::on_informational(message, move |_| {
            signals.has_interim_response.store(true, Ordering::Relaxed);
        });
    }

    /// Counts the request that is about to be written as an attempt once it is written completely.
    pub(super) fn count_attempt_when_written(&self) {
        self.0.has_written.store(false, Ordering::Relaxed);
        self.0.counts_as_attempt.store(true, Ordering::Relaxed);
    }

    /// Resolves once a response has begun to arrive and then paused for `stall_timeout`. After an interim response, the
    /// wait starts again with the first bytes of the final response.
    pub(super) async fn stalled(&self, clock: &Clock, stall_timeout: Duration) {
        loop {
            while !self.0.has_received.load(Ordering::Relaxed) {
                self.0.first_bytes_received.notified().await;
            }
            let reads_before = self.0.reads.load(Ordering::Relaxed);
            clock.sleep(stall_timeout).await;
            clock.yield_to_ready_tasks().await;
            if self.0.reads.load(Ordering::Relaxed) != reads_before {
                continue;
            }
            if !self.0.has_interim_response.swap(false, Ordering::Relaxed) {
                return;
            }
            self.0.has_received.store(false, Ordering::Relaxed);
        }
    }

    /// Whether bytes have been received since the last request.
    pub(super) fn has_received(&self) -> bool {
        self.0.has_received.load(Ordering::Relaxed)
    }
}

impl StreamObserver for ResponseActivity {
    fn bytes_read(&mut self, _bytes: &[u8]) {
        self.0.reads.fetch_add(1, Ordering::Relaxed);
        if !self.0.has_received.swap(true, Ordering::Relaxed) {
            self.0.first_bytes_received.notify_waiters();
        }
    }

    fn bytes_written(&mut self) {
        self.0.has_written.store(true, Ordering::Relaxed);
    }

    fn flushed(&mut self) {
        if self.0.has_written.swap(false, Ordering::Relaxed)
            && self.0.counts_as_attempt.swap(false, Ordering::Relaxed)
        {
            self.0.metrics.attempt_sent();
        }
    }
}

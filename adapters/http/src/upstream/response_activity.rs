//! Watches the bytes on a backend's connection: when a response has begun to arrive, which the HTTP library shows only
//! once its head is complete, and when a request has been written whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use badgerpost_engine::{Clock, Metrics};
use hyper::Request;
use tokio::sync::Notify;

use crate::observed_stream::StreamObserver;

/// What happens on one connection. Atomic only because the HTTP library wants its callback to be `Send`.
struct ActivitySignals {
    metrics: Arc<Metrics>,
    /// Bytes have been received since the last request.
    has_received: AtomicBool,
    first_bytes_received: Notify,
    /// How often bytes have been received.
    reads: AtomicU64,
    /// An interim response (RFC 9110, section 15.2) has come since then.
    has_interim_response: AtomicBool,
    /// The request that is being written counts as an attempt once it is written whole.
    counts_as_attempt: AtomicBool,
    /// Bytes of it have been written since the last flush.
    has_written: AtomicBool,
}

/// The activity on one connection. Clones share it.
#[derive(Clone)]
pub(super) struct ResponseActivity(Arc<ActivitySignals>);

impl ResponseActivity {
    /// The activity on a new connection, whose attempts are counted in `metrics`.
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

    /// Watches for the response to this request, which is about to be written.
    pub(super) fn expect_response<T>(&self, message: &mut Request<T>) {
        self.0.has_received.store(false, Ordering::Relaxed);
        self.0.has_interim_response.store(false, Ordering::Relaxed);
        let signals = self.0.clone();
        hyper::ext::on_informational(message, move |_| {
            signals.has_interim_response.store(true, Ordering::Relaxed);
        });
    }

    /// Counts the request that is about to be written as an attempt, once it is written whole.
    pub(super) fn count_attempt_when_written(&self) {
        self.0.has_written.store(false, Ordering::Relaxed);
        self.0.counts_as_attempt.store(true, Ordering::Relaxed);
    }

    /// Resolves once a response has begun to arrive and nothing more of it has for this long. Interim responses don't
    /// count: the final one may take its time.
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

    /// Whether any bytes have been received since the last request.
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

//! Closing of a client connection: when, why and how the connection is closed.

use badgerpost_engine::ConnectionLimit;
use badgerpost_time::Nanos;

use super::{CloseMode, TrackedConnection};
use crate::close_recorder::Inactivity;
use crate::connection_state::{ConnectionState, EvictionRank};

/// How a connection is closed by a time limit or an eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForcedClose {
    /// Gracefully: no parsed request awaits a response.
    Graceful,
    /// Without any further output: nothing more can be sent, or the connection is evicted.
    Abort,
}

impl TrackedConnection {
    /// Whether the connection should close after its response because too many connections are idle.
    pub(crate) fn should_close_after_response(&self) -> bool {
        self.idle_connections.is_at_limit()
    }

    /// Whether the connection may be closed without a response: no request is arriving, being served or expected soon.
    pub(crate) fn is_quiescent(&self) -> bool {
        let state = self.state.get();
        match state {
            ConnectionState::New { .. } => !state.expects_first_request(self.clock.now()),
            ConnectionState::Idle { .. } => !self.has_pipelined_request(),
            // The response to the request that is still arriving has already been sent.
            ConnectionState::LingeringClose { .. } => true,
            _ => false,
        }
    }

    pub(crate) fn close_mode(&self) -> CloseMode {
        self.close_mode.get()
    }

    /// Called when the node's side is being closed. What the client still sends is not read.
    pub(crate) fn close_started(&self) {
        self.enter(ConnectionState::Closing {
            since: self.clock.now(),
        });
    }

    /// Called when the node's side is being closed after an error or an early response. What the client still sends is
    /// discarded.
    pub(crate) fn lingering_close_started(&self) {
        self.enter(ConnectionState::LingeringClose {
            since: self.clock.now(),
            received_bytes: 0,
        });
    }

    /// Resolves once a close of the connection is requested. [`forced_close`](Self::forced_close) then decides whether
    /// and how to close.
    pub(crate) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Resolves once the connection has to be closed immediately.
    pub(crate) async fn abort_requested(&self) {
        self.abort.notified().await;
    }

    /// Requests a close of the connection, so that another one can be admitted.
    pub(crate) fn request_eviction(&self) {
        self.is_eviction_requested.set(true);
        self.request_close();
    }

    /// A connection that is already being closed serves no requests, so that no task waits for `close_requested`.
    fn request_close(&self) {
        if self.state.get().is_closing() {
            self.record_timeout();
            self.abort.notify_one();
        } else {
            self.close_requested.notify_one();
        }
    }

    /// How the connection has to be closed now because of a time limit or an eviction; `None` if the connection may
    /// stay open. While the connection waits for the client, unread bytes prevent the close: `has_unread_bytes` returns
    /// whether there are any.
    pub(crate) fn forced_close(&self, has_unread_bytes: impl Fn() -> bool) -> Option<ForcedClose> {
        let now = self.clock.now();
        let state = self.state.get();
        let is_evicted = self.is_eviction_requested.take() && self.eviction_rank(now).is_some();
        let is_due = is_evicted || self.has_timed_out(now);
        if !is_due || (state.waits_for_client() && has_unread_bytes()) {
            return None;
        }
        if is_evicted {
            self.record_close(ConnectionLimit::Eviction);
            return Some(ForcedClose::Abort);
        }
        self.record_timeout();
        if state.times_out_gracefully() {
            Some(ForcedClose::Graceful)
        } else {
            Some(ForcedClose::Abort)
        }
    }

    fn record_timeout(&self) {
        if let Some(limit) = self.limit() {
            self.record_close(limit);
        }
    }

    pub(super) fn record_close(&self, limit: ConnectionLimit) {
        let now = self.clock.now();
        let inactivity = Inactivity {
            receive: now.saturating_sub(self.last_received_at.get()),
            send: now.saturating_sub(self.last_sent_at.get()),
        };
        self.close_recorder.record(limit, inactivity);
    }

    fn has_timed_out(&self, now: Nanos) -> bool {
        let times_out_at = self.state.get().times_out_at(self.last_progress_at());
        times_out_at.is_some_and(|at| now >= at)
    }

    /// Records that a time limit ends the request that is arriving.
    pub(crate) fn request_timed_out(&self) {
        self.record_close(ConnectionLimit::RequestBody);
    }

    /// The limit that applies in the current state.
    fn limit(&self) -> Option<ConnectionLimit> {
        match self.state.get().limit() {
            Some(ConnectionLimit::StreamToClient) if self.is_stream_waiting_for_backend.get() => {
                Some(ConnectionLimit::StreamFromBackend)
            }
            limit => limit,
        }
    }

    /// Requests a close of the connection if it has timed out.
    pub(crate) fn check_timeout(&self, now: Nanos) {
        if self.has_timed_out(now) {
            self.request_close();
        }
    }

    /// Whether a request may be in transit of which no byte has arrived.
    pub(crate) fn expects_request(&self) -> bool {
        let state = self.state.get();
        matches!(
            state,
            ConnectionState::New { .. } | ConnectionState::Idle { .. }
        )
    }

    /// The order of eviction; `None` if the connection may not be evicted.
    pub(crate) fn eviction_rank(&self, now: Nanos) -> Option<EvictionRank> {
        let state = self.state.get();
        state.eviction_rank(now, self.last_progress_at())
    }
}

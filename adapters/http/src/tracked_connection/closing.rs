//! The end of a client connection: when it is closed, by whom, and how.

use badgerpost_engine::ConnectionLimit;
use badgerpost_time::Nanos;

use super::{CloseMode, TrackedConnection};
use crate::connection_state::{ConnectionState, EvictionRank};

/// How a connection has to be closed that a time limit ends, or that makes room for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ForcedClose {
    /// No request has been parsed on it that is owed a response.
    Graceful,
    /// Nothing more can be sent on it, or it makes room for another one.
    Abort,
}

impl TrackedConnection {
    /// Whether too many connections are idle, so that this one had better close after its response.
    pub(crate) fn should_close_after_response(&self) -> bool {
        self.idle_connections.is_at_limit()
    }

    /// Whether it may be closed without a response: no request is arriving, served or expected at once.
    pub(crate) fn is_quiescent(&self) -> bool {
        let state = self.state.get();
        match state {
            ConnectionState::New { .. } => !state.expects_first_request(self.clock.now()),
            ConnectionState::Idle { .. } => !self.has_pipelined_request(),
            // The response to a request that is still arriving has been sent.
            ConnectionState::LingeringClose { .. } => true,
            _ => false,
        }
    }

    /// How the connection has to be closed.
    pub(crate) fn close_mode(&self) -> CloseMode {
        self.close_mode.get()
    }

    /// The node's side is being closed; what the client still sends is not read.
    pub(crate) fn close_started(&self) {
        self.enter(ConnectionState::Closing {
            since: self.clock.now(),
        });
    }

    /// The node's side is being closed after an error; what the client still sends is read and discarded.
    pub(crate) fn lingering_close_started(&self) {
        self.enter(ConnectionState::LingeringClose {
            since: self.clock.now(),
        });
    }

    /// Resolves once the connection is to be closed. Whether it is, and how, [`forced_close`](Self::forced_close) decides.
    pub(crate) async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Resolves once the connection has to be closed at once.
    pub(crate) async fn abort_requested(&self) {
        self.abort.notified().await;
    }

    /// Requests that the connection is closed, so that another one can be admitted.
    pub(crate) fn request_eviction(&self) {
        self.is_eviction_requested.set(true);
        self.request_close();
    }

    /// A connection that is being closed already serves no requests, and has nobody who would decide.
    fn request_close(&self) {
        if self.state.get().is_closing() {
            self.record_close();
            self.abort.notify_one();
        } else {
            self.close_requested.notify_one();
        }
    }

    /// How the connection has to be closed now, by its time limit or to admit another one; none if it may stay. Bytes
    /// that have arrived and were not read are the request that it is closed for lack of: `has_unread_bytes` tells of
    /// them.
    pub(crate) fn forced_close(&self, has_unread_bytes: impl Fn() -> bool) -> Option<ForcedClose> {
        let now = self.clock.now();
        let state = self.state.get();
        let is_evicted = self.is_eviction_requested.take() && self.eviction_rank(now).is_some();
        let is_due = is_evicted || self.has_timed_out(now);
        if !is_due || (state.waits_for_client() && has_unread_bytes()) {
            return None;
        }
        if is_evicted {
            self.close_recorder.record(ConnectionLimit::Eviction);
            return Some(ForcedClose::Abort);
        }
        self.record_close();
        if state.times_out_gracefully() {
            Some(ForcedClose::Graceful)
        } else {
            Some(ForcedClose::Abort)
        }
    }

    fn record_close(&self) {
        if let Some(limit) = self.limit() {
            self.close_recorder.record(limit);
        }
    }

    fn has_timed_out(&self, now: Nanos) -> bool {
        let times_out_at = self.state.get().times_out_at(self.last_progress_at());
        times_out_at.is_some_and(|at| now >= at)
    }

    /// A limit ends the request that is arriving.
    pub(crate) fn request_timed_out(&self) {
        self.close_recorder.record(ConnectionLimit::RequestBody);
    }

    /// The limit that the connection's state enforces.
    fn limit(&self) -> Option<ConnectionLimit> {
        match self.state.get().limit() {
            Some(ConnectionLimit::StreamToClient) if self.is_stream_waiting_for_backend.get() => {
                Some(ConnectionLimit::StreamFromBackend)
            }
            limit => limit,
        }
    }

    /// Requests that the connection is closed if it has timed out.
    pub(crate) fn check_timeout(&self, now: Nanos) {
        if self.has_timed_out(now) {
            self.request_close();
        }
    }

    /// Whether a request may be on its way that has not begun to arrive.
    pub(crate) fn expects_request(&self) -> bool {
        let state = self.state.get();
        matches!(
            state,
            ConnectionState::New { .. } | ConnectionState::Idle { .. }
        )
    }

    /// How soon the connection is closed to admit a new one; none if it may not be closed for that.
    pub(crate) fn eviction_rank(&self, now: Nanos) -> Option<EvictionRank> {
        let state = self.state.get();
        state.eviction_rank(now, self.last_progress_at())
    }
}

//! The limits by which an adapter closes clients' connections, and how often each has.

use std::sync::atomic::{AtomicU64, Ordering};

/// A limit by which a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLimit {
    /// No request arrived on a new connection.
    FirstRequest,
    /// The head of a request was not complete in time.
    RequestHead,
    /// The body of a request stalled, or arrived too slowly.
    RequestBody,
    /// No request followed the last one.
    Idle,
    /// The client did not take a complete response.
    ResponseSend,
    /// The client did not take more of a response that was streamed.
    StreamToClient,
    /// The backend did not send more of a response that was streamed.
    StreamFromBackend,
    /// The client did not close its side after the node had.
    Close,
    /// The client was still sending after an error response.
    LingeringClose,
    /// The connection was closed to admit another one.
    Eviction,
}

impl ConnectionLimit {
    /// All limits, in the order in which they are shown.
    pub const ALL: [Self; 10] = [
        Self::FirstRequest,
        Self::RequestHead,
        Self::RequestBody,
        Self::Idle,
        Self::ResponseSend,
        Self::StreamToClient,
        Self::StreamFromBackend,
        Self::Close,
        Self::LingeringClose,
        Self::Eviction,
    ];

    /// Its name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstRequest => "first_request",
            Self::RequestHead => "request_head",
            Self::RequestBody => "request_body",
            Self::Idle => "idle",
            Self::ResponseSend => "response_send",
            Self::StreamToClient => "stream_to_client",
            Self::StreamFromBackend => "stream_from_backend",
            Self::Close => "close",
            Self::LingeringClose => "lingering_close",
            Self::Eviction => "eviction",
        }
    }
}

/// How many connections each limit has closed.
#[derive(Debug, Default)]
pub(crate) struct ConnectionLimitCounters([AtomicU64; ConnectionLimit::ALL.len()]);

impl ConnectionLimitCounters {
    pub(crate) fn count(&self, limit: ConnectionLimit) {
        self.0[limit as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self, limit: ConnectionLimit) -> u64 {
        self.0[limit as usize].load(Ordering::Relaxed)
    }
}

//! The limits because of which adapters close client connections, and a counter for each limit.

use std::sync::atomic::{AtomicU64, Ordering};

/// A limit because of which an adapter closed a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionLimit {
    /// No request arrived in time on a new connection.
    FirstRequest,
    /// The head of a request was not complete in time.
    RequestHead,
    /// The body of a request stalled or arrived too slowly.
    RequestBody,
    /// No further request arrived in time on a reused connection.
    Idle,
    /// The client stopped receiving a response that was available as a whole.
    ResponseSend,
    /// The client stopped receiving a streamed response.
    StreamToClient,
    /// The backend stopped sending a streamed response.
    StreamFromBackend,
    /// The client did not close the connection in time after the node had closed its side.
    Close,
    /// The client kept sending after an error response.
    LingeringClose,
    /// The connection was closed to admit another one.
    Eviction,
}

impl ConnectionLimit {
    /// All limits, in the order in which the metrics page shows them.
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

    /// The limit's name in metrics and log lines.
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

/// The number of connections closed because of each limit.
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

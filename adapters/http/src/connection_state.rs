//! The state machine of a client connection: the phases of a request and its response, the time limit of each phase,
//! and the order in which connections are evicted to admit new ones.
//!
//! ```text
//!        bytes arrive          head parsed          body complete
//!   New ------------> ReadingHead ----> ReadingBody ------------> AwaitingResponse
//!                      ^    ^               |                          |
//!         bytes arrive |    | pipelined     | early response           | response
//!                      |    | request       v                          v
//!                     Idle <+------------ Sending <------------ (Streaming)
//!                           response sent
//!
//!   any of these ----> Closing or LingeringClose, once no more requests are served
//! ```
//!
//! The head of a pipelined request is also parsed in `Sending`. The state machine does no I/O and reads no clock.

use badgerpost_engine::{ConnectionLimit, nanos};
use badgerpost_time::{Nanos, SECOND};

use crate::timeouts::{
    BODY_STALL_TIMEOUT, CLOSE_TIMEOUT, DRAIN_FIRST_REQUEST_GRACE, HEAD_READ_TIMEOUT, IDLE_TIMEOUT,
    LINGER_TIMEOUT, MAX_LINGER_DURATION, MIN_BODY_BYTES_PER_SECOND, MIN_IDLE_BEFORE_EVICTION,
    MIN_SILENCE_BEFORE_EVICTION, MIN_STALL_BEFORE_EVICTION, RESPONSE_PROGRESS_TIMEOUT,
    TIMEOUT_RESPONSE_GRACE, UPLOAD_TIMEOUT,
};

/// The phase of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// Accepted; no byte has arrived.
    New { accepted_at: Nanos },
    /// The head of a request is arriving.
    ReadingHead { started_at: Nanos },
    /// hyper has parsed the head; the body, if any, is arriving.
    ReadingBody(BodyProgress),
    /// The request is complete; the response has not begun.
    AwaitingResponse,
    /// A response is forwarded as it arrives from a backend.
    Streaming { last_progress_at: Nanos },
    /// A response that is available as a whole is being sent.
    Sending { last_progress_at: Nanos },
    /// Between requests.
    Idle { since: Nanos },
    /// Closed on the node's side; what the client still sends is not read.
    Closing { since: Nanos },
    /// Closed on the node's side after an error or an early response; what the client still sends is read and
    /// discarded.
    LingeringClose { since: Nanos, received_bytes: u64 },
}

/// The time that this many bytes of a body may take at [`MIN_BODY_BYTES_PER_SECOND`].
pub(crate) fn time_at_lowest_rate(bytes: u64) -> Nanos {
    bytes.saturating_mul(SECOND) / MIN_BODY_BYTES_PER_SECOND
}

/// When a client that has been responded to must have sent the rest of its request, unless more bytes arrive first.
/// `received_bytes` have arrived since then.
pub(crate) fn discarding_ends_at(responded_at: Nanos, received_bytes: u64) -> Nanos {
    let duration = nanos(MAX_LINGER_DURATION).saturating_add(time_at_lowest_rate(received_bytes));
    responded_at.saturating_add(duration.min(nanos(UPLOAD_TIMEOUT)))
}

/// Progress of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyProgress {
    /// Start of the wait for the body: when the last byte of the head arrived, or when hyper parsed the head of a
    /// pipelined request.
    started_at: Nanos,
    /// Number of bytes received since the head was parsed.
    received_bytes: u64,
    /// Whether the request was submitted while its body was still arriving.
    is_submitted: bool,
    /// Whether the upload waits for a backend to read, and not for the client.
    is_backend_blocked: bool,
}

impl BodyProgress {
    /// When the body has to be complete, unless more bytes arrive first.
    fn deadline(self, last_progress_at: Nanos) -> Nanos {
        let stall_timeout = nanos(BODY_STALL_TIMEOUT);
        let by_rate = self
            .started_at
            .saturating_add(stall_timeout)
            .saturating_add(time_at_lowest_rate(self.received_bytes));
        by_rate.min(last_progress_at.saturating_add(stall_timeout))
    }
}

/// Order of eviction: connections with the lowest rank are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EvictionRank {
    class: EvictionClass,
    /// Within a class, the connection with the earliest time is evicted first.
    since: Nanos,
}

/// Classes of connections that may be evicted, in order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    Closing,
    Silent,
    Idle,
    Stalled,
}

/// Transitions.
impl ConnectionState {
    /// Bytes have arrived from the client.
    pub(crate) fn bytes_received(self, now: Nanos, count: u64) -> Self {
        match self {
            // The time limit of the first request counts from the accept.
            Self::New { accepted_at } => Self::ReadingHead {
                started_at: accepted_at,
            },
            Self::Idle { .. } => Self::ReadingHead { started_at: now },
            Self::ReadingBody(body) => Self::ReadingBody(BodyProgress {
                received_bytes: body.received_bytes.saturating_add(count),
                ..body
            }),
            Self::Streaming { .. } => Self::Streaming {
                last_progress_at: now,
            },
            Self::LingeringClose {
                since,
                received_bytes,
            } => Self::LingeringClose {
                since,
                received_bytes: received_bytes.saturating_add(count),
            },
            other => other,
        }
    }

    /// The operating system has taken bytes for the client.
    pub(crate) fn bytes_sent(self, now: Nanos) -> Self {
        match self {
            Self::Streaming { .. } => Self::Streaming {
                last_progress_at: now,
            },
            Self::Sending { .. } => Self::Sending {
                last_progress_at: now,
            },
            other => other,
        }
    }

    /// All bytes written so far have been passed to the operating system. `next_request_since` is when the first byte
    /// of the next request arrived, if that request is incomplete.
    pub(crate) fn flushed(self, now: Nanos, next_request_since: Option<Nanos>) -> Self {
        match (self, next_request_since) {
            (Self::Sending { .. }, Some(started_at)) => Self::ReadingHead { started_at },
            (Self::Sending { .. }, None) => Self::Idle { since: now },
            (other, _) => other,
        }
    }

    /// hyper has parsed the head of the next request.
    pub(crate) fn head_parsed(self, now: Nanos, last_progress_at: Nanos) -> Self {
        let started_at = match self {
            Self::ReadingHead { .. } => last_progress_at,
            // The request was pipelined.
            _ => now,
        };
        Self::ReadingBody(BodyProgress {
            started_at,
            received_bytes: 0,
            is_submitted: false,
            is_backend_blocked: false,
        })
    }

    /// The request has been submitted while its body is still arriving.
    pub(crate) fn upload_submitted(self) -> Self {
        match self {
            Self::ReadingBody(body) => Self::ReadingBody(BodyProgress {
                is_submitted: true,
                ..body
            }),
            other => other,
        }
    }

    /// The upload has started or stopped waiting for a backend.
    pub(crate) fn backend_blocked(self, is_backend_blocked: bool) -> Self {
        match self {
            Self::ReadingBody(body) => Self::ReadingBody(BodyProgress {
                is_backend_blocked,
                ..body
            }),
            other => other,
        }
    }

    /// A response has begun that is available as a whole, or that is already being streamed.
    pub(crate) fn response_started(self, now: Nanos) -> Self {
        match self {
            Self::Streaming { .. } => self,
            _ => Self::Sending {
                last_progress_at: now,
            },
        }
    }

    /// More of the body has arrived after the response began. The client may read the response only after it has sent
    /// the whole body.
    pub(crate) fn body_continued(self, now: Nanos) -> Self {
        match self {
            Self::Sending { .. } => Self::Sending {
                last_progress_at: now,
            },
            other => other,
        }
    }

    /// The last byte of a streamed response has arrived from the backend.
    pub(crate) fn stream_ended(self, now: Nanos) -> Self {
        match self {
            Self::Streaming { .. } => Self::Sending {
                last_progress_at: now,
            },
            other => other,
        }
    }
}

/// Queries.
impl ConnectionState {
    /// Whether the first request on a new connection is expected to arrive soon.
    pub(crate) fn expects_first_request(&self, now: Nanos) -> bool {
        match *self {
            Self::New { accepted_at } => {
                now.saturating_sub(accepted_at) < nanos(DRAIN_FIRST_REQUEST_GRACE)
            }
            _ => false,
        }
    }

    /// Whether a response that is available as a whole is being sent.
    pub(crate) fn is_sending(&self) -> bool {
        matches!(self, Self::Sending { .. })
    }

    /// Whether an upload waits for a backend, and not for the client.
    pub(crate) fn is_backend_blocked(&self) -> bool {
        matches!(self, Self::ReadingBody(body) if body.is_backend_blocked)
    }

    /// Whether the connection is being closed and serves no more requests.
    pub(crate) fn is_closing(&self) -> bool {
        matches!(self, Self::Closing { .. } | Self::LingeringClose { .. })
    }

    pub(crate) fn is_reading_head(&self) -> bool {
        matches!(self, Self::ReadingHead { .. })
    }

    pub(crate) fn is_reading_request(&self) -> bool {
        matches!(self, Self::ReadingHead { .. } | Self::ReadingBody(_))
    }

    pub(crate) fn awaits_response(&self) -> bool {
        match self {
            Self::ReadingBody(body) => body.is_submitted,
            Self::AwaitingResponse => true,
            _ => false,
        }
    }

    /// When the body has to be complete, unless more bytes arrive first; `None` if no body is being read.
    pub(crate) fn body_deadline(&self, last_progress_at: Nanos) -> Option<Nanos> {
        match self {
            Self::ReadingBody(body) => Some(body.deadline(last_progress_at)),
            _ => None,
        }
    }

    /// The time that the received part of the body may take at [`MIN_BODY_BYTES_PER_SECOND`]; 0 if no body is being
    /// read.
    pub(crate) fn body_time_at_lowest_rate(&self) -> Nanos {
        match self {
            Self::ReadingBody(body) => time_at_lowest_rate(body.received_bytes),
            _ => 0,
        }
    }

    /// When the connection times out unless there is progress; `None` in states without a time limit of their own.
    pub(crate) fn times_out_at(&self, last_progress_at: Nanos) -> Option<Nanos> {
        let (since, timeout) = match *self {
            Self::New { accepted_at: since } | Self::ReadingHead { started_at: since } => {
                (since, HEAD_READ_TIMEOUT + TIMEOUT_RESPONSE_GRACE)
            }
            Self::ReadingBody(body) if body.is_submitted => return None,
            Self::ReadingBody(body) => (body.deadline(last_progress_at), TIMEOUT_RESPONSE_GRACE),
            Self::AwaitingResponse => return None,
            Self::Streaming { last_progress_at } | Self::Sending { last_progress_at } => {
                (last_progress_at, RESPONSE_PROGRESS_TIMEOUT)
            }
            Self::Idle { since } => (since, IDLE_TIMEOUT),
            Self::Closing { since } => (since, CLOSE_TIMEOUT),
            Self::LingeringClose {
                since,
                received_bytes,
            } => {
                let ends_at = discarding_ends_at(since, received_bytes);
                let last_counted = ends_at.saturating_sub(nanos(LINGER_TIMEOUT));
                (last_progress_at.clamp(since, last_counted), LINGER_TIMEOUT)
            }
        };
        Some(since.saturating_add(nanos(timeout)))
    }

    /// The limit that [`times_out_at`](Self::times_out_at) enforces; `None` in states without one.
    pub(crate) fn limit(&self) -> Option<ConnectionLimit> {
        match self {
            Self::New { .. } => Some(ConnectionLimit::FirstRequest),
            Self::ReadingHead { .. } => Some(ConnectionLimit::RequestHead),
            Self::ReadingBody(body) if body.is_submitted => None,
            Self::ReadingBody(_) => Some(ConnectionLimit::RequestBody),
            Self::AwaitingResponse => None,
            Self::Streaming { .. } => Some(ConnectionLimit::StreamToClient),
            Self::Sending { .. } => Some(ConnectionLimit::ResponseSend),
            Self::Idle { .. } => Some(ConnectionLimit::Idle),
            Self::Closing { .. } => Some(ConnectionLimit::Close),
            Self::LingeringClose { .. } => Some(ConnectionLimit::LingeringClose),
        }
    }

    /// Whether a connection that times out in this state is closed gracefully instead of being aborted.
    pub(crate) fn times_out_gracefully(&self) -> bool {
        matches!(
            self,
            Self::New { .. } | Self::ReadingHead { .. } | Self::Idle { .. }
        )
    }

    /// Whether the next expected event is the arrival of bytes from the client.
    pub(crate) fn waits_for_client(&self) -> bool {
        match self {
            Self::New { .. } | Self::ReadingHead { .. } | Self::Idle { .. } => true,
            Self::ReadingBody(body) => !body.is_backend_blocked,
            Self::AwaitingResponse
            | Self::Streaming { .. }
            | Self::Sending { .. }
            | Self::Closing { .. }
            | Self::LingeringClose { .. } => false,
        }
    }

    /// The order of eviction; `None` if the connection may not be evicted.
    pub(crate) fn eviction_rank(
        &self,
        now: Nanos,
        last_progress_at: Nanos,
    ) -> Option<EvictionRank> {
        let (class, since, min_age) = match *self {
            Self::Closing { since } | Self::LingeringClose { since, .. } => {
                (EvictionClass::Closing, since, Nanos::MIN)
            }
            Self::New { accepted_at } => (
                EvictionClass::Silent,
                accepted_at,
                nanos(MIN_SILENCE_BEFORE_EVICTION),
            ),
            Self::Idle { since } => (EvictionClass::Idle, since, nanos(MIN_IDLE_BEFORE_EVICTION)),
            Self::ReadingBody(body) if body.is_backend_blocked => return None,
            Self::ReadingHead { .. } | Self::ReadingBody(_) => (
                EvictionClass::Stalled,
                last_progress_at,
                nanos(MIN_STALL_BEFORE_EVICTION),
            ),
            Self::AwaitingResponse | Self::Streaming { .. } | Self::Sending { .. } => return None,
        };
        (now.saturating_sub(since) >= min_age).then_some(EvictionRank { class, since })
    }
}

#[cfg(test)]
mod tests;

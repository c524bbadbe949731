//! Actions that the balancer asks the embedder to carry out.

use std::fmt;

use badgerpost_time::MILLISECOND;

use super::events::Outcome;
use super::ids::{BackendId, Nanos, RequestId, ZoneId};

/// A step for the embedder to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a backend, as the request's next attempt.
    Send {
        /// Request to send.
        request: RequestId,
        /// Backend to send it to.
        backend: BackendId,
        /// Timeout of the attempt from the send; `None` to wait until the request expires.
        timeout: Option<Nanos>,
    },
    /// Final answer: rejected. A retry by the client is safe.
    Reject {
        /// Request to reject.
        request: RequestId,
        /// `Retry-After` for the client in nanoseconds, at most
        /// [`Limits::max_retry_after`](crate::Limits::max_retry_after); 0 for none.
        retry_after: Nanos,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// Request to fail.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of the sends.
        attempt: u32,
    },
    /// Check a backend's health.
    CheckHealth {
        /// Backend to check.
        backend: BackendId,
    },
    /// Watch discovery for all changes from now on.
    WatchEndpoints,
    /// Fetch the complete endpoint list from discovery once.
    FetchSnapshot,
    /// Report [`Event::TimerFired`](crate::Event::TimerFired) after this time.
    SetTimer {
        /// Nanoseconds from now.
        after: Nanos,
        /// Token to return in the event.
        token: u64,
    },
    /// Write an event to the operators' log.
    Log(LogEvent),
}

/// An event for operators. The `Display` text is for people, the fields are for structured logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The local zone has reached the spill threshold, or has fallen below it and serves all requests again.
    ZoneSpill {
        /// Whether the local zone spills now.
        active: bool,
        /// Remote zone that receives overflow first; the local zone if there is no remote zone.
        to: ZoneId,
    },
    /// A backend is an outlier and receives no requests for a while.
    Ejected {
        /// Ejected backend.
        backend: BackendId,
        /// Nanoseconds until the backend may receive a trial request.
        duration: Nanos,
        /// Outcome of the attempt that led to the ejection.
        outcome: Outcome,
    },
    /// A backend has served its trial requests and receives requests again.
    Readmitted {
        /// Readmitted backend.
        backend: BackendId,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ZoneSpill { active, to } => {
                let does = if *active { "spills" } else { "serves" };
                write!(f, "home zone {does}; the best other one is {}", to.0)
            }
            Self::Ejected {
                backend,
                duration,
                outcome,
            } => {
                write!(
                    f,
                    "backend {} ejected for {} ms: {}",
                    backend.0,
                    duration / MILLISECOND,
                    outcome.log_name()
                )
            }
            Self::Readmitted { backend } => {
                write!(f, "backend {} readmitted: trials served", backend.0)
            }
        }
    }
}

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
        /// Why the request gets no response.
        reason: EndReason,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// Request to fail.
        request: RequestId,
        /// Why the request gets no response.
        reason: EndReason,
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

/// Why the balancer ends a request without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The request was not admitted: overload, a quota, or no time left.
    NotAdmitted,
    /// The request was queued until it could no longer be answered in time.
    ExpiredInQueue,
    /// An attempt ended unsuccessfully after the latency objective.
    ObjectivePassed,
    /// An attempt ended unsuccessfully, and the retry budget is exhausted.
    RetryBudgetExhausted,
    /// An attempt ended unsuccessfully, and no backend may receive another attempt.
    NoRetryTarget,
}

impl EndReason {
    /// All reasons, in the order in which the metrics page shows them.
    pub const ALL: [Self; 5] = [
        Self::NotAdmitted,
        Self::ExpiredInQueue,
        Self::ObjectivePassed,
        Self::RetryBudgetExhausted,
        Self::NoRetryTarget,
    ];

    /// The reason's name in logs and metrics.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::NotAdmitted => "not_admitted",
            Self::ExpiredInQueue => "expired_in_queue",
            Self::ObjectivePassed => "objective_passed",
            Self::RetryBudgetExhausted => "retry_budget_exhausted",
            Self::NoRetryTarget => "no_retry_target",
        }
    }
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

//! Actions that the decision module asks its embedder to carry out.

use std::fmt;

use badgerpost_time::MILLISECOND;

use super::events::Outcome;
use super::ids::{BackendId, Nanos, RequestId, ZoneId};

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
        /// Its timeout; `None` to wait until the client gives up.
        timeout: Option<Nanos>,
    },
    /// Final answer: rejected; the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// `Retry-After` for the client; 0 for none.
        retry_after: Nanos,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Check a backend's health.
    CheckHealth {
        /// The backend.
        backend: BackendId,
    },
    /// Watch discovery for all changes from now on.
    WatchEndpoints,
    /// Fetch the complete list from discovery once.
    FetchSnapshot,
    /// Wake the module after this time.
    SetTimer {
        /// How long from now.
        after: Nanos,
        /// Comes back in [`Event::TimerFired`](crate::Event::TimerFired).
        token: u64,
    },
    /// Something for the operators' log.
    Log(LogEvent),
}

/// An event for operators. Its text is for people; its fields are for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The local zone has reached its spill threshold, or is below it again and serves all requests.
    ZoneSpill {
        /// Whether it spills now.
        active: bool,
        /// The best-scored other zone; the local zone where there is none.
        to: ZoneId,
    },
    /// A backend is an outlier and gets nothing for a while.
    Ejected {
        /// Which one.
        backend: BackendId,
        /// For how long.
        duration: Nanos,
        /// What its last attempt came to.
        outcome: Outcome,
    },
    /// A backend has served its trial requests and is back in use.
    Readmitted {
        /// Which one.
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

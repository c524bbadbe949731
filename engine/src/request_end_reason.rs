//! Why a request ended without a response of a backend, and a counter for each reason.

use std::sync::atomic::{AtomicU64, Ordering};

use badgerpost_balancer::EndReason;

/// Why a request ended without a response of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEndReason {
    /// The balancer's decision.
    Balancer(EndReason),
    /// The client disconnected.
    ClientDisconnected,
    /// The balancer did not end the request in time, so that the engine did.
    FallbackTimeout,
    /// No backend read the body of the request.
    UploadStalled,
    /// The id that the client gave the request is in use.
    DuplicateId,
    /// The node had no memory for the request's body.
    NoMemory,
}

impl From<EndReason> for RequestEndReason {
    fn from(reason: EndReason) -> Self {
        Self::Balancer(reason)
    }
}

impl RequestEndReason {
    /// All reasons, in the order in which the metrics page shows them.
    pub fn all() -> impl Iterator<Item = Self> {
        let others = [
            Self::ClientDisconnected,
            Self::FallbackTimeout,
            Self::UploadStalled,
            Self::DuplicateId,
            Self::NoMemory,
        ];
        EndReason::ALL.map(Self::Balancer).into_iter().chain(others)
    }

    /// The reason's name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Balancer(reason) => reason.log_name(),
            Self::ClientDisconnected => "client_disconnected",
            Self::FallbackTimeout => "fallback_timeout",
            Self::UploadStalled => "upload_stalled",
            Self::DuplicateId => "duplicate_id",
            Self::NoMemory => "no_memory",
        }
    }

    /// The index of the reason's counter.
    fn index(self) -> usize {
        match self {
            Self::Balancer(reason) => reason as usize,
            Self::ClientDisconnected => EndReason::ALL.len(),
            Self::FallbackTimeout => EndReason::ALL.len() + 1,
            Self::UploadStalled => EndReason::ALL.len() + 2,
            Self::DuplicateId => EndReason::ALL.len() + 3,
            Self::NoMemory => EndReason::ALL.len() + 4,
        }
    }
}

/// The number of reasons.
const REASONS: usize = EndReason::ALL.len() + 5;

/// The number of requests that ended for each reason.
#[derive(Debug, Default)]
pub(crate) struct RequestEndReasonCounters([AtomicU64; REASONS]);

impl RequestEndReasonCounters {
    pub(crate) fn count(&self, reason: RequestEndReason) {
        self.0[reason.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn get(&self, reason: RequestEndReason) -> u64 {
        self.0[reason.index()].load(Ordering::Relaxed)
    }
}

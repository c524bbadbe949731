//! Events that the embedder reports to the decision module.

use super::ids::{BackendId, ClassId, Nanos, RequestId, ZoneId};

/// State of a backend by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    #[default]
    InService,
    /// Draining: it completes its work, and nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub machine_kind: u32,
    /// Its cell.
    pub cell: u64,
    /// Hash of its name, the same at every node.
    pub name_hash: u64,
    /// Whether it may get requests.
    pub state: EndpointState,
    /// Its size relative to others, as [`WeightSource`](crate::WeightSource) says; 0 or less counts as 1.
    pub size: f64,
    /// When its process started, if recently.
    pub started_at: Option<Nanos>,
}

impl Endpoint {
    /// Its size, or 1 where that is not a positive number.
    pub fn size_or_one(&self) -> f64 {
        if self.size.is_finite() && self.size > 0.0 {
            self.size
        } else {
            1.0
        }
    }
}

/// Which list an [`Event::EndpointsUpdated`] brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list: a backend that is missing has been removed.
    Snapshot,
    /// The complete list as the node last cached it, perhaps stale.
    Cached,
}

/// A backend's figures of its load; absent where not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Share of its cores in use.
    pub utilization: Option<f64>,
    /// Requests it serves a second.
    pub requests_per_second: Option<f64>,
    /// Requests it holds.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The backend returned an error.
    Error,
    /// The answer is invalid, perhaps because of the request.
    InvalidResponse,
    /// Rejected by the backend without being executed.
    Rejected,
    /// No answer in time.
    TimedOut,
    /// No connection could be made.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// Cancelled by the node.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// The outcome's name in log lines and simulator traces. It keeps the form that operators' tools read.
    pub fn log_name(self) -> &'static str {
        match self {
            Self::Success => "Served",
            Self::Error => "Error",
            Self::InvalidResponse => "Spoilt",
            Self::Rejected => "Full",
            Self::TimedOut => "TimedOut",
            Self::ConnectFailed => "ConnectFailed",
            Self::Reset => "Reset",
            Self::Cancelled => "Cancelled",
            Self::NotSent => "Moot",
        }
    }
}

/// A request that has come in.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Hash of the name of what it concerns.
    pub affinity_key: Option<u64>,
    /// Expected service time on a standard core.
    pub expected_service_time: Option<Nanos>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// Its tenant: a position in [`Settings::tenant_quotas`](crate::Settings::tenant_quotas).
    pub tenant: Option<u32>,
    /// When the client gives this attempt up.
    pub expires_at: Nanos,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0 in the order of the sends.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the send; none if it isn't known, as the node stood still when the attempt ended.
    pub elapsed: Option<Nanos>,
    /// The request has ended, by this or earlier.
    pub request_ended: bool,
    /// The backend's figures, if any came.
    pub report: LoadReport,
}

/// What the embedder reports to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must come first, once.
    Start,
    /// A list of backends.
    EndpointsUpdated {
        /// Which list.
        update: EndpointUpdate,
        /// Its lines.
        endpoints: Vec<Endpoint>,
    },
    /// A call to discovery failed, or the watch broke.
    DiscoveryFailed,
    /// A request has arrived; it gets exactly one final answer.
    RequestArrived(RequestArrival),
    /// The same, but its body is still on the way: its client's time begins with [`Event::UploadComplete`],
    /// and until then no backend works on it. `expires_at` is when it is given up if that never comes.
    UploadStarted(RequestArrival),
    /// The last byte of a request's body has come.
    UploadComplete {
        /// The request.
        request: RequestId,
        /// When the client gives this attempt up.
        expires_at: Nanos,
    },
    /// Bytes of a request's body have been sent and are not kept: the request can't be sent again.
    BodyConsumed {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// This backend broke off an answer that was being forwarded.
    ResponseAborted {
        /// The backend.
        backend: BackendId,
    },
    /// A streamed answer has started.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the health check was sent.
        elapsed: Nanos,
        /// The backend's figures, if any came.
        report: LoadReport,
    },
    /// The client has disconnected; no answer is needed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// A zone's traffic share has changed; at the start each has 1.
    ZoneShareChanged {
        /// The zone.
        zone: ZoneId,
        /// For the local zone, the fraction of the requests that it takes; for another, its weight among the
        /// others in the division of the rest. At 0 no new request goes there.
        share: f64,
    },
    /// The next idempotent request is to probe this zone, whatever its traffic share.
    ZoneProbeRequested {
        /// The zone.
        zone: ZoneId,
        /// How long to wait for the answer.
        timeout: Nanos,
    },
    /// A timer came due.
    TimerFired {
        /// As given in [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
}

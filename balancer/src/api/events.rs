//! Events that the embedder reports to the balancer.

use super::ids::{BackendId, ClassId, Nanos, RequestId, ZoneId};

/// State of a backend in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    #[default]
    InService,
    /// Completes the work in progress; must not receive new requests.
    Draining,
    /// No longer listed, or listed as gone.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Backend that the entry describes.
    pub backend: BackendId,
    /// Zone that the backend runs in.
    pub zone: ZoneId,
    /// Machine type, numbered by the embedder; backends of one type have the same size when idle.
    pub machine_kind: u32,
    /// Deduplication cell, used with [`DedupScope::Cell`](crate::DedupScope::Cell).
    pub cell: u64,
    /// Hash of the backend's name, the same at every node; used for key affinity.
    pub name_hash: u64,
    /// Whether the backend may receive requests.
    pub state: EndpointState,
    /// Capacity relative to other backends, as defined by [`WeightSource`](crate::WeightSource); 0 or less counts
    /// as 1.
    pub size: f64,
    /// Start of the backend's process, on the embedder's clock; `None` if unknown or long ago.
    pub started_at: Option<Nanos>,
}

impl Endpoint {
    /// The size, or 1 if the size is not a positive finite number.
    pub fn size_or_one(&self) -> f64 {
        if self.size.is_finite() && self.size > 0.0 {
            self.size
        } else {
            1.0
        }
    }
}

/// The kind of list in an [`Event::EndpointsUpdated`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The complete list; backends missing from the list have been removed.
    Snapshot,
    /// The complete list from the node's cache, possibly outdated.
    Cached,
}

/// Load reported by a backend; each field is `None` if not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Fraction of the backend's cores in use; implausible values are ignored.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub requests_per_second: Option<f64>,
    /// Requests in progress or queued at the backend.
    pub in_flight: Option<f64>,
}

/// The result of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Success,
    /// The backend returned an error.
    Error,
    /// The response is invalid; the request may be the cause.
    InvalidResponse,
    /// The backend rejected the request without executing it.
    Rejected,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// The node cancelled the attempt.
    Cancelled,
    /// The request was never sent to the backend.
    NotSent,
}

impl Outcome {
    /// All outcomes, in the order in which the metrics page shows them.
    pub const ALL: [Self; 9] = [
        Self::Success,
        Self::Error,
        Self::InvalidResponse,
        Self::Rejected,
        Self::TimedOut,
        Self::ConnectFailed,
        Self::Reset,
        Self::Cancelled,
        Self::NotSent,
    ];

    /// Whether the backend may have executed the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// The outcome's name in logs and simulator traces. Operators' tools match these names.
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

/// A request received from a client.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    /// Id of the request.
    pub request: RequestId,
    /// Class of the request; an unknown class counts as the last one of the settings.
    pub class: ClassId,
    /// Affinity key: hash of the name of the object that the request concerns; `None` without a key.
    pub affinity_key: Option<u64>,
    /// Expected service time on a standard core, in nanoseconds; `None` if unknown, to derive it from the class's
    /// base time.
    pub expected_service_time: Option<Nanos>,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// Tenant, as an index into [`Settings::tenant_quotas`](crate::Settings::tenant_quotas); `None` for a request
    /// without a quota.
    pub tenant: Option<u32>,
    /// Time at which the client gives up.
    pub expires_at: Nanos,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of the sends.
    pub attempt: u32,
    /// Result of the attempt.
    pub outcome: Outcome,
    /// Nanoseconds since the send; `None` if unknown because the node was stalled when the attempt ended.
    pub elapsed: Option<Nanos>,
    /// Whether the request has ended with this attempt or before.
    pub request_ended: bool,
    /// Load report that came with the response; empty if there was none.
    pub report: LoadReport,
}

/// An event that the embedder reports to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The node starts. Must be the first event, and occur once.
    Start,
    /// An endpoint list has arrived.
    EndpointsUpdated {
        /// Kind of the list.
        update: EndpointUpdate,
        /// Entries of the list.
        endpoints: Vec<Endpoint>,
    },
    /// A call to discovery has failed, or the watch has ended.
    DiscoveryFailed,
    /// A request has arrived completely. Each request gets exactly one final answer.
    RequestArrived(RequestArrival),
    /// A request has arrived whose body is still being received. Until [`Event::UploadComplete`], the client's time
    /// does not run and no backend works on the request. `expires_at` is the time to give up if the body is never
    /// completed.
    UploadStarted(RequestArrival),
    /// The last byte of a request's body has arrived.
    UploadComplete {
        /// Request whose body is complete.
        request: RequestId,
        /// Time at which the client gives up.
        expires_at: Nanos,
    },
    /// Part of a request's body has been sent and was not kept, so the request cannot be sent again.
    BodyConsumed {
        /// Request whose body was partly sent.
        request: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// A backend broke off a response that was being forwarded.
    ResponseAborted {
        /// Backend that broke off the response.
        backend: BackendId,
    },
    /// The response of an attempt has begun to arrive, and then paused. Reported once per attempt at most; the attempt
    /// stays in flight.
    ResponseStalled {
        /// Request that is being answered.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Whether giving up the attempt cuts off no response that may be sound beyond the client's deadline.
        is_replaceable: bool,
    },
    /// The streaming of a response has started.
    ResponseStarted {
        /// Request that is being answered.
        request: RequestId,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// Checked backend.
        backend: BackendId,
        /// Result of the check.
        outcome: Outcome,
        /// Nanoseconds since the health check was sent.
        elapsed: Nanos,
        /// Load report in the response; empty if there was none.
        report: LoadReport,
    },
    /// The client has disconnected; the request needs no answer.
    ClientDisconnected {
        /// Request of that client.
        request: RequestId,
    },
    /// A zone's traffic share has changed. The initial share of every zone is 1.
    ZoneShareChanged {
        /// Zone whose share has changed.
        zone: ZoneId,
        /// For the local zone, the fraction of requests that it takes, 0 to 1; for a remote zone, its weight in the
        /// division of the remaining requests. A zone with share 0 gets no new requests.
        share: f64,
    },
    /// The next suitable idempotent request is to be sent to this zone as a probe, whatever the zone's traffic
    /// share.
    ZoneProbeRequested {
        /// Zone to probe.
        zone: ZoneId,
        /// Nanoseconds to wait for the response.
        timeout: Nanos,
    },
    /// A timer has fired.
    TimerFired {
        /// Token of the [`Action::SetTimer`](crate::Action::SetTimer) that set the timer.
        token: u64,
    },
}

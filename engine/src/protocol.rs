//! The interface between an adapter and an engine for requests: what an adapter submits, and the final outcome that
//! it gets back.

use badgerpost_balancer::{ClassId, Idempotency, Nanos};

use crate::metrics::RequestEnd;

/// The types that an adapter's requests and responses have. The engine passes them on and never looks inside.
pub trait Protocol: 'static {
    /// A client's request in the form in which it is forwarded.
    type Request: 'static;
    /// A backend's response.
    type Response: 'static;
}

/// A client's request as submitted to an engine.
pub struct IncomingRequest<P: Protocol> {
    /// The client's id of the request. No two open requests have the same one.
    pub id: Box<str>,
    /// The request's class.
    pub class: ClassId,
    /// The tenant's number, on a site with tenants ([`Engine::tenant`](crate::Engine::tenant)).
    pub tenant: Option<u32>,
    /// A hash of the name of what the request is about ([`badgerpost_settings::name_hash`]).
    pub affinity_key: Option<u64>,
    /// The client's estimate of the time that a backend works on the request.
    pub expected_service_time: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// How long the client waits from now on.
    pub budget: Nanos,
    /// What is forwarded to a backend.
    pub payload: P::Request,
}

/// The final outcome of a request.
#[derive(Debug)]
pub enum RequestOutcome<R> {
    /// Served, with a backend's response.
    Served(R),
    /// Rejected. The client should not retry within this time, if it is above 0.
    Rejected(Nanos),
    /// Failed.
    Failed,
    /// Failed, with a backend's error response, which the client is given.
    FailedWith(R),
}

impl<R> RequestOutcome<R> {
    /// How the request has ended for the metrics.
    pub(crate) fn end(&self) -> RequestEnd {
        match self {
            Self::Served(_) => RequestEnd::Served,
            Self::Rejected(_) => RequestEnd::Rejected,
            Self::Failed | Self::FailedWith(_) => RequestEnd::Failed,
        }
    }
}

/// What an adapter needs to know of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The class.
    pub id: ClassId,
    /// The longest that a client of this class waits.
    pub deadline: Nanos,
    /// Whether its requests may be sent more than once.
    pub idempotency: Idempotency,
}

/// The settings list tenants, and the request names none of them.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

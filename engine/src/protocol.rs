//! The types that adapters and the engine exchange about requests: an adapter submits an [`IncomingRequest`] and
//! receives a [`RequestOutcome`].

use badgerpost_balancer::{ClassId, Idempotency, Nanos};

use crate::metrics::RequestEnd;

/// The request and response types of an adapter. The engine passes values of these types on without inspecting them.
pub trait Protocol: 'static {
    /// A client's request, ready to be forwarded to a backend.
    type Request: 'static;
    /// A backend's response.
    type Response: 'static;
}

/// A client's request as submitted to an engine.
pub struct IncomingRequest<P: Protocol> {
    /// The request's id as chosen by the client. Unique among the open requests.
    pub id: Box<str>,
    /// The request's class.
    pub class: ClassId,
    /// The tenant's number from [`Engine::tenant`](crate::Engine::tenant); absent if the settings define no tenants.
    pub tenant: Option<u32>,
    /// The [hash](badgerpost_settings::name_hash) of the name that the request refers to, for affinity to backends.
    pub affinity_key: Option<u64>,
    /// The client's estimate of the time that a backend needs to serve the request.
    pub expected_service_time: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// How long the client waits, counted from the submission.
    pub budget: Nanos,
    /// The request to forward to a backend.
    pub payload: P::Request,
}

/// The final outcome of a request.
#[derive(Debug)]
pub enum RequestOutcome<R> {
    /// A backend served the request with this response.
    Served(R),
    /// The request was rejected. The client should wait for this time before it retries; 0 sets no minimum.
    Rejected(Nanos),
    /// The request failed without a response for the client.
    Failed,
    /// The request failed, and the client receives this error response of a backend.
    FailedWith(R),
}

impl<R> RequestOutcome<R> {
    /// The kind of end that the metrics count.
    pub(crate) fn end(&self) -> RequestEnd {
        match self {
            Self::Served(_) => RequestEnd::Served,
            Self::Rejected(_) => RequestEnd::Rejected,
            Self::Failed | Self::FailedWith(_) => RequestEnd::Failed,
        }
    }
}

/// The properties of a request class that adapters use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The id of the class.
    pub id: ClassId,
    /// The longest time that a client of this class waits.
    pub deadline: Nanos,
    /// Whether requests of this class may be sent more than once.
    pub idempotency: Idempotency,
}

/// The settings define tenants, but the request names none of them.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

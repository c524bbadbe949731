//! What a front brings to an engine and what passes between them: requests in, attempts to be made, their ends, and
//! the one reply.

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, EndpointState, LoadReport, Nanos, Outcome, RequestId};
use tokio::sync::{oneshot, watch};

/// What a front brings: the types of what its requests carry and of what serves them.
pub trait Protocol: 'static {
    /// A client's request in the form in which it is passed on.
    type Request: 'static;
    /// What a backend answers.
    type Response: 'static;
}

/// The final answer to a request.
#[derive(Debug)]
pub enum RequestOutcome<A> {
    /// Served, with a backend's answer.
    Served(A),
    /// Refused; the client should stay away for this long, if that is above 0.
    Rejected(Nanos),
    /// Failed.
    Failed,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) backend: BackendId,
}

/// An attempt to be made.
pub struct AttemptCommand<P: Protocol> {
    /// Which one; goes back with its outcome.
    pub attempt: AttemptId,
    /// Whom to send to.
    pub backend: BackendId,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// What to send.
    pub call: Rc<P::Request>,
    /// When to stop waiting.
    pub attempt_deadline: Nanos,
    /// When the client stops waiting.
    pub expires_at: Nanos,
    /// Where the request's body is still on the way: the two times above as they are once it is whole.
    pub upload_deadline: Option<watch::Receiver<Nanos>>,
    /// Resolves once the attempt has been cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct AttemptEnd<A> {
    /// What happened.
    pub outcome: Outcome,
    /// The load report that came along.
    pub report: LoadReport,
    /// The answer of one that served; with none it has not served.
    pub response: Option<A>,
    /// The answer has only begun: what passes it on says in the [`Tally`](crate::Tally) how it ends.
    pub is_streaming: bool,
}

impl<A> AttemptEnd<A> {
    /// An end with nothing received.
    pub fn bare(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            response: None,
            is_streaming: false,
        }
    }
}

/// One line of discovery's list.
pub struct DiscoveredEndpoint {
    /// The backend's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u64,
    /// What it may take.
    pub state: EndpointState,
    /// Its size.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started_at_ms: u64,
}

/// What a client's request says of itself.
pub struct IncomingRequest<P: Protocol> {
    /// Its id.
    pub id: Box<str>,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: Option<u32>,
    /// What it concerns, as a number drawn from that thing's name ([`badgerpost_settings::name_tag`]).
    pub affinity_key: Option<u64>,
    /// Its work, where the client guesses it.
    pub expected_work: Option<Nanos>,
    /// Marked as a repeat.
    pub is_retry: bool,
    /// How long the client waits.
    pub budget: Nanos,
    /// What is passed on.
    pub call: P::Request,
}

/// The settings name no such tenant.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

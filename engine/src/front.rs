//! What a front brings to an engine and what passes between them: requests in, attempts to be made, their ends, and
//! the one reply.

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, Nanos, Outcome, Report, RequestId, Stage};
use tokio::sync::{oneshot, watch};

/// What a front brings: the types of what its requests carry and of what serves them.
pub trait Front: 'static {
    /// A client's request in the form in which it is passed on.
    type Call: 'static;
    /// What a backend answers.
    type Answer: 'static;
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply<A> {
    /// Served, with a backend's answer.
    Served(A),
    /// Refused; the client should stay away for this long, if that is above 0.
    Refused(Nanos),
    /// Failed.
    Failed,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) backend: BackendId,
}

/// An attempt to be made.
pub struct Launch<F: Front> {
    /// Which one; goes back with its outcome.
    pub ticket: Ticket,
    /// Whom to send to.
    pub backend: BackendId,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// What to send.
    pub call: Rc<F::Call>,
    /// When to stop waiting.
    pub give_up: Nanos,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Where the request's body is still on the way: the two times above as they are once it is whole.
    pub deadline: Option<watch::Receiver<Nanos>>,
    /// Resolves once the attempt has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct Ending<A> {
    /// What happened.
    pub outcome: Outcome,
    /// The load report that came along.
    pub report: Report,
    /// The answer of one that served; with none it has not served.
    pub answer: Option<A>,
    /// The answer has only begun: what passes it on says in the [`Tally`](crate::Tally) how it ends.
    pub passing: bool,
}

impl<A> Ending<A> {
    /// An end with nothing received.
    pub fn bare(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), answer: None, passing: false }
    }
}

/// One line of discovery's list.
pub struct Listed {
    /// The backend's name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// What it may take.
    pub stage: Stage,
    /// Its size.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub boot_ms: u64,
}

/// What a client's request says of itself.
pub struct Asked<F: Front> {
    /// Its id.
    pub id: Box<str>,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: Option<u32>,
    /// What it concerns, as a number drawn from that thing's name ([`badgerpost_settings::name_tag`]).
    pub key: Option<u64>,
    /// Its work, where the client guesses it.
    pub hint: Option<Nanos>,
    /// Marked as a repeat.
    pub repeat: bool,
    /// How long the client waits.
    pub budget: Nanos,
    /// What is passed on.
    pub call: F::Call,
}

/// The settings name no such tenant.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

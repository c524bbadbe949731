//! One attempt to have a request served by one backend: its id, the command to start it, and its end.

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, LoadReport, Nanos, Outcome, RequestId};
use tokio::sync::{oneshot, watch};

use crate::protocol::Protocol;

/// The position of an attempt among those of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptNumber(pub(crate) u32);

impl AttemptNumber {
    /// The number of an attempt that has `earlier` attempts of the same request before it.
    pub(crate) fn after(earlier: usize) -> Self {
        Self(u32::try_from(earlier).unwrap_or(u32::MAX))
    }

    /// The attempt's index in its request's list of attempts.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
    pub(crate) backend: BackendId,
}

/// An attempt that a [`Transport`](crate::Transport) has to start.
pub struct AttemptCommand<P: Protocol> {
    /// Identifies the attempt when its end is reported.
    pub attempt: AttemptId,
    /// The backend to send to.
    pub backend: BackendId,
    /// Where the backend listens.
    pub address: SocketAddr,
    /// What to send.
    pub payload: Rc<P::Request>,
    /// When the attempt times out.
    pub attempt_deadline: Nanos,
    /// When the client stops waiting.
    pub expires_at: Nanos,
    /// Present while the request's body is still being uploaded: yields the end of the client's waiting time once the
    /// upload is complete, which then replaces the two times above.
    pub upload_deadline: Option<watch::Receiver<Nanos>>,
    /// Resolves with `Ok` once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct AttemptEnd<R> {
    /// The result, as the balancer classifies it.
    pub outcome: Outcome,
    /// The load report that came with the response; empty if there was none.
    pub report: LoadReport,
    /// The response. Without one the attempt does not count as served, whatever its outcome. With another outcome than
    /// [`Outcome::Success`] it is given to the client if the request fails.
    pub response: Option<R>,
    /// Whether only the beginning of the response is here. Whoever forwards the rest then counts the request's end in
    /// the [`Metrics`](crate::Metrics).
    pub is_streaming: bool,
}

impl<R> AttemptEnd<R> {
    /// An end without a response.
    pub fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            response: None,
            is_streaming: false,
        }
    }
}

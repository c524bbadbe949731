//! An attempt to have a request served by a backend: the attempt's id, the command to start the attempt, and the end of
//! the attempt.

use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, LoadReport, Nanos, Outcome, RequestId};
use tokio::sync::{oneshot, watch};

use crate::backends::Incarnation;
use crate::protocol::Protocol;

/// The position of an attempt among those of its request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptNumber(pub(crate) u32);

impl AttemptNumber {
    /// The number of the attempt at `index` in the request's list of attempts.
    pub(crate) fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// The attempt's index in the request's list of attempts.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies an attempt of a request on a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
    pub(crate) backend: BackendId,
}

/// The command to a [`Transport`](crate::Transport) to start an attempt.
pub struct AttemptCommand<P: Protocol> {
    /// The id under which the transport reports the end of the attempt.
    pub attempt: AttemptId,
    /// The backend to send to.
    pub backend: BackendId,
    /// The address that the backend listens on.
    pub address: SocketAddr,
    /// The backend's process to send to.
    pub incarnation: Incarnation,
    /// The request to send.
    pub payload: Rc<P::Request>,
    /// When the attempt times out, on the engine's clock.
    pub attempt_deadline: Nanos,
    /// When the client stops waiting or, during an upload, when the upload times out, on the engine's clock.
    pub expires_at: Nanos,
    /// Present if the request was submitted while its body was uploaded. Yields the client's deadline once the upload
    /// is complete; that deadline replaces `attempt_deadline` and `expires_at`.
    pub upload_deadline: Option<watch::Receiver<Nanos>>,
    /// Resolves with `Ok` once the attempt is cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct AttemptEnd<R> {
    /// The result, as the balancer classifies it.
    pub outcome: Outcome,
    /// The load report that came with the response; empty if the response had none.
    pub report: LoadReport,
    /// The response. The request is served only if this is present and the outcome is [`Outcome::Success`]. With any
    /// other outcome, the client receives the response if the request fails.
    pub response: Option<R>,
    /// Whether the rest of the response is still being streamed. The code that forwards the rest must then count the
    /// end of the request in the [`Metrics`](crate::Metrics).
    pub is_streaming: bool,
}

impl<R> AttemptEnd<R> {
    /// The end of an attempt that has no response.
    pub fn without_response(outcome: Outcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            response: None,
            is_streaming: false,
        }
    }
}

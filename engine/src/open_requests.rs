//! The open requests of one engine. A request is open until it has an outcome and none of its attempts is in flight.
//!
//! ```text
//! submitted --> pending --> ended, attempts in flight --> removed
//!                  \______________________________________/
//! ```

use std::collections::HashMap;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, ClassId, Nanos, RequestId};
use tokio::sync::{oneshot, watch};

use crate::attempt::{AttemptCommand, AttemptId, AttemptNumber};
use crate::backends::BackendAddress;
use crate::metrics::{EndCounting, RequestEnd};
use crate::protocol::{IncomingRequest, Protocol, RequestOutcome};

/// The engine fails a request this long after the request's deadline if the balancer has not ended the request. Must be
/// longer than the delay of the balancer's own timeouts, and shorter than the lateness that the platform tolerates.
const FALLBACK_TIMEOUT_DELAY_NS: Nanos = 20_000_000;

/// Whether a request's body has been uploaded in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UploadState {
    /// The request has no body, or the node has received the whole body.
    Complete,
    /// The body is still being uploaded.
    InProgress,
}

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    backend: BackendId,
    /// Where the attempt is sent to; `None` if the backend is not listed.
    target: Option<BackendAddress>,
    /// Whether the request's body has been uploaded in full, so that the node is waiting for the backend only.
    pub(crate) is_request_complete: bool,
    /// When the wait for the backend's response began: at the start of the attempt, or at the end of the upload.
    pub(crate) waiting_since: Nanos,
    /// `None` once the attempt is cancelled.
    cancel_sender: Option<oneshot::Sender<()>>,
}

/// A new attempt of a request.
pub(crate) struct StartedAttempt {
    pub(crate) number: AttemptNumber,
    /// Resolves with `Ok` once the attempt is cancelled.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// The result of sending a request's outcome to the submitter.
pub(crate) enum Delivery {
    /// The outcome was received.
    Delivered(RequestEnd),
    /// The receiver was dropped.
    ClientDisconnected,
}

/// A backend's response to an attempt that did not succeed.
pub(crate) struct ErrorResponse<R> {
    pub(crate) response: R,
    /// When the metrics count the end of a request that fails with this response.
    pub(crate) counting: EndCounting,
}

/// A request that has no outcome yet, or has attempts in flight.
pub(crate) struct OpenRequest<P: Protocol> {
    /// The request's id as chosen by the client.
    pub(crate) client_id: Box<str>,
    pub(crate) class: ClassId,
    pub(crate) submitted_at: Nanos,
    payload: Rc<P::Request>,
    /// When the client stops waiting or, during an upload, when the upload times out.
    expires_at: Nanos,
    /// Notifies the attempts of a changed deadline. Present if the request was submitted while its body was uploaded.
    upload_deadline: Option<watch::Sender<Nanos>>,
    upload: UploadState,
    /// Indexed by attempt number; `None` for attempts that have ended.
    attempts: Vec<Option<InFlightAttempt>>,
    /// The error response of the last attempt, which the client receives if the request fails.
    error_response: Option<ErrorResponse<P::Response>>,
    /// `None` once the outcome is sent.
    outcome_sender: Option<oneshot::Sender<RequestOutcome<P::Response>>>,
    has_ended: bool,
    /// Whether an attempt that has ended may have run.
    pub(crate) may_have_run: bool,
}

impl<P: Protocol> OpenRequest<P> {
    /// Creates a request without attempts, whose outcome will be sent to `outcome_sender`.
    pub(crate) fn new(
        incoming: IncomingRequest<P>,
        submitted_at: Nanos,
        expires_at: Nanos,
        upload: UploadState,
        outcome_sender: oneshot::Sender<RequestOutcome<P::Response>>,
    ) -> Self {
        let is_uploading = upload == UploadState::InProgress;
        Self {
            client_id: incoming.id,
            class: incoming.class,
            submitted_at,
            payload: Rc::new(incoming.payload),
            expires_at,
            upload_deadline: is_uploading.then(|| watch::Sender::new(expires_at)),
            upload,
            attempts: Vec::new(),
            error_response: None,
            outcome_sender: Some(outcome_sender),
            has_ended: false,
            may_have_run: false,
        }
    }

    /// Whether the client is still waiting for an outcome.
    pub(crate) fn is_client_waiting(&self, now: Nanos) -> bool {
        !self.has_ended && now < self.expires_at
    }

    /// Whether the request's body is still being uploaded.
    pub(crate) fn is_uploading(&self) -> bool {
        self.upload == UploadState::InProgress
    }

    /// The number of attempts so far.
    pub(crate) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    /// The attempts in flight.
    pub(crate) fn in_flight(&self, request: RequestId) -> impl Iterator<Item = AttemptId> {
        self.attempts
            .iter()
            .enumerate()
            .filter_map(move |(index, attempt)| {
                Some(AttemptId {
                    request,
                    number: AttemptNumber::from_index(index),
                    backend: attempt.as_ref()?.backend,
                })
            })
    }

    /// When the engine fails the request if the balancer has not ended the request.
    pub(crate) fn fallback_timeout_at(&self) -> Nanos {
        self.expires_at.saturating_add(FALLBACK_TIMEOUT_DELAY_NS)
    }

    /// Adds an attempt and discards the error response of the previous one.
    pub(crate) fn start_attempt(&mut self, now: Nanos, backend: BackendId) -> StartedAttempt {
        self.error_response = None;
        let (cancel_sender, cancelled) = oneshot::channel();
        let number = AttemptNumber::from_index(self.attempts.len());
        self.attempts.push(Some(InFlightAttempt {
            backend,
            target: None,
            is_request_complete: !self.is_uploading(),
            waiting_since: now,
            cancel_sender: Some(cancel_sender),
        }));
        StartedAttempt { number, cancelled }
    }

    /// Builds the command that starts an attempt. The attempt times out at `timeout_at`, or at the request's deadline
    /// if that is earlier.
    pub(crate) fn attempt_command(
        &mut self,
        attempt: AttemptId,
        target: BackendAddress,
        timeout_at: Nanos,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptCommand<P> {
        if let Some(Some(in_flight)) = self.attempts.get_mut(attempt.number.index()) {
            in_flight.target = Some(target);
        }
        AttemptCommand {
            attempt,
            backend: target.backend,
            address: target.address,
            incarnation: target.incarnation,
            payload: self.payload.clone(),
            attempt_deadline: timeout_at.min(self.expires_at),
            expires_at: self.expires_at,
            upload_deadline: self.upload_deadline.as_ref().map(watch::Sender::subscribe),
            cancelled,
        }
    }

    /// Where an attempt in flight is sent to.
    pub(crate) fn target(&self, number: AttemptNumber) -> Option<BackendAddress> {
        self.attempts.get(number.index())?.as_ref()?.target
    }

    /// Cancels an attempt. Does nothing if the attempt has ended or was cancelled before.
    pub(crate) fn cancel_attempt(&mut self, number: AttemptNumber) {
        let Some(Some(attempt)) = self.attempts.get_mut(number.index()) else {
            return;
        };
        if let Some(cancel_sender) = attempt.cancel_sender.take() {
            // Sending fails if the attempt's task has just finished.
            let _ = cancel_sender.send(());
        }
    }

    /// Removes an attempt that has ended. Returns `None` if the attempt was removed before.
    pub(crate) fn take_attempt(&mut self, number: AttemptNumber) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number.index())?.take()
    }

    /// Records the end of the upload: sets the client's deadline, and starts the response time of the attempts in
    /// flight.
    pub(crate) fn complete_upload(&mut self, now: Nanos, expires_at: Nanos) {
        self.expires_at = expires_at;
        if let Some(upload_deadline) = &self.upload_deadline {
            upload_deadline.send_replace(expires_at);
        }
        self.upload = UploadState::Complete;
        for attempt in self.attempts.iter_mut().flatten() {
            attempt.waiting_since = now;
            attempt.is_request_complete = true;
        }
    }

    /// Sends the outcome to the submitter. Returns `None` if an outcome was sent before.
    pub(crate) fn send_outcome(
        &mut self,
        outcome: RequestOutcome<P::Response>,
    ) -> Option<Delivery> {
        let outcome_sender = self.outcome_sender.take()?;
        let end = outcome.end();
        let delivery = match outcome_sender.send(outcome) {
            Ok(()) => Delivery::Delivered(end),
            Err(_) => Delivery::ClientDisconnected,
        };
        Some(delivery)
    }

    /// Stores the error response of an attempt, replacing an earlier one.
    pub(crate) fn set_error_response(&mut self, error_response: ErrorResponse<P::Response>) {
        self.error_response = Some(error_response);
    }

    pub(crate) fn take_error_response(&mut self) -> Option<ErrorResponse<P::Response>> {
        self.error_response.take()
    }

    /// Marks the request as ended. If the request was submitted while its body was uploaded, also sets the deadline of
    /// its attempts to `now`: during the upload, nothing else ends these attempts.
    pub(crate) fn mark_ended(&mut self, now: Nanos) {
        self.has_ended = true;
        if let Some(upload_deadline) = &self.upload_deadline {
            upload_deadline.send_replace(now.min(self.expires_at));
        }
    }

    /// Whether the request has an outcome and no attempts in flight.
    fn is_done(&self) -> bool {
        self.has_ended && self.attempts.iter().all(Option::is_none)
    }
}

/// The open requests by id. The adapters' limits on connections and sessions bound the number of entries.
pub(crate) struct OpenRequests<P: Protocol> {
    requests: HashMap<RequestId, OpenRequest<P>>,
    next_id: u64,
}

impl<P: Protocol> Default for OpenRequests<P> {
    fn default() -> Self {
        Self {
            requests: HashMap::new(),
            next_id: 0,
        }
    }
}

impl<P: Protocol> OpenRequests<P> {
    /// Returns a request id that was never used before.
    pub(crate) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: OpenRequest<P>) {
        self.requests.insert(id, request);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest<P>> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<P>> {
        self.requests.get_mut(&id)
    }

    /// Returns a request if it is open and has no outcome yet.
    pub(crate) fn get_pending(&self, id: RequestId) -> Option<&OpenRequest<P>> {
        self.get(id).filter(|request| !request.has_ended)
    }

    /// Like [`get_pending`](Self::get_pending), with mutable access.
    pub(crate) fn get_pending_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<P>> {
        self.get_mut(id).filter(|request| !request.has_ended)
    }

    /// Removes and returns a request if it has an outcome and no attempts in flight.
    pub(crate) fn remove_if_done(&mut self, id: RequestId) -> Option<OpenRequest<P>> {
        if !self.get(id)?.is_done() {
            return None;
        }
        self.requests.remove(&id)
    }

    /// All requests.
    pub(crate) fn all(&self) -> impl Iterator<Item = &OpenRequest<P>> {
        self.requests.values()
    }

    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}

//! The open requests of one engine: those that have no outcome yet, and those that have one but still have attempts
//! in flight.
//!
//! ```text
//! submitted --> unanswered --> ended, attempts in flight --> removed
//!                    \________________________________________/
//! ```

use std::collections::HashMap;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, ClassId, Nanos, RequestId};
use tokio::sync::{oneshot, watch};

use crate::attempt::{AttemptCommand, AttemptId, AttemptNumber};
use crate::backends::BackendAddress;
use crate::metrics::{EndCounting, RequestEnd};
use crate::protocol::{IncomingRequest, Protocol, RequestOutcome};

/// How long after a client stops waiting its request fails by itself, in nanoseconds, should the balancer not end it:
/// longer than the balancer's own housekeeping takes, and well within the slack that the platform allows.
const BACKSTOP_DELAY: Nanos = 20_000_000;

/// Whether a request's body was there when the request was submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UploadState {
    /// It was, or there is none.
    Complete,
    /// It is still being uploaded.
    InProgress,
}

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    /// The backend that it was sent to.
    backend: BackendId,
    /// Whether its backend has all of its request, and is waited for.
    pub(crate) is_request_complete: bool,
    /// Since when the backend's response is waited for: since the attempt was sent, or its upload completed.
    pub(crate) waiting_since: Nanos,
    /// None once the attempt is cancelled.
    cancel_sender: Option<oneshot::Sender<()>>,
}

/// A new attempt of a request.
pub(crate) struct StartedAttempt {
    /// Its number.
    pub(crate) number: AttemptNumber,
    /// Resolves with `Ok` once the attempt is cancelled.
    pub(crate) cancelled: oneshot::Receiver<()>,
}

/// What came of sending a request's outcome to whoever submitted it.
pub(crate) enum Delivery {
    /// It was received.
    Delivered(RequestEnd),
    /// Nobody waits for it any more.
    ClientDisconnected,
}

/// A backend's response that is no success.
pub(crate) struct ErrorResponse<R> {
    /// The response.
    pub(crate) response: R,
    /// When the end of a request is counted that fails with it.
    pub(crate) counting: EndCounting,
}

/// A request that has no outcome yet, or attempts in flight.
pub(crate) struct OpenRequest<P: Protocol> {
    /// The client's id of it.
    pub(crate) client_id: Box<str>,
    /// Its class.
    pub(crate) class: ClassId,
    payload: Rc<P::Request>,
    /// When its client stops waiting; until an upload is complete, when the upload times out.
    expires_at: Nanos,
    /// Present if the request was submitted before its body was uploaded: notifies the attempts of their deadline.
    upload_deadline: Option<watch::Sender<Nanos>>,
    upload: UploadState,
    /// By attempt number; none where an attempt has ended.
    attempts: Vec<Option<InFlightAttempt>>,
    /// The response of the last attempt if it was no success, for the client should the request fail.
    error_response: Option<ErrorResponse<P::Response>>,
    /// None once the outcome is sent.
    outcome_sender: Option<oneshot::Sender<RequestOutcome<P::Response>>>,
    has_ended: bool,
}

impl<P: Protocol> OpenRequest<P> {
    /// A request without attempts. Its outcome is sent to `outcome_sender`.
    pub(crate) fn new(
        incoming: IncomingRequest<P>,
        expires_at: Nanos,
        upload: UploadState,
        outcome_sender: oneshot::Sender<RequestOutcome<P::Response>>,
    ) -> Self {
        let is_uploading = upload == UploadState::InProgress;
        Self {
            client_id: incoming.id,
            class: incoming.class,
            payload: Rc::new(incoming.payload),
            expires_at,
            upload_deadline: is_uploading.then(|| watch::Sender::new(expires_at)),
            upload,
            attempts: Vec::new(),
            error_response: None,
            outcome_sender: Some(outcome_sender),
            has_ended: false,
        }
    }

    /// Whether the client still waits for the outcome at this time.
    pub(crate) fn is_awaited(&self, now: Nanos) -> bool {
        !self.has_ended && now < self.expires_at
    }

    /// Whether the request's body is still being uploaded.
    pub(crate) fn is_uploading(&self) -> bool {
        self.upload == UploadState::InProgress
    }

    /// The attempts in flight.
    pub(crate) fn in_flight(&self, request: RequestId) -> impl Iterator<Item = AttemptId> {
        self.attempts
            .iter()
            .enumerate()
            .filter_map(move |(earlier, attempt)| {
                Some(AttemptId {
                    request,
                    number: AttemptNumber::after(earlier),
                    backend: attempt.as_ref()?.backend,
                })
            })
    }

    /// When the request fails by itself.
    pub(crate) fn backstop_at(&self) -> Nanos {
        self.expires_at.saturating_add(BACKSTOP_DELAY)
    }

    /// Adds an attempt, which replaces the error response of the one before it.
    pub(crate) fn start_attempt(&mut self, now: Nanos, backend: BackendId) -> StartedAttempt {
        self.error_response = None;
        let (cancel_sender, cancelled) = oneshot::channel();
        let number = AttemptNumber::after(self.attempts.len());
        self.attempts.push(Some(InFlightAttempt {
            backend,
            is_request_complete: !self.is_uploading(),
            waiting_since: now,
            cancel_sender: Some(cancel_sender),
        }));
        StartedAttempt { number, cancelled }
    }

    /// The command to send an attempt to a backend. It times out at `timeout_at`, or earlier with the request.
    pub(crate) fn attempt_command(
        &self,
        attempt: AttemptId,
        target: BackendAddress,
        timeout_at: Nanos,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptCommand<P> {
        AttemptCommand {
            attempt,
            backend: target.backend,
            address: target.address,
            payload: self.payload.clone(),
            attempt_deadline: timeout_at.min(self.expires_at),
            expires_at: self.expires_at,
            upload_deadline: self.upload_deadline.as_ref().map(watch::Sender::subscribe),
            cancelled,
        }
    }

    /// Cancels an attempt. One that has ended meanwhile is left alone: its own end is on the way.
    pub(crate) fn cancel_attempt(&mut self, number: AttemptNumber) {
        let Some(Some(attempt)) = self.attempts.get_mut(number.index()) else {
            return;
        };
        if let Some(cancel_sender) = attempt.cancel_sender.take() {
            // The attempt's task may have finished just now.
            let _ = cancel_sender.send(());
        }
    }

    /// Removes an attempt that has ended. Returns nothing if it had ended before.
    pub(crate) fn take_attempt(&mut self, number: AttemptNumber) -> Option<InFlightAttempt> {
        self.attempts.get_mut(number.index())?.take()
    }

    /// Starts the client's waiting time, and the backends', as the upload is complete.
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

    /// Sends the outcome to whoever submitted the request. Returns nothing if that has been done before.
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

    /// Keeps a backend's response that is no success, in place of an earlier one.
    pub(crate) fn set_error_response(&mut self, error_response: ErrorResponse<P::Response>) {
        self.error_response = Some(error_response);
    }

    /// Takes the last response of a backend that was no success.
    pub(crate) fn take_error_response(&mut self) -> Option<ErrorResponse<P::Response>> {
        self.error_response.take()
    }

    /// Marks the request as ended, and ends the waiting time of its attempts: while its body is being uploaded nothing
    /// else ends them.
    pub(crate) fn mark_ended(&mut self, now: Nanos) {
        self.has_ended = true;
        if let Some(upload_deadline) = &self.upload_deadline {
            upload_deadline.send_replace(now.min(self.expires_at));
        }
    }

    /// Whether the request has its outcome and no attempt is in flight.
    fn is_done(&self) -> bool {
        self.has_ended && self.attempts.iter().all(Option::is_none)
    }
}

/// The open requests by id. Bounded by the adapters' limits on connections and sessions.
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
    /// An id that no other request has or had.
    pub(crate) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, request: OpenRequest<P>) {
        self.requests.insert(id, request);
    }

    /// An open request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest<P>> {
        self.requests.get(&id)
    }

    /// An open request, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<P>> {
        self.requests.get_mut(&id)
    }

    /// An open request that has no outcome yet.
    pub(crate) fn unanswered(&self, id: RequestId) -> Option<&OpenRequest<P>> {
        self.get(id).filter(|request| !request.has_ended)
    }

    /// An open request that has no outcome yet, to be changed.
    pub(crate) fn unanswered_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<P>> {
        self.get_mut(id).filter(|request| !request.has_ended)
    }

    /// Removes a request if it has its outcome and no attempt is in flight.
    pub(crate) fn remove_if_done(&mut self, id: RequestId) -> Option<OpenRequest<P>> {
        if !self.get(id)?.is_done() {
            return None;
        }
        self.requests.remove(&id)
    }

    /// The number of open requests.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }
}

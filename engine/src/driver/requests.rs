//! The life cycle of a request: submission, attempts, and exactly one outcome.

use badgerpost_balancer::{
    AttemptResult, BackendId, Event, Nanos, Outcome, RequestArrival, RequestId,
};
use tokio::sync::oneshot;

use super::Driver;
use crate::attempt::{AttemptEnd, AttemptId};
use crate::backends::BackendAddress;
use crate::client_request_ids::Repeatability;
use crate::event_log::log_fallback_timeout;
use crate::metrics::EndCounting;
use crate::open_requests::{Delivery, ErrorResponse, OpenRequest, UploadState};
use crate::pending_io::PendingIo;
use crate::protocol::{IncomingRequest, Protocol, RequestOutcome};
use crate::request_end_reason::RequestEndReason;
use crate::timers::TimerPurpose;

impl<P: Protocol> Driver<P> {
    /// Opens a request, whose outcome will be sent to `outcome_sender`. Returns `None` if the id that the client gave
    /// the request is in use.
    pub(crate) fn submit(
        &mut self,
        incoming: IncomingRequest<P>,
        upload: UploadState,
        outcome_sender: oneshot::Sender<RequestOutcome<P::Response>>,
        pending_io: &mut PendingIo<P>,
    ) -> Option<RequestId> {
        let now = self.clock.now();
        if !self.client_request_ids.reserve(&incoming.id, now) {
            self.record_refusal(&incoming.id, incoming.class, RequestEndReason::DuplicateId);
            return None;
        }
        self.export_request_id(&incoming.id, incoming.class);
        let request = self.requests.allocate_id();
        let expires_at = now.saturating_add(incoming.budget);
        let arrival = RequestArrival {
            request,
            class: incoming.class,
            affinity_key: incoming.affinity_key,
            expected_service_time: incoming.expected_service_time,
            is_retry: incoming.is_retry,
            tenant: incoming.tenant,
            expires_at,
        };
        let open = OpenRequest::new(incoming, now, expires_at, upload, outcome_sender);
        let fallback_timeout_at = open.fallback_timeout_at();
        self.requests.insert(request, open);
        self.metrics.request_started();
        let purpose = TimerPurpose::FallbackTimeout(request);
        self.set_timer(fallback_timeout_at, purpose, pending_io);
        let event = match upload {
            UploadState::InProgress => Event::UploadStarted(arrival),
            UploadState::Complete => Event::RequestArrived(arrival),
        };
        self.handle(event, pending_io);
        self.remove_if_done(request);
        Some(request)
    }

    /// Starts an attempt on a backend, with a timeout if the balancer sets one.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Option<Nanos>,
        pending_io: &mut PendingIo<P>,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let started_at = self.clock.now();
        let started = open.start_attempt(started_at, backend);
        let attempt = AttemptId {
            request,
            number: started.number,
            backend,
        };
        let Some(entry) = self.backends.get(backend) else {
            pending_io.unlisted_attempts.push(attempt);
            return;
        };
        let target = BackendAddress {
            backend,
            address: entry.address,
            incarnation: entry.incarnation,
        };
        let timeout_at = timeout.map_or(Nanos::MAX, |timeout| started_at.saturating_add(timeout));
        let command = open.attempt_command(attempt, target, timeout_at, started.cancelled);
        pending_io.attempts.push(command);
        // Upload time is no evidence of a zone's health, so the zone monitor sees the attempt once the upload is
        // complete.
        if !open.is_uploading() {
            let class = open.class;
            self.with_zone_monitoring(pending_io, |zones, now| {
                zones.attempt_sent(now, attempt, class)
            });
        }
    }

    /// Handles the end of the upload of a request's body. The client waits for `budget` from now on.
    pub(crate) fn upload_complete(
        &mut self,
        request: RequestId,
        budget: Nanos,
        pending_io: &mut PendingIo<P>,
    ) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_pending_mut(request) else {
            return;
        };
        let expires_at = now.saturating_add(budget);
        let previous_fallback_timeout_at = open.fallback_timeout_at();
        open.complete_upload(now, expires_at);
        let class = open.class;
        let attempts: Vec<AttemptId> = open.in_flight(request).collect();
        let fallback_timeout_at = open.fallback_timeout_at();
        let purpose = TimerPurpose::FallbackTimeout(request);
        self.timers.clear(previous_fallback_timeout_at, purpose);
        self.set_timer(fallback_timeout_at, purpose, pending_io);
        for attempt in attempts {
            self.with_zone_monitoring(pending_io, |zones, now| {
                zones.attempt_sent(now, attempt, class)
            });
        }
        let event = Event::UploadComplete {
            request,
            expires_at,
        };
        self.handle(event, pending_io);
    }

    /// Sends a request's outcome to the submitter. Later outcomes of the same request are ignored.
    pub(super) fn finish(
        &mut self,
        request: RequestId,
        outcome: RequestOutcome<P::Response>,
        counting: EndCounting,
    ) {
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        match (open.send_outcome(outcome), counting) {
            (Some(Delivery::Delivered(end)), EndCounting::Immediate) => {
                self.metrics.request_ended(open.class, Some(end));
            }
            (Some(Delivery::ClientDisconnected), _) => {
                self.metrics.request_ended(open.class, None);
            }
            (Some(Delivery::Delivered(_)), EndCounting::AtEndOfStream) | (None, _) => {}
        }
        open.mark_ended(self.clock.now());
        self.timers.clear(
            open.fallback_timeout_at(),
            TimerPurpose::FallbackTimeout(request),
        );
    }

    /// Fails a request. The outcome contains the error response of the request's last attempt, if there was one.
    pub(super) fn fail(&mut self, request: RequestId) {
        let open = self.requests.get_mut(request);
        match open.and_then(OpenRequest::take_error_response) {
            Some(ErrorResponse { response, counting }) => {
                self.finish(request, RequestOutcome::FailedWith(response), counting);
            }
            None => self.finish(request, RequestOutcome::Failed, EndCounting::Immediate),
        }
    }

    /// Handles the end of an attempt. A second end of the same attempt is ignored.
    pub(crate) fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd<P::Response>,
        pending_io: &mut PendingIo<P>,
    ) {
        let AttemptId {
            request, number, ..
        } = attempt;
        let AttemptEnd {
            outcome,
            report,
            response,
            is_streaming,
        } = end;
        let Some(open) = self.requests.get_mut(request) else {
            return;
        };
        let Some(in_flight) = open.take_attempt(number) else {
            return;
        };
        open.may_have_run |= outcome.may_have_run();
        let class = open.class;
        let counting = if is_streaming {
            EndCounting::AtEndOfStream
        } else {
            EndCounting::Immediate
        };
        match (outcome, response) {
            (Outcome::Success, Some(response)) => {
                self.finish(request, RequestOutcome::Served(response), counting);
            }
            (_, Some(response)) => open.set_error_response(ErrorResponse { response, counting }),
            (_, None) => {}
        }
        // If the node was paused, the response may have waited in the socket, and the response time is unknown.
        let elapsed = self.clock.elapsed_unless_paused(in_flight.waiting_since);
        let request_ended = self.requests.get_pending(request).is_none();
        self.record_attempt_end(attempt, outcome, elapsed);
        if !in_flight.is_request_complete {
            self.with_zone_monitoring(pending_io, |zones, now| {
                zones.attempt_sent(now, attempt, class)
            });
        }
        self.with_zone_monitoring(pending_io, |zones, now| {
            let has_response_time = in_flight.is_request_complete;
            zones.attempt_ended(now, attempt, outcome, has_response_time, report.utilization)
        });
        let result = AttemptResult {
            request,
            attempt: number.0,
            outcome,
            elapsed,
            request_ended,
            report,
        };
        self.handle(Event::AttemptEnded(result), pending_io);
        self.remove_if_done(request);
    }

    /// Rejects a request that never ran on any backend. Returns the outcome for the client.
    pub(crate) fn reject(
        &mut self,
        request: RequestId,
        pending_io: &mut PendingIo<P>,
    ) -> RequestOutcome<P::Response> {
        let retry_after = self.settings.limits.max_retry_after;
        self.record_end_without_response(request, RequestEndReason::UploadStalled);
        self.abandon(request, RequestOutcome::Rejected(retry_after), pending_io);
        RequestOutcome::Rejected(retry_after)
    }

    /// Handles the disconnection of a request's client. A request without an outcome fails.
    pub(crate) fn client_disconnected(
        &mut self,
        request: RequestId,
        pending_io: &mut PendingIo<P>,
    ) {
        if self.requests.get_pending(request).is_some() {
            self.record_end_without_response(request, RequestEndReason::ClientDisconnected);
            self.abandon(request, RequestOutcome::Failed, pending_io);
        } else {
            self.remove_if_done(request);
        }
    }

    /// Fails a request that the balancer did not end before the request's fallback timeout.
    pub(super) fn fail_overdue(&mut self, request: RequestId, pending_io: &mut PendingIo<P>) {
        if let Some(open) = self.requests.get_pending(request) {
            log_fallback_timeout(&open.client_id);
            self.record_end_without_response(request, RequestEndReason::FallbackTimeout);
            self.abandon(request, RequestOutcome::Failed, pending_io);
        }
    }

    /// Ends a request with an outcome that the engine decided, and notifies the balancer that the client is gone.
    fn abandon(
        &mut self,
        request: RequestId,
        outcome: RequestOutcome<P::Response>,
        pending_io: &mut PendingIo<P>,
    ) {
        self.finish(request, outcome, EndCounting::Immediate);
        self.handle(Event::ClientDisconnected { request }, pending_io);
        self.remove_if_done(request);
    }

    /// Whether a request that has ended may run again.
    fn repeatability(&self, done: &OpenRequest<P>) -> Repeatability {
        if done.may_have_run && !self.is_idempotent(done.class) {
            Repeatability::Executed
        } else {
            Repeatability::Repeatable
        }
    }

    /// Removes a request that has an outcome and no attempts in flight.
    fn remove_if_done(&mut self, request: RequestId) {
        if let Some(done) = self.requests.remove_if_done(request) {
            let repeatability = self.repeatability(&done);
            self.client_request_ids
                .release(done.client_id, repeatability, self.clock.now());
        }
    }
}

//! The lifecycle of an attempt: send, completed upload, and end.

use super::Balancer;
use crate::api::{Action, AttemptResult, BackendId, LogEvent, Nanos, Outcome, RequestId};
use crate::deadlines::{attempt_timeout, is_backend_timeout};
use crate::learning::AttemptObservation;
use crate::outlier_detection::OutcomeEffect;
use crate::request::{Attempt, Phase, Placement, Request};
use crate::retry_safety::is_eligible;

impl Balancer {
    /// Sends a request to a backend. Returns false if the request is not eligible there. Every send is made by this
    /// function.
    pub(super) fn send(
        &mut self,
        id: RequestId,
        to: BackendId,
        probe_timeout: Option<Nanos>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(request), Some(backend)) = (self.requests.get(id), self.fleet.backends.get(to))
        else {
            return false;
        };
        if !is_eligible(&self.fleet, request, backend) {
            return false;
        }
        let admitted_fraction = self.admission.admitted_fraction(request.class);
        let late_timeout = attempt_timeout(&self.fleet, request, admitted_fraction);
        let timeout = late_timeout.into_iter().chain(probe_timeout).min();
        self.record_send(id, to);
        actions.push(Action::Send {
            request: id,
            backend: to,
            timeout,
        });
        true
    }

    /// Records an attempt in the state of the request, the backend and the zone. An upload counts as load only once
    /// its body is complete.
    fn record_send(&mut self, id: RequestId, to: BackendId) {
        let (now, settings) = (self.fleet.now, &self.fleet.settings);
        let (Some(request), Some(backend)) =
            (self.requests.get_mut(id), self.fleet.backends.get_mut(to))
        else {
            return;
        };
        let placement = Placement {
            zone: backend.zone(),
            cell: backend.entry().cell,
        };
        let cost = request.slow_start_cost;
        let reserved = if request.is_uploading {
            backend.reserve_slow_start_budget(now, &settings.rules, cost)
        } else {
            0.0
        };
        request.phase = Phase::Open;
        request.attempts.push(Attempt {
            backend: to,
            backend_started_at: backend.entry().started_at,
            placement,
            sent_at: now,
            load: backend.load(settings),
            outcome: None,
            is_counted_as_load: !request.is_uploading,
            reserved,
        });
        backend.outlier.on_send();
        if !request.is_uploading {
            self.fleet.start_attempt(to, placement.zone, cost);
        }
    }

    /// Handles the completion of a request's body: the client's time starts, and the attempts in flight count as
    /// load.
    pub(super) fn on_upload_complete(&mut self, id: RequestId, expires_at: Nanos) {
        let now = self.fleet.now;
        let request = self.requests.get_mut(id);
        let Some(request) = request.filter(|request| request.is_uploading) else {
            return;
        };
        let objective = self.fleet.settings.class(request.class).latency_objective;
        request.is_uploading = false;
        request.expires_at = expires_at;
        request.objective_deadline = expires_at.min(now + objective);
        request.early_rejection_until = now + expires_at.saturating_sub(now) / 2;
        let cost = request.slow_start_cost;
        for attempt in request.uploading_attempts_mut() {
            let zone = attempt.placement.zone;
            self.fleet
                .end_upload(attempt.backend, std::mem::take(&mut attempt.reserved));
            let Some(load) = self.fleet.start_attempt(attempt.backend, zone, cost) else {
                continue;
            };
            attempt.is_counted_as_load = true;
            attempt.sent_at = now;
            attempt.load = load;
        }
    }

    /// Handles the end of an attempt: updates the measurements, then ends or retries the request.
    pub(super) fn on_attempt_ended(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(result.request) else {
            return;
        };
        let Some(attempt) = request.end_attempt(result.attempt, result.outcome) else {
            return;
        };
        let class = request.class;
        let is_open = request.phase != Phase::Ended;
        self.fleet.end_upload(attempt.backend, attempt.reserved);
        if attempt.is_counted_as_load {
            let service_time = request.service_time;
            self.fleet.end_attempt(
                attempt.placement.zone,
                &AttemptObservation {
                    backend: attempt.backend,
                    class,
                    service_time,
                    load: attempt.load,
                    elapsed: result.elapsed,
                    outcome: result.outcome,
                },
            );
        }
        let is_backend_timeout = result
            .elapsed
            .is_some_and(|elapsed| is_backend_timeout(&self.fleet, class, elapsed));
        // The result of a process that has gone says nothing about its successor.
        if self.is_same_process(&attempt) {
            if result.outcome != Outcome::TimedOut || is_backend_timeout {
                self.record_for_outlier_detection(attempt.backend, result.outcome, actions);
            }
            if let Some(backend) = self.fleet.backends.get_mut(attempt.backend) {
                backend.record_report(self.fleet.now, result.report);
            }
        }
        if is_open && !result.request_ended {
            self.retry_or_end(result.request, actions);
        } else {
            self.finish(result, actions);
        }
        self.dispatch_queued(actions);
    }

    /// Whether the backend has not restarted since the attempt was sent, as far as the endpoint list tells.
    fn is_same_process(&self, attempt: &Attempt) -> bool {
        let backend = self.fleet.backends.get(attempt.backend);
        backend.is_some_and(|backend| backend.entry().started_at == attempt.backend_started_at)
    }

    /// Ends a request that was answered by this or an earlier attempt.
    fn finish(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(result.request) else {
            return;
        };
        if request.phase != Phase::Ended {
            if result.outcome == Outcome::Success && self.is_answered_in_time(request) {
                let now = self.fleet.now;
                let class = self.fleet.classes.get_mut(request.class);
                class.record_served_in_time(now);
            }
            self.cancel_in_flight(result.request, actions);
        }
        self.requests.finish(result.request);
    }

    /// Whether a response now counts as answered in time. In a small fleet, late responses count too.
    fn is_answered_in_time(&self, request: &Request) -> bool {
        !self.fleet.settings.is_large_fleet() || self.fleet.now <= request.objective_deadline
    }

    /// Records an outcome for outlier detection; logs a readmission, ejects an outlier.
    pub(super) fn record_for_outlier_detection(
        &mut self,
        id: BackendId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let (now, is_large_fleet) = (self.fleet.now, self.fleet.settings.is_large_fleet());
        let Some(backend) = self.fleet.backends.get_mut(id) else {
            return;
        };
        match backend.outlier.record(now, outcome, is_large_fleet) {
            OutcomeEffect::None => {}
            OutcomeEffect::Readmitted => self.log(actions, LogEvent::Readmitted { backend: id }),
            OutcomeEffect::Failed => self.eject_if_outlier(id, outcome, actions),
        }
    }

    /// Ejects a backend after a failed attempt if the backend is an outlier or was half-open.
    fn eject_if_outlier(&mut self, id: BackendId, outcome: Outcome, actions: &mut Vec<Action>) {
        let now = self.fleet.now;
        let failures = self.fleet.backends.failures();
        let Some(backend) = self.fleet.backends.get_mut(id) else {
            return;
        };
        if let Some(duration) = backend.outlier.eject_if_outlier(now, outcome, &failures) {
            let event = LogEvent::Ejected {
                backend: id,
                duration,
                outcome,
            };
            self.log(actions, event);
        }
    }

    /// Cancels a request's attempts in flight, if the site allows cancellation.
    pub(super) fn cancel_in_flight(&self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.fleet.settings.limits.cancellation {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        for (number, attempt) in (0..).zip(&request.attempts) {
            if attempt.is_in_flight() {
                actions.push(Action::Cancel {
                    request: id,
                    attempt: number,
                });
            }
        }
    }
}

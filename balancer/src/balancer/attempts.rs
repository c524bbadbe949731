//! Attempts: sending one, completing its upload, and what follows from its end.

use super::Balancer;
use crate::api::{Action, AttemptResult, BackendId, LogEvent, Nanos, Outcome, RequestId};
use crate::deadlines::{attempt_timeout, is_overdue};
use crate::learning::AttemptObservation;
use crate::outlier_detection::OutcomeEffect;
use crate::request::{Attempt, Phase, Placement};
use crate::retry_safety::is_eligible;

impl Balancer {
    /// The one place that sends. False where the request may not go there.
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

    /// Counts an attempt with its request, backend and zone. An upload counts as load when it is complete.
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
        request.phase = Phase::Open;
        request.attempts.push(Attempt {
            backend: to,
            placement,
            sent_at: now,
            load: backend.load(settings),
            outcome: None,
            is_counted: !request.is_uploading,
        });
        backend.outlier.on_send();
        if request.is_uploading {
            backend.charge_slow_start_budget(now, &settings.rules, request.slow_start_cost);
            return;
        }
        backend.start_request(now, &settings.rules, request.slow_start_cost);
        if let Some(zone) = self.fleet.zones.get_mut(placement.zone) {
            zone.start_attempt(now);
        }
    }

    /// A request's body is complete: its client's time begins, and so does the work where it was sent.
    pub(super) fn on_upload_complete(&mut self, id: RequestId, expires_at: Nanos) {
        let (now, settings) = (self.fleet.now, &self.fleet.settings);
        let Some(request) = self
            .requests
            .get_mut(id)
            .filter(|request| request.is_uploading)
        else {
            return;
        };
        request.is_uploading = false;
        request.expires_at = expires_at;
        request.objective_deadline =
            expires_at.min(now + settings.class(request.class).latency_objective);
        request.early_rejection_until = now + expires_at.saturating_sub(now) / 2;
        let uploads = request
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.is_in_flight() && !attempt.is_counted);
        for attempt in uploads {
            let Some(backend) = self.fleet.backends.get_mut(attempt.backend) else {
                continue;
            };
            attempt.is_counted = true;
            attempt.sent_at = now;
            attempt.load = backend.load(settings);
            backend.start_request(now, &settings.rules, request.slow_start_cost);
            if let Some(zone) = self.fleet.zones.get_mut(attempt.placement.zone) {
                zone.start_attempt(now);
            }
        }
    }

    /// An attempt has ended: learns from it, then ends or retries the request.
    pub(super) fn on_attempt_ended(&mut self, result: &AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(result.request) else {
            return;
        };
        let class = request.class;
        let service_time = request.service_time;
        let objective_deadline = request.objective_deadline;
        let is_open = request.phase != Phase::Ended;
        let own = request.attempts.get_mut(result.attempt as usize);
        let Some(attempt) = own.filter(|attempt| attempt.is_in_flight()) else {
            return;
        };
        attempt.outcome = Some(result.outcome);
        let attempt = *attempt;
        if attempt.is_counted {
            if let Some(zone) = self.fleet.zones.get_mut(attempt.placement.zone) {
                zone.end_attempt(self.fleet.now);
            }
            self.fleet.learn_from_attempt(&AttemptObservation {
                backend: attempt.backend,
                class,
                service_time,
                load: attempt.load,
                elapsed: result.elapsed,
                outcome: result.outcome,
            });
        }
        if result.outcome != Outcome::TimedOut || is_overdue(&self.fleet, class, result.elapsed) {
            self.record_for_outlier_detection(attempt.backend, result.outcome, actions);
        }
        if let Some(backend) = self.fleet.backends.get_mut(attempt.backend) {
            backend.record_report(self.fleet.now, result.report);
        }
        if is_open && !result.request_ended {
            self.retry(result.request, actions);
        } else {
            let counts_late = !self.fleet.settings.is_large_fleet();
            let is_in_time = counts_late || self.fleet.now <= objective_deadline;
            if is_open && result.outcome == Outcome::Success && is_in_time {
                self.fleet
                    .classes
                    .get_mut(class)
                    .record_served_in_time(self.fleet.now);
            }
            if is_open {
                self.cancel_in_flight(result.request, actions);
            }
            self.requests.finish(result.request);
        }
        self.dispatch_queued(actions);
    }

    /// Counts an outcome against its backend; ejects an outlier, readmits after served trials.
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
            OutcomeEffect::Failed => {
                let failures = self.fleet.backends.failures();
                let Some(failed) = self.fleet.backends.get_mut(id) else {
                    return;
                };
                if let Some(duration) = failed.outlier.eject_if_outlier(now, outcome, &failures) {
                    self.log(
                        actions,
                        LogEvent::Ejected {
                            backend: id,
                            duration,
                            outcome,
                        },
                    );
                }
            }
        }
    }

    /// Cancels the attempts of a request that are in flight, where attempts may be cancelled.
    pub(super) fn cancel_in_flight(&self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.fleet.settings.limits.cancellation {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let in_flight = request
            .attempts
            .iter()
            .zip(0..)
            .filter(|(attempt, _)| attempt.is_in_flight());
        actions.extend(in_flight.map(|(_, attempt)| Action::Cancel {
            request: id,
            attempt,
        }));
    }
}

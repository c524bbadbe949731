//! The lifecycle of a request: admission, dispatch, queueing and final answer.

use super::Balancer;
use crate::api::{Action, BackendId, ClassId, EndReason, Nanos, RequestArrival, RequestId};
use crate::class_statistics::ClassStatistics;
use crate::deadlines::{has_no_remaining_value, is_expired, objective_start};
use crate::dispatch_order::{MAX_DISPATCH_MISSES, dispatch_order};
use crate::request::{Phase, Request};
use crate::retry_safety::may_reject;
use crate::tuning::IDLE_LOAD;
use crate::zone_routing::prefers_local_zone;

impl Balancer {
    /// Handles the arrival of a request. With `is_upload`, the body is still being received.
    pub(super) fn on_arrival(
        &mut self,
        arrival: &RequestArrival,
        is_upload: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = arrival.request;
        let class = self.fleet.classes.id_or_last(arrival.class);
        let request = self.new_request(arrival, class, is_upload);
        let is_late = has_no_remaining_value(&self.fleet, &request);
        // Read before `refresh` below, so that this arrival is admitted by the fraction of the previous refresh.
        let class_fraction = self.admission.admitted_fraction(class);
        self.requests.insert(id, request);
        self.retry_budget.deposit();
        self.health_checks.deposit();
        self.refresh(actions);
        if self.admit(arrival, class, class_fraction, is_late) {
            self.dispatch(id, actions);
        } else {
            let retry_after = self.fleet.settings.limits.max_retry_after;
            self.reject_or_fail(id, retry_after, EndReason::NotAdmitted, actions);
        }
    }

    /// Counts an arrival and decides whether the request is admitted. Requests past their objective or beyond what
    /// the backends can answer in time are rejected before any backend works on them; otherwise retries would
    /// prolong an overload.
    fn admit(
        &mut self,
        arrival: &RequestArrival,
        class: ClassId,
        class_fraction: f64,
        is_late: bool,
    ) -> bool {
        let now = self.fleet.now;
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if !is_late {
            self.fleet.classes.get_mut(class).record_arrival(now);
            self.admission.record_tenant_arrival(now, tenant);
        }
        let fraction = self.admission.draw_admitted_fraction(
            &self.fleet,
            tenant,
            class_fraction,
            &mut self.random,
        );
        !is_late && (fraction >= 1.0 || self.random.draw() < fraction)
    }

    /// Creates the state of an arriving request, and updates the statistics of the request's class.
    fn new_request(
        &mut self,
        arrival: &RequestArrival,
        class: ClassId,
        is_upload: bool,
    ) -> Request {
        let now = self.fleet.now;
        let class_settings = *self.fleet.settings.class(class);
        let client_timeout = if is_upload {
            // The client's time starts when the body is complete.
            class_settings.deadline
        } else {
            arrival.expires_at.saturating_sub(now)
        };
        let statistics = self.fleet.classes.get_mut(class);
        let service_time = expected_service_time(arrival, statistics);
        statistics.record_service_time(service_time);
        statistics.record_client_timeout(client_timeout);
        // Requests with an underestimated service time would be the ones that fit into a small budget.
        let slow_start_cost = service_time.max(statistics.mean_service_time());
        let objective_start = objective_start(&self.fleet, arrival, class, client_timeout);
        let objective_end = objective_start + class_settings.latency_objective;
        let objective_deadline = if is_upload {
            arrival.expires_at
        } else {
            arrival.expires_at.min(objective_end)
        };
        Request {
            class,
            affinity_key: arrival
                .affinity_key
                .filter(|_| self.fleet.settings.key_affinity),
            service_time,
            slow_start_cost,
            objective_deadline,
            early_rejection_until: now + client_timeout / 2,
            expires_at: arrival.expires_at,
            attempts: Vec::new(),
            is_uploading: is_upload,
            is_body_consumed: false,
            has_stalled_response: false,
            phase: Phase::Open,
        }
    }

    /// Sends a request, or queues it if no backend can take it.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.send_zone_probe(id, actions) || self.choose_and_send(id, actions) {
            return;
        }
        self.requests.enqueue(id);
    }

    /// Sends a request as a zone probe if one has been requested and the request qualifies. Returns whether it was
    /// sent.
    fn send_zone_probe(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let Some(probe) = self.selection().zone_probe(id, request) else {
            return false;
        };
        if let Some(zone) = self.fleet.zones.get_mut(probe.zone) {
            zone.clear_probe();
        }
        self.send(id, probe.backend, Some(probe.timeout), actions)
    }

    /// Sends a request to the backend chosen for it. Returns false if no backend can take the request.
    pub(super) fn choose_and_send(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.choose_backend(id) else {
            return false;
        };
        self.send(id, backend, None, actions)
    }

    /// Chooses the backend for a request; `None` if the request should be queued.
    fn choose_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let spill_fraction = self.admission.spill_fraction();
        let prefers_local = prefers_local_zone(&self.fleet, spill_fraction, &mut self.random);
        let request = self.requests.get(id)?;
        self.routing
            .choose_backend(&self.selection(), id, request, prefers_local)
    }

    /// Sends queued requests in dispatch order while backends have capacity.
    pub(super) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        let mut misses = 0;
        for id in dispatch_order(&self.selection(), &self.requests) {
            if self.choose_and_send(id, actions) {
                continue;
            }
            misses += 1;
            if misses > MAX_DISPATCH_MISSES {
                break;
            }
        }
    }

    /// Ends queued requests that can no longer be answered in time or rejected early.
    pub(super) fn end_expired(&mut self, actions: &mut Vec<Action>) {
        let retry_after = self.fleet.settings.limits.max_retry_after;
        for id in self.expired_requests() {
            self.reject_or_fail(id, retry_after, EndReason::ExpiredInQueue, actions);
        }
    }

    /// The queued requests that should be ended before the next check, in queue order.
    fn expired_requests(&self) -> Vec<RequestId> {
        let period = self.queue_check_period();
        let is_expired = |id: &RequestId| {
            let request = self.requests.get(*id);
            request.is_some_and(|request| is_expired(&self.fleet, request, period))
        };
        let queued = self.requests.queued().iter().copied();
        queued.filter(is_expired).collect()
    }

    /// Ends a request with a rejection if a retry by the client is safe, with a failure otherwise. Every final
    /// answer other than a response is sent by this function.
    pub(super) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after: Nanos,
        reason: EndReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let settings = &self.fleet.settings;
        let answer = if may_reject(settings, request) {
            Action::Reject {
                request: id,
                retry_after: retry_after.min(settings.limits.max_retry_after),
                reason,
            }
        } else {
            Action::Fail {
                request: id,
                reason,
            }
        };
        actions.push(answer);
        self.cancel_in_flight(id, actions);
        self.requests.finish(id);
    }
}

/// Expected service time of an arrival by its hint or, without one, by its class, in nanoseconds on a standard
/// core; at least 1.
fn expected_service_time(arrival: &RequestArrival, class: &ClassStatistics) -> f64 {
    let on_idle_backend = class.base_time() * IDLE_LOAD;
    arrival
        .expected_service_time
        .map_or(on_idle_backend, |hint| hint as f64)
        .max(1.0)
}

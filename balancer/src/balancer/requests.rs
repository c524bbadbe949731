//! One request from arrival to final answer: admitted or rejected, dispatched, queued, ended.

use super::Balancer;
use crate::api::{Action, BackendId, ClassId, Nanos, RequestArrival, RequestId};
use crate::deadlines::{is_expired, is_worthless_late, objective_start};
use crate::dispatch_order::{MAX_DISPATCH_MISSES, dispatch_order};
use crate::request::{Phase, Request};
use crate::retry_safety::may_reject;
use crate::tuning::IDLE_LOAD;
use crate::zone_routing::prefers_home;

impl Balancer {
    /// A request has come in; with `is_upload` its body is still on the way.
    pub(super) fn on_arrival(
        &mut self,
        arrival: &RequestArrival,
        is_upload: bool,
        actions: &mut Vec<Action>,
    ) {
        let class = self.fleet.classes.known_id(arrival.class);
        let request = self.new_request(arrival, class, is_upload);
        let is_past_objective = request.expires_at <= self.fleet.now
            || (request.objective_deadline <= self.fleet.now
                && is_worthless_late(&self.fleet, class));
        let admitted_fraction = self.admission.admitted_fraction(class);
        self.requests.insert(arrival.request, request);
        self.retry_budget.earn();
        self.health_checks.earn();
        self.refresh(actions);
        // Guards against jams that feed on their own repeats: what is past its objective, or more than the
        // backends can do in time, is rejected before it costs them anything.
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if !is_past_objective {
            self.fleet
                .classes
                .get_mut(class)
                .record_arrival(self.fleet.now);
            self.admission.record_tenant_arrival(self.fleet.now, tenant);
        }
        let fraction =
            self.admission
                .draw_fraction(&self.fleet, tenant, admitted_fraction, &mut self.random);
        let is_admitted = !is_past_objective && (fraction >= 1.0 || self.random.draw() < fraction);
        if !is_admitted {
            self.end(
                arrival.request,
                self.fleet.settings.limits.max_retry_after,
                actions,
            );
            return;
        }
        self.dispatch(arrival.request, actions);
    }

    /// The state of a request that arrives now; its class learns from it.
    fn new_request(
        &mut self,
        arrival: &RequestArrival,
        class: ClassId,
        is_upload: bool,
    ) -> Request {
        let now = self.fleet.now;
        let class_settings = *self.fleet.settings.class(class);
        let statistics = self.fleet.classes.get_mut(class);
        let idle_service_time = statistics.base_time() * IDLE_LOAD;
        let service_time = arrival
            .expected_service_time
            .map_or(idle_service_time, |hint| hint as f64)
            .max(1.0);
        statistics.record_service_time(service_time);
        // A body on its way says nothing of the client's time, which has not begun.
        let time_left = arrival.expires_at.saturating_sub(now);
        let client_timeout = if is_upload {
            class_settings.deadline
        } else {
            time_left
        };
        statistics.record_client_timeout(client_timeout);
        // Picking the requests with small hints for a small budget picks the hints that are too low.
        let slow_start_cost = service_time.max(statistics.mean_service_time());
        let objective_end = objective_start(&self.fleet, arrival, class, client_timeout)
            + class_settings.latency_objective;
        Request {
            class,
            affinity_key: arrival
                .affinity_key
                .filter(|_| self.fleet.settings.key_affinity),
            service_time,
            slow_start_cost,
            objective_deadline: if is_upload {
                arrival.expires_at
            } else {
                arrival.expires_at.min(objective_end)
            },
            early_rejection_until: now + client_timeout / 2,
            expires_at: arrival.expires_at,
            attempts: Vec::new(),
            is_uploading: is_upload,
            is_body_consumed: false,
            phase: Phase::Open,
        }
    }

    /// Sends a request where it may go now, or queues it.
    pub(super) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.send_zone_probe(id, actions) || self.send_to_chosen(id, actions) {
            return;
        }
        self.requests.enqueue(id);
    }

    /// Sends a request as a probe of a zone, if one is wanted and the request is fit for it.
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

    /// Sends a request to the chosen backend; false if there is none.
    pub(super) fn send_to_chosen(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(backend) = self.choose(id) else {
            return false;
        };
        self.send(id, backend, None, actions)
    }

    /// The backend for a request, or none if it is better queued.
    fn choose(&mut self, id: RequestId) -> Option<BackendId> {
        let prefers_home = prefers_home(
            &self.fleet,
            self.admission.spill_fraction(),
            &mut self.random,
        );
        let request = self.requests.get(id)?;
        self.routing
            .choose(&self.selection(), id, request, prefers_home)
    }

    /// Sends what is queued as backends have capacity, the most valuable first.
    pub(super) fn dispatch_queued(&mut self, actions: &mut Vec<Action>) {
        let mut misses = 0;
        for id in dispatch_order(&self.selection(), &self.requests) {
            if self.send_to_chosen(id, actions) {
                continue;
            }
            misses += 1;
            if misses > MAX_DISPATCH_MISSES {
                break;
            }
        }
    }

    /// Rejects what can no longer be answered in time, or was never sent, while a rejection is still early.
    pub(super) fn reject_expired(&mut self, actions: &mut Vec<Action>) {
        let queued = self.requests.queued().iter().copied();
        let expired: Vec<RequestId> = queued
            .filter(|&id| {
                self.requests.get(id).is_some_and(|request| {
                    is_expired(&self.fleet, request, self.queue_check_period())
                })
            })
            .collect();
        for id in expired {
            self.end(id, self.fleet.settings.limits.max_retry_after, actions);
        }
    }

    /// The one place that ends requests: rejected where trying again does no harm, failed otherwise.
    pub(super) fn end(&mut self, id: RequestId, retry_after: Nanos, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let settings = &self.fleet.settings;
        actions.push(if may_reject(settings, request) {
            Action::Reject {
                request: id,
                retry_after: retry_after.min(settings.limits.max_retry_after),
            }
        } else {
            Action::Fail { request: id }
        });
        self.cancel_in_flight(id, actions);
        self.requests.finish(id);
    }
}

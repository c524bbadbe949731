//! Retries and hedged requests: further attempts, as far as retry safety and the retry budget allow.

use super::Balancer;
use crate::api::{Action, Idempotency, RequestId, ZoneId};
use crate::request::{Phase, Request};
use crate::retry_safety::is_eligible;

impl Balancer {
    /// After an attempt that did not serve: another one, or the end of the request.
    pub(super) fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.has_attempt_in_flight() {
            return;
        }
        let is_late = self.fleet.now >= request.objective_deadline;
        // What was rejected at once has cost little: its first retry is free.
        let is_free = self.fleet.settings.is_large_fleet()
            && request.attempts.len() == 1
            && !request.may_have_run();
        let is_paid = self.retry_budget.has_token() || is_free;
        if is_late || !is_paid || !self.has_retry_target(request) {
            let retry_after = if is_late {
                self.fleet.settings.limits.max_retry_after
            } else {
                0
            };
            self.end(id, retry_after, actions);
            return;
        }
        // Where no backend has capacity this moment it is queued: most have some before the objective's end.
        self.retry_budget.spend();
        self.dispatch(id, actions);
    }

    /// Whether a backend may get the request; what may only go to a closed zone is given up at once.
    fn has_retry_target(&self, request: &Request) -> bool {
        self.fleet.backends.values().any(|backend| {
            self.fleet.zones.traffic_share(backend.zone()) > 0.0
                && is_eligible(&self.fleet, request, backend)
        })
    }

    /// A zone has closed: what waits for its answer and is idempotent is sent elsewhere too, as far as saved
    /// retries go. The first attempt goes on where requests may be hedged: it may still be answered.
    pub(super) fn hedge_out_of_closed_zone(&mut self, zone: ZoneId, actions: &mut Vec<Action>) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| self.is_hedged_out_of(request, zone));
        let ids: Vec<RequestId> = waiting.map(|(id, _)| id).collect();
        for id in ids {
            if !self.retry_budget.has_token() {
                break;
            }
            if !self.fleet.settings.limits.hedging {
                // The end of its attempt sends it again.
                self.cancel_in_flight(id, actions);
            } else if self.send_to_chosen(id, actions) {
                self.retry_budget.spend();
            }
        }
    }

    /// Whether a request waits for an answer from a closed zone only, and may run twice.
    fn is_hedged_out_of(&self, request: &Request, zone: ZoneId) -> bool {
        request.waits_only_for(zone)
            && self.fleet.settings.class(request.class).idempotency == Idempotency::Idempotent
            && request.phase == Phase::Open
            && self.fleet.now < request.objective_deadline
    }
}

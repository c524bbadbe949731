//! Retries and hedged requests, within retry safety and the retry budget.

use super::Balancer;
use crate::api::{Action, EndReason, Idempotency, Nanos, RequestId, ZoneId};
use crate::request::{Phase, Request};
use crate::retry_safety::is_eligible;

/// `retry_after` of a rejection without a Retry-After.
const NO_RETRY_AFTER: Nanos = 0;

impl Balancer {
    /// Retries a request after an unsuccessful attempt, or ends the request.
    pub(super) fn retry_or_end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.has_attempt_in_flight() {
            return;
        }
        if self.fleet.now >= request.objective_deadline {
            // Past the objective, the request ends like one that expires in the queue.
            let retry_after = self.fleet.settings.limits.max_retry_after;
            self.reject_or_fail(id, retry_after, EndReason::ObjectivePassed, actions);
            return;
        }
        if !self.is_within_retry_budget(request) {
            let reason = EndReason::RetryBudgetExhausted;
            self.reject_or_fail(id, NO_RETRY_AFTER, reason, actions);
            return;
        }
        if !self.has_retry_target(request) {
            self.reject_or_fail(id, NO_RETRY_AFTER, EndReason::NoRetryTarget, actions);
            return;
        }
        // If no backend has capacity now, `dispatch` queues the request; capacity usually becomes free before the
        // objective's end.
        self.retry_budget.withdraw();
        self.dispatch(id, actions);
    }

    /// Whether the retry budget allows a retry of this request.
    fn is_within_retry_budget(&self, request: &Request) -> bool {
        // In a large fleet, the first retry of a request that never ran is free: the rejection has cost little.
        let is_free = self.fleet.settings.is_large_fleet()
            && request.attempts.len() == 1
            && !request.may_have_run();
        is_free || self.retry_budget.has_token()
    }

    /// Whether any backend of an open zone may receive the request. Without one, the request ends at once.
    fn has_retry_target(&self, request: &Request) -> bool {
        let fleet = &self.fleet;
        fleet.backends.values().any(|backend| {
            fleet.zones.traffic_share(backend.zone()) > 0.0 && is_eligible(fleet, request, backend)
        })
    }

    /// Sends idempotent requests that wait only for a response from a closed zone to another zone, within the retry
    /// budget. If hedged requests are allowed, the first attempt stays in flight, because it may still be answered;
    /// otherwise it is cancelled.
    pub(super) fn hedge_out_of_closed_zone(&mut self, zone: ZoneId, actions: &mut Vec<Action>) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| self.needs_hedge_out_of(request, zone));
        let ids: Vec<RequestId> = waiting.map(|(id, _)| id).collect();
        for id in ids {
            if !self.retry_budget.has_token() {
                break;
            }
            if !self.fleet.settings.limits.hedging {
                // The end of the cancelled attempt triggers the retry.
                self.cancel_in_flight(id, actions);
            } else if self.choose_and_send(id, actions) {
                self.retry_budget.withdraw();
            }
        }
    }

    /// Whether a request waits only for a response from this zone, may run twice, and is not past the objective.
    fn needs_hedge_out_of(&self, request: &Request, zone: ZoneId) -> bool {
        let class = self.fleet.settings.class(request.class);
        request.waits_only_in(zone)
            && class.idempotency == Idempotency::Idempotent
            && request.phase == Phase::Open
            && self.fleet.now < request.objective_deadline
    }
}

//! Requests whose response has paused while it arrived: the backend may be slow, or the rest may never come.

use super::Balancer;
use crate::api::{Action, Idempotency, RequestId};
use crate::request::{Phase, Request};

impl Balancer {
    /// Handles a pause in the response of an attempt. Once per request, and within the retry budget, another attempt
    /// is made. With hedged requests the first attempt stays in flight, because its response may still be completed;
    /// without them it is cancelled, unless that could cut off a sound response.
    pub(super) fn on_response_stalled(
        &mut self,
        id: RequestId,
        attempt: u32,
        is_replaceable: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if std::mem::replace(&mut request.has_stalled_response, true) {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if !self.may_repeat_stalled(request) {
            return;
        }
        if self.fleet.settings.limits.hedging {
            if self.choose_and_send(id, actions) {
                self.retry_budget.withdraw();
            }
        } else if is_replaceable && self.fleet.settings.limits.cancellation {
            // The end of the cancelled attempt triggers the retry.
            actions.push(Action::Cancel {
                request: id,
                attempt,
            });
        }
    }

    /// Whether another attempt may be made beside or instead of the one whose response has paused.
    fn may_repeat_stalled(&self, request: &Request) -> bool {
        let settings = &self.fleet.settings;
        settings.class(request.class).idempotency == Idempotency::Idempotent
            && request.phase == Phase::Open
            && !request.is_body_consumed
            && request.attempts.len() < settings.limits.max_attempts as usize
            && self.fleet.now < request.objective_deadline
            && self.retry_budget.has_token()
    }
}

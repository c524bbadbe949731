//! Metrics and log lines about attempts and requests without a response.

use badgerpost_balancer::{ClassId, Nanos, Outcome, RequestId};

use super::Driver;
use crate::attempt::AttemptId;
use crate::protocol::Protocol;
use crate::request_end_reason::RequestEndReason;
use crate::request_log::{FailedAttempt, UnansweredRequest};

impl<P: Protocol> Driver<P> {
    /// Records the end of an attempt, which took `elapsed`. The request must still be open.
    pub(super) fn record_attempt_end(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        elapsed: Option<Nanos>,
    ) {
        self.metrics.attempt_ended(outcome);
        if outcome == Outcome::Success {
            return;
        }
        let Some(open) = self.requests.get(attempt.request) else {
            return;
        };
        let backend = self.backends.get(attempt.backend);
        self.request_log.attempt_failed(&FailedAttempt {
            client_id: &open.client_id,
            server: backend.map(|entry| &*entry.name),
            number: attempt.number.0,
            outcome,
            elapsed,
        });
    }

    /// Records that a request ends without a response. A request that has ended is not recorded again.
    pub(super) fn record_end_without_response(
        &mut self,
        request: RequestId,
        reason: RequestEndReason,
    ) {
        let Some(open) = self.requests.get_pending(request) else {
            return;
        };
        self.metrics.request_unanswered(reason);
        self.request_log.request_unanswered(&UnansweredRequest {
            client_id: &open.client_id,
            class: self.metrics.class_name(open.class),
            reason,
            attempts: open.attempt_count(),
            age: self.clock.now().saturating_sub(open.submitted_at),
        });
    }

    /// Records a request that was refused before it was open.
    pub(crate) fn record_refusal(
        &mut self,
        client_id: &str,
        class: ClassId,
        reason: RequestEndReason,
    ) {
        self.metrics.request_unanswered(reason);
        self.request_log.request_unanswered(&UnansweredRequest {
            client_id,
            class: self.metrics.class_name(class),
            reason,
            attempts: 0,
            age: 0,
        });
    }
}

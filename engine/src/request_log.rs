//! Log lines about unsuccessful attempts and requests without a response. Lines are limited for each outcome and each
//! reason, so that a frequent one does not hide the others.

use badgerpost_balancer::{Nanos, Outcome};
use badgerpost_time::MILLISECOND;

use crate::clock::Clock;
use crate::log_limiter::LogLimiter;
use crate::request_end_reason::RequestEndReason;

/// The tracing target of all lines. Operators filter by the target, so it must not change with the module layout.
const LOG_TARGET: &str = "badgerpost_engine::requests";

/// An attempt that did not succeed.
pub(crate) struct FailedAttempt<'a> {
    /// The request's id as chosen by the client.
    pub(crate) client_id: &'a str,
    /// The backend's name; `None` if the backend is not listed.
    pub(crate) server: Option<&'a str>,
    /// The attempt's number, from 0.
    pub(crate) number: u32,
    pub(crate) outcome: Outcome,
    /// Time since the attempt started; `None` if the node was paused.
    pub(crate) elapsed: Option<Nanos>,
}

/// A request that ended without a response.
pub(crate) struct UnansweredRequest<'a> {
    /// The request's id as chosen by the client.
    pub(crate) client_id: &'a str,
    pub(crate) class: Option<&'a str>,
    pub(crate) reason: RequestEndReason,
    /// The number of attempts made.
    pub(crate) attempts: usize,
    /// Time since the request was submitted.
    pub(crate) age: Nanos,
}

/// Writes the lines.
pub(crate) struct RequestLog {
    /// Indexed by outcome.
    attempts: Vec<LogLimiter>,
    /// In the order of [`RequestEndReason::all`].
    requests: Vec<(RequestEndReason, LogLimiter)>,
}

impl RequestLog {
    pub(crate) fn new(clock: &Clock) -> Self {
        let limiter = || LogLimiter::new(clock.clone());
        Self {
            attempts: Outcome::ALL.iter().map(|_| limiter()).collect(),
            requests: RequestEndReason::all()
                .map(|reason| (reason, limiter()))
                .collect(),
        }
    }

    pub(crate) fn attempt_failed(&mut self, attempt: &FailedAttempt) {
        let FailedAttempt {
            client_id,
            server,
            number,
            outcome,
            elapsed,
        } = *attempt;
        let Some(limiter) = self.attempts.get_mut(outcome as usize) else {
            return;
        };
        limiter.log(|suppressed| {
            tracing::info!(
                target: LOG_TARGET,
                request = client_id,
                server,
                attempt = number,
                reason = outcome.log_name(),
                elapsed_ms = elapsed.map(|elapsed| elapsed / MILLISECOND),
                suppressed,
                "attempt failed"
            );
        });
    }

    pub(crate) fn request_unanswered(&mut self, request: &UnansweredRequest) {
        let UnansweredRequest {
            client_id,
            class,
            reason,
            attempts,
            age,
        } = *request;
        let limiters = &mut self.requests;
        let Some((_, limiter)) = limiters.iter_mut().find(|(of, _)| *of == reason) else {
            return;
        };
        limiter.log(|suppressed| {
            tracing::info!(
                target: LOG_TARGET,
                request = client_id,
                class,
                attempts,
                age_ms = age / MILLISECOND,
                reason = reason.name(),
                suppressed,
                "request ended without a response"
            );
        });
    }
}

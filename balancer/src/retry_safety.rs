//! Retry safety: whether a request may be sent to a backend, given its earlier attempts, the backend's state in the
//! endpoint list and the backend's slow-start budget.

use crate::api::{DedupScope, EndpointState, Idempotency, Nanos, Settings};
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::request::{Phase, Placement, Request};
use crate::slow_start::has_slow_start_budget;

/// Whether a request may be sent to a backend now. Every send is checked by this function.
pub(crate) fn is_eligible(fleet: &Fleet, request: &Request, backend: &Backend) -> bool {
    let entry = backend.entry();
    let placement = Placement {
        zone: entry.zone,
        cell: entry.cell,
    };
    // The site's rules allow requests to a draining backend during the grace period; as a safety margin, none is
    // sent.
    entry.state == EndpointState::InService
        && is_attempt_allowed(fleet, request)
        && is_retry_safe(&fleet.settings, request, None, placement, fleet.now)
        && has_slow_start_budget(fleet, backend, request.slow_start_cost)
}

/// Whether a request may have another attempt, irrespective of the backend.
fn is_attempt_allowed(fleet: &Fleet, request: &Request) -> bool {
    let limits = &fleet.settings.limits;
    let is_unanswered = matches!(request.phase, Phase::Open | Phase::Queued);
    let has_time_left = fleet.now < request.expires_at;
    let has_attempts_left = request.attempts.len() < limits.max_attempts as usize;
    let may_overlap = limits.hedging || !request.has_attempt_in_flight();
    is_unanswered && has_time_left && !request.is_body_consumed && has_attempts_left && may_overlap
}

/// Whether an attempt at `target` at the time `at` cannot execute the request a second time, given the attempts
/// that may have run. The attempt with the number `excluded` is the attempt being checked and is skipped.
fn is_retry_safe(
    settings: &Settings,
    request: &Request,
    excluded: Option<usize>,
    target: Placement,
    at: Nanos,
) -> bool {
    let others = request
        .attempts
        .iter()
        .enumerate()
        .filter(|(number, _)| excluded != Some(*number));
    let mut possibly_run = others
        .map(|(_, attempt)| attempt)
        .filter(|attempt| attempt.may_have_run())
        .peekable();
    if possibly_run.peek().is_none() {
        return true;
    }
    match settings.class(request.class).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => possibly_run.all(|other| {
            let is_key_retained =
                at + settings.timer_resolution < other.sent_at.saturating_add(window);
            is_key_retained && is_same_dedup_scope(scope, other.placement, target)
        }),
    }
}

/// Whether two backends share deduplication of idempotency keys.
fn is_same_dedup_scope(scope: DedupScope, one: Placement, other: Placement) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => one.zone == other.zone,
        DedupScope::Cell => one.cell == other.cell,
    }
}

/// Whether an attempt may still be written once its connection is established. Connecting can take longer than the
/// window for which backends remember the idempotency keys of earlier attempts.
pub(crate) fn may_write(settings: &Settings, request: &Request, attempt: usize, at: Nanos) -> bool {
    if request.phase == Phase::Ended {
        return false;
    }
    let in_flight = request
        .attempts
        .get(attempt)
        .filter(|found| found.is_in_flight());
    in_flight
        .is_some_and(|found| is_retry_safe(settings, request, Some(attempt), found.placement, at))
}

/// Whether a request may be answered with a rejection, which tells the client that a retry is safe.
pub(crate) fn may_reject(settings: &Settings, request: &Request) -> bool {
    match settings.class(request.class).idempotency {
        Idempotency::Idempotent
        | Idempotency::Keyed {
            scope: DedupScope::All,
            ..
        } => true,
        Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !request.may_have_run(),
    }
}

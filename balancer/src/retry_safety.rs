//! Retry safety: whether a request may be sent to a backend at all, by what may have run, by drains and by
//! slow-start budgets.

use crate::api::{DedupScope, EndpointState, Idempotency, Nanos, Settings};
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::request::{Phase, Placement, Request};
use crate::slow_start::has_slow_start_budget;

/// Whether this request may be sent to this backend now. Every send is checked by it.
pub(crate) fn is_eligible(fleet: &Fleet, request: &Request, backend: &Backend) -> bool {
    let entry = backend.entry();
    let placement = Placement {
        zone: entry.zone,
        cell: entry.cell,
    };
    // A draining backend gets nothing new: a wanted margin to the drain grace.
    entry.state == EndpointState::InService
        && is_attempt_allowed(fleet, request)
        && is_retry_safe(&fleet.settings, request, None, placement, fleet.now)
        && has_slow_start_budget(fleet, backend, request.slow_start_cost)
}

/// Whether a request may have a further attempt, wherever it goes.
fn is_attempt_allowed(fleet: &Fleet, request: &Request) -> bool {
    let limits = &fleet.settings.limits;
    let is_pending =
        matches!(request.phase, Phase::Open | Phase::Queued) && fleet.now < request.expires_at;
    let has_attempts_left = request.attempts.len() < limits.max_attempts as usize;
    let may_overlap = limits.hedging || !request.has_attempt_in_flight();
    !request.is_body_consumed && is_pending && has_attempts_left && may_overlap
}

/// Whether a send there at that time would have no second effect, by the attempts that may have run, without
/// the one of the number `excluded`.
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
    let mut ran = others
        .map(|(_, attempt)| attempt)
        .filter(|attempt| attempt.may_have_run())
        .peekable();
    if ran.peek().is_none() {
        return true;
    }
    match settings.class(request.class).idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Keyed { scope, window } => ran.all(|other| {
            let is_remembered =
                at + settings.timer_resolution < other.sent_at.saturating_add(window);
            is_remembered && is_same_dedup_scope(scope, other.placement, target)
        }),
    }
}

/// Whether two backends share which idempotency keys they have seen.
fn is_same_dedup_scope(scope: DedupScope, one: Placement, other: Placement) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => one.zone == other.zone,
        DedupScope::Cell => one.cell == other.cell,
    }
}

/// Whether an attempt may still be written, now that its connection is up: that can take longer than backends
/// remember the attempts before.
pub(crate) fn may_write(settings: &Settings, request: &Request, attempt: usize, at: Nanos) -> bool {
    if request.phase == Phase::Ended {
        return false;
    }
    let own = request
        .attempts
        .get(attempt)
        .filter(|own| own.is_in_flight());
    own.is_some_and(|own| is_retry_safe(settings, request, Some(attempt), own.placement, at))
}

/// Whether a request may be answered by a rejection, which tells the client that trying again does no harm.
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

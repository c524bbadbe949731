//! Deadlines: from when a request's objective counts, when an answer has no value any longer, and when an attempt's
//! time-out counts against its backend.

use crate::api::{ClassId, Nanos, RequestArrival};
use crate::fleet::Fleet;
use crate::request::{Attempt, Phase, Request};
use crate::tuning::IDLE_LOAD;
use badgerpost_time::nanos_from_f64;

/// A client timeout shorter than the longest one by more than this part of it tells of a retry: arrivals jitter.
const SHORTER_TIMEOUT_DIVISOR: u64 = 8;
/// Least service time of a request that is still answered, as a fraction of the time on an idle backend.
const MIN_SERVICE_TIME_FRACTION: f64 = 0.5;
/// A time-out after at least this many base times counts against its backend.
const MIN_BACKEND_TIMEOUT_BASE_TIMES: f64 = 3.0;
/// Under overload, an attempt ends at the objective if a later answer keeps at most this fraction of its value.
const MAX_DROPPED_LATE_VALUE_FRACTION: f64 = 0.5;

/// Whether an answer of this class after its objective is worth nothing.
fn has_no_late_value(fleet: &Fleet, class: ClassId) -> bool {
    fleet.settings.class(class).late_value_fraction == 0.0
}

/// Whether a request has expired, or is past its objective and would be answered for nothing.
pub(crate) fn has_no_remaining_value(fleet: &Fleet, request: &Request) -> bool {
    let is_late = request.objective_deadline <= fleet.now;
    request.expires_at <= fleet.now || (is_late && has_no_late_value(fleet, request.class))
}

/// The time from which a request's objective counts.
///
/// A client's retry ends at the deadline of its first attempt, so its timeout is shorter than others, and that
/// deadline tells when the first attempt came. Where clients mark their retries, the rest are first attempts: a retry
/// may get a longer timeout than these, which must not make them look late.
pub(crate) fn objective_start(
    fleet: &Fleet,
    arrival: &RequestArrival,
    class: ClassId,
    client_timeout: Nanos,
) -> Nanos {
    let may_be_retry = arrival.is_retry || !fleet.settings.retries_marked;
    let longest = fleet.classes.get(class).longest_client_timeout();
    let is_short = client_timeout < longest - longest / SHORTER_TIMEOUT_DIVISOR;
    if !may_be_retry || !is_short || !has_no_late_value(fleet, class) {
        return fleet.now;
    }
    let deadline = fleet.settings.class(class).deadline;
    let first_attempt_at = arrival.expires_at.saturating_sub(deadline);
    first_attempt_at.min(fleet.now)
}

/// The timeout of an attempt whose answer after the objective has too little value for a backend to work on it.
///
/// Only in a large fleet: in a small one, requests admitted by the node's own figures hardly wait that long, and the
/// retries cost more.
pub(crate) fn attempt_timeout(
    fleet: &Fleet,
    request: &Request,
    admitted_fraction: f64,
) -> Option<Nanos> {
    let late_value = fleet.settings.class(request.class).late_value_fraction;
    let is_overloaded = admitted_fraction < 1.0;
    let has_little_late_value =
        late_value == 0.0 || (late_value <= MAX_DROPPED_LATE_VALUE_FRACTION && is_overloaded);
    let has_timeout = fleet.settings.is_large_fleet()
        && has_little_late_value
        && !request.is_uploading
        && request.objective_deadline > fleet.now;
    has_timeout.then(|| request.objective_deadline - fleet.now)
}

/// Whether a time-out counts against the backend: a client with little time ends an attempt early.
pub(crate) fn is_backend_timeout(fleet: &Fleet, class: ClassId, elapsed: Nanos) -> bool {
    elapsed as f64 >= MIN_BACKEND_TIMEOUT_BASE_TIMES * fleet.classes.get(class).base_time()
}

/// Whether a queued request is better ended now than at the next check, a period from now.
pub(crate) fn is_expired(fleet: &Fleet, request: &Request, period: Nanos) -> bool {
    if request.phase != Phase::Queued || request.has_attempt_in_flight() {
        return false;
    }
    let base_time = fleet.classes.get(request.class).base_time();
    let min_service_time = nanos_from_f64(base_time * IDLE_LOAD * MIN_SERVICE_TIME_FRACTION);
    let next_check_at = fleet.now + period;
    let was_never_sent = request.attempts.iter().all(Attempt::is_undelivered);
    let end = if was_never_sent {
        request.early_rejection_until
    } else {
        request.expires_at
    };
    next_check_at + min_service_time >= request.objective_deadline || next_check_at >= end
}

//! Deadlines: the start of a request's latency objective, the time after which a response has no value, and which
//! timeouts count as backend failures.

use crate::api::{ClassId, Nanos, RequestArrival};
use crate::fleet::Fleet;
use crate::request::{Attempt, Phase, Request};
use crate::tuning::IDLE_LOAD;
use badgerpost_time::nanos_from_f64;

/// A client timeout that is shorter than the class's longest one by more than the longest one divided by this
/// number indicates a retry. Smaller differences are jitter.
const SHORTER_TIMEOUT_DIVISOR: u64 = 8;
/// Minimum expected service time of a queued request, as a fraction of the time on an idle backend.
const MIN_SERVICE_TIME_FRACTION: f64 = 0.5;
/// Minimum elapsed time, in multiples of the class's base time, from which a timeout counts as a failure of the
/// backend.
const MIN_BACKEND_TIMEOUT_BASE_TIMES: f64 = 3.0;
/// Maximum value fraction of a late response at which, under overload, an attempt times out at the objective
/// deadline.
const MAX_DROPPED_LATE_VALUE_FRACTION: f64 = 0.5;

/// Whether a response after the objective has no value in this class.
fn has_no_late_value(fleet: &Fleet, class: ClassId) -> bool {
    fleet.settings.class(class).late_value_fraction == 0.0
}

/// Whether a request has expired, or is past its objective in a class where a late response has no value.
pub(crate) fn has_no_remaining_value(fleet: &Fleet, request: &Request) -> bool {
    let is_late = request.objective_deadline <= fleet.now;
    request.expires_at <= fleet.now || (is_late && has_no_late_value(fleet, request.class))
}

/// The time from which a request's latency objective counts.
///
/// A retry by a client ends at the deadline of the client's first attempt. The timeout of a retry is therefore
/// shorter than that of first attempts, and the deadline reveals when the first attempt arrived. Where clients mark
/// their retries, unmarked requests are first attempts and count from now: a retry may get a longer timeout than
/// first attempts do, which must not make those appear late.
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

/// The timeout that ends an attempt at the objective deadline, where a late response has too little value for a
/// backend to work on it; `None` otherwise.
///
/// Applies in large fleets only: in a small fleet, a request admitted by the node's own measurements rarely waits
/// until then, and the retries would cost more.
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

/// Whether a timeout after the time `elapsed` counts as a failure of the backend. A client with little time left
/// ends an attempt before the backend is overdue.
pub(crate) fn is_backend_timeout(fleet: &Fleet, class: ClassId, elapsed: Nanos) -> bool {
    elapsed as f64 >= MIN_BACKEND_TIMEOUT_BASE_TIMES * fleet.classes.get(class).base_time()
}

/// Whether a queued request should be ended now because, by the next check one `period` from now, the request can
/// no longer be answered in time, the request was never delivered and can no longer be rejected early, or the
/// request will have expired.
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

//! Deadlines: from when a request's objective counts, when it is no longer worth an answer, and when an
//! attempt's time-out counts against its backend.

use crate::api::{ClassId, Nanos, RequestArrival};
use crate::fleet::Fleet;
use crate::request::{Attempt, Phase, Request};
use crate::tuning::IDLE_LOAD;
use badgerpost_time::nanos_from_f64;

/// A client timeout shorter than the longest one by more than this part of it tells of a retry: arrivals jitter.
const SHORTER_TIMEOUT_DIVISOR: u64 = 8;
/// Least service time of a request that is still answered, as a fraction of the time on an idle backend.
const MIN_SERVICE_TIME_FRACTION: f64 = 0.5;
/// A time-out counts against its backend from so many base times on.
const OVERDUE_BASE_TIMES: f64 = 3.0;
/// A late answer is dropped in a jam if it is worth no more than this fraction.
const MAX_DROPPED_LATE_VALUE: f64 = 0.5;

/// Whether an answer of this class after its objective is worth nothing.
pub(crate) fn is_worthless_late(fleet: &Fleet, class: ClassId) -> bool {
    fleet.settings.class(class).late_value_fraction == 0.0
}

/// The time from which a request's objective counts. A try well shorter than others ends with the client's
/// deadline: that tells when its first try came. Where repeats are marked the rest are first tries: repeats
/// may get more time, which made those look late.
pub(crate) fn objective_start(
    fleet: &Fleet,
    arrival: &RequestArrival,
    class: ClassId,
    client_timeout: Nanos,
) -> Nanos {
    let may_be_repeat = arrival.is_retry || !fleet.settings.retries_marked;
    let longest = fleet.classes.get(class).longest_client_timeout();
    let is_short = client_timeout < longest - longest / SHORTER_TIMEOUT_DIVISOR;
    if may_be_repeat && is_worthless_late(fleet, class) && is_short {
        return arrival
            .expires_at
            .saturating_sub(fleet.settings.class(class).deadline)
            .min(fleet.now);
    }
    fleet.now
}

/// Past its objective an answer may be worth nothing: then a backend need not work on it. In a small fleet
/// what is admitted by own figures hardly waits that long, and the repeats cost more.
pub(crate) fn attempt_timeout(
    fleet: &Fleet,
    request: &Request,
    admitted_fraction: f64,
) -> Option<Nanos> {
    let late_value = fleet.settings.class(request.class).late_value_fraction;
    let drops_late = fleet.settings.is_large_fleet()
        && (late_value == 0.0 || (late_value <= MAX_DROPPED_LATE_VALUE && admitted_fraction < 1.0));
    let has_timeout = drops_late && !request.is_uploading && request.objective_deadline > fleet.now;
    has_timeout.then(|| request.objective_deadline - fleet.now)
}

/// Whether a time-out counts against the backend: a client with little time ends an attempt early.
pub(crate) fn is_overdue(fleet: &Fleet, class: ClassId, elapsed: Nanos) -> bool {
    elapsed as f64 >= OVERDUE_BASE_TIMES * fleet.classes.get(class).base_time()
}

/// Whether a queued request is better ended now than at the next check, a period from now.
pub(crate) fn is_expired(fleet: &Fleet, request: &Request, period: Nanos) -> bool {
    let base_time = fleet.classes.get(request.class).base_time();
    let min_service_time =
        nanos_from_f64(base_time * IDLE_LOAD * MIN_SERVICE_TIME_FRACTION) + period;
    let was_never_sent = request.attempts.iter().all(Attempt::has_missed_backend);
    let end = if was_never_sent {
        request.early_rejection_until
    } else {
        request.expires_at
    };
    request.phase == Phase::Queued
        && !request.has_attempt_in_flight()
        && (fleet.now + min_service_time >= request.objective_deadline || fleet.now + period >= end)
}

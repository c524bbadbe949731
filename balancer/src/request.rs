//! One request and its attempts.
//!
//! ```text
//! Open <--> Queued      waiting for a response, or for a backend with capacity
//! Open --> Streaming    the response is being forwarded
//! any  --> Ended        answered, failed or abandoned; kept until the last attempt has ended
//! ```

use crate::api::{BackendId, ClassId, Nanos, Outcome, ZoneId};

/// Location of a backend with respect to deduplication.
#[derive(Clone, Copy)]
pub(crate) struct Placement {
    pub(crate) zone: ZoneId,
    pub(crate) cell: u64,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Backend that the attempt was sent to.
    pub(crate) backend: BackendId,
    /// Start of the backend's process that the attempt was sent to; `None` if unknown or long ago.
    pub(crate) backend_started_at: Option<Nanos>,
    /// Location of that backend.
    pub(crate) placement: Placement,
    /// Time of the send or, for an upload, the time at which the body was complete.
    pub(crate) sent_at: Nanos,
    /// Load of the backend at that time, in requests per unit of size.
    pub(crate) load: f64,
    /// Result of the attempt; `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Whether the attempt counts as load of the backend, which is the case once the backend has the complete
    /// request.
    pub(crate) is_counted_as_load: bool,
    /// Slow-start budget reserved at the backend, in nanoseconds of service time; 0 once the attempt counts as
    /// load.
    pub(crate) reserved: f64,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the backend may have executed the request.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }

    /// Whether the attempt has ended without reaching the backend.
    pub(crate) fn is_undelivered(&self) -> bool {
        matches!(
            self.outcome,
            Some(Outcome::ConnectFailed | Outcome::NotSent)
        )
    }
}

/// Phase of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// An attempt is in flight or about to be sent.
    Open,
    /// The request waits for a backend with capacity.
    Queued,
    /// The response is being forwarded.
    Streaming,
    /// The request has its final answer, or the client has disconnected.
    Ended,
}

/// A request that is open, or ended with an attempt in flight.
pub(crate) struct Request {
    pub(crate) class: ClassId,
    /// Hash of the name of the object that the request concerns; `None` without a key or where key affinity is off.
    pub(crate) affinity_key: Option<u64>,
    /// Expected service time, in nanoseconds on a standard core.
    pub(crate) service_time: f64,
    /// Service time charged to a warming backend's slow-start budget, in nanoseconds.
    pub(crate) slow_start_cost: f64,
    /// Time until which a response has its full value.
    pub(crate) objective_deadline: Nanos,
    /// Time until which a rejection counts as early: half of the client's time.
    pub(crate) early_rejection_until: Nanos,
    /// Time at which the client gives up.
    pub(crate) expires_at: Nanos,
    /// Attempts, in the order of the sends.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether the body is still being received.
    pub(crate) is_uploading: bool,
    /// Whether part of the body cannot be sent again.
    pub(crate) is_body_consumed: bool,
    /// Whether a response has paused while it arrived.
    pub(crate) has_stalled_response: bool,
    pub(crate) phase: Phase,
}

impl Request {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether any attempt may have been executed.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Ends the attempt with this number and returns its state before the reservation is cleared; `None` if the
    /// attempt is not in flight.
    pub(crate) fn end_attempt(&mut self, number: u32, outcome: Outcome) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(number as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.outcome = Some(outcome);
        let ended = *attempt;
        attempt.reserved = 0.0;
        Some(ended)
    }

    /// The attempts in flight that do not count as load yet.
    pub(crate) fn uploading_attempts_mut(&mut self) -> impl Iterator<Item = &mut Attempt> {
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.is_in_flight() && !attempt.is_counted_as_load)
    }

    /// Whether any attempt was sent to this backend.
    pub(crate) fn has_tried(&self, backend: BackendId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.backend == backend)
    }

    /// Whether exactly one attempt is in flight, and its backend is in this zone.
    pub(crate) fn waits_only_in(&self, zone: ZoneId) -> bool {
        let mut in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        let is_in_zone = in_flight
            .next()
            .is_some_and(|attempt| attempt.placement.zone == zone);
        is_in_zone && in_flight.next().is_none()
    }
}

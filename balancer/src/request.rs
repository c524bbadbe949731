//! One request and its attempts.
//!
//! ```text
//! Open <--> Queued      waiting for an answer, or for a backend with capacity
//! Open --> Streaming    its answer has begun
//! any  --> Ended        answered, failed or abandoned; kept until its last attempt has ended
//! ```

use crate::api::{BackendId, ClassId, Nanos, Outcome, ZoneId};

/// Where an attempt runs, as far as deduplication goes.
#[derive(Clone, Copy)]
pub(crate) struct Placement {
    /// The backend's zone.
    pub(crate) zone: ZoneId,
    /// The backend's cell.
    pub(crate) cell: u64,
}

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The backend it was sent to.
    pub(crate) backend: BackendId,
    /// Where that backend is.
    pub(crate) placement: Placement,
    /// When it was sent, or, for an upload, when its body was complete.
    pub(crate) sent_at: Nanos,
    /// The backend's load at that time, in requests for each unit of size.
    pub(crate) load: f64,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    /// Whether its backend has the complete request, so that it counts as load there.
    pub(crate) is_counted_as_load: bool,
    /// What it has reserved of its backend's slow-start budget, in nanoseconds of service time; 0 once it is counted.
    pub(crate) reserved: f64,
}

impl Attempt {
    /// Whether it has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it may have taken effect.
    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }

    /// Whether it has ended without reaching its backend.
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
    /// It has an attempt in flight, or is about to.
    Open,
    /// It waits for a backend with capacity.
    Queued,
    /// Its answer is being forwarded.
    Streaming,
    /// It has its final answer, or its client has gone.
    Ended,
}

/// A request that is open, or ended with an attempt still in flight.
pub(crate) struct Request {
    /// Its class.
    pub(crate) class: ClassId,
    /// Hash of what it concerns, where a backend that has served the same key does less work.
    pub(crate) affinity_key: Option<u64>,
    /// Expected service time, in nanoseconds on a standard core.
    pub(crate) service_time: f64,
    /// Service time that a send charges to a warming backend's slow-start budget.
    pub(crate) slow_start_cost: f64,
    /// Until when an answer earns its full value.
    pub(crate) objective_deadline: Nanos,
    /// Until when a rejection is still early: half of the client's time is up then.
    pub(crate) early_rejection_until: Nanos,
    /// When the client gives up.
    pub(crate) expires_at: Nanos,
    /// Its attempts, in the order of the sends.
    pub(crate) attempts: Vec<Attempt>,
    /// Whether its body is still on the way.
    pub(crate) is_uploading: bool,
    /// Whether part of its body can't be sent again.
    pub(crate) is_body_consumed: bool,
    /// Its phase.
    pub(crate) phase: Phase,
}

impl Request {
    /// Whether an attempt has not ended yet.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether an attempt may have taken effect.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Ends an attempt that is in flight, by its number, and returns it.
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

    /// Whether an attempt was sent to this backend.
    pub(crate) fn has_tried(&self, backend: BackendId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.backend == backend)
    }

    /// Whether its only attempt in flight is in this zone.
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

//! Outlier detection: backends that keep failing are ejected for a while and readmitted after trial requests.
//!
//! ```text
//! Healthy --failures in a row, above the fleet's rate--> Ejected --time is up, next send--> HalfOpen
//! HalfOpen --two trials served--> Healthy          HalfOpen --trial failed--> Ejected (twice as long)
//! ```

use super::{FleetFailures, Health, OutcomeEffect, OutlierState};
use crate::api::{EndpointState, Nanos, Outcome};
use badgerpost_time::{MILLISECOND, SECOND};

/// Failures in a row that make an outlier; a refused connection counts double.
const EJECTION_FAILURES: u32 = 6;
/// Duration of the first ejection; doubled each time.
const EJECTION_BASE: Nanos = SECOND;
/// Most doublings of an ejection.
const EJECTION_MAX_DOUBLINGS: u32 = 5;
/// First pause after a backend rejected a request as full; doubled while it keeps rejecting.
const REJECTION_PAUSE: Nanos = 100 * MILLISECOND;
/// Most doublings of a pause after rejections.
const REJECTION_MAX_DOUBLINGS: u32 = 4;
/// At most this fraction of the backends in service is ejected (panic threshold).
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// An outlier fails more often than this multiple of the fleet's mean failure rate.
const FAILURE_RATE_MULTIPLE: f64 = 2.0;
/// The mean failure rate counts no more than this.
const MAX_MEAN_FAILURE_RATE: f64 = 0.4;
/// Time constant of a backend's failure rate.
const FAILURE_RATE_TIME_CONSTANT: Nanos = SECOND;
/// Least weight of one outcome in the failure rate.
const FAILURE_RATE_MIN_WEIGHT: f64 = 0.1;
/// An invalid response counts as this much of a failure: it may be the fault of the request.
const INVALID_RESPONSE_WEIGHT: f64 = 0.5;

impl OutlierState {
    /// Whether it may get a request now, with this number of the node's requests in flight there.
    pub(crate) fn is_available(&self, now: Nanos, in_flight: u32) -> bool {
        if now < self.paused_until {
            return false;
        }
        match self.health {
            Health::Healthy => true,
            Health::Ejected { until } => now >= until && in_flight == 0,
            Health::HalfOpen { .. } => in_flight == 0,
        }
    }

    /// Whether a backend in this state of the list gets nothing new, or only trials.
    pub(crate) fn is_avoided(&self, state: EndpointState, now: Nanos) -> bool {
        match (state, self.health) {
            (EndpointState::Removed, _) => false,
            (EndpointState::Draining, _) | (_, Health::HalfOpen { .. }) => true,
            (_, Health::Ejected { until }) if now < until => true,
            _ => now < self.paused_until,
        }
    }

    /// A request is being sent: to an ejected backend that makes a trial.
    pub(crate) fn on_send(&mut self) {
        if let Health::Ejected { .. } = self.health {
            self.health = Health::HalfOpen { served: 0 };
        }
    }

    /// Counts the end of one attempt.
    pub(crate) fn record(
        &mut self,
        now: Nanos,
        outcome: Outcome,
        is_large_fleet: bool,
    ) -> OutcomeEffect {
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return OutcomeEffect::None;
        }
        // A backend that rejects requests at once looks idle and would attract all traffic. In a large fleet a
        // refused connection may mean a full connection table just as well as a dead process.
        if outcome == Outcome::Rejected || (outcome == Outcome::ConnectFailed && is_large_fleet) {
            self.pause(now);
            return OutcomeEffect::None;
        }
        self.consecutive_rejections = 0;
        self.failure_rate.update(
            now,
            failure_sample(outcome),
            FAILURE_RATE_TIME_CONSTANT,
            FAILURE_RATE_MIN_WEIGHT,
        );
        if outcome == Outcome::Success {
            return self.record_success();
        }
        self.consecutive_failures += consecutive_failure_weight(outcome);
        OutcomeEffect::Failed
    }

    /// After a rejection: the backend gets nothing for a while.
    fn pause(&mut self, now: Nanos) {
        let doublings = self.consecutive_rejections.min(REJECTION_MAX_DOUBLINGS);
        self.paused_until = now + (REJECTION_PAUSE << doublings);
        self.consecutive_rejections += 1;
    }

    /// A success ends a row of failures; the second one on trial readmits.
    fn record_success(&mut self) -> OutcomeEffect {
        self.consecutive_failures = 0;
        match self.health {
            Health::HalfOpen { served: 0 } => {
                self.health = Health::HalfOpen { served: 1 };
                OutcomeEffect::None
            }
            Health::HalfOpen { .. } => {
                self.health = Health::Healthy;
                self.ejections = self.ejections.saturating_sub(1);
                OutcomeEffect::Readmitted
            }
            Health::Healthy | Health::Ejected { .. } => OutcomeEffect::None,
        }
    }

    /// After a failure: ejects an outlier, or a backend whose trial failed. Returns for how long.
    pub(crate) fn eject_if_outlier(
        &mut self,
        now: Nanos,
        outcome: Outcome,
        fleet: &FleetFailures,
    ) -> Option<Nanos> {
        let rate_limit = FAILURE_RATE_MULTIPLE * fleet.mean_failure_rate.min(MAX_MEAN_FAILURE_RATE);
        let is_outlier = self.consecutive_failures >= EJECTION_FAILURES
            && self.failure_rate.value() > rate_limit;
        let trial_failed =
            outcome != Outcome::InvalidResponse && matches!(self.health, Health::HalfOpen { .. });
        let may_eject = fleet.ejected + 1.0 <= fleet.in_service * MAX_EJECTED_FRACTION;
        let must_eject = trial_failed || (is_outlier && may_eject && self.is_healthy());
        if !must_eject {
            return None;
        }
        let duration = EJECTION_BASE << self.ejections.min(EJECTION_MAX_DOUBLINGS);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.health = Health::Ejected {
            until: now + duration,
        };
        Some(duration)
    }
}

/// How many failures in a row an outcome counts as. A connection may break between two healthy ends; a refused one
/// tells more.
fn consecutive_failure_weight(outcome: Outcome) -> u32 {
    if outcome == Outcome::ConnectFailed {
        2
    } else {
        1
    }
}

/// How much of a failure an outcome is, 0 to 1.
fn failure_sample(outcome: Outcome) -> f64 {
    match outcome {
        Outcome::Success => 0.0,
        Outcome::InvalidResponse => INVALID_RESPONSE_WEIGHT,
        _ => 1.0,
    }
}

//! Outlier detection: ejects backends that keep failing for a limited time, and readmits them after successful
//! trial requests.
//!
//! ```text
//! Healthy --consecutive failures, above the fleet's failure rate--> Ejected --ejection over, next send--> HalfOpen
//! HalfOpen --two trials served--> Healthy          HalfOpen --trial failed--> Ejected (twice as long)
//! ```

use super::{FleetFailures, Health, OutcomeEffect, OutlierState};
use crate::api::{EndpointState, Nanos, Outcome};
use badgerpost_time::{MILLISECOND, SECOND};

/// Consecutive failures that make a backend an outlier; a failed connection counts as two.
const EJECTION_FAILURES: u32 = 6;
/// Duration of the first ejection; doubled for each further one.
const EJECTION_BASE: Nanos = SECOND;
/// Maximum number of doublings of an ejection.
const EJECTION_MAX_DOUBLINGS: u32 = 5;
/// Pause after a backend rejects a request as full; doubled for each consecutive rejection.
const REJECTION_PAUSE: Nanos = 100 * MILLISECOND;
/// Maximum number of doublings of a rejection pause.
const REJECTION_MAX_DOUBLINGS: u32 = 4;
/// Maximum fraction of the backends in service that may be ejected (panic threshold).
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Multiple of the fleet's mean failure rate that an outlier's failure rate exceeds.
const FAILURE_RATE_MULTIPLE: f64 = 2.0;
/// Upper bound of the mean failure rate that a backend's failure rate is compared with.
const MAX_MEAN_FAILURE_RATE: f64 = 0.4;
const FAILURE_RATE_TIME_CONSTANT: Nanos = SECOND;
/// Minimum weight of one outcome in a backend's failure rate.
const FAILURE_RATE_MIN_WEIGHT: f64 = 0.1;
/// Failure sample of an invalid response; below 1 because the request may be at fault.
const INVALID_RESPONSE_WEIGHT: f64 = 0.5;

impl OutlierState {
    /// Whether the backend may receive a request now, with `in_flight` of this node's requests in flight there.
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

    /// Whether a backend with this state in the endpoint list receives no new requests, or trial requests only.
    pub(crate) fn is_avoided(&self, state: EndpointState, now: Nanos) -> bool {
        match (state, self.health) {
            (EndpointState::Removed, _) => false,
            (EndpointState::Draining, _) | (_, Health::HalfOpen { .. }) => true,
            (_, Health::Ejected { until }) if now < until => true,
            _ => now < self.paused_until,
        }
    }

    /// Records that a request is being sent; makes an ejected backend half-open.
    pub(crate) fn on_send(&mut self) {
        if let Health::Ejected { .. } = self.health {
            self.health = Health::HalfOpen { served: 0 };
        }
    }

    /// Records the outcome of one attempt.
    pub(crate) fn record(
        &mut self,
        now: Nanos,
        outcome: Outcome,
        is_large_fleet: bool,
    ) -> OutcomeEffect {
        if matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            return OutcomeEffect::None;
        }
        // A backend that rejects requests immediately appears idle and would attract all traffic, so it is paused.
        // In a large fleet, a failed connection may be due to a full connection table, which counts as a rejection.
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

    /// Pauses the backend after a rejection.
    fn pause(&mut self, now: Nanos) {
        let doublings = self.consecutive_rejections.min(REJECTION_MAX_DOUBLINGS);
        self.paused_until = now + (REJECTION_PAUSE << doublings);
        self.consecutive_rejections += 1;
    }

    /// Resets the count of consecutive failures; the second served trial request readmits the backend.
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

    /// Ejects the backend after a failure if it is an outlier or its trial failed. Returns the duration of the
    /// ejection.
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

/// Number of consecutive failures that an outcome counts as. A failed connection counts as two: a connection that
/// breaks later can be the fault of the network rather than of the backend.
fn consecutive_failure_weight(outcome: Outcome) -> u32 {
    if outcome == Outcome::ConnectFailed {
        2
    } else {
        1
    }
}

/// Sample of an outcome in the failure rate, from 0 for a success to 1 for a failure.
fn failure_sample(outcome: Outcome) -> f64 {
    match outcome {
        Outcome::Success => 0.0,
        Outcome::InvalidResponse => INVALID_RESPONSE_WEIGHT,
        _ => 1.0,
    }
}

//! Outlier state of one backend: failures and ejection. The transitions are in [`transitions`].

mod transitions;

use crate::api::Nanos;
use crate::ewma::Ewma;
use crate::tuning::IDLE_DECAY_TIME_CONSTANT;

/// Ejection state of a backend.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Health {
    #[default]
    Healthy,
    /// The backend receives no requests until this time.
    Ejected { until: Nanos },
    /// The backend receives one trial request at a time; `served` of them have succeeded.
    HalfOpen { served: u32 },
}

/// Effect of an attempt's outcome on the outlier state.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutcomeEffect {
    /// No decision is needed.
    None,
    /// The backend has served its trial requests and is healthy again.
    Readmitted,
    /// The attempt failed; [`OutlierState::eject_if_outlier`] decides whether the backend is ejected.
    Failed,
}

/// Failure statistics over all backends.
pub(crate) struct FleetFailures {
    /// Number of backends in service.
    pub(crate) in_service: f64,
    /// Number of backends that are ejected or half-open.
    pub(crate) ejected: f64,
    /// Sum of the backends' failure rates divided by the number of backends in service.
    pub(crate) mean_failure_rate: f64,
}

/// Failures and ejection state of one backend.
#[derive(Default)]
pub(crate) struct OutlierState {
    health: Health,
    failure_rate: Ewma,
    consecutive_failures: u32,
    consecutive_rejections: u32,
    /// Time until which the backend receives no requests after rejecting one.
    paused_until: Nanos,
    ejections: u32,
}

impl OutlierState {
    /// Whether the backend is neither ejected nor half-open.
    pub(crate) fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Failure rate as of the last outcome, 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Failure rate decayed by the time since the last outcome, so that a failing backend is tried again.
    pub(crate) fn decayed_failure_rate(&self, now: Nanos) -> f64 {
        self.failure_rate.decayed(now, IDLE_DECAY_TIME_CONSTANT)
    }

    /// Clears the failure counts and ends an ejection.
    pub(crate) fn reset(&mut self) {
        self.health = Health::Healthy;
        self.consecutive_failures = 0;
        self.failure_rate = Ewma::default();
    }
}

//! Failures and ejection of one backend: the state, whose transitions are in [`transitions`].

mod transitions;

use crate::api::Nanos;
use crate::ewma::Ewma;
use crate::tuning::IDLE_DECAY_TIME_CONSTANT;

/// Whether a backend is ejected.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Health {
    #[default]
    Healthy,
    /// Gets nothing until this time.
    Ejected { until: Nanos },
    /// On trial: one request at a time, of which `served` have succeeded.
    HalfOpen { served: u32 },
}

/// What an outcome changed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutcomeEffect {
    /// Nothing that calls for a decision.
    None,
    /// The backend has served its trials.
    Readmitted,
    /// It failed; [`OutlierState::eject_if_outlier`] decides what follows.
    Failed,
}

/// Failures over all backends.
pub(crate) struct FleetFailures {
    /// Backends in service.
    pub(crate) in_service: f64,
    /// Backends ejected or on trial.
    pub(crate) ejected: f64,
    /// Mean failure rate of those in service, 0 to 1.
    pub(crate) mean_failure_rate: f64,
}

/// Failures and ejection of one backend.
#[derive(Default)]
pub(crate) struct OutlierState {
    health: Health,
    failure_rate: Ewma,
    consecutive_failures: u32,
    consecutive_rejections: u32,
    /// Until when it gets nothing after rejecting a request as full.
    paused_until: Nanos,
    ejections: u32,
}

impl OutlierState {
    /// Whether it is neither ejected nor on trial.
    pub(crate) fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Its failure rate as of its last outcome, 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Its failure rate, decayed since its last outcome, so that it is tried again.
    pub(crate) fn decayed_failure_rate(&self, now: Nanos) -> f64 {
        self.failure_rate.decayed(now, IDLE_DECAY_TIME_CONSTANT)
    }

    /// Forgets failures and ejection.
    pub(crate) fn reset(&mut self) {
        self.health = Health::Healthy;
        self.consecutive_failures = 0;
        self.failure_rate = Ewma::default();
    }
}

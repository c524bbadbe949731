//! Exponential smoothing of values and rates sampled at irregular intervals.

use crate::api::Nanos;
use badgerpost_time::{MILLISECOND, SECOND};

/// Time constant of [`DecayingRate`]: long enough to include some requests at each of many nodes, short compared to
/// a fault.
const RATE_TIME_CONSTANT: Nanos = 3 * SECOND;

/// Time constant of a backend's smoothed utilization; several report periods.
pub(crate) const UTILIZATION_TIME_CONSTANT: Nanos = 400 * MILLISECOND;

/// Factor by which a value decays within `duration`.
pub(crate) fn decay(duration: Nanos, time_constant: Nanos) -> f64 {
    (-(duration as f64) / time_constant as f64).exp()
}

/// An exponentially weighted moving average with the time of the last sample.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ewma {
    value: f64,
    updated_at: Option<Nanos>,
}

impl Ewma {
    /// Adds a sample. The sample's weight grows with the time since the last sample and is at least `min_weight`;
    /// the first sample has a weight of 1.
    pub(crate) fn update(
        &mut self,
        now: Nanos,
        sample: f64,
        time_constant: Nanos,
        min_weight: f64,
    ) {
        let weight = self.updated_at.map_or(1.0, |at| {
            (1.0 - decay(now.saturating_sub(at), time_constant)).max(min_weight)
        });
        self.value += (sample - self.value) * weight;
        self.updated_at = Some(now);
    }

    /// The average as of the last sample; 0 without samples.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// The average decayed towards 0 since the last sample.
    pub(crate) fn decayed(&self, now: Nanos, time_constant: Nanos) -> f64 {
        self.updated_at.map_or(0.0, |at| {
            self.value * decay(now.saturating_sub(at), time_constant)
        })
    }

    /// The average decayed towards `prior` since the last sample; `prior` without samples.
    pub(crate) fn decayed_towards(&self, prior: f64, now: Nanos, time_constant: Nanos) -> f64 {
        let Some(at) = self.updated_at else {
            return prior;
        };
        prior + (self.value - prior) * decay(now.saturating_sub(at), time_constant)
    }

    /// Whether any sample has been added.
    pub(crate) fn has_samples(&self) -> bool {
        self.updated_at.is_some()
    }

    pub(crate) fn is_younger_than(&self, now: Nanos, age: Nanos) -> bool {
        self.updated_at
            .is_some_and(|at| now.saturating_sub(at) < age)
    }
}

/// A rate per second over an exponentially decaying window.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingRate {
    value: f64,
    updated_at: Nanos,
}

impl DecayingRate {
    /// Adds an amount that occurred at `now`.
    pub(crate) fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.per_second(now) + amount * SECOND as f64 / RATE_TIME_CONSTANT as f64;
        self.updated_at = now;
    }

    /// The rate as of `now`.
    pub(crate) fn per_second(&self, now: Nanos) -> f64 {
        self.value * decay(now.saturating_sub(self.updated_at), RATE_TIME_CONSTANT)
    }
}

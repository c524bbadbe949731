//! A CUSUM statistic with exponential decay, and the decay factor that all evidence shares.

use badgerpost_time::{Nanos, SECOND};

/// Time constant of the exponential decay of evidence.
const DECAY_TIME_CONSTANT: Nanos = 2 * SECOND;

/// Factor from 0 to 1 by which evidence recorded at `recorded_at` has decayed by `now`.
pub(crate) fn decay_factor(now: Nanos, recorded_at: Nanos) -> f64 {
    (-(now.saturating_sub(recorded_at) as f64) / DECAY_TIME_CONSTANT as f64).exp()
}

/// A cumulative sum of log-likelihood ratios (Page's CUSUM) with an upper bound and exponential decay.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingCusum {
    value: f64,
    updated_at: Nanos,
}

impl DecayingCusum {
    /// The sum, decayed until `now`.
    pub(crate) fn value_at(&self, now: Nanos) -> f64 {
        self.value * decay_factor(now, self.updated_at)
    }

    /// Adds a log-likelihood ratio. The sum is clamped to the range from 0 to `maximum`.
    pub(crate) fn add(&mut self, now: Nanos, log_ratio: f64, maximum: f64) {
        self.value = (self.value_at(now) + log_ratio).clamp(0.0, maximum);
        self.updated_at = now;
    }
}

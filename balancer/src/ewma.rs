//! Exponential smoothing of measured values and rates over irregular time steps.

use crate::api::Nanos;
use crate::tuning::SECOND;

/// Time constant of the node's own rates: some requests of each of many nodes, yet short against a trouble.
const RATE_SMOOTHING: Nanos = 3 * SECOND;

/// An exponentially smoothed figure and when it was last fed.
#[derive(Clone, Copy, Default)]
pub(crate) struct Smooth {
    pub(crate) value: f64,
    pub(crate) at: Option<Nanos>,
}

impl Smooth {
    pub(crate) fn feed(&mut self, now: Nanos, sample: f64, tau: Nanos, least: f64) {
        let weight = self.at.map_or(1.0, |at| (1.0 - decay(now.saturating_sub(at), tau)).max(least));
        self.value += (sample - self.value) * weight;
        self.at = Some(now);
    }

    /// The figure, forgotten towards 0 since it was last fed.
    pub(crate) fn fading(&self, now: Nanos, tau: Nanos) -> f64 {
        self.at.map_or(0.0, |at| self.value * decay(now.saturating_sub(at), tau))
    }

    pub(crate) fn younger_than(&self, now: Nanos, age: Nanos) -> bool {
        self.at.is_some_and(|at| now.saturating_sub(at) < age)
    }
}

/// An amount a second, over an exponential window.
#[derive(Clone, Copy, Default)]
pub(crate) struct Rate {
    pub(crate) value: f64,
    pub(crate) at: Nanos,
}

impl Rate {
    pub(crate) fn add(&mut self, now: Nanos, amount: f64) {
        self.value = self.now(now) + amount * SECOND as f64 / RATE_SMOOTHING as f64;
        self.at = now;
    }

    pub(crate) fn now(&self, now: Nanos) -> f64 {
        self.value * decay(now.saturating_sub(self.at), RATE_SMOOTHING)
    }
}

pub(crate) fn decay(span: Nanos, tau: Nanos) -> f64 {
    (-(span as f64) / tau as f64).exp()
}

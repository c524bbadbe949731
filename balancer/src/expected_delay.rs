//! Expected delay at a backend: load and slowness relative to the fleet.

use crate::api::{Nanos, Settings};
use crate::backend::Backend;
use crate::tuning::{IDLE_DECAY_TIME_CONSTANT, IDLE_LOAD};

impl Backend {
    /// Load in requests per unit of size, at least [`IDLE_LOAD`]. In a small fleet, this node's load times the
    /// number of nodes per zone; in a large one, the larger of this node's load and the queue shown by the endpoint
    /// list.
    pub(crate) fn load(&self, settings: &Settings) -> f64 {
        let own_load = f64::from(self.in_flight()) / self.size();
        if !settings.is_large_fleet() {
            return IDLE_LOAD + settings.nodes_per_zone() * own_load;
        }
        match self.feedback.reported_queue() {
            Some(queue) => IDLE_LOAD + queue.max(own_load),
            None => IDLE_LOAD + own_load,
        }
    }

    /// Slowness relative to the fleet's mean, decayed since the last sample towards the slowness implied by the
    /// warm-up.
    pub(crate) fn expected_slowness(&self, now: Nanos, settings: &Settings) -> f64 {
        let prior = 1.0 / self.warm_up_fraction(now, &settings.rules);
        self.measured_slowness()
            .decayed_towards(prior, now, IDLE_DECAY_TIME_CONSTANT)
    }
}

//! The expected delay at a backend: its load and its slowness against the fleet.

use crate::api::{Nanos, Settings};
use crate::backend::Backend;
use crate::tuning::{IDLE_DECAY_TIME_CONSTANT, IDLE_LOAD};

impl Backend {
    /// Load in requests for each unit of size: this node's, times the nodes that send there likewise; in a large
    /// fleet, what the list has shown all nodes.
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

    /// Slowness against the fleet's mean, decayed since its last sample towards what the warm-up implies.
    pub(crate) fn expected_slowness(&self, now: Nanos, settings: &Settings) -> f64 {
        let prior = 1.0 / self.warm_up_fraction(now, &settings.rules);
        self.measured_slowness()
            .decayed_towards(prior, now, IDLE_DECAY_TIME_CONSTANT)
    }
}

//! Constants shared by several modules, and the fleet size from which nodes rely on load data shared by all nodes.

use crate::api::{Nanos, Settings};
use badgerpost_time::SECOND;

/// Age from which a utilization is ignored; a zone without a younger one counts as unmeasured.
pub(crate) const UTILIZATION_MAX_AGE: Nanos = 4 * SECOND;
/// Time constant with which the slowness and the failure rate of an unused backend decay, so that the backend is
/// tried again.
pub(crate) const IDLE_DECAY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// Load of an idle backend in the expected delay, in requests. Below 1, because the load from other nodes grows
/// with this node's.
pub(crate) const IDLE_LOAD: f64 = 0.7;
/// Fraction of the time left until the objective that the expected delay of a first attempt may fill.
pub(crate) const OBJECTIVE_FRACTION: f64 = 0.6;
/// Number of a zone's backends in the subset of one node of a large fleet. Other backends are used only if none in
/// the subset can take a request.
pub(crate) const SUBSET_SIZE: usize = 4;
/// Utilization from which a zone spills in a large fleet, where load data arrives late.
pub(crate) const LARGE_FLEET_SPILL_THRESHOLD: f64 = 0.75;
/// Lower bound of a divisor that may be 0.
pub(crate) const MIN_DIVISOR: f64 = 1e-9;
/// Arrivals per second from which a class counts as in use.
pub(crate) const MIN_ARRIVAL_RATE: f64 = 0.1;
/// Time until arrivals show in a load-adjusted weight, in refresh intervals of the endpoint list: one until a list
/// is made and one until it is read.
pub(crate) const FEEDBACK_DELAY_INTERVALS: f64 = 2.0;
/// Number of nodes per zone above which a fleet counts as large. In a large fleet a node's own in-flight requests
/// say little about a backend's load, so endpoint selection uses the load in endpoint lists and reports, and random
/// choice.
const LARGE_FLEET_NODES_PER_ZONE: f64 = 8.0;

impl Settings {
    /// Number of nodes that share a zone's backends, at least 1. The load from the other nodes is assumed to change
    /// with this node's.
    pub(crate) fn nodes_per_zone(&self) -> f64 {
        (f64::from(self.node_count) / f64::from(self.zone_count)).max(1.0)
    }

    /// Whether so many nodes share the backends that one node's own measurements say little about the load.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.nodes_per_zone() > LARGE_FLEET_NODES_PER_ZONE
    }
}

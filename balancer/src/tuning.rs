//! Constants that several concerns share, and the fleet size from which on nodes rely on shared figures.

use crate::api::{Nanos, Settings};
use badgerpost_time::SECOND;

/// A utilization older than this is not used; a zone without a younger one counts as unseen.
pub(crate) const UTILIZATION_MAX_AGE: Nanos = 4 * SECOND;
/// An unused backend's slowness is forgotten with this time constant, so that it is tried again.
pub(crate) const IDLE_DECAY_TIME_CONSTANT: Nanos = 3 * SECOND;
/// Load of an idle backend in the expected delay, in requests; small, as the load by other nodes grows with this
/// node's.
pub(crate) const IDLE_LOAD: f64 = 0.7;
/// A send is admitted if its expected delay fits into this fraction of the time left to its objective.
pub(crate) const OBJECTIVE_FRACTION: f64 = 0.6;
/// Backends of a zone that a node of a large fleet uses while one of them can take the request.
pub(crate) const SUBSET_SIZE: usize = 4;
/// A zone at or over this utilization spills in a large fleet, where figures come late.
pub(crate) const LARGE_FLEET_SPILL_THRESHOLD: f64 = 0.75;
/// Smallest divisor where a total may be 0.
pub(crate) const MIN_DIVISOR: f64 = 1e-9;
/// Arrivals per second from which on a class counts as in use.
pub(crate) const MIN_ARRIVAL_RATE: f64 = 0.1;
/// Arrivals until a load-adjusted weight shows them, in refresh intervals of the list: one to be made,
/// one to be read.
pub(crate) const FEEDBACK_DELAY_INTERVALS: f64 = 2.0;
/// With more nodes per zone than this, a node's own requests in flight say nothing of a backend's load: the selection
/// then goes by what the list or the reports show all nodes, and by chance.
const LARGE_FLEET_NODES_PER_ZONE: f64 = 8.0;

impl Settings {
    /// Nodes that share a zone's backends, at least 1: their load moves with this node's.
    pub(crate) fn nodes_per_zone(&self) -> f64 {
        (f64::from(self.node_count) / f64::from(self.zone_count)).max(1.0)
    }

    /// Whether so many nodes share the backends that one node's own figures say little of their load.
    pub(crate) fn is_large_fleet(&self) -> bool {
        self.nodes_per_zone() > LARGE_FLEET_NODES_PER_ZONE
    }
}

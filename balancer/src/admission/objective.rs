//! Whether a request sent to a backend would be answered in time.

use super::Admission;
use crate::api::{Settings, ZoneId};
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::request::Request;
use crate::tuning::{IDLE_LOAD, OBJECTIVE_FRACTION, UTILIZATION_MAX_AGE};

/// A retry's expected delay may fill all the time left: that time is short, and an attempt has been spent on it.
const RETRY_OBJECTIVE_FRACTION: f64 = 1.0;
/// An idle backend no slower than this takes a request even if base times exceed the objective.
const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// A backend that reports less utilization than this has capacity for what may be late.
const SPARE_UTILIZATION: f64 = 0.7;
/// Subtracted from the bound on a remote queue, so that the bound lies between two whole requests.
const REMOTE_QUEUE_MARGIN: f64 = 0.5;

impl Admission {
    /// Whether a request sent to this backend would be answered in time.
    pub(crate) fn meets_objective(
        &self,
        fleet: &Fleet,
        request: &Request,
        backend: &Backend,
    ) -> bool {
        let settings = &fleet.settings;
        let slowness = backend.expected_slowness(fleet.now, settings);
        if has_spare_capacity(fleet, backend, slowness) {
            return true;
        }
        let load = backend.load(settings);
        // A warming backend has its own budget; a fast one's queue is as crowded as another's of that length.
        let relative_slowness =
            (slowness * backend.warm_up_fraction(fleet.now, &settings.rules)).max(1.0);
        let queue = relative_slowness * (load - IDLE_LOAD);
        slowness * load <= self.max_stretch(fleet, request)
            && queue <= max_own_queue(settings, backend.zone())
    }

    /// The largest stretch (slowness times load) at which a request is sent, by the time left to it.
    fn max_stretch(&self, fleet: &Fleet, request: &Request) -> f64 {
        let is_late = fleet.now >= request.objective_deadline;
        let end = if is_late {
            request.expires_at
        } else {
            request.objective_deadline
        };
        let time_left = end.saturating_sub(fleet.now) as f64;
        // A retry that waits for more capacity than this will be late: nothing is saved by it.
        let fraction = if request.attempts.is_empty() {
            OBJECTIVE_FRACTION
        } else {
            RETRY_OBJECTIVE_FRACTION
        };
        let base_time = fleet.classes.get(request.class).base_time();
        let class_stretch = self.classes[request.class.index()].max_stretch;
        class_stretch.min(fraction * time_left / base_time)
    }
}

/// Whether a backend takes a request at any expected delay. That this node has no request there is no proof: with
/// many nodes, each sending one to a backend that it has none at overloads that backend. So only one that is not
/// known as slow.
fn has_spare_capacity(fleet: &Fleet, backend: &Backend, slowness: f64) -> bool {
    let is_large_fleet = fleet.settings.is_large_fleet();
    if backend.in_flight() == 0 && (slowness < MAX_IDLE_SLOWNESS || is_large_fleet) {
        return true;
    }
    // Where there is capacity by its own report, a client with little time takes it from nobody. Not in a large
    // fleet: all nodes would send to the few backends that a late report shows as free.
    let utilization = backend.utilization();
    let reports_spare_capacity = utilization.is_younger_than(fleet.now, UTILIZATION_MAX_AGE)
        && utilization.value() < SPARE_UTILIZATION;
    reports_spare_capacity && !is_large_fleet && f64::from(backend.in_flight()) < backend.size()
}

/// The longest queue of this node's own requests at a backend of a zone, for each unit of size.
fn max_own_queue(settings: &Settings, zone: ZoneId) -> f64 {
    if settings.is_large_fleet() {
        // One node's requests tell nothing of the queue there, and admission bounds the load.
        return f64::INFINITY;
    }
    if zone == settings.local_zone {
        return settings.max_queue_per_size;
    }
    // That zone has nodes of its own, and all others may send their overflow there together: these divide what
    // the local zone is allowed once more.
    let others = f64::from(settings.node_count.saturating_sub(1)).max(1.0);
    (settings.max_queue_per_size / others).max(1.0) - REMOTE_QUEUE_MARGIN
}

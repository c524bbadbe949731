//! The check whether a backend would answer a request within the latency objective.

use super::Admission;
use crate::api::{Settings, ZoneId};
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::request::Request;
use crate::tuning::{IDLE_LOAD, OBJECTIVE_FRACTION, UTILIZATION_MAX_AGE};

/// Fraction of the remaining time that the expected delay of a retry may fill: a retry has little time left, and an
/// attempt has already been spent on the request.
const RETRY_OBJECTIVE_FRACTION: f64 = 1.0;
/// Slowness below which an idle backend takes a request even if the base time exceeds the objective.
const MAX_IDLE_SLOWNESS: f64 = 1.1;
/// Reported utilization below which a backend takes a request that may be answered late.
const SPARE_UTILIZATION: f64 = 0.7;
/// Subtracted from the bound on a remote queue, to place the bound between two integers.
const REMOTE_QUEUE_MARGIN: f64 = 0.5;

impl Admission {
    /// Whether a request sent to this backend now would be answered in time.
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
        // The slowness expected of a warming backend is factored out, because the slow-start budget limits its
        // load. The lower bound of 1 keeps the queue of a fast backend from being discounted.
        let relative_slowness =
            (slowness * backend.warm_up_fraction(fleet.now, &settings.rules)).max(1.0);
        let queue = relative_slowness * (load - IDLE_LOAD);
        slowness * load <= self.max_stretch(fleet, request)
            && queue <= max_own_queue(settings, backend.zone())
    }

    /// The largest stretch (slowness times load) at which a request is sent, by its remaining time.
    fn max_stretch(&self, fleet: &Fleet, request: &Request) -> f64 {
        let is_late = fleet.now >= request.objective_deadline;
        let end = if is_late {
            request.expires_at
        } else {
            request.objective_deadline
        };
        let time_left = end.saturating_sub(fleet.now) as f64;
        // A stricter bound on a retry would save nothing: a retry that waits for more capacity will be late.
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

/// Whether a backend takes a request whatever the expected delay.
///
/// The absence of this node's requests at a backend does not prove spare capacity, because other nodes may use that
/// backend. In a small fleet, an idle backend must therefore not be known as slow.
fn has_spare_capacity(fleet: &Fleet, backend: &Backend, slowness: f64) -> bool {
    let is_large_fleet = fleet.settings.is_large_fleet();
    if backend.in_flight() == 0 && (slowness < MAX_IDLE_SLOWNESS || is_large_fleet) {
        return true;
    }
    // A backend that reports spare capacity can serve a client with little time without delaying other requests.
    // This does not apply in a large fleet, where all nodes would send to the few backends that an outdated report
    // shows as free.
    let utilization = backend.utilization();
    let reports_spare_capacity = utilization.is_younger_than(fleet.now, UTILIZATION_MAX_AGE)
        && utilization.value() < SPARE_UTILIZATION;
    reports_spare_capacity && !is_large_fleet && f64::from(backend.in_flight()) < backend.size()
}

/// The longest queue of this node's requests at a backend of a zone, per unit of size.
fn max_own_queue(settings: &Settings, zone: ZoneId) -> f64 {
    if settings.is_large_fleet() {
        // One node's requests say little about the backend's queue in a large fleet; admission limits the load
        // instead.
        return f64::INFINITY;
    }
    if zone == settings.local_zone {
        return settings.max_queue_per_size;
    }
    // A remote zone also serves its own nodes, and all other nodes may send overflow there at once, so the limit is
    // divided by the number of other nodes.
    let others = f64::from(settings.node_count.saturating_sub(1)).max(1.0);
    (settings.max_queue_per_size / others).max(1.0) - REMOTE_QUEUE_MARGIN
}

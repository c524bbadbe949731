//! Slow start: the budget of work that this node may send to a warming backend, divided among the fleet's nodes.

use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::random::epoch_draw;
use crate::tuning::SUBSET_SIZE;
use badgerpost_time::SECOND;

/// Fraction of a warming backend's capacity limit that all nodes use together; the rest is a reserve for variance
/// and outdated capacity measurements.
const BUDGET_FRACTION: f64 = 0.4;

/// Whether this node's budget for a backend covers a request with the service time `cost`, in nanoseconds; always
/// true for a warm backend.
pub(crate) fn has_slow_start_budget(fleet: &Fleet, backend: &Backend, cost: f64) -> bool {
    let settings = &fleet.settings;
    if backend.warm_up_fraction(fleet.now, &settings.rules) >= 1.0 {
        return true;
    }
    // Only nodes with the backend in their subset send to a warming backend and divide the budget.
    let zone = fleet.zones.get(backend.zone());
    if settings.is_large_fleet() && backend.subset_rank() > zone.max_subset_rank() {
        return false;
    }
    let window = settings.rules.overload_window;
    let window_start = fleet.now.saturating_sub(window + settings.timer_resolution);
    let consumed = backend.warming_sends().consumed_since(window_start);
    let budget = node_budget(fleet, backend);
    if consumed + cost <= budget {
        return true;
    }
    // A budget below the cost of one request is used with the matching probability; otherwise the first requests of
    // many nodes would exceed the backend's limit together. About one node per zone always sends, so that the
    // backend is measured.
    let chance = (budget / cost).max(1.0 / settings.nodes_per_zone());
    let draw = epoch_draw(backend.subset_rank(), fleet.now / window.max(1));
    consumed == 0.0 && draw <= chance
}

/// This node's budget at a warming backend for one window, in nanoseconds of service time.
fn node_budget(fleet: &Fleet, backend: &Backend) -> f64 {
    let rules = &fleet.settings.rules;
    let zone = fleet.zones.get(backend.zone());
    let window_seconds = rules.overload_window as f64 / SECOND as f64;
    // One in `subsets` nodes has the backend in its subset, so each such node may send that many times as much.
    let subsets = (zone.endpoint_count() / SUBSET_SIZE as f64).max(1.0);
    let subset_factor = if fleet.settings.is_large_fleet() {
        subsets
    } else {
        1.0
    };
    let warm_up_fraction = backend.warm_up_fraction(fleet.now, rules);
    let capacity = BUDGET_FRACTION
        * rules.overload_multiple
        * warm_up_fraction
        * backend.size()
        * zone.capacity();
    capacity * window_seconds * subset_factor
}

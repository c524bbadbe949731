//! Slow start: how much a warming backend may be sent, as the fleet's nodes divide its budget.

use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::random::epoch_draw;
use crate::tuning::SUBSET_SIZE;
use badgerpost_time::SECOND;

/// Part of the budget that all nodes together use; the rest is a reserve for chance and for late figures.
const BUDGET_FRACTION: f64 = 0.4;

/// Whether this node's part of the backend's budget covers a send that costs this much service time.
pub(crate) fn has_slow_start_budget(fleet: &Fleet, backend: &Backend, cost: f64) -> bool {
    let settings = &fleet.settings;
    if backend.warm_up_fraction(fleet.now, &settings.rules) >= 1.0 {
        return true;
    }
    // Only nodes with it in their subset send there, and these divide the budget.
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
    // A budget below one request is used by chance, or many nodes' first sends would exceed it together. About one
    // node of a zone always tries, as otherwise no node would get figures of the backend.
    let chance = (budget / cost).max(1.0 / settings.nodes_per_zone());
    let draw = epoch_draw(backend.subset_rank(), fleet.now / window.max(1));
    consumed == 0.0 && draw <= chance
}

/// This node's part of a warming backend's budget for one window, in nanoseconds of service time.
fn node_budget(fleet: &Fleet, backend: &Backend) -> f64 {
    let rules = &fleet.settings.rules;
    let zone = fleet.zones.get(backend.zone());
    let window_seconds = rules.overload_window as f64 / SECOND as f64;
    // Of all nodes, one in `subsets` has the backend in its subset, and may send that much more.
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

//! Health checks, where backends report their load only in the answers to them: few, bounded by the node's own traffic,
//! and to those backends first that were checked longest ago.

use crate::api::{Action, BackendId, Nanos};
use crate::backend::Backend;
use crate::fleet::Fleet;
use badgerpost_time::MILLISECOND;

/// Checks that each arrival pays for, so that their number does not grow with nodes times backends.
const TOKENS_PER_ARRIVAL: f64 = 0.2;
/// Shortest time between two checks of a backend: reports are refreshed no more often.
const CHECK_INTERVAL: Nanos = 800 * MILLISECOND;
/// A backend of another zone is checked less often than one of the local zone, by this factor.
const REMOTE_INTERVAL_FACTOR: u64 = 3;
/// Most checks that can be saved up.
const MAX_TOKENS: f64 = 3.0;
/// Checks that a node starts with.
const INITIAL_TOKENS: f64 = 1.0;

/// Budget of health checks.
pub(crate) struct HealthChecks {
    tokens: f64,
}

impl HealthChecks {
    /// The budget of a node that starts.
    pub(crate) fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }

    /// Each arrival pays for a part of a check.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ARRIVAL).min(MAX_TOKENS);
    }

    /// Checks the backends whose figures are oldest, as far as the budget goes.
    pub(crate) fn run(&mut self, fleet: &mut Fleet, actions: &mut Vec<Action>) {
        if !fleet.settings.reports_by_health_check || !fleet.settings.limits.health_checks {
            return;
        }
        while self.tokens >= 1.0 {
            let Some(backend) = most_overdue_backend(fleet) else {
                return;
            };
            self.tokens -= 1.0;
            if let Some(state) = fleet.backends.get_mut(backend) {
                state.record_health_check(fleet.now);
            }
            actions.push(Action::CheckHealth { backend });
        }
    }
}

/// The backend whose check is longest overdue.
fn most_overdue_backend(fleet: &Fleet) -> Option<BackendId> {
    let due_backends = fleet
        .backends
        .iter()
        .filter(|(_, backend)| backend.is_in_service() && is_check_due(fleet, backend));
    due_backends
        .max_by_key(|(_, backend)| (weighted_check_age(fleet, backend), backend.subset_rank()))
        .map(|(id, _)| id)
}

/// Whether a backend has not been checked yet, or not for the check interval.
fn is_check_due(fleet: &Fleet, backend: &Backend) -> bool {
    backend.health_checked_at().is_none() || weighted_check_age(fleet, backend) >= CHECK_INTERVAL
}

/// Time since a backend's last check, divided by a factor for other zones.
fn weighted_check_age(fleet: &Fleet, backend: &Backend) -> Nanos {
    let checked_at = backend.health_checked_at().unwrap_or(0);
    let age = fleet.now.saturating_sub(checked_at);
    if backend.zone() == fleet.local_zone() {
        age
    } else {
        age / REMOTE_INTERVAL_FACTOR
    }
}

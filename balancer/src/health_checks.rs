//! Health checks for sites where backends report their load only in health check responses. The number of checks is
//! bounded by the node's own arrivals, and the backend with the oldest check comes first.

use crate::api::{Action, BackendId, Nanos};
use crate::backend::Backend;
use crate::fleet::Fleet;
use badgerpost_time::MILLISECOND;

/// Tokens added by each arrival; a check takes one token. The number of checks thus does not grow with nodes times
/// backends.
const TOKENS_PER_ARRIVAL: f64 = 0.2;
/// Minimum time between two checks of a backend; load reports are refreshed no more often.
const CHECK_INTERVAL: Nanos = 800 * MILLISECOND;
/// Factor on the check interval for backends of remote zones.
const REMOTE_INTERVAL_FACTOR: u64 = 3;
/// Maximum tokens that can be saved up.
const MAX_TOKENS: f64 = 3.0;
/// Tokens at the start of the node.
const INITIAL_TOKENS: f64 = 1.0;

/// Token bucket of health checks.
pub(crate) struct HealthChecks {
    tokens: f64,
}

impl HealthChecks {
    /// Creates the token bucket of a starting node.
    pub(crate) fn new() -> Self {
        Self {
            tokens: INITIAL_TOKENS,
        }
    }

    /// Adds the tokens for one arrival.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ARRIVAL).min(MAX_TOKENS);
    }

    /// Checks the backends with the oldest checks, as far as the tokens last.
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

/// The backend in service whose check is most overdue.
fn most_overdue_backend(fleet: &Fleet) -> Option<BackendId> {
    let due_backends = fleet
        .backends
        .iter()
        .filter(|(_, backend)| backend.is_in_service() && is_check_due(fleet, backend));
    due_backends
        .max_by_key(|(_, backend)| (weighted_check_age(fleet, backend), backend.subset_rank()))
        .map(|(id, _)| id)
}

/// Whether a backend has never been checked, or the check interval is over.
fn is_check_due(fleet: &Fleet, backend: &Backend) -> bool {
    backend.health_checked_at().is_none() || weighted_check_age(fleet, backend) >= CHECK_INTERVAL
}

/// Time since a backend's last check, divided by [`REMOTE_INTERVAL_FACTOR`] for a remote zone.
fn weighted_check_age(fleet: &Fleet, backend: &Backend) -> Nanos {
    let checked_at = backend.health_checked_at().unwrap_or(0);
    let age = fleet.now.saturating_sub(checked_at);
    if backend.zone() == fleet.local_zone() {
        age
    } else {
        age / REMOTE_INTERVAL_FACTOR
    }
}

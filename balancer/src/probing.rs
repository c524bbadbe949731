//! Probes, where backends report their load only when asked: few, bounded by the node's own traffic, and to
//! whom the node has not heard of for longest.

use crate::api::{Action, BackendId, EndpointState, Nanos};
use crate::state::{Backend, Balancer};
use crate::tuning::MS;

/// Probes for each arrival at most: probing must not grow with nodes times backends.
const PROBES: f64 = 0.2;
/// A backend is asked again no sooner than this: reports are refreshed no more often than that.
const PROBE_AGAIN: Nanos = 800 * MS;
/// A backend of another zone is asked so much less often than one at home.
const AWAY: u64 = 3;
/// Probes saved up, in refreshes without traffic.
const SAVED: f64 = 3.0;

impl Balancer {
    /// Asks the backends whose figures are oldest, as far as the traffic since the last time pays for it.
    pub(crate) fn probe(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.reports_by_health_check || !self.settings.limits.health_checks {
            return;
        }
        let home = self.settings.local_zone;
        while self.probe_tokens >= 1.0 {
            let now = self.now;
            let age = |b: &Backend| {
                let age = now.saturating_sub(b.probed_at);
                if b.member.zone == home { age } else { age / AWAY }
            };
            let asked = |(_, b): &(&BackendId, &Backend)| {
                b.member.state == EndpointState::InService && (b.probed_at == 0 || age(b) >= PROBE_AGAIN)
            };
            let oldest = self.backends.iter().filter(asked).max_by_key(|(_, b)| (age(b), b.lot));
            let Some((&backend, _)) = oldest else { return };
            self.probe_tokens -= 1.0;
            if let Some(view) = self.backends.get_mut(&backend) {
                view.probed_at = now.max(1);
            }
            actions.push(Action::CheckHealth { backend });
        }
    }

    /// Each arrival pays for a part of a probe.
    pub(crate) fn earn_probe(&mut self) {
        self.probe_tokens = (self.probe_tokens + PROBES).min(SAVED);
    }
}

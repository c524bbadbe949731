//! What a list of servers says: who is there, and, with live weights, how loaded all nodes together make
//! them.

use crate::api::{Endpoint, EndpointState, EndpointUpdate, WeightSource};
use crate::gate::SUBSET;
use crate::state::Balancer;
use crate::tuning::{SECOND, UTIL_SMOOTHING};

/// Least and most that one late figure moves a backend's share of the picks.
const RESPONSE: (f64, f64) = (0.1, 2.0);
/// How far one list moves a backend's lasting share, and the bounds of that share.
const BIAS_STEP: f64 = 0.15;
const BIAS: (f64, f64) = (0.1, 4.0);

impl Balancer {
    pub(crate) fn fleet(&mut self, scope: EndpointUpdate, members: Vec<Endpoint>) {
        if scope != EndpointUpdate::Cached {
            self.ask_failures = 0;
        }
        self.take_list(scope, members, SUBSET);
        if self.settings.weight_source == WeightSource::LoadAdjusted && scope != EndpointUpdate::Cached {
            self.interpret();
        }
    }

    /// What a list's live weights say, which reach all nodes alike and late. A backend's share of the picks
    /// moves by what evens out the figures over the arrivals of about the time until the next ones show
    /// (load interpretation), no more, or all nodes would herd; what lasts is learned in small steps.
    fn interpret(&mut self) {
        let period = self.listed_at.map_or(1.0, |at| self.now.saturating_sub(at) as f64 / SECOND as f64);
        self.list_period += (period.min(3.0) - self.list_period) * 0.2;
        self.listed_at = Some(self.now);
        let mut sums = vec![(0.0, 0.0, 0.0); self.zones.len()];
        for backend in self.backends.values().filter(|b| b.member.state == EndpointState::InService) {
            if let (Some(sum), Some(held)) = (sums.get_mut(backend.member.zone.0 as usize), backend.held) {
                *sum = (sum.0 + 1.0, sum.1 + held, sum.2 + backend.size());
            }
        }
        let asked = self.asked();
        let arrivals = asked * self.crowd() * 2.0 * self.list_period;
        for (zone, &(count, total, _)) in self.zones.iter_mut().zip(&sums) {
            zone.held = total / f64::max(count, 1.0);
        }
        for backend in self.backends.values_mut() {
            let (Some(&(count, total, size)), Some(held)) =
                (sums.get(backend.member.zone.0 as usize), backend.held)
            else {
                continue;
            };
            // A slow machine should hold less for the same delay.
            let mean = ((total + count) / f64::max(size, 1e-9) * backend.size() - 1.0).max(0.2);
            let coming = (arrivals * backend.size() / f64::max(size, 1e-9)).max(1.0);
            backend.response = (1.0 + (mean - held) / coming).clamp(RESPONSE.0, RESPONSE.1);
            let step = BIAS_STEP * (mean - held) / (mean + 1.0).max(held);
            backend.bias = (backend.bias * step.exp()).clamp(BIAS.0, BIAS.1);
            backend.util.feed(self.now, held / (1.0 + held), UTIL_SMOOTHING, 0.05);
        }
        self.share_out();
    }
}

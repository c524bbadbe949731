//! How servers fare: their expected delay, and outliers, which are ejected for a while and readmitted by
//! trials.

use crate::api::{Action, BackendId, EndpointState, LogEvent, Nanos, Outcome, SafetyLimits};
use crate::ewma::decay;
use crate::state::{Backend, Balancer, Health};
use crate::tuning::{MS, SECOND};

/// An unused backend's slowness is forgotten with this time constant, so that it is tried again.
pub(crate) const SLOW_FORGET: Nanos = 3 * SECOND;
/// Load of an idle backend in the expected delay, in own requests; small, as others' load grows with own.
pub(crate) const IDLE_LOAD: f64 = 0.7;
/// Failures in a row (a broken or refused connection counts double) that make an outlier.
const EJECT_AFTER: u32 = 6;
/// First ejection; doubled each time up to 2^5.
const EJECT_FOR: Nanos = SECOND;
/// Wait after a backend sent work away as full; doubled up to 2^4 while it goes on.
const FULL_FOR: Nanos = 100 * MS;
/// At most this share of the listed backends is ejected (panic threshold).
const EJECT_SHARE: f64 = 0.5;
/// With more nodes a zone than this, own requests in flight say nothing of a backend's load: the pick then
/// goes by what the list or the reports tell all nodes, and by chance.
const SHARED_VIEW: f64 = 8.0;

impl Backend {
    /// Load in requests for each unit of size: own ones, times the nodes that do alike; where these are
    /// many, what all nodes have been told.
    pub(crate) fn load(&self, crowd: f64) -> f64 {
        let own = f64::from(self.in_flight) / self.size();
        match self.held {
            Some(held) if crowd > SHARED_VIEW => IDLE_LOAD + held.max(own),
            None if crowd > SHARED_VIEW => IDLE_LOAD + own,
            _ => IDLE_LOAD + crowd * own,
        }
    }

    /// Slowness against the fleet's mean, forgotten towards what its ramp implies.
    pub(crate) fn slowness(&self, now: Nanos, rules: &SafetyLimits) -> f64 {
        let prior = 1.0 / self.ramp(now, rules);
        let Some(at) = self.slow.at else { return prior };
        prior + (self.slow.value - prior) * decay(now.saturating_sub(at), SLOW_FORGET)
    }
}

impl Balancer {
    /// Whether so many nodes share the backends that own figures say little of these.
    pub(crate) fn many(&self) -> bool {
        self.crowd() > SHARED_VIEW
    }

    pub(crate) fn usable(&self, backend: &Backend) -> bool {
        if self.now < backend.full_until {
            return false;
        }
        match backend.health {
            Health::Healthy => true,
            Health::Ejected { until } => self.now >= until && backend.in_flight == 0,
            Health::HalfOpen { .. } => backend.in_flight == 0,
        }
    }

    /// How many listed backends get nothing new now: those that drain, are ejected or on trial, or have sent
    /// work away a moment ago.
    pub fn avoided(&self, now: Nanos) -> usize {
        let avoided = |backend: &&Backend| match (backend.member.state, backend.health) {
            (EndpointState::Removed, _) => false,
            (EndpointState::Draining, _) | (_, Health::HalfOpen { .. }) => true,
            (_, Health::Ejected { until }) if now < until => true,
            _ => now < backend.full_until,
        };
        self.backends.values().filter(avoided).count()
    }

    /// Ejects an outlier, readmits after two served trials.
    pub(crate) fn judge(&mut self, id: BackendId, outcome: Outcome, actions: &mut Vec<Action>) {
        let weight = match outcome {
            Outcome::Success => 0,
            // A connection may break on the way, between two that are well; a refused one tells more.
            Outcome::Error
            | Outcome::InvalidResponse
            | Outcome::TimedOut
            | Outcome::Rejected
            | Outcome::Reset => 1,
            Outcome::ConnectFailed => 2,
            Outcome::Cancelled | Outcome::NotSent => return,
        };
        let turned_away = outcome == Outcome::Rejected || (outcome == Outcome::ConnectFailed && self.many());
        let Some(backend) = self.backends.get_mut(&id) else { return };
        // Sent away at once, again and again, a backend looks idle and would draw all traffic. With many
        // nodes a refused connection may mean a full table just as well as a dead process.
        if turned_away {
            backend.full_until = self.now + (FULL_FOR << backend.full_in_row.min(4));
            backend.full_in_row += 1;
            return;
        }
        backend.full_in_row = 0;
        // What comes back spoilt comes from all alike, or is the fault of the request: it tells little.
        let told = if outcome == Outcome::InvalidResponse { 0.5 } else { 1.0 };
        backend.failing.feed(self.now, if weight > 0 { told } else { 0.0 }, SECOND, 0.1);
        if weight == 0 {
            backend.failed_in_row = 0;
            match backend.health {
                Health::HalfOpen { served: 0 } => backend.health = Health::HalfOpen { served: 1 },
                Health::HalfOpen { .. } => {
                    backend.health = Health::Healthy;
                    backend.ejections = backend.ejections.saturating_sub(1);
                    self.log(actions, LogEvent::Readmitted { backend: id });
                }
                _ => {}
            }
            return;
        }
        backend.failed_in_row += weight;
        let listed =
            self.backends.values().filter(|b| b.member.state == EndpointState::InService).count() as f64;
        let ejected = self.backends.values().filter(|b| b.health != Health::Healthy).count() as f64;
        let failing = self.backends.values().map(|b| b.failing.value).sum::<f64>() / listed.max(1.0);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let outlier = backend.failed_in_row >= EJECT_AFTER && backend.failing.value > 2.0 * failing.min(0.4);
        let failed_trial = told == 1.0 && matches!(backend.health, Health::HalfOpen { .. });
        let room = ejected + 1.0 <= listed * EJECT_SHARE;
        if failed_trial || (outlier && room && backend.health == Health::Healthy) {
            let span = EJECT_FOR << backend.ejections.min(5);
            backend.ejections += 1;
            backend.failed_in_row = 0;
            backend.health = Health::Ejected { until: self.now + span };
            self.log(actions, LogEvent::Ejected { backend: id, duration: span, outcome });
        }
    }
}

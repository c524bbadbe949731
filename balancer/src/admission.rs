//! What is taken in: shares by class and tenant where nodes are many, values of classes, and the budget of
//! retries.

use crate::gate::ADMIT;
use crate::health::IDLE_LOAD;
use crate::state::Balancer;
use crate::tuning::UTIL_TRUST;

/// A zone at or over this utilisation spills where many nodes share the zones: figures come late.
pub(crate) const SHARED_THRESHOLD: f64 = 0.75;
/// A class worth less leaves this share of the room of the next worthier class at least.
const PRECEDENCE: f64 = 0.8;
/// The most retries that can be saved up, over the nodes that share the servers.
const RETRY_SAVED: f64 = 10.0;
/// Part of the aim, on the mean, that a zone's load may fill before arrivals are turned away.
const ROOM: f64 = 0.7;
/// Arrivals taken for each one that was lately answered in time (adaptive throttling).
const OVERDRAW: f64 = 1.15;
/// Part of the difference to the wanted load that one list's figures correct, in the share of the arrivals
/// that spills and the share that is taken; and the least of the latter, so that an end of the jam is seen.
const GAIN: f64 = 0.5;
const LEAST_TAKEN: f64 = 0.05;
/// Fewest arrivals for each backend until the next figures: a node that has just started has counted none.
const LEAST_COMING: f64 = 10.0;

impl Balancer {
    /// Where nodes are many: the share that spills, and the share of each class that is taken at all. Each
    /// moves by what would even out the figures over the arrivals of about the time until the next ones.
    pub(crate) fn share_out(&mut self) {
        let home = self.settings.local_zone;
        let asked = self.asked();
        let count = self.zones[home.0 as usize].listed.max(1.0);
        let coming = (asked * self.crowd() * 2.0 * self.list_period / count).max(LEAST_COMING);
        let wanted = SHARED_THRESHOLD / (1.0 - SHARED_THRESHOLD);
        let best = self.overflow.first().filter(|_| self.qualified > 0);
        let best = best.map(|zone| self.zones[zone.0 as usize].held);
        // Load at which the mean unit of worth would still be answered in time.
        let (mut worth, mut fitting) = (1e-9, 0.0);
        for (view, class) in self.classes.iter().zip(&self.settings.classes) {
            let weight = view.asked.now(self.now) * class.priority_weight;
            worth += weight;
            fitting += weight * class.latency_objective as f64 / view.base.max(1.0);
        }
        // Not under the threshold, where home serves all; one node's own times are few, hence the bounds.
        let room = (ROOM * fitting / worth - IDLE_LOAD).clamp(wanted, 1.5 * wanted);
        let view = &mut self.zones[home.0 as usize];
        // A crossing has its price: the other zone must hold less by one request a core at least.
        let spilling = view.held - best.map_or(f64::INFINITY, |best| (best + 1.0).max(wanted));
        view.spill = (view.spill + GAIN * spilling.max(-view.held) / coming).clamp(0.0, 1.0);
        // Home spills first; only what no zone has room for is turned away.
        let held = best.map_or(view.held, |best| 0.5 * (view.held + best));
        view.taken = (view.taken + GAIN * (room - held) / coming).clamp(LEAST_TAKEN, 1.0);
    }

    /// Part of a tenant's requests that is beyond this node's part of its share.
    pub(crate) fn over_share(&self, tenant: usize) -> f64 {
        let (Some(asked), Some(quota)) = (self.tenants.get(tenant), self.settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        let part = quota / f64::from(self.settings.node_count) / asked.now(self.now).max(1e-9);
        // A node sees few requests of a tenant: half as many again may be chance.
        if self.settings.over_quota_value < 1.0 { (1.0 - 1.5 * part).max(0.0) } else { 0.0 }
    }

    /// Spreads what is taken over the classes, the worthiest for each unit of work first. The shared figures
    /// are late, or absent where discovery is down: what came back in time of what was asked bounds it too.
    pub(crate) fn admit(&mut self) {
        let asked = self.asked();
        let served: f64 = self.classes.iter().map(|class| class.served.now(self.now)).sum();
        let home = &self.zones[self.settings.local_zone.0 as usize];
        // A node sees few answers: its own bound rests while the list shows home at half the threshold.
        let fresh = self.listed_at.is_some_and(|at| self.now.saturating_sub(at) < UTIL_TRUST);
        let calm = fresh && home.held < 0.5 * SHARED_THRESHOLD / (1.0 - SHARED_THRESHOLD);
        let own = if calm { 1.0 } else { OVERDRAW * (served + 0.5) / (asked + 0.5) };
        let taken = home.taken.min(own);
        // A tenant that floods is turned away first, down to this node's part of its share.
        let over: f64 =
            (0..self.tenants.len()).map(|t| self.over_share(t) * self.tenants[t].now(self.now)).sum();
        let within = (1.0 - over / asked.max(1e-9)).clamp(0.1, 1.0);
        self.over_admit =
            if within < 1.0 { ((taken - within) / (1.0 - within)).clamp(0.0, 1.0) } else { taken };
        let taken = (taken / within).min(1.0);
        let mut left = taken * asked;
        for class in self.by_value() {
            let view = &mut self.classes[class];
            let asked = view.asked.now(self.now);
            // A class not asked for of late is not one that there is no room for.
            view.admit =
                if taken < 1.0 && asked > 0.1 { (left / asked).clamp(LEAST_TAKEN, 1.0) } else { 1.0 };
            left = (left - asked).max(0.0);
        }
    }

    /// What a unit of each class's work adds to the goal: worth, and more for the worst-served class.
    pub(crate) fn value_classes(&mut self) {
        let goal = self.settings.worst_class_goal.min(1.0);
        let rates: Vec<(f64, f64)> =
            self.classes.iter().map(|c| (c.asked.now(self.now), c.served.now(self.now))).collect();
        let worth: f64 = rates.iter().zip(&self.settings.classes).map(|(r, c)| r.0 * c.priority_weight).sum();
        let part = |(asked, served): (f64, f64)| if asked > 0.0 { served / asked } else { 1.0 };
        let worst = rates.iter().map(|&rate| part(rate)).fold(1.0, f64::min);
        for ((view, class), &rate) in self.classes.iter_mut().zip(&self.settings.classes).zip(&rates) {
            let mut value = (1.0 - goal) * class.priority_weight / worth.max(1e-9);
            if part(rate) <= worst {
                value += goal / rate.0.max(1e-9);
            }
            view.value = if self.settings.value_per_request { value } else { value / view.base.max(1.0) };
        }
        // A worthy class with a tight aim would find all room taken by lesser ones with a wide aim.
        let mut room = f64::INFINITY;
        for class in self.by_value().into_iter().filter(|&class| rates[class].0 > 0.1) {
            let aim = self.settings.classes[class].latency_objective as f64;
            let view = &mut self.classes[class];
            room = (room * PRECEDENCE).min(ADMIT * aim / view.base.max(1.0));
            view.room = room;
        }
    }

    /// Most retries that a node may save up: many nodes together must not save a storm.
    pub(crate) fn retries_saved(&self) -> f64 {
        (RETRY_SAVED / self.crowd()).max(1.0)
    }
}

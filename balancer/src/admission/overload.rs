//! Overload control: which part of the arrivals is admitted or spills, by class and tenant.

use super::Admission;
use crate::api::{Nanos, Settings, ZoneId};
use crate::fleet::Fleet;
use crate::load_feedback::LoadFeedback;
use crate::random::Random;
use crate::tuning::MIN_DIVISOR;
use crate::tuning::{
    FEEDBACK_DELAY_INTERVALS, IDLE_LOAD, LARGE_FLEET_SPILL_THRESHOLD, MIN_ARRIVAL_RATE,
};

/// Queue per core of a zone at the spill threshold.
const SPILL_QUEUE: f64 = LARGE_FLEET_SPILL_THRESHOLD / (1.0 - LARGE_FLEET_SPILL_THRESHOLD);
/// The admitted queue is at most this multiple of [`SPILL_QUEUE`]: one node's own times are few.
const MAX_QUEUE_MULTIPLE: f64 = 1.5;
/// Below this part of [`SPILL_QUEUE`] the node's own bound on arrivals rests: it sees few answers.
const CALM_QUEUE_FRACTION: f64 = 0.5;
/// Part of the objective, on the mean, that a zone's load may fill before arrivals are rejected.
const MAX_LOAD_FRACTION: f64 = 0.7;
/// Arrivals admitted for each one that was lately answered in time (adaptive throttling).
const OVERDRAW: f64 = 1.15;
/// Added to both rates of that ratio, in requests per second, so that few requests don't decide.
const RATE_PRIOR: f64 = 0.5;
/// Part of the difference to the wanted load that one list's figures correct.
const GAIN: f64 = 0.5;
/// Least fraction that is admitted, so that the end of a jam is seen.
const MIN_ADMITTED: f64 = 0.05;
/// Fewest arrivals for each backend until the next figures: a node that has just started has counted none.
const MIN_UPCOMING_ARRIVALS: f64 = 10.0;
/// A node sees few requests of a tenant: this multiple of its quota may be chance.
const QUOTA_TOLERANCE: f64 = 1.5;
/// Least fraction of the arrivals that counts as within quotas.
const MIN_WITHIN_QUOTA: f64 = 0.1;

impl Admission {
    /// In a large fleet: moves the fractions that spill and that are admitted at all by what would even out
    /// the figures over the arrivals of about the time until the next ones. `target` is the zone to spill to.
    pub(crate) fn update_spill_and_admission(
        &mut self,
        fleet: &Fleet,
        feedback: &LoadFeedback,
        target: Option<ZoneId>,
    ) {
        let home = fleet.zones.get(fleet.local_zone());
        let count = home.endpoint_count().max(1.0);
        let arrivals = fleet.classes.total_arrivals(fleet.now) * fleet.settings.nodes_per_zone();
        let upcoming_arrivals = (arrivals * FEEDBACK_DELAY_INTERVALS * feedback.delay_seconds()
            / count)
            .max(MIN_UPCOMING_ARRIVALS);
        let target_queue = target.map(|zone| fleet.zones.get(zone).mean_queue());
        // A crossing has its price: the other zone must hold less by one request a core at least.
        let home_queue = home.mean_queue();
        let spilling =
            home_queue - target_queue.map_or(f64::INFINITY, |queue| (queue + 1.0).max(SPILL_QUEUE));
        self.spill_fraction = (self.spill_fraction
            + GAIN * spilling.max(-home_queue) / upcoming_arrivals)
            .clamp(0.0, 1.0);
        // Home spills first; only what no zone has capacity for is rejected.
        let queue = target_queue.map_or(home_queue, |other| 0.5 * (home_queue + other));
        self.admitted_fraction = (self.admitted_fraction
            + GAIN * (max_queue(fleet) - queue) / upcoming_arrivals)
            .clamp(MIN_ADMITTED, 1.0);
    }

    /// Part of a tenant's requests that is beyond this node's part of its quota.
    fn over_quota_fraction(&self, settings: &Settings, now: Nanos, tenant: usize) -> f64 {
        let (Some(rate), Some(quota)) =
            (self.tenants.get(tenant), settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        if settings.over_quota_value >= 1.0 {
            return 0.0;
        }
        let within = quota / f64::from(settings.node_count) / rate.per_second(now).max(MIN_DIVISOR);
        (1.0 - QUOTA_TOLERANCE * within).max(0.0)
    }

    /// The fraction by which an arrival is admitted: its class's, or that of arrivals beyond quotas.
    pub(crate) fn draw_fraction(
        &self,
        fleet: &Fleet,
        tenant: usize,
        class: f64,
        random: &mut Random,
    ) -> f64 {
        let over_quota = self.over_quota_fraction(&fleet.settings, fleet.now, tenant);
        let is_over_quota = over_quota > 0.0 && random.draw() < over_quota;
        if is_over_quota {
            self.over_quota_admitted
        } else {
            class
        }
    }

    /// Spreads what is admitted over the classes, the most valuable first. A tenant that floods is rejected
    /// first, down to this node's part of its quota.
    pub(crate) fn update_admitted_fractions(&mut self, fleet: &Fleet, feedback: &LoadFeedback) {
        let now = fleet.now;
        let arrivals = fleet.classes.total_arrivals(now);
        let fraction = self.admitted_fraction.min(own_bound(fleet, feedback));
        let over_quota: f64 = (0..self.tenants.len())
            .map(|tenant| {
                self.over_quota_fraction(&fleet.settings, now, tenant)
                    * self.tenants[tenant].per_second(now)
            })
            .sum();
        let within = (1.0 - over_quota / arrivals.max(MIN_DIVISOR)).clamp(MIN_WITHIN_QUOTA, 1.0);
        self.over_quota_admitted = if within < 1.0 {
            ((fraction - within) / (1.0 - within)).clamp(0.0, 1.0)
        } else {
            fraction
        };
        let within_admitted = (fraction / within).min(1.0);
        let mut left = within_admitted * arrivals;
        for class in self.by_value() {
            let class_arrivals = fleet.classes.get(class).arrivals(now);
            // A class without recent arrivals is not one that there is no capacity for.
            let is_bounded = within_admitted < 1.0 && class_arrivals > MIN_ARRIVAL_RATE;
            self.classes[class.index()].admitted_fraction = if is_bounded {
                (left / class_arrivals).clamp(MIN_ADMITTED, 1.0)
            } else {
                1.0
            };
            left = (left - class_arrivals).max(0.0);
        }
    }
}

/// Queue per core at which the mean unit of value would still be answered in time; never under the spill
/// threshold, where home serves all.
fn max_queue(fleet: &Fleet) -> f64 {
    let (mut total_weight, mut fitting) = (MIN_DIVISOR, 0.0);
    for (class, settings) in fleet.classes_with_settings() {
        let weight = class.arrivals(fleet.now) * settings.priority_weight;
        total_weight += weight;
        fitting += weight * settings.latency_objective as f64 / class.base_time().max(1.0);
    }
    let queue = MAX_LOAD_FRACTION * fitting / total_weight - IDLE_LOAD;
    queue.clamp(SPILL_QUEUE, MAX_QUEUE_MULTIPLE * SPILL_QUEUE)
}

/// Fraction of the arrivals that this node's own answers allow to admit: shared figures are late, or absent
/// where discovery is down.
fn own_bound(fleet: &Fleet, feedback: &LoadFeedback) -> f64 {
    let home = fleet.zones.get(fleet.local_zone());
    let is_calm =
        feedback.is_fresh(fleet.now) && home.mean_queue() < CALM_QUEUE_FRACTION * SPILL_QUEUE;
    if is_calm {
        return 1.0;
    }
    let arrivals = fleet.classes.total_arrivals(fleet.now);
    OVERDRAW * (fleet.classes.total_served_in_time(fleet.now) + RATE_PRIOR)
        / (arrivals + RATE_PRIOR)
}

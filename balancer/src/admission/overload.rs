//! Overload control: which fraction of the arrivals is admitted or spills, by class and tenant.

use super::Admission;
use crate::api::{Nanos, Settings, ZoneId};
use crate::fleet::Fleet;
use crate::load_feedback::LoadFeedback;
use crate::random::Random;
use crate::tuning::{
    FEEDBACK_DELAY_INTERVALS, IDLE_LOAD, LARGE_FLEET_SPILL_THRESHOLD, MIN_ARRIVAL_RATE, MIN_DIVISOR,
};

/// Queue per core at which a zone reaches the spill threshold.
const SPILL_QUEUE: f64 = LARGE_FLEET_SPILL_THRESHOLD / (1.0 - LARGE_FLEET_SPILL_THRESHOLD);
/// Upper bound of the admitted queue, as a multiple of [`SPILL_QUEUE`]; one node measures too few response times to
/// justify a longer queue.
const MAX_QUEUE_MULTIPLE: f64 = 1.5;
/// Fraction of [`SPILL_QUEUE`] below which the node's own admission bound does not apply: at low load one node sees
/// too few responses.
const SHORT_QUEUE_FRACTION: f64 = 0.5;
/// Fraction of the mean latency objective that a zone's load may fill before arrivals are rejected.
const MAX_LOAD_FRACTION: f64 = 0.7;
/// Arrivals admitted per request recently answered in time (adaptive throttling).
const ADMITTED_PER_SERVED: f64 = 1.15;
/// Added to the rates of arrivals and of requests answered in time, so that few requests do not decide the ratio.
const PRIOR_REQUESTS_PER_SECOND: f64 = 0.5;
/// Fraction of the deviation from the target load that one correction makes up for.
const CORRECTION_GAIN: f64 = 0.5;
/// Minimum admitted fraction: some requests must pass to detect the end of an overload.
const MIN_ADMITTED_FRACTION: f64 = 0.05;
/// Lower bound of the expected arrivals per backend within the feedback delay; a node that has just started has not
/// measured an arrival rate.
const MIN_UPCOMING_ARRIVALS: f64 = 10.0;
/// Multiple of a tenant's quota that is tolerated: one node sees few requests of a tenant, so the measured rate
/// fluctuates.
const QUOTA_TOLERANCE: f64 = 1.5;
/// Lower bound of the fraction of the arrivals that counts as within quotas.
const MIN_WITHIN_QUOTA_FRACTION: f64 = 0.1;

impl Admission {
    /// Corrects the spilled and the admitted fraction in a large fleet. A correction is sized to remove
    /// [`CORRECTION_GAIN`] of the queues' deviation over the arrivals until the next load data. `target` is the
    /// zone to spill to.
    pub(crate) fn update_spill_and_admission(
        &mut self,
        fleet: &Fleet,
        feedback: &LoadFeedback,
        target: Option<ZoneId>,
    ) {
        let local = fleet.zones.get(fleet.local_zone());
        let local_queue = local.mean_queue();
        let target_queue = target.map(|zone| fleet.zones.get(zone).mean_queue());
        let upcoming_arrivals = upcoming_arrivals(fleet, feedback, local.endpoint_count());
        self.update_spill_fraction(local_queue, target_queue, upcoming_arrivals);
        // Overload spills first; only load beyond the capacity of both zones is rejected.
        let queue = target_queue.map_or(local_queue, |other| 0.5 * (local_queue + other));
        let correction = CORRECTION_GAIN * (max_queue(fleet) - queue) / upcoming_arrivals;
        self.admitted_fraction =
            (self.admitted_fraction + correction).clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    /// Corrects the spilled fraction by the queues per core of the local zone and of the zone to spill to.
    fn update_spill_fraction(
        &mut self,
        local_queue: f64,
        target_queue: Option<f64>,
        upcoming_arrivals: f64,
    ) {
        // A remote zone has a higher latency, so its queue must be shorter by at least one request per core.
        let spill_queue =
            target_queue.map_or(f64::INFINITY, |queue| (queue + 1.0).max(SPILL_QUEUE));
        let excess = (local_queue - spill_queue).max(-local_queue);
        let correction = CORRECTION_GAIN * excess / upcoming_arrivals;
        self.spill_fraction = (self.spill_fraction + correction).clamp(0.0, 1.0);
    }

    /// Fraction of a tenant's requests beyond this node's part of the tenant's quota.
    fn over_quota_fraction(&self, settings: &Settings, now: Nanos, tenant: usize) -> f64 {
        let (Some(rate), Some(quota)) =
            (self.tenants.get(tenant), settings.tenant_quotas.get(tenant))
        else {
            return 0.0;
        };
        if settings.over_quota_value >= 1.0 {
            return 0.0;
        }
        let node_quota = quota / f64::from(settings.node_count);
        let quota_fraction = node_quota / rate.per_second(now).max(MIN_DIVISOR);
        (1.0 - QUOTA_TOLERANCE * quota_fraction).max(0.0)
    }

    /// Requests per second beyond the quotas, over all tenants.
    fn over_quota_rate(&self, settings: &Settings, now: Nanos) -> f64 {
        let rates = self.tenants.iter().enumerate().map(|(tenant, rate)| {
            self.over_quota_fraction(settings, now, tenant) * rate.per_second(now)
        });
        rates.sum()
    }

    /// The admitted fraction that applies to an arrival: that of the arrival's class, or that of the requests
    /// beyond quotas, drawn by the tenant's excess.
    pub(crate) fn draw_admitted_fraction(
        &self,
        fleet: &Fleet,
        tenant: usize,
        class_fraction: f64,
        random: &mut Random,
    ) -> f64 {
        let over_quota = self.over_quota_fraction(&fleet.settings, fleet.now, tenant);
        let is_over_quota = over_quota > 0.0 && random.draw() < over_quota;
        if is_over_quota {
            self.over_quota_admitted_fraction
        } else {
            class_fraction
        }
    }

    /// Updates the admitted fraction of each class: less valuable classes are rejected before more valuable ones,
    /// and requests beyond their tenants' quotas before all others.
    pub(crate) fn update_admitted_fractions(&mut self, fleet: &Fleet, feedback: &LoadFeedback) {
        let arrivals = fleet.classes.total_arrivals(fleet.now);
        let fraction = self
            .admitted_fraction
            .min(local_admission_bound(fleet, feedback));
        let over_quota = self.over_quota_rate(&fleet.settings, fleet.now);
        let within_quota =
            (1.0 - over_quota / arrivals.max(MIN_DIVISOR)).clamp(MIN_WITHIN_QUOTA_FRACTION, 1.0);
        self.over_quota_admitted_fraction = if within_quota < 1.0 {
            ((fraction - within_quota) / (1.0 - within_quota)).clamp(0.0, 1.0)
        } else {
            fraction
        };
        let within_quota_admitted = (fraction / within_quota).min(1.0);
        self.divide_among_classes(
            fleet,
            within_quota_admitted,
            within_quota_admitted * arrivals,
        );
    }

    /// Admits `rate` requests per second, the given fraction of all arrivals, in descending order of the classes'
    /// values.
    fn divide_among_classes(&mut self, fleet: &Fleet, fraction: f64, rate: f64) {
        let mut remaining = rate;
        for class in self.classes_by_value() {
            let class_arrivals = fleet.classes.get(class).arrivals(fleet.now);
            // Without recent arrivals the division says nothing about the class, so all its requests are admitted.
            let is_bounded = fraction < 1.0 && class_arrivals > MIN_ARRIVAL_RATE;
            self.classes[class.index()].admitted_fraction = if is_bounded {
                (remaining / class_arrivals).clamp(MIN_ADMITTED_FRACTION, 1.0)
            } else {
                1.0
            };
            remaining = (remaining - class_arrivals).max(0.0);
        }
    }
}

/// Arrivals per backend of the local zone, from all nodes, until the next load data reflects them.
fn upcoming_arrivals(fleet: &Fleet, feedback: &LoadFeedback, backend_count: f64) -> f64 {
    let rate = fleet.classes.total_arrivals(fleet.now) * fleet.settings.nodes_per_zone();
    let arrivals = rate * FEEDBACK_DELAY_INTERVALS * feedback.refresh_interval_seconds();
    (arrivals / backend_count.max(1.0)).max(MIN_UPCOMING_ARRIVALS)
}

/// Queue per core at which the average request, weighted by value, is still answered in time; at least
/// [`SPILL_QUEUE`], below which the local zone serves all requests.
fn max_queue(fleet: &Fleet) -> f64 {
    let (mut total_weight, mut weighted_stretch) = (MIN_DIVISOR, 0.0);
    for (class, settings) in fleet.classes_with_settings() {
        let weight = class.arrivals(fleet.now) * settings.priority_weight;
        total_weight += weight;
        weighted_stretch += weight * settings.latency_objective as f64 / class.base_time().max(1.0);
    }
    let queue = MAX_LOAD_FRACTION * weighted_stretch / total_weight - IDLE_LOAD;
    queue.clamp(SPILL_QUEUE, MAX_QUEUE_MULTIPLE * SPILL_QUEUE)
}

/// Upper bound of the admitted fraction by this node's own responses; 1 while the local queue is recent and short.
/// The zones' queue data arrives late, and is missing while discovery is down.
fn local_admission_bound(fleet: &Fleet, feedback: &LoadFeedback) -> f64 {
    let local = fleet.zones.get(fleet.local_zone());
    let is_queue_short = local.mean_queue() < SHORT_QUEUE_FRACTION * SPILL_QUEUE;
    if feedback.is_fresh(fleet.now) && is_queue_short {
        return 1.0;
    }
    let arrivals = fleet.classes.total_arrivals(fleet.now);
    let served = fleet.classes.total_served_in_time(fleet.now);
    ADMITTED_PER_SERVED * (served + PRIOR_REQUESTS_PER_SECOND)
        / (arrivals + PRIOR_REQUESTS_PER_SECOND)
}

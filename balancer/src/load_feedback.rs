//! Load feedback: the load from all nodes, derived from load-adjusted sizes in the endpoint list or from load
//! reports.

use crate::api::{Nanos, Settings, WeightSource};
use crate::backends::QueueTotals;
use crate::feedback_weights::FeedbackWeights;
use crate::fleet::Fleet;
use crate::tuning::{FEEDBACK_DELAY_INTERVALS, MIN_DIVISOR, UTILIZATION_MAX_AGE};
use badgerpost_time::SECOND;

/// Interval between two endpoint lists, assumed before any has been measured.
const INITIAL_REFRESH_INTERVAL_SECONDS: f64 = 1.0;
/// Upper bound of a measured interval between two endpoint lists.
const MAX_REFRESH_INTERVAL_SECONDS: f64 = 3.0;
/// Weight of one sample in the smoothed refresh interval.
const REFRESH_INTERVAL_WEIGHT: f64 = 0.2;
/// Period of deriving the zones' queues from load reports.
const REPORT_FEEDBACK_PERIOD: Nanos = SECOND;
/// Upper bound of the utilization that a zone's queue is derived from.
const MAX_QUEUE_UTILIZATION: f64 = 0.95;

/// Lower bound of a backend's feedback weight.
const MIN_FEEDBACK_WEIGHT: f64 = 0.1;
/// Upper bound of a backend's feedback weight.
const MAX_FEEDBACK_WEIGHT: f64 = 2.0;
/// Maximum change of a learned weight by one endpoint list, as an exponent.
const LEARNING_STEP: f64 = 0.15;
const MIN_LEARNED_WEIGHT: f64 = 0.1;
const MAX_LEARNED_WEIGHT: f64 = 4.0;
/// Lower bound of the target queue, in requests per core.
const MIN_MEAN_QUEUE: f64 = 0.2;

/// Arrival times of load data, and the refresh interval of the endpoint list.
pub(crate) struct LoadFeedback {
    last_list_at: Option<Nanos>,
    refresh_interval_seconds: f64,
    next_report_feedback_at: Nanos,
}

impl LoadFeedback {
    /// Creates the state before the first endpoint list.
    pub(crate) fn new() -> Self {
        Self {
            last_list_at: None,
            refresh_interval_seconds: INITIAL_REFRESH_INTERVAL_SECONDS,
            next_report_feedback_at: 0,
        }
    }

    /// Smoothed interval between two endpoint lists.
    pub(crate) fn refresh_interval_seconds(&self) -> f64 {
        self.refresh_interval_seconds
    }

    /// Whether an endpoint list with load-adjusted sizes has arrived within [`UTILIZATION_MAX_AGE`].
    pub(crate) fn is_fresh(&self, now: Nanos) -> bool {
        self.last_list_at
            .is_some_and(|at| now.saturating_sub(at) < UTILIZATION_MAX_AGE)
    }

    /// Applies the load-adjusted sizes of an endpoint list. All nodes receive the same sizes, which reflect the
    /// load of an earlier refresh interval.
    pub(crate) fn apply_load_adjusted_sizes(&mut self, fleet: &mut Fleet) {
        self.measure_refresh_interval(fleet.now);
        let totals = fleet.backends.queue_totals(fleet.zones.count());
        let upcoming_arrivals = fleet.classes.total_arrivals(fleet.now)
            * fleet.settings.nodes_per_zone()
            * FEEDBACK_DELAY_INTERVALS
            * self.refresh_interval_seconds;
        for (zone, state) in fleet.zones.iter_mut() {
            let total = totals[zone.index()];
            state.set_mean_queue(total.queue / f64::max(total.backends, 1.0));
        }
        for backend in fleet.backends.values_mut() {
            let Some(total) = totals.get(backend.zone().index()) else {
                continue;
            };
            let Some(queue) = backend.feedback.reported_queue() else {
                continue;
            };
            let target = QueueTarget::new(total, backend.size(), upcoming_arrivals);
            target.adjust_weights(&mut backend.feedback, queue);
            backend.record_utilization(fleet.now, queue / (1.0 + queue));
        }
    }

    /// Updates the smoothed refresh interval by the time since the previous endpoint list.
    fn measure_refresh_interval(&mut self, now: Nanos) {
        let gap = self
            .last_list_at
            .map_or(1.0, |at| now.saturating_sub(at) as f64 / SECOND as f64);
        let sample = gap.min(MAX_REFRESH_INTERVAL_SECONDS);
        let difference = sample - self.refresh_interval_seconds;
        self.refresh_interval_seconds += difference * REFRESH_INTERVAL_WEIGHT;
        self.last_list_at = Some(now);
    }

    /// Whether the zones' queues are to be derived from load reports now. That happens once a period in a large
    /// fleet without load-adjusted sizes.
    pub(crate) fn is_report_feedback_due(&self, settings: &Settings, now: Nanos) -> bool {
        settings.weight_source != WeightSource::LoadAdjusted
            && settings.is_large_fleet()
            && now >= self.next_report_feedback_at
    }

    /// Derives the zones' queues from their utilizations, given by zone id.
    pub(crate) fn apply_reports(&mut self, fleet: &mut Fleet, utilizations: &[Option<f64>]) {
        self.next_report_feedback_at = fleet.now + REPORT_FEEDBACK_PERIOD;
        for ((_, zone), utilization) in fleet.zones.iter_mut().zip(utilizations) {
            let bounded = utilization.unwrap_or(0.0).min(MAX_QUEUE_UTILIZATION);
            zone.set_mean_queue(bounded / (1.0 - bounded));
        }
    }
}

/// Target load of a backend, at which the queues of its zone are balanced.
struct QueueTarget {
    /// Target queue, in requests per core.
    queue: f64,
    /// Requests sent to the backend by all nodes until the next load data reflects them, at least 1.
    upcoming_arrivals: f64,
}

impl QueueTarget {
    /// Computes the target for a backend of this size from the totals of its zone and the arrivals there.
    fn new(zone: &QueueTotals, size: f64, zone_arrivals: f64) -> Self {
        let zone_size = f64::max(zone.size, MIN_DIVISOR);
        // The queue is proportional to the size, so that a slow machine has the same delay as a fast one.
        let mean_queue = (zone.queue + zone.backends) / zone_size * size - 1.0;
        Self {
            queue: mean_queue.max(MIN_MEAN_QUEUE),
            upcoming_arrivals: (zone_arrivals * size / zone_size).max(1.0),
        }
    }

    /// Adjusts a backend's weights towards this target. The feedback weight makes up for the latest deviation over
    /// the upcoming arrivals, no faster, because all nodes react at once and would herd; the learned weight follows
    /// lasting deviations in small steps.
    fn adjust_weights(&self, weights: &mut FeedbackWeights, queue: f64) {
        let difference = self.queue - queue;
        let feedback_weight = (1.0 + difference / self.upcoming_arrivals)
            .clamp(MIN_FEEDBACK_WEIGHT, MAX_FEEDBACK_WEIGHT);
        let step = LEARNING_STEP * difference / (self.queue + 1.0).max(queue);
        let learned_weight =
            (weights.learned_weight() * step.exp()).clamp(MIN_LEARNED_WEIGHT, MAX_LEARNED_WEIGHT);
        weights.set_weights(feedback_weight, learned_weight);
    }
}

//! Load feedback: what the lists' load-adjusted sizes, or the reports, tell of all nodes' load together.

use crate::api::{Nanos, Settings, WeightSource};
use crate::feedback_weights::FeedbackWeights;
use crate::fleet::Fleet;
use crate::tuning::MIN_DIVISOR;
use crate::tuning::{FEEDBACK_DELAY_INTERVALS, UTILIZATION_MAX_AGE};
use badgerpost_time::SECOND;

/// Interval between two lists until it is measured.
const INITIAL_REFRESH_INTERVAL_SECONDS: f64 = 1.0;
/// Longest gap between two lists that counts as a refresh interval.
const MAX_REFRESH_INTERVAL_SECONDS: f64 = 3.0;
/// Weight of one gap in the measured refresh interval.
const REFRESH_INTERVAL_WEIGHT: f64 = 0.2;
/// Period of the zones' queues as derived from reports.
const REPORT_FEEDBACK_PERIOD: Nanos = SECOND;
/// Utilization above which a zone's queue is not estimated any longer.
const MAX_QUEUE_UTILIZATION: f64 = 0.95;

/// Bounds of the factor by which one late figure moves a backend's share of the picks.
const MIN_FEEDBACK_WEIGHT: f64 = 0.1;
const MAX_FEEDBACK_WEIGHT: f64 = 2.0;
/// How far one list moves a backend's lasting weight, at most, as an exponent.
const LEARNING_STEP: f64 = 0.15;
/// Bounds of that weight.
const MIN_LEARNED_WEIGHT: f64 = 0.1;
const MAX_LEARNED_WEIGHT: f64 = 4.0;
/// Shortest mean queue per core that a backend is measured against.
const MIN_MEAN_QUEUE: f64 = 0.2;

/// When figures of the shared load came.
pub(crate) struct LoadFeedback {
    listed_at: Option<Nanos>,
    refresh_interval_seconds: f64,
    next_report_feedback_at: Nanos,
}

impl LoadFeedback {
    /// No figures so far.
    pub(crate) fn new() -> Self {
        Self {
            listed_at: None,
            refresh_interval_seconds: INITIAL_REFRESH_INTERVAL_SECONDS,
            next_report_feedback_at: 0,
        }
    }

    /// Seconds until what is sent now shows in a list.
    pub(crate) fn delay_seconds(&self) -> f64 {
        self.refresh_interval_seconds
    }

    /// Whether a list has come lately.
    pub(crate) fn is_fresh(&self, now: Nanos) -> bool {
        self.listed_at
            .is_some_and(|at| now.saturating_sub(at) < UTILIZATION_MAX_AGE)
    }

    /// Takes in the load-adjusted sizes of a list, which reach all nodes alike and late.
    pub(crate) fn apply_load_adjusted_sizes(&mut self, fleet: &mut Fleet) {
        self.measure_refresh_interval(fleet.now);
        let totals = fleet.backends.queue_totals(fleet.zones.count());
        let arrivals = fleet.classes.total_arrivals(fleet.now)
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
            // A slow machine should hold less for the same delay.
            let zone_size = f64::max(total.size, MIN_DIVISOR);
            let mean_queue = (total.queue + total.backends) / zone_size * backend.size() - 1.0;
            let arrivals_there = (arrivals * backend.size() / zone_size).max(1.0);
            adjust_weights(
                &mut backend.feedback,
                queue,
                mean_queue.max(MIN_MEAN_QUEUE),
                arrivals_there,
            );
            backend.record_utilization(fleet.now, queue / (1.0 + queue));
        }
    }

    /// Takes in the gap since the last list.
    fn measure_refresh_interval(&mut self, now: Nanos) {
        let gap = self
            .listed_at
            .map_or(1.0, |at| now.saturating_sub(at) as f64 / SECOND as f64);
        self.refresh_interval_seconds += (gap.min(MAX_REFRESH_INTERVAL_SECONDS)
            - self.refresh_interval_seconds)
            * REFRESH_INTERVAL_WEIGHT;
        self.listed_at = Some(now);
    }

    /// Whether the zones' queues are to be derived from reports now: in a large fleet without load-adjusted
    /// sizes, once a period.
    pub(crate) fn is_report_feedback_due(&self, settings: &Settings, now: Nanos) -> bool {
        settings.weight_source != WeightSource::LoadAdjusted
            && settings.is_large_fleet()
            && now >= self.next_report_feedback_at
    }

    /// Derives the zones' queues from their utilization, given by id.
    pub(crate) fn apply_reports(&mut self, fleet: &mut Fleet, utilizations: &[Option<f64>]) {
        self.next_report_feedback_at = fleet.now + REPORT_FEEDBACK_PERIOD;
        for ((_, zone), utilization) in fleet.zones.iter_mut().zip(utilizations) {
            let bounded = utilization.unwrap_or(0.0).min(MAX_QUEUE_UTILIZATION);
            zone.set_mean_queue(bounded / (1.0 - bounded));
        }
    }
}

/// Moves a backend's weights towards an even queue, where `mean` is the queue that it should hold and
/// `arrivals` what it gets until the next figures show. The latest difference is evened out over these
/// arrivals, no more, or all nodes would herd; what lasts is learned in small steps.
fn adjust_weights(weights: &mut FeedbackWeights, queue: f64, mean: f64, arrivals: f64) {
    let feedback_weight =
        (1.0 + (mean - queue) / arrivals).clamp(MIN_FEEDBACK_WEIGHT, MAX_FEEDBACK_WEIGHT);
    let step = LEARNING_STEP * (mean - queue) / (mean + 1.0).max(queue);
    let learned_weight =
        (weights.learned_weight() * step.exp()).clamp(MIN_LEARNED_WEIGHT, MAX_LEARNED_WEIGHT);
    weights.set_weights(feedback_weight, learned_weight);
}

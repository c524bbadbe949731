//! State of one backend as seen by this node: endpoint list entry, in-flight requests and measurements.
//!
//! Ejection, sends during warm-up and load feedback are kept in types of their own.

use crate::api::{Endpoint, EndpointState, LoadReport, Nanos, SafetyLimits, ZoneId};
use crate::ewma::{DecayingRate, Ewma, UTILIZATION_TIME_CONSTANT};
use crate::feedback_weights::FeedbackWeights;
use crate::outlier_detection::OutlierState;
use crate::warming_sends::WarmingSends;
use badgerpost_time::SECOND;

/// Largest plausible utilization: all cores in use plus measurement noise.
const MAX_UTILIZATION: f64 = 1.5;
/// Minimum weight of one utilization sample, so that reports in quick succession count.
const UTILIZATION_MIN_WEIGHT: f64 = 0.05;
/// Time constant of slowness: spans tens of responses, yet is shorter than the seconds for which a noisy neighbour
/// is active.
const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// Minimum weight of one slowness sample.
const SLOWNESS_MIN_WEIGHT: f64 = 0.1;
/// Lower bound of the warm-up fraction, which is used as a divisor.
const MIN_WARM_UP_FRACTION: f64 = 0.01;

/// State of one backend. A restart of the backend's process resets all fields except the in-flight count.
#[derive(Default)]
pub(crate) struct Backend {
    entry: Endpoint,
    in_flight: u32,
    utilization: Ewma,
    slowness: Ewma,
    throughput: DecayingRate,
    subset_rank: u64,
    warming_sends: WarmingSends,
    health_checked_at: Option<Nanos>,
    pub(crate) outlier: OutlierState,
    /// Weights derived from the load-adjusted sizes in the endpoint list.
    pub(crate) feedback: FeedbackWeights,
}

impl Backend {
    /// Creates the state of a newly listed backend.
    pub(crate) fn new(entry: Endpoint) -> Self {
        Self {
            entry,
            ..Self::default()
        }
    }

    /// Replaces the endpoint list entry. A changed start time means a new process, whose measurements start empty.
    pub(crate) fn update_entry(
        &mut self,
        entry: Endpoint,
        subset_rank: u64,
        reported_queue: Option<f64>,
    ) {
        if self.entry.started_at != entry.started_at {
            *self = Self {
                in_flight: self.in_flight,
                ..Self::new(entry)
            };
        }
        self.entry = entry;
        self.subset_rank = subset_rank;
        self.feedback.set_reported_queue(reported_queue);
    }

    pub(crate) fn mark_removed(&mut self) {
        self.entry.state = EndpointState::Removed;
    }

    /// The backend's entry in the endpoint list.
    pub(crate) fn entry(&self) -> &Endpoint {
        &self.entry
    }

    pub(crate) fn zone(&self) -> ZoneId {
        self.entry.zone
    }

    /// Capacity relative to other backends, above 0.
    pub(crate) fn size(&self) -> f64 {
        self.entry.size_or_one()
    }

    /// Whether the endpoint list allows new requests to the backend.
    pub(crate) fn is_in_service(&self) -> bool {
        self.entry.state == EndpointState::InService
    }

    /// Number of this node's requests that the backend is working on.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// This node's rank for the backend. The backends with the lowest ranks of a zone form the node's subset.
    pub(crate) fn subset_rank(&self) -> u64 {
        self.subset_rank
    }

    /// Requests sent to the backend during warm-up.
    pub(crate) fn warming_sends(&self) -> &WarmingSends {
        &self.warming_sends
    }

    /// Smoothed utilization by load reports or load-adjusted sizes, 1 with all cores in use.
    pub(crate) fn utilization(&self) -> &Ewma {
        &self.utilization
    }

    /// Smoothed ratio of response time to expected response time; 1 for a backend as fast as the fleet's mean.
    pub(crate) fn measured_slowness(&self) -> &Ewma {
        &self.slowness
    }

    /// Service time that the backend completes for this node, in nanoseconds on a standard core per second.
    pub(crate) fn throughput(&self, now: Nanos) -> f64 {
        self.throughput.per_second(now)
    }

    /// Time of the last health check; `None` before the first.
    pub(crate) fn health_checked_at(&self) -> Option<Nanos> {
        self.health_checked_at
    }

    /// Fraction of the backend's full capacity that the safety limits guarantee at the time `now`; 1 once warm.
    pub(crate) fn warm_up_fraction(&self, now: Nanos, rules: &SafetyLimits) -> f64 {
        let Some(started_at) = self.entry.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64;
        let progress = age / rules.slow_start_duration.max(1) as f64;
        let initial = rules.slow_start_capacity;
        (initial + (1.0 - initial) * progress).clamp(MIN_WARM_UP_FRACTION, 1.0)
    }

    /// Counts a request that the backend starts to work on. During warm-up, the request is charged to the
    /// slow-start budget.
    pub(crate) fn start_request(&mut self, now: Nanos, rules: &SafetyLimits, cost: f64) {
        self.in_flight += 1;
        self.charge_slow_start_budget(now, rules, cost);
    }

    /// Charges a request with the service time `cost` to the slow-start budget if the backend is warming up.
    pub(crate) fn charge_slow_start_budget(&mut self, now: Nanos, rules: &SafetyLimits, cost: f64) {
        if self.warm_up_fraction(now, rules) < 1.0 {
            self.warming_sends.record(now, cost);
        }
    }

    /// Reserves slow-start budget for a request that is being uploaded, if the backend is warming up. Returns the
    /// reserved service time.
    pub(crate) fn reserve_slow_start_budget(
        &mut self,
        now: Nanos,
        rules: &SafetyLimits,
        cost: f64,
    ) -> f64 {
        if self.warm_up_fraction(now, rules) >= 1.0 {
            return 0.0;
        }
        self.warming_sends.reserve(cost);
        cost
    }

    /// Releases budget reserved for an upload.
    pub(crate) fn release_slow_start_budget(&mut self, reserved: f64) {
        self.warming_sends.release(reserved);
    }

    /// Counts the end of a request that the backend worked on.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a health check at the time `now`. A time of 0 is stored as 1, so that a backend never checked always
    /// has the oldest check.
    pub(crate) fn record_health_check(&mut self, now: Nanos) {
        self.health_checked_at = Some(now.max(1));
    }

    /// Records a load report; an implausible utilization is ignored.
    pub(crate) fn record_report(&mut self, now: Nanos, report: LoadReport) {
        let plausible = report
            .utilization
            .filter(|value| (0.0..=MAX_UTILIZATION).contains(value));
        if let Some(utilization) = plausible {
            self.record_utilization(now, utilization);
        }
    }

    pub(crate) fn record_utilization(&mut self, now: Nanos, utilization: f64) {
        self.utilization.update(
            now,
            utilization,
            UTILIZATION_TIME_CONSTANT,
            UTILIZATION_MIN_WEIGHT,
        );
    }

    pub(crate) fn record_slowness(&mut self, now: Nanos, slowness: f64) {
        self.slowness
            .update(now, slowness, SLOWNESS_TIME_CONSTANT, SLOWNESS_MIN_WEIGHT);
    }

    /// Adds the service time of a request that the backend has served.
    pub(crate) fn record_throughput(&mut self, now: Nanos, service_time: f64) {
        self.throughput.add(now, service_time);
    }

    /// Resets failures and slowness, which are attributed to the closed zone rather than to the backend.
    pub(crate) fn reset_after_zone_reopened(&mut self) {
        self.outlier.reset();
        self.slowness = Ewma::default();
    }
}

//! One backend as this node sees it: its list entry, this node's requests in flight there, and measured figures.
//!
//! Ejection, warm-up sends and load feedback keep their per-backend state in types of their own.

use crate::api::{Endpoint, EndpointState, LoadReport, Nanos, SafetyLimits, ZoneId};
use crate::ewma::{DecayingRate, Ewma, UTILIZATION_TIME_CONSTANT};
use crate::feedback_weights::FeedbackWeights;
use crate::outlier_detection::OutlierState;
use crate::warming_sends::WarmingSends;
use badgerpost_time::SECOND;

/// Largest utilization that is believed: all cores in use, and some measuring noise.
const MAX_UTILIZATION: f64 = 1.5;
/// Least weight of one utilization sample, so that quick reports are not lost.
const UTILIZATION_MIN_WEIGHT: f64 = 0.05;
/// Time constant of slowness: tens of answers, yet shorter than the seconds for which a noisy neighbour is active.
const SLOWNESS_TIME_CONSTANT: Nanos = SECOND;
/// Least weight of one slowness sample.
const SLOWNESS_MIN_WEIGHT: f64 = 0.1;
/// Smallest warm-up fraction, as others divide by it.
const MIN_WARM_UP_FRACTION: f64 = 0.01;

/// State of one backend. A restart of its process resets all but the requests in flight.
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
    /// Failures, ejection and readmission.
    pub(crate) outlier: OutlierState,
    /// Weights derived from the list's load-adjusted sizes.
    pub(crate) feedback: FeedbackWeights,
}

impl Backend {
    /// A backend that has just been listed.
    pub(crate) fn new(entry: Endpoint) -> Self {
        Self {
            entry,
            ..Self::default()
        }
    }

    /// Replaces its list entry; a changed start time means a new process, of which nothing is known.
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

    /// Marks the backend as removed from the list.
    pub(crate) fn mark_removed(&mut self) {
        self.entry.state = EndpointState::Removed;
    }

    /// Its line of the list.
    pub(crate) fn entry(&self) -> &Endpoint {
        &self.entry
    }

    /// Its zone.
    pub(crate) fn zone(&self) -> ZoneId {
        self.entry.zone
    }

    /// Its size against the others', above 0.
    pub(crate) fn size(&self) -> f64 {
        self.entry.size_or_one()
    }

    /// Whether the list lets it take new requests.
    pub(crate) fn is_in_service(&self) -> bool {
        self.entry.state == EndpointState::InService
    }

    /// This node's requests that it works on.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// This node's rank for it: the lowest ranks of a zone are the node's subset.
    pub(crate) fn subset_rank(&self) -> u64 {
        self.subset_rank
    }

    /// Requests sent there while it warms up.
    pub(crate) fn warming_sends(&self) -> &WarmingSends {
        &self.warming_sends
    }

    /// Smoothed utilization of its cores, by its reports.
    pub(crate) fn utilization(&self) -> &Ewma {
        &self.utilization
    }

    /// Smoothed response time against the expectation, 1 for a backend as fast as the fleet.
    pub(crate) fn measured_slowness(&self) -> &Ewma {
        &self.slowness
    }

    /// Service time that it completes for this node per second, in nanoseconds on a standard core.
    pub(crate) fn throughput(&self, now: Nanos) -> f64 {
        self.throughput.per_second(now)
    }

    /// When its health was last checked.
    pub(crate) fn health_checked_at(&self) -> Option<Nanos> {
        self.health_checked_at
    }

    /// Fraction of its capacity that it surely has by now; 1 when warm.
    pub(crate) fn warm_up_fraction(&self, now: Nanos, rules: &SafetyLimits) -> f64 {
        let Some(started_at) = self.entry.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64;
        let progress = age / rules.slow_start_duration.max(1) as f64;
        let initial = rules.slow_start_capacity;
        (initial + (1.0 - initial) * progress).clamp(MIN_WARM_UP_FRACTION, 1.0)
    }

    /// Counts a request that it starts to work on; while it warms up, the request is charged to its budget.
    pub(crate) fn start_request(&mut self, now: Nanos, rules: &SafetyLimits, cost: f64) {
        self.in_flight += 1;
        self.charge_slow_start_budget(now, rules, cost);
    }

    /// Charges a send to the slow-start budget if the backend is warming up; `cost` is its service time.
    pub(crate) fn charge_slow_start_budget(&mut self, now: Nanos, rules: &SafetyLimits, cost: f64) {
        if self.warm_up_fraction(now, rules) < 1.0 {
            self.warming_sends.record(now, cost);
        }
    }

    /// Reserves a part of the slow-start budget for a request that is being uploaded, if the backend is warming up.
    /// Returns what is reserved.
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

    /// Ends a reservation.
    pub(crate) fn release_slow_start_budget(&mut self, reserved: f64) {
        self.warming_sends.release(reserved);
    }

    /// Counts the end of a request that it worked on.
    pub(crate) fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the time of a health check; it is never 0, so that an unchecked backend is older than any
    /// other.
    pub(crate) fn record_health_check(&mut self, now: Nanos) {
        self.health_checked_at = Some(now.max(1));
    }

    /// Records a load report; impossible figures are ignored.
    pub(crate) fn record_report(&mut self, now: Nanos, report: LoadReport) {
        let plausible = report
            .utilization
            .filter(|value| (0.0..=MAX_UTILIZATION).contains(value));
        if let Some(utilization) = plausible {
            self.record_utilization(now, utilization);
        }
    }

    /// Adds a utilization sample.
    pub(crate) fn record_utilization(&mut self, now: Nanos, utilization: f64) {
        self.utilization.update(
            now,
            utilization,
            UTILIZATION_TIME_CONSTANT,
            UTILIZATION_MIN_WEIGHT,
        );
    }

    /// Adds a slowness sample.
    pub(crate) fn record_slowness(&mut self, now: Nanos, slowness: f64) {
        self.slowness
            .update(now, slowness, SLOWNESS_TIME_CONSTANT, SLOWNESS_MIN_WEIGHT);
    }

    /// Adds the service time of a request that it has served.
    pub(crate) fn record_throughput(&mut self, now: Nanos, service_time: f64) {
        self.throughput.add(now, service_time);
    }

    /// Forgets failures and slowness: its zone caused them, and takes requests again.
    pub(crate) fn reset_after_zone_reopened(&mut self) {
        self.outlier.reset();
        self.slowness = Ewma::default();
    }
}

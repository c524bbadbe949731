//! One zone as this node sees it: this node's load, listed backends, measured capacity and traffic share.

use crate::api::Nanos;
use crate::ewma::{Ewma, UTILIZATION_TIME_CONSTANT};

/// Fraction by which the measured capacity rises in a refresh: in about 2 s.
const CAPACITY_RISE_WEIGHT: f64 = 0.05;
/// Fraction by which it falls: in about a minute. Under overload little is served, and the budget of warming backends,
/// which would relieve it, must not fall with that.
const CAPACITY_FALL_WEIGHT: f64 = 0.002;
/// Growth of the least response time in a refresh, so that a link that has become slow shows.
const MIN_LATENCY_GROWTH: f64 = 1.002;

/// How a new traffic share changes whether a zone takes requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneTransition {
    /// It takes requests, or none, as before.
    Unchanged,
    /// It takes none from now on.
    Closed,
    /// It takes requests again.
    Reopened,
}

/// State of one zone.
#[derive(Clone, Copy, Default)]
pub(crate) struct Zone {
    in_flight: f64,
    smoothed_in_flight: Ewma,
    mean_queue: f64,
    endpoint_count: f64,
    max_subset_rank: u64,
    capacity: f64,
    min_latency: Option<f64>,
    traffic_share: f64,
    probe_timeout: Option<Nanos>,
}

impl Zone {
    /// A zone of which nothing is known yet, and which takes requests.
    pub(crate) fn new() -> Self {
        Self {
            traffic_share: 1.0,
            ..Self::default()
        }
    }

    /// This node's attempts in flight there.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// This node's attempts in flight there, smoothed up to now.
    pub(crate) fn smoothed_in_flight(&self, now: Nanos) -> f64 {
        let mut smoothed = self.smoothed_in_flight;
        smoothed.update(now, self.in_flight, UTILIZATION_TIME_CONSTANT, 0.0);
        smoothed.value()
    }

    /// Counts the start of one of this node's attempts.
    pub(crate) fn start_attempt(&mut self, now: Nanos) {
        self.change_in_flight(now, 1.0);
    }

    /// Counts the end of one of this node's attempts.
    pub(crate) fn end_attempt(&mut self, now: Nanos) {
        self.change_in_flight(now, -1.0);
    }

    /// Changes the attempts in flight; the smoothed figure gets what was in flight until now as a sample.
    fn change_in_flight(&mut self, now: Nanos, change: f64) {
        let sample = if self.smoothed_in_flight.has_samples() {
            self.in_flight
        } else {
            change
        };
        self.smoothed_in_flight
            .update(now, sample, UTILIZATION_TIME_CONSTANT, 0.0);
        self.in_flight = (self.in_flight + change).max(0.0);
    }

    /// Mean requests held for each core, by the list or by the zone's utilization.
    pub(crate) fn mean_queue(&self) -> f64 {
        self.mean_queue
    }

    /// Sets the mean requests held for each core.
    pub(crate) fn set_mean_queue(&mut self, mean_queue: f64) {
        self.mean_queue = mean_queue;
    }

    /// Backends in service there.
    pub(crate) fn endpoint_count(&self) -> f64 {
        self.endpoint_count
    }

    /// Highest rank of this node's subset of the zone's backends.
    pub(crate) fn max_subset_rank(&self) -> u64 {
        self.max_subset_rank
    }

    /// Sets the ranks of the backends in service; the `subset_size` lowest are the subset.
    pub(crate) fn set_endpoint_ranks(&mut self, mut ranks: Vec<u64>, subset_size: usize) {
        ranks.sort_unstable();
        self.endpoint_count = ranks.len() as f64;
        self.max_subset_rank = ranks.get(subset_size - 1).copied().unwrap_or(u64::MAX);
    }

    /// Work that this node is served per second for each unit of used capacity, in nanoseconds.
    pub(crate) fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Moves the measured capacity towards a new measurement.
    pub(crate) fn update_capacity(&mut self, measured: f64) {
        let change = measured - self.capacity;
        let weight = if change > 0.0 {
            CAPACITY_RISE_WEIGHT
        } else {
            CAPACITY_FALL_WEIGHT
        };
        self.capacity += change * weight;
    }

    /// The recent least response time there, in nanoseconds.
    pub(crate) fn min_latency(&self) -> Option<f64> {
        self.min_latency
    }

    /// Records the response time of a served attempt, in nanoseconds.
    pub(crate) fn record_latency(&mut self, latency: f64) {
        self.min_latency = Some(self.min_latency.map_or(latency, |least| least.min(latency)));
    }

    /// Lets the least response time grow slowly, so that an old one is forgotten.
    pub(crate) fn age_min_latency(&mut self) {
        self.min_latency = self.min_latency.map(|least| least * MIN_LATENCY_GROWTH);
    }

    /// Part of the requests that it may take, 0 to 1; see
    /// [`Event::ZoneShareChanged`](crate::Event::ZoneShareChanged).
    pub(crate) fn traffic_share(&self) -> f64 {
        self.traffic_share
    }

    /// Sets its traffic share; one that is not finite counts as 1.
    pub(crate) fn set_traffic_share(&mut self, share: f64) -> ZoneTransition {
        let bounded = if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            1.0
        };
        let change = match (self.traffic_share > 0.0, bounded > 0.0) {
            (true, false) => ZoneTransition::Closed,
            (false, true) => ZoneTransition::Reopened,
            _ => ZoneTransition::Unchanged,
        };
        self.traffic_share = bounded;
        change
    }

    /// How long the answer to a wanted probe of this zone is waited for.
    pub(crate) fn probe_timeout(&self) -> Option<Nanos> {
        self.probe_timeout
    }

    /// Asks for a probe of this zone by the next request fit for it.
    pub(crate) fn request_probe(&mut self, timeout: Nanos) {
        self.probe_timeout = Some(timeout);
    }

    /// The probe has been sent.
    pub(crate) fn clear_probe(&mut self) {
        self.probe_timeout = None;
    }
}

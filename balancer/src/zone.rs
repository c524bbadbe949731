//! State of one zone as seen by this node: in-flight attempts, listed backends, measured capacity and traffic
//! share.

use crate::api::Nanos;
use crate::ewma::{Ewma, UTILIZATION_TIME_CONSTANT};

/// Weight of a higher measurement in the zone's capacity; a rise takes about 2 s.
const CAPACITY_RISE_WEIGHT: f64 = 0.05;
/// Weight of a lower measurement in the zone's capacity; a fall takes about a minute. Throughput drops under
/// overload, and the slow-start budget of the warming backends that would relieve the overload must not drop with
/// it.
const CAPACITY_FALL_WEIGHT: f64 = 0.002;
/// Growth factor of the minimum latency per refresh, so that a link that has become slower is noticed.
const MIN_LATENCY_GROWTH: f64 = 1.002;

/// Effect of a new traffic share on whether the zone takes requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneTransition {
    /// The zone takes requests, or takes none, as before.
    Unchanged,
    /// The zone takes no more requests.
    Closed,
    /// The zone takes requests again.
    Reopened,
}

/// State of one zone. Times are in nanoseconds.
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
    /// Creates a zone without measurements and with a traffic share of 1.
    pub(crate) fn new() -> Self {
        Self {
            traffic_share: 1.0,
            ..Self::default()
        }
    }

    /// Number of this node's attempts in flight.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Smoothed number of this node's attempts in flight, as of `now`.
    pub(crate) fn smoothed_in_flight(&self, now: Nanos) -> f64 {
        let mut smoothed = self.smoothed_in_flight;
        smoothed.update(now, self.in_flight, UTILIZATION_TIME_CONSTANT, 0.0);
        smoothed.value()
    }

    pub(crate) fn start_attempt(&mut self, now: Nanos) {
        self.change_in_flight(now, 1.0);
    }

    pub(crate) fn end_attempt(&mut self, now: Nanos) {
        self.change_in_flight(now, -1.0);
    }

    /// Changes the number of attempts in flight. The number until now becomes a sample of the smoothed number.
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

    /// Mean requests per core at the zone's backends, derived from the endpoint list or from the zone's
    /// utilization.
    pub(crate) fn mean_queue(&self) -> f64 {
        self.mean_queue
    }

    pub(crate) fn set_mean_queue(&mut self, mean_queue: f64) {
        self.mean_queue = mean_queue;
    }

    /// Number of backends in service.
    pub(crate) fn endpoint_count(&self) -> f64 {
        self.endpoint_count
    }

    /// Highest subset rank within this node's subset of the zone's backends.
    pub(crate) fn max_subset_rank(&self) -> u64 {
        self.max_subset_rank
    }

    /// Sets the subset ranks of the backends in service; the backends with the `subset_size` lowest ranks form the
    /// subset.
    pub(crate) fn set_endpoint_ranks(&mut self, mut ranks: Vec<u64>, subset_size: usize) {
        ranks.sort_unstable();
        self.endpoint_count = ranks.len() as f64;
        self.max_subset_rank = ranks.get(subset_size - 1).copied().unwrap_or(u64::MAX);
    }

    /// Throughput of this node per unit of used size, in nanoseconds of service time per second.
    pub(crate) fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Adds a capacity measurement to the smoothed capacity.
    pub(crate) fn update_capacity(&mut self, measured: f64) {
        let change = measured - self.capacity;
        let weight = if change > 0.0 {
            CAPACITY_RISE_WEIGHT
        } else {
            CAPACITY_FALL_WEIGHT
        };
        self.capacity += change * weight;
    }

    /// Minimum recent response time, in nanoseconds; `None` before the first response.
    pub(crate) fn min_latency(&self) -> Option<f64> {
        self.min_latency
    }

    /// Records the response time of a successful attempt, in nanoseconds.
    pub(crate) fn record_latency(&mut self, latency: f64) {
        self.min_latency = Some(self.min_latency.map_or(latency, |least| least.min(latency)));
    }

    /// Raises the minimum latency slightly, so that an outdated minimum is forgotten.
    pub(crate) fn age_min_latency(&mut self) {
        self.min_latency = self.min_latency.map(|least| least * MIN_LATENCY_GROWTH);
    }

    /// Traffic share, 0 to 1; see [`Event::ZoneShareChanged`](crate::Event::ZoneShareChanged).
    pub(crate) fn traffic_share(&self) -> f64 {
        self.traffic_share
    }

    /// Sets the traffic share; a share that is not finite counts as 1.
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

    /// Timeout of the requested probe, in nanoseconds; `None` if no probe is requested.
    pub(crate) fn probe_timeout(&self) -> Option<Nanos> {
        self.probe_timeout
    }

    /// Requests a probe of this zone; the next suitable request is sent as the probe.
    pub(crate) fn request_probe(&mut self, timeout: Nanos) {
        self.probe_timeout = Some(timeout);
    }

    /// Clears the requested probe, which has been sent.
    pub(crate) fn clear_probe(&mut self) {
        self.probe_timeout = None;
    }
}

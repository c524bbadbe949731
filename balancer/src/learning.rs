//! Measurements from attempts and load reports: slowness, base times, throughput and zone capacity.

use crate::api::{BackendId, ClassId, Nanos, Outcome, ZoneId};
use crate::backend::Backend;
use crate::class_statistics::MAX_OBSERVATION_RATIO;
use crate::fleet::Fleet;
use crate::tuning::UTILIZATION_MAX_AGE;

/// Lower bound of a backend's utilization in the capacity measurement.
const MIN_USED_UTILIZATION: f64 = 0.05;

/// An ended attempt whose backend had the complete request.
pub(crate) struct AttemptObservation {
    pub(crate) backend: BackendId,
    /// Class of the request.
    pub(crate) class: ClassId,
    /// Expected service time of the request, in nanoseconds on a standard core.
    pub(crate) service_time: f64,
    /// Load of the backend at the time of the send, in requests per unit of size.
    pub(crate) load: f64,
    /// Time since the send; `None` if unknown.
    pub(crate) elapsed: Option<Nanos>,
    pub(crate) outcome: Outcome,
}

/// Throughput and used size of one zone's backends.
#[derive(Clone, Copy, Default)]
struct CapacitySample {
    throughput: f64,
    used_size: f64,
}

impl CapacitySample {
    /// Throughput per unit of used size; 0 if no size is used.
    fn throughput_per_unit(self) -> f64 {
        if self.used_size > 0.0 {
            self.throughput / self.used_size
        } else {
            0.0
        }
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            throughput: self.throughput + other.throughput,
            used_size: self.used_size + other.used_size,
        }
    }
}

impl Fleet {
    /// Counts the end of an attempt in a zone and records the measurements of the attempt.
    pub(crate) fn end_attempt(&mut self, zone: ZoneId, observation: &AttemptObservation) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.end_attempt(self.now);
        }
        self.record_attempt(observation);
    }

    /// Records throughput, slowness and base time of one attempt.
    fn record_attempt(&mut self, observation: &AttemptObservation) {
        let Some(backend) = self.backends.get_mut(observation.backend) else {
            return;
        };
        backend.end_request();
        if observation.outcome == Outcome::Success {
            backend.record_throughput(self.now, observation.service_time);
        }
        if let Some(elapsed) = observation.elapsed {
            self.record_response_time(observation, elapsed as f64);
        }
    }

    /// Records slowness and base time by the response time of one attempt, in nanoseconds.
    fn record_response_time(&mut self, observation: &AttemptObservation, elapsed: f64) {
        let Some(backend) = self.backends.get_mut(observation.backend) else {
            return;
        };
        let class = self.classes.get_mut(observation.class);
        let normalized_time = elapsed / observation.load;
        let known_slowness = backend.measured_slowness().value();
        let max_slowness = MAX_OBSERVATION_RATIO * known_slowness.max(1.0);
        let slowness = (normalized_time / class.base_time().max(1.0)).min(max_slowness);
        match observation.outcome {
            Outcome::Success => {
                // With an unreliable base time, every backend would appear slow for several seconds.
                if class.is_base_time_reliable() {
                    backend.record_slowness(self.now, slowness);
                }
                class.record_served(normalized_time);
                if let Some(zone) = self.zones.get_mut(backend.zone()) {
                    zone.record_latency(elapsed);
                }
            }
            // Without a response, the elapsed time is a lower bound of the delay.
            Outcome::TimedOut if slowness > known_slowness => {
                backend.record_slowness(self.now, slowness);
            }
            _ => {}
        }
    }

    /// Measures this node's throughput per unit of used size in each zone, such that the measurements of all nodes
    /// add up to the total capacity.
    pub(crate) fn measure_capacity(&mut self) {
        let samples = self.capacity_samples();
        let total = samples
            .iter()
            .fold(CapacitySample::default(), CapacitySample::plus);
        let per_node_capacity = total.throughput_per_unit() / f64::from(self.settings.node_count);
        for ((_, zone), sample) in self.zones.iter_mut().zip(samples) {
            zone.update_capacity(sample.throughput_per_unit().max(per_node_capacity));
        }
    }

    /// Throughput and used size of warm backends with recent load reports, by zone id.
    fn capacity_samples(&self) -> Vec<CapacitySample> {
        let mut samples = vec![CapacitySample::default(); self.zones.count()];
        let measured = self
            .backends
            .values()
            .filter(|backend| self.is_capacity_measurable(backend));
        for backend in measured {
            if let Some(sample) = samples.get_mut(backend.zone().index()) {
                let utilization = backend.utilization().value().max(MIN_USED_UTILIZATION);
                sample.throughput += backend.throughput(self.now);
                sample.used_size += backend.size() * utilization;
            }
        }
        samples
    }

    /// Whether a backend contributes to the capacity measurement: the backend is warm and has a recent load report.
    fn is_capacity_measurable(&self, backend: &Backend) -> bool {
        let is_warm = backend.warm_up_fraction(self.now, &self.settings.rules) >= 1.0;
        let utilization = backend.utilization();
        is_warm && utilization.is_younger_than(self.now, UTILIZATION_MAX_AGE)
    }
}

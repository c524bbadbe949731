//! Learning from attempts and reports: slowness, base times, throughput and the zones' capacity.

use crate::api::{BackendId, ClassId, Nanos, Outcome, ZoneId};
use crate::backend::Backend;
use crate::class_statistics::MAX_OBSERVATION_RATIO;
use crate::fleet::Fleet;
use crate::tuning::UTILIZATION_MAX_AGE;

/// Least utilization of a backend that counts as used capacity.
const MIN_USED_UTILIZATION: f64 = 0.05;

/// The end of an attempt whose backend had the complete request.
pub(crate) struct AttemptObservation {
    /// The backend.
    pub(crate) backend: BackendId,
    /// The request's class.
    pub(crate) class: ClassId,
    /// The request's expected service time, in nanoseconds on a standard core.
    pub(crate) service_time: f64,
    /// The backend's load at the send, in requests for each unit of size.
    pub(crate) load: f64,
    /// Time since the send, if it is known.
    pub(crate) elapsed: Option<Nanos>,
    /// How it ended.
    pub(crate) outcome: Outcome,
}

/// Throughput and capacity used in one zone.
#[derive(Clone, Copy, Default)]
struct CapacitySample {
    throughput: f64,
    used_size: f64,
}

impl CapacitySample {
    /// Throughput for each unit of used capacity.
    fn throughput_per_unit(self) -> f64 {
        if self.used_size > 0.0 {
            self.throughput / self.used_size
        } else {
            0.0
        }
    }

    /// The sum of both.
    fn plus(self, other: &Self) -> Self {
        Self {
            throughput: self.throughput + other.throughput,
            used_size: self.used_size + other.used_size,
        }
    }
}

impl Fleet {
    /// Counts the end of an attempt in a zone, and learns from it.
    pub(crate) fn end_attempt(&mut self, zone: ZoneId, observation: &AttemptObservation) {
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.end_attempt(self.now);
        }
        self.learn_from_attempt(observation);
    }

    /// Learns slowness, base time and throughput from one attempt.
    fn learn_from_attempt(&mut self, observation: &AttemptObservation) {
        let Some(backend) = self.backends.get_mut(observation.backend) else {
            return;
        };
        backend.end_request();
        if observation.outcome == Outcome::Success {
            backend.record_throughput(self.now, observation.service_time);
        }
        if let Some(elapsed) = observation.elapsed {
            self.learn_from_response_time(observation, elapsed as f64);
        }
    }

    /// Learns slowness and base time from the time of one attempt, in nanoseconds.
    fn learn_from_response_time(&mut self, observation: &AttemptObservation, elapsed: f64) {
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
                // Against a base time that is not known yet every backend would look slow, for seconds.
                if class.is_base_time_reliable() {
                    backend.record_slowness(self.now, slowness);
                }
                class.record_served(normalized_time);
                if let Some(zone) = self.zones.get_mut(backend.zone()) {
                    zone.record_latency(elapsed);
                }
            }
            // Without an answer the delay is at least the time waited.
            Outcome::TimedOut if slowness > known_slowness => {
                backend.record_slowness(self.now, slowness);
            }
            _ => {}
        }
    }

    /// Measures the throughput that this node gets for each unit of used capacity, by zone, so that the parts of
    /// all nodes add up to one capacity.
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

    /// Throughput and capacity used of warm backends with recent reports, by zone.
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

    /// Whether a backend's figures tell of its full capacity: it is warm and has reported lately.
    fn is_capacity_measurable(&self, backend: &Backend) -> bool {
        let is_warm = backend.warm_up_fraction(self.now, &self.settings.rules) >= 1.0;
        let utilization = backend.utilization();
        is_warm && utilization.is_younger_than(self.now, UTILIZATION_MAX_AGE)
    }
}

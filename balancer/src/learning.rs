//! Learning from attempts and reports: slowness, base times, throughput and the zones' capacity.

use crate::api::{BackendId, ClassId, Nanos, Outcome};
use crate::class_statistics::MAX_OBSERVATION_RATIO;
use crate::fleet::Fleet;
use crate::tuning::UTILIZATION_MAX_AGE;

/// Least utilization of a backend that counts as used capacity.
const MIN_USED: f64 = 0.05;

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
    /// Time since the send.
    pub(crate) elapsed: Nanos,
    /// How it ended.
    pub(crate) outcome: Outcome,
}

/// Throughput and capacity used in one zone.
#[derive(Clone, Copy, Default)]
struct CapacitySample {
    throughput: f64,
    used: f64,
}

impl CapacitySample {
    /// Throughput for each unit of used capacity.
    fn per_unit(self) -> f64 {
        if self.used > 0.0 {
            self.throughput / self.used
        } else {
            0.0
        }
    }
}

impl Fleet {
    /// Learns slowness, base time and throughput from one attempt.
    pub(crate) fn learn_from_attempt(&mut self, observation: &AttemptObservation) {
        let Some(backend) = self.backends.get_mut(observation.backend) else {
            return;
        };
        backend.end_request();
        let class = self.classes.get_mut(observation.class);
        let elapsed = observation.elapsed as f64;
        let unit_time = elapsed / observation.load;
        let known_slowness = backend.measured_slowness().value();
        let max_slowness = MAX_OBSERVATION_RATIO * known_slowness.max(1.0);
        let slowness = (unit_time / class.base_time().max(1.0)).min(max_slowness);
        match observation.outcome {
            Outcome::Success => {
                // Against a base time that is not known yet every backend would look slow, for seconds.
                if class.is_base_time_reliable() {
                    backend.record_slowness(self.now, slowness);
                }
                backend.record_throughput(self.now, observation.service_time);
                class.record_served(unit_time);
                if let Some(zone) = self.zones.get_mut(backend.zone()) {
                    zone.record_latency(elapsed);
                }
            }
            // No answer at all tells of a delay of at least the time waited.
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
            .fold(CapacitySample::default(), |total, sample| CapacitySample {
                throughput: total.throughput + sample.throughput,
                used: total.used + sample.used,
            });
        let per_node_capacity = total.per_unit() / f64::from(self.settings.node_count);
        for ((_, zone), sample) in self.zones.iter_mut().zip(samples) {
            zone.update_capacity(sample.per_unit().max(per_node_capacity));
        }
    }

    /// Throughput and capacity used of warm backends with fresh reports, by zone.
    fn capacity_samples(&self) -> Vec<CapacitySample> {
        let mut samples = vec![CapacitySample::default(); self.zones.count()];
        for backend in self.backends.values() {
            let is_warm = backend.warm_up_fraction(self.now, &self.settings.rules) >= 1.0;
            if !is_warm
                || !backend
                    .utilization()
                    .is_younger_than(self.now, UTILIZATION_MAX_AGE)
            {
                continue;
            }
            if let Some(sample) = samples.get_mut(backend.zone().index()) {
                sample.throughput += backend.throughput(self.now);
                sample.used += backend.size() * backend.utilization().value().max(MIN_USED);
            }
        }
        samples
    }
}

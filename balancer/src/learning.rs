//! Learning from attempts and reports: slowness, base times, served work and the zones' capacity.

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
    /// The request's expected work, in nanoseconds.
    pub(crate) work: f64,
    /// The backend's load at the send, in requests for each unit of size.
    pub(crate) load: f64,
    /// Time since the send.
    pub(crate) elapsed: Nanos,
    /// How it ended.
    pub(crate) outcome: Outcome,
}

/// Work served and capacity used in one zone.
#[derive(Clone, Copy, Default)]
struct CapacitySample {
    served: f64,
    used: f64,
}

impl CapacitySample {
    /// Work served for each unit of used capacity.
    fn per_unit(self) -> f64 {
        if self.used > 0.0 {
            self.served / self.used
        } else {
            0.0
        }
    }
}

impl Fleet {
    /// Learns slowness, base time and served work from one attempt.
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
                backend.record_served_work(self.now, observation.work);
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

    /// Measures what this node is served for each unit of used capacity, by zone, so that the shares of all
    /// nodes add up to one capacity.
    pub(crate) fn measure_capacity(&mut self) {
        let samples = self.capacity_samples();
        let total = samples
            .iter()
            .fold(CapacitySample::default(), |total, sample| CapacitySample {
                served: total.served + sample.served,
                used: total.used + sample.used,
            });
        let node_share = total.per_unit() / f64::from(self.settings.node_count);
        for ((_, zone), sample) in self.zones.iter_mut().zip(samples) {
            zone.update_capacity(sample.per_unit().max(node_share));
        }
    }

    /// Work served and capacity used by warm backends with fresh reports, by zone.
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
                sample.served += backend.served_work(self.now);
                sample.used += backend.size() * backend.utilization().value().max(MIN_USED);
            }
        }
        samples
    }
}

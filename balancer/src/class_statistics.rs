//! Statistics of each request class: arrivals, answers in time, service time and base time.

use crate::api::{ClassId, ClassSettings, Nanos};
use crate::ewma::DecayingRate;

/// The first guess of a class's base time is its latency objective divided by this.
const INITIAL_BASE_DIVISOR: f64 = 16.0;
/// Weight of a request in its class's mean service time.
const MEAN_SERVICE_TIME_WEIGHT: f64 = 0.01;
/// Samples over which a base time is learned: many, so that it outlasts a fault.
const MAX_SAMPLES: f64 = 400.0;
/// Samples from which on a base time is good enough to compare backends by.
const RELIABLE_SAMPLES: f64 = 30.0;
/// Samples from which on a base time rises slowly, so that an overload is not learned as the normal state.
const SLOW_RISE_SAMPLES: f64 = 50.0;
/// Weight of a sample above the base time against one below it, from then on.
const RISE_WEIGHT: f64 = 0.4;
/// Number of samples that the first guess counts as.
const PRIOR_SAMPLES: f64 = 4.0;
/// One observation counts at most this many times the expectation: single expensive requests are chance.
pub(crate) const MAX_OBSERVATION_RATIO: f64 = 6.0;

/// Statistics of one class.
#[derive(Clone, Copy)]
pub(crate) struct ClassStatistics {
    base_time: f64,
    mean_service_time: f64,
    samples: f64,
    arrivals: DecayingRate,
    served_in_time: DecayingRate,
    longest_client_timeout: Nanos,
}

impl ClassStatistics {
    /// A class without requests so far.
    fn new(settings: &ClassSettings) -> Self {
        Self {
            base_time: settings.latency_objective as f64 / INITIAL_BASE_DIVISOR,
            mean_service_time: 0.0,
            samples: 0.0,
            arrivals: DecayingRate::default(),
            served_in_time: DecayingRate::default(),
            longest_client_timeout: 0,
        }
    }

    /// Response time at a load of 1, in nanoseconds.
    pub(crate) fn base_time(&self) -> f64 {
        self.base_time
    }

    /// Whether the base time is good enough to compare backends by.
    pub(crate) fn is_base_time_reliable(&self) -> bool {
        self.samples >= RELIABLE_SAMPLES
    }

    /// Adds the response time of a served attempt, divided by its backend's load, in nanoseconds.
    pub(crate) fn record_served(&mut self, normalized_time: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        let rises_slowly = normalized_time > self.base_time && self.samples > SLOW_RISE_SAMPLES;
        let weight = if rises_slowly { RISE_WEIGHT } else { 1.0 };
        let sample = normalized_time.min(MAX_OBSERVATION_RATIO * self.base_time);
        self.base_time += (sample - self.base_time) * weight / (self.samples + PRIOR_SAMPLES);
    }

    /// Mean expected service time of a request, in nanoseconds on a standard core.
    pub(crate) fn mean_service_time(&self) -> f64 {
        self.mean_service_time
    }

    /// Adds the expected service time of an arrival to the mean.
    pub(crate) fn record_service_time(&mut self, service_time: f64) {
        let weight = if self.mean_service_time > 0.0 {
            MEAN_SERVICE_TIME_WEIGHT
        } else {
            1.0
        };
        self.mean_service_time += (service_time - self.mean_service_time) * weight;
    }

    /// The longest timeout that a client has set for one of its attempts.
    pub(crate) fn longest_client_timeout(&self) -> Nanos {
        self.longest_client_timeout
    }

    /// Records the timeout of one client attempt.
    pub(crate) fn record_client_timeout(&mut self, timeout: Nanos) {
        self.longest_client_timeout = self.longest_client_timeout.max(timeout);
    }

    /// Arrivals per second.
    pub(crate) fn arrivals(&self, now: Nanos) -> f64 {
        self.arrivals.per_second(now)
    }

    /// Counts an arrival.
    pub(crate) fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.add(now, 1.0);
    }

    /// Requests answered in time, per second.
    pub(crate) fn served_in_time(&self, now: Nanos) -> f64 {
        self.served_in_time.per_second(now)
    }

    /// Counts a request answered in time.
    pub(crate) fn record_served_in_time(&mut self, now: Nanos) {
        self.served_in_time.add(now, 1.0);
    }
}

/// Statistics of all classes.
pub(crate) struct Classes {
    classes: Vec<ClassStatistics>,
}

impl Classes {
    /// One entry for each class of the settings.
    pub(crate) fn new(settings: &[ClassSettings]) -> Self {
        Self {
            classes: settings.iter().map(ClassStatistics::new).collect(),
        }
    }

    /// The class of that id, or the last one where there is none of it.
    pub(crate) fn id_or_last(&self, id: ClassId) -> ClassId {
        if id.index() < self.classes.len() {
            return id;
        }
        ClassId(u32::try_from(self.classes.len() - 1).unwrap_or(u32::MAX))
    }

    /// Statistics of a class.
    pub(crate) fn get(&self, id: ClassId) -> &ClassStatistics {
        &self.classes[id.index()]
    }

    /// Statistics of a class, to be changed.
    pub(crate) fn get_mut(&mut self, id: ClassId) -> &mut ClassStatistics {
        &mut self.classes[id.index()]
    }

    /// All classes, by id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &ClassStatistics> {
        self.classes.iter()
    }

    /// Arrivals of all classes at this node, per second.
    pub(crate) fn total_arrivals(&self, now: Nanos) -> f64 {
        self.iter().map(|class| class.arrivals(now)).sum()
    }

    /// Requests of all classes answered in time, per second.
    pub(crate) fn total_served_in_time(&self, now: Nanos) -> f64 {
        self.iter().map(|class| class.served_in_time(now)).sum()
    }

    /// Forgets the rates of arrivals and answers.
    pub(crate) fn reset_rates(&mut self) {
        for class in &mut self.classes {
            class.arrivals = DecayingRate::default();
            class.served_in_time = DecayingRate::default();
        }
    }
}

//! Statistics of each request class: arrivals, requests answered in time, service time and base time.

use crate::api::{ClassId, ClassSettings, Nanos};
use crate::ewma::DecayingRate;

/// Divisor of the latency objective that gives the initial base time of a class.
const INITIAL_BASE_DIVISOR: f64 = 16.0;
/// Weight of one request in the mean service time of the class.
const MEAN_SERVICE_TIME_WEIGHT: f64 = 0.01;
/// Maximum effective number of samples of a base time; large, so that the base time outlasts a fault.
const MAX_SAMPLES: f64 = 400.0;
/// Number of samples from which a base time is reliable enough to compare backends.
const RELIABLE_SAMPLES: f64 = 30.0;
/// Number of samples from which a base time rises more slowly than it falls, so that an overload is not learned as
/// the normal state.
const SLOW_RISE_SAMPLES: f64 = 50.0;
/// Weight factor of a sample above the base time, once [`SLOW_RISE_SAMPLES`] is exceeded.
const RISE_WEIGHT: f64 = 0.4;
/// Number of samples that the initial base time counts as.
const PRIOR_SAMPLES: f64 = 4.0;
/// Maximum ratio of one observation to the expected value; limits the effect of single expensive requests.
pub(crate) const MAX_OBSERVATION_RATIO: f64 = 6.0;

/// Statistics of one class. Times are in nanoseconds.
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
    /// Creates the statistics of a class without requests.
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

    /// Expected response time at a load of 1, in nanoseconds.
    pub(crate) fn base_time(&self) -> f64 {
        self.base_time
    }

    /// Whether the base time is reliable enough to compare backends.
    pub(crate) fn is_base_time_reliable(&self) -> bool {
        self.samples >= RELIABLE_SAMPLES
    }

    /// Adds the response time of a successful attempt, in nanoseconds, divided by the load of its backend.
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

    /// Adds the expected service time of an arrival, in nanoseconds on a standard core.
    pub(crate) fn record_service_time(&mut self, service_time: f64) {
        let weight = if self.mean_service_time > 0.0 {
            MEAN_SERVICE_TIME_WEIGHT
        } else {
            1.0
        };
        self.mean_service_time += (service_time - self.mean_service_time) * weight;
    }

    /// The longest timeout that a client has set for one of its attempts, in nanoseconds.
    pub(crate) fn longest_client_timeout(&self) -> Nanos {
        self.longest_client_timeout
    }

    /// Records the timeout of one client attempt, in nanoseconds.
    pub(crate) fn record_client_timeout(&mut self, timeout: Nanos) {
        self.longest_client_timeout = self.longest_client_timeout.max(timeout);
    }

    pub(crate) fn arrivals(&self, now: Nanos) -> f64 {
        self.arrivals.per_second(now)
    }

    pub(crate) fn record_arrival(&mut self, now: Nanos) {
        self.arrivals.add(now, 1.0);
    }

    /// Requests answered in time, per second.
    pub(crate) fn served_in_time(&self, now: Nanos) -> f64 {
        self.served_in_time.per_second(now)
    }

    pub(crate) fn record_served_in_time(&mut self, now: Nanos) {
        self.served_in_time.add(now, 1.0);
    }
}

/// Statistics of all classes, by class id.
pub(crate) struct Classes {
    classes: Vec<ClassStatistics>,
}

impl Classes {
    /// Creates empty statistics for each class of the settings.
    pub(crate) fn new(settings: &[ClassSettings]) -> Self {
        Self {
            classes: settings.iter().map(ClassStatistics::new).collect(),
        }
    }

    /// Returns the id itself if the class exists, or the id of the last class.
    pub(crate) fn id_or_last(&self, id: ClassId) -> ClassId {
        if id.index() < self.classes.len() {
            return id;
        }
        ClassId(u32::try_from(self.classes.len() - 1).unwrap_or(u32::MAX))
    }

    /// Statistics of a class. Panics if the class does not exist.
    pub(crate) fn get(&self, id: ClassId) -> &ClassStatistics {
        &self.classes[id.index()]
    }

    /// Mutable statistics of a class. Panics if the class does not exist.
    pub(crate) fn get_mut(&mut self, id: ClassId) -> &mut ClassStatistics {
        &mut self.classes[id.index()]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &ClassStatistics> {
        self.classes.iter()
    }

    /// Arrivals at this node per second, over all classes.
    pub(crate) fn total_arrivals(&self, now: Nanos) -> f64 {
        self.iter().map(|class| class.arrivals(now)).sum()
    }

    /// Requests answered in time per second, over all classes.
    pub(crate) fn total_served_in_time(&self, now: Nanos) -> f64 {
        self.iter().map(|class| class.served_in_time(now)).sum()
    }

    /// Resets the rates of arrivals and of requests answered in time.
    pub(crate) fn reset_rates(&mut self) {
        for class in &mut self.classes {
            class.arrivals = DecayingRate::default();
            class.served_in_time = DecayingRate::default();
        }
    }
}

//! Outstanding attempts, and response times by request class.

use std::collections::BTreeMap;

use crate::evidence::{OutstandingAttempt, SilenceTest};
use crate::ids::{AttemptKey, ClassIndex, ZoneIndex};
use crate::latency_histogram::LatencyHistogram;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Maximum number of attempts that are tracked at the same time.
const MAXIMUM_OUTSTANDING_ATTEMPTS: usize = 65_536;
/// Slowdown of responses that is tolerated before a timed-out attempt counts as a failed recovery probe.
const TIMEOUT_SLOWDOWN_TOLERANCE: f64 = 2.0;
/// Evidence of silence above which a timed-out attempt counts as a failed recovery probe, in nats.
const TIMEOUT_EVIDENCE_THRESHOLD: f64 = 1.0;
/// Quantile of a class's response times on which the timeout of recovery probes is based.
const PROBE_TIMEOUT_QUANTILE: f64 = 0.95;
/// Timeout of a recovery probe, in multiples of the slowest class's quantile.
const PROBE_TIMEOUT_FACTOR: u64 = 3;
/// Lower bound of a recovery probe's timeout.
const MINIMUM_PROBE_TIMEOUT: Nanos = 50 * MILLISECOND;
/// Upper bound of a recovery probe's timeout, also used while no response times are known.
const MAXIMUM_PROBE_TIMEOUT: Nanos = 2 * SECOND;

/// Tracks outstanding attempts and records response times.
pub(crate) struct AttemptTracker {
    outstanding: BTreeMap<AttemptKey, OutstandingAttempt>,
    /// Response times by class.
    latencies: Vec<LatencyHistogram>,
}

impl AttemptTracker {
    /// Creates a tracker without attempts, for `class_count` request classes.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            outstanding: BTreeMap::new(),
            latencies: vec![LatencyHistogram::new(); class_count],
        }
    }

    /// Tracks an attempt, unless the class is unknown or [`MAXIMUM_OUTSTANDING_ATTEMPTS`] are outstanding.
    pub(crate) fn insert(&mut self, key: AttemptKey, attempt: OutstandingAttempt) {
        let is_known_class = attempt.class.position() < self.latencies.len();
        if is_known_class && self.outstanding.len() < MAXIMUM_OUTSTANDING_ATTEMPTS {
            self.outstanding.insert(key, attempt);
        }
    }

    /// Stops tracking an attempt and returns it; none if the attempt was not tracked.
    pub(crate) fn remove(&mut self, key: AttemptKey) -> Option<OutstandingAttempt> {
        self.outstanding.remove(&key)
    }

    /// Whether no attempt is outstanding.
    pub(crate) fn is_empty(&self) -> bool {
        self.outstanding.is_empty()
    }

    /// The outstanding attempts to a zone.
    pub(crate) fn outstanding_in(
        &self,
        zone: ZoneIndex,
    ) -> impl Iterator<Item = &OutstandingAttempt> {
        self.outstanding
            .values()
            .filter(move |attempt| attempt.zone == zone)
    }

    /// Parameters of the silence test for a zone with `server_count` servers.
    pub(crate) fn silence_test(&self, server_count: u32, slowdown: f64) -> SilenceTest<'_> {
        SilenceTest {
            latencies: &self.latencies,
            server_count,
            slowdown,
        }
    }

    /// Records a response time. Returns the response time relative to the previous median of the class.
    pub(crate) fn record_latency(&mut self, class: ClassIndex, duration: Nanos) -> f64 {
        let latency = &mut self.latencies[class.position()];
        let median = latency.median().unwrap_or(duration).max(1);
        latency.record(duration);
        duration as f64 / median as f64
    }

    /// Whether an attempt that timed out after this duration had waited longer than most responses take.
    pub(crate) fn is_significant_timeout(&self, class: ClassIndex, duration: Nanos) -> bool {
        let evidence =
            self.latencies[class.position()].silence_evidence(duration, TIMEOUT_SLOWDOWN_TOLERANCE);
        evidence > TIMEOUT_EVIDENCE_THRESHOLD
    }

    /// How long a recovery probe waits for the response.
    pub(crate) fn probe_timeout(&self) -> Nanos {
        self.latencies
            .iter()
            .filter_map(|latency| latency.quantile(PROBE_TIMEOUT_QUANTILE))
            .max()
            .map_or(MAXIMUM_PROBE_TIMEOUT, |slowest| {
                (slowest * PROBE_TIMEOUT_FACTOR).clamp(MINIMUM_PROBE_TIMEOUT, MAXIMUM_PROBE_TIMEOUT)
            })
    }
}

//! Evidence against one zone, from two sequential tests: a CUSUM of log-likelihood ratios for failures, and a test of
//! the ages of outstanding attempts against the class's response times for silence.
//!
//! Evidence is in nats: natural logarithms of likelihood ratios or of inverse probabilities. All instants are on the
//! awake clock.

use std::collections::BTreeMap;

use crate::decaying_cusum::{DecayingCusum, decay_factor};
use crate::ids::{ClassIndex, ServerId, ZoneIndex};
use crate::latency_histogram::LatencyHistogram;
use badgerpost_time::Nanos;

/// Lower bound of the failure rate assumed for a faulty zone.
const MINIMUM_FAULTY_ZONE_FAILURE_RATE: f64 = 0.3;
/// Upper bound of the failure rate assumed for a faulty zone.
const MAXIMUM_FAULTY_ZONE_FAILURE_RATE: f64 = 0.95;
/// Failure rate assumed for a faulty zone, relative to the baseline failure rate.
const FAULTY_ZONE_FAILURE_RATIO: f64 = 3.0;
/// Failure rate assumed without observations; also the lower bound of the baseline failure rate.
pub(crate) const DEFAULT_FAILURE_RATE: f64 = 0.02;
/// Upper bound of the baseline failure rate, below the maximum for a faulty zone so that the test can distinguish the
/// two.
const MAXIMUM_BASELINE_FAILURE_RATE: f64 = 0.8;
/// Upper bound of the evidence from one server, so that one faulty server cannot cause an ejection.
const MAXIMUM_SERVER_EVIDENCE: f64 = 5.0;
/// Upper bound of the evidence from one class.
const MAXIMUM_CLASS_EVIDENCE: f64 = 2.0 * MAXIMUM_SERVER_EVIDENCE;
/// Upper bound of the evidence from failed connections.
const MAXIMUM_CONNECTION_EVIDENCE: f64 = 4.0 * MAXIMUM_SERVER_EVIDENCE;
/// Maximum number of timed-out attempts stored as evidence of silence. Each is evidence of up to 2.5 nats, so more of
/// them would change nothing.
const MAXIMUM_TIMED_OUT_ATTEMPTS: usize = 64;
/// Number of servers above which the server with the most evidence is left out.
const LEAVE_ONE_OUT_SERVER_THRESHOLD: u32 = 2;
/// Number of classes in use above which the class with the most evidence is left out.
const LEAVE_ONE_OUT_CLASS_THRESHOLD: usize = 1;
/// Decayed number of attempts above which a class counts as in use.
const MINIMUM_CLASS_ATTEMPTS: f64 = 1.0;
/// Weight of the newest attempt in the recent failure rate, an exponentially weighted moving average.
const FAILURE_RATE_EWMA_WEIGHT: f64 = 0.1;
/// Weight of the newest response in the slowdown, an exponentially weighted moving average.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.3;

/// An attempt that was sent and has no response yet.
#[derive(Clone, Copy)]
pub(crate) struct OutstandingAttempt {
    pub(crate) server: ServerId,
    pub(crate) zone: ZoneIndex,
    pub(crate) class: ClassIndex,
    pub(crate) sent_at: Nanos,
}

/// An attempt without a response, either outstanding or timed out.
#[derive(Clone, Copy)]
struct SilentAttempt {
    attempt: OutstandingAttempt,
    /// Time from sending until the present or until the timeout.
    waiting_duration: Nanos,
}

/// Result of an attempt that counts for or against the zone in the test of failures.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// A usable response.
    Success,
    ErrorResponse,
    /// The connection could not be established, or broke.
    ConnectionFailed,
}

impl AttemptResult {
    /// 1 for a failure, 0 for a success.
    fn failure_indicator(self) -> f64 {
        match self {
            Self::Success => 0.0,
            Self::ErrorResponse | Self::ConnectionFailed => 1.0,
        }
    }

    /// Log-likelihood ratio of the result between a faulty zone and a zone with the baseline failure rate.
    fn log_likelihood_ratio(self, baseline_failure_rate: f64) -> f64 {
        let baseline =
            baseline_failure_rate.clamp(DEFAULT_FAILURE_RATE, MAXIMUM_BASELINE_FAILURE_RATE);
        let faulty = (FAULTY_ZONE_FAILURE_RATIO * baseline).clamp(
            MINIMUM_FAULTY_ZONE_FAILURE_RATE,
            MAXIMUM_FAULTY_ZONE_FAILURE_RATE,
        );
        match self {
            Self::Success => ((1.0 - faulty) / (1.0 - baseline)).ln(),
            Self::ErrorResponse | Self::ConnectionFailed => (faulty / baseline).ln(),
        }
    }
}

/// Numbers of attempts and of failed attempts, decayed over time.
#[derive(Clone, Copy, Default)]
pub(crate) struct AttemptCounts {
    pub(crate) failed: f64,
    /// All attempts, including failed ones.
    pub(crate) total: f64,
}

impl AttemptCounts {
    /// The counts multiplied by `factor`.
    fn decayed(self, factor: f64) -> Self {
        Self {
            failed: self.failed * factor,
            total: self.total * factor,
        }
    }
}

/// Attempts of one class in one zone, decayed until `updated_at`.
#[derive(Clone, Copy, Default)]
struct ClassCounts {
    counts: AttemptCounts,
    updated_at: Nanos,
}

impl ClassCounts {
    fn value_at(&self, now: Nanos) -> AttemptCounts {
        self.counts.decayed(decay_factor(now, self.updated_at))
    }

    fn record(&mut self, now: Nanos, result: AttemptResult) {
        let decayed = self.value_at(now);
        self.counts = AttemptCounts {
            failed: decayed.failed + result.failure_indicator(),
            total: decayed.total + 1.0,
        };
        self.updated_at = now;
    }
}

/// Evidence that a zone is silent.
#[derive(Clone, Copy)]
pub(crate) struct SilenceEvidence {
    /// Sum of the evidence over the servers, without the worst server if there are more than
    /// [`LEAVE_ONE_OUT_SERVER_THRESHOLD`].
    pub(crate) evidence: f64,
    /// When the oldest silent attempt was sent; the present if no attempt is silent.
    pub(crate) first_sent_at: Nanos,
}

/// Parameters of the silence test for one zone.
#[derive(Clone, Copy)]
pub(crate) struct SilenceTest<'a> {
    /// Response times by class.
    pub(crate) latencies: &'a [LatencyHistogram],
    /// Number of servers in service in the zone.
    pub(crate) server_count: u32,
    /// Tolerated factor by which responses may be slower than the recorded response times.
    pub(crate) slowdown: f64,
}

/// The evidence against one zone.
#[derive(Default)]
pub(crate) struct Evidence {
    /// Evidence of failures by server. The endpoint list bounds the number of servers.
    servers: BTreeMap<ServerId, DecayingCusum>,
    classes: Vec<DecayingCusum>,
    connections: DecayingCusum,
    class_counts: Vec<ClassCounts>,
    /// Attempts that timed out since the last response, at most [`MAXIMUM_TIMED_OUT_ATTEMPTS`].
    timed_out: Vec<SilentAttempt>,
    /// When the last response of any kind came or the evidence was reset. Earlier attempts do not count as silent.
    last_response_at: Option<Nanos>,
    /// When the last usable response came. A reset keeps this value.
    last_success_at: Option<Nanos>,
    /// Usable responses since the count or the evidence was reset.
    success_count: u32,
    recent_failure_rate: f64,
    slowdown: f64,
}

impl Evidence {
    /// Creates an instance without evidence for `class_count` request classes.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            classes: vec![DecayingCusum::default(); class_count],
            class_counts: vec![ClassCounts::default(); class_count],
            slowdown: 1.0,
            ..Self::default()
        }
    }

    /// Discards all evidence except the time of the last usable response.
    pub(crate) fn reset(&mut self, now: Nanos) {
        *self = Self {
            last_response_at: Some(now),
            last_success_at: self.last_success_at,
            ..Self::new(self.classes.len())
        };
    }

    /// Discards the evidence about servers that are no longer listed.
    pub(crate) fn retain_servers(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, _| is_listed(*server));
        self.timed_out
            .retain(|silent| is_listed(silent.attempt.server));
    }

    /// Number of usable responses since the count or the evidence was reset.
    pub(crate) fn success_count(&self) -> u32 {
        self.success_count
    }

    pub(crate) fn reset_success_count(&mut self) {
        self.success_count = 0;
    }

    /// Moving average of the failure rate over about ten attempts, from 0 to 1.
    pub(crate) fn recent_failure_rate(&self) -> f64 {
        self.recent_failure_rate
    }

    /// Moving average of response times relative to the median of their class.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Decayed numbers of attempts of a class in this zone.
    pub(crate) fn attempt_counts(&self, class: ClassIndex, now: Nanos) -> AttemptCounts {
        self.class_counts
            .get(class.position())
            .map_or_else(AttemptCounts::default, |counts| counts.value_at(now))
    }

    /// Adds an attempt's result to the evidence. `baseline_failure_rate` is the class's failure rate in other zones.
    pub(crate) fn record_result(
        &mut self,
        now: Nanos,
        attempt: &OutstandingAttempt,
        result: AttemptResult,
        baseline_failure_rate: f64,
    ) {
        let log_ratio = result.log_likelihood_ratio(baseline_failure_rate);
        self.servers.entry(attempt.server).or_default().add(
            now,
            log_ratio,
            MAXIMUM_SERVER_EVIDENCE,
        );
        // Failed connections do not count against the class, and error responses do not count against connections.
        if result != AttemptResult::ConnectionFailed
            && let Some(class) = self.classes.get_mut(attempt.class.position())
        {
            class.add(now, log_ratio, MAXIMUM_CLASS_EVIDENCE);
        }
        if result != AttemptResult::ErrorResponse {
            self.connections
                .add(now, log_ratio, MAXIMUM_CONNECTION_EVIDENCE);
        }
        self.recent_failure_rate +=
            FAILURE_RATE_EWMA_WEIGHT * (result.failure_indicator() - self.recent_failure_rate);
        if let Some(counts) = self.class_counts.get_mut(attempt.class.position()) {
            counts.record(now, result);
        }
    }

    /// Whether a usable response came within `duration` before `now`.
    pub(crate) fn has_success_within(&self, now: Nanos, duration: Nanos) -> bool {
        self.last_success_at
            .is_some_and(|success_at| now < success_at + duration)
    }

    /// Records a response of any kind, which ends any silence of the zone.
    pub(crate) fn record_response(&mut self, now: Nanos) {
        self.last_response_at = Some(now);
        self.timed_out.clear();
    }

    /// Records a usable response. `slowdown` is the response time relative to the class's median.
    pub(crate) fn record_success(&mut self, now: Nanos, slowdown: f64) {
        self.record_response(now);
        self.last_success_at = Some(now);
        self.success_count = self.success_count.saturating_add(1);
        self.slowdown += SLOWDOWN_EWMA_WEIGHT * (slowdown - self.slowdown);
    }

    /// Records an attempt that ended without a response.
    pub(crate) fn record_timeout(&mut self, attempt: OutstandingAttempt, now: Nanos) {
        if self.timed_out.len() < MAXIMUM_TIMED_OUT_ATTEMPTS {
            self.timed_out.push(SilentAttempt {
                attempt,
                waiting_duration: now.saturating_sub(attempt.sent_at),
            });
        }
    }

    /// Evidence of failures: the lower of the sum over servers and the sum over classes and connections. The first sum
    /// leaves out the worst server, and the second the worst class, unless too few are in use.
    pub(crate) fn failure_evidence(&self, now: Nanos, server_count: u32) -> f64 {
        let by_server = sum_without_worst(
            self.servers.values().map(|cusum| cusum.value_at(now)),
            server_count > LEAVE_ONE_OUT_SERVER_THRESHOLD,
        );
        let used_classes = self
            .class_counts
            .iter()
            .filter(|class| class.counts.total > MINIMUM_CLASS_ATTEMPTS)
            .count();
        let by_class = sum_without_worst(
            self.classes.iter().map(|cusum| cusum.value_at(now)),
            used_classes > LEAVE_ONE_OUT_CLASS_THRESHOLD,
        );
        by_server.min(by_class + self.connections.value_at(now))
    }

    /// Evidence of silence from outstanding and timed-out attempts that were not due before the last response.
    pub(crate) fn silence_evidence<'a>(
        &self,
        outstanding: impl Iterator<Item = &'a OutstandingAttempt>,
        now: Nanos,
        test: SilenceTest<'_>,
    ) -> SilenceEvidence {
        let mut first_sent_at = now;
        let mut by_server: BTreeMap<ServerId, f64> = BTreeMap::new();
        let outstanding = outstanding.map(|attempt| SilentAttempt {
            attempt: *attempt,
            waiting_duration: now.saturating_sub(attempt.sent_at),
        });
        for silent in outstanding.chain(self.timed_out.iter().copied()) {
            let attempt = silent.attempt;
            let Some(latency) = test.latencies.get(attempt.class.position()) else {
                continue;
            };
            if self.was_due_before_last_response(&attempt, latency) {
                continue;
            }
            *by_server.entry(attempt.server).or_default() +=
                latency.silence_evidence(silent.waiting_duration, test.slowdown);
            first_sent_at = first_sent_at.min(attempt.sent_at);
        }
        let can_leave_one_out = test.server_count > LEAVE_ONE_OUT_SERVER_THRESHOLD;
        SilenceEvidence {
            evidence: sum_without_worst(by_server.into_values(), can_leave_one_out),
            first_sent_at,
        }
    }

    /// Whether the attempt's response was due, by the class's median, before the last response came. A later response
    /// shows that the zone was not silent then, so such an attempt does not count.
    fn was_due_before_last_response(
        &self,
        attempt: &OutstandingAttempt,
        latency: &LatencyHistogram,
    ) -> bool {
        let median_latency = latency.median().unwrap_or(0);
        self.last_response_at
            .is_some_and(|response_at| attempt.sent_at + median_latency < response_at)
    }
}

/// The sum of the values, without the largest value if `leave_one_out` is set.
fn sum_without_worst(values: impl Iterator<Item = f64>, leave_one_out: bool) -> f64 {
    let mut sum = 0.0;
    let mut worst = 0.0f64;
    for value in values {
        sum += value;
        worst = worst.max(value);
    }
    if leave_one_out { sum - worst } else { sum }
}

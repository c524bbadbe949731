//! Evidence against one zone, by two sequential tests side by side: one of failures (a CUSUM of log-likelihood
//! ratios), one of silence (the ages of outstanding attempts against the class's response times).
//!
//! All instants here are on the awake clock.

use std::collections::BTreeMap;

use crate::decaying_cusum::{DecayingCusum, decay_factor};
use crate::ids::{ClassIndex, ServerId, ZoneIndex};
use crate::latency_histogram::LatencyHistogram;
use badgerpost_time::Nanos;

/// Failure rate assumed for a failing zone, at the least.
const MINIMUM_FAULTY_ZONE_FAILURE_RATE: f64 = 0.3;
/// Failure rate assumed for a failing zone, at the most.
const MAXIMUM_FAULTY_ZONE_FAILURE_RATE: f64 = 0.95;
/// A failing zone fails this many times as often as usual.
const FAULTY_ZONE_FAILURE_RATIO: f64 = 3.0;
/// Failure rate that counts as usual at the least, also where no rate is known.
pub(crate) const DEFAULT_FAILURE_RATE: f64 = 0.02;
/// Failure rate that counts as usual at the most: the test needs room above it.
const MAXIMUM_BASELINE_FAILURE_RATE: f64 = 0.8;
/// Upper bound of the evidence from one server: it can't speak for the others.
const MAXIMUM_SERVER_EVIDENCE: f64 = 5.0;
/// Upper bound of the evidence from one class: that of two servers.
const MAXIMUM_CLASS_EVIDENCE: f64 = 2.0 * MAXIMUM_SERVER_EVIDENCE;
/// Upper bound of the evidence from failed connections: that of four servers.
const MAXIMUM_CONNECTION_EVIDENCE: f64 = 4.0 * MAXIMUM_SERVER_EVIDENCE;
/// Timed-out attempts that are remembered as silent. Each is evidence of up to 2.5, so more change nothing.
const MAXIMUM_TIMED_OUT_ATTEMPTS: usize = 64;
/// Servers above which the worst one can be left out.
const LEAVE_ONE_OUT_SERVER_THRESHOLD: u32 = 2;
/// Classes in use above which the worst one can be left out.
const LEAVE_ONE_OUT_CLASS_THRESHOLD: usize = 1;
/// Decayed number of attempts above which a class counts as in use.
const MINIMUM_CLASS_ATTEMPTS: f64 = 1.0;
/// Weight of the newest attempt in the recent failure rate: an average over about ten attempts.
const FAILURE_RATE_EWMA_WEIGHT: f64 = 0.1;
/// Weight of the newest response in the smoothed slowdown.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.3;

/// An attempt without a response.
#[derive(Clone, Copy)]
pub(crate) struct OutstandingAttempt {
    /// The server it was sent to.
    pub(crate) server: ServerId,
    /// The server's zone.
    pub(crate) zone: ZoneIndex,
    /// The request's class.
    pub(crate) class: ClassIndex,
    /// When it was sent.
    pub(crate) sent_at: Nanos,
}

/// An attempt that has waited without a response, still outstanding or timed out.
#[derive(Clone, Copy)]
struct SilentAttempt {
    attempt: OutstandingAttempt,
    /// How long it has waited, or had waited when it timed out.
    waiting_duration: Nanos,
}

/// The result of an attempt that is evidence for or against a zone's servers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    /// A usable response.
    Success,
    /// An error response.
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

    /// The logarithm of how much more likely this result is in a failing zone, given the usual failure rate.
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

/// Decayed numbers of attempts and of failed ones.
#[derive(Clone, Copy, Default)]
pub(crate) struct AttemptCounts {
    /// Attempts that failed.
    pub(crate) failed: f64,
    /// All attempts.
    pub(crate) total: f64,
}

impl AttemptCounts {
    /// The counts after decay by a factor.
    fn decayed(self, factor: f64) -> Self {
        Self {
            failed: self.failed * factor,
            total: self.total * factor,
        }
    }
}

/// Attempts of one class in one zone in the last seconds.
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
    /// Log-likelihood of the silence, without the worst server.
    pub(crate) evidence: f64,
    /// When the first of the silent attempts was sent; the present if there is none.
    pub(crate) first_sent_at: Nanos,
}

/// What silence is measured against.
#[derive(Clone, Copy)]
pub(crate) struct SilenceTest<'a> {
    /// Response times by class.
    pub(crate) latencies: &'a [LatencyHistogram],
    /// Number of servers in service in the zone.
    pub(crate) server_count: u32,
    /// How many times as long as usual responses may take.
    pub(crate) slowdown: f64,
}

/// The evidence against one zone.
#[derive(Default)]
pub(crate) struct Evidence {
    /// Evidence of failures by server; bounded by the endpoint list.
    servers: BTreeMap<ServerId, DecayingCusum>,
    classes: Vec<DecayingCusum>,
    connections: DecayingCusum,
    class_counts: Vec<ClassCounts>,
    /// Timed-out attempts since the last response, at most [`MAXIMUM_TIMED_OUT_ATTEMPTS`].
    timed_out: Vec<SilentAttempt>,
    /// When the last response of any kind came, or the evidence was reset: attempts sent long before prove nothing.
    last_response_at: Option<Nanos>,
    /// When the last usable response came; a reset keeps it.
    last_success_at: Option<Nanos>,
    /// Usable responses since the count or the evidence was reset.
    success_count: u32,
    recent_failure_rate: f64,
    slowdown: f64,
}

impl Evidence {
    /// No evidence yet, for this number of request classes.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            classes: vec![DecayingCusum::default(); class_count],
            class_counts: vec![ClassCounts::default(); class_count],
            slowdown: 1.0,
            ..Self::default()
        }
    }

    /// Discards all evidence: what was observed before says nothing about what comes.
    pub(crate) fn reset(&mut self, now: Nanos) {
        *self = Self {
            last_response_at: Some(now),
            last_success_at: self.last_success_at,
            ..Self::new(self.classes.len())
        };
    }

    /// Discards the evidence from servers that are no longer listed.
    pub(crate) fn retain_servers(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.servers.retain(|server, _| is_listed(*server));
        self.timed_out
            .retain(|silent| is_listed(silent.attempt.server));
    }

    /// Usable responses since the count or the evidence was reset.
    pub(crate) fn success_count(&self) -> u32 {
        self.success_count
    }

    /// Starts the count of usable responses anew.
    pub(crate) fn reset_success_count(&mut self) {
        self.success_count = 0;
    }

    /// Failure rate of the last ten attempts or so.
    pub(crate) fn recent_failure_rate(&self) -> f64 {
        self.recent_failure_rate
    }

    /// Response times relative to the usual ones, smoothed.
    pub(crate) fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Attempts of a class in this zone, with exponential decay.
    pub(crate) fn attempt_counts(&self, class: ClassIndex, now: Nanos) -> AttemptCounts {
        self.class_counts
            .get(class.position())
            .map_or_else(AttemptCounts::default, |counts| counts.value_at(now))
    }

    /// Takes the result of an attempt into account. The usual failure rate is that of the class in other zones.
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
        // A failed connection is no evidence against a class, and an error response none against connections.
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

    /// Whether a usable response came within this duration.
    pub(crate) fn has_success_within(&self, now: Nanos, duration: Nanos) -> bool {
        self.last_success_at
            .is_some_and(|success_at| now < success_at + duration)
    }

    /// Records a response of any kind: the zone is not silent.
    pub(crate) fn record_response(&mut self, now: Nanos) {
        self.last_response_at = Some(now);
        self.timed_out.clear();
    }

    /// Records a usable response that took `slowdown` times as long as usual.
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

    /// Evidence of failures: the lower of that by server, without the worst server, and that by class and
    /// connections, without the worst class.
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

    /// Evidence of silence from the attempts that were outstanding when the last response came, or were sent later.
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

    /// Whether a response to the attempt was due before the last response came: its silence proves nothing.
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

/// The sum of the values, without the largest one if `leave_one_out`.
fn sum_without_worst(values: impl Iterator<Item = f64>, leave_one_out: bool) -> f64 {
    let mut sum = 0.0;
    let mut worst = 0.0f64;
    for value in values {
        sum += value;
        worst = worst.max(value);
    }
    if leave_one_out { sum - worst } else { sum }
}

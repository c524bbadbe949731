//! Histogram of the response times of one request class, with logarithmic buckets. Estimates how likely a response is
//! to take longer than a given time.

use badgerpost_time::{MILLISECOND, Nanos, nanos_from_f64};

/// Number of buckets for each doubling of the response time.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of buckets, which cover 0.1 ms to about 100 s.
const BUCKET_COUNT: usize = 80;
/// Lower bound of the first bucket, in nanoseconds.
const FIRST_BUCKET_NANOS: f64 = 0.1 * MILLISECOND as f64;
/// Total weight of the samples above which all counts are halved, so that old samples lose weight.
const MAXIMUM_WEIGHT: f64 = 2000.0;
/// Total weight of the samples below which the histogram yields no estimates.
const MINIMUM_WEIGHT: f64 = 20.0;
/// Weight of the pseudo-sample that keeps the estimated probability above zero.
const PSEUDO_SAMPLE_WEIGHT: f64 = 0.5;
/// Upper bound of the evidence from one silent attempt, in nats. A single missing response may be due to a stuck
/// request or a lost packet.
const MAXIMUM_EVIDENCE: f64 = 2.5;

/// Histogram of one class's response times.
#[derive(Clone)]
pub(crate) struct LatencyHistogram {
    counts: [f64; BUCKET_COUNT],
    total: f64,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }

    /// Adds the response time of one attempt.
    pub(crate) fn record(&mut self, duration: Nanos) {
        self.counts[bucket_index(duration as f64)] += 1.0;
        self.total += 1.0;
        if self.total > MAXIMUM_WEIGHT {
            for count in &mut self.counts {
                *count /= 2.0;
            }
            self.total /= 2.0;
        }
    }

    /// Evidence from the absence of a response after `duration`, tolerating responses `slowdown` times as slow as
    /// recorded: the negative logarithm of the fraction of responses that take longer, from 0 to [`MAXIMUM_EVIDENCE`].
    pub(crate) fn silence_evidence(&self, duration: Nanos, slowdown: f64) -> f64 {
        if self.total < MINIMUM_WEIGHT {
            return 0.0;
        }
        let first = bucket_index(duration as f64 / slowdown);
        let longer: f64 = self.counts[first..].iter().sum();
        let probability = (longer + PSEUDO_SAMPLE_WEIGHT) / (self.total + PSEUDO_SAMPLE_WEIGHT);
        -probability.ln().max(-MAXIMUM_EVIDENCE)
    }

    /// Upper bound of the response times of `fraction` of the responses; none with too few samples.
    pub(crate) fn quantile(&self, fraction: f64) -> Option<Nanos> {
        if self.total < MINIMUM_WEIGHT {
            return None;
        }
        let mut sum = 0.0;
        let index = self.counts.iter().position(|count| {
            sum += count;
            sum >= fraction * self.total
        })?;
        let doublings = (index + 1) as f64 / BUCKETS_PER_DOUBLING;
        Some(nanos_from_f64(FIRST_BUCKET_NANOS * 2f64.powf(doublings)))
    }

    /// The median response time; none with too few samples.
    pub(crate) fn median(&self) -> Option<Nanos> {
        self.quantile(0.5)
    }
}

/// The bucket of a duration in nanoseconds.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of a number of at least 1 is not negative, and at most 64 here"
)]
fn bucket_index(nanos: f64) -> usize {
    let doublings = (nanos / FIRST_BUCKET_NANOS).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(BUCKET_COUNT - 1)
}

#[cfg(test)]
mod tests;

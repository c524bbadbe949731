//! How long the answers of a class take: a histogram over doublings, forgotten by halves. It says how likely an
//! answer is still to come after a time.

use crate::{MS, Nanos};

/// Four buckets a doubling, from 0.1 ms to 100 s.
const PER_DOUBLING: f64 = 4.0;
const BUCKETS: usize = 80;
const FIRST: f64 = 0.1 * MS as f64;
/// Answers that it remembers; then all counts are halved.
const REMEMBERED: f64 = 2000.0;
/// With fewer answers than this it says nothing.
const FEWEST: f64 = 20.0;
/// The most that one silent attempt tells, as a log-likelihood: a lost packet is not rarer than one in twelve hours
/// of attempts, but an attempt that got stuck by itself is no rarer than one in twelve.
const MOST: f64 = 2.5;

/// A class's answer times.
#[derive(Clone)]
pub(crate) struct LatencyHistogram {
    counts: [f64; BUCKETS],
    total: f64,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
        }
    }

    pub(crate) fn add(&mut self, span: Nanos) {
        self.counts[bucket(span as f64)] += 1.0;
        self.total += 1.0;
        if self.total > REMEMBERED {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// How much it tells that no answer has come after this span, where answers take `stretch` times as long as
    /// usual: minus the logarithm of the share that took longer, within bounds.
    pub(crate) fn silence(&self, span: Nanos, stretch: f64) -> f64 {
        if self.total < FEWEST {
            return 0.0;
        }
        let from = bucket(span as f64 / stretch);
        let longer: f64 = self.counts[from..].iter().sum();
        -((longer + 0.5) / (self.total + 0.5)).ln().max(-MOST)
    }

    /// The time within which this share of the answers came; none while that is not known.
    pub(crate) fn within(&self, share: f64) -> Option<Nanos> {
        if self.total < FEWEST {
            return None;
        }
        let mut sum = 0.0;
        let at = self.counts.iter().position(|count| {
            sum += count;
            sum >= share * self.total
        });
        at.map(|at| (FIRST * 2f64.powf((at + 1) as f64 / PER_DOUBLING)) as Nanos)
    }
}

fn bucket(span: f64) -> usize {
    let doublings = (span / FIRST).max(1.0).log2();
    ((doublings * PER_DOUBLING) as usize).min(BUCKETS - 1)
}

#[cfg(test)]
mod tests;

//! Learns after which idle time connections to backends tend to be reset by their next request. Some networks forget a
//! quiet connection without notice, long before the idle timeout of the backends.

use std::cell::Cell;

use badgerpost_time::{MILLISECOND, Nanos};

/// Number of ranges of idle time. Each is as long as all before it together.
const RANGE_COUNT: usize = 12;
/// End of the first range.
const FIRST_RANGE_END: Nanos = 16 * MILLISECOND;
/// Weight of one request in the moving average of its range.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Share of resets from which on connections are not reused: a new one costs a handshake, a reset the request.
const MAX_RESET_RATE: f64 = 0.25;
/// Part of a reset rate that is forgotten at each [`IdleResetRates::decay`], so that reuse is tried again.
const DECAY_FACTOR: f64 = SMOOTHING_FACTOR / 4.0;

/// The share of requests whose connection was reset, as a moving average for each range of idle time.
#[derive(Default)]
pub(crate) struct IdleResetRates([Cell<f64>; RANGE_COUNT]);

impl IdleResetRates {
    /// Records a request on a connection that had been idle for this long, and whether it was reset.
    pub(crate) fn record(&self, idle_time: Nanos, was_reset: bool) {
        let rate = self.rate(idle_time);
        let sample = f64::from(u8::from(was_reset));
        rate.set(rate.get() + (sample - rate.get()) * SMOOTHING_FACTOR);
    }

    /// Whether a connection that has been idle for this long may be reused.
    pub(crate) fn allows_reuse(&self, idle_time: Nanos) -> bool {
        self.rate(idle_time).get() < MAX_RESET_RATE
    }

    /// Forgets a part of all resets; called at regular intervals.
    pub(crate) fn decay(&self) {
        for rate in &self.0 {
            rate.set(rate.get() * (1.0 - DECAY_FACTOR));
        }
    }

    /// The rate of the range with this idle time.
    fn rate(&self, idle_time: Nanos) -> &Cell<f64> {
        let doublings = (idle_time / FIRST_RANGE_END)
            .checked_ilog2()
            .map_or(0, |log| log as usize + 1);
        &self.0[doublings.min(RANGE_COUNT - 1)]
    }
}

#[cfg(test)]
mod tests;

//! Estimates the idle time after which connections to backends tend to be reset by the next request. Some firewalls and
//! NAT gateways drop idle connections silently, long before the idle timeout of the backends.

use std::cell::Cell;

use badgerpost_time::{MILLISECOND, Nanos};

/// Number of ranges of idle time. From the second on, each range is as long as all ranges before it together.
const RANGE_COUNT: usize = 12;
/// End of the first range.
const FIRST_RANGE_END: Nanos = 16 * MILLISECOND;
/// Weight of one request in the moving average of its range.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Share of resets from which on connections are not reused. A reset fails the request, while a new connection costs
/// only a handshake.
const MAX_RESET_RATE: f64 = 0.25;
/// Fraction by which each [`IdleResetRates::decay`] reduces the rates, so that reuse is tried again later.
const DECAY_FACTOR: f64 = SMOOTHING_FACTOR / 4.0;

/// The share of requests whose connection was reset, as a moving average for each range of idle time.
#[derive(Default)]
pub(crate) struct IdleResetRates([Cell<f64>; RANGE_COUNT]);

impl IdleResetRates {
    /// Records whether a request on a connection that had been idle for `idle_time` was reset.
    pub(crate) fn record(&self, idle_time: Nanos, was_reset: bool) {
        let rate = self.rate(idle_time);
        let sample = f64::from(u8::from(was_reset));
        rate.set(rate.get() + (sample - rate.get()) * SMOOTHING_FACTOR);
    }

    /// Whether a connection that has been idle for `idle_time` may be reused.
    pub(crate) fn allows_reuse(&self, idle_time: Nanos) -> bool {
        self.rate(idle_time).get() < MAX_RESET_RATE
    }

    /// Reduces all rates; called at regular intervals.
    pub(crate) fn decay(&self) {
        for rate in &self.0 {
            rate.set(rate.get() * (1.0 - DECAY_FACTOR));
        }
    }

    /// The rate of the range that contains `idle_time`.
    fn rate(&self, idle_time: Nanos) -> &Cell<f64> {
        let doublings = (idle_time / FIRST_RANGE_END)
            .checked_ilog2()
            .map_or(0, |log| log as usize + 1);
        &self.0[doublings.min(RANGE_COUNT - 1)]
    }
}

#[cfg(test)]
mod tests;

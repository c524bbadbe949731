//! The wait after a failed accept.

use std::time::Duration;

use crate::clock::Clock;

/// After a second failure in a row. The first one may have been the one connection's, and others wait behind it.
const FIRST_DELAY: Duration = Duration::from_millis(1);
/// After several in a row: without a free descriptor the next one would fail at once.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// How long a listener waits after an accept that has failed: not at all at first, then longer with each failure in a row,
/// up to 20 ms.
#[derive(Debug, Default)]
pub struct AcceptBackoff {
    next_delay: Duration,
}

impl AcceptBackoff {
    /// A connection was accepted.
    pub fn succeeded(&mut self) {
        self.next_delay = Duration::ZERO;
    }

    /// An accept has failed: waits before the next one.
    pub async fn failed(&mut self, clock: &Clock) {
        let delay = self.advance();
        if delay > Duration::ZERO {
            clock.sleep(delay).await;
        }
    }

    /// The wait after this failure; the next one is longer.
    fn advance(&mut self) -> Duration {
        let delay = self.next_delay;
        self.next_delay = (2 * delay).clamp(FIRST_DELAY, MAX_DELAY);
        delay
    }
}

#[cfg(test)]
mod tests;

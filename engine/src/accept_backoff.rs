//! The delay after a failed `accept`.

use std::time::Duration;

use crate::clock::Clock;

/// The delay after the second consecutive failure. There is no delay after the first one, which may concern only one
/// connection while others are waiting in the queue.
const FIRST_DELAY: Duration = Duration::from_millis(1);
/// The longest delay after consecutive failures, for example while no file descriptor is free.
const MAX_DELAY: Duration = Duration::from_millis(20);

/// Delays a listener after failed `accept` calls: not after the first failure, then exponentially longer with each
/// consecutive failure, up to 20 ms.
#[derive(Debug, Default)]
pub struct AcceptBackoff {
    next_delay: Duration,
}

impl AcceptBackoff {
    /// Resets the delay after a successful `accept`.
    pub fn succeeded(&mut self) {
        self.next_delay = Duration::ZERO;
    }

    /// Waits for the current delay after a failed `accept`, and increases the delay.
    pub async fn failed(&mut self, clock: &Clock) {
        let delay = self.advance();
        if delay > Duration::ZERO {
            clock.sleep(delay).await;
        }
    }

    /// Returns the current delay and increases the next one.
    fn advance(&mut self) -> Duration {
        let delay = self.next_delay;
        self.next_delay = (2 * delay).clamp(FIRST_DELAY, MAX_DELAY);
        delay
    }
}

#[cfg(test)]
mod tests;

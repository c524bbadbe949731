//! Rate limiting for log messages about frequent events.

use badgerpost_balancer::Nanos;

use crate::clock::Clock;

/// The minimum time between two messages.
const MIN_LOG_INTERVAL_NS: Nanos = 5_000_000_000;

/// Logs at most one message in 5 s and counts the suppressed ones.
pub struct LogLimiter {
    clock: Clock,
    last_logged_at: Option<Nanos>,
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limiter that does not suppress the first message.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            last_logged_at: None,
            suppressed: 0,
        }
    }

    /// Calls `log` with the number of messages suppressed since the last call of `log`. Suppresses the message instead
    /// if that call was less than 5 s ago.
    pub fn log(&mut self, log: impl FnOnce(u64)) {
        let now = self.clock.now();
        let is_too_early = self
            .last_logged_at
            .is_some_and(|at| now.saturating_sub(at) < MIN_LOG_INTERVAL_NS);
        if is_too_early {
            self.suppressed += 1;
            return;
        }
        self.last_logged_at = Some(now);
        log(std::mem::take(&mut self.suppressed));
    }
}

#[cfg(test)]
mod tests;

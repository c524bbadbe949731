//! Rate-limited logging: a message about something that happens a thousand times a second must not fill the log.

use badgerpost_balancer::Nanos;

use crate::clock::Clock;

/// The least time between two messages, in nanoseconds.
const LOG_INTERVAL: Nanos = 5_000_000_000;

/// Lets one message through in 5 s and counts the others.
pub struct LogLimiter {
    clock: Clock,
    last_logged_at: Option<Nanos>,
    suppressed: u64,
}

impl LogLimiter {
    /// A limiter that lets the first message through.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            last_logged_at: None,
            suppressed: 0,
        }
    }

    /// Calls `log` with the number of messages suppressed since the last one, unless that was less than 5 s ago.
    pub fn log(&mut self, log: impl FnOnce(u64)) {
        let now = self.clock.now();
        let is_too_early = self
            .last_logged_at
            .is_some_and(|at| now.saturating_sub(at) < LOG_INTERVAL);
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

//! Rate-limited logging: what goes wrong a thousand times a second must not fill the log, nor cost the time of it.

use badgerpost_balancer::Nanos;

use crate::clock::Clock;

/// One line of a kind in this span.
const SPAN: Nanos = 5_000_000_000;

/// Lets one line through in 5 s, and counts the rest.
pub struct LogLimiter {
    clock: Clock,
    last: Option<Nanos>,
    suppressed: u64,
}

impl LogLimiter {
    /// Lets the first line through.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            last: None,
            suppressed: 0,
        }
    }

    /// Calls `log` with the number of lines that were suppressed since the last one, unless that was less than 5 s ago.
    pub fn log(&mut self, log: impl FnOnce(u64)) {
        let now = self.clock.now();
        if self.last.is_some_and(|at| now.saturating_sub(at) < SPAN) {
            self.suppressed += 1;
            return;
        }
        self.last = Some(now);
        log(std::mem::take(&mut self.suppressed));
    }
}

#[cfg(test)]
mod tests;

//! Discovery polling: backoff after failed calls to discovery.

use crate::api::Nanos;
use crate::random::Random;
use badgerpost_time::{MILLISECOND, nanos_from_f64};

/// Backoff after the first failed call to discovery; doubled for each further one. Short, because changes count as
/// known 6 s after discovery is reachable again, and the call itself takes time too.
const BACKOFF_BASE: Nanos = 300 * MILLISECOND;
/// Maximum number of doublings of the backoff.
const BACKOFF_MAX_DOUBLINGS: u32 = 3;
/// Lower bound of the random factor on the backoff.
const BACKOFF_MIN_FACTOR: f64 = 0.75;
/// Width of the range of the random factor on the backoff.
const BACKOFF_JITTER: f64 = 0.5;

/// Number of consecutive failed calls to discovery, and the time of the next call.
#[derive(Default)]
pub(crate) struct DiscoveryPolling {
    next_poll_at: Option<Nanos>,
    failures: u32,
}

impl DiscoveryPolling {
    /// Resets the backoff after a successful call.
    pub(crate) fn reset_backoff(&mut self) {
        self.failures = 0;
    }

    /// Schedules the next call after a failed one.
    pub(crate) fn schedule_poll_backoff(&mut self, now: Nanos, random: &mut Random) {
        let backoff = BACKOFF_BASE << self.failures.min(BACKOFF_MAX_DOUBLINGS);
        let factor = BACKOFF_MIN_FACTOR + BACKOFF_JITTER * random.draw();
        let delay = nanos_from_f64(backoff as f64 * factor);
        self.failures += 1;
        self.next_poll_at = Some(now + delay);
    }

    /// Time of the next call; `None` if no call is scheduled.
    pub(crate) fn next_poll_at(&self) -> Option<Nanos> {
        self.next_poll_at
    }

    /// Whether a call is due now; a due call is removed from the schedule.
    pub(crate) fn take_due_poll(&mut self, now: Nanos) -> bool {
        let is_due = self.next_poll_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_poll_at = None;
        }
        is_due
    }
}

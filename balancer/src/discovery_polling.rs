//! Discovery polling: when a failed call to discovery is made again.

use crate::api::Nanos;
use crate::random::Random;
use badgerpost_time::{MILLISECOND, nanos_from_f64};

/// First backoff after a failed call to discovery; doubled each time. Kept short, as changes count as known 6 s after
/// discovery can be reached again, and the call itself takes time too.
const BACKOFF_BASE: Nanos = 300 * MILLISECOND;
/// Most doublings of the backoff.
const BACKOFF_MAX_DOUBLINGS: u32 = 3;
/// Least factor on the backoff.
const BACKOFF_MIN_FACTOR: f64 = 0.75;
/// The factor is larger by up to this, by chance.
const BACKOFF_JITTER: f64 = 0.5;

/// Number of calls to discovery that have failed in a row, and the time of the next one.
#[derive(Default)]
pub(crate) struct DiscoveryPolling {
    next_poll_at: Option<Nanos>,
    failures: u32,
}

impl DiscoveryPolling {
    /// A call has succeeded.
    pub(crate) fn reset_backoff(&mut self) {
        self.failures = 0;
    }

    /// A call has failed: sets the time of the next one.
    pub(crate) fn schedule_poll_backoff(&mut self, now: Nanos, random: &mut Random) {
        let backoff = BACKOFF_BASE << self.failures.min(BACKOFF_MAX_DOUBLINGS);
        let factor = BACKOFF_MIN_FACTOR + BACKOFF_JITTER * random.draw();
        let delay = nanos_from_f64(backoff as f64 * factor);
        self.failures += 1;
        self.next_poll_at = Some(now + delay);
    }

    /// When the next call is due, if one is.
    pub(crate) fn next_poll_at(&self) -> Option<Nanos> {
        self.next_poll_at
    }

    /// Whether a call is due now; if so, it counts as made.
    pub(crate) fn take_due_poll(&mut self, now: Nanos) -> bool {
        let is_due = self.next_poll_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_poll_at = None;
        }
        is_due
    }
}

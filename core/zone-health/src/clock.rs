//! The monitor's clock: the caller's time, the time during which this process was awake, and the pending timer.
//!
//! Public instants are on the caller's clock. Instants named `awake_..`, and all instants inside a zone's state and
//! evidence, are on the awake clock, which stands still while this process is suspended.

use badgerpost_time::{MILLISECOND, Nanos};

/// A timer that fires later than this means that the process was suspended: nothing that happened meanwhile, or
/// rather did not happen, is evidence about other processes.
const SUSPENSION_THRESHOLD: Nanos = 20 * MILLISECOND;

/// Keeps the caller's clock from stepping back, and detects suspensions of the process by late timers.
#[derive(Debug)]
pub(crate) struct MonitorClock {
    now: Nanos,
    /// Total time during which the process was suspended.
    suspended_duration: Nanos,
    /// When the pending timer fires; an instant in the past means that there is none.
    timer_at: Option<Nanos>,
}

impl MonitorClock {
    /// A clock that starts at `now`, without a timer.
    pub(crate) fn new(now: Nanos) -> Self {
        Self {
            now,
            suspended_duration: 0,
            timer_at: None,
        }
    }

    /// Advances to `now`. If the pending timer is overdue, the time since it should have fired counts as suspension.
    pub(crate) fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if let Some(timer_at) = self.timer_at
            && self.now > timer_at + SUSPENSION_THRESHOLD
        {
            self.suspended_duration += self.now - timer_at;
            self.timer_at = Some(self.now);
        }
    }

    /// The caller's time, which never steps back.
    pub(crate) fn now(&self) -> Nanos {
        self.now
    }

    /// The time on the awake clock: the caller's time less all suspensions.
    pub(crate) fn awake_now(&self) -> Nanos {
        self.now - self.suspended_duration.min(self.now)
    }

    /// Converts an instant on the awake clock to the caller's clock, assuming no further suspension.
    pub(crate) fn to_caller_time(&self, awake_at: Nanos) -> Nanos {
        awake_at + self.suspended_duration
    }

    /// Whether a timer is pending.
    pub(crate) fn has_timer(&self) -> bool {
        self.timer_at.is_some()
    }

    /// Records that the timer has fired.
    pub(crate) fn clear_timer(&mut self) {
        self.timer_at = None;
    }

    /// Moves the timer to `at`, unless the pending one fires earlier or at most `tolerance` later. Returns whether
    /// the timer was moved.
    pub(crate) fn move_timer(&mut self, at: Nanos, tolerance: Nanos) -> bool {
        let is_needed = self
            .timer_at
            .is_none_or(|timer_at| timer_at <= self.now || at + tolerance < timer_at);
        if is_needed {
            self.timer_at = Some(at);
        }
        is_needed
    }
}

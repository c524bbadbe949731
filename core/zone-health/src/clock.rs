//! The monitor's clocks (the caller's clock and the awake clock) and the pending timer.
//!
//! Public instants are on the caller's clock. Instants named `awake_..`, and all instants in a zone's state and
//! evidence, are on the awake clock, which stops while this process is suspended.

use badgerpost_time::{MILLISECOND, Nanos};

/// Delay of a timer above which the process counts as suspended. Responses that are missing during a suspension are no
/// evidence about other processes.
const SUSPENSION_THRESHOLD: Nanos = 20 * MILLISECOND;

/// Monotonic view of the caller's clock that detects suspensions of the process by late timers.
#[derive(Debug)]
pub(crate) struct MonitorClock {
    now: Nanos,
    /// Total time during which the process was suspended.
    suspended_duration: Nanos,
    /// When the pending timer fires. A timer in the past does not prevent a new one.
    timer_at: Option<Nanos>,
}

impl MonitorClock {
    /// Creates a clock that starts at `now`, without a timer.
    pub(crate) fn new(now: Nanos) -> Self {
        Self {
            now,
            suspended_duration: 0,
            timer_at: None,
        }
    }

    /// Advances to `now`; an earlier instant has no effect. If the pending timer is overdue by more than
    /// [`SUSPENSION_THRESHOLD`], the time since the timer was due counts as suspension.
    pub(crate) fn advance(&mut self, now: Nanos) {
        self.now = self.now.max(now);
        if let Some(timer_at) = self.timer_at
            && self.now > timer_at + SUSPENSION_THRESHOLD
        {
            self.suspended_duration += self.now - timer_at;
            self.timer_at = Some(self.now);
        }
    }

    /// The latest time on the caller's clock, which never decreases.
    pub(crate) fn now(&self) -> Nanos {
        self.now
    }

    /// The time on the awake clock: the caller's time minus all suspensions.
    pub(crate) fn awake_now(&self) -> Nanos {
        self.now - self.suspended_duration.min(self.now)
    }

    /// Converts an instant on the awake clock to the caller's clock, assuming no further suspension.
    pub(crate) fn to_caller_time(&self, awake_at: Nanos) -> Nanos {
        awake_at + self.suspended_duration
    }

    pub(crate) fn has_timer(&self) -> bool {
        self.timer_at.is_some()
    }

    /// Records that the timer has fired.
    pub(crate) fn clear_timer(&mut self) {
        self.timer_at = None;
    }

    /// Moves the timer to `at`, unless the pending timer fires before `at` or at most `tolerance` later. Returns
    /// whether the timer was moved.
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

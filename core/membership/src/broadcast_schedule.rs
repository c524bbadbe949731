//! Schedules the gossip that is sent between foca's periodic rounds: immediately, but with a minimum interval.

use badgerpost_time::{MILLISECOND, Nanos};

/// The minimum time between two broadcasts.
const MIN_BROADCAST_INTERVAL: Nanos = 20 * MILLISECOND;

/// The schedule of one member's broadcasts.
#[derive(Debug, Default)]
pub(crate) struct BroadcastSchedule {
    /// `None` while no broadcast is scheduled.
    due_at: Option<Nanos>,
    last_sent_at: Nanos,
}

impl BroadcastSchedule {
    /// Schedules a broadcast for the earliest allowed time, unless a broadcast is already scheduled.
    pub(crate) fn request(&mut self, now: Nanos) {
        let earliest = self.last_sent_at.saturating_add(MIN_BROADCAST_INTERVAL);
        self.due_at.get_or_insert(now.max(earliest));
    }

    /// The time of the scheduled broadcast.
    pub(crate) fn due_at(&self) -> Option<Nanos> {
        self.due_at
    }

    /// Returns whether a broadcast is due. A due broadcast is removed from the schedule and recorded as sent.
    pub(crate) fn take_due(&mut self, now: Nanos) -> bool {
        if self.due_at.is_none_or(|due_at| due_at > now) {
            return false;
        }
        self.due_at = None;
        self.last_sent_at = now;
        true
    }
}

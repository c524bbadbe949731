//! When gossip is sent besides the periodic rounds: at once, with a minimum interval.

use badgerpost_time::{MILLISECOND, Nanos};

/// Least time between two broadcasts.
const MIN_BROADCAST_INTERVAL: Nanos = 20 * MILLISECOND;

/// Schedule of one member's broadcasts.
#[derive(Debug, Default)]
pub(crate) struct BroadcastSchedule {
    due_at: Option<Nanos>,
    last_sent_at: Nanos,
}

impl BroadcastSchedule {
    /// Schedules a broadcast for the earliest time allowed, unless one is scheduled already.
    pub(crate) fn request(&mut self, now: Nanos) {
        let earliest = self.last_sent_at.saturating_add(MIN_BROADCAST_INTERVAL);
        self.due_at.get_or_insert(now.max(earliest));
    }

    /// Time of the next broadcast.
    pub(crate) fn due_at(&self) -> Option<Nanos> {
        self.due_at
    }

    /// Whether a broadcast is due; it then counts as sent.
    pub(crate) fn take_due(&mut self, now: Nanos) -> bool {
        if self.due_at.is_none_or(|due_at| due_at > now) {
            return false;
        }
        self.due_at = None;
        self.last_sent_at = now;
        true
    }
}

//! Notices that the process has stood still: it was stopped, or its machine was short of CPU. What arrived meanwhile is
//! seen at once afterwards, and says nothing of how long the other side has taken for it.

use std::cell::Cell;
use std::time::Duration;

use badgerpost_balancer::Nanos;

use crate::clock::nanos;

/// A heartbeat that is this much too late tells of a pause: longer than what a busy node's tasks take in one turn.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// How long after a pause what had arrived in it is still being handled.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// The regular heartbeats of one process.
#[derive(Debug, Default)]
pub(crate) struct Heartbeat {
    /// When the next one is due; none before the first.
    due_at: Cell<Option<Nanos>>,
    /// When the process went on after its last pause; none without a pause.
    resumed_at: Cell<Option<Nanos>>,
}

impl Heartbeat {
    /// The next heartbeat is due at this time.
    pub(crate) fn expect(&self, due_at: Nanos) {
        self.due_at.set(Some(due_at));
    }

    /// The heartbeat that was due.
    pub(crate) fn beat(&self, now: Nanos) {
        if self.is_late(now) {
            self.resumed_at.set(Some(now));
        }
        self.due_at.set(None);
    }

    /// Whether the process has stood still since then, and has gone on only a moment ago.
    pub(crate) fn has_just_resumed(&self, now: Nanos, since: Nanos) -> bool {
        // The first that goes on after a pause need not be the heartbeat.
        if self.is_late(now) {
            return true;
        }
        self.resumed_at.get().is_some_and(|resumed_at| {
            since < resumed_at && now < resumed_at.saturating_add(nanos(CATCH_UP_TIME))
        })
    }

    fn is_late(&self, now: Nanos) -> bool {
        let due_at = self.due_at.get();
        due_at.is_some_and(|due_at| now >= due_at.saturating_add(nanos(MIN_PAUSE)))
    }
}

#[cfg(test)]
mod tests;

//! Detects pauses of the process, which occur when the process is stopped or the machine is short of CPU. Data that
//! arrives during a pause is read only after the pause, so the time of its arrival is unknown.

use std::cell::Cell;
use std::time::Duration;

use badgerpost_balancer::Nanos;

use crate::clock::nanos;

/// A heartbeat that is late by at least this much indicates a pause. Must be longer than one turn of the runtime on a
/// busy node.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// How long after a pause data that arrived during the pause may still be waiting to be handled.
const CATCH_UP_TIME: Duration = Duration::from_millis(20);

/// Detects pauses of the process from late heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Heartbeat {
    /// When the next heartbeat is due; `None` if none is scheduled.
    due_at: Cell<Option<Nanos>>,
    /// When the process resumed after its last pause; `None` if there was no pause.
    resumed_at: Cell<Option<Nanos>>,
}

impl Heartbeat {
    /// Schedules the next heartbeat.
    pub(crate) fn schedule(&self, due_at: Nanos) {
        self.due_at.set(Some(due_at));
    }

    /// Records the scheduled heartbeat.
    pub(crate) fn record(&self, now: Nanos) {
        if self.is_late(now) {
            self.resumed_at.set(Some(now));
        }
        self.due_at.set(None);
    }

    /// Whether the process was paused after `since` and has resumed only just now.
    pub(crate) fn has_just_resumed(&self, now: Nanos, since: Nanos) -> bool {
        // After a pause, other tasks may run before the heartbeat does.
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

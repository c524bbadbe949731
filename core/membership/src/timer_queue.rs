//! A queue of the timers that foca has requested.

use std::collections::BTreeMap;

use foca::Timer;

use crate::member_identity::MemberIdentity;
use badgerpost_time::Nanos;

/// The order of timers: by time, then by insertion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_at: Nanos,
    sequence: u64,
}

/// The pending timers. Foca requests only a few timers for each member, which bounds their number.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<TimerKey, Timer<MemberIdentity>>,
    next_sequence: u64,
}

impl TimerQueue {
    pub(crate) fn insert(&mut self, due_at: Nanos, timer: Timer<MemberIdentity>) {
        let key = TimerKey {
            due_at,
            sequence: self.next_sequence,
        };
        self.timers.insert(key, timer);
        self.next_sequence += 1;
    }

    /// The time of the first timer.
    pub(crate) fn next_due_at(&self) -> Option<Nanos> {
        let (key, _) = self.timers.first_key_value()?;
        Some(key.due_at)
    }

    /// Removes and returns the first timer if that timer is due.
    pub(crate) fn pop_due(&mut self, now: Nanos) -> Option<Timer<MemberIdentity>> {
        let first = self.timers.first_entry()?;
        if first.key().due_at > now {
            return None;
        }
        Some(first.remove())
    }
}

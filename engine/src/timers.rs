//! The timers of one engine: the balancer's, the zone monitor's and the backstops of open requests, in one ordered
//! set.

use std::collections::BTreeSet;

use badgerpost_balancer::{Nanos, RequestId};

/// What happens when a timer fires. Of timers due at the same time, those of an earlier variant fire first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerPurpose {
    /// The balancer gets its timer event, with this token.
    Balancer(u64),
    /// The zone monitor gets its timer event.
    ZoneMonitor,
    /// A request that has no outcome yet fails.
    Backstop(RequestId),
}

/// All timers of an engine. Bounded by its open requests and the balancer's timers, of which there is one.
#[derive(Default)]
pub(crate) struct Timers(BTreeSet<(Nanos, TimerPurpose)>);

impl Timers {
    /// Adds a timer. Returns whether it fires before all others, so that whoever waits for the first one has to wait
    /// for less.
    #[must_use = "whoever waits for the first timer must learn of an earlier one"]
    pub(crate) fn set(&mut self, at: Nanos, purpose: TimerPurpose) -> bool {
        let is_first = self.next_at().is_none_or(|next| at < next);
        self.0.insert((at, purpose));
        is_first
    }

    /// Removes a timer, if it is set.
    pub(crate) fn clear(&mut self, at: Nanos, purpose: TimerPurpose) {
        self.0.remove(&(at, purpose));
    }

    /// When the next timer fires.
    pub(crate) fn next_at(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes the next timer and returns its purpose, if it is due.
    pub(crate) fn pop_expired(&mut self, now: Nanos) -> Option<TimerPurpose> {
        if self.next_at().is_none_or(|at| at > now) {
            return None;
        }
        self.0.pop_first().map(|(_, purpose)| purpose)
    }

    /// Whether a timer is set whose purpose fulfils this condition.
    #[cfg(test)]
    pub(crate) fn any(&self, condition: impl Fn(&TimerPurpose) -> bool) -> bool {
        self.0.iter().any(|(_, purpose)| condition(purpose))
    }
}

//! The timers of one engine in an ordered set: the balancer's timer, the zone monitor's timer, and the fallback
//! timeouts of open requests.

use std::collections::BTreeSet;

use badgerpost_balancer::{Nanos, RequestId};

/// What happens when a timer fires. Timers that are due at the same time fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerPurpose {
    /// The balancer receives its timer event with this token.
    Balancer(u64),
    /// The zone monitor receives its timer event.
    ZoneMonitor,
    /// The engine fails the request if the balancer has not ended it.
    FallbackTimeout(RequestId),
}

/// All timers of an engine: at most one for each open request, one for the zone monitor and one for the balancer.
#[derive(Default)]
pub(crate) struct Timers(BTreeSet<(Nanos, TimerPurpose)>);

impl Timers {
    /// Adds a timer. Returns whether the timer fires before all others.
    #[must_use = "the task that waits for the next timer must be notified of an earlier one"]
    pub(crate) fn set(&mut self, at: Nanos, purpose: TimerPurpose) -> bool {
        let is_first = self.next_at().is_none_or(|next| at < next);
        self.0.insert((at, purpose));
        is_first
    }

    /// Removes a timer. Does nothing if the timer is not set.
    pub(crate) fn clear(&mut self, at: Nanos, purpose: TimerPurpose) {
        self.0.remove(&(at, purpose));
    }

    /// When the next timer fires.
    pub(crate) fn next_at(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes the next timer if it is due, and returns the timer's purpose.
    pub(crate) fn pop_expired(&mut self, now: Nanos) -> Option<TimerPurpose> {
        if self.next_at().is_none_or(|at| at > now) {
            return None;
        }
        self.0.pop_first().map(|(_, purpose)| purpose)
    }

    #[cfg(test)]
    pub(crate) fn any(&self, condition: impl Fn(&TimerPurpose) -> bool) -> bool {
        self.0.iter().any(|(_, purpose)| condition(purpose))
    }
}

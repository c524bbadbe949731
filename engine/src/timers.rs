//! What is due and when: the module's wake-ups and the engine's own backstops, one ordered set for both.

use std::collections::BTreeSet;

use badgerpost_balancer::{Nanos, RequestId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerPurpose {
    /// The module asked to be woken, with this token.
    Module(u64),
    /// The watch over the zones asked to be woken.
    Zones,
    /// A request should have been answered by now.
    Backstop(RequestId),
}

/// All timers of an engine. Bounded by its open requests, and by the module's wake-ups, of which it keeps one.
#[derive(Default)]
pub(crate) struct Timers(BTreeSet<(Nanos, TimerPurpose)>);

impl Timers {
    /// Adds one; whether it is now the first of all, so that whoever waits has to wait for less.
    pub(crate) fn set(&mut self, at: Nanos, due: TimerPurpose) -> bool {
        let first = self.first().is_none_or(|first| at < first);
        self.0.insert((at, due));
        first
    }

    /// Takes one back.
    pub(crate) fn clear(&mut self, at: Nanos, due: TimerPurpose) {
        self.0.remove(&(at, due));
    }

    /// When the first one is due.
    pub(crate) fn first(&self) -> Option<Nanos> {
        self.0.first().map(|(at, _)| *at)
    }

    /// The first one, if it is due.
    pub(crate) fn take_due(&mut self, now: Nanos) -> Option<TimerPurpose> {
        if self.first().is_none_or(|at| at > now) {
            return None;
        }
        self.0.pop_first().map(|(_, due)| due)
    }

    /// Whether any is set that `wanted` picks.
    #[cfg(test)]
    pub(crate) fn any(&self, wanted: impl Fn(&TimerPurpose) -> bool) -> bool {
        self.0.iter().any(|(_, due)| wanted(due))
    }
}

//! Decides which call to discovery comes next, how long it may take, and how long to back off after a failure. No I/O
//! and no clock: a [`PollSchedule`] is told how calls ended.
//!
//! An update has to be in force 6 s after discovery had it and could be reached, and 2 s after the end of a watch's
//! hold, whatever became of the call that should have brought it. Calls to an agent beside the node cost nothing, and all
//! waits together stay under that limit: a watch that times out costs its hold, [`WATCH_GRACE`], a connect and a
//! response. A service that all nodes poll bears about one call from each in 5 to 8 s, so that watches there are held
//! for longer, and for a random time: nodes whose watches time out together would call again together, and the last of
//! them would be answered seconds later.

use std::time::Duration;

/// A response to a watch that is later than its hold by this much does not come any more.
const WATCH_GRACE: Duration = Duration::from_millis(700);

/// The time limits of calls to one kind of discovery.
struct PollTimings {
    /// The shortest hold of a watch.
    min_watch_hold: Duration,
    /// The longest hold of a watch.
    max_watch_hold: Duration,
    /// How long the response to a call that is answered at once may take.
    response_timeout: Duration,
    /// The time without a response after which such a call is made again beside the first.
    hedge_delay: Duration,
    /// The backoff after a first failure; it doubles with each further one.
    initial_backoff: Duration,
    /// The longest backoff.
    max_backoff: Duration,
    /// Whether the call after a failure asks for a snapshot.
    snapshot_after_failure: bool,
}

/// An agent beside the node, to which discovery pushes. It is silent while discovery is down, and never answers calls
/// made then; updates that it gets at the return of discovery count at once. So calls are hedged after a time in which
/// the one before may only be late, and the backoff is next to none. A snapshot costs nothing, and an agent that has
/// restarted may count versions from the beginning.
const AGENT_TIMINGS: PollTimings = PollTimings {
    min_watch_hold: Duration::from_secs(2),
    max_watch_hold: Duration::from_secs(2),
    response_timeout: Duration::from_secs(1),
    hedge_delay: Duration::from_millis(150),
    initial_backoff: Duration::from_millis(50),
    max_backoff: Duration::from_millis(100),
    snapshot_after_failure: true,
};

/// A service that all nodes poll. It responds once it has come round to the call. The balancer itself asks for the call
/// after a failure; the backoff is there in case it does not.
const SERVICE_TIMINGS: PollTimings = PollTimings {
    min_watch_hold: Duration::from_secs(8),
    max_watch_hold: Duration::from_secs(16),
    response_timeout: Duration::from_secs(3),
    hedge_delay: Duration::from_secs(3),
    initial_backoff: Duration::from_secs(4),
    max_backoff: Duration::from_secs(4),
    snapshot_after_failure: false,
};

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollKind {
    /// The whole list.
    Snapshot,
    /// Changes since a version, if any, at once.
    Delta,
    /// Changes from a version on, as soon as there are any; held open for this long.
    Watch(Duration),
}

/// One call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollCall {
    pub(crate) kind: PollKind,
    /// When to give up.
    pub(crate) timeout: Duration,
    /// The time without a response after which the same call is made again beside it, and again.
    pub(crate) hedge_delay: Duration,
}

/// What follows a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Backoff {
    /// How long to wait before the next call.
    pub(crate) delay: Duration,
    /// Whether that call has to ask for a snapshot.
    pub(crate) needs_snapshot: bool,
}

/// Schedules the calls to discovery.
pub(crate) struct PollSchedule {
    timings: &'static PollTimings,
    /// The state of the random numbers.
    random_state: u64,
    /// The last watch timed out: what it missed is asked for before the next one.
    needs_delta: bool,
    next_backoff: Duration,
}

impl PollSchedule {
    /// The schedule of a node that polls the discovery service, or of one with an agent beside it. The seed drives how
    /// long watches are held.
    pub(crate) fn new(polls_service: bool, seed: u64) -> Self {
        let timings = if polls_service {
            &SERVICE_TIMINGS
        } else {
            &AGENT_TIMINGS
        };
        Self {
            timings,
            random_state: seed,
            needs_delta: false,
            next_backoff: timings.initial_backoff,
        }
    }

    /// Forgets the calls so far, as the address has changed.
    pub(crate) fn reset(&mut self) {
        self.needs_delta = false;
        self.next_backoff = self.timings.initial_backoff;
    }

    /// The next call, for a node that needs a snapshot, or knows a version.
    pub(crate) fn next_call(&mut self, needs_snapshot: bool) -> PollCall {
        if needs_snapshot {
            return self.immediate_call(PollKind::Snapshot);
        }
        if self.needs_delta {
            return self.immediate_call(PollKind::Delta);
        }
        let PollTimings {
            min_watch_hold: min,
            max_watch_hold: max,
            ..
        } = *self.timings;
        let hold = min + (max - min).mul_f64(self.random_fraction());
        PollCall {
            kind: PollKind::Watch(hold),
            timeout: hold + WATCH_GRACE,
            hedge_delay: hold + WATCH_GRACE,
        }
    }

    /// A call that is answered at once.
    fn immediate_call(&self, kind: PollKind) -> PollCall {
        PollCall {
            kind,
            timeout: self.timings.response_timeout,
            hedge_delay: self.timings.hedge_delay,
        }
    }

    /// A call has brought a list.
    pub(crate) fn succeeded(&mut self) {
        self.reset();
    }

    /// A watch has timed out. Nothing was rejected, so that what it missed is asked for at once.
    pub(crate) fn watch_timed_out(&mut self) {
        self.needs_delta = true;
    }

    /// A call has failed.
    pub(crate) fn failed(&mut self) -> Backoff {
        let delay = self.next_backoff;
        self.next_backoff = (delay * 2).min(self.timings.max_backoff);
        Backoff {
            delay,
            needs_snapshot: self.timings.snapshot_after_failure,
        }
    }

    /// A random number from 0 to 1, by SplitMix64.
    fn random_fraction(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;

//! Decides which call to discovery comes next, its timeout, and the backoff after a failure. A [`PollSchedule`] does no
//! I/O and reads no clock.
//!
//! An update has to be in force within 6 s after discovery has it and can be reached, and within 2 s after the end of a
//! watch's hold, even if a call fails. Calls to an agent on the same host are cheap, and their waits together stay
//! below these limits: a watch that times out takes its hold, [`WATCH_GRACE`], a connect and a response. A discovery
//! service that all nodes poll can serve each node about once in 5 to 8 s. Watches of the service are therefore held
//! for longer, and for a random time, so that nodes whose watches time out do not all call again at the same moment.

use std::time::Duration;

/// How long after its hold the response to a watch may arrive.
const WATCH_GRACE: Duration = Duration::from_millis(700);

/// The time limits of calls to one kind of discovery.
struct PollTimings {
    /// The shortest hold of a watch.
    min_watch_hold: Duration,
    /// The longest hold of a watch.
    max_watch_hold: Duration,
    /// How long the response to a snapshot or delta call may take.
    response_timeout: Duration,
    /// Time without a response after which a snapshot or delta call is repeated in parallel.
    hedge_delay: Duration,
    /// Backoff after the first failure. Doubles with each further failure.
    initial_backoff: Duration,
    max_backoff: Duration,
    /// Whether the call after a failure requests a snapshot.
    snapshot_after_failure: bool,
}

/// Timings for an agent on the same host, to which discovery pushes updates. While discovery is down, the agent does
/// not respond, and it never answers the calls of that time. Once discovery is back, updates have to be in force
/// quickly. So calls are hedged early, and the backoff is minimal. Snapshots are cheap, and needed because a restarted
/// agent may restart its versions.
const AGENT_TIMINGS: PollTimings = PollTimings {
    min_watch_hold: Duration::from_secs(2),
    max_watch_hold: Duration::from_secs(2),
    response_timeout: Duration::from_secs(1),
    hedge_delay: Duration::from_millis(150),
    initial_backoff: Duration::from_millis(50),
    max_backoff: Duration::from_millis(100),
    snapshot_after_failure: true,
};

/// Timings for a discovery service that all nodes poll. Responses may be slow, as the service handles the calls of all
/// nodes in turn. Usually the balancer requests the call after a failure; the backoff covers the case that it does not.
const SERVICE_TIMINGS: PollTimings = PollTimings {
    min_watch_hold: Duration::from_secs(8),
    max_watch_hold: Duration::from_secs(16),
    response_timeout: Duration::from_secs(3),
    hedge_delay: Duration::from_secs(3),
    initial_backoff: Duration::from_secs(4),
    max_backoff: Duration::from_secs(4),
    snapshot_after_failure: false,
};

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollKind {
    /// The whole list.
    Snapshot,
    /// The changes since a version, without waiting for any.
    Delta,
    /// The changes since a version. The call is held open for up to this long until there is a change.
    Watch(Duration),
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollCall {
    pub(crate) kind: PollKind,
    pub(crate) timeout: Duration,
    /// Time without a response after which the same call is repeated in parallel, again and again.
    pub(crate) hedge_delay: Duration,
}

/// How to continue after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Backoff {
    /// Time until the next call.
    pub(crate) delay: Duration,
    /// Whether the next call has to request a snapshot.
    pub(crate) needs_snapshot: bool,
}

/// Schedules the calls to discovery.
pub(crate) struct PollSchedule {
    timings: &'static PollTimings,
    /// State of the pseudorandom number generator.
    random_state: u64,
    /// Whether the last watch timed out, so that the next call requests the changes that it may have missed.
    needs_delta: bool,
    next_backoff: Duration,
}

impl PollSchedule {
    /// Creates the schedule of a node that polls the discovery service, or of one with an agent on its host. `seed`
    /// randomizes how long watches are held open.
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

    /// Resets the schedule. Called after a success, and when the address of discovery has changed.
    pub(crate) fn reset(&mut self) {
        self.needs_delta = false;
        self.next_backoff = self.timings.initial_backoff;
    }

    /// The next call. `needs_snapshot` is whether the node has no version to request changes from.
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

    /// A call to which discovery responds without a hold.
    fn immediate_call(&self, kind: PollKind) -> PollCall {
        PollCall {
            kind,
            timeout: self.timings.response_timeout,
            hedge_delay: self.timings.hedge_delay,
        }
    }

    /// Called when a call has returned a list.
    pub(crate) fn succeeded(&mut self) {
        self.reset();
    }

    /// Called when a watch has timed out. The next call requests the missed changes without a backoff.
    pub(crate) fn watch_timed_out(&mut self) {
        self.needs_delta = true;
    }

    /// Called when any other call has failed.
    pub(crate) fn failed(&mut self) -> Backoff {
        let delay = self.next_backoff;
        self.next_backoff = (delay * 2).min(self.timings.max_backoff);
        Backoff {
            delay,
            needs_snapshot: self.timings.snapshot_after_failure,
        }
    }

    /// A pseudorandom number from 0 to 1 (SplitMix64).
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

//! Which call to discovery comes next, how long it may take, and how long a failure is waited out. No I/O and no clock:
//! [`PollSchedule`] is told how calls ended.
//!
//! A change has to be in force 6 s after discovery had it and could be reached, and 2 s after the end of a wait that was
//! asked for, whatever became of the call that should have brought it. Beside an agent calls cost nothing, and all waits
//! together stay under that: a watch that has fallen silent costs its hold, [`LATE`], a connect and an answer. A service
//! that all nodes ask bears about one call from each in 5 to 8 s, so that watches there have to wait for longer, and for
//! a time of each node's own: nodes whose watches fall silent together would ask again together, and the last of them
//! would be answered seconds later.

use std::time::Duration;

/// Least and most that a watch waits.
const HOLD_PUSHED: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(2));
const HOLD_ASKED: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(16));
/// An answer this long after the wait was over does not come any more.
const LATE: Duration = Duration::from_millis(700);
/// What is answered at once: by an agent, or once the service has come round to the call.
const AT_ONCE_PUSHED: Duration = Duration::from_secs(1);
const AT_ONCE_ASKED: Duration = Duration::from_secs(3);
/// An agent is silent while discovery is down, and answers nothing that it was asked then; what it gets at the return
/// counts at once. So it is asked again after this, beside the calls before, of which one may only be late.
const BESIDE_PUSHED: Duration = Duration::from_millis(150);
/// First and last wait after a failure: next to none beside an agent, for the same reason. Where discovery is asked the
/// module calls for the next try itself, and the wait is only there in case it does not.
const AGAIN_PUSHED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(100));
const AGAIN_ASKED: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(4));

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollKind {
    /// The whole list.
    Snapshot,
    /// What has changed since a version, if anything, at once.
    Delta,
    /// What changes from that version on, within this time.
    Watch(Duration),
}

/// One call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollCall {
    pub(crate) want: PollKind,
    /// Given up after so long.
    pub(crate) most: Duration,
    /// Made once more after so long with no answer, and again, beside itself.
    pub(crate) beside: Duration,
}

/// Keeps the pace of the calls.
pub(crate) struct PollSchedule {
    asked: bool,
    /// The state of the draws.
    random: u64,
    /// The watch before has fallen silent.
    check: bool,
    wait: Duration,
}

impl PollSchedule {
    /// The pace where discovery is asked, or is an agent beside the node. The seed drives the waits.
    pub(crate) fn new(asked: bool, seed: u64) -> Self {
        let mut pace = Self {
            asked,
            random: seed,
            check: false,
            wait: Duration::ZERO,
        };
        pace.begin();
        pace
    }

    fn again(&self) -> (Duration, Duration) {
        if self.asked {
            AGAIN_ASKED
        } else {
            AGAIN_PUSHED
        }
    }

    /// Begins anew, at another address.
    pub(crate) fn begin(&mut self) {
        (self.check, self.wait) = (false, self.again().0);
    }

    /// The next call, for one who knows a version or needs the whole list.
    pub(crate) fn next(&mut self, whole: bool) -> PollCall {
        if whole || self.check {
            let want = if whole {
                PollKind::Snapshot
            } else {
                PollKind::Delta
            };
            return match self.asked {
                true => PollCall {
                    want,
                    most: AT_ONCE_ASKED,
                    beside: AT_ONCE_ASKED,
                },
                false => PollCall {
                    want,
                    most: AT_ONCE_PUSHED,
                    beside: BESIDE_PUSHED,
                },
            };
        }
        let (least, most) = if self.asked { HOLD_ASKED } else { HOLD_PUSHED };
        let hold = least + (most - least).mul_f64(self.draw());
        PollCall {
            want: PollKind::Watch(hold),
            most: hold + LATE,
            beside: hold + LATE,
        }
    }

    /// A call has brought a list.
    pub(crate) fn answered(&mut self) {
        self.begin();
    }

    /// A watch has fallen silent: nobody has refused anything, so that what was missed is asked for at once.
    pub(crate) fn silent(&mut self) {
        self.check = true;
    }

    /// A call has failed: how long to wait before the next, and whether that one had better ask for the whole list. That
    /// costs nothing beside an agent, and an agent that has started anew may count its versions from the beginning.
    pub(crate) fn failed(&mut self) -> (Duration, bool) {
        let wait = self.wait;
        self.wait = (wait * 2).min(self.again().1);
        (wait, !self.asked)
    }

    /// A number from 0 to 1.
    fn draw(&mut self) -> f64 {
        // SplitMix64.
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;

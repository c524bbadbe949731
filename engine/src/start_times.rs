//! Estimates when backends started, on the engine's clock. The endpoint list gives start times in Unix time. The node's
//! wall clock may be wrong by seconds or by an hour, and may step while the node runs.
//!
//! The rules, in order of precedence:
//!
//! 1. A known start keeps its estimate, even if the backend was missing from the list in between.
//! 2. No start in a list lies in the future of the clock of the list's writer. The latest start that was ever listed is
//!    therefore a lower bound for that clock. In every list but the first, a new start's age is computed from this
//!    bound, or from the wall clock if that age is lower and not negative.
//! 3. The first list has no predecessor that would tell new starts from old ones, so ages are computed from the wall
//!    clock, unless a start lies in the wall clock's future. A wall clock that is behind by more than a minute is
//!    assumed to be behind by an hour. A start slightly more than an hour ago is assumed to be a recent start read with
//!    a clock that is an hour ahead, unless a later start rules that out. If the wall clock is stepped back afterwards,
//!    the starts from the first list are moved forward while their backends may still be in slow start.

use std::collections::HashMap;

use badgerpost_balancer::Nanos;

use badgerpost_time::MILLISECOND;

const SECOND: i64 = 1_000_000_000;
const HOUR: i64 = 3600 * SECOND;
/// A wall clock that is behind by more than this is assumed to be behind by an hour.
const MAX_SMALL_LAG_NS: i64 = 60 * SECOND;
/// The largest deviation from an hour of a wall clock error that counts as an hour.
const HOUR_ERROR_TOLERANCE_NS: i64 = 5 * SECOND;
/// Smaller changes of the wall clock relative to the engine's clock do not count as a step.
const MIN_CLOCK_STEP_NS: i64 = SECOND / 2;
/// The number of starts of unlisted backends to keep, in addition to one for each listed backend.
const MAX_UNLISTED_STARTS: usize = 1024;

/// A time, or a difference between two times, in nanoseconds. May be negative.
type SignedNanos = i64;

/// The time at which an endpoint list was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListTime {
    /// The time on the engine's clock.
    pub(crate) now: Nanos,
    /// How far the wall clock is ahead of the engine's clock, in nanoseconds; negative if the wall clock is behind.
    pub(crate) wall_clock_lead: SignedNanos,
    /// Whether this is the first list since the process started, apart from cached ones.
    pub(crate) is_first: bool,
}

impl ListTime {
    fn engine_time(self) -> SignedNanos {
        to_signed(self.now)
    }

    fn wall_time(self) -> SignedNanos {
        self.engine_time().saturating_add(self.wall_clock_lead)
    }
}

/// One start of one backend.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    /// The start as listed, in milliseconds of Unix time.
    listed_start_ms: u64,
    /// The estimated start on the engine's clock.
    started_at: SignedNanos,
    first_listed_at: SignedNanos,
    is_wall_clock_estimate: bool,
}

/// The starts of all backends that are or were listed.
#[derive(Debug)]
pub(crate) struct StartTimes {
    starts: HashMap<String, KnownStart>,
    /// A lower bound on how far the clock of the list's writer is ahead of the engine's clock: the maximum, over all
    /// listed starts, of the start minus the engine's time when it was first listed. `None` before the first start.
    min_writer_clock_lead: Option<SignedNanos>,
    /// How far the wall clock was ahead of the engine's clock when it was last trusted.
    trusted_wall_clock_lead: SignedNanos,
    slow_start_duration: SignedNanos,
}

impl StartTimes {
    pub(crate) fn new(slow_start_duration: Nanos) -> Self {
        Self {
            starts: HashMap::new(),
            min_writer_clock_lead: None,
            trusted_wall_clock_lead: 0,
            slow_start_duration: to_signed(slow_start_duration),
        }
    }

    /// Updates the clock estimates for a received list. `entries` yields each backend's name and start in milliseconds
    /// of Unix time, which is 0 if the backend started long ago.
    pub(crate) fn list_received<'a>(
        &mut self,
        at: ListTime,
        entries: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let latest_listed = entries
            .filter(|(name, start_ms)| *start_ms > 0 && !self.is_known(name, *start_ms))
            .map(|(_, start_ms)| unix_time(start_ms))
            .max();
        if let Some(latest_listed) = latest_listed {
            let lead = latest_listed.saturating_sub(at.engine_time());
            let max_lead = self
                .min_writer_clock_lead
                .map_or(lead, |known| known.max(lead));
            self.min_writer_clock_lead = Some(max_lead);
        }
        if at.is_first {
            self.trusted_wall_clock_lead = at.wall_clock_lead;
        } else {
            self.correct_for_backward_step(at);
        }
    }

    /// The time on the engine's clock at which a backend started; `None` if the backend started long ago.
    pub(crate) fn started_at(
        &mut self,
        name: &str,
        listed_start_ms: u64,
        at: ListTime,
    ) -> Option<Nanos> {
        if listed_start_ms == 0 {
            self.starts.remove(name);
            return None;
        }
        if !self.is_known(name, listed_start_ms) {
            let start = self.estimate_start(listed_start_ms, at);
            self.starts.insert(name.to_owned(), start);
        }
        let start = self.starts.get(name)?;
        // 0 would mean a start long ago.
        Some(u64::try_from(start.started_at).unwrap_or(0).max(1))
    }

    /// Removes the starts of all unlisted backends if there are too many.
    pub(crate) fn prune(&mut self, is_listed: impl Fn(&str) -> bool) {
        let listed = self.starts.keys().filter(|name| is_listed(name)).count();
        if self.starts.len() > 2 * listed + MAX_UNLISTED_STARTS {
            self.starts.retain(|name, _| is_listed(name));
        }
    }

    fn is_known(&self, name: &str, listed_start_ms: u64) -> bool {
        let known = self.starts.get(name);
        known.is_some_and(|start| start.listed_start_ms == listed_start_ms)
    }

    /// Estimates when a newly listed start happened.
    fn estimate_start(&self, listed_start_ms: u64, at: ListTime) -> KnownStart {
        let started = unix_time(listed_start_ms);
        let age = if at.is_first {
            self.age_in_first_list(started, at)
        } else {
            self.age_in_later_list(started, at)
        };
        let now = at.engine_time();
        KnownStart {
            listed_start_ms,
            started_at: now.saturating_sub(age.max(0)),
            first_listed_at: now,
            is_wall_clock_estimate: at.is_first,
        }
    }

    /// The age of a start that is new in a list after the first one.
    fn age_in_later_list(&self, started: SignedNanos, at: ListTime) -> SignedNanos {
        let writer_clock_age = self.min_writer_time(at).saturating_sub(started);
        let wall_clock_age = at.wall_time().saturating_sub(started);
        if (0..writer_clock_age).contains(&wall_clock_age) {
            wall_clock_age
        } else {
            writer_clock_age
        }
    }

    /// The age of a start in the first list.
    fn age_in_first_list(&self, started: SignedNanos, at: ListTime) -> SignedNanos {
        let min_writer_time = self.min_writer_time(at);
        let wall_clock_lag = min_writer_time.saturating_sub(at.wall_time());
        if wall_clock_lag > MAX_SMALL_LAG_NS {
            let corrected_wall_time = at.wall_time().saturating_add(HOUR);
            return corrected_wall_time
                .max(min_writer_time)
                .saturating_sub(started);
        }
        let age = at.wall_time().max(min_writer_time).saturating_sub(started);
        let age_less_one_hour = age.saturating_sub(HOUR);
        let is_recent_if_one_hour_ahead =
            (-HOUR_ERROR_TOLERANCE_NS..self.slow_start_duration).contains(&age_less_one_hour);
        // A start that is less than an hour old by the wall clock shows that the wall clock is not an hour ahead.
        let may_be_one_hour_ahead = wall_clock_lag <= HOUR_ERROR_TOLERANCE_NS - HOUR;
        if is_recent_if_one_hour_ahead && may_be_one_hour_ahead {
            age_less_one_hour
        } else {
            age
        }
    }

    /// A lower bound for the time on the clock of the list's writer.
    fn min_writer_time(&self, at: ListTime) -> SignedNanos {
        at.engine_time()
            .saturating_add(self.min_writer_clock_lead.unwrap_or(SignedNanos::MIN / 2))
    }

    /// Moves starts from the first list forward if the wall clock was stepped back, unless a listed start lies in the
    /// future of the stepped clock. A step forward is ignored: it would only make the starts older.
    fn correct_for_backward_step(&mut self, at: ListTime) {
        let stepped_back_by = self
            .trusted_wall_clock_lead
            .saturating_sub(at.wall_clock_lead);
        if stepped_back_by < MIN_CLOCK_STEP_NS || at.wall_time() < self.min_writer_time(at) {
            return;
        }
        self.trusted_wall_clock_lead = at.wall_clock_lead;
        let oldest = at.engine_time().saturating_sub(self.slow_start_duration);
        let recent = self
            .starts
            .values_mut()
            .filter(|start| start.is_wall_clock_estimate && start.first_listed_at > oldest);
        for start in recent {
            start.started_at = start
                .started_at
                .saturating_add(stepped_back_by)
                .min(start.first_listed_at);
        }
    }
}

fn to_signed(nanos: Nanos) -> SignedNanos {
    SignedNanos::try_from(nanos).unwrap_or(SignedNanos::MAX)
}

fn unix_time(milliseconds: u64) -> SignedNanos {
    to_signed(milliseconds.saturating_mul(MILLISECOND))
}

#[cfg(test)]
mod tests;

//! When backends started, by the engine's clock. The endpoint list gives starts in Unix time, and the node's own wall
//! clock may be wrong by seconds or an hour, and step while the node runs.
//!
//! The evidence, from the strongest:
//!
//! 1. A start that was seen before keeps its time, whatever any clock says later, also if its backend has left the
//!    list meanwhile.
//! 2. A list can't name a start that lies in the future: the latest start that was ever listed bounds the time of
//!    whoever wrote the list from below. A start that is new in a change is as old as it is by that bound at least,
//!    and is not taken for older. Only where the wall clock makes it younger, and not a start in the future, it is
//!    believed.
//! 3. The first list has no list before it to tell new starts from old ones. There the wall clock is believed, unless
//!    a start in the future proves that it is behind. One that is behind by more than a minute is taken for an hour
//!    behind; and a start of just over an hour ago for a recent one that is seen by a clock an hour ahead, since next
//!    to nothing starts in these few seconds by chance. A clock that turns out to have been ahead makes starts of the
//!    first list younger while their backends may still be in slow start.

use std::collections::HashMap;

use badgerpost_balancer::Nanos;

use badgerpost_time::MILLISECOND;

const SECOND: i64 = 1_000_000_000;
const HOUR: i64 = 3600 * SECOND;
/// A wall clock that is behind by up to this has stepped by seconds; by more, by an hour.
const MAX_STEP_OF_SECONDS: i64 = 60 * SECOND;
/// How far a wall clock that has stepped by an hour may be off that hour.
const HOUR_TOLERANCE: i64 = 5 * SECOND;
/// A wall clock that moves by less against the engine's has not stepped.
const MIN_STEP: i64 = SECOND / 2;
/// Starts of backends that have left the list are remembered up to this many, besides as many as are listed.
const MAX_UNLISTED: usize = 1024;

/// A point on the engine's clock, or a difference between two, that may be negative.
type Signed = i64;

/// The time at which an endpoint list was received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListTime {
    /// By the engine's clock.
    pub(crate) now: Nanos,
    /// By how much the wall clock is ahead of the engine's.
    pub(crate) wall_clock_lead: Signed,
    /// Whether no list of discovery's came before it in this process's life.
    pub(crate) is_first: bool,
}

impl ListTime {
    fn engine_time(self) -> Signed {
        signed(self.now)
    }

    fn wall_time(self) -> Signed {
        self.engine_time().saturating_add(self.wall_clock_lead)
    }
}

/// One start of one backend.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    listed_ms: u64,
    /// By the engine's clock.
    started_at: Signed,
    first_listed_at: Signed,
    is_by_wall_clock: bool,
}

/// The starts of all backends that are or were listed.
#[derive(Debug)]
pub(crate) struct StartTimes {
    starts: HashMap<String, KnownStart>,
    /// The latest start listed, less the engine's time when it was first seen; none before the first one.
    latest_start: Option<Signed>,
    /// The wall clock's lead over the engine's clock when it was last believed.
    believed_lead: Signed,
    slow_start_duration: Signed,
}

impl StartTimes {
    /// No starts yet.
    pub(crate) fn new(slow_start_duration: Nanos) -> Self {
        Self {
            starts: HashMap::new(),
            latest_start: None,
            believed_lead: 0,
            slow_start_duration: signed(slow_start_duration),
        }
    }

    /// Prepares for the entries of a list: names and starts in Unix milliseconds, 0 for long ago.
    pub(crate) fn list_received<'a>(
        &mut self,
        at: ListTime,
        entries: impl Iterator<Item = (&'a str, u64)>,
    ) {
        let latest_listed = entries
            .filter(|(name, listed_ms)| *listed_ms > 0 && !self.is_known(name, *listed_ms))
            .map(|(_, listed_ms)| unix_time(listed_ms))
            .max();
        if let Some(latest_listed) = latest_listed {
            let latest = latest_listed.saturating_sub(at.engine_time());
            self.latest_start = Some(self.latest_start.map_or(latest, |known| known.max(latest)));
        }
        if at.is_first {
            self.believed_lead = at.wall_clock_lead;
        } else {
            self.correct_for_step(at);
        }
    }

    /// When the backend of this name started, by the engine's clock; none if that was long ago.
    pub(crate) fn started_at(&mut self, name: &str, listed_ms: u64, at: ListTime) -> Option<Nanos> {
        if listed_ms == 0 {
            self.starts.remove(name);
            return None;
        }
        if !self.is_known(name, listed_ms) {
            let start = self.estimate(listed_ms, at);
            self.starts.insert(name.to_owned(), start);
        }
        let start = self.starts.get(name)?;
        // Never 0, which would be long ago to the balancer as well as to a list.
        Some(u64::try_from(start.started_at).unwrap_or(0).max(1))
    }

    /// Forgets starts of backends that are not listed, as far as these are too many.
    pub(crate) fn prune(&mut self, is_listed: impl Fn(&str) -> bool) {
        let listed = self.starts.keys().filter(|name| is_listed(name)).count();
        if self.starts.len() > 2 * listed + MAX_UNLISTED {
            self.starts.retain(|name, _| is_listed(name));
        }
    }

    fn is_known(&self, name: &str, listed_ms: u64) -> bool {
        let known = self.starts.get(name);
        known.is_some_and(|start| start.listed_ms == listed_ms)
    }

    /// A start that was not known before, with its time by the evidence that there is.
    fn estimate(&self, listed_ms: u64, at: ListTime) -> KnownStart {
        let started = unix_time(listed_ms);
        let age = if at.is_first {
            self.age_in_first_list(started, at)
        } else {
            self.age_in_change(started, at)
        };
        let now = at.engine_time();
        KnownStart {
            listed_ms,
            started_at: now.saturating_sub(age.max(0)),
            first_listed_at: now,
            is_by_wall_clock: at.is_first,
        }
    }

    /// The age of a start that no list before this one had.
    fn age_in_change(&self, started: Signed, at: ListTime) -> Signed {
        let by_latest = self.earliest_list_time(at).saturating_sub(started);
        let by_wall_clock = at.wall_time().saturating_sub(started);
        if (0..by_latest).contains(&by_wall_clock) {
            by_wall_clock
        } else {
            by_latest
        }
    }

    /// The age of a start in the first list.
    fn age_in_first_list(&self, started: Signed, at: ListTime) -> Signed {
        let earliest = self.earliest_list_time(at);
        let behind = earliest.saturating_sub(at.wall_time());
        if behind > MAX_STEP_OF_SECONDS {
            let one_hour_later = at.wall_time().saturating_add(HOUR);
            return one_hour_later.max(earliest).saturating_sub(started);
        }
        let age = at.wall_time().max(earliest).saturating_sub(started);
        let age_less_one_hour = age.saturating_sub(HOUR);
        let is_recent = (-HOUR_TOLERANCE..self.slow_start_duration).contains(&age_less_one_hour);
        // A later start than that shows that the clock is not an hour ahead.
        let may_be_ahead = behind <= HOUR_TOLERANCE - HOUR;
        if is_recent && may_be_ahead {
            age_less_one_hour
        } else {
            age
        }
    }

    /// The time of whoever wrote the list, at least.
    fn earliest_list_time(&self, at: ListTime) -> Signed {
        at.engine_time()
            .saturating_add(self.latest_start.unwrap_or(Signed::MIN / 2))
    }

    /// The wall clock has stepped back, and no start in the future proves it wrong: what it said of the first list's
    /// starts was too old by that much. One that steps forward tells nothing, as starts only become older by it.
    fn correct_for_step(&mut self, at: ListTime) {
        let stepped_back_by = self.believed_lead.saturating_sub(at.wall_clock_lead);
        if stepped_back_by < MIN_STEP || at.wall_time() < self.earliest_list_time(at) {
            return;
        }
        self.believed_lead = at.wall_clock_lead;
        let oldest = at.engine_time().saturating_sub(self.slow_start_duration);
        let recent = self
            .starts
            .values_mut()
            .filter(|start| start.is_by_wall_clock && start.first_listed_at > oldest);
        for start in recent {
            start.started_at = start
                .started_at
                .saturating_add(stepped_back_by)
                .min(start.first_listed_at);
        }
    }
}

fn signed(nanos: Nanos) -> Signed {
    Signed::try_from(nanos).unwrap_or(Signed::MAX)
}

fn unix_time(milliseconds: u64) -> Signed {
    signed(milliseconds.saturating_mul(MILLISECOND))
}

#[cfg(test)]
mod tests;

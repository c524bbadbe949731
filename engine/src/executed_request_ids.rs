//! The ids of requests that may have run and must not run again, for as long as a client may repeat them.

use std::collections::{HashMap, VecDeque};

use badgerpost_balancer::{Idempotency, Nanos, Settings};
use badgerpost_time::SECOND;

/// Minimum time for which an id is kept.
const MIN_RETENTION: Nanos = 10 * SECOND;
/// Maximum number of ids that are kept, oldest dropped first.
const MAX_IDS: usize = 32 * 1024;

/// The hash of a request's id, the same in all processes.
pub type RequestIdHash = u64;

/// The ids, by their hash.
pub(crate) struct ExecutedRequestIds {
    retention: Nanos,
    /// Until when each id is kept.
    kept_until: HashMap<RequestIdHash, Nanos>,
    /// In the order in which the ids were added.
    order: VecDeque<KeptId>,
}

#[derive(Clone, Copy)]
struct KeptId {
    hash: RequestIdHash,
    until: Nanos,
}

impl ExecutedRequestIds {
    /// No ids. An id is kept for the longest time in which the settings let backends recognise repeats, and for the
    /// longest time that a client waits.
    pub(crate) fn new(settings: &Settings) -> Self {
        let classes = &settings.classes;
        let windows = classes.iter().map(|class| match class.idempotency {
            Idempotency::Keyed { window, .. } => window,
            Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
        });
        let longest_window = windows.max().unwrap_or(0);
        let longest_deadline = classes.iter().map(|class| class.deadline).max();
        let repeatable_time = longest_window.saturating_add(longest_deadline.unwrap_or(0));
        Self {
            retention: repeatable_time.max(MIN_RETENTION),
            kept_until: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Adds an id, or keeps it for longer.
    pub(crate) fn add(&mut self, hash: RequestIdHash, now: Nanos) {
        let until = now.saturating_add(self.retention);
        self.kept_until.insert(hash, until);
        self.order.push_back(KeptId { hash, until });
        self.remove_expired(now);
    }

    pub(crate) fn contains(&mut self, hash: RequestIdHash, now: Nanos) -> bool {
        self.remove_expired(now);
        self.kept_until.contains_key(&hash)
    }

    /// All ids that are kept.
    pub(crate) fn all(&self) -> impl Iterator<Item = RequestIdHash> {
        self.kept_until.keys().copied()
    }
    fn remove_expired(&mut self, now: Nanos) {
        while let Some(oldest) = self.order.front().copied() {
            if now < oldest.until && self.order.len() <= MAX_IDS {
                return;
            }
            self.order.pop_front();
            // An id that was added again is kept until its later time.
            if self.kept_until.get(&oldest.hash) == Some(&oldest.until) {
                self.kept_until.remove(&oldest.hash);
            }
        }
    }
}

#[cfg(test)]
mod tests;

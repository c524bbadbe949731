//! The other zones in the order in which overflow goes there: the state, which [`decisions`] changes.

mod decisions;

pub(crate) use decisions::{prefers_local_zone, utilization};

use crate::api::{Nanos, ZoneId};

/// A zone as a target for overflow.
struct ScoredZone {
    zone: ZoneId,
    /// Whether it is under the spill threshold.
    is_below_threshold: bool,
    score: f64,
}

/// The other zones in the order in which overflow goes there.
pub(crate) struct ZoneRouting {
    overflow_order: Vec<ZoneId>,
    below_threshold_count: usize,
    is_spilling: bool,
    next_scoring_at: Nanos,
}

impl ZoneRouting {
    /// No zone scored yet; the first scoring is due now.
    pub(crate) fn new(now: Nanos) -> Self {
        Self {
            overflow_order: Vec::new(),
            below_threshold_count: 0,
            is_spilling: false,
            next_scoring_at: now,
        }
    }

    /// Whether it is time to score the zones again.
    pub(crate) fn is_scoring_due(&self, now: Nanos) -> bool {
        now >= self.next_scoring_at
    }

    /// The best-scored other zone, if it is under the threshold.
    pub(crate) fn best_overflow_zone(&self) -> Option<ZoneId> {
        self.overflow_order
            .first()
            .copied()
            .filter(|_| self.below_threshold_count > 0)
    }
}

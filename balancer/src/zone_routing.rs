//! Zone routing state: the order in which the remote zones receive overflow from the local zone. [`decisions`]
//! updates this state and routes requests by it.

mod decisions;

pub(crate) use decisions::{prefers_local_zone, utilization};

use crate::api::{Nanos, ZoneId};

/// A remote zone with its score as a target for overflow.
struct ScoredZone {
    zone: ZoneId,
    /// Whether the zone's utilization is below the spill threshold or has not been measured.
    is_below_threshold: bool,
    score: f64,
}

/// Remote zones in the order in which they receive overflow.
pub(crate) struct ZoneRouting {
    overflow_order: Vec<ZoneId>,
    below_threshold_count: usize,
    is_spilling: bool,
    next_scoring_at: Nanos,
}

impl ZoneRouting {
    /// Creates the state without scored zones; the first scoring is due at `now`.
    pub(crate) fn new(now: Nanos) -> Self {
        Self {
            overflow_order: Vec::new(),
            below_threshold_count: 0,
            is_spilling: false,
            next_scoring_at: now,
        }
    }

    pub(crate) fn is_scoring_due(&self, now: Nanos) -> bool {
        now >= self.next_scoring_at
    }

    /// The remote zone with the highest score among those below the spill threshold; `None` if there is none.
    pub(crate) fn best_overflow_zone(&self) -> Option<ZoneId> {
        self.overflow_order
            .first()
            .copied()
            .filter(|_| self.below_threshold_count > 0)
    }
}

//! Suspicion against one zone: whether it is withdrawn, or confirmed so that the zone is ejected. All instants are on
//! the awake clock.

use crate::action::ZoneStateReason;
use crate::assessment::{EvidenceSnapshot, SUSPECT_THRESHOLD};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// A suspicion of silence that peers alone caused is withdrawn below this evidence.
const WITHDRAWAL_THRESHOLD: f64 = SUSPECT_THRESHOLD / 2.0;
/// How long a suspicion must last before the zone is ejected: a short network interruption ends within this time.
pub(crate) const SUSPICION_PERIOD: Nanos = 300 * MILLISECOND;
/// How long a suspicion lasts if too few outstanding attempts are left to tell a silent zone from a slow one.
pub(crate) const MAXIMUM_SUSPICION_PERIOD: Nanos = SECOND;

/// A suspicion against a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Suspicion {
    since: Nanos,
    reason: ZoneStateReason,
}

/// What follows from the evidence about a suspected zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionOutcome {
    /// The zone stays suspected.
    Continue,
    /// The zone is healthy.
    Withdraw,
    /// The zone is ejected.
    Confirm,
}

impl Suspicion {
    /// A suspicion that begins now.
    pub(crate) fn new(now: Nanos, reason: ZoneStateReason) -> Self {
        Self { since: now, reason }
    }

    /// Why the zone is suspected.
    pub(crate) fn reason(&self) -> ZoneStateReason {
        self.reason
    }

    /// When the suspicion may be confirmed.
    pub(crate) fn next_assessment_at(&self) -> Nanos {
        self.since + SUSPICION_PERIOD
    }

    /// What follows from the evidence now, and from the usable responses since the suspicion began.
    pub(crate) fn assess(
        &self,
        now: Nanos,
        snapshot: &EvidenceSnapshot,
        success_count: u32,
    ) -> SuspicionOutcome {
        let duration = now.saturating_sub(self.since);
        let is_silent = matches!(self.reason, ZoneStateReason::Silent { .. });
        if is_silent && is_withdrawn(snapshot, success_count) {
            return SuspicionOutcome::Withdraw;
        }
        let is_confirmed = !is_silent || snapshot.tolerant_silence >= SUSPECT_THRESHOLD;
        if duration >= MAXIMUM_SUSPICION_PERIOD || (duration >= SUSPICION_PERIOD && is_confirmed) {
            return SuspicionOutcome::Confirm;
        }
        SuspicionOutcome::Continue
    }
}

/// Whether a suspicion of silence is refuted by a response, or no longer held by any peer with own evidence.
///
/// Peers' evidence expires once they send the zone nothing, so its absence alone withdraws nothing.
fn is_withdrawn(snapshot: &EvidenceSnapshot, success_count: u32) -> bool {
    let is_unsupported_by_peers = snapshot
        .peers
        .is_some_and(|peers| !peers.is_suspected_first_hand)
        && snapshot.silence < WITHDRAWAL_THRESHOLD;
    success_count > 0 || is_unsupported_by_peers
}

//! Suspicion against one zone, until the suspicion is withdrawn or is confirmed and ejects the zone. All instants are
//! on the awake clock.

use crate::action::ZoneStateReason;
use crate::assessment::{EvidenceSnapshot, SUSPECT_THRESHOLD};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Evidence of silence below which a suspicion is withdrawn if no peer holds the suspicion first-hand.
const WITHDRAWAL_THRESHOLD: f64 = SUSPECT_THRESHOLD / 2.0;
/// Minimum duration of a suspicion before the zone is ejected, longer than a brief network interruption.
pub(crate) const SUSPICION_PERIOD: Nanos = 300 * MILLISECOND;
/// Duration after which a suspicion is confirmed even if too few outstanding attempts are left to distinguish a silent
/// zone from a slow one.
pub(crate) const MAXIMUM_SUSPICION_PERIOD: Nanos = SECOND;

/// A suspicion against a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Suspicion {
    since: Nanos,
    reason: ZoneStateReason,
}

/// Result of the assessment of a suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionOutcome {
    /// The zone stays suspected.
    Continue,
    /// The zone becomes healthy.
    Withdraw,
    /// The zone is ejected.
    Confirm,
}

impl Suspicion {
    /// Creates a suspicion that begins at `now`.
    pub(crate) fn new(now: Nanos, reason: ZoneStateReason) -> Self {
        Self { since: now, reason }
    }

    /// Why the zone is suspected.
    pub(crate) fn reason(&self) -> ZoneStateReason {
        self.reason
    }

    /// Earliest instant at which the suspicion can be confirmed.
    pub(crate) fn next_assessment_at(&self) -> Nanos {
        self.since + SUSPICION_PERIOD
    }

    /// Decides about the suspicion at `now`. `success_count` is the number of usable responses since the suspicion
    /// began.
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

/// Whether a suspicion of silence is withdrawn: a usable response has come, or no peer holds the suspicion first-hand
/// and the evidence is below [`WITHDRAWAL_THRESHOLD`].
///
/// The peers' evidence expires once they send the zone no requests, so missing evidence alone does not withdraw a
/// suspicion.
fn is_withdrawn(snapshot: &EvidenceSnapshot, success_count: u32) -> bool {
    let is_unsupported_by_peers = snapshot
        .peers
        .is_some_and(|peers| !peers.is_suspected_first_hand)
        && snapshot.silence < WITHDRAWAL_THRESHOLD;
    success_count > 0 || is_unsupported_by_peers
}

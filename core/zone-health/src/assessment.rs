//! The evidence about a zone at one instant, and its assessment against the thresholds of suspicion.

use crate::action::ZoneStateReason;
use crate::peer_summary::PeerSummary;
use badgerpost_time::Nanos;

/// Evidence at which a healthy zone is suspected, in nats. A zone that is as bad as the silence test tolerates
/// (responses twice as slow as usual) reaches it by chance once in 150 cases.
pub(crate) const SUSPECT_THRESHOLD: f64 = 5.0;
/// Evidence of failures at which a healthy zone is suspected, in nats. Higher than [`SUSPECT_THRESHOLD`], because a
/// suspected zone gets no requests whose success could withdraw the suspicion.
const FAILURE_SUSPECT_THRESHOLD: f64 = 8.0;

/// All evidence about a zone at one instant.
#[derive(Clone, Copy)]
pub(crate) struct EvidenceSnapshot {
    /// Evidence of silence, tolerating responses twice as slow as recorded.
    pub(crate) silence: f64,
    /// Evidence of silence, tolerating the slowdown that the zone's state allows.
    pub(crate) tolerant_silence: f64,
    /// Evidence of failures.
    pub(crate) failures: f64,
    /// Whether another zone can take requests.
    pub(crate) has_alternative: bool,
    /// Age of the oldest silent attempt; 0 if no attempt is silent.
    pub(crate) silent_duration: Nanos,
    /// Summary of the other nodes' observations; none without other nodes. The evidence above includes the summary's
    /// evidence.
    pub(crate) peers: Option<PeerSummary>,
    /// Whether this node recently had a usable response from the zone.
    pub(crate) has_recent_success: bool,
    /// The greater of silence and failures, from this node's own attempts alone.
    pub(crate) own_evidence: f64,
}

/// Result of the assessment of a snapshot, on the scale of [`SUSPECT_THRESHOLD`].
#[derive(Clone, Copy)]
pub(crate) struct Assessment {
    /// The greater of silence and scaled failures.
    pub(crate) evidence: f64,
    /// Evidence of failures, scaled from [`FAILURE_SUSPECT_THRESHOLD`] to [`SUSPECT_THRESHOLD`].
    pub(crate) failures: f64,
    /// Silence or failures, whichever has the greater evidence.
    pub(crate) reason: ZoneStateReason,
}

impl Assessment {
    /// Assesses a snapshot. Evidence of failures counts as 0 if `is_ignoring_failures` is set.
    pub(crate) fn new(snapshot: &EvidenceSnapshot, is_ignoring_failures: bool) -> Self {
        let failures = if is_ignoring_failures {
            0.0
        } else {
            snapshot.failures
        };
        let failures = failures * SUSPECT_THRESHOLD / FAILURE_SUSPECT_THRESHOLD;
        let reason = if failures > snapshot.silence {
            ZoneStateReason::Failing { evidence: failures }
        } else {
            ZoneStateReason::Silent {
                evidence: snapshot.silence,
            }
        };
        Self {
            evidence: failures.max(snapshot.silence),
            failures,
            reason,
        }
    }
}

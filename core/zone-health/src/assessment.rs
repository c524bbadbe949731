//! The evidence about a zone at one instant, and what it amounts to.

use crate::action::ZoneStateReason;
use crate::peer_summary::PeerSummary;
use badgerpost_time::Nanos;

/// Evidence at which a healthy zone is suspected, as a log-likelihood. A zone that is as bad as the silence test
/// allows for (responses twice as slow as usual) reaches it by chance once in 150 cases.
pub(crate) const SUSPECT_THRESHOLD: f64 = 5.0;
/// Evidence of failures at which a healthy zone is suspected. It is higher, as a suspected zone gets no requests that
/// could withdraw it: at least three failures in a row, besides those of the worst server.
const FAILURE_SUSPECT_THRESHOLD: f64 = 8.0;

/// All evidence about a zone at one instant.
#[derive(Clone, Copy)]
pub(crate) struct EvidenceSnapshot {
    /// Evidence of silence, allowing for responses twice as slow as usual.
    pub(crate) silence: f64,
    /// Evidence of silence, allowing for the slowdown that the zone's state tolerates.
    pub(crate) tolerant_silence: f64,
    /// Evidence of failures.
    pub(crate) failures: f64,
    /// Whether another zone can take the requests.
    pub(crate) has_alternative: bool,
    /// How long the first silent attempt has waited.
    pub(crate) silent_duration: Nanos,
    /// The other nodes' observations, if there are other nodes. Their evidence is included in the figures above.
    pub(crate) peers: Option<PeerSummary>,
    /// Whether this node had a usable response from the zone a moment ago.
    pub(crate) has_recent_success: bool,
    /// The evidence of this node alone, the greater of silence and failures.
    pub(crate) own_evidence: f64,
}

/// What a snapshot amounts to, on the scale of [`SUSPECT_THRESHOLD`].
#[derive(Clone, Copy)]
pub(crate) struct Assessment {
    /// The greater of silence and scaled failures.
    pub(crate) evidence: f64,
    /// Scaled evidence of failures.
    pub(crate) failures: f64,
    /// Which of the two is greater.
    pub(crate) reason: ZoneStateReason,
}

impl Assessment {
    /// Weighs silence and failures against each other; failures count for nothing during an amnesty.
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

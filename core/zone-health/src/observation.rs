//! What a node gossips about a zone: its own evidence, in figures and ages, and its state of the zone. The state is
//! included only so that all nodes recover the zone in step; verdicts are formed from the evidence.

use serde::{Deserialize, Serialize};

use crate::ids::GossipZone;

/// Units of evidence in an observation: log-likelihoods are sent in hundredths.
const EVIDENCE_WIRE_SCALE: f64 = 100.0;

/// The state that a zone has for one node. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedState {
    /// The zone gets its usual share.
    Healthy,
    /// The zone gets nothing new until the suspicion is confirmed or withdrawn.
    Suspected,
    /// The zone gets recovery probes only.
    Ejected {
        /// Recovery probes answered since the last that failed.
        #[serde(rename = "answered_probes")]
        successful_probes: u8,
        /// Age of the last failed probe, in milliseconds; `u16::MAX` if there is none.
        failed_probe_age_ms: u16,
    },
    /// The zone gets a growing fraction of its requests.
    Recovering {
        /// Index of the recovery step.
        step: u8,
        /// Whether a response has come in this step.
        #[serde(rename = "has_answers")]
        has_success: bool,
    },
}

/// One node's observation of one zone. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// The zone in which the observing node runs.
    pub observer_zone: GossipZone,
    /// Evidence of silence, in hundredths of a log-likelihood, allowing for responses four times as slow as usual.
    pub silence_evidence: u16,
    /// Evidence of failures, in hundredths of a log-likelihood ratio.
    pub failure_evidence: u16,
    /// Whether the node had a usable response from the zone a moment ago and has no evidence against it.
    #[serde(rename = "has_answers")]
    pub has_recent_success: bool,
    /// The zone's state for the node.
    pub state: ObservedState,
    /// Whether that state follows from the node's own evidence rather than from that of others.
    pub is_first_hand: bool,
}

impl ZoneObservation {
    /// Encodes the observation for the network, in about ten bytes.
    #[must_use]
    pub fn to_bytes(self) -> Vec<u8> {
        postcard::to_allocvec(&self).unwrap_or_default()
    }

    /// Decodes an observation from another node; none if the bytes are not exactly one observation.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (observation, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(observation)
    }
}

/// Converts evidence to the units of a [`ZoneObservation`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub(crate) fn evidence_to_hundredths(evidence: f64) -> u16 {
    (evidence * EVIDENCE_WIRE_SCALE).clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Converts the units of a [`ZoneObservation`] back to evidence.
pub(crate) fn evidence_from_hundredths(hundredths: u16) -> f64 {
    f64::from(hundredths) / EVIDENCE_WIRE_SCALE
}

#[cfg(test)]
mod tests;

//! Wire format of the observations of zones that nodes gossip: the sender's own evidence, and the zone's state at the
//! sender.

use serde::{Deserialize, Serialize};

use crate::ids::GossipZone;

/// Evidence is sent in hundredths of a nat.
const EVIDENCE_WIRE_SCALE: f64 = 100.0;

/// State of a zone at one node. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedState {
    /// The zone gets its full share.
    Healthy,
    /// The zone gets no new requests until the suspicion is confirmed or withdrawn.
    Suspected,
    /// The zone gets recovery probes only.
    Ejected {
        /// Recovery probes that succeeded since the last failed probe.
        #[serde(rename = "answered_probes")]
        successful_probes: u8,
        /// Age of the last failed probe, in milliseconds; `u16::MAX` if the age is greater or there is none.
        failed_probe_age_ms: u16,
    },
    /// The zone gets a fraction of its full share, which grows in steps.
    Recovering {
        /// Index of the recovery step, counted from 0.
        step: u8,
        /// Whether a usable response has come in this step.
        #[serde(rename = "has_answers")]
        has_success: bool,
    },
}

/// One node's observation of one zone. The order of the fields is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// Home zone of the observing node.
    pub observer_zone: GossipZone,
    /// Evidence of silence in hundredths of a nat, tolerating responses four times as slow as recorded.
    pub silence_evidence: u16,
    /// Evidence of failures in hundredths of a nat.
    pub failure_evidence: u16,
    /// Whether the node recently had a usable response from the zone and has no evidence against the zone.
    #[serde(rename = "has_answers")]
    pub has_recent_success: bool,
    /// State of the zone at the node.
    pub state: ObservedState,
    /// Whether the state is based on the node's own evidence rather than on that of other nodes.
    pub is_first_hand: bool,
}

impl ZoneObservation {
    /// Encodes the observation in the wire format, in about ten bytes.
    #[must_use]
    pub fn to_bytes(self) -> Vec<u8> {
        postcard::to_allocvec(&self).unwrap_or_default()
    }

    /// Decodes an observation; none unless the bytes are exactly one encoded observation.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (observation, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(observation)
    }
}

/// Converts evidence in nats to the hundredths of a [`ZoneObservation`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
pub(crate) fn evidence_to_hundredths(evidence: f64) -> u16 {
    (evidence * EVIDENCE_WIRE_SCALE).clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Converts the hundredths of a [`ZoneObservation`] to evidence in nats.
pub(crate) fn evidence_from_hundredths(hundredths: u16) -> f64 {
    f64::from(hundredths) / EVIDENCE_WIRE_SCALE
}

#[cfg(test)]
mod tests;

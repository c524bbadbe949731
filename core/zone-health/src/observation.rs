//! What a node tells the others of a zone: what it sees there itself, in figures and ages. What it makes of that is told
//! too, but only so that all follow one ramp.

use serde::{Deserialize, Serialize};

/// Where a zone stands for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedState {
    /// It gets what it got.
    Healthy,
    /// It gets nothing new for now.
    Suspected,
    /// It gets trials only.
    Ejected {
        /// Trials answered since the last that was not.
        good: u8,
        /// How long ago the last that was not ended, in milliseconds; the largest value for none.
        bad_ms: u16,
    },
    /// It gets part.
    Recovering {
        /// Which step.
        step: u8,
        /// Whether answers have come in this step.
        good: bool,
    },
}

/// What a node sees of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneObservation {
    /// The node's own zone, by position.
    pub home: u8,
    /// Evidence of silence, in hundredths of a log-likelihood, where answers may take four times as long as usual.
    pub silent: u16,
    /// Evidence of failures, likewise.
    pub failing: u16,
    /// It had a usable answer from there in the last moments, and nothing speaks against the zone.
    pub has_answers: bool,
    /// Where the zone stands for it ...
    pub state: ObservedState,
    /// ... by what it saw itself, not by what others said.
    pub is_own: bool,
}

impl ZoneObservation {
    /// As it is spread: some ten bytes.
    pub fn to_bytes(self) -> Vec<u8> {
        postcard::to_allocvec(&self).unwrap_or_default()
    }

    /// From what another node spread; none where that is something else.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (sight, rest) = postcard::take_from_bytes(bytes).ok()?;
        rest.is_empty().then_some(sight)
    }
}

/// Evidence in the units of a [`ZoneObservation`].
pub(crate) fn hundredths(evidence: f64) -> u16 {
    (evidence * 100.0).clamp(0.0, f64::from(u16::MAX)) as u16
}

#[cfg(test)]
mod tests;

//! Decides when this node's observation of a zone is sent to the other nodes, and quantizes the evidence that is sent.

use crate::observation::{ObservedState, ZoneObservation, evidence_to_hundredths};
use badgerpost_time::{MILLISECOND, Nanos};

/// Minimum evidence that is sent while the zone is healthy, in hundredths of a nat.
const MINIMUM_SENT_EVIDENCE_HUNDREDTHS: u16 = 100;
/// Quantization step of sent evidence, in hundredths of a nat. Smaller changes cause no message.
const SENT_EVIDENCE_STEP_HUNDREDTHS: u16 = 50;
/// Upper bound of sent evidence, in hundredths of a nat. Recipients count less than this for one node.
const MAXIMUM_SENT_EVIDENCE_HUNDREDTHS: u16 = 300;
/// Minimum interval between two reports that a zone responds although other nodes have evidence against the zone.
const RESPONSE_REPORT_INTERVAL: Nanos = 200 * MILLISECOND;

/// Converts evidence to hundredths of a nat, capped and rounded down to a multiple of the quantization step.
pub(crate) fn quantize_evidence(evidence: f64) -> u16 {
    evidence_to_hundredths(evidence).min(MAXIMUM_SENT_EVIDENCE_HUNDREDTHS)
        / SENT_EVIDENCE_STEP_HUNDREDTHS
        * SENT_EVIDENCE_STEP_HUNDREDTHS
}

/// Whether evidence in hundredths of a nat is too weak to be sent for a healthy zone.
pub(crate) fn is_negligible(hundredths: u16) -> bool {
    hundredths < MINIMUM_SENT_EVIDENCE_HUNDREDTHS
}

/// Properties of the recipients that determine when an observation is sent.
#[derive(Clone, Copy)]
pub(crate) struct Recipients {
    /// Whether any recipient has recently reported evidence against the zone, or suspects the zone.
    pub(crate) has_adverse_report: bool,
    /// Interval at which an observation adverse to the zone is repeated.
    pub(crate) refresh_interval: Nanos,
}

/// An observation with the time of sending.
#[derive(Clone, Copy)]
struct SentObservation {
    /// On the caller's clock; 0 if the observation must be sent again.
    sent_at: Nanos,
    observation: ZoneObservation,
}

/// The observation of one zone that was last sent to the other nodes.
#[derive(Clone, Copy, Default)]
pub(crate) struct ObservationPublisher {
    last: Option<SentObservation>,
}

impl ObservationPublisher {
    /// Returns whether the observation must be sent now. If so, records the observation as sent.
    pub(crate) fn publish(
        &mut self,
        now: Nanos,
        observation: ZoneObservation,
        recipients: Recipients,
    ) -> bool {
        let is_due = self.is_due(now, &observation, recipients);
        if is_due {
            self.last = Some(SentObservation {
                sent_at: now,
                observation,
            });
        }
        is_due
    }

    /// Marks the last observation to be sent again. Only an observation adverse to the zone is repeated.
    pub(crate) fn expire(&mut self) {
        if let Some(last) = &mut self.last {
            last.sent_at = 0;
        }
    }

    fn is_due(&self, now: Nanos, observation: &ZoneObservation, recipients: Recipients) -> bool {
        let age = self.last.map_or(Nanos::MAX, |last| now - last.sent_at);
        let is_adverse = is_adverse(observation);
        // This node has responses from a zone against which other nodes have evidence.
        if !is_adverse && observation.has_recent_success && recipients.has_adverse_report {
            return age >= RESPONSE_REPORT_INTERVAL;
        }
        let Some(last) = self.last else {
            return is_adverse;
        };
        if !is_adverse && !self::is_adverse(&last.observation) {
            return false;
        }
        has_new_information(&last.observation, observation)
            || (is_adverse && age >= recipients.refresh_interval)
    }
}

/// Whether an observation is adverse to the zone, by evidence or by state.
fn is_adverse(observation: &ZoneObservation) -> bool {
    let evidence = observation
        .silence_evidence
        .max(observation.failure_evidence);
    !is_negligible(evidence) || observation.state != ObservedState::Healthy
}

/// Whether the second observation differs from the first in more than the passing of time.
fn has_new_information(first: &ZoneObservation, second: &ZoneObservation) -> bool {
    without_time_dependent_fields(first) != without_time_dependent_fields(second)
}

/// The observation with fixed values in the fields that change as time passes.
fn without_time_dependent_fields(observation: &ZoneObservation) -> ZoneObservation {
    let state = match observation.state {
        ObservedState::Ejected {
            successful_probes,
            failed_probe_age_ms,
        } => ObservedState::Ejected {
            successful_probes,
            failed_probe_age_ms: u16::from(failed_probe_age_ms < u16::MAX),
        },
        state => state,
    };
    ZoneObservation {
        state,
        has_recent_success: false,
        ..*observation
    }
}

//! Decides when the other nodes are sent this node's observation of a zone, and how coarse its evidence is.

use crate::observation::{ObservedState, ZoneObservation, evidence_to_hundredths};
use badgerpost_time::{MILLISECOND, Nanos};

/// Evidence that is worth sending, in the units of an observation.
const MINIMUM_SENT_EVIDENCE_HUNDREDTHS: u16 = 100;
/// Steps in which sent evidence grows, in the units of an observation: smaller changes cause no message.
const SENT_EVIDENCE_STEP_HUNDREDTHS: u16 = 50;
/// Upper bound of sent evidence, in the units of an observation: a node may contribute less than this.
const MAXIMUM_SENT_EVIDENCE_HUNDREDTHS: u16 = 300;
/// Time between two reports that a zone responds although other nodes have evidence against it.
const RESPONSE_REPORT_INTERVAL: Nanos = 200 * MILLISECOND;

/// Rounds evidence to what is sent, in the units of an observation.
pub(crate) fn quantize_evidence(evidence: f64) -> u16 {
    evidence_to_hundredths(evidence).min(MAXIMUM_SENT_EVIDENCE_HUNDREDTHS)
        / SENT_EVIDENCE_STEP_HUNDREDTHS
        * SENT_EVIDENCE_STEP_HUNDREDTHS
}

/// Whether evidence in the units of an observation is too weak to be sent by itself.
pub(crate) fn is_negligible(hundredths: u16) -> bool {
    hundredths < MINIMUM_SENT_EVIDENCE_HUNDREDTHS
}

/// What the recipients make of an observation.
#[derive(Clone, Copy)]
pub(crate) struct Recipients {
    /// Whether any of them has evidence against the zone.
    pub(crate) has_adverse_report: bool,
    /// How often an observation that is adverse to the zone is repeated.
    pub(crate) refresh_interval: Nanos,
}

/// An observation with the time when it was sent.
#[derive(Clone, Copy)]
struct SentObservation {
    /// On the caller's clock; 0 if it is to be sent again.
    sent_at: Nanos,
    observation: ZoneObservation,
}

/// The observation of one zone that was last sent to the other nodes.
#[derive(Clone, Copy, Default)]
pub(crate) struct ObservationPublisher {
    last: Option<SentObservation>,
}

impl ObservationPublisher {
    /// Whether the observation is to be sent now; if so, it is recorded as sent.
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

    /// Lets the last observation be repeated at the next occasion.
    pub(crate) fn expire(&mut self) {
        if let Some(last) = &mut self.last {
            last.sent_at = 0;
        }
    }

    fn is_due(&self, now: Nanos, observation: &ZoneObservation, recipients: Recipients) -> bool {
        let age = self.last.map_or(Nanos::MAX, |last| now - last.sent_at);
        let is_adverse = is_adverse(observation);
        // Other nodes have evidence against a zone that responds to this node.
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

/// Whether an observation speaks against the zone.
fn is_adverse(observation: &ZoneObservation) -> bool {
    let evidence = observation
        .silence_evidence
        .max(observation.failure_evidence);
    !is_negligible(evidence) || observation.state != ObservedState::Healthy
}

/// Whether the recipients learn anything from the second observation that they can't work out from the first.
fn has_new_information(first: &ZoneObservation, second: &ZoneObservation) -> bool {
    without_time_dependent_fields(first) != without_time_dependent_fields(second)
}

/// The observation without what changes as time passes.
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

//! Recovery of one zone after an ejection: the steps, and the conditions that end a step. All instants are on the awake
//! clock.

use crate::assessment::SUSPECT_THRESHOLD;
use crate::observation::ObservedState;
use crate::peer_summary::PeerSummary;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Fraction of its full share that a zone gets in each recovery step.
pub(crate) const RECOVERY_FRACTIONS: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.7];
/// Minimum duration of a recovery step, long enough for responses to arrive.
pub(crate) const STEP_PERIOD: Nanos = 300 * MILLISECOND;
/// Evidence at which a recovery goes back one step, in nats.
pub(crate) const STEP_BACK_THRESHOLD: f64 = 2.5;
/// Minimum duration of a recovery step before evidence may move the recovery back.
pub(crate) const STEP_BACK_DELAY: Nanos = STEP_PERIOD / 2;
/// Duration of a recovery step after which slow responses no longer delay the next step.
const MAXIMUM_STEP_PERIOD: Nanos = 2 * SECOND;
/// Lower bound of the slowdown of responses that delays the next recovery step.
const SLOWDOWN_LIMIT: f64 = 3.0;
/// Slowdown of responses that delays the next recovery step, relative to the slowdown in the first step. Restarted
/// servers are slow even without load.
const SLOWDOWN_GROWTH_LIMIT: f64 = 2.0;

/// A recovery in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Recovery {
    /// Index of the current step in [`RECOVERY_FRACTIONS`].
    step: usize,
    step_since: Nanos,
    /// Number of usable responses when the step began.
    success_count_at_start: u32,
}

/// The evidence about a recovering zone at one instant.
#[derive(Clone, Copy)]
pub(crate) struct StepEvidence {
    /// Evidence against the zone, on the scale of [`SUSPECT_THRESHOLD`].
    pub(crate) against_zone: f64,
    /// Summary of the other nodes' observations; none without other nodes.
    pub(crate) peers: Option<PeerSummary>,
    /// Number of usable responses since the evidence was reset.
    pub(crate) success_count: u32,
    /// Moving average of response times relative to the median of their class.
    pub(crate) slowdown: f64,
    /// The slowdown at the end of the first step.
    pub(crate) first_step_slowdown: f64,
}

/// Result of the assessment of a recovery step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutcome {
    /// The current step continues.
    Continue,
    /// The zone is ejected again.
    Eject,
    /// The recovery moves to the step with this index: one step back, or forward to the peers' median.
    Enter(usize),
    /// The step is complete, and the zone can take more requests.
    Complete,
}

impl Recovery {
    /// Creates a recovery that begins `step` at `now`, with the current number of usable responses.
    pub(crate) fn at_step(step: usize, now: Nanos, success_count: u32) -> Self {
        Self {
            step,
            step_since: now,
            success_count_at_start: success_count,
        }
    }

    /// Fraction of the zone's full share in the current step, from 0 to 1.
    pub(crate) fn traffic_fraction(&self) -> f64 {
        RECOVERY_FRACTIONS.get(self.step).copied().unwrap_or(1.0)
    }

    pub(crate) fn is_first_step(&self) -> bool {
        self.step == 0
    }

    /// Index of the step after the current one; none after the last step.
    pub(crate) fn next_step(&self) -> Option<usize> {
        let next = self.step + 1;
        (next < RECOVERY_FRACTIONS.len()).then_some(next)
    }

    /// Earliest instant at which the step can be complete.
    pub(crate) fn next_assessment_at(&self) -> Nanos {
        self.step_since + STEP_PERIOD
    }

    /// The recovery as gossiped to the other nodes.
    pub(crate) fn observed_state(&self, success_count: u32) -> ObservedState {
        ObservedState::Recovering {
            step: u8::try_from(self.step).unwrap_or(u8::MAX),
            has_success: self.has_success(success_count),
        }
    }

    /// The peers' median step, if the current step is behind that step.
    pub(crate) fn catch_up_step(&self, median_step: Option<usize>) -> Option<usize> {
        let median_step = median_step.filter(|median| self.step < *median)?;
        Some(median_step.min(RECOVERY_FRACTIONS.len() - 1))
    }

    /// Decides how the recovery continues at `now`.
    pub(crate) fn assess(&self, now: Nanos, evidence: &StepEvidence) -> StepOutcome {
        let duration = now.saturating_sub(self.step_since);
        let median_step = evidence.peers.and_then(|peers| peers.median_step);
        if evidence.against_zone >= SUSPECT_THRESHOLD {
            return StepOutcome::Eject;
        }
        if evidence.against_zone >= STEP_BACK_THRESHOLD && duration >= STEP_BACK_DELAY {
            return StepOutcome::Enter(self.step.saturating_sub(1));
        }
        // Keeps all nodes at the same step, including nodes with few requests of their own.
        if let Some(step) = self.catch_up_step(median_step) {
            return StepOutcome::Enter(step);
        }
        let is_ahead = median_step.is_some_and(|median| self.step > median);
        if !is_ahead && self.is_complete(evidence, duration) {
            return StepOutcome::Complete;
        }
        StepOutcome::Continue
    }

    /// Whether a step of this duration has had a usable response, at this node or a peer, and no excessive slowdown.
    fn is_complete(&self, evidence: &StepEvidence, duration: Nanos) -> bool {
        let has_success = self.has_success(evidence.success_count)
            || evidence
                .peers
                .is_some_and(|peers| peers.has_success_at_step);
        let slowdown_limit =
            SLOWDOWN_LIMIT.max(SLOWDOWN_GROWTH_LIMIT * evidence.first_step_slowdown);
        let is_fast_enough = evidence.slowdown < slowdown_limit;
        duration >= STEP_PERIOD
            && has_success
            && (is_fast_enough || duration >= MAXIMUM_STEP_PERIOD)
    }

    /// Whether a usable response has come in the current step.
    fn has_success(&self, success_count: u32) -> bool {
        success_count > self.success_count_at_start
    }
}

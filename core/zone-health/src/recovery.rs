//! Recovery of one zone after an ejection: its steps, and when one ends. All instants are on the awake clock.

use crate::assessment::SUSPECT_THRESHOLD;
use crate::observation::ObservedState;
use crate::peer_summary::PeerSummary;
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// The fraction of its requests that a zone gets in each step of its recovery.
pub(crate) const RECOVERY_FRACTIONS: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.7];
/// How long a recovery step lasts at the least: long enough that responses have come.
pub(crate) const STEP_PERIOD: Nanos = 300 * MILLISECOND;
/// Evidence at which a recovery goes back one step.
pub(crate) const STEP_BACK_THRESHOLD: f64 = 2.5;
/// How long a recovery step lasts before evidence may end it: half of its period.
pub(crate) const STEP_BACK_DELAY: Nanos = STEP_PERIOD / 2;
/// How long slow responses delay the next recovery step at the most: silence is still watched then.
const MAXIMUM_STEP_PERIOD: Nanos = 2 * SECOND;
/// Slowdown of responses that delays the next recovery step ...
const SLOWDOWN_LIMIT: f64 = 3.0;
/// ... if it is also this many times the slowdown of the first step: restarted servers are slow without load.
const SLOWDOWN_GROWTH_LIMIT: f64 = 2.0;

/// A recovery in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Recovery {
    /// Index of the current step in [`RECOVERY_FRACTIONS`].
    step: usize,
    step_since: Nanos,
    /// Usable responses counted before the step began.
    success_count_at_start: u32,
}

/// The evidence about a recovering zone at one instant.
#[derive(Clone, Copy)]
pub(crate) struct StepEvidence {
    /// Evidence against the zone, on the scale of [`SUSPECT_THRESHOLD`].
    pub(crate) against_zone: f64,
    /// The other nodes' observations, if there are other nodes.
    pub(crate) peers: Option<PeerSummary>,
    /// Usable responses counted.
    pub(crate) success_count: u32,
    /// Response times relative to the usual ones.
    pub(crate) slowdown: f64,
    /// The slowdown at the end of the first step.
    pub(crate) first_step_slowdown: f64,
}

/// What follows from the evidence in a recovery step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutcome {
    /// The step goes on.
    Continue,
    /// The zone is ejected again.
    Eject,
    /// The recovery goes back to an earlier step, or forward to that of the peers.
    Enter(usize),
    /// The step has shown that the zone can take more.
    Complete,
}

impl Recovery {
    /// The beginning of a step.
    pub(crate) fn at_step(step: usize, now: Nanos, success_count: u32) -> Self {
        Self {
            step,
            step_since: now,
            success_count_at_start: success_count,
        }
    }

    /// The fraction of its usual requests that the zone gets.
    pub(crate) fn traffic_fraction(&self) -> f64 {
        RECOVERY_FRACTIONS.get(self.step).copied().unwrap_or(1.0)
    }

    /// Whether this is the first step.
    pub(crate) fn is_first_step(&self) -> bool {
        self.step == 0
    }

    /// The step after this one; none after the last one.
    pub(crate) fn next_step(&self) -> Option<usize> {
        let next = self.step + 1;
        (next < RECOVERY_FRACTIONS.len()).then_some(next)
    }

    /// When the step may be complete.
    pub(crate) fn next_assessment_at(&self) -> Nanos {
        self.step_since + STEP_PERIOD
    }

    /// The recovery in the form in which it is gossiped.
    pub(crate) fn observed_state(&self, success_count: u32) -> ObservedState {
        ObservedState::Recovering {
            step: u8::try_from(self.step).unwrap_or(u8::MAX),
            has_success: self.has_success(success_count),
        }
    }

    /// The peers' median step, if this recovery is behind it.
    pub(crate) fn catch_up_step(&self, median_step: Option<usize>) -> Option<usize> {
        let median_step = median_step.filter(|median| self.step < *median)?;
        Some(median_step.min(RECOVERY_FRACTIONS.len() - 1))
    }

    /// What follows from the evidence now.
    pub(crate) fn assess(&self, now: Nanos, evidence: &StepEvidence) -> StepOutcome {
        let duration = now.saturating_sub(self.step_since);
        let median_step = evidence.peers.and_then(|peers| peers.median_step);
        if evidence.against_zone >= SUSPECT_THRESHOLD {
            return StepOutcome::Eject;
        }
        if evidence.against_zone >= STEP_BACK_THRESHOLD && duration >= STEP_BACK_DELAY {
            return StepOutcome::Enter(self.step.saturating_sub(1));
        }
        // All nodes recover in step, and one with few requests goes with the others.
        if let Some(step) = self.catch_up_step(median_step) {
            return StepOutcome::Enter(step);
        }
        let is_ahead = median_step.is_some_and(|median| self.step > median);
        if !is_ahead && self.is_complete(evidence, duration) {
            return StepOutcome::Complete;
        }
        StepOutcome::Continue
    }

    /// Whether a step that has lasted for this duration has shown that the zone can take more.
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

    /// Whether a usable response has come in this step.
    fn has_success(&self, success_count: u32) -> bool {
        success_count > self.success_count_at_start
    }
}

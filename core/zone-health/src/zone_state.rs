//! State machine of one zone at this node.
//!
//! ```text
//!           evidence, or quorum of peers              confirmed
//!  +---------+ --------------------> +-----------+ ------------> +---------+
//!  | Healthy |                       | Suspected |               | Ejected |
//!  +---------+ <-------------------- +-----------+               +---------+
//!     |    ^         withdrawn                                     |     ^
//!     |    |                                   probes successful,  |     | evidence
//!     |    |     last step completed      servers listed again     v     |
//!     |    +--------------------------------------------------- +------------+
//!     +-------------------------------------------------------> | Recovering | --+ next or
//!                      quorum of peers                          +------------+ <-+ previous step
//! ```
//!
//! In addition, any state becomes `Healthy` when the monitor detects that this node was isolated, and a state that is
//! due to failures becomes `Healthy` when other zones fail at a similar rate.
//!
//! All instants are on the awake clock.

use crate::action::ZoneStateReason;
use crate::assessment::{Assessment, EvidenceSnapshot, SUSPECT_THRESHOLD};
use crate::evidence::Evidence;
use crate::observation::ObservedState;
use crate::peer_summary::PeerSummary;
use crate::recovery::{Recovery, StepEvidence, StepOutcome};
use crate::recovery_probes::{Ejection, ProbeContext, ProbeProgress};
use crate::suspicion::{MAXIMUM_SUSPICION_PERIOD, Suspicion, SuspicionOutcome};
use badgerpost_time::{Nanos, SECOND};

/// Own evidence at which this node reports a zone's state as first-hand, in nats.
const FIRST_HAND_THRESHOLD: f64 = 2.0;
/// Slowdown of responses that does not count as silence in the decision to eject a zone.
pub(crate) const SLOWDOWN_TOLERANCE: f64 = 4.0;
/// Replaces [`SLOWDOWN_TOLERANCE`] for restarted servers, which start with an eighth of their capacity.
const RESTART_SLOWDOWN_TOLERANCE: f64 = 8.0;
/// Time for which a zone must stay healthy until earlier ejections no longer prolong the next one.
const EJECTION_COUNT_RESET_PERIOD: Nanos = 60 * SECOND;
/// Lower bound of the failure rate in other zones from which a zone's failures count as common.
const COMMON_FAILURE_RATE: f64 = 0.15;
/// Replaces [`COMMON_FAILURE_RATE`] if greater: this fraction of the failure rate at which the zone was suspected.
const COMMON_FAILURE_FRACTION: f64 = 0.5;
/// How long evidence of failures is ignored after the zone's failures counted as common.
const IGNORED_FAILURES_PERIOD: Nanos = 10 * SECOND;
/// How long a node that completed a zone's recovery ignores peers that report the zone as not healthy.
const RECENT_RECOVERY_PERIOD: Nanos = 4 * SECOND;

/// A state of the state machine in the module's diagram.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ZoneStage {
    /// The zone gets its full share.
    Healthy,
    /// The zone gets no new requests until the suspicion is withdrawn or confirmed.
    Suspected(Suspicion),
    /// The zone gets recovery probes only.
    Ejected(Ejection),
    /// The zone gets a fraction of its full share, which grows in steps.
    Recovering(Recovery),
}

/// The state machine of one zone, with the evidence about the zone.
pub(crate) struct ZoneState {
    stage: ZoneStage,
    pub(crate) evidence: Evidence,
    /// Ejections since the zone was last healthy for [`EJECTION_COUNT_RESET_PERIOD`].
    ejection_count: u32,
    /// When the zone became healthy; 0 if the zone has been healthy from the start.
    healthy_since: Nanos,
    /// End of the period in which evidence of failures is ignored; 0 if there was none.
    ignore_failures_until: Nanos,
    /// Slowdown of responses at the end of the first recovery step.
    first_step_slowdown: f64,
    /// Whether the last recovery began because servers were listed in a zone that had none.
    has_restarted_servers: bool,
    /// Recent failure rate when the zone was last suspected, or ejected again during a recovery.
    failure_rate_at_suspicion: f64,
    /// Whether the last suspicion, or ejection during a recovery, was based on this node's own evidence.
    is_first_hand: bool,
}

impl ZoneState {
    /// Creates a healthy zone without evidence for `class_count` request classes.
    pub(crate) fn new(class_count: usize) -> Self {
        Self {
            stage: ZoneStage::Healthy,
            evidence: Evidence::new(class_count),
            ejection_count: 0,
            healthy_since: 0,
            ignore_failures_until: 0,
            first_step_slowdown: 1.0,
            has_restarted_servers: false,
            failure_rate_at_suspicion: 0.0,
            is_first_hand: false,
        }
    }

    /// Whether the zone gets its full share.
    pub(crate) fn is_healthy(&self) -> bool {
        self.stage == ZoneStage::Healthy
    }

    /// Whether the last suspicion, or ejection during a recovery, was based on this node's own evidence.
    pub(crate) fn is_first_hand(&self) -> bool {
        self.is_first_hand
    }

    /// Fraction of the zone's full share that the state allows, from 0 to 1.
    pub(crate) fn traffic_fraction(&self) -> f64 {
        match self.stage {
            ZoneStage::Healthy => 1.0,
            ZoneStage::Suspected(_) | ZoneStage::Ejected(_) => 0.0,
            ZoneStage::Recovering(recovery) => recovery.traffic_fraction(),
        }
    }

    /// Why the zone is in the current state.
    pub(crate) fn reason(&self) -> ZoneStateReason {
        match self.stage {
            ZoneStage::Healthy => ZoneStateReason::Healthy,
            ZoneStage::Suspected(suspicion) => suspicion.reason(),
            ZoneStage::Ejected(ejection) if ejection.has_successful_probe() => {
                ZoneStateReason::Probing
            }
            ZoneStage::Ejected(ejection) => ejection.reason(),
            ZoneStage::Recovering(_) => ZoneStateReason::Recovering,
        }
    }

    /// The state as gossiped to the other nodes.
    pub(crate) fn observed_state(&self, now: Nanos) -> ObservedState {
        match self.stage {
            ZoneStage::Healthy => ObservedState::Healthy,
            ZoneStage::Suspected(_) => ObservedState::Suspected,
            ZoneStage::Ejected(ejection) => ejection.observed_state(now),
            ZoneStage::Recovering(recovery) => {
                recovery.observed_state(self.evidence.success_count())
            }
        }
    }

    /// Slowdown of responses that does not count as silence in the current state.
    pub(crate) fn slowdown_tolerance(&self) -> f64 {
        let is_recovering = matches!(self.stage, ZoneStage::Recovering(_));
        if self.has_restarted_servers && is_recovering {
            RESTART_SLOWDOWN_TOLERANCE
        } else {
            SLOWDOWN_TOLERANCE
        }
    }

    /// When the state must be assessed even without an event; none for a healthy zone.
    pub(crate) fn next_assessment_at(&self) -> Option<Nanos> {
        match self.stage {
            ZoneStage::Healthy => None,
            ZoneStage::Suspected(suspicion) => Some(suspicion.next_assessment_at()),
            ZoneStage::Ejected(ejection) => Some(ejection.next_probe_at()),
            ZoneStage::Recovering(recovery) => Some(recovery.next_assessment_at()),
        }
    }

    /// Applies the transition, if any, that follows from the evidence at `now`.
    pub(crate) fn assess(&mut self, now: Nanos, snapshot: EvidenceSnapshot, probes: ProbeContext) {
        let assessment = Assessment::new(&snapshot, now < self.ignore_failures_until);
        match self.stage {
            ZoneStage::Healthy => self.assess_healthy(now, &snapshot, assessment),
            ZoneStage::Suspected(suspicion) => {
                self.assess_suspected(now, &snapshot, suspicion, probes);
            }
            ZoneStage::Ejected(ejection) => {
                if let Some(peers) = snapshot.peers {
                    self.assess_ejected(now, ejection, peers, probes);
                }
            }
            ZoneStage::Recovering(recovery) => {
                self.assess_recovering(now, &snapshot, assessment, recovery, probes);
            }
        }
    }

    /// Healthy → Suspected on sufficient evidence. Otherwise may adopt the state reported by the peers.
    fn assess_healthy(&mut self, now: Nanos, snapshot: &EvidenceSnapshot, assessment: Assessment) {
        if now.saturating_sub(self.healthy_since) >= EJECTION_COUNT_RESET_PERIOD {
            self.ejection_count = 0;
        }
        // A zone without an alternative is suspected only after a long silence.
        let may_be_suspected =
            snapshot.has_alternative || snapshot.silent_duration >= MAXIMUM_SUSPICION_PERIOD;
        if assessment.evidence >= SUSPECT_THRESHOLD && may_be_suspected {
            self.suspect(now, assessment.reason, snapshot.own_evidence);
        } else if let Some(peers) = snapshot.peers
            && snapshot.has_alternative
            && !snapshot.has_recent_success
            && !self.is_recently_recovered(now)
        {
            self.adopt_peers_state(now, peers);
        }
    }

    /// Healthy → Suspected, on evidence.
    fn suspect(&mut self, now: Nanos, reason: ZoneStateReason, own_evidence: f64) {
        self.failure_rate_at_suspicion = self.evidence.recent_failure_rate();
        self.evidence.reset_success_count();
        self.is_first_hand = own_evidence >= FIRST_HAND_THRESHOLD;
        self.stage = ZoneStage::Suspected(Suspicion::new(now, reason));
    }

    /// Healthy → Suspected or Recovering, following a quorum of peers, for a node without recent responses.
    fn adopt_peers_state(&mut self, now: Nanos, peers: PeerSummary) {
        self.is_first_hand = false;
        if peers.is_ejected_by_quorum {
            // The suspicion is withdrawn when the peers withdraw theirs, and is otherwise confirmed after its period.
            self.evidence.reset_success_count();
            let reason = ZoneStateReason::Silent { evidence: 0.0 };
            self.stage = ZoneStage::Suspected(Suspicion::new(now, reason));
        } else if peers.is_recovering_by_quorum {
            self.start_recovery(now);
            self.catch_up(now, peers.median_step);
        }
    }

    /// Whether the zone became healthy so recently that the peers' reports may be older than the recovery.
    fn is_recently_recovered(&self, now: Nanos) -> bool {
        self.healthy_since > 0 && now.saturating_sub(self.healthy_since) < RECENT_RECOVERY_PERIOD
    }

    /// Suspected → Healthy if the suspicion is withdrawn, or → Ejected if the suspicion is confirmed.
    fn assess_suspected(
        &mut self,
        now: Nanos,
        snapshot: &EvidenceSnapshot,
        suspicion: Suspicion,
        probes: ProbeContext,
    ) {
        match suspicion.assess(now, snapshot, self.evidence.success_count()) {
            SuspicionOutcome::Continue => {}
            SuspicionOutcome::Withdraw => self.stage = ZoneStage::Healthy,
            SuspicionOutcome::Confirm => self.eject(now, suspicion.reason(), probes),
        }
    }

    /// Suspected or Recovering → Ejected.
    fn eject(&mut self, now: Nanos, reason: ZoneStateReason, probes: ProbeContext) {
        let ejection = Ejection::new(
            now,
            reason,
            self.ejection_count,
            probes.for_ejection(self.is_first_hand),
        );
        self.stage = ZoneStage::Ejected(ejection);
        self.ejection_count += 1;
    }

    /// Ejected → Recovering if the peers' recovery probes suffice. Otherwise may schedule a probe that confirms them.
    fn assess_ejected(
        &mut self,
        now: Nanos,
        mut ejection: Ejection,
        peers: PeerSummary,
        probes: ProbeContext,
    ) {
        ejection.schedule_confirmation(now, &peers, probes.for_ejection(self.is_first_hand));
        self.stage = ZoneStage::Ejected(ejection);
        if ejection.is_ended_by_peers(now, &peers) {
            self.start_recovery(now);
            self.catch_up(now, peers.median_step);
        }
    }

    /// Recovering → Ejected, another recovery step, or Healthy after the last step.
    fn assess_recovering(
        &mut self,
        now: Nanos,
        snapshot: &EvidenceSnapshot,
        assessment: Assessment,
        recovery: Recovery,
        probes: ProbeContext,
    ) {
        let evidence = StepEvidence {
            // Restarted servers respond slowly, so silence is measured with the state's slowdown tolerance.
            against_zone: assessment.failures.max(snapshot.tolerant_silence),
            peers: snapshot.peers,
            success_count: self.evidence.success_count(),
            slowdown: self.evidence.slowdown(),
            first_step_slowdown: self.first_step_slowdown,
        };
        match recovery.assess(now, &evidence) {
            StepOutcome::Continue => {}
            StepOutcome::Eject => {
                self.failure_rate_at_suspicion = self.evidence.recent_failure_rate();
                self.is_first_hand = snapshot.own_evidence >= FIRST_HAND_THRESHOLD;
                self.eject(now, assessment.reason, probes);
            }
            StepOutcome::Enter(step) => self.enter_step(now, step),
            StepOutcome::Complete => self.complete_step(now, recovery),
        }
    }

    /// Recovering → the next step, or Healthy after the last step.
    fn complete_step(&mut self, now: Nanos, recovery: Recovery) {
        if recovery.is_first_step() {
            self.first_step_slowdown = self.evidence.slowdown();
        }
        match recovery.next_step() {
            Some(step) => self.enter_step(now, step),
            None => {
                self.stage = ZoneStage::Healthy;
                self.healthy_since = now;
            }
        }
    }

    /// Moves a recovery that is behind the peers' median step forward to that step.
    fn catch_up(&mut self, now: Nanos, median_step: Option<usize>) {
        if let ZoneStage::Recovering(recovery) = self.stage
            && let Some(step) = recovery.catch_up_step(median_step)
        {
            self.enter_step(now, step);
        }
    }

    fn enter_step(&mut self, now: Nanos, step: usize) {
        let success_count = self.evidence.success_count();
        self.stage = ZoneStage::Recovering(Recovery::at_step(step, now, success_count));
    }

    /// Any state → Recovering, at the first step. Assumes that the zone's servers have not restarted.
    fn start_recovery(&mut self, now: Nanos) {
        self.has_restarted_servers = false;
        self.evidence.reset(now);
        self.enter_step(now, 0);
    }

    /// Any state → Healthy. Discards the evidence.
    pub(crate) fn restore(&mut self, now: Nanos) {
        self.stage = ZoneStage::Healthy;
        self.healthy_since = now;
        self.evidence.reset(now);
    }

    /// Any state → Healthy, because other zones fail at a similar rate. Ignores evidence of failures for a period.
    pub(crate) fn restore_and_ignore_failures(&mut self, now: Nanos) {
        self.restore(now);
        self.ignore_failures_until = now + IGNORED_FAILURES_PERIOD;
    }

    /// Whether the zone is suspected or ejected for failures that other zones now have at a similar rate.
    pub(crate) fn is_failure_common(&self, failure_rate_elsewhere: f64) -> bool {
        let reason = match self.stage {
            ZoneStage::Suspected(suspicion) => suspicion.reason(),
            ZoneStage::Ejected(ejection) => ejection.reason(),
            ZoneStage::Healthy | ZoneStage::Recovering(_) => return false,
        };
        let common_rate =
            COMMON_FAILURE_RATE.max(COMMON_FAILURE_FRACTION * self.failure_rate_at_suspicion);
        matches!(reason, ZoneStateReason::Failing { .. }) && failure_rate_elsewhere >= common_rate
    }

    /// Ejected → Recovering, because the evidence concerned earlier servers of the zone. No recovery probes are sent
    /// first, as restarted servers may be slower than a probe's timeout.
    pub(crate) fn recover_with_new_servers(&mut self, now: Nanos) {
        if matches!(self.stage, ZoneStage::Ejected(_)) {
            self.start_recovery(now);
            self.has_restarted_servers = true;
        }
    }

    /// Records a failed attempt. In an ejected zone, any attempt counts as a recovery probe, even one sent earlier.
    pub(crate) fn record_failed_attempt(&mut self, now: Nanos, probes: ProbeContext) {
        let probes = probes.for_ejection(self.is_first_hand);
        if let ZoneStage::Ejected(ejection) = &mut self.stage {
            ejection.record_failed_probe(now, probes);
        }
    }

    /// Records a successful attempt. In an ejected zone, any attempt counts as a recovery probe.
    pub(crate) fn record_successful_attempt(&mut self, now: Nanos, server_count: u32) {
        if let ZoneStage::Ejected(ejection) = &mut self.stage
            && ejection.record_successful_probe(now, server_count) == ProbeProgress::Sufficient
        {
            self.start_recovery(now);
        }
    }

    /// Whether a recovery probe is due. If so, schedules the next one.
    pub(crate) fn take_due_probe(&mut self, now: Nanos, probes: ProbeContext) -> bool {
        let probes = probes.for_ejection(self.is_first_hand);
        match &mut self.stage {
            ZoneStage::Ejected(ejection) => ejection.take_due_probe(now, probes),
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;

//! The state of one zone for this node, and its transitions.
//!
//! ```text
//!           evidence, or quorum of peers              confirmed
//!  +---------+ --------------------> +-----------+ ------------> +---------+
//!  | Healthy |                       | Suspected |               | Ejected |
//!  +---------+ <-------------------- +-----------+               +---------+
//!     |    ^         withdrawn                                     |     ^
//!     |    |                                    probes answered,   |     | evidence
//!     |    |     last step completed       servers listed anew     v     |
//!     |    +--------------------------------------------------- +------------+
//!     +-------------------------------------------------------> | Recovering | --+ next or
//!                      quorum of peers                          +------------+ <-+ previous step
//! ```
//!
//! Besides, any state becomes `Healthy` when the monitor finds that this node itself was cut off, or that other zones
//! fail as much.
//!
//! All instants here are on the awake clock.

use crate::action::ZoneStateReason;
use crate::assessment::{Assessment, EvidenceSnapshot, SUSPECT_THRESHOLD};
use crate::evidence::Evidence;
use crate::observation::ObservedState;
use crate::peer_summary::PeerSummary;
use crate::recovery::{Recovery, StepEvidence, StepOutcome};
use crate::recovery_probes::{Ejection, ProbeContext, ProbeProgress};
use crate::suspicion::{MAXIMUM_SUSPICION_PERIOD, Suspicion, SuspicionOutcome};
use badgerpost_time::{Nanos, SECOND};

/// Own evidence at which a node reports a state as first-hand.
const FIRST_HAND_THRESHOLD: f64 = 2.0;
/// Slowdown of responses that does not count as silence when it comes to ejecting a zone.
pub(crate) const SLOWDOWN_TOLERANCE: f64 = 4.0;
/// The same for restarted servers, which have an eighth of their capacity at first.
const RESTART_SLOWDOWN_TOLERANCE: f64 = 8.0;
/// Once a zone has stayed healthy for this long, its earlier ejections no longer prolong the next one.
const EJECTION_COUNT_RESET_PERIOD: Nanos = 60 * SECOND;
/// Failure rate in other zones from which on no single zone is held responsible ...
const COMMON_FAILURE_RATE: f64 = 0.15;
/// ... if it is also at least this fraction of the failure rate for which the zone was suspected.
const COMMON_FAILURE_FRACTION: f64 = 0.5;
/// How long evidence of failures is ignored after a zone was wrongly suspected of them.
const IGNORED_FAILURES_PERIOD: Nanos = 10 * SECOND;
/// How long a node that recovered a zone itself ignores peers that have not yet.
const RECENT_RECOVERY_PERIOD: Nanos = 4 * SECOND;

/// The state proper; see the module's diagram.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ZoneStage {
    /// The zone gets its usual share.
    Healthy,
    /// The zone gets nothing new until the suspicion is withdrawn or confirmed.
    Suspected(Suspicion),
    /// The zone gets recovery probes only.
    Ejected(Ejection),
    /// The zone gets a fraction of its requests, which grows step by step.
    Recovering(Recovery),
}

/// One zone: its state, and the evidence about it.
pub(crate) struct ZoneState {
    stage: ZoneStage,
    pub(crate) evidence: Evidence,
    /// Ejections since the zone was last healthy for [`EJECTION_COUNT_RESET_PERIOD`].
    ejection_count: u32,
    /// When the zone became healthy; 0 if it always was.
    healthy_since: Nanos,
    /// Until when evidence of failures is ignored.
    ignore_failures_until: Nanos,
    /// Slowdown of responses in the first recovery step.
    first_step_slowdown: f64,
    /// Whether the zone recovers with restarted servers.
    has_restarted_servers: bool,
    /// Recent failure rate when the zone was suspected.
    failure_rate_at_suspicion: f64,
    /// Whether the zone was suspected on this node's own evidence.
    is_first_hand: bool,
}

impl ZoneState {
    /// A healthy zone without evidence, for this number of request classes.
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

    /// Whether the zone gets its usual share.
    pub(crate) fn is_healthy(&self) -> bool {
        self.stage == ZoneStage::Healthy
    }

    /// Whether the zone was last suspected on this node's own evidence.
    pub(crate) fn is_first_hand(&self) -> bool {
        self.is_first_hand
    }

    /// The fraction of its usual requests that the zone gets, from 0 to 1.
    pub(crate) fn traffic_fraction(&self) -> f64 {
        match self.stage {
            ZoneStage::Healthy => 1.0,
            ZoneStage::Suspected(_) | ZoneStage::Ejected(_) => 0.0,
            ZoneStage::Recovering(recovery) => recovery.traffic_fraction(),
        }
    }

    /// The reason of the current state.
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

    /// The state in the form in which it is gossiped.
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

    /// Slowdown of responses that does not count as silence.
    pub(crate) fn slowdown_tolerance(&self) -> f64 {
        let is_recovering = matches!(self.stage, ZoneStage::Recovering(_));
        if self.has_restarted_servers && is_recovering {
            RESTART_SLOWDOWN_TOLERANCE
        } else {
            SLOWDOWN_TOLERANCE
        }
    }

    /// When the state must be assessed again even without any event.
    pub(crate) fn next_assessment_at(&self) -> Option<Nanos> {
        match self.stage {
            ZoneStage::Healthy => None,
            ZoneStage::Suspected(suspicion) => Some(suspicion.next_assessment_at()),
            ZoneStage::Ejected(ejection) => Some(ejection.next_probe_at()),
            ZoneStage::Recovering(recovery) => Some(recovery.next_assessment_at()),
        }
    }

    /// Applies the transition, if any, that follows from the evidence now.
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

    /// Healthy: becomes suspected on enough evidence, or else follows the peers.
    fn assess_healthy(&mut self, now: Nanos, snapshot: &EvidenceSnapshot, assessment: Assessment) {
        if now.saturating_sub(self.healthy_since) >= EJECTION_COUNT_RESET_PERIOD {
            self.ejection_count = 0;
        }
        // The last zone left is suspected only after a long silence.
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

    /// Healthy → Suspected or Recovering, as the peers decided while this node had no responses or was not running.
    fn adopt_peers_state(&mut self, now: Nanos, peers: PeerSummary) {
        self.is_first_hand = false;
        if peers.is_ejected_by_quorum {
            // Withdrawn if the peers withdraw theirs, confirmed as theirs are.
            self.evidence.reset_success_count();
            let reason = ZoneStateReason::Silent { evidence: 0.0 };
            self.stage = ZoneStage::Suspected(Suspicion::new(now, reason));
        } else if peers.is_recovering_by_quorum {
            self.start_recovery(now);
            self.catch_up(now, peers.median_step);
        }
    }

    /// Whether the zone has just become healthy: what peers reported before is older than this node's own experience.
    fn is_recently_recovered(&self, now: Nanos) -> bool {
        self.healthy_since > 0 && now.saturating_sub(self.healthy_since) < RECENT_RECOVERY_PERIOD
    }

    /// Suspected: the suspicion is withdrawn, or the zone is ejected.
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

    /// Ejected: recovers if enough of the peers' probes were answered.
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

    /// Recovering: the zone is ejected again, or goes to another step.
    fn assess_recovering(
        &mut self,
        now: Nanos,
        snapshot: &EvidenceSnapshot,
        assessment: Assessment,
        recovery: Recovery,
        probes: ProbeContext,
    ) {
        let evidence = StepEvidence {
            // Restarted servers are slow, not silent.
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

    /// Recovering → the next step, or Healthy after the last one.
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

    /// Goes forward to the peers' median recovery step, if the zone is recovering and behind it.
    fn catch_up(&mut self, now: Nanos, median_step: Option<usize>) {
        if let ZoneStage::Recovering(recovery) = self.stage
            && let Some(step) = recovery.catch_up_step(median_step)
        {
            self.enter_step(now, step);
        }
    }

    /// Begins a recovery step.
    fn enter_step(&mut self, now: Nanos, step: usize) {
        let success_count = self.evidence.success_count();
        self.stage = ZoneStage::Recovering(Recovery::at_step(step, now, success_count));
    }

    /// Any state → Recovering, in the first step, with the servers that the zone had before.
    fn start_recovery(&mut self, now: Nanos) {
        self.has_restarted_servers = false;
        self.evidence.reset(now);
        self.enter_step(now, 0);
    }

    /// Any state → Healthy; discards the evidence.
    pub(crate) fn restore(&mut self, now: Nanos) {
        self.stage = ZoneStage::Healthy;
        self.healthy_since = now;
        self.evidence.reset(now);
    }

    /// Any state → Healthy, as other zones fail as much; further failures are ignored for a while.
    pub(crate) fn restore_and_ignore_failures(&mut self, now: Nanos) {
        self.restore(now);
        self.ignore_failures_until = now + IGNORED_FAILURES_PERIOD;
    }

    /// Whether the zone is suspected or ejected for failures that other zones have by now, too.
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

    /// Ejected → Recovering, as servers are listed in a zone that had none: the evidence was about others. Restarted
    /// servers may be slower than a recovery probe's timeout, so the first step takes the place of the probes.
    pub(crate) fn recover_with_new_servers(&mut self, now: Nanos) {
        if matches!(self.stage, ZoneStage::Ejected(_)) {
            self.start_recovery(now);
            self.has_restarted_servers = true;
        }
    }

    /// An attempt failed. In an ejected zone it counts as a failed recovery probe, even if it was sent before.
    pub(crate) fn record_failed_attempt(&mut self, now: Nanos, probes: ProbeContext) {
        let probes = probes.for_ejection(self.is_first_hand);
        if let ZoneStage::Ejected(ejection) = &mut self.stage {
            ejection.record_failed_probe(now, probes);
        }
    }

    /// An attempt succeeded. In an ejected zone it counts as an answered recovery probe, and may start the recovery.
    pub(crate) fn record_successful_attempt(&mut self, now: Nanos, server_count: u32) {
        if let ZoneStage::Ejected(ejection) = &mut self.stage
            && ejection.record_successful_probe(now, server_count) == ProbeProgress::Sufficient
        {
            self.start_recovery(now);
        }
    }

    /// Whether a recovery probe is due; if so, the next one is scheduled.
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

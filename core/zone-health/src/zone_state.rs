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
use crate::recovery_probes::{Ejection, ProbeContext, ProbeProgress};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// A suspicion of silence that peers alone caused is withdrawn below this evidence.
const WITHDRAWAL_THRESHOLD: f64 = SUSPECT_THRESHOLD / 2.0;
/// Own evidence at which a node reports a state as first-hand.
const FIRST_HAND_THRESHOLD: f64 = 2.0;
/// Evidence at which a recovery goes back one step.
const STEP_BACK_THRESHOLD: f64 = 2.5;
/// Slowdown of responses that does not count as silence when it comes to ejecting a zone.
pub(crate) const SLOWDOWN_TOLERANCE: f64 = 4.0;
/// The same for restarted servers, which have an eighth of their capacity at first.
const RESTART_SLOWDOWN_TOLERANCE: f64 = 8.0;
/// How long a suspicion must last before the zone is ejected: a short network interruption ends within this time.
const SUSPICION_PERIOD: Nanos = 300 * MILLISECOND;
/// How long a suspicion lasts if too few outstanding attempts are left to tell a silent zone from a slow one.
const MAXIMUM_SUSPICION_PERIOD: Nanos = SECOND;
/// Once a zone has stayed healthy for this long, its earlier ejections no longer prolong the next one.
const EJECTION_MEMORY: Nanos = 60 * SECOND;
/// The fraction of its requests that a zone gets in each step of its recovery.
const RECOVERY_FRACTIONS: [f64; 5] = [0.05, 0.1, 0.2, 0.4, 0.7];
/// How long a recovery step lasts at the least: long enough that responses have come.
const STEP_PERIOD: Nanos = 300 * MILLISECOND;
/// How long a recovery step lasts before evidence may end it: half of its period.
const STEP_BACK_DELAY: Nanos = STEP_PERIOD / 2;
/// How long slow responses delay the next recovery step at the most: silence is still watched then.
const MAXIMUM_STEP_PERIOD: Nanos = 2 * SECOND;
/// Slowdown of responses that delays the next recovery step ...
const SLOWDOWN_LIMIT: f64 = 3.0;
/// ... if it is also this many times the slowdown of the first step: restarted servers are slow without load.
const SLOWDOWN_GROWTH_LIMIT: f64 = 2.0;
/// Failure rate in other zones from which on no single zone is held responsible ...
const COMMON_FAILURE_RATE: f64 = 0.15;
/// ... if it is also at least this fraction of the failure rate for which the zone was suspected.
const COMMON_FAILURE_FRACTION: f64 = 0.5;
/// How long evidence of failures is ignored after a zone was wrongly suspected of them.
const FAILURE_AMNESTY: Nanos = 10 * SECOND;
/// How long a node that recovered a zone itself ignores peers that have not yet.
const RECOVERED_PERIOD: Nanos = 4 * SECOND;

/// A suspicion against a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Suspicion {
    since: Nanos,
    reason: ZoneStateReason,
}

/// A recovery in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Recovery {
    /// Index of the current step in [`RECOVERY_FRACTIONS`].
    step: usize,
    step_since: Nanos,
}

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
    /// Ejections since the zone was last healthy for [`EJECTION_MEMORY`].
    ejection_count: u32,
    /// When the zone became healthy; 0 if it always was.
    healthy_since: Nanos,
    /// Until when evidence of failures is ignored.
    failure_amnesty_until: Nanos,
    /// Usable responses when the current recovery step began.
    successes_at_step_start: u32,
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
            failure_amnesty_until: 0,
            successes_at_step_start: 0,
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
            ZoneStage::Recovering(recovery) => RECOVERY_FRACTIONS
                .get(recovery.step)
                .copied()
                .unwrap_or(1.0),
        }
    }

    /// The reason of the current state.
    pub(crate) fn reason(&self) -> ZoneStateReason {
        match self.stage {
            ZoneStage::Healthy => ZoneStateReason::Healthy,
            ZoneStage::Suspected(suspicion) => suspicion.reason,
            ZoneStage::Ejected(ejection) if ejection.has_answered_probe() => {
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
            ZoneStage::Recovering(recovery) => ObservedState::Recovering {
                step: u8::try_from(recovery.step).unwrap_or(u8::MAX),
                has_answers: self.has_answers_in_step(),
            },
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
            ZoneStage::Suspected(suspicion) => Some(suspicion.since + SUSPICION_PERIOD),
            ZoneStage::Ejected(ejection) => Some(ejection.next_probe_at()),
            ZoneStage::Recovering(recovery) => Some(recovery.step_since + STEP_PERIOD),
        }
    }

    /// Applies the transition, if any, that follows from the evidence now.
    pub(crate) fn assess(&mut self, now: Nanos, snapshot: EvidenceSnapshot, probes: ProbeContext) {
        let assessment = Assessment::new(&snapshot, now < self.failure_amnesty_until);
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
        if now.saturating_sub(self.healthy_since) >= EJECTION_MEMORY {
            self.ejection_count = 0;
        }
        // The last zone left is suspected only after a long silence.
        let may_be_suspected =
            snapshot.has_alternative || snapshot.silent_duration >= MAXIMUM_SUSPICION_PERIOD;
        if assessment.evidence >= SUSPECT_THRESHOLD && may_be_suspected {
            self.suspect(now, assessment.reason, snapshot.own_evidence);
        } else if let Some(peers) = snapshot.peers
            && snapshot.has_alternative
            && !snapshot.has_answers
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
        self.stage = ZoneStage::Suspected(Suspicion { since: now, reason });
    }

    /// Healthy → Suspected or Recovering, as the peers decided while this node had no responses or was not running.
    fn adopt_peers_state(&mut self, now: Nanos, peers: PeerSummary) {
        self.is_first_hand = false;
        if peers.is_ejected_by_quorum {
            // Withdrawn if the peers withdraw theirs, confirmed as theirs are.
            self.evidence.reset_success_count();
            self.stage = ZoneStage::Suspected(Suspicion {
                since: now,
                reason: ZoneStateReason::Silent { evidence: 0.0 },
            });
        } else if peers.is_recovering_by_quorum {
            self.start_recovery(now);
            self.catch_up(now, peers.median_step);
        }
    }

    /// Whether the zone has just become healthy: what peers reported before is older than this node's own experience.
    fn is_recently_recovered(&self, now: Nanos) -> bool {
        self.healthy_since > 0 && now.saturating_sub(self.healthy_since) < RECOVERED_PERIOD
    }

    /// Suspected: the suspicion is withdrawn, or the zone is ejected.
    fn assess_suspected(
        &mut self,
        now: Nanos,
        snapshot: &EvidenceSnapshot,
        suspicion: Suspicion,
        probes: ProbeContext,
    ) {
        let duration = now.saturating_sub(suspicion.since);
        let is_silent = matches!(suspicion.reason, ZoneStateReason::Silent { .. });
        if is_silent && self.is_withdrawn(snapshot) {
            self.stage = ZoneStage::Healthy;
            return;
        }
        let is_confirmed = !is_silent || snapshot.tolerant_silence >= SUSPECT_THRESHOLD;
        if duration >= MAXIMUM_SUSPICION_PERIOD || (duration >= SUSPICION_PERIOD && is_confirmed) {
            self.eject(now, suspicion.reason, probes);
        }
    }

    /// Whether a suspicion of silence is refuted by a response, or no longer held by any peer with own evidence.
    ///
    /// Peers' evidence expires once they send the zone nothing, so its absence alone withdraws nothing.
    fn is_withdrawn(&self, snapshot: &EvidenceSnapshot) -> bool {
        let is_dropped_by_peers = snapshot
            .peers
            .is_some_and(|peers| !peers.is_held_first_hand)
            && snapshot.silence < WITHDRAWAL_THRESHOLD;
        self.evidence.success_count() > 0 || is_dropped_by_peers
    }

    /// Suspected or Recovering → Ejected.
    fn eject(&mut self, now: Nanos, reason: ZoneStateReason, probes: ProbeContext) {
        let ejection = Ejection::new(
            now,
            reason,
            self.ejection_count,
            probes.for_state(self.is_first_hand),
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
        ejection.follow_peers_probe(now, &peers, probes.for_state(self.is_first_hand));
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
        let duration = now.saturating_sub(recovery.step_since);
        let median_step = snapshot.peers.and_then(|peers| peers.median_step);
        // Restarted servers are slow, not silent.
        let evidence = assessment.failures.max(snapshot.tolerant_silence);
        if evidence >= SUSPECT_THRESHOLD {
            self.failure_rate_at_suspicion = self.evidence.recent_failure_rate();
            self.is_first_hand = snapshot.own_evidence >= FIRST_HAND_THRESHOLD;
            self.eject(now, assessment.reason, probes);
        } else if evidence >= STEP_BACK_THRESHOLD && duration >= STEP_BACK_DELAY {
            self.enter_step(now, recovery.step.saturating_sub(1));
        } else if median_step.is_some_and(|median| recovery.step < median) {
            // All nodes recover in step, and one with few requests goes with the others.
            self.catch_up(now, median_step);
        } else if median_step.is_none_or(|median| recovery.step <= median)
            && self.is_step_complete(snapshot, duration)
        {
            self.advance_step(now, recovery.step);
        }
    }

    /// Whether a recovery step that has lasted for this duration has shown that the zone can take more.
    fn is_step_complete(&self, snapshot: &EvidenceSnapshot, duration: Nanos) -> bool {
        let has_answers = self.has_answers_in_step()
            || snapshot
                .peers
                .is_some_and(|peers| peers.has_answers_at_step);
        let slowdown_limit = SLOWDOWN_LIMIT.max(SLOWDOWN_GROWTH_LIMIT * self.first_step_slowdown);
        let is_fast_enough = self.evidence.slowdown() < slowdown_limit;
        duration >= STEP_PERIOD
            && has_answers
            && (is_fast_enough || duration >= MAXIMUM_STEP_PERIOD)
    }

    /// Recovering → the next step, or Healthy after the last one.
    fn advance_step(&mut self, now: Nanos, step: usize) {
        if step == 0 {
            self.first_step_slowdown = self.evidence.slowdown();
        }
        self.enter_step(now, step + 1);
        if step + 1 >= RECOVERY_FRACTIONS.len() {
            self.stage = ZoneStage::Healthy;
            self.healthy_since = now;
        }
    }

    /// Goes forward to the peers' median recovery step, if the zone is recovering and behind it.
    fn catch_up(&mut self, now: Nanos, median_step: Option<usize>) {
        if let ZoneStage::Recovering(recovery) = self.stage
            && let Some(median_step) = median_step
            && recovery.step < median_step
        {
            self.enter_step(now, median_step.min(RECOVERY_FRACTIONS.len() - 1));
        }
    }

    /// Begins a recovery step.
    fn enter_step(&mut self, now: Nanos, step: usize) {
        self.successes_at_step_start = self.evidence.success_count();
        self.stage = ZoneStage::Recovering(Recovery {
            step,
            step_since: now,
        });
    }

    /// Whether a usable response has come in the current recovery step.
    fn has_answers_in_step(&self) -> bool {
        self.evidence.success_count() > self.successes_at_step_start
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
    pub(crate) fn exonerate(&mut self, now: Nanos) {
        self.restore(now);
        self.failure_amnesty_until = now + FAILURE_AMNESTY;
    }

    /// Whether the zone is suspected or ejected for failures that other zones have by now, too.
    pub(crate) fn shares_common_failures(&self, failure_rate_elsewhere: f64) -> bool {
        let reason = match self.stage {
            ZoneStage::Suspected(suspicion) => suspicion.reason,
            ZoneStage::Ejected(ejection) => ejection.reason(),
            ZoneStage::Healthy | ZoneStage::Recovering(_) => return false,
        };
        let common_rate =
            COMMON_FAILURE_RATE.max(COMMON_FAILURE_FRACTION * self.failure_rate_at_suspicion);
        matches!(reason, ZoneStateReason::Failing { .. }) && failure_rate_elsewhere >= common_rate
    }

    /// Ejected → Recovering, as servers are listed in a zone that had none: the evidence was about others. Restarted
    /// servers may be slower than a recovery probe's timeout, so the first step takes the place of the probes.
    pub(crate) fn servers_listed_anew(&mut self, now: Nanos) {
        if matches!(self.stage, ZoneStage::Ejected(_)) {
            self.start_recovery(now);
            self.has_restarted_servers = true;
        }
    }

    /// An attempt failed. In an ejected zone it counts as a failed recovery probe, even if it was sent before.
    pub(crate) fn attempt_failed(&mut self, now: Nanos, probes: ProbeContext) {
        let probes = probes.for_state(self.is_first_hand);
        if let ZoneStage::Ejected(ejection) = &mut self.stage {
            ejection.probe_failed(now, probes);
        }
    }

    /// An attempt succeeded. In an ejected zone it counts as an answered recovery probe, and may start the recovery.
    pub(crate) fn attempt_succeeded(&mut self, now: Nanos, server_count: u32) {
        if let ZoneStage::Ejected(ejection) = &mut self.stage
            && ejection.probe_answered(now, server_count) == ProbeProgress::Sufficient
        {
            self.start_recovery(now);
        }
    }

    /// Whether a recovery probe is due; if so, the next one is scheduled.
    pub(crate) fn take_due_probe(&mut self, now: Nanos, probes: ProbeContext) -> bool {
        let probes = probes.for_state(self.is_first_hand);
        match &mut self.stage {
            ZoneStage::Ejected(ejection) => ejection.take_due_probe(now, probes),
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests;

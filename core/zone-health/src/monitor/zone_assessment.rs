//! Assessment of the zones: collects the evidence about each zone, applies the resulting transition, and emits actions.

use super::ZoneMonitor;
use crate::action::Action;
use crate::assessment::EvidenceSnapshot;
use crate::evidence::SilenceEvidence;
use crate::ids::ZoneIndex;
use crate::peer_summary::OwnObservation;

/// Slowdown of responses that does not count as silence in the decision to suspect a zone.
const SUSPICION_SLOWDOWN_TOLERANCE: f64 = 2.0;

impl ZoneMonitor {
    /// Assesses all zones and emits the changes.
    pub(super) fn assess_zones(&mut self, actions: &mut Vec<Action>) {
        self.last_assessment_at = self.clock.now();
        self.has_pending_gossip = false;
        if !self.is_isolated {
            for zone in self.zones.indices() {
                self.assess_zone(zone, actions);
            }
            self.detect_isolation();
        }
        self.zones
            .publish_shares(self.clock.now(), self.is_isolated, actions);
    }

    /// Assesses one zone, unless an operators' override is in force.
    fn assess_zone(&mut self, zone: ZoneIndex, actions: &mut Vec<Action>) {
        let probes = self.draw_probe_context();
        if self
            .zones
            .entry(zone)
            .active_override(self.clock.now())
            .is_some()
        {
            return;
        }
        let awake_now = self.clock.awake_now();
        let snapshot = self.evidence_snapshot(zone);
        self.zones
            .entry_mut(zone)
            .state
            .assess(awake_now, snapshot, probes);
        let failure_rate_elsewhere = self.zones.worst_failure_rate_elsewhere(awake_now, zone);
        let state = &mut self.zones.entry_mut(zone).state;
        if state.is_failure_common(failure_rate_elsewhere) {
            state.restore_and_ignore_failures(awake_now);
        }
        if let Some(peers) = snapshot.peers {
            self.publish_observation(zone, peers, actions);
        }
        if self
            .zones
            .entry_mut(zone)
            .state
            .take_due_probe(awake_now, probes)
        {
            let timeout = self.attempts.probe_timeout();
            actions.push(Action::RequestProbe { zone, timeout });
        }
    }

    /// Makes all zones healthy if no zone can take requests. Either this node is isolated, or all zones are faulty and
    /// avoiding them has no benefit.
    fn detect_isolation(&mut self) {
        if self.zones.can_any_take_traffic(self.clock.now()) {
            return;
        }
        self.is_isolated = self.zones.is_any_suspected_or_ejected();
        self.zones.restore_all(self.clock.awake_now());
    }

    /// Evidence of silence from this node's attempts, tolerating responses `slowdown` times as slow as recorded.
    pub(super) fn silence_evidence(&self, zone: ZoneIndex, slowdown: f64) -> SilenceEvidence {
        let entry = self.zones.entry(zone);
        entry.state.evidence.silence_evidence(
            self.attempts.outstanding_in(zone),
            self.clock.awake_now(),
            self.attempts.silence_test(entry.server_count(), slowdown),
        )
    }

    /// All evidence about a zone, from this node and from the other nodes.
    fn evidence_snapshot(&self, zone: ZoneIndex) -> EvidenceSnapshot {
        let awake_now = self.clock.awake_now();
        let entry = self.zones.entry(zone);
        let silence = self.silence_evidence(zone, SUSPICION_SLOWDOWN_TOLERANCE);
        let tolerance = entry.state.slowdown_tolerance();
        let tolerant_silence = self.silence_evidence(zone, tolerance).evidence;
        let failures = entry.failure_evidence(awake_now);
        let has_recent_success = entry.has_recent_success(awake_now);
        let own = OwnObservation {
            silence: tolerant_silence,
            failures,
            has_recent_success,
        };
        let peers = self.summarize_peers(zone, own);
        // Recent usable responses to this node refute the other nodes' evidence of silence.
        let peers_silence = peers
            .filter(|_| !has_recent_success)
            .map_or(0.0, |peers| peers.silence);
        EvidenceSnapshot {
            silence: silence.evidence + peers_silence,
            tolerant_silence: tolerant_silence + peers_silence,
            failures: failures + peers.map_or(0.0, |peers| peers.failures),
            has_alternative: self.zones.has_alternative(self.clock.now(), zone),
            silent_duration: awake_now.saturating_sub(silence.first_sent_at),
            peers,
            has_recent_success,
            own_evidence: silence.evidence.max(failures),
        }
    }
}

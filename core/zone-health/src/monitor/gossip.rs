//! Gossip: the other members, the observations received from them, and the observations sent to them.

use super::{AssessmentNeed, ZoneMonitor};
use crate::action::Action;
use crate::ids::{GossipZone, MemberId, ZoneIndex};
use crate::observation::ZoneObservation;
use crate::observation_publisher::{Recipients, is_negligible, quantize_evidence};
use crate::peer_observations::refresh_interval;
use crate::peer_summary::{OwnObservation, PeerSummary};
use crate::zone_state::SLOWDOWN_TOLERANCE;
use badgerpost_time::Nanos;

/// Expected number of members that send their observations again for a new member.
const EXPECTED_RESENDING_MEMBERS: f64 = 8.0;

impl ZoneMonitor {
    /// Adds or removes a member. Randomly selected members send their observations again for a new one.
    pub(super) fn update_peer(&mut self, member: MemberId, home_zone: GossipZone, is_up: bool) {
        self.peers.update_member(member, home_zone, is_up);
        if !is_up {
            return;
        }
        let peer_count = self.peers.len() as f64;
        if self.random.next_fraction() * peer_count < EXPECTED_RESENDING_MEMBERS {
            self.zones.expire_observations();
            self.has_pending_gossip = true;
        }
    }

    /// Stores another node's observation. A burst of observations causes one assessment.
    pub(super) fn record_peer_observation(
        &mut self,
        member: MemberId,
        zone: GossipZone,
        sent_at: Nanos,
        observation: ZoneObservation,
    ) -> AssessmentNeed {
        let is_known_zone = self.zones.contains(zone.into());
        let now = self.clock.now();
        if !is_known_zone || !self.peers.record(now, member, zone, sent_at, observation) {
            return AssessmentNeed::None;
        }
        self.has_pending_gossip = true;
        AssessmentNeed::RateLimited
    }

    /// Summary of the other nodes' observations of a zone; none without other nodes.
    pub(super) fn summarize_peers(
        &self,
        zone: ZoneIndex,
        own: OwnObservation,
    ) -> Option<PeerSummary> {
        if self.peers.is_empty() {
            return None;
        }
        let summary =
            self.peers
                .summarize(self.clock.now(), zone.into(), self.local_zone().into(), own);
        Some(summary)
    }

    /// This node's observation of a zone, as sent to the other nodes.
    fn observation(&self, zone: ZoneIndex) -> ZoneObservation {
        let awake_now = self.clock.awake_now();
        let entry = self.zones.entry(zone);
        let silence = self.silence_evidence(zone, SLOWDOWN_TOLERANCE).evidence;
        let silence_evidence = quantize_evidence(silence);
        let failure_evidence = quantize_evidence(entry.failure_evidence(awake_now));
        let has_evidence = !is_negligible(silence_evidence) || !is_negligible(failure_evidence);
        ZoneObservation {
            observer_zone: self.local_zone().into(),
            silence_evidence,
            failure_evidence,
            has_recent_success: !has_evidence && entry.has_recent_success(awake_now),
            state: entry.state.observed_state(awake_now),
            is_first_hand: entry.state.is_first_hand(),
        }
    }

    /// Sends this node's observation of a zone to the other nodes, if due.
    pub(super) fn publish_observation(
        &mut self,
        zone: ZoneIndex,
        peers: PeerSummary,
        actions: &mut Vec<Action>,
    ) {
        let now = self.clock.now();
        let observation = self.observation(zone);
        let recipients = Recipients {
            has_adverse_report: peers.has_adverse_report,
            refresh_interval: refresh_interval(self.peers.len()),
        };
        let publisher = &mut self.zones.entry_mut(zone).observation_publisher;
        if publisher.publish(now, observation, recipients) {
            actions.push(Action::Gossip {
                zone: zone.into(),
                observation,
            });
        }
    }
}

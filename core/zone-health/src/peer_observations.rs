//! What the other nodes observe of the zones: keeps each member's latest observations and summarizes them for this
//! node. No single node's observation has an effect by itself, and outdated ones have none.

use std::collections::BTreeMap;

use crate::ids::{GossipZone, MemberId};
use crate::observation::ZoneObservation;
use crate::peer_summary::{OwnObservation, PeerSummary, ReceivedObservation, SummaryBuilder};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Members whose observations are kept; fleets are smaller.
const MAXIMUM_MEMBERS: usize = 4096;
/// How long an observation is used, at the least.
const MINIMUM_OBSERVATION_LIFETIME: Nanos = 3 * SECOND;
/// How long an observation is used, in refresh intervals: two lost refreshes do no harm.
const OBSERVATION_LIFETIME_REFRESHES: Nanos = 3;
/// An observation whose sender's clock differs by more than this from the time of receipt is discarded: the clocks
/// differ, or it was long on its way.
const MAXIMUM_CLOCK_DIFFERENCE: Nanos = 2 * SECOND;
/// Time between two refreshes of an observation by one node, at the least.
const MINIMUM_REFRESH_INTERVAL: Nanos = SECOND;
/// Time between two refreshes for each member, so that all members together send a bounded number a second.
const REFRESH_INTERVAL_PER_MEMBER: Nanos = 10 * MILLISECOND;

/// Another node, with its latest observation of each zone.
struct Member {
    home_zone: GossipZone,
    /// Whether the membership protocol has reported it as a member.
    is_up: bool,
    observations: BTreeMap<GossipZone, ReceivedObservation>,
}

impl Member {
    fn new(home_zone: GossipZone, is_up: bool) -> Self {
        Self {
            home_zone,
            is_up,
            observations: BTreeMap::new(),
        }
    }
}

/// The other nodes of the fleet, with their observations.
#[derive(Default)]
pub(crate) struct PeerObservations {
    members: BTreeMap<MemberId, Member>,
    /// How long an observation is used.
    observation_lifetime: Nanos,
}

impl PeerObservations {
    /// Adds a member, or removes it. A member that is already known has restarted, and its observations are discarded.
    pub(crate) fn update_member(&mut self, member: MemberId, home_zone: GossipZone, is_up: bool) {
        if !is_up {
            self.members.remove(&member);
        } else if self.has_capacity_for(member) {
            self.members.insert(member, Member::new(home_zone, true));
        }
        let refreshes = OBSERVATION_LIFETIME_REFRESHES * refresh_interval(self.members.len());
        self.observation_lifetime = MINIMUM_OBSERVATION_LIFETIME.max(refreshes);
    }

    /// Stores a member's observation. Returns whether it is used.
    pub(crate) fn record(
        &mut self,
        now: Nanos,
        member: MemberId,
        zone: GossipZone,
        sent_at: Nanos,
        observation: ZoneObservation,
    ) -> bool {
        if now.abs_diff(sent_at) > MAXIMUM_CLOCK_DIFFERENCE || !self.has_capacity_for(member) {
            return false;
        }
        // The first observation may arrive before the news that the node is a member.
        let entry = self
            .members
            .entry(member)
            .or_insert_with(|| Member::new(observation.observer_zone, false));
        let received = ReceivedObservation {
            received_at: now,
            observation,
        };
        entry.observations.insert(zone, received);
        true
    }

    fn has_capacity_for(&self, member: MemberId) -> bool {
        self.members.len() < MAXIMUM_MEMBERS || self.members.contains_key(&member)
    }

    /// Number of other members in a zone.
    pub(crate) fn count_in_zone(&self, home_zone: GossipZone) -> usize {
        self.members
            .values()
            .filter(|member| member.is_up && member.home_zone == home_zone)
            .count()
    }

    /// Number of other nodes, in all zones.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no other nodes.
    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Summarizes the observations of a zone for a node of `home_zone`.
    ///
    /// Only nodes of the same home zone count, and those of the observed zone itself: a node elsewhere may observe no
    /// more than a broken link of its own.
    pub(crate) fn summarize(
        &self,
        now: Nanos,
        zone: GossipZone,
        home_zone: GossipZone,
        own: OwnObservation,
    ) -> PeerSummary {
        let mut builder = SummaryBuilder::new(now, own);
        for member in self.members.values() {
            if member.home_zone != home_zone && member.home_zone != zone {
                continue;
            }
            if member.is_up && member.home_zone == home_zone {
                builder.count_home_zone_node();
            }
            if let Some(received) = member.observations.get(&zone)
                && now < received.received_at + self.observation_lifetime
            {
                builder.add_observation(received);
            }
        }
        builder.build()
    }
}

/// How often a node repeats its observation of a zone that is not healthy, in a fleet with this many other nodes.
pub(crate) fn refresh_interval(members: usize) -> Nanos {
    MINIMUM_REFRESH_INTERVAL.max(members as Nanos * REFRESH_INTERVAL_PER_MEMBER)
}

#[cfg(test)]
mod tests;

//! Stores each member's latest zone observations until they expire, and summarizes them for this node.

use std::collections::BTreeMap;

use crate::ids::{GossipZone, MemberId};
use crate::observation::ZoneObservation;
use crate::peer_summary::{OwnObservation, PeerSummary, ReceivedObservation, SummaryBuilder};
use badgerpost_time::{MILLISECOND, Nanos, SECOND};

/// Maximum number of members whose observations are stored.
const MAXIMUM_MEMBERS: usize = 4096;
/// Lower bound of the lifetime of an observation.
const MINIMUM_OBSERVATION_LIFETIME: Nanos = 3 * SECOND;
/// Lifetime of an observation in refresh intervals, so that the loss of two refreshes is tolerated.
const OBSERVATION_LIFETIME_REFRESHES: Nanos = 3;
/// Maximum difference between the sender's time and the time of receipt. A larger difference is due to different clocks
/// or a delayed message, and the observation is discarded.
const MAXIMUM_CLOCK_DIFFERENCE: Nanos = 2 * SECOND;
/// Lower bound of the interval at which one node refreshes an observation.
const MINIMUM_REFRESH_INTERVAL: Nanos = SECOND;
/// Increase of the refresh interval for each member, which bounds the rate of refreshes from all members together.
const REFRESH_INTERVAL_PER_MEMBER: Nanos = 10 * MILLISECOND;

/// Another node, with its latest observation of each zone.
struct Member {
    home_zone: GossipZone,
    /// Whether the membership protocol has reported the node as a member. False while only an observation has arrived.
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
    /// How long a received observation is used.
    observation_lifetime: Nanos,
}

impl PeerObservations {
    /// Adds or removes a member. A known member that is reported up again has restarted, and its observations are
    /// discarded.
    pub(crate) fn update_member(&mut self, member: MemberId, home_zone: GossipZone, is_up: bool) {
        if !is_up {
            self.members.remove(&member);
        } else if self.has_capacity_for(member) {
            self.members.insert(member, Member::new(home_zone, true));
        }
        let refreshes = OBSERVATION_LIFETIME_REFRESHES * refresh_interval(self.members.len());
        self.observation_lifetime = MINIMUM_OBSERVATION_LIFETIME.max(refreshes);
    }

    /// Stores a member's observation. Returns whether the observation was accepted.
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
        // The first observation may arrive before the membership protocol reports the node.
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

    /// Number of other members whose home zone is `home_zone`.
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

    pub(crate) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Summarizes the observations of `zone` for a node of `home_zone`.
    ///
    /// Only nodes of the same home zone and of the observed zone count: a node elsewhere may observe only the failure
    /// of its own zone's link to the observed zone.
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

/// Interval at which a node repeats an observation that is adverse to a zone, in a fleet with `members` other nodes.
pub(crate) fn refresh_interval(members: usize) -> Nanos {
    MINIMUM_REFRESH_INTERVAL.max(members as Nanos * REFRESH_INTERVAL_PER_MEMBER)
}

#[cfg(test)]
mod tests;

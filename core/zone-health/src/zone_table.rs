//! The entries of all zones, and values computed across zones: failure rates, alternatives and shares.

use std::collections::BTreeSet;

use crate::action::{Action, ZoneStateReason};
use crate::event::{ListedServer, Settings};
use crate::evidence::{AttemptCounts, DEFAULT_FAILURE_RATE};
use crate::ids::{ClassIndex, ServerId, ZoneIndex};
use crate::share_publisher::ZoneShare;
use crate::traffic_division::{ZoneCapacity, divide_traffic};
use crate::zone_entry::ZoneEntry;
use badgerpost_time::Nanos;

/// Number of pseudo-attempts at [`DEFAULT_FAILURE_RATE`] that smooth the failure rate in other zones.
const PSEUDO_ATTEMPTS_ELSEWHERE: f64 = 5.0;

/// One entry for each zone of the settings.
pub(crate) struct ZoneTable {
    /// Indexed by [`ZoneIndex`].
    entries: Vec<ZoneEntry>,
    zone_count: u32,
    class_count: u32,
    local_zone: ZoneIndex,
}

impl ZoneTable {
    /// Creates a table of healthy zones without servers.
    pub(crate) fn new(settings: &Settings) -> Self {
        let class_count = settings.class_count as usize;
        Self {
            entries: (0..settings.zone_count)
                .map(|_| ZoneEntry::new(class_count))
                .collect(),
            zone_count: settings.zone_count,
            class_count: settings.class_count,
            local_zone: ZoneIndex(settings.local_zone),
        }
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = ZoneIndex> + use<> {
        (0..self.zone_count).map(ZoneIndex)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &ZoneEntry> {
        self.entries.iter()
    }

    /// Whether the settings include the zone.
    pub(crate) fn contains(&self, zone: ZoneIndex) -> bool {
        zone.0 < self.zone_count
    }

    /// The entry of a zone. Panics if the settings do not include the zone.
    pub(crate) fn entry(&self, zone: ZoneIndex) -> &ZoneEntry {
        &self.entries[zone.position()]
    }

    /// The entry of a zone, for changes. Panics if the settings do not include the zone.
    pub(crate) fn entry_mut(&mut self, zone: ZoneIndex) -> &mut ZoneEntry {
        &mut self.entries[zone.position()]
    }

    /// Replaces the servers of all zones, and discards the evidence about servers that are no longer listed.
    pub(crate) fn set_servers(&mut self, awake_now: Nanos, servers: &[ListedServer]) {
        let listed: BTreeSet<ServerId> = servers.iter().map(|server| server.server).collect();
        for (zone, entry) in self.indices().zip(&mut self.entries) {
            let zone_servers = servers.iter().filter(|server| server.zone == zone);
            entry.set_servers(awake_now, zone_servers);
            entry
                .state
                .evidence
                .retain_servers(|server| listed.contains(&server));
        }
    }

    /// Makes all zones healthy and discards the evidence about them.
    pub(crate) fn restore_all(&mut self, awake_now: Nanos) {
        for entry in &mut self.entries {
            entry.state.restore(awake_now);
        }
    }

    /// Marks the observations of all zones to be sent to the other nodes again.
    pub(crate) fn expire_observations(&mut self) {
        for entry in &mut self.entries {
            entry.observation_publisher.expire();
        }
    }

    /// Failure rate of a class in the zones other than `zone`, smoothed by pseudo-attempts.
    pub(crate) fn failure_rate_elsewhere(
        &self,
        awake_now: Nanos,
        zone: ZoneIndex,
        class: ClassIndex,
    ) -> f64 {
        let mut sum = AttemptCounts::default();
        for (other, entry) in self.indices().zip(&self.entries) {
            if other != zone {
                let counts = entry.state.evidence.attempt_counts(class, awake_now);
                sum.failed += counts.failed;
                sum.total += counts.total;
            }
        }
        (sum.failed + DEFAULT_FAILURE_RATE * PSEUDO_ATTEMPTS_ELSEWHERE)
            / (sum.total + PSEUDO_ATTEMPTS_ELSEWHERE)
    }

    /// The highest failure rate of any class in the zones other than `zone`.
    pub(crate) fn worst_failure_rate_elsewhere(&self, awake_now: Nanos, zone: ZoneIndex) -> f64 {
        (0..self.class_count)
            .map(|class| self.failure_rate_elsewhere(awake_now, zone, ClassIndex(class)))
            .fold(0.0, f64::max)
    }

    pub(crate) fn can_any_take_traffic(&self, now: Nanos) -> bool {
        self.entries.iter().any(|entry| entry.can_take_traffic(now))
    }

    /// Whether a zone other than `zone` can take requests.
    pub(crate) fn has_alternative(&self, now: Nanos, zone: ZoneIndex) -> bool {
        self.indices()
            .any(|other| other != zone && self.entry(other).can_take_traffic(now))
    }

    pub(crate) fn is_any_suspected_or_ejected(&self) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.state.traffic_fraction() == 0.0)
    }

    /// Emits the shares that have changed sufficiently since the last publication.
    pub(crate) fn publish_shares(
        &mut self,
        now: Nanos,
        is_isolated: bool,
        actions: &mut Vec<Action>,
    ) {
        let shares = self.shares(now, is_isolated);
        for ((zone, entry), share) in self.indices().zip(&mut self.entries).zip(shares) {
            entry.share_publisher.publish(zone, share, actions);
        }
    }

    /// The current share of each zone.
    ///
    /// While the local zone gets its full share, the share of any other zone is the fraction that its state allows.
    /// Otherwise another zone's share is its part of the requests that spill from the local zone, capped at that
    /// fraction.
    fn shares(&self, now: Nanos, is_isolated: bool) -> Vec<ZoneShare> {
        let capacities: Vec<ZoneCapacity> = self
            .indices()
            .zip(&self.entries)
            .map(|(zone, entry)| entry.spill_capacity(now, zone == self.local_zone))
            .collect();
        let local_fraction = self
            .entries
            .get(self.local_zone.position())
            .map_or(1.0, |entry| entry.traffic_fraction(now));
        self.indices()
            .zip(&self.entries)
            .zip(divide_traffic(&capacities))
            .map(|((zone, entry), divided)| {
                let fraction = entry.traffic_fraction(now);
                let is_undivided = zone == self.local_zone || local_fraction >= 1.0;
                ZoneShare {
                    share: if is_undivided {
                        fraction
                    } else {
                        divided.min(fraction)
                    },
                    reason: share_reason(entry, now, is_isolated),
                    server_count: entry.server_count(),
                }
            })
            .collect()
    }
}

/// Why a zone has its current share.
fn share_reason(entry: &ZoneEntry, now: Nanos, is_isolated: bool) -> ZoneStateReason {
    if entry.active_override(now).is_some() {
        ZoneStateReason::OperatorOverride
    } else if is_isolated {
        ZoneStateReason::NoAlternative
    } else {
        entry.state.reason()
    }
}

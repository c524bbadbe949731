//! Zone routing: below the spill threshold, requests go to the local zone. Above it, they go to the remote zone
//! with the highest score, and back to the local zone if no backend of that remote zone can take them.

use std::cmp::Ordering;

use super::{ScoredZone, ZoneRouting};
use crate::api::{BackendId, LogEvent, Nanos, RequestId, ZoneId};
use crate::endpoint_selection::EndpointSelection;
use crate::fleet::Fleet;
use crate::random::Random;
use crate::request::Request;
use crate::tuning::{LARGE_FLEET_SPILL_THRESHOLD, UTILIZATION_MAX_AGE};
use badgerpost_time::{MILLISECOND, nanos_from_f64};

/// Period of scoring the remote zones: about as long as a sent request takes to show in a load report.
const SCORING_PERIOD: Nanos = 100 * MILLISECOND;
/// Upper bound of the jitter added to the scoring period, as a fraction of the period.
const SCORING_JITTER: f64 = 0.1;
/// Utilization from which a zone spills in a small fleet. A lower threshold would make loaded zones exchange
/// requests at the cost of cross-zone latency; a higher one would let queues grow faster than load reports arrive.
const SPILL_THRESHOLD: f64 = 0.85;
/// Weight of the unused fraction of capacity in a zone's score.
const HEADROOM_WEIGHT: f64 = 0.7;
/// Weight of the latency advantage in a zone's score.
const LATENCY_WEIGHT: f64 = 0.3;
/// Score of a zone without recent utilization: such a zone ranks last among the zones below the threshold, but can
/// still receive a request, whose response brings a load report.
const UNMEASURED_SCORE: f64 = -1.0;
/// Salt of the draw that picks a remote zone for a request beyond the local zone's traffic share.
const REMOTE_ZONE_SALT: u64 = u64::MAX;

impl ZoneRouting {
    /// Schedules the next scoring one jittered period after `now`.
    pub(crate) fn schedule_scoring(&mut self, now: Nanos, random: &mut Random) {
        let jitter = nanos_from_f64(random.draw() * SCORING_PERIOD as f64 * SCORING_JITTER);
        self.next_scoring_at = now + SCORING_PERIOD + jitter;
    }

    /// Scores the remote zones and orders them: zones below the spill threshold first, then by descending score.
    pub(crate) fn score_zones(&mut self, fleet: &Fleet) {
        let latencies = fleet
            .remote_zones()
            .filter_map(|zone| fleet.zones.get(zone).min_latency());
        let max_latency = latencies.fold(1.0, f64::max);
        let mut scored: Vec<ScoredZone> = fleet
            .remote_zones()
            .map(|zone| score_zone(fleet, zone, max_latency))
            .collect();
        scored.sort_by(ScoredZone::preference_cmp);
        self.below_threshold_count = scored
            .iter()
            .filter(|scored| scored.is_below_threshold)
            .count();
        self.overflow_order = scored.into_iter().map(|scored| scored.zone).collect();
    }

    /// Updates whether the local zone spills, and returns a log event if that has changed.
    pub(crate) fn update_spilling(&mut self, fleet: &Fleet) -> Option<LogEvent> {
        let local = fleet.local_zone();
        let is_spilling = utilization(fleet, local)
            .is_some_and(|utilization| utilization >= spill_threshold(fleet));
        if self.is_spilling == is_spilling {
            return None;
        }
        self.is_spilling = is_spilling;
        let to = self.overflow_order.first().copied().unwrap_or(local);
        Some(LogEvent::ZoneSpill {
            active: is_spilling,
            to,
        })
    }

    /// Chooses the backend for a request; `None` if the request should be queued. `prefers_local` is the result of
    /// [`prefers_local_zone`] for this request.
    pub(crate) fn choose_backend(
        &self,
        selection: &EndpointSelection,
        id: RequestId,
        request: &Request,
        prefers_local: bool,
    ) -> Option<BackendId> {
        let pick = |zone| selection.pick(id, request, zone);
        let local = selection.fleet.local_zone();
        let is_within_local_share = is_within_traffic_share(selection, id, local);
        if is_within_local_share
            && prefers_local
            && let Some(backend) = pick(local)
        {
            return Some(backend);
        }
        let target = self.overflow_target(selection, id, is_within_local_share);
        if let Some(backend) = target.and_then(pick) {
            return Some(backend);
        }
        if is_within_local_share
            && !prefers_local
            && let Some(backend) = pick(local)
        {
            return Some(backend);
        }
        // Neither zone has a backend that would answer in time: all are full, ejected or warming up, or the zones
        // are empty. Try every other open zone.
        self.open_overflow_zones(selection.fleet).find_map(pick)
    }

    /// The remote zone tried first for a request that the local zone does not serve.
    fn overflow_target(
        &self,
        selection: &EndpointSelection,
        id: RequestId,
        is_within_local_share: bool,
    ) -> Option<ZoneId> {
        if !is_within_local_share {
            // Sending all requests beyond the local zone's share to the best remote zone would overload that zone,
            // so they are divided among the remote zones.
            return draw_zone_by_traffic_share(selection, id);
        }
        self.best_overflow_zone()
            .filter(|&zone| selection.fleet.zones.traffic_share(zone) > 0.0)
    }

    /// The remote zones with a traffic share above 0, in overflow order.
    fn open_overflow_zones(&self, fleet: &Fleet) -> impl Iterator<Item = ZoneId> {
        self.overflow_order
            .iter()
            .copied()
            .filter(|&zone| fleet.zones.traffic_share(zone) > 0.0)
    }
}

impl ScoredZone {
    /// Orders zones below the threshold first, then by descending score, then by id.
    fn preference_cmp(&self, other: &Self) -> Ordering {
        let by_threshold = other.is_below_threshold.cmp(&self.is_below_threshold);
        let by_score = other.score.total_cmp(&self.score);
        by_threshold.then(by_score).then(self.zone.cmp(&other.zone))
    }
}

/// Whether a request tries the local zone before remote zones.
///
/// In a large fleet this is a random draw by the spill fraction: if all nodes left an overloaded zone at once, they
/// would overload the next zone.
pub(crate) fn prefers_local_zone(fleet: &Fleet, spill_fraction: f64, random: &mut Random) -> bool {
    if fleet.settings.is_large_fleet() {
        return random.draw() >= spill_fraction;
    }
    utilization(fleet, fleet.local_zone())
        .is_none_or(|utilization| utilization < spill_threshold(fleet))
}

/// Utilization at or above which a zone spills.
fn spill_threshold(fleet: &Fleet) -> f64 {
    if fleet.settings.is_large_fleet() {
        LARGE_FLEET_SPILL_THRESHOLD
    } else {
        SPILL_THRESHOLD
    }
}

/// A zone's utilization by smoothed load reports, scaled up by the growth of this node's in-flight requests since
/// those reports; `None` without recent reports.
///
/// The growth factor is at least 1: otherwise a full zone would appear free whenever few of this node's requests
/// are briefly in flight.
pub(crate) fn utilization(fleet: &Fleet, zone: ZoneId) -> Option<f64> {
    let mut used_size = 0.0;
    let mut size = 0.0;
    for (_, backend) in fleet.backends.in_zone(zone) {
        let is_available = backend.outlier.is_available(fleet.now, backend.in_flight());
        let utilization = backend.utilization();
        if is_available && utilization.is_younger_than(fleet.now, UTILIZATION_MAX_AGE) {
            used_size += utilization.value() * backend.size();
            size += backend.size();
        }
    }
    if size <= 0.0 {
        return None;
    }
    let state = fleet.zones.get(zone);
    let growth = (state.in_flight() + size) / (state.smoothed_in_flight(fleet.now) + size);
    Some(used_size / size * growth.max(1.0))
}

/// Scores a remote zone. `max_latency` is the largest of the remote zones' minimum response times, in nanoseconds.
fn score_zone(fleet: &Fleet, zone: ZoneId, max_latency: f64) -> ScoredZone {
    let Some(utilization) = utilization(fleet, zone) else {
        return ScoredZone {
            zone,
            is_below_threshold: true,
            score: UNMEASURED_SCORE,
        };
    };
    let headroom = 1.0 - utilization;
    let latency = fleet.zones.get(zone).min_latency();
    let latency_advantage = (max_latency - latency.unwrap_or(max_latency)) / max_latency;
    let score = HEADROOM_WEIGHT * headroom + LATENCY_WEIGHT * latency_advantage;
    ScoredZone {
        zone,
        is_below_threshold: utilization < spill_threshold(fleet),
        score,
    }
}

/// Whether a request falls within a zone's traffic share. The draw is fixed for each request and zone, so the
/// result changes only with the share.
fn is_within_traffic_share(selection: &EndpointSelection, id: RequestId, zone: ZoneId) -> bool {
    let share = selection.fleet.zones.traffic_share(zone);
    share >= 1.0 || selection.random.request_draw(id, u64::from(zone.0)) < share
}

/// Draws one of the remote zones, weighted by their traffic shares, for a request beyond the local zone's share.
fn draw_zone_by_traffic_share(selection: &EndpointSelection, id: RequestId) -> Option<ZoneId> {
    let fleet = selection.fleet;
    let total: f64 = fleet
        .remote_zones()
        .map(|zone| fleet.zones.traffic_share(zone))
        .sum();
    let mut remaining = selection.random.request_draw(id, REMOTE_ZONE_SALT) * total;
    fleet
        .remote_zones()
        .filter(|&zone| fleet.zones.traffic_share(zone) > 0.0)
        .find(|&zone| {
            remaining -= fleet.zones.traffic_share(zone);
            remaining <= 0.0
        })
}

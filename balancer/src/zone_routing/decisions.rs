//! Zone routing: the local zone first below the spill threshold, otherwise the best-scored other zone, and the local
//! zone again where none is_below_threshold.

use std::cmp::Ordering;

use super::{ScoredZone, ZoneRouting};
use crate::api::{BackendId, LogEvent, Nanos, RequestId, ZoneId};
use crate::endpoint_selection::EndpointSelection;
use crate::fleet::Fleet;
use crate::random::Random;
use crate::request::Request;
use crate::tuning::{LARGE_FLEET_SPILL_THRESHOLD, UTILIZATION_MAX_AGE};
use badgerpost_time::{MILLISECOND, nanos_from_f64};

/// Period of the other zones' scoring: about the time that a send needs to show in a report.
const SCORING_PERIOD: Nanos = 100 * MILLISECOND;
/// Most jitter of that period, as a fraction of it.
const SCORING_JITTER: f64 = 0.1;
/// A zone at or over this utilization spills. If it were lower, loaded zones would exchange requests at the price of a
/// remote call each; if it were higher, queues would grow faster than figures arrive.
const SPILL_THRESHOLD: f64 = 0.85;
/// Weight of spare utilization in a zone's score; it decides unless zones are alike.
const HEADROOM_WEIGHT: f64 = 0.7;
/// Weight of the latency saved in a zone's score.
const LATENCY_WEIGHT: f64 = 0.3;
/// Score of a zone without figures: it qualifies lowest, so that one send learns them.
const UNMEASURED_SCORE: f64 = -1.0;
/// Salt of the draw that divides the requests which the local zone does not take.
const REMOTE_ZONE_SALT: u64 = u64::MAX;

impl ZoneRouting {
    /// Sets the time of the next scoring.
    pub(crate) fn schedule_scoring(&mut self, now: Nanos, random: &mut Random) {
        let jitter = nanos_from_f64(random.draw() * SCORING_PERIOD as f64 * SCORING_JITTER);
        self.next_scoring_at = now + SCORING_PERIOD + jitter;
    }

    /// Scores the other zones. Those under the spill threshold come first, by score.
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

    /// Updates whether the local zone spills; returns a change as an event for the log.
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

    /// The backend for a request, or none if it is better queued. `prefers_local` is the answer of
    /// [`prefers_local_zone`].
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
        // Neither zone has a backend that would answer in time (full, ejected, warming up or none): any other zone.
        self.open_overflow_zones(selection.fleet).find_map(pick)
    }

    /// The zone that a request which the local zone does not serve goes to first.
    fn overflow_target(
        &self,
        selection: &EndpointSelection,
        id: RequestId,
        is_within_local_share: bool,
    ) -> Option<ZoneId> {
        if !is_within_local_share {
            // What a closed zone does not take would overload the best zone: it is divided among the others.
            return draw_zone_by_traffic_share(selection, id);
        }
        self.best_overflow_zone()
            .filter(|&zone| selection.fleet.zones.traffic_share(zone) > 0.0)
    }

    /// The other zones that take requests, the best first.
    fn open_overflow_zones(&self, fleet: &Fleet) -> impl Iterator<Item = ZoneId> {
        self.overflow_order
            .iter()
            .copied()
            .filter(|&zone| fleet.zones.traffic_share(zone) > 0.0)
    }
}

impl ScoredZone {
    /// Those that qualify first, then by score, then by id.
    fn preference_cmp(&self, other: &Self) -> Ordering {
        let by_threshold = other.is_below_threshold.cmp(&self.is_below_threshold);
        let by_score = other.score.total_cmp(&self.score);
        by_threshold.then(by_score).then(self.zone.cmp(&other.zone))
    }
}

/// Whether a request tries the local zone before others.
///
/// In a large fleet by chance, as often as the spill fraction says: nodes that all left an overloaded zone at once
/// would overload the next one.
pub(crate) fn prefers_local_zone(fleet: &Fleet, spill_fraction: f64, random: &mut Random) -> bool {
    if fleet.settings.is_large_fleet() {
        return random.draw() >= spill_fraction;
    }
    utilization(fleet, fleet.local_zone())
        .is_none_or(|utilization| utilization < spill_threshold(fleet))
}

/// Utilization from which on a zone spills.
fn spill_threshold(fleet: &Fleet) -> f64 {
    if fleet.settings.is_large_fleet() {
        LARGE_FLEET_SPILL_THRESHOLD
    } else {
        SPILL_THRESHOLD
    }
}

/// A zone's utilization: smoothed reports, raised by what this node has sent since they were made. Never lowered: a
/// full zone would look free whenever few requests are in flight for a moment.
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

/// Scores a zone against the one that is max_latency away, by its least response time in nanoseconds.
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

/// Whether a zone's traffic share covers this request; the answer for a request changes with the share only.
fn is_within_traffic_share(selection: &EndpointSelection, id: RequestId, zone: ZoneId) -> bool {
    let share = selection.fleet.zones.traffic_share(zone);
    share >= 1.0 || selection.random.request_draw(id, u64::from(zone.0)) < share
}

/// The zone for a request that the local zone's share does not cover: one of the others, drawn by their shares.
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

//! Zone routing: home first below the spill threshold, else the one best-scored other zone, home again where
//! none qualifies.

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
/// A zone at or over this utilization spills. Lower, loaded zones swap requests and pay for each crossing;
/// higher, queues grow faster than figures arrive.
const SPILL_THRESHOLD: f64 = 0.85;
/// Weight of spare utilization in a zone's score; it decides unless zones are alike.
const HEADROOM_WEIGHT: f64 = 0.7;
/// Weight of the latency saved in a zone's score.
const LATENCY_WEIGHT: f64 = 0.3;
/// Score of a zone without figures: it qualifies lowest, so that one send learns them.
const UNSEEN_SCORE: f64 = -1.0;
/// Salt of the draw that divides what home does not take.
const DIVISION_SALT: u64 = u64::MAX;

impl ZoneRouting {
    /// Sets the time of the next scoring.
    pub(crate) fn schedule_scoring(&mut self, now: Nanos, random: &mut Random) {
        let jitter = nanos_from_f64(random.draw() * SCORING_PERIOD as f64 * SCORING_JITTER);
        self.next_scoring_at = now + SCORING_PERIOD + jitter;
    }

    /// Scores the other zones. Those under the threshold come first, by score.
    pub(crate) fn score_zones(&mut self, fleet: &Fleet) {
        let latencies = fleet
            .remote_zones()
            .filter_map(|zone| fleet.zones.get(zone).min_latency());
        let farthest = latencies.fold(1.0, f64::max);
        let mut scored: Vec<ScoredZone> = fleet
            .remote_zones()
            .map(|zone| score_zone(fleet, zone, farthest))
            .collect();
        scored.sort_by(|a, b| {
            let by_score = b
                .qualifies
                .cmp(&a.qualifies)
                .then(b.score.total_cmp(&a.score));
            by_score.then(a.zone.cmp(&b.zone))
        });
        self.qualified = scored.iter().filter(|scored| scored.qualifies).count();
        self.overflow = scored.into_iter().map(|scored| scored.zone).collect();
    }

    /// Takes in whether home spills now; a change is for the log.
    pub(crate) fn update_spilling(&mut self, fleet: &Fleet) -> Option<LogEvent> {
        let home = fleet.local_zone();
        let is_spilling =
            utilization(fleet, home).is_some_and(|used| used >= spill_threshold(fleet));
        if self.is_spilling == is_spilling {
            return None;
        }
        self.is_spilling = is_spilling;
        let to = self.overflow.first().copied().unwrap_or(home);
        Some(LogEvent::ZoneSpill {
            active: is_spilling,
            to,
        })
    }

    /// The backend for a request, or none if it is better queued. `prefers_home` is [`prefers_home`]'s
    /// answer.
    pub(crate) fn choose(
        &self,
        selection: &EndpointSelection,
        id: RequestId,
        request: &Request,
        prefers_home: bool,
    ) -> Option<BackendId> {
        let home = selection.fleet.local_zone();
        let is_home_open = takes_request(selection, id, home);
        if is_home_open
            && prefers_home
            && let Some(backend) = selection.pick(id, request, home)
        {
            return Some(backend);
        }
        // Exception: what a closed zone does not take would push the one best zone over; it is divided.
        let target = if is_home_open {
            self.best_target()
                .filter(|&zone| selection.fleet.zones.traffic_share(zone) > 0.0)
        } else {
            draw_zone_by_traffic_share(selection, id)
        };
        if let Some(backend) = target.and_then(|zone| selection.pick(id, request, zone)) {
            return Some(backend);
        }
        if is_home_open
            && !prefers_home
            && let Some(backend) = selection.pick(id, request, home)
        {
            return Some(backend);
        }
        // Exception: home can take nothing in time (full, ejected, cold or empty): any zone that can.
        let open_zones = self
            .overflow
            .iter()
            .filter(|&&zone| selection.fleet.zones.traffic_share(zone) > 0.0);
        open_zones
            .copied()
            .find_map(|zone| selection.pick(id, request, zone))
    }
}

/// Whether a request tries home before other zones. Exception: many nodes that all left an over-used zone at
/// once would pile onto the next; so each request leaves by chance, and the fraction follows the excess.
pub(crate) fn prefers_home(fleet: &Fleet, spill_fraction: f64, random: &mut Random) -> bool {
    if fleet.settings.is_large_fleet() {
        return random.draw() >= spill_fraction;
    }
    utilization(fleet, fleet.local_zone()).is_none_or(|used| used < spill_threshold(fleet))
}

/// Utilization from which on a zone spills.
fn spill_threshold(fleet: &Fleet) -> f64 {
    if fleet.settings.is_large_fleet() {
        LARGE_FLEET_SPILL_THRESHOLD
    } else {
        SPILL_THRESHOLD
    }
}

/// A zone's utilization: smoothed reports, raised by the own sends since they were made. Never lowered: a
/// zone reported full would look free in a moment's lull.
pub(crate) fn utilization(fleet: &Fleet, zone: ZoneId) -> Option<f64> {
    let (mut used, mut size) = (0.0, 0.0);
    for (_, backend) in fleet.backends.in_zone(zone) {
        let is_available = backend.outlier.is_available(fleet.now, backend.in_flight());
        if is_available
            && backend
                .utilization()
                .is_younger_than(fleet.now, UTILIZATION_MAX_AGE)
        {
            used += backend.utilization().value() * backend.size();
            size += backend.size();
        }
    }
    if size <= 0.0 {
        return None;
    }
    let state = fleet.zones.get(zone);
    let growth = (state.in_flight() + size) / (state.smoothed_in_flight(fleet.now) + size);
    Some(used / size * growth.max(1.0))
}

/// Scores a zone against the one that is farthest away, by its least response time in nanoseconds.
fn score_zone(fleet: &Fleet, zone: ZoneId, farthest: f64) -> ScoredZone {
    let Some(used) = utilization(fleet, zone) else {
        return ScoredZone {
            zone,
            qualifies: true,
            score: UNSEEN_SCORE,
        };
    };
    let headroom = 1.0 - used;
    let latency = fleet.zones.get(zone).min_latency();
    let saved = (farthest - latency.unwrap_or(farthest)) / farthest;
    let score = HEADROOM_WEIGHT * headroom + LATENCY_WEIGHT * saved;
    ScoredZone {
        zone,
        qualifies: used < spill_threshold(fleet),
        score,
    }
}

/// Whether a zone's share covers this request, whenever it asks.
fn takes_request(selection: &EndpointSelection, id: RequestId, zone: ZoneId) -> bool {
    let share = selection.fleet.zones.traffic_share(zone);
    share >= 1.0 || selection.random.request_draw(id, u64::from(zone.0)) < share
}

/// The zone for a request that home's share does not cover: one of the others by their shares.
fn draw_zone_by_traffic_share(selection: &EndpointSelection, id: RequestId) -> Option<ZoneId> {
    let fleet = selection.fleet;
    let total: f64 = fleet
        .remote_zones()
        .map(|zone| fleet.zones.traffic_share(zone))
        .sum();
    let mut left = selection.random.request_draw(id, DIVISION_SALT) * total;
    fleet
        .remote_zones()
        .filter(|&zone| fleet.zones.traffic_share(zone) > 0.0)
        .find(|&zone| {
            left -= fleet.zones.traffic_share(zone);
            left <= 0.0
        })
}

//! Which server a request goes to: home first below the threshold, else the one best-scored other zone,
//! home again where none qualifies; then the pick inside the zone. This is the design; the interface
//! (settings, events, actions, ids) is in `api.rs`, what a node keeps in `state.rs`.
//!
//! Reading order of the decisions: `ledger.rs` shows what each event sets off, this file chooses, `gate.rs`
//! holds the contract, `health.rs` ejects and readmits, `admission.rs` says what is taken in at all,
//! `lists.rs` reads lists.

use crate::admission::SHARED_THRESHOLD;
use crate::api::{
    Action, BackendId, EndpointState, Idempotency, LogEvent, Nanos, RequestId, WeightSource, ZoneId,
};
use crate::health::SLOW_FORGET;
use crate::random::{lot, mix};
use crate::state::{Backend, Balancer};
use crate::tuning::{MS, SECOND, UTIL_SMOOTHING, UTIL_TRUST};

/// Period of the overflow target's scoring: the time that a send needs to show in a report, or so.
const REFRESH: Nanos = 100 * MS;
/// A zone at or over this utilisation spills. Lower, loaded zones swap requests and pay for each crossing;
/// higher, queues grow faster than figures arrive.
const THRESHOLD: f64 = 0.85;
/// Weights of headroom and of latency saved in a zone's score; headroom decides unless zones are alike.
const WEIGHT_HEADROOM: f64 = 0.7;
const WEIGHT_LATENCY: f64 = 0.3;
/// Spread of the pick's jitter, so that nodes with the same view do not herd.
const JITTER: f64 = 0.1;
/// Expected delay at a backend that knows the key, against one that does not.
const WARM: f64 = 0.5;

impl Balancer {
    fn threshold(&self) -> f64 {
        if self.many() { SHARED_THRESHOLD } else { THRESHOLD }
    }

    /// A zone's utilisation: smoothed reports, raised by the own sends since they were made. Never lowered:
    /// a zone reported full would look free in a moment's lull.
    fn utilisation(&self, zone: ZoneId) -> Option<f64> {
        let view = self.zones.get(zone.0 as usize)?;
        let (mut used, mut size, own) = (0.0, 0.0, view.own);
        for backend in self.backends.values().filter(|b| b.member.zone == zone) {
            if self.usable(backend) && backend.util.younger_than(self.now, UTIL_TRUST) {
                used += backend.util.value * backend.size();
                size += backend.size();
            }
        }
        (size > 0.0).then(|| {
            used / size * ((own + size) / (view.own_before(self.now, UTIL_SMOOTHING) + size)).max(1.0)
        })
    }

    /// Scores the other zones. Those under the threshold come first, by score; an unseen zone qualifies
    /// lowest, so that one send learns its figures.
    pub(crate) fn refresh(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.refresh_at {
            return;
        }
        self.refresh_at = self.now + REFRESH + (self.draw() * REFRESH as f64 * 0.1) as Nanos;
        self.probe(actions);
        self.value_classes();
        self.measure_capacity();
        for zone in &mut self.zones {
            // Forgotten slowly, so that a link that has become slow shows.
            zone.least_elapsed = zone.least_elapsed.map(|least| least * 1.002);
        }
        let (home, threshold) = (self.settings.local_zone, self.threshold());
        let seen = |zone: &ZoneId| self.zones[zone.0 as usize].least_elapsed;
        let others = (0..self.settings.zone_count).map(ZoneId).filter(|&zone| zone != home);
        let farthest = others.clone().filter_map(|zone| seen(&zone)).fold(1.0, f64::max);
        let mut scored: Vec<(bool, f64, ZoneId)> = others
            .map(|zone| match (self.utilisation(zone), seen(&zone)) {
                (Some(util), latency) => {
                    let headroom = 1.0 - util;
                    let saved = (farthest - latency.unwrap_or(farthest)) / farthest;
                    (util < threshold, WEIGHT_HEADROOM * headroom + WEIGHT_LATENCY * saved, zone)
                }
                (None, _) => (true, -1.0, zone),
            })
            .collect();
        scored.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        self.qualified = scored.iter().filter(|score| score.0).count();
        self.overflow = scored.into_iter().map(|score| score.2).collect();
        if self.settings.weight_source != WeightSource::LoadAdjusted
            && self.many()
            && self.now >= self.share_at
        {
            self.share_at = self.now + SECOND;
            for zone in 0..self.settings.zone_count {
                let util = self.utilisation(ZoneId(zone)).unwrap_or(0.0).min(0.95);
                self.zones[zone as usize].held = util / (1.0 - util);
            }
            self.share_out();
        }
        if self.many() {
            self.admit();
        }
        let spilling = self.utilisation(home).is_some_and(|util| util >= threshold);
        if std::mem::replace(&mut self.zones[home.0 as usize].spilling, spilling) != spilling {
            let to = self.overflow.first().copied().unwrap_or(home);
            self.log(actions, LogEvent::ZoneSpill { active: spilling, to });
        }
    }

    /// The backend for a request by the design, or none if it is better held.
    pub(crate) fn choose(&mut self, id: RequestId) -> Option<BackendId> {
        let home = self.settings.local_zone;
        let open = self.takes(id, home);
        // Exception: many nodes that all left an over-used zone at once would pile onto the next; so each
        // request leaves by chance, and the share follows the excess.
        let under = if self.many() {
            self.draw() >= self.zones[home.0 as usize].spill
        } else {
            self.utilisation(home).is_none_or(|util| util < self.threshold())
        };
        if open
            && under
            && let Some(to) = self.pick(id, home)
        {
            return Some(to);
        }
        // Exception: what a closed zone does not take would push the one best zone over; it is divided.
        let target = if open {
            let best = self.overflow.first().copied().filter(|_| self.qualified > 0);
            best.filter(|&zone| self.share_of(zone) > 0.0)
        } else {
            self.divided(id)
        };
        if let Some(to) = target.and_then(|zone| self.pick(id, zone)) {
            return Some(to);
        }
        if open
            && !under
            && let Some(to) = self.pick(id, home)
        {
            return Some(to);
        }
        // Exception: home can take nothing in time (full, ejected, cold or empty): any zone that can.
        self.overflow.iter().filter(|&&zone| self.share_of(zone) > 0.0).find_map(|&zone| self.pick(id, zone))
    }

    pub(crate) fn share_of(&self, zone: ZoneId) -> f64 {
        self.zones.get(zone.0 as usize).map_or(0.0, |view| view.share)
    }

    /// A number from 0 to 1 that a request has in a zone, whenever it asks.
    fn lot(&self, id: RequestId, salt: u64) -> f64 {
        lot(self.seed ^ id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt)
    }

    /// Whether a zone's share holds this request.
    fn takes(&self, id: RequestId, zone: ZoneId) -> bool {
        let share = self.share_of(zone);
        share >= 1.0 || self.lot(id, u64::from(zone.0)) < share
    }

    /// The zone for a request that home's share does not hold: one of the others by their shares.
    fn divided(&self, id: RequestId) -> Option<ZoneId> {
        let others =
            || (0..self.settings.zone_count).map(ZoneId).filter(|&zone| zone != self.settings.local_zone);
        let mut left = self.lot(id, u64::MAX) * others().map(|zone| self.share_of(zone)).sum::<f64>();
        others().filter(|&zone| self.share_of(zone) > 0.0).find(|&zone| {
            left -= self.share_of(zone);
            left <= 0.0
        })
    }

    /// The backend for a request that makes a trial of a closed zone, if one is wanted: only a request that
    /// may be repeated anywhere. Its wait comes with it.
    pub(crate) fn trial(&mut self, id: RequestId) -> Option<(BackendId, Nanos)> {
        let zone = self.zones.iter().position(|zone| zone.trial.is_some())?;
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        // Half of its client's time at most: the rest is for another attempt.
        let wait = self.zones[zone].trial?.min(request.not_after.saturating_sub(self.now) / 2);
        let fits =
            class.idempotency == Idempotency::Idempotent && request.attempts.is_empty() && !request.uploading;
        if !fits || wait == 0 {
            return None;
        }
        // What its servers were like before it closed says nothing: one that holds nothing is tried, by lot.
        let fit =
            |b: &Backend| b.member.zone.0 as usize == zone && b.in_flight == 0 && self.permits(request, b);
        let fit: Vec<BackendId> = self.backends.iter().filter(|(_, b)| fit(b)).map(|(&to, _)| to).collect();
        let to = *fit.get((self.lot(id, 1) * fit.len() as f64) as usize)?;
        self.zones[zone].trial = None;
        Some((to, wait))
    }

    /// Among the permitted backends that would answer in time: with few nodes the one with the least expected
    /// delay; with many one by chance, weighted by size and by what all nodes have been told.
    fn pick(&self, id: RequestId, zone: ZoneId) -> Option<BackendId> {
        if !self.many() {
            return self.pick_among(id, zone, u64::MAX);
        }
        // Many nodes on every backend would fill its table of connections and pay for opening them: each
        // keeps to a few by its own lots, and goes past them only when none of them can take the request.
        let subset = self.zones.get(zone.0 as usize)?.subset;
        self.pick_among(id, zone, subset).or_else(|| self.pick_among(id, zone, u64::MAX))
    }

    /// The backend of a zone that a key goes to first, the same at every node (rendezvous hashing).
    pub(crate) fn warm_at(&self, key: u64, zone: ZoneId) -> Option<BackendId> {
        let listed = self
            .backends
            .iter()
            .filter(|(_, b)| b.member.zone == zone && b.member.state == EndpointState::InService);
        listed.max_by_key(|(_, b)| mix(b.member.name_hash ^ key)).map(|(&to, _)| to)
    }

    fn pick_among(&self, id: RequestId, zone: ZoneId, subset: u64) -> Option<BackendId> {
        let (mut best, mut total) = (None, 0.0);
        let request = self.requests.get(&id)?;
        let mut jitter = self.random ^ id.0.wrapping_mul(0xd6e8_feb8_6659_fd93);
        let warm = request.key.and_then(|key| self.warm_at(key, zone));
        let within = |b: &Backend| b.member.zone == zone && b.lot <= subset;
        for (&to, backend) in self.backends.iter().filter(|(_, b)| within(b)) {
            if !self.usable(backend) || !self.admits(request, backend) || !self.permits(request, backend) {
                continue;
            }
            jitter = jitter.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            let chance = (jitter >> 40) as f64 / (1u64 << 24) as f64;
            let tried = request.attempts.iter().any(|attempt| attempt.backend == to);
            // Failing fast must not look idle: failures weigh like delay; faded, or no trial would be made.
            let failing =
                1.0 + 8.0 * backend.failing.fading(self.now, SLOW_FORGET) + if tried { 4.0 } else { 0.0 };
            if self.many() {
                // Where the list tells the load, a few answers of one's own would only add noise.
                let drag = match backend.held {
                    Some(_) => 1.0 / backend.ramp(self.now, &self.settings.rules),
                    None => backend.slowness(self.now, &self.settings.rules).max(0.5),
                };
                let share = backend.size() * backend.bias * backend.response / (failing * drag);
                total += share;
                if chance * total < share {
                    best = Some((0.0, to));
                }
                continue;
            }
            let slowness = backend.slowness(self.now, &self.settings.rules);
            let delay = slowness * backend.load(self.crowd()) * failing * (1.0 + JITTER * chance);
            let delay = if warm == Some(to) { delay * WARM } else { delay };
            if best.is_none_or(|(least, _)| delay < least) {
                best = Some((delay, to));
            }
        }
        best.map(|(_, to)| to)
    }
}

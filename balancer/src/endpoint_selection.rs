//! Endpoint selection in a zone: by least expected delay, or by weighted chance in a large fleet.

use crate::admission::Admission;
use crate::api::{BackendId, Idempotency, RequestId, ZoneId};
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::random::{Random, rendezvous_score};
use crate::request::Request;
use crate::retry_safety::is_eligible;
use crate::zones::ZoneProbe;

/// Jitter of the expected delay as a fraction of it, so that nodes with the same view do not herd.
const DELAY_JITTER: f64 = 0.1;
/// Factor on the expected delay at the backend that the request's key has affinity to.
const AFFINITY_DELAY_FACTOR: f64 = 0.5;
/// Delay added for a failure rate of 1, in units of the delay without failures.
const FAILURE_PENALTY: f64 = 8.0;
/// Delay added at a backend to which the request was sent before, in the same unit.
const TRIED_PENALTY: f64 = 4.0;
/// Least slowness by which a weighted pick divides.
const MIN_PICK_SLOWNESS: f64 = 0.5;
/// Salt of the draw that picks a backend for a zone probe.
const PROBE_SALT: u64 = 1;

/// What the selection reads: the fleet's state, which backends would answer in time, and the random numbers.
pub(crate) struct EndpointSelection<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) admission: &'a Admission,
    pub(crate) random: &'a Random,
}

impl EndpointSelection<'_> {
    /// Picks among the eligible backends that would answer in time: in a small fleet the one with the least expected
    /// delay; in a large one by chance, weighted by size and by the load that the list has shown all nodes.
    pub(crate) fn pick(&self, id: RequestId, request: &Request, zone: ZoneId) -> Option<BackendId> {
        if !self.fleet.settings.is_large_fleet() {
            return self.pick_by_delay(id, request, zone);
        }
        // If all nodes used every backend, its table of connections would fill up, and opening them costs: each node
        // keeps to its subset, and goes beyond it only when no backend of the subset can take the request.
        let max_rank = self.fleet.zones.get(zone).max_subset_rank();
        self.pick_by_weight(id, request, zone, max_rank)
            .or_else(|| self.pick_by_weight(id, request, zone, u64::MAX))
    }

    /// The backend with the least expected delay.
    fn pick_by_delay(&self, id: RequestId, request: &Request, zone: ZoneId) -> Option<BackendId> {
        let affinity_backend = request
            .affinity_key
            .and_then(|key| self.affinity_backend(key, zone));
        let mut jitter = self.random.jitter(id);
        let mut best: Option<(f64, BackendId)> = None;
        for (candidate, backend) in self.fleet.backends.in_zone(zone) {
            if !self.is_candidate(request, backend) {
                continue;
            }
            let spread = 1.0 + DELAY_JITTER * jitter.draw();
            let mut delay = self.expected_delay(request, candidate, backend) * spread;
            if affinity_backend == Some(candidate) {
                delay *= AFFINITY_DELAY_FACTOR;
            }
            if best.is_none_or(|(least, _)| delay < least) {
                best = Some((delay, candidate));
            }
        }
        best.map(|(_, backend)| backend)
    }

    /// Expected delay at a backend, in units of an idle backend's base time.
    fn expected_delay(&self, request: &Request, id: BackendId, backend: &Backend) -> f64 {
        let slowness = backend.expected_slowness(self.fleet.now, &self.fleet.settings);
        let load = backend.load(&self.fleet.settings);
        slowness * load * self.penalty(request, id, backend)
    }

    /// A backend up to a rank, drawn by weight (weighted reservoir sampling).
    fn pick_by_weight(
        &self,
        id: RequestId,
        request: &Request,
        zone: ZoneId,
        max_rank: u64,
    ) -> Option<BackendId> {
        let mut jitter = self.random.jitter(id);
        let mut picked = None;
        let mut total = 0.0;
        for (candidate, backend) in self.fleet.backends.in_zone(zone) {
            if backend.subset_rank() > max_rank || !self.is_candidate(request, backend) {
                continue;
            }
            let chance = jitter.draw();
            let weight = self.weight(request, candidate, backend);
            total += weight;
            if chance * total < weight {
                picked = Some(candidate);
            }
        }
        picked
    }

    /// Weight of a backend in the weighted pick.
    fn weight(&self, request: &Request, id: BackendId, backend: &Backend) -> f64 {
        let feedback = &backend.feedback;
        // Where the list shows the load, the few answers of one node would only add noise.
        let slowness = if feedback.reported_queue().is_some() {
            1.0 / backend.warm_up_fraction(self.fleet.now, &self.fleet.settings.rules)
        } else {
            backend
                .expected_slowness(self.fleet.now, &self.fleet.settings)
                .max(MIN_PICK_SLOWNESS)
        };
        let capacity = backend.size() * feedback.learned_weight() * feedback.feedback_weight();
        capacity / (self.penalty(request, id, backend) * slowness)
    }

    /// Factor on the delay for failures and for earlier attempts: a backend that fails fast must not look idle. The
    /// failure rate decays, or the backend would never be tried again.
    fn penalty(&self, request: &Request, id: BackendId, backend: &Backend) -> f64 {
        let failure_rate = backend.outlier.decayed_failure_rate(self.fleet.now);
        let tried = if request.has_tried(id) {
            TRIED_PENALTY
        } else {
            0.0
        };
        1.0 + FAILURE_PENALTY * failure_rate + tried
    }

    /// Whether a backend is available, would answer in time, and may get the request.
    fn is_candidate(&self, request: &Request, backend: &Backend) -> bool {
        self.can_answer_in_time(request, backend) && is_eligible(self.fleet, request, backend)
    }

    /// Whether a backend is available and would answer in time.
    fn can_answer_in_time(&self, request: &Request, backend: &Backend) -> bool {
        backend
            .outlier
            .is_available(self.fleet.now, backend.in_flight())
            && self.admission.meets_objective(self.fleet, request, backend)
    }

    /// Whether the backend of the local zone that the request's key goes to would answer it in time.
    pub(crate) fn can_use_affinity_backend(&self, request: &Request) -> bool {
        let local = self.fleet.local_zone();
        let affinity_backend = request
            .affinity_key
            .and_then(|key| self.affinity_backend(key, local));
        let backend = affinity_backend.and_then(|id| self.fleet.backends.get(id));
        backend.is_some_and(|backend| self.can_answer_in_time(request, backend))
    }

    /// The backend of a zone that a key goes to first, the same at every node (rendezvous hashing).
    fn affinity_backend(&self, key: u64, zone: ZoneId) -> Option<BackendId> {
        let in_service = self
            .fleet
            .backends
            .in_zone(zone)
            .filter(|(_, backend)| backend.is_in_service());
        in_service
            .max_by_key(|(_, backend)| rendezvous_score(backend.entry().name_hash, key))
            .map(|(id, _)| id)
    }

    /// The zone probe that a request makes, if one is wanted: only an idempotent request without attempts so far.
    pub(crate) fn zone_probe(&self, id: RequestId, request: &Request) -> Option<ZoneProbe> {
        let requested = self.fleet.zones.requested_probe()?;
        let class = self.fleet.settings.class(request.class);
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        if !is_idempotent || !request.attempts.is_empty() || request.is_uploading {
            return None;
        }
        // Half of its client's time at most: the rest is for another attempt.
        let time_left = request.expires_at.saturating_sub(self.fleet.now);
        let timeout = requested.timeout.min(time_left / 2);
        if timeout == 0 {
            return None;
        }
        let backend = self.probe_backend(id, request, requested.zone)?;
        Some(ZoneProbe {
            zone: requested.zone,
            backend,
            timeout,
        })
    }

    /// A backend that has none of this node's requests, by chance: figures from before its zone closed say nothing.
    fn probe_backend(&self, id: RequestId, request: &Request, zone: ZoneId) -> Option<BackendId> {
        let idle = self
            .fleet
            .backends
            .in_zone(zone)
            .filter(|(_, backend)| backend.in_flight() == 0);
        let eligible = idle.filter(|(_, backend)| is_eligible(self.fleet, request, backend));
        let candidates: Vec<BackendId> = eligible.map(|(backend, _)| backend).collect();
        candidates
            .get(self.random.request_index(id, PROBE_SALT, candidates.len()))
            .copied()
    }
}

//! Endpoint selection within a zone: least expected delay in a small fleet, weighted random choice in a large one.

use crate::admission::Admission;
use crate::api::{BackendId, Idempotency, RequestId, ZoneId};
use crate::backend::Backend;
use crate::fleet::Fleet;
use crate::random::{Random, rendezvous_score};
use crate::request::Request;
use crate::retry_safety::is_eligible;
use crate::zones::ZoneProbe;

/// Upper bound of the jitter added to an expected delay, as a fraction of that delay; prevents herding by nodes
/// with the same view of the fleet.
const DELAY_JITTER: f64 = 0.1;
/// Factor on the expected delay at the backend preferred by the request's affinity key.
const AFFINITY_DELAY_FACTOR: f64 = 0.5;
/// Penalty added at a failure rate of 1, as a multiple of the expected delay without failures.
const FAILURE_PENALTY: f64 = 8.0;
/// Penalty added at a backend that an earlier attempt of the request was sent to, in the same unit.
const TRIED_PENALTY: f64 = 4.0;
/// Lower bound of the slowness that divides a weight in the weighted choice.
const MIN_PICK_SLOWNESS: f64 = 0.5;
/// Salt of the draw that picks the backend of a zone probe.
const PROBE_SALT: u64 = 1;

/// State that endpoint selection reads.
pub(crate) struct EndpointSelection<'a> {
    pub(crate) fleet: &'a Fleet,
    pub(crate) admission: &'a Admission,
    pub(crate) random: &'a Random,
}

impl EndpointSelection<'_> {
    /// Picks an eligible backend of a zone that would answer in time: by least expected delay in a small fleet; in
    /// a large one at random, weighted by size and by the load in the endpoint list.
    pub(crate) fn pick(&self, id: RequestId, request: &Request, zone: ZoneId) -> Option<BackendId> {
        if !self.fleet.settings.is_large_fleet() {
            return self.pick_by_delay(id, request, zone);
        }
        // Connections to every backend from all nodes would fill the backends' connection tables and cost many
        // handshakes. Each node therefore uses a subset, and other backends only if none in the subset can take the
        // request.
        let max_rank = self.fleet.zones.get(zone).max_subset_rank();
        self.pick_by_weight(id, request, zone, max_rank)
            .or_else(|| self.pick_by_weight(id, request, zone, u64::MAX))
    }

    /// Picks the candidate with the least expected delay.
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

    /// Expected delay at a backend including penalties, in multiples of the class's base time.
    fn expected_delay(&self, request: &Request, id: BackendId, backend: &Backend) -> f64 {
        let slowness = backend.expected_slowness(self.fleet.now, &self.fleet.settings);
        let load = backend.load(&self.fleet.settings);
        slowness * load * self.penalty(request, id, backend)
    }

    /// Picks a candidate with a subset rank up to `max_rank` at random by weight (weighted reservoir sampling).
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

    /// Weight of a backend in the weighted random choice.
    fn weight(&self, request: &Request, id: BackendId, backend: &Backend) -> f64 {
        let feedback = &backend.feedback;
        // If the endpoint list shows the queue, the slowness measured from this node's few responses would only add
        // noise.
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

    /// Factor on the expected delay for failures and earlier attempts: without this penalty, a backend that fails
    /// fast would appear idle. The failure rate decays over time so that the backend is tried again.
    fn penalty(&self, request: &Request, id: BackendId, backend: &Backend) -> f64 {
        let failure_rate = backend.outlier.decayed_failure_rate(self.fleet.now);
        let tried = if request.has_tried(id) {
            TRIED_PENALTY
        } else {
            0.0
        };
        1.0 + FAILURE_PENALTY * failure_rate + tried
    }

    /// Whether a backend would answer in time and is eligible for the request.
    fn is_candidate(&self, request: &Request, backend: &Backend) -> bool {
        self.can_answer_in_time(request, backend) && is_eligible(self.fleet, request, backend)
    }

    /// Whether outlier detection allows a request to the backend now, and the backend would answer in time.
    fn can_answer_in_time(&self, request: &Request, backend: &Backend) -> bool {
        backend
            .outlier
            .is_available(self.fleet.now, backend.in_flight())
            && self.admission.meets_objective(self.fleet, request, backend)
    }

    /// Whether the local backend preferred by the request's affinity key is available and would answer in time.
    pub(crate) fn can_use_affinity_backend(&self, request: &Request) -> bool {
        let local = self.fleet.local_zone();
        let affinity_backend = request
            .affinity_key
            .and_then(|key| self.affinity_backend(key, local));
        let backend = affinity_backend.and_then(|id| self.fleet.backends.get(id));
        backend.is_some_and(|backend| self.can_answer_in_time(request, backend))
    }

    /// The backend in service of a zone that an affinity key prefers, by rendezvous hashing; the same at every
    /// node.
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

    /// The zone probe to send this request as, if a probe has been requested. Only an idempotent request without
    /// earlier attempts and with a complete body is used.
    pub(crate) fn zone_probe(&self, id: RequestId, request: &Request) -> Option<ZoneProbe> {
        let requested = self.fleet.zones.requested_probe()?;
        let class = self.fleet.settings.class(request.class);
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        if !is_idempotent || !request.attempts.is_empty() || request.is_uploading {
            return None;
        }
        // A probe takes at most half of the client's remaining time, which leaves the other half for a retry.
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

    /// A random eligible backend of the zone without requests from this node in flight. Measurements from before
    /// the zone closed are outdated, so they don't affect the choice.
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

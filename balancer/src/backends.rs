//! The backends in the endpoint list, by id.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{BackendId, Endpoint, EndpointState, EndpointUpdate, Nanos, ZoneId};
use crate::backend::Backend;
use crate::outlier_detection::FleetFailures;
use crate::random::Random;

/// Totals over the backends in service of one zone that report their queue.
#[derive(Clone, Copy, Default)]
pub(crate) struct QueueTotals {
    /// Number of backends.
    pub(crate) backends: f64,
    /// Sum of the backends' requests per core.
    pub(crate) queue: f64,
    /// Sum of the backends' sizes.
    pub(crate) size: f64,
}

/// Listed backends, and removed ones with requests in flight.
#[derive(Default)]
pub(crate) struct Backends {
    by_id: BTreeMap<BackendId, Backend>,
    /// Largest load-adjusted size seen of each machine kind, taken as the size of an idle backend.
    idle_size_by_kind: BTreeMap<u32, f64>,
}

impl Backends {
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.by_id.get_mut(&id)
    }

    /// All backends with their ids, in id order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        self.by_id.iter().map(|(&id, backend)| (id, backend))
    }

    /// All backends, in id order.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Backend> {
        self.by_id.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.by_id.values_mut()
    }

    pub(crate) fn in_service(&self) -> impl Iterator<Item = &Backend> {
        self.values().filter(|backend| backend.is_in_service())
    }

    /// The backends of a zone with their ids, in id order.
    pub(crate) fn in_zone(&self, zone: ZoneId) -> impl Iterator<Item = (BackendId, &Backend)> {
        self.iter()
            .filter(move |(_, backend)| backend.zone() == zone)
    }

    /// Subset ranks of a zone's backends in service, in id order.
    pub(crate) fn subset_ranks(&self, zone: ZoneId) -> Vec<u64> {
        self.in_service()
            .filter(|backend| backend.zone() == zone)
            .map(Backend::subset_rank)
            .collect()
    }

    /// Number of listed backends that receive no new requests now, or trial requests only.
    pub(crate) fn count_avoided(&self, now: Nanos) -> usize {
        self.values()
            .filter(|backend| backend.outlier.is_avoided(backend.entry().state, now))
            .count()
    }

    pub(crate) fn failures(&self) -> FleetFailures {
        let in_service = self.in_service().count() as f64;
        let ejected = self
            .values()
            .filter(|backend| !backend.outlier.is_healthy())
            .count() as f64;
        let failure_rates: f64 = self
            .values()
            .map(|backend| backend.outlier.failure_rate())
            .sum();
        FleetFailures {
            in_service,
            ejected,
            mean_failure_rate: failure_rates / in_service.max(1.0),
        }
    }

    /// Totals of the reported queues, by zone id.
    pub(crate) fn queue_totals(&self, zone_count: usize) -> Vec<QueueTotals> {
        let mut totals = vec![QueueTotals::default(); zone_count];
        for backend in self.in_service() {
            let Some(total) = totals.get_mut(backend.zone().index()) else {
                continue;
            };
            let Some(queue) = backend.feedback.reported_queue() else {
                continue;
            };
            total.backends += 1.0;
            total.queue += queue;
            total.size += backend.size();
        }
        totals
    }

    /// Applies an endpoint list: adds, updates and removes backends.
    pub(crate) fn apply(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        is_load_adjusted: bool,
        random: &Random,
    ) {
        if update != EndpointUpdate::Delta {
            self.mark_missing_as_removed(&endpoints);
        }
        if is_load_adjusted {
            self.learn_idle_sizes(&endpoints);
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint, is_load_adjusted, random);
        }
        self.by_id.retain(|_, backend| {
            backend.entry().state != EndpointState::Removed || backend.in_flight() > 0
        });
    }

    /// Marks the backends missing from a complete list as removed.
    fn mark_missing_as_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<BackendId> =
            endpoints.iter().map(|endpoint| endpoint.backend).collect();
        for (id, backend) in &mut self.by_id {
            if !listed.contains(id) {
                backend.mark_removed();
            }
        }
    }

    /// Updates the largest load-adjusted size of each machine kind.
    fn learn_idle_sizes(&mut self, endpoints: &[Endpoint]) {
        let finite = endpoints
            .iter()
            .filter(|endpoint| endpoint.size.is_finite());
        for endpoint in finite {
            let idle_size = self
                .idle_size_by_kind
                .entry(endpoint.machine_kind)
                .or_insert(0.0);
            *idle_size = idle_size.max(endpoint.size);
        }
    }

    /// Applies one entry of the endpoint list. A load-adjusted size is split into the idle size and the queue.
    fn apply_endpoint(&mut self, mut endpoint: Endpoint, is_load_adjusted: bool, random: &Random) {
        let listed_size = endpoint.size;
        if is_load_adjusted {
            endpoint.size = self
                .idle_size_by_kind
                .get(&endpoint.machine_kind)
                .copied()
                .unwrap_or(1.0);
        }
        // With WeightSource::LoadAdjusted, the listed size is the idle size divided by 1 + the queue.
        let has_queue = is_load_adjusted && listed_size > 0.0;
        let reported_queue = has_queue.then(|| (endpoint.size / listed_size - 1.0).max(0.0));
        let backend = self
            .by_id
            .entry(endpoint.backend)
            .or_insert_with(|| Backend::new(endpoint));
        backend.update_entry(
            endpoint,
            random.subset_rank(endpoint.backend),
            reported_queue,
        );
    }
}

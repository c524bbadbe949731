//! Queries by adapters. They do not change the driver, except that [`Driver::take_snapshot_request`] clears a flag.

use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::{BackendId, ClassId, Discovery, ZoneId};

use super::Driver;
use crate::attempt::AttemptId;
use crate::backends::{BackendAddress, BackendEntry};
use crate::metrics::Metrics;
use crate::protocol::{Protocol, RequestClass, UnknownTenant};

impl<P: Protocol> Driver<P> {
    pub(crate) fn metrics(&self) -> Arc<Metrics> {
        self.metrics.clone()
    }

    /// See [`Engine::has_endpoint_list`](crate::Engine::has_endpoint_list).
    pub(crate) fn has_endpoint_list(&self) -> bool {
        self.has_endpoint_list
    }

    /// Looks up a request class by name.
    pub(crate) fn class(&self, name: &str) -> Option<RequestClass> {
        let number = self.names.class(name)?;
        let class = self.settings.classes.get(number as usize)?;
        Some(RequestClass {
            id: ClassId(number),
            deadline: class.deadline,
            idempotency: class.idempotency,
        })
    }

    /// See [`Engine::tenant`](crate::Engine::tenant).
    pub(crate) fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        if self.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        self.names.tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// Looks up a zone by name.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneId> {
        (0..self.settings.zone_count)
            .map(ZoneId)
            .find(|zone| self.names.zone_name(*zone) == Some(name))
    }

    /// The longest deadline of all request classes.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        Duration::from_nanos(deadlines.max().unwrap_or(0))
    }

    /// Whether the settings say that service discovery is polled.
    pub(crate) fn is_discovery_polled(&self) -> bool {
        self.settings.discovery == Discovery::Polled
    }

    /// Whether the balancer has requested a snapshot of the endpoint list. The call clears the request.
    pub(crate) fn take_snapshot_request(&mut self) -> bool {
        std::mem::take(&mut self.snapshot_requested)
    }

    /// Whether an attempt may still be written; see [`Engine::may_write`](crate::Engine::may_write).
    pub(crate) fn may_write(&self, attempt: AttemptId) -> bool {
        let now = self.clock.now();
        let is_client_waiting = self
            .requests
            .get(attempt.request)
            .is_some_and(|request| request.is_client_waiting(now));
        // No attempt is written during the grace period of a drain: the period is reserved for the delay until the
        // node learns of the drain, and for delays in the node before the bytes are sent.
        // A connection that was opened before the backend restarted may lead to the process that has gone.
        let accepts_requests = self
            .requests
            .get(attempt.request)
            .and_then(|request| request.target(attempt.number))
            .is_some_and(|target| self.is_in_service_at(target));
        is_client_waiting
            && accepts_requests
            && self
                .balancer
                .may_write(now, attempt.request, attempt.number.0)
    }

    /// Whether the backend is in service, at this address and with this process.
    pub(crate) fn is_in_service_at(&self, target: BackendAddress) -> bool {
        self.backends.get(target.backend).is_some_and(|entry| {
            entry.address == target.address
                && entry.incarnation == target.incarnation
                && !entry.is_draining
        })
    }

    pub(crate) fn has_endpoint_in_service(&self) -> bool {
        self.backends.has_any_in_service()
    }

    /// The backends in service, ordered by id.
    pub(crate) fn endpoints_in_service(&self) -> Vec<BackendAddress> {
        self.backends.in_service()
    }

    /// The name of a backend, or the number in the backend's id if the backend is not listed.
    pub(crate) fn endpoint_name(&self, backend: BackendId) -> String {
        let name = |entry: &BackendEntry| entry.name.to_string();
        self.backends
            .get(backend)
            .map_or_else(|| backend.0.to_string(), name)
    }
}

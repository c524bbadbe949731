//! Questions that adapters ask about a fleet. Nothing changes here, except that a request for a snapshot is taken.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::{BackendId, ClassId, Discovery, ZoneId};

use super::Driver;
use crate::attempt::AttemptId;
use crate::backends::{BackendAddress, BackendEntry};
use crate::metrics::Metrics;
use crate::protocol::{Protocol, RequestClass, UnknownTenant};

impl<P: Protocol> Driver<P> {
    /// The fleet's counters.
    pub(crate) fn metrics(&self) -> Arc<Metrics> {
        self.metrics.clone()
    }

    /// Whether service discovery has delivered an endpoint list since the start.
    pub(crate) fn has_endpoint_list(&self) -> bool {
        self.has_endpoint_list
    }

    /// A class by name.
    pub(crate) fn class(&self, name: &str) -> Option<RequestClass> {
        let number = self.names.class(name)?;
        let class = self.settings.classes.get(number as usize)?;
        Some(RequestClass {
            id: ClassId(number),
            deadline: class.deadline,
            idempotency: class.idempotency,
        })
    }

    /// A tenant's number; none on a site without tenants.
    pub(crate) fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        if self.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        self.names.tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// A zone by name.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneId> {
        (0..self.settings.zone_count)
            .map(ZoneId)
            .find(|zone| self.names.zone_name(*zone) == Some(name))
    }

    /// The longest deadline of all classes.
    pub(crate) fn longest_deadline(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| class.deadline);
        Duration::from_nanos(deadlines.max().unwrap_or(0))
    }

    /// Whether service discovery has to be polled.
    pub(crate) fn is_discovery_polled(&self) -> bool {
        self.settings.discovery == Discovery::Polled
    }

    /// Whether the balancer wants a snapshot of the endpoint list next. Asking takes the request back.
    pub(crate) fn take_snapshot_request(&mut self) -> bool {
        std::mem::take(&mut self.snapshot_requested)
    }

    /// Whether an attempt may still be written; see [`Engine::may_write`](crate::Engine::may_write).
    pub(crate) fn may_write(&self, attempt: AttemptId) -> bool {
        let now = self.clock.now();
        let is_awaited = self
            .requests
            .get(attempt.request)
            .is_some_and(|request| request.is_awaited(now));
        // Nothing of the grace period is used on purpose: it covers what the backend's drain takes to be known here,
        // and a node that is held up before its bytes go out.
        let accepts_requests = self
            .backends
            .get(attempt.backend)
            .is_some_and(|entry| !entry.is_draining);
        is_awaited
            && accepts_requests
            && self
                .balancer
                .may_write(now, attempt.request, attempt.number.0)
    }

    /// Whether a backend is in service at this address.
    pub(crate) fn is_in_service_at(&self, backend: BackendId, address: SocketAddr) -> bool {
        self.backends
            .get(backend)
            .is_some_and(|entry| entry.address == address && !entry.is_draining)
    }

    /// Whether any backend is in service.
    pub(crate) fn has_endpoint_in_service(&self) -> bool {
        self.backends.has_any_in_service()
    }

    /// The backends in service, ordered by id.
    pub(crate) fn endpoints_in_service(&self) -> Vec<BackendAddress> {
        self.backends.in_service()
    }

    /// A backend's name, or its number if it is not listed.
    pub(crate) fn endpoint_name(&self, backend: BackendId) -> String {
        let name = |entry: &BackendEntry| entry.name.to_string();
        self.backends
            .get(backend)
            .map_or_else(|| backend.0.to_string(), name)
    }
}

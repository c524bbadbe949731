//! Endpoint updates from service discovery.

use badgerpost_balancer::{Endpoint, EndpointUpdate, Event};

use super::Driver;
use crate::backends::DiscoveredEndpoint;
use crate::metrics::BackendCounts;
use crate::pending_io::PendingIo;
use crate::protocol::Protocol;
use crate::start_times::ListTime;

impl<P: Protocol> Driver<P> {
    /// Applies an endpoint update to the backend table, and passes the update to the zone monitor and the balancer.
    /// Removed backends stay in the table until both have handled the update.
    pub(crate) fn endpoints_updated(
        &mut self,
        update: EndpointUpdate,
        discovered: &[DiscoveredEndpoint],
        pending_io: &mut PendingIo<P>,
    ) {
        let at = ListTime {
            now: self.clock.now(),
            wall_clock_lead: self.clock.wall_clock_lead(),
            is_first: !self.has_endpoint_list,
        };
        self.has_endpoint_list |= update != EndpointUpdate::Cached;
        let removed_names = self.backends.names_removed_by(update, discovered);
        let endpoints = self.update_backends(discovered, at, pending_io);
        self.with_zone_monitoring(pending_io, |zones, now| {
            zones.endpoints_updated(now, update, &endpoints)
        });
        self.handle(Event::EndpointsUpdated { update, endpoints }, pending_io);
        for name in removed_names {
            pending_io.idle_closures.extend(self.backends.remove(&name));
        }
        self.update_backend_counts();
    }

    /// Updates the backend table with these endpoints, and converts the endpoints for the balancer.
    fn update_backends(
        &mut self,
        discovered: &[DiscoveredEndpoint],
        at: ListTime,
        pending_io: &mut PendingIo<P>,
    ) -> Vec<Endpoint> {
        self.backends.list_received(at, discovered);
        let mut endpoints = Vec::with_capacity(discovered.len());
        for endpoint in discovered {
            let Some(updated) = self.backends.update(endpoint, &mut self.names, at) else {
                continue;
            };
            if updated.close_idle_connections {
                pending_io.idle_closures.push(updated.endpoint.backend);
            }
            endpoints.push(updated.endpoint);
        }
        endpoints
    }

    /// Updates the backend counts in the metrics. The number of avoided backends can change without any event.
    pub(crate) fn update_backend_counts(&self) {
        let avoided = self.balancer.avoided_backend_count(self.clock.now());
        self.metrics.set_backend_counts(BackendCounts {
            listed: self.backends.len() as u64,
            avoided: avoided as u64,
        });
    }
}

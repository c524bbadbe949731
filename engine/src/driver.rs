//! The state of one fleet: the [`Balancer`] with the open requests, backends, timers and zone monitoring around it.
//!
//! The driver passes events to the balancer and applies the resulting actions. Network operations are collected in
//! [`PendingIo`] for the caller to execute. All balancing decisions are made by the balancer. Each submodule handles
//! one kind of event.

mod endpoints;
mod queries;
mod records;
mod request_ids;
mod requests;
mod zones;

use std::sync::Arc;

use badgerpost_balancer::{Action, BackendId, Balancer, Event, Nanos, Settings, SettingsError};
use badgerpost_settings::NameTable;
use tokio::sync::mpsc;

use crate::attempt::AttemptNumber;
use crate::backends::{BackendAddress, Backends};
use crate::client_request_ids::ClientRequestIds;
use crate::clock::Clock;
use crate::event_log::log_balancer_event;
use crate::executed_request_ids::RequestIdHash;
use crate::metrics::{EndCounting, Metrics};
use crate::open_requests::OpenRequests;
use crate::pending_io::PendingIo;
use crate::protocol::{Protocol, RequestOutcome};
use crate::request_log::RequestLog;
use crate::timers::{TimerPurpose, Timers};
use crate::zone_monitoring::{ZoneGossip, ZoneMonitoring};

pub use request_ids::ExportedRequestIds;

/// The state of one fleet.
pub(crate) struct Driver<P: Protocol> {
    pub(crate) clock: Clock,
    pub(crate) balancer: Balancer,
    settings: Settings,
    pub(crate) names: NameTable,
    pub(crate) requests: OpenRequests<P>,
    /// The ids of open and recently ended requests, as chosen by the clients.
    pub(crate) client_request_ids: ClientRequestIds,
    /// Where the ids of requests that must not run twice are sent to; `None` if no other process of the node runs.
    request_id_sender: Option<mpsc::Sender<RequestIdHash>>,
    pub(crate) backends: Backends,
    pub(crate) timers: Timers,
    metrics: Arc<Metrics>,
    request_log: RequestLog,
    /// `None` if zone monitoring is off.
    zone_monitoring: Option<ZoneMonitoring>,
    /// The channel for zone observations that are to be sent to the other nodes; `None` if the node has no peers.
    gossip_sender: Option<mpsc::Sender<ZoneGossip>>,
    /// Whether service discovery has delivered an endpoint list, other than a cached one.
    has_endpoint_list: bool,
    /// Whether the next request to service discovery asks for a snapshot of the endpoint list.
    snapshot_requested: bool,
}

impl<P: Protocol> Driver<P> {
    /// Creates a driver without backends. `seed` initialises the balancer's random number generator.
    pub(crate) fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            request_log: RequestLog::new(&clock),
            clock,
            metrics: Arc::new(Metrics::new(names.class_names())),
            backends: Backends::new(settings.rules.slow_start_duration),
            client_request_ids: ClientRequestIds::new(&settings),
            settings,
            names,
            requests: OpenRequests::default(),
            request_id_sender: None,
            timers: Timers::default(),
            zone_monitoring: None,
            gossip_sender: None,
            has_endpoint_list: false,
            snapshot_requested: false,
        })
    }

    /// Passes an event to the balancer and applies its actions.
    pub(crate) fn handle(&mut self, event: Event, pending_io: &mut PendingIo<P>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in &actions {
            self.apply(action, pending_io);
        }
    }

    /// Applies one of the balancer's actions.
    fn apply(&mut self, action: &Action, pending_io: &mut PendingIo<P>) {
        match *action {
            Action::Send {
                request,
                backend,
                timeout,
            } => self.start_attempt(request, backend, timeout, pending_io),
            Action::Reject {
                request,
                retry_after,
                reason,
            } => {
                self.record_end_without_response(request, reason.into());
                let outcome = RequestOutcome::Rejected(retry_after);
                self.finish(request, outcome, EndCounting::Immediate);
            }
            Action::Fail { request, reason } => {
                self.record_end_without_response(request, reason.into());
                self.fail(request);
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.requests.get_mut(request) {
                    open.cancel_attempt(AttemptNumber(attempt));
                }
            }
            Action::CheckHealth { backend } => self.check_health(backend, pending_io),
            Action::WatchEndpoints => pending_io.discovery_poll_requested = true,
            Action::FetchSnapshot => {
                self.snapshot_requested = true;
                pending_io.discovery_poll_requested = true;
            }
            Action::SetTimer { after, token } => {
                let at = self.clock.now().saturating_add(after);
                self.set_timer(at, TimerPurpose::Balancer(token), pending_io);
            }
            Action::Log(ref event) => log_balancer_event(event, &self.backends, &self.names),
        }
    }

    /// Requests a health check of a backend, unless the backend is no longer listed.
    fn check_health(&self, backend: BackendId, pending_io: &mut PendingIo<P>) {
        if let Some(entry) = self.backends.get(backend) {
            pending_io.health_checks.push(BackendAddress {
                backend,
                address: entry.address,
                incarnation: entry.incarnation,
            });
        }
    }

    /// Sets a timer. If the timer is the next one to fire, the task that waits for timers is notified.
    fn set_timer(&mut self, at: Nanos, purpose: TimerPurpose, pending_io: &mut PendingIo<P>) {
        pending_io.next_timer_changed |= self.timers.set(at, purpose);
    }

    /// Handles all timers that are due.
    pub(crate) fn fire_timers(&mut self, pending_io: &mut PendingIo<P>) {
        let now = self.clock.now();
        while let Some(purpose) = self.timers.pop_expired(now) {
            match purpose {
                TimerPurpose::ZoneMonitor => {
                    self.with_zone_monitoring(pending_io, ZoneMonitoring::on_timer);
                }
                TimerPurpose::Balancer(token) => {
                    self.handle(Event::TimerFired { token }, pending_io);
                }
                TimerPurpose::FallbackTimeout(request) => self.fail_overdue(request, pending_io),
            }
        }
    }
}

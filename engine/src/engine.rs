//! The [`Engine`] handle through which adapters and discovery clients use the engine of one fleet.
//!
//! Each call borrows the [`Driver`] only while the call is handled. The resulting network operations start after that
//! borrow has ended, so that a [`Transport`] may call back into the engine.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::{
    BackendId, ClassId, EndpointUpdate, Event, LoadReport, Nanos, Outcome, Settings, SettingsError,
};
use badgerpost_settings::NameTable;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::attempt::{AttemptCommand, AttemptEnd, AttemptId};
use crate::backends::{BackendAddress, DiscoveredEndpoint};
use crate::clock::{Clock, nanos};
use crate::driver::{Driver, ExportedRequestIds};
use crate::executed_request_ids::RequestIdHash;
use crate::metrics::{Metrics, RequestEnd};
use crate::open_requests::UploadState;
use crate::pending_io::PendingIo;
use crate::pending_response::PendingResponse;
use crate::protocol::{IncomingRequest, Protocol, RequestClass, UnknownTenant};
use crate::request_end_reason::RequestEndReason;
use crate::zone_monitoring::{PeerUpdate, ZoneGossip, ZoneOverride};

/// A timer that fires at least this long after its due time indicates that the process was paused.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(10);

/// Performs the network operations that an [`Engine`] requests.
pub trait Transport<P: Protocol> {
    /// Starts an attempt. The transport reports the end of the attempt exactly once, to [`Engine::attempt_ended`].
    fn start_attempt(&self, engine: &Engine<P>, command: AttemptCommand<P>);

    /// Checks a backend's health and reports the result to [`Engine::health_check_ended`]. The default implementation
    /// does nothing, for transports without health checks.
    fn check_health(&self, _engine: &Engine<P>, _target: BackendAddress) {}

    /// Closes the idle connections to a backend that is draining, was removed, changed its address or restarted.
    fn close_idle_connections(&self, backend: BackendId);
}

/// The result of a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// The backend that was checked.
    pub backend: BackendId,
    /// How the check ended.
    pub outcome: Outcome,
    /// The duration of the check.
    pub elapsed: Nanos,
    /// The backend's load report; empty if the backend sent none.
    pub report: LoadReport,
}

/// A handle to the engine of one fleet. Cloning is cheap, and clones share the engine.
pub struct Engine<P: Protocol> {
    driver: Rc<RefCell<Driver<P>>>,
    transport: Rc<dyn Transport<P>>,
    next_timer_changed: Rc<Notify>,
    discovery_poll_requested: Rc<Notify>,
    clock: Clock,
}

impl<P: Protocol> Clone for Engine<P> {
    fn clone(&self) -> Self {
        Self {
            driver: self.driver.clone(),
            transport: self.transport.clone(),
            next_timer_changed: self.next_timer_changed.clone(),
            discovery_poll_requested: self.discovery_poll_requested.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<P: Protocol> Engine<P> {
    /// Creates an engine without backends. `seed` initialises the balancer's random number generator.
    ///
    /// # Errors
    ///
    /// Returns an error if the balancer rejects the settings.
    pub fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport<P>>,
    ) -> Result<Self, SettingsError> {
        let driver = Driver::new(settings, names, seed, clock.clone())?;
        let engine = Self {
            driver: Rc::new(RefCell::new(driver)),
            transport,
            next_timer_changed: Rc::default(),
            discovery_poll_requested: Rc::default(),
            clock,
        };
        engine.handle(Event::Start);
        Ok(engine)
    }

    /// Starts zone monitoring. Must be called before the first endpoint update. `seed` initialises the zone monitor's
    /// random number generator.
    pub fn start_zone_monitoring(&self, seed: u64) {
        self.driver.borrow_mut().start_zone_monitoring(seed);
    }

    /// Sets the channel for the zone observations that are to be sent to the other nodes of the fleet.
    pub fn set_gossip_sender(&self, gossip_sender: mpsc::Sender<ZoneGossip>) {
        self.driver.borrow_mut().set_gossip_sender(gossip_sender);
    }

    /// Reports that another node of the fleet joined, left or sent gossip.
    pub fn peer_updated(&self, update: &PeerUpdate) {
        self.with_driver(|driver, pending_io| driver.peer_updated(update, pending_io));
    }

    /// Sets an operator's override of a zone's state, or ends the override if `zone_override` is `None`. Does nothing
    /// if the zone is unknown or zone monitoring is off.
    pub fn override_zone(&self, zone_name: &str, zone_override: Option<ZoneOverride>) {
        self.with_driver(|driver, pending_io| {
            driver.override_zone(zone_name, zone_override, pending_io);
        });
    }

    /// The clock that the whole process shares.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The engine's metrics, which any thread may read.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.driver.borrow().metrics()
    }

    /// Updates the backend counts in the metrics. The number of avoided backends can change without any event.
    pub fn update_backend_counts(&self) {
        self.driver.borrow().update_backend_counts();
    }

    /// Whether service discovery has delivered an endpoint list since the engine was created, other than a cached one.
    pub fn has_endpoint_list(&self) -> bool {
        self.driver.borrow().has_endpoint_list()
    }

    /// Looks up a request class by name. Returns `None` if the settings do not define the class.
    pub fn class(&self, name: &str) -> Option<RequestClass> {
        self.driver.borrow().class(name)
    }

    /// Looks up a tenant's number by name. Returns `None` if the settings define no tenants.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings define tenants, but none of this name.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        self.driver.borrow().tenant(name)
    }

    /// The longest deadline of all request classes.
    pub fn longest_deadline(&self) -> Duration {
        self.driver.borrow().longest_deadline()
    }

    /// Whether the settings say that service discovery is polled.
    pub fn is_discovery_polled(&self) -> bool {
        self.driver.borrow().is_discovery_polled()
    }

    /// Submits a request. Dropping the returned response before the outcome arrives reports that the client has
    /// disconnected. Returns `None` if the request's id is already in use: a backend would take the request for
    /// another attempt of the request that has the id.
    pub fn submit(&self, incoming: IncomingRequest<P>) -> Option<PendingResponse<P>> {
        self.submit_with(incoming, UploadState::Complete)
    }

    /// Submits a request whose body is still being uploaded, otherwise like [`submit`](Self::submit). The request's
    /// budget limits the upload time; [`PendingResponse::upload_complete`] reports the end of the upload.
    pub fn submit_upload(&self, incoming: IncomingRequest<P>) -> Option<PendingResponse<P>> {
        self.submit_with(incoming, UploadState::InProgress)
    }

    fn submit_with(
        &self,
        incoming: IncomingRequest<P>,
        upload: UploadState,
    ) -> Option<PendingResponse<P>> {
        let (outcome_sender, outcome) = oneshot::channel();
        let request = self.with_driver(|driver, pending_io| {
            driver.submit(incoming, upload, outcome_sender, pending_io)
        })?;
        Some(PendingResponse::new(self.clone(), request, outcome))
    }

    /// The ids of requests that another process of the node must not run, from now on until the channel is closed. Only
    /// one other process can be informed at a time.
    pub fn export_request_ids(&self) -> ExportedRequestIds {
        self.driver.borrow_mut().export_request_ids()
    }

    /// Refuses requests with these ids, which may have run in another process of the node.
    pub fn import_request_ids(&self, ids: &[RequestIdHash]) {
        self.driver.borrow_mut().import_request_ids(ids);
    }

    /// Counts and logs a request that an adapter refuses instead of submitting it.
    pub fn request_refused(&self, client_id: &str, class: ClassId, reason: RequestEndReason) {
        self.driver
            .borrow_mut()
            .record_refusal(client_id, class, reason);
        self.metrics()
            .count_request_end(class, RequestEnd::Rejected);
    }

    /// Reports that this attempt has sent parts of the request's body that are not buffered, so that the request can't
    /// be retried.
    pub fn body_consumed(&self, attempt: AttemptId) {
        let request = attempt.request;
        self.handle(Event::BodyConsumed { request });
    }

    /// Reports that a backend aborted a response during streaming.
    pub fn response_aborted(&self, backend: BackendId) {
        self.handle(Event::ResponseAborted { backend });
    }

    /// Whether an attempt may still be written. While the attempt's connection was being established, the request may
    /// have ended, the backend may have started to drain, or a retry may have become unsafe.
    pub fn may_write(&self, attempt: AttemptId) -> bool {
        self.driver.borrow().may_write(attempt)
    }

    /// Whether the backend is in service, at this address and with this process.
    pub fn is_in_service_at(&self, target: BackendAddress) -> bool {
        self.driver.borrow().is_in_service_at(target)
    }

    /// Whether any backend is in service according to the latest endpoint list.
    pub fn has_endpoint_in_service(&self) -> bool {
        self.driver.borrow().has_endpoint_in_service()
    }

    /// The backends in service, ordered by id.
    pub fn endpoints_in_service(&self) -> Vec<BackendAddress> {
        self.driver.borrow().endpoints_in_service()
    }

    /// The name of a backend, or the number in the backend's id if the backend is not listed.
    pub fn endpoint_name(&self, backend: BackendId) -> String {
        self.driver.borrow().endpoint_name(backend)
    }

    /// Reports the end of an attempt.
    pub fn attempt_ended(&self, attempt: AttemptId, end: AttemptEnd<P::Response>) {
        self.with_driver(|driver, pending_io| driver.attempt_ended(attempt, end, pending_io));
    }

    /// Reports that the response of an attempt has begun to arrive and then paused. `is_replaceable` tells whether
    /// giving up the attempt cuts off no response that may be sound beyond the client's deadline.
    pub fn response_stalled(&self, attempt: AttemptId, is_replaceable: bool) {
        self.handle(Event::ResponseStalled {
            request: attempt.request,
            attempt: attempt.number.0,
            is_replaceable,
        });
    }

    /// Reports that part of an attempt's response was sent to the client, so that the request can't be retried.
    pub fn response_started(&self, attempt: AttemptId) {
        let request = attempt.request;
        self.handle(Event::ResponseStarted { request });
    }

    /// Reports the result of a health check.
    pub fn health_check_ended(&self, result: HealthCheckResult) {
        let HealthCheckResult {
            backend,
            outcome,
            elapsed,
            report,
        } = result;
        self.handle(Event::HealthCheckEnded {
            backend,
            outcome,
            elapsed,
            report,
        });
    }

    /// Reports an endpoint list, or changes to it, from service discovery.
    pub fn endpoints_updated(&self, update: EndpointUpdate, endpoints: &[DiscoveredEndpoint]) {
        self.with_driver(|driver, pending_io| {
            driver.endpoints_updated(update, endpoints, pending_io);
        });
    }

    /// Reports that a request to service discovery failed.
    pub fn discovery_failed(&self) {
        self.handle(Event::DiscoveryFailed);
    }

    /// Waits until the balancer requests endpoint changes or a snapshot of the endpoint list.
    pub async fn discovery_requested(&self) {
        self.discovery_poll_requested.notified().await;
    }

    /// Whether the balancer has requested a snapshot of the endpoint list. The call clears the request.
    pub fn take_snapshot_request(&self) -> bool {
        self.driver.borrow_mut().take_snapshot_request()
    }

    /// Handles timers when they become due. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let next_at = self.driver.borrow().timers.next_at();
            match next_at {
                None => self.next_timer_changed.notified().await,
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.clock.sleep_until(at) => self.yield_if_late(at).await,
                        () = self.next_timer_changed.notified() => {}
                    }
                }
            }
            self.fire_timers();
        }
    }

    /// Lets received data be handled before timers that are overdue because the process was paused. Otherwise these
    /// timers would fail requests whose responses are waiting unread in a socket.
    async fn yield_if_late(&self, timer_at: Nanos) {
        if self.clock.now().saturating_sub(timer_at) >= nanos(LATE_TIMER_THRESHOLD) {
            self.clock.yield_to_ready_tasks().await;
        }
    }

    /// Handles all timers that are due.
    fn fire_timers(&self) {
        self.with_driver(Driver::fire_timers);
    }

    /// Passes an event to the balancer.
    fn handle(&self, event: Event) {
        self.with_driver(|driver, pending_io| driver.handle(event, pending_io));
    }

    /// Calls `call` with the driver borrowed, and then executes the operations that the call collected.
    pub(crate) fn with_driver<T>(
        &self,
        call: impl FnOnce(&mut Driver<P>, &mut PendingIo<P>) -> T,
    ) -> T {
        let mut pending_io = PendingIo::default();
        let result = call(&mut self.driver.borrow_mut(), &mut pending_io);
        self.execute(pending_io);
        result
    }

    /// Executes collected operations. The driver must not be borrowed, since the transport may call back.
    fn execute(&self, pending_io: PendingIo<P>) {
        for backend in pending_io.idle_closures {
            self.transport.close_idle_connections(backend);
        }
        for target in pending_io.health_checks {
            self.transport.check_health(self, target);
        }
        for command in pending_io.attempts {
            self.transport.start_attempt(self, command);
        }
        for attempt in pending_io.unlisted_attempts {
            self.attempt_ended(attempt, AttemptEnd::without_response(Outcome::NotSent));
        }
        if pending_io.discovery_poll_requested {
            self.discovery_poll_requested.notify_one();
        }
        if pending_io.next_timer_changed {
            self.next_timer_changed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;

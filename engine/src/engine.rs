//! The handle on one fleet's engine, which adapters and discovery clients hold.
//!
//! Each call borrows the [`Driver`] for its own duration only. What it leaves to be done on the network is done once
//! that borrow has ended, so that a [`Transport`] may call back.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::{
    BackendId, EndpointUpdate, Event, LoadReport, Nanos, Outcome, RequestId, Settings,
    SettingsError,
};
use badgerpost_settings::NameTable;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::attempt::{AttemptCommand, AttemptEnd, AttemptId};
use crate::backends::{BackendAddress, DiscoveredEndpoint};
use crate::clock::{Clock, nanos};
use crate::driver::Driver;
use crate::metrics::Metrics;
use crate::open_requests::UploadState;
use crate::pending_io::PendingIo;
use crate::protocol::{IncomingRequest, Protocol, RequestClass, RequestOutcome, UnknownTenant};
use crate::zone_monitoring::{PeerUpdate, ZoneGossip, ZoneOverride};

/// A timer that fires this much too late shows that the process has stood still.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(10);

/// Does on the network what an engine asks for.
pub trait Transport<P: Protocol> {
    /// Starts an attempt. Its end is reported by [`Engine::attempt_ended`], exactly once.
    fn start_attempt(&self, engine: &Engine<P>, command: AttemptCommand<P>);

    /// Checks a backend's health. The result is reported by [`Engine::health_check_ended`]. A transport whose backends
    /// can't be checked does nothing.
    fn check_health(&self, _engine: &Engine<P>, _target: BackendAddress) {}

    /// Closes the idle connections to a backend that has left, moved or restarted.
    fn close_idle_connections(&self, backend: BackendId);
}

/// The result of a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// The backend that was checked.
    pub backend: BackendId,
    /// How the check ended.
    pub outcome: Outcome,
    /// How long it took.
    pub elapsed: Nanos,
    /// The backend's load report; empty if there was none.
    pub report: LoadReport,
}

/// A handle on one fleet's engine. Cheap to clone; clones share the engine.
pub struct Engine<P: Protocol> {
    driver: Rc<RefCell<Driver<P>>>,
    transport: Rc<dyn Transport<P>>,
    next_timer_changed: Rc<Notify>,
    discovery_wanted: Rc<Notify>,
    clock: Clock,
}

impl<P: Protocol> Clone for Engine<P> {
    fn clone(&self) -> Self {
        Self {
            driver: self.driver.clone(),
            transport: self.transport.clone(),
            next_timer_changed: self.next_timer_changed.clone(),
            discovery_wanted: self.discovery_wanted.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<P: Protocol> Engine<P> {
    /// An engine without backends. The seed drives the balancer's random draws.
    ///
    /// # Errors
    ///
    /// Settings that the balancer can't work with.
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
            discovery_wanted: Rc::default(),
            clock,
        };
        engine.handle(Event::Start);
        Ok(engine)
    }

    /// Starts zone monitoring; to be called before the first endpoint update. The seed drives the monitor's random
    /// draws.
    pub fn start_zone_monitoring(&self, seed: u64) {
        self.driver.borrow_mut().start_zone_monitoring(seed);
    }

    /// Sets where the zone monitor's observations for the other nodes of the fleet go.
    pub fn set_gossip_sender(&self, gossip_sender: mpsc::Sender<ZoneGossip>) {
        self.driver.borrow_mut().set_gossip_sender(gossip_sender);
    }

    /// Reports that another node of the fleet has joined, left or sent gossip.
    pub fn peer_updated(&self, update: &PeerUpdate) {
        self.with_driver(|driver, pending_io| driver.peer_updated(update, pending_io));
    }

    /// Overrides a zone's state by operators' order; none ends an override. Does nothing if there is no such zone, or
    /// zones are not monitored.
    pub fn override_zone(&self, zone_name: &str, zone_override: Option<ZoneOverride>) {
        self.with_driver(|driver, pending_io| {
            driver.override_zone(zone_name, zone_override, pending_io);
        });
    }

    /// The process's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The engine's counters, which any thread may read.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.driver.borrow().metrics()
    }

    /// Brings the metrics' backend counts up to date: the number of avoided backends changes with time alone.
    pub fn update_backend_counts(&self) {
        self.driver.borrow().update_backend_counts();
    }

    /// Whether service discovery has delivered an endpoint list since the start. A cached list does not count.
    pub fn has_endpoint_list(&self) -> bool {
        self.driver.borrow().has_endpoint_list()
    }

    /// A request class by name, or none if the settings do not list it.
    pub fn class(&self, name: &str) -> Option<RequestClass> {
        self.driver.borrow().class(name)
    }

    /// A tenant's number; none on a site without tenants.
    ///
    /// # Errors
    ///
    /// The site has tenants, and none of this name.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        self.driver.borrow().tenant(name)
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        self.driver.borrow().longest_deadline()
    }

    /// Whether the site's service discovery has to be polled.
    pub fn is_discovery_polled(&self) -> bool {
        self.driver.borrow().is_discovery_polled()
    }

    /// Submits a request. Dropping the response before its outcome is there means that the client has disconnected.
    /// Returns nothing if the client's id of the request is in use: forwarded, this one would count as another attempt
    /// of the request that has it.
    pub fn submit(&self, incoming: IncomingRequest<P>) -> Option<PendingResponse<P>> {
        self.submit_with(incoming, UploadState::Complete)
    }

    /// Submits a request whose body is still being uploaded, otherwise like [`submit`](Self::submit). Its budget is
    /// the longest that the upload may take; [`PendingResponse::upload_complete`] reports its end.
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
        Some(PendingResponse {
            engine: self.clone(),
            request,
            outcome,
        })
    }

    /// Reports that bytes of a request's body have gone out with this attempt that are not buffered, so that the
    /// request can't be sent again.
    pub fn body_consumed(&self, attempt: AttemptId) {
        let request = attempt.request;
        self.handle(Event::BodyConsumed { request });
    }

    /// Reports that a backend aborted a response that was being streamed.
    pub fn response_aborted(&self, backend: BackendId) {
        self.handle(Event::ResponseAborted { backend });
    }

    /// Whether an attempt may still be written. Establishing its connection can outlast the request, the grace period
    /// of a draining backend, or the time within which a retry is safe.
    pub fn may_write(&self, attempt: AttemptId) -> bool {
        self.driver.borrow().may_write(attempt)
    }

    /// Whether a backend is in service at this address.
    pub fn is_in_service_at(&self, backend: BackendId, address: SocketAddr) -> bool {
        self.driver.borrow().is_in_service_at(backend, address)
    }

    /// Whether any backend is in service, by the latest endpoint list.
    pub fn has_endpoint_in_service(&self) -> bool {
        self.driver.borrow().has_endpoint_in_service()
    }

    /// The backends in service, ordered by id.
    pub fn endpoints_in_service(&self) -> Vec<BackendAddress> {
        self.driver.borrow().endpoints_in_service()
    }

    /// A backend's name, or its number if it is not listed.
    pub fn endpoint_name(&self, backend: BackendId) -> String {
        self.driver.borrow().endpoint_name(backend)
    }

    /// Reports the end of an attempt.
    pub fn attempt_ended(&self, attempt: AttemptId, end: AttemptEnd<P::Response>) {
        self.with_driver(|driver, pending_io| driver.attempt_ended(attempt, end, pending_io));
    }

    /// Reports that part of an attempt's response has gone to the client, so that the request can't be sent anywhere
    /// else.
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

    /// Reports that a request to service discovery has failed.
    pub fn discovery_failed(&self) {
        self.handle(Event::DiscoveryFailed);
    }

    /// Waits until the balancer asks for endpoint changes or a snapshot.
    pub async fn discovery_requested(&self) {
        self.discovery_wanted.notified().await;
    }

    /// Whether the balancer wants a snapshot of the endpoint list next. Asking takes the request back.
    pub fn take_snapshot_request(&self) -> bool {
        self.driver.borrow_mut().take_snapshot_request()
    }

    /// Handles timers as they fire. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let next_at = self.driver.borrow().timers.next_at();
            match next_at {
                None => self.next_timer_changed.notified().await,
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.clock.sleep_until(at) => self.settle_if_late(at).await,
                        () = self.next_timer_changed.notified() => {}
                    }
                }
            }
            self.fire_timers();
        }
    }

    /// Lets what has arrived be handled before timers that are overdue because the process has stood still: they would
    /// end requests whose responses lie in its sockets.
    async fn settle_if_late(&self, timer_at: Nanos) {
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

    /// Borrows the driver for one call, and then does what that leaves to be done.
    fn with_driver<T>(&self, call: impl FnOnce(&mut Driver<P>, &mut PendingIo<P>) -> T) -> T {
        let mut pending_io = PendingIo::default();
        let result = call(&mut self.driver.borrow_mut(), &mut pending_io);
        self.perform(pending_io);
        result
    }

    /// Does pending work. The transport may call back, so the driver must not be borrowed.
    fn perform(&self, pending_io: PendingIo<P>) {
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
        if pending_io.polls_discovery {
            self.discovery_wanted.notify_one();
        }
        if pending_io.next_timer_changed {
            self.next_timer_changed.notify_one();
        }
    }
}

/// A submitted request whose outcome is awaited. Dropping it means that the client has disconnected.
pub struct PendingResponse<P: Protocol> {
    engine: Engine<P>,
    request: RequestId,
    outcome: oneshot::Receiver<RequestOutcome<P::Response>>,
}

impl<P: Protocol> PendingResponse<P> {
    /// Reports that the request's body has been uploaded. The client waits for `budget` from now on.
    pub fn upload_complete(&self, budget: Nanos) {
        self.engine.with_driver(|driver, pending_io| {
            driver.upload_complete(self.request, budget, pending_io);
        });
    }

    /// Rejects the request, which must not have run on any backend. Returns the outcome for its client.
    pub fn reject(&self) -> RequestOutcome<P::Response> {
        self.engine
            .with_driver(|driver, pending_io| driver.reject(self.request, pending_io))
    }

    /// Waits for the outcome.
    pub async fn into_outcome(mut self) -> RequestOutcome<P::Response> {
        self.wait().await
    }

    /// Waits for the outcome, which can be had once.
    pub async fn wait(&mut self) -> RequestOutcome<P::Response> {
        // The sender is dropped unused only if the request is gone, and then nothing is known of its outcome.
        (&mut self.outcome).await.unwrap_or(RequestOutcome::Failed)
    }
}

impl<P: Protocol> Drop for PendingResponse<P> {
    /// A client that disconnects takes its connection's task with it, and so this.
    fn drop(&mut self) {
        let request = self.request;
        self.engine
            .with_driver(|driver, pending_io| driver.client_disconnected(request, pending_io));
    }
}

#[cfg(test)]
mod tests;

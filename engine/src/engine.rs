//! The handle on one fleet's engine that fronts and list sources hold. No borrow of the driver outlives one of its
//! calls; what a call leaves to do on the network is done once that has ended.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use badgerpost_balancer::{
    BackendId, Discovery, EndpointUpdate, Event, Idempotency, LoadReport, Nanos, Outcome,
    RequestId, Settings, SettingsError, ZoneId,
};
use badgerpost_settings::NameTable;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::clock::Clock;
use crate::driver::{Driver, PendingIo};
use crate::metrics::Metrics;
use crate::protocol::{
    AttemptCommand, AttemptEnd, AttemptId, DiscoveredEndpoint, IncomingRequest, Protocol,
    RequestOutcome, UnknownTenant,
};
use crate::zone_monitoring::{PeerUpdate, ZoneGossip};

/// Carries out on the network what the module asks for.
pub trait Transport<P: Protocol> {
    /// Starts an attempt; its end comes back by [`Engine::settled`], exactly once.
    fn launch(&self, engine: &Engine<P>, launch: AttemptCommand<P>);
    /// Asks a backend how it fares; the answer comes back by [`Engine::probed`]. A front whose backends can't be
    /// asked answers nothing.
    fn probe(&self, _engine: &Engine<P>, _backend: BackendId, _endpoint: SocketAddr) {}
    /// Drops the idle connections to a backend that has left, moved or started anew.
    fn retire(&self, backend: BackendId);
}

/// A handle on one fleet's engine. Cheap to clone.
pub struct Engine<P: Protocol> {
    driver: Rc<RefCell<Driver<P>>>,
    transport: Rc<dyn Transport<P>>,
    timer: Rc<Notify>,
    asked: Rc<Notify>,
    clock: Clock,
}

impl<P: Protocol> Clone for Engine<P> {
    fn clone(&self) -> Self {
        Self {
            driver: self.driver.clone(),
            transport: self.transport.clone(),
            timer: self.timer.clone(),
            asked: self.asked.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<P: Protocol> Engine<P> {
    /// An engine with no backends yet.
    pub fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport<P>>,
    ) -> Result<Self, SettingsError> {
        let driver = Rc::new(RefCell::new(Driver::new(
            settings,
            names,
            seed,
            clock.clone(),
        )?));
        let node = Self {
            driver,
            transport,
            timer: Rc::default(),
            asked: Rc::default(),
            clock,
        };
        node.call(|driver, pending_io| driver.handle(Event::Start, pending_io));
        Ok(node)
    }

    /// Switches the watch over the zones on, before the first list. The seed drives its draws.
    pub fn watch_zones(&self, seed: u64) {
        self.driver.borrow_mut().watch_zones(seed);
    }

    /// Has what the watch over the zones says to the other nodes go there.
    pub fn set_gossip_sender(&self, gossip_sender: mpsc::Sender<ZoneGossip>) {
        self.driver.borrow_mut().gossip_sender(gossip_sender);
    }

    /// Another node of the fleet is there, or gone, or has said something of a zone.
    pub fn peer_updated(&self, told: &PeerUpdate) {
        self.call(|driver, pending_io| driver.peer_updated(told, pending_io));
    }

    /// Operators close a zone (`true`) or hold it open for a time, or end that. Nothing where there is no such zone or
    /// no watch over them.
    pub fn override_zone(&self, zone: &str, order: Option<(bool, Nanos)>) {
        self.call(|driver, pending_io| {
            let mut zones = (0..driver.settings.zone_count).map(ZoneId);
            let until =
                order.map(|(closed, span)| (closed, driver.clock.now().saturating_add(span)));
            if let Some(zone) = zones.find(|at| driver.names.zone_name(*at) == Some(zone)) {
                driver.override_zone(zone, until, pending_io);
            }
        });
    }

    /// The node's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// What is counted here, for any thread to read.
    pub fn metrics(&self) -> Arc<Metrics> {
        self.driver.borrow().metrics.clone()
    }

    /// Brings the metrics's figures of the servers up to date: which of them are avoided changes with time alone.
    pub fn update_server_metrics(&self) {
        self.driver.borrow().update_server_metrics();
    }

    /// Whether discovery has told of the servers since the start.
    pub fn has_endpoint_list(&self) -> bool {
        self.driver.borrow().endpoint_list_received
    }

    /// A class's number, time limit and effect, or none where the settings do not list it.
    pub fn class(&self, name: &str) -> Option<(u32, Nanos, Idempotency)> {
        let driver = self.driver.borrow();
        let class = driver.names.class(name)?;
        let settings = driver.settings.classes.get(class as usize)?;
        Some((class, settings.deadline, settings.idempotency))
    }

    /// A tenant's number. `Err` for a name that the settings of a site with tenants do not list.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        let driver = self.driver.borrow();
        if driver.settings.tenant_quotas.is_empty() {
            return Ok(None);
        }
        driver.names.tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Duration {
        let driver = self.driver.borrow();
        Duration::from_nanos(
            driver
                .settings
                .classes
                .iter()
                .map(|class| class.deadline)
                .max()
                .unwrap_or(0),
        )
    }

    /// Whether the site's discovery has to be asked.
    pub fn polls_discovery(&self) -> bool {
        self.driver.borrow().settings.discovery == Discovery::Polled
    }

    /// Takes a request; the answer comes through what is returned. Dropping that first means that the client
    /// has gone. None where its id is in use: passed on, it would count as another attempt of that request.
    pub fn submit(&self, asked: IncomingRequest<P>) -> Option<PendingResponse<P>> {
        self.take(asked, false)
    }

    /// Takes a request whose body is still on the way; [`Waiting::whole`] tells when it has come. Its budget is how
    /// long that may take.
    pub fn submit_upload(&self, asked: IncomingRequest<P>) -> Option<PendingResponse<P>> {
        self.take(asked, true)
    }

    fn take(&self, asked: IncomingRequest<P>, uploading: bool) -> Option<PendingResponse<P>> {
        let (reply, answer) = oneshot::channel();
        let request =
            self.call(|driver, pending_io| driver.submit(asked, uploading, reply, pending_io))?;
        Some(PendingResponse {
            engine: self.clone(),
            request,
            answer,
        })
    }

    /// Bytes of a request's body have gone out with this attempt that can't be had again.
    pub fn body_consumed(&self, attempt_id: AttemptId) {
        let request = attempt_id.request;
        self.call(|driver, pending_io| driver.handle(Event::BodyConsumed { request }, pending_io));
    }

    /// An answer that was being passed on broke off at this backend.
    pub fn response_aborted(&self, backend: BackendId) {
        self.call(|driver, pending_io| {
            driver.handle(Event::ResponseAborted { backend }, pending_io)
        });
    }

    /// Whether an attempt may still be written: a connect can outlast its request, the grace of a backend that has begun
    /// to drain, or the time for which a repeat does no harm.
    pub fn may_write(&self, attempt_id: AttemptId) -> bool {
        let driver = self.driver.borrow();
        let (now, grace) = (driver.clock.now(), driver.settings.rules.drain_grace);
        let live = driver
            .requests
            .get(&attempt_id.request)
            .is_some_and(|r| !r.ended && now < r.expires_at);
        // Half the grace: telling began before the list was read here, and the bytes have a way to go.
        let open = driver
            .backends
            .get(attempt_id.backend)
            .is_some_and(|backend| {
                backend
                    .draining_since
                    .is_none_or(|since| now < since.saturating_add(grace / 2))
            });
        live && open
            && driver
                .balancer
                .may_write(now, attempt_id.request, attempt_id.attempt)
    }

    /// Whether a backend is in service, and at this address.
    pub fn is_in_service_at(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let driver = self.driver.borrow();
        let known = driver.backends.get(backend);
        known.is_some_and(|known| known.endpoint == endpoint && known.draining_since.is_none())
    }

    /// Whether any backend is in service, by the list known last.
    pub fn has_endpoint_in_service(&self) -> bool {
        self.driver.borrow().backends.any_in_service()
    }

    /// All backends in service, by number, and where they listen.
    pub fn endpoints_in_service(&self) -> Vec<(BackendId, SocketAddr)> {
        self.driver.borrow().backends.in_service()
    }

    /// A backend's name on the list, or its number where it is not there.
    pub fn endpoint_name(&self, backend: BackendId) -> String {
        let driver = self.driver.borrow();
        driver
            .backends
            .get(backend)
            .map_or_else(|| backend.0.to_string(), |known| known.uid.to_string())
    }

    /// Takes the end of an attempt.
    pub fn attempt_ended(&self, attempt_id: AttemptId, end: AttemptEnd<P::Response>) {
        self.call(|driver, pending_io| driver.attempt_ended(attempt_id, end, pending_io));
    }

    /// Something of an attempt's answer has gone to the client: the request goes nowhere else from now on.
    pub fn response_started(&self, attempt_id: AttemptId) {
        let request = attempt_id.request;
        self.call(|driver, pending_io| {
            driver.handle(Event::ResponseStarted { request }, pending_io)
        });
    }

    /// Takes the end of a probe.
    pub fn health_check_ended(
        &self,
        backend: BackendId,
        outcome: Outcome,
        elapsed: Nanos,
        report: LoadReport,
    ) {
        let event = Event::HealthCheckEnded {
            backend,
            outcome,
            elapsed,
            report,
        };
        self.call(|driver, pending_io| driver.handle(event, pending_io));
    }

    /// Takes a list from discovery.
    pub fn endpoints_updated(&self, scope: EndpointUpdate, list: Vec<DiscoveredEndpoint>) {
        self.call(|driver, pending_io| driver.endpoints_updated(scope, list, pending_io));
    }

    /// A call to discovery has failed.
    pub fn discovery_failed(&self) {
        self.call(|driver, pending_io| driver.handle(Event::DiscoveryFailed, pending_io));
    }

    /// Waits until the module asks for the watch or the list.
    pub async fn discovery_requested(&self) {
        self.asked.notified().await;
    }

    /// Whether the module wants the whole list next; asking takes the wish back.
    pub fn take_snapshot_request(&self) -> bool {
        std::mem::take(&mut self.driver.borrow_mut().snapshot_requested)
    }

    /// Runs the timers; never ends.
    pub async fn run_timers(&self) {
        loop {
            let next = self.driver.borrow().timers.first();
            match next {
                None => self.timer.notified().await,
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = self.clock.sleep_until(at) => {}
                        () = self.timer.notified() => {}
                    }
                }
            }
            self.call(|driver, pending_io| driver.fire_timers(pending_io));
        }
    }

    /// One call into the driver; what it leaves to do is done once the borrow has ended.
    fn call<T>(&self, call: impl FnOnce(&mut Driver<P>, &mut PendingIo<P>) -> T) -> T {
        let mut pending_io = PendingIo::default();
        let result = call(&mut self.driver.borrow_mut(), &mut pending_io);
        pending_io
            .retired
            .into_iter()
            .for_each(|backend| self.transport.retire(backend));
        pending_io
            .probes
            .into_iter()
            .for_each(|(backend, at)| self.transport.probe(self, backend, at));
        pending_io
            .attempts
            .into_iter()
            .for_each(|launch| self.transport.launch(self, launch));
        for attempt_id in pending_io.not_sent {
            self.attempt_ended(attempt_id, AttemptEnd::bare(Outcome::NotSent));
        }
        if pending_io.poll_discovery {
            self.asked.notify_one();
        }
        if pending_io.first_timer_changed {
            self.timer.notify_one();
        }
        result
    }
}

/// A request that is owed its answer.
pub struct PendingResponse<P: Protocol> {
    engine: Engine<P>,
    request: RequestId,
    answer: oneshot::Receiver<RequestOutcome<P::Response>>,
}

impl<P: Protocol> PendingResponse<P> {
    /// The request's body has come whole; its client waits for this much longer.
    pub fn upload_complete(&self, budget: Nanos) {
        self.engine
            .call(|driver, pending_io| driver.upload_complete(self.request, budget, pending_io));
    }

    /// Gives the request up: it can't have run anywhere, and trying again does no harm.
    pub fn reject(&self) -> RequestOutcome<P::Response> {
        self.engine
            .call(|driver, pending_io| driver.reject(self.request, pending_io))
    }

    /// The final answer.
    pub async fn into_outcome(mut self) -> RequestOutcome<P::Response> {
        self.wait().await
    }

    /// The final answer, to be waited for once.
    pub async fn wait(&mut self) -> RequestOutcome<P::Response> {
        // The sender is dropped unused only if the request has vanished, which promises nothing.
        (&mut self.answer).await.unwrap_or(RequestOutcome::Failed)
    }
}

impl<P: Protocol> Drop for PendingResponse<P> {
    /// A client that hangs up takes its connection's task with it, and so this: the one place that notices.
    fn drop(&mut self) {
        let request = self.request;
        self.engine
            .call(|driver, pending_io| driver.client_disconnected(request, pending_io));
    }
}

#[cfg(test)]
mod tests;

//! The driver of one fleet: sole owner of its [`Balancer`] and of the table of open requests and their attempts.
//! Events go in, actions come out; what they leave to do on the network is collected as [`Errands`]. Nothing is
//! decided here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use badgerpost_balancer::{
    Action, AttemptResult, BackendId, Balancer, ClassId, EndpointUpdate, Event, LogEvent, Nanos,
    Outcome, RequestArrival, RequestId, Settings, SettingsError, ZoneId,
};
use badgerpost_settings::NameTable;
use tokio::sync::{mpsc, oneshot, watch};

use crate::backends::Backends;
use crate::client_request_ids::ClientRequestIds;
use crate::clock::Clock;
use crate::metrics::{Metrics, RequestEnd};
use crate::protocol::{
    AttemptCommand, AttemptEnd, AttemptId, DiscoveredEndpoint, IncomingRequest, Protocol,
    RequestOutcome,
};
use crate::timers::{TimerPurpose, Timers};
use crate::zone_monitoring::{PeerUpdate, ZoneChange, ZoneGossip, ZoneMonitoring, ZoneOutput};

/// How long past a request's end the driver waits for the module before it answers by itself: longer than
/// the module's own housekeeping, well inside the slack that the rules leave.
const BACKSTOP: Nanos = 20_000_000;

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    since: Nanos,
    cancel: Option<oneshot::Sender<()>>,
}

/// A request that is owed its answer, or the ends of its attempts.
pub(crate) struct OpenRequest<P: Protocol> {
    pub(crate) reply: Option<oneshot::Sender<RequestOutcome<P::Response>>>,
    pub(crate) call: Rc<P::Request>,
    pub(crate) class: u32,
    pub(crate) id: Box<str>,
    pub(crate) expires_at: Nanos,
    /// Where the body is still on the way, or was: the end of the client's time, once it is known.
    deadline: Option<watch::Sender<Nanos>>,
    /// Attempts by number; none where settled.
    pub(crate) attempts: Vec<Option<InFlightAttempt>>,
    pub(crate) ended: bool,
}

/// One fleet's state.
pub(crate) struct Driver<P: Protocol> {
    pub(crate) clock: Clock,
    pub(crate) balancer: Balancer,
    pub(crate) settings: Settings,
    pub(crate) names: NameTable,
    pub(crate) requests: HashMap<RequestId, OpenRequest<P>>,
    /// The clients' ids of these.
    pub(crate) client_request_ids: ClientRequestIds,
    pub(crate) next_request: u64,
    pub(crate) backends: Backends,
    pub(crate) timers: Timers,
    pub(crate) metrics: Arc<Metrics>,
    /// The watch over the zones, where it is switched on.
    zones: Option<ZoneMonitoring>,
    /// Where its words for the other nodes go, if there are any.
    gossip_sender: Option<mpsc::Sender<ZoneGossip>>,
    /// Discovery has told of the servers.
    pub(crate) endpoint_list_received: bool,
    /// Set by the module's wish for the whole list.
    pub(crate) snapshot_requested: bool,
}

/// Work that an event has left for the network.
pub(crate) struct PendingIo<P: Protocol> {
    pub(crate) attempts: Vec<AttemptCommand<P>>,
    pub(crate) retired: Vec<BackendId>,
    /// Whom to probe, and where they listen.
    pub(crate) probes: Vec<(BackendId, SocketAddr)>,
    /// Attempts on a backend that has left the list meanwhile.
    pub(crate) not_sent: Vec<AttemptId>,
    pub(crate) poll_discovery: bool,
    pub(crate) first_timer_changed: bool,
}

impl<P: Protocol> Default for PendingIo<P> {
    fn default() -> Self {
        Self {
            attempts: Vec::new(),
            retired: Vec::new(),
            probes: Vec::new(),
            not_sent: Vec::new(),
            poll_discovery: false,
            first_timer_changed: false,
        }
    }
}

impl<P: Protocol> Driver<P> {
    /// A driver with no servers yet.
    pub(crate) fn new(
        settings: Settings,
        names: NameTable,
        seed: u64,
        clock: Clock,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            clock,
            metrics: Arc::new(Metrics::new(names.class_names())),
            settings,
            names,
            requests: HashMap::new(),
            client_request_ids: ClientRequestIds::default(),
            next_request: 0,
            backends: Backends::default(),
            timers: Timers::default(),
            zones: None,
            gossip_sender: None,
            endpoint_list_received: false,
            snapshot_requested: false,
        })
    }

    /// Switches the watch over the zones on.
    pub(crate) fn watch_zones(&mut self, seed: u64) {
        let names = (0..self.settings.zone_count)
            .map(|zone| self.names.zone_name(ZoneId(zone)).unwrap_or("").into());
        self.metrics.watch_zones(names.collect());
        self.zones = Some(ZoneMonitoring::new(&self.settings, seed, self.clock.now()));
    }

    /// Has the watch's words for the other nodes go there.
    pub(crate) fn gossip_sender(&mut self, gossip_sender: mpsc::Sender<ZoneGossip>) {
        self.gossip_sender = Some(gossip_sender);
    }

    /// Another node is there, or gone, or has said something.
    pub(crate) fn peer_updated(&mut self, told: &PeerUpdate, pending_io: &mut PendingIo<P>) {
        self.with_zone_monitor(pending_io, |zones, now| zones.peer_updated(now, told));
    }

    /// Operators close a zone or hold it open, or end that.
    pub(crate) fn override_zone(
        &mut self,
        zone: ZoneId,
        order: Option<(bool, Nanos)>,
        pending_io: &mut PendingIo<P>,
    ) {
        self.with_zone_monitor(pending_io, |zones, now| {
            zones.operator_override(now, zone, order)
        });
    }

    /// Tells the watch over the zones, if it is on, and does what it says.
    fn with_zone_monitor(
        &mut self,
        pending_io: &mut PendingIo<P>,
        tell: impl FnOnce(&mut ZoneMonitoring, Nanos) -> ZoneOutput,
    ) {
        let Some(zones) = &mut self.zones else { return };
        let output = tell(zones, self.clock.now());
        if let Some((at, before)) = output.wake {
            before
                .into_iter()
                .for_each(|before| self.timers.clear(before, TimerPurpose::Zones));
            self.set_timer(at, TimerPurpose::Zones, pending_io);
        }
        // With the queue full the next word says it all: each replaces the one before.
        output.says.into_iter().for_each(|word| {
            let _ = self
                .gossip_sender
                .as_ref()
                .map(|gossip_sender| gossip_sender.try_send(word));
        });
        output
            .changed
            .iter()
            .for_each(|changed| self.log_zone(changed));
        for event in output.events {
            if let Event::ZoneShareChanged { zone, share } = event {
                self.metrics.zone(zone.0, |figure| figure.share = share);
            }
            self.handle(event, pending_io);
        }
    }

    fn log_zone(&self, changed: &ZoneChange) {
        let zone = self.names.zone_name(changed.zone);
        let (why, evidence) = (
            changed.why.as_str(),
            (changed.why.evidence() * 10.0).round() / 10.0,
        );
        let (share, servers) = (changed.share, changed.servers);
        tracing::info!(zone, why, evidence, share, servers, "zone changed");
        self.metrics
            .zone(changed.zone.0, |figure| figure.reason = why);
    }

    pub(crate) fn handle(&mut self, event: Event, pending_io: &mut PendingIo<P>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.apply(action, pending_io);
        }
    }

    fn apply(&mut self, action: Action, pending_io: &mut PendingIo<P>) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
            } => self.send(request, backend, timeout, pending_io),
            Action::Reject {
                request,
                retry_after: pause,
            } => self.finish(request, RequestOutcome::Rejected(pause), false),
            Action::Fail { request } => self.finish(request, RequestOutcome::Failed, false),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
                let cancel = flight
                    .and_then(Option::as_mut)
                    .and_then(|flight| flight.cancel.take());
                // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
                let _ = cancel.map(|cancel| cancel.send(()));
            }
            Action::CheckHealth { backend } => {
                // One that has left meanwhile is not on any list that the answer could concern.
                if let Some(known) = self.backends.get(backend) {
                    pending_io.probes.push((backend, known.endpoint));
                }
            }
            Action::WatchEndpoints => pending_io.poll_discovery = true,
            Action::FetchSnapshot => {
                self.snapshot_requested = true;
                pending_io.poll_discovery = true;
            }
            Action::SetTimer { after, token } => {
                self.set_timer(
                    self.clock.now().saturating_add(after),
                    TimerPurpose::Module(token),
                    pending_io,
                );
            }
            Action::Log(notice) => self.log(notice),
        }
    }

    fn log(&self, notice: LogEvent) {
        match notice {
            LogEvent::ZoneSpill { active: spills, to } => {
                let zone = self.names.zone_name(to);
                tracing::info!(
                    spills,
                    best_other_zone = zone,
                    "home zone crossed its threshold"
                );
            }
            LogEvent::Ejected {
                backend,
                duration: span,
                outcome,
            } => {
                let (server, zone) = self.server_name(backend);
                let (for_ms, reason) = (span / 1_000_000, outcome.log_name());
                tracing::info!(server, zone, for_ms, reason, "server ejected");
            }
            LogEvent::Readmitted { backend } => {
                let (server, zone) = self.server_name(backend);
                tracing::info!(server, zone, "server readmitted");
            }
        }
    }

    fn server_name(&self, backend: BackendId) -> (Option<&str>, Option<&str>) {
        let known = self.backends.get(backend);
        (
            known.map(|known| &*known.uid),
            known.map(|known| &*known.zone),
        )
    }

    fn set_timer(&mut self, at: Nanos, due: TimerPurpose, pending_io: &mut PendingIo<P>) {
        pending_io.first_timer_changed |= self.timers.set(at, due);
    }

    pub(crate) fn fire_timers(&mut self, pending_io: &mut PendingIo<P>) {
        let now = self.clock.now();
        while let Some(due) = self.timers.take_due(now) {
            match due {
                TimerPurpose::Zones => {
                    self.with_zone_monitor(pending_io, |zones, now| zones.on_timer(now))
                }
                TimerPurpose::Module(token) => self.handle(Event::TimerFired { token }, pending_io),
                TimerPurpose::Backstop(request) => self.backstop(request, pending_io),
            }
        }
    }

    /// Guards against a request that the module forgot: past the client's time it fails, come what may.
    fn backstop(&mut self, request: RequestId, pending_io: &mut PendingIo<P>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            let id = self.requests.get(&request).map(|open| &*open.id);
            tracing::warn!(
                request = id,
                reason = "the module left it open",
                "request failed at its deadline"
            );
            self.finish(request, RequestOutcome::Failed, false);
            self.handle(Event::ClientDisconnected { request }, pending_io);
            self.remove_if_done(request);
        }
    }

    pub(crate) fn submit(
        &mut self,
        asked: IncomingRequest<P>,
        uploading: bool,
        reply: oneshot::Sender<RequestOutcome<P::Response>>,
        pending_io: &mut PendingIo<P>,
    ) -> Option<RequestId> {
        if !self.client_request_ids.take(&asked.id, self.clock.now()) {
            return None;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let expires_at = self.clock.now().saturating_add(asked.budget);
        let (call, reply) = (Rc::new(asked.call), Some(reply));
        let (class, attempts) = (asked.class, Vec::new());
        let deadline = uploading.then(|| watch::Sender::new(expires_at));
        let open = OpenRequest {
            reply,
            call,
            class,
            id: asked.id,
            expires_at,
            deadline,
            attempts,
            ended: false,
        };
        self.requests.insert(request, open);
        self.metrics.request_started();
        self.set_timer(
            expires_at.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
            pending_io,
        );
        let arrival = RequestArrival {
            request,
            class: ClassId(asked.class),
            affinity_key: asked.affinity_key,
            expected_work: asked.expected_work,
            is_retry: asked.is_retry,
            tenant: asked.tenant,
            expires_at: expires_at,
        };
        let event = if uploading {
            Event::UploadStarted(arrival)
        } else {
            Event::RequestArrived(arrival)
        };
        self.handle(event, pending_io);
        self.remove_if_done(request);
        Some(request)
    }

    fn send(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Option<Nanos>,
        pending_io: &mut PendingIo<P>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let now = self.clock.now();
        let (cancel, cancelled) = oneshot::channel();
        let attempt_id = AttemptId {
            request,
            attempt: open.attempts.len() as u32,
            backend,
        };
        open.attempts.push(Some(InFlightAttempt {
            since: now,
            cancel: Some(cancel),
        }));
        let Some(known) = self.backends.get(backend) else {
            pending_io.not_sent.push(attempt_id);
            return;
        };
        let end = timeout.map_or(Nanos::MAX, |timeout| now.saturating_add(timeout));
        pending_io.attempts.push(AttemptCommand {
            attempt: attempt_id,
            backend,
            endpoint: known.endpoint,
            call: open.call.clone(),
            attempt_deadline: end.min(open.expires_at),
            expires_at: open.expires_at,
            upload_deadline: open.deadline.as_ref().map(watch::Sender::subscribe),
            cancelled: cancelled,
        });
        // With its body on the way nobody has to answer yet.
        let class = open.class;
        if open.deadline.is_none() {
            self.with_zone_monitor(pending_io, |zones, now| {
                zones.sent(now, request, attempt_id.attempt, backend, class)
            });
        }
    }

    /// A request's body has come whole, and its client waits for this much longer.
    pub(crate) fn upload_complete(
        &mut self,
        request: RequestId,
        budget: Nanos,
        pending_io: &mut PendingIo<P>,
    ) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.ended) else {
            return;
        };
        let (before, expires_at) = (open.expires_at, now.saturating_add(budget));
        open.expires_at = expires_at;
        if let Some(deadline) = &open.deadline {
            deadline.send_replace(expires_at);
        }
        open.attempts
            .iter_mut()
            .flatten()
            .for_each(|flight| flight.since = now);
        self.timers.clear(
            before.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
        );
        self.set_timer(
            expires_at.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
            pending_io,
        );
        self.handle(
            Event::UploadComplete {
                request,
                expires_at: expires_at,
            },
            pending_io,
        );
    }

    /// Gives the final answer. Only the first one of a request goes out.
    fn finish(&mut self, request: RequestId, reply: RequestOutcome<P::Response>, passing: bool) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        if let Some(sender) = open.reply.take() {
            let end = match reply {
                RequestOutcome::Served(_) => RequestEnd::Served,
                RequestOutcome::Rejected(_) => RequestEnd::Rejected,
                RequestOutcome::Failed => RequestEnd::Failed,
            };
            // The client may have gone in this very moment.
            let told = sender.send(reply).is_ok();
            if !(told && passing) {
                self.metrics.request_ended(open.class, told.then_some(end));
            }
        }
        open.ended = true;
        // With its body still on the way nothing else ends an attempt that is out.
        if let Some(deadline) = &open.deadline {
            deadline.send_replace(self.clock.now().min(open.expires_at));
        }
        self.timers.clear(
            open.expires_at.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
        );
    }

    pub(crate) fn attempt_ended(
        &mut self,
        attempt_id: AttemptId,
        end: AttemptEnd<P::Response>,
        pending_io: &mut PendingIo<P>,
    ) {
        let AttemptId {
            request, attempt, ..
        } = attempt_id;
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(flight) = open
            .attempts
            .get_mut(attempt as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let elapsed = self.clock.now().saturating_sub(flight.since);
        if let (Outcome::Success, Some(answer)) = (end.outcome, end.response) {
            self.finish(request, RequestOutcome::Served(answer), end.is_streaming);
        }
        let ended = self.requests.get(&request).is_none_or(|open| open.ended);
        let (outcome, report) = (end.outcome, end.report);
        self.with_zone_monitor(pending_io, |zones, now| {
            zones.ended(now, request, attempt, outcome, report.utilization)
        });
        let result = AttemptResult {
            request,
            attempt,
            outcome,
            elapsed,
            request_ended: ended,
            report,
        };
        self.handle(Event::AttemptEnded(result), pending_io);
        self.remove_if_done(request);
    }

    /// Ends a request that never ran anywhere as refused; what its client is told.
    pub(crate) fn reject(
        &mut self,
        request: RequestId,
        pending_io: &mut PendingIo<P>,
    ) -> RequestOutcome<P::Response> {
        let pause = self.settings.limits.max_retry_after;
        self.finish(request, RequestOutcome::Rejected(pause), false);
        self.handle(Event::ClientDisconnected { request }, pending_io);
        self.remove_if_done(request);
        RequestOutcome::Rejected(pause)
    }

    pub(crate) fn client_disconnected(
        &mut self,
        request: RequestId,
        pending_io: &mut PendingIo<P>,
    ) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            self.finish(request, RequestOutcome::Failed, false);
            self.handle(Event::ClientDisconnected { request }, pending_io);
        }
        self.remove_if_done(request);
    }

    fn remove_if_done(&mut self, request: RequestId) {
        let done = |open: &OpenRequest<P>| open.ended && open.attempts.iter().all(Option::is_none);
        if self.requests.get(&request).is_some_and(done)
            && let Some(open) = self.requests.remove(&request)
        {
            self.client_request_ids.release(open.id, self.clock.now());
        }
    }

    /// Tells the metrics how many servers are listed, and how many of them the module avoids now.
    pub(crate) fn update_server_metrics(&self) {
        let avoided = self.balancer.avoided(self.clock.now());
        self.metrics
            .set_servers(self.backends.len() as u64, avoided as u64);
    }

    pub(crate) fn endpoints_updated(
        &mut self,
        scope: EndpointUpdate,
        list: Vec<DiscoveredEndpoint>,
        pending_io: &mut PendingIo<P>,
    ) {
        let now = self.clock.now();
        self.endpoint_list_received |= scope != EndpointUpdate::Cached;
        let left = self.backends.leaving(scope, &list);
        let Self {
            backends, names, ..
        } = self;
        let members = list
            .into_iter()
            .filter_map(|listed| backends.member(listed, names, now, &mut pending_io.retired));
        let members: Vec<_> = members.collect();
        self.with_zone_monitor(pending_io, |zones, now| zones.list(now, scope, &members));
        self.handle(
            Event::EndpointsUpdated {
                update: scope,
                endpoints: members,
            },
            pending_io,
        );
        pending_io
            .retired
            .extend(left.iter().filter_map(|uid| self.backends.forget(uid)));
        self.update_server_metrics();
    }
}

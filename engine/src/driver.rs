//! The driver of one fleet: sole owner of its [`Balancer`] and of the table of open requests and their attempts.
//! Events go in, actions come out; what they leave to do on the network is collected as [`PendingIo`]. Nothing is
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
use crate::call_ids::CallIds;
use crate::clock::Clock;
use crate::metrics::{Metrics, RequestEnd};
use crate::protocol::{
    AttemptCommand, AttemptEnd, AttemptId, DiscoveredEndpoint, IncomingRequest, Protocol,
    RequestOutcome,
};
use crate::timers::{TimerPurpose, Timers};
use crate::zones::{PeerUpdate, ZoneChange, ZoneGossip, ZoneOutput, ZoneWatch};

/// How long past a request's end the driver waits for the module before it answers by itself: longer than
/// the module's own housekeeping, well inside the slack that the rules leave.
const BACKSTOP: Nanos = 20_000_000;

/// An attempt that has not ended.
pub(crate) struct InFlightAttempt {
    since: Nanos,
    withdraw: Option<oneshot::Sender<()>>,
}

/// A request that is owed its answer, or the ends of its attempts.
pub(crate) struct OpenRequest<F: Protocol> {
    pub(crate) reply: Option<oneshot::Sender<RequestOutcome<F::Response>>>,
    pub(crate) call: Rc<F::Request>,
    pub(crate) class: u32,
    pub(crate) id: Box<str>,
    pub(crate) not_after: Nanos,
    /// Where the body is still on the way, or was: the end of the client's time, once it is known.
    deadline: Option<watch::Sender<Nanos>>,
    /// Attempts by number; none where settled.
    pub(crate) attempts: Vec<Option<InFlightAttempt>>,
    pub(crate) ended: bool,
}

/// One fleet's state.
pub(crate) struct Driver<F: Protocol> {
    pub(crate) clock: Clock,
    pub(crate) balancer: Balancer,
    pub(crate) settings: Settings,
    pub(crate) words: NameTable,
    pub(crate) requests: HashMap<RequestId, OpenRequest<F>>,
    /// The clients' ids of these.
    pub(crate) call_ids: CallIds,
    pub(crate) next_request: u64,
    pub(crate) backends: Backends,
    pub(crate) timers: Timers,
    pub(crate) tally: Arc<Metrics>,
    /// The watch over the zones, where it is switched on.
    zones: Option<ZoneWatch>,
    /// Where its words for the other nodes go, if there are any.
    talk: Option<mpsc::Sender<ZoneGossip>>,
    /// Discovery has told of the servers.
    pub(crate) heard: bool,
    /// Set by the module's wish for the whole list.
    pub(crate) whole_list: bool,
}

/// Work that an event has left for the network.
pub(crate) struct PendingIo<F: Protocol> {
    pub(crate) launches: Vec<AttemptCommand<F>>,
    pub(crate) retired: Vec<BackendId>,
    /// Whom to probe, and where they listen.
    pub(crate) probes: Vec<(BackendId, SocketAddr)>,
    /// Attempts on a backend that has left the list meanwhile.
    pub(crate) moot: Vec<AttemptId>,
    pub(crate) ask: bool,
    pub(crate) rearm: bool,
}

impl<F: Protocol> Default for PendingIo<F> {
    fn default() -> Self {
        Self {
            launches: Vec::new(),
            retired: Vec::new(),
            probes: Vec::new(),
            moot: Vec::new(),
            ask: false,
            rearm: false,
        }
    }
}

impl<F: Protocol> Driver<F> {
    /// A driver with no servers yet.
    pub(crate) fn new(
        settings: Settings,
        words: NameTable,
        seed: u64,
        clock: Clock,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            clock,
            tally: Arc::new(Metrics::new(words.class_names())),
            settings,
            words,
            requests: HashMap::new(),
            call_ids: CallIds::default(),
            next_request: 0,
            backends: Backends::default(),
            timers: Timers::default(),
            zones: None,
            talk: None,
            heard: false,
            whole_list: false,
        })
    }

    /// Switches the watch over the zones on.
    pub(crate) fn watch_zones(&mut self, seed: u64) {
        let names = (0..self.settings.zone_count)
            .map(|zone| self.words.zone_name(ZoneId(zone)).unwrap_or("").into());
        self.tally.watch_zones(names.collect());
        self.zones = Some(ZoneWatch::new(&self.settings, seed, self.clock.now()));
    }

    /// Has the watch's words for the other nodes go there.
    pub(crate) fn talk(&mut self, talk: mpsc::Sender<ZoneGossip>) {
        self.talk = Some(talk);
    }

    /// Another node is there, or gone, or has said something.
    pub(crate) fn peer_told(&mut self, told: &PeerUpdate, errands: &mut PendingIo<F>) {
        self.in_zones(errands, |zones, now| zones.peer_told(now, told));
    }

    /// Operators close a zone or hold it open, or end that.
    pub(crate) fn order_zone(
        &mut self,
        zone: ZoneId,
        order: Option<(bool, Nanos)>,
        errands: &mut PendingIo<F>,
    ) {
        self.in_zones(errands, |zones, now| zones.by_hand(now, zone, order));
    }

    /// Tells the watch over the zones, if it is on, and does what it says.
    fn in_zones(
        &mut self,
        errands: &mut PendingIo<F>,
        tell: impl FnOnce(&mut ZoneWatch, Nanos) -> ZoneOutput,
    ) {
        let Some(zones) = &mut self.zones else { return };
        let said = tell(zones, self.clock.now());
        if let Some((at, before)) = said.wake {
            before
                .into_iter()
                .for_each(|before| self.timers.clear(before, TimerPurpose::Zones));
            self.set_timer(at, TimerPurpose::Zones, errands);
        }
        // With the queue full the next word says it all: each replaces the one before.
        said.says.into_iter().for_each(|word| {
            let _ = self.talk.as_ref().map(|talk| talk.try_send(word));
        });
        said.changed
            .iter()
            .for_each(|changed| self.log_zone(changed));
        for event in said.events {
            if let Event::ZoneShareChanged { zone, share } = event {
                self.tally.zone(zone.0, |figure| figure.share = share);
            }
            self.hear(event, errands);
        }
    }

    fn log_zone(&self, changed: &ZoneChange) {
        let zone = self.words.zone_name(changed.zone);
        let (why, evidence) = (
            changed.why.as_str(),
            (changed.why.evidence() * 10.0).round() / 10.0,
        );
        let (share, servers) = (changed.share, changed.servers);
        tracing::info!(zone, why, evidence, share, servers, "zone changed");
        self.tally
            .zone(changed.zone.0, |figure| figure.reason = why);
    }

    pub(crate) fn hear(&mut self, event: Event, errands: &mut PendingIo<F>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action, errands);
        }
    }

    fn act(&mut self, action: Action, errands: &mut PendingIo<F>) {
        match action {
            Action::Send {
                request,
                backend,
                timeout,
            } => self.send(request, backend, timeout, errands),
            Action::Reject {
                request,
                retry_after: pause,
            } => self.finish(request, RequestOutcome::Rejected(pause), false),
            Action::Fail { request } => self.finish(request, RequestOutcome::Failed, false),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
                let withdraw = flight
                    .and_then(Option::as_mut)
                    .and_then(|flight| flight.withdraw.take());
                // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
                let _ = withdraw.map(|withdraw| withdraw.send(()));
            }
            Action::CheckHealth { backend } => {
                // One that has left meanwhile is not on any list that the answer could concern.
                if let Some(known) = self.backends.get(backend) {
                    errands.probes.push((backend, known.endpoint));
                }
            }
            Action::WatchEndpoints => errands.ask = true,
            Action::FetchSnapshot => {
                self.whole_list = true;
                errands.ask = true;
            }
            Action::SetTimer { after, token } => {
                self.set_timer(
                    self.clock.now().saturating_add(after),
                    TimerPurpose::Module(token),
                    errands,
                );
            }
            Action::Log(notice) => self.log(notice),
        }
    }

    fn log(&self, notice: LogEvent) {
        match notice {
            LogEvent::ZoneSpill { active: spills, to } => {
                let zone = self.words.zone_name(to);
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

    fn set_timer(&mut self, at: Nanos, due: TimerPurpose, errands: &mut PendingIo<F>) {
        errands.rearm |= self.timers.set(at, due);
    }

    pub(crate) fn fire(&mut self, errands: &mut PendingIo<F>) {
        let now = self.clock.now();
        while let Some(due) = self.timers.take_due(now) {
            match due {
                TimerPurpose::Zones => self.in_zones(errands, |zones, now| zones.woken(now)),
                TimerPurpose::Module(token) => self.hear(Event::TimerFired { token }, errands),
                TimerPurpose::Backstop(request) => self.backstop(request, errands),
            }
        }
    }

    /// Guards against a request that the module forgot: past the client's time it fails, come what may.
    fn backstop(&mut self, request: RequestId, errands: &mut PendingIo<F>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            let id = self.requests.get(&request).map(|open| &*open.id);
            tracing::warn!(
                request = id,
                reason = "the module left it open",
                "request failed at its deadline"
            );
            self.finish(request, RequestOutcome::Failed, false);
            self.hear(Event::ClientDisconnected { request }, errands);
            self.forget_if_done(request);
        }
    }

    pub(crate) fn submit(
        &mut self,
        asked: IncomingRequest<F>,
        uploading: bool,
        reply: oneshot::Sender<RequestOutcome<F::Response>>,
        errands: &mut PendingIo<F>,
    ) -> Option<RequestId> {
        if !self.call_ids.take(&asked.id, self.clock.now()) {
            return None;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let not_after = self.clock.now().saturating_add(asked.budget);
        let (call, reply) = (Rc::new(asked.call), Some(reply));
        let (class, attempts) = (asked.class, Vec::new());
        let deadline = uploading.then(|| watch::Sender::new(not_after));
        let open = OpenRequest {
            reply,
            call,
            class,
            id: asked.id,
            not_after,
            deadline,
            attempts,
            ended: false,
        };
        self.requests.insert(request, open);
        self.tally.request_started();
        self.set_timer(
            not_after.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
            errands,
        );
        let arrival = RequestArrival {
            request,
            class: ClassId(asked.class),
            affinity_key: asked.affinity_key,
            expected_work: asked.expected_work,
            is_retry: asked.is_retry,
            tenant: asked.tenant,
            expires_at: not_after,
        };
        let event = if uploading {
            Event::UploadStarted(arrival)
        } else {
            Event::RequestArrived(arrival)
        };
        self.hear(event, errands);
        self.forget_if_done(request);
        Some(request)
    }

    fn send(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Option<Nanos>,
        errands: &mut PendingIo<F>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let now = self.clock.now();
        let (withdraw, withdrawn) = oneshot::channel();
        let ticket = AttemptId {
            request,
            attempt: open.attempts.len() as u32,
            backend,
        };
        open.attempts.push(Some(InFlightAttempt {
            since: now,
            withdraw: Some(withdraw),
        }));
        let Some(known) = self.backends.get(backend) else {
            errands.moot.push(ticket);
            return;
        };
        let end = timeout.map_or(Nanos::MAX, |timeout| now.saturating_add(timeout));
        errands.launches.push(AttemptCommand {
            attempt: ticket,
            backend,
            endpoint: known.endpoint,
            call: open.call.clone(),
            attempt_deadline: end.min(open.not_after),
            expires_at: open.not_after,
            upload_deadline: open.deadline.as_ref().map(watch::Sender::subscribe),
            cancelled: withdrawn,
        });
        // With its body on the way nobody has to answer yet.
        let class = open.class;
        if open.deadline.is_none() {
            self.in_zones(errands, |zones, now| {
                zones.sent(now, request, ticket.attempt, backend, class)
            });
        }
    }

    /// A request's body has come whole, and its client waits for this much longer.
    pub(crate) fn whole(&mut self, request: RequestId, budget: Nanos, errands: &mut PendingIo<F>) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.ended) else {
            return;
        };
        let (before, not_after) = (open.not_after, now.saturating_add(budget));
        open.not_after = not_after;
        if let Some(deadline) = &open.deadline {
            deadline.send_replace(not_after);
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
            not_after.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
            errands,
        );
        self.hear(
            Event::UploadComplete {
                request,
                expires_at: not_after,
            },
            errands,
        );
    }

    /// Gives the final answer. Only the first one of a request goes out.
    fn finish(&mut self, request: RequestId, reply: RequestOutcome<F::Response>, passing: bool) {
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
                self.tally.request_ended(open.class, told.then_some(end));
            }
        }
        open.ended = true;
        // With its body still on the way nothing else ends an attempt that is out.
        if let Some(deadline) = &open.deadline {
            deadline.send_replace(self.clock.now().min(open.not_after));
        }
        self.timers.clear(
            open.not_after.saturating_add(BACKSTOP),
            TimerPurpose::Backstop(request),
        );
    }

    pub(crate) fn settled(
        &mut self,
        ticket: AttemptId,
        ending: AttemptEnd<F::Response>,
        errands: &mut PendingIo<F>,
    ) {
        let AttemptId {
            request, attempt, ..
        } = ticket;
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
        if let (Outcome::Success, Some(answer)) = (ending.outcome, ending.response) {
            self.finish(request, RequestOutcome::Served(answer), ending.is_streaming);
        }
        let ended = self.requests.get(&request).is_none_or(|open| open.ended);
        let (outcome, report) = (ending.outcome, ending.report);
        self.in_zones(errands, |zones, now| {
            zones.ended(now, request, attempt, outcome, report.utilization)
        });
        let settlement = AttemptResult {
            request,
            attempt,
            outcome,
            elapsed,
            request_ended: ended,
            report,
        };
        self.hear(Event::AttemptEnded(settlement), errands);
        self.forget_if_done(request);
    }

    /// Ends a request that never ran anywhere as refused; what its client is told.
    pub(crate) fn refuse(
        &mut self,
        request: RequestId,
        errands: &mut PendingIo<F>,
    ) -> RequestOutcome<F::Response> {
        let pause = self.settings.limits.max_retry_after;
        self.finish(request, RequestOutcome::Rejected(pause), false);
        self.hear(Event::ClientDisconnected { request }, errands);
        self.forget_if_done(request);
        RequestOutcome::Rejected(pause)
    }

    pub(crate) fn client_gone(&mut self, request: RequestId, errands: &mut PendingIo<F>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            self.finish(request, RequestOutcome::Failed, false);
            self.hear(Event::ClientDisconnected { request }, errands);
        }
        self.forget_if_done(request);
    }

    fn forget_if_done(&mut self, request: RequestId) {
        let done = |open: &OpenRequest<F>| open.ended && open.attempts.iter().all(Option::is_none);
        if self.requests.get(&request).is_some_and(done)
            && let Some(open) = self.requests.remove(&request)
        {
            self.call_ids.release(open.id, self.clock.now());
        }
    }

    /// Tells the tally how many servers are listed, and how many of them the module avoids now.
    pub(crate) fn count_servers(&self) {
        let avoided = self.balancer.avoided(self.clock.now());
        self.tally
            .set_servers(self.backends.len() as u64, avoided as u64);
    }

    pub(crate) fn fleet(
        &mut self,
        scope: EndpointUpdate,
        list: Vec<DiscoveredEndpoint>,
        errands: &mut PendingIo<F>,
    ) {
        let now = self.clock.now();
        self.heard |= scope != EndpointUpdate::Cached;
        let left = self.backends.leaving(scope, &list);
        let Self {
            backends, words, ..
        } = self;
        let members = list
            .into_iter()
            .filter_map(|listed| backends.member(listed, words, now, &mut errands.retired));
        let members: Vec<_> = members.collect();
        self.in_zones(errands, |zones, now| zones.list(now, scope, &members));
        self.hear(
            Event::EndpointsUpdated {
                update: scope,
                endpoints: members,
            },
            errands,
        );
        errands
            .retired
            .extend(left.iter().filter_map(|uid| self.backends.forget(uid)));
        self.count_servers();
    }
}

//! The driver of one fleet: sole owner of its [`Balancer`] and of the table of open requests and their attempts.
//! Events go in, actions come out; what they leave to do on the network is collected as [`Errands`]. Nothing is
//! decided here.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use badgerpost_balancer::{
    Action, Arrival, BackendId, Balancer, ClassId, Event, ListScope, Nanos, Notice, Outcome, RequestId,
    Settings, SettingsError, Settlement, ZoneId,
};
use badgerpost_settings::Words;
use tokio::sync::{mpsc, oneshot, watch};

use crate::backends::Backends;
use crate::call_ids::CallIds;
use crate::clock::Clock;
use crate::front::{Asked, Ending, Front, Launch, Listed, Reply, Ticket};
use crate::tally::{End, Tally};
use crate::timers::{Due, Timers};
use crate::zones::{Changed, FromPeer, Said, ZoneWatch, ZoneWord};

/// How long past a request's end the driver waits for the module before it answers by itself: longer than
/// the module's own housekeeping, well inside the slack that the rules leave.
const BACKSTOP: Nanos = 20_000_000;

/// An attempt that has not ended.
pub(crate) struct Flight {
    since: Nanos,
    withdraw: Option<oneshot::Sender<()>>,
}

/// A request that is owed its answer, or the ends of its attempts.
pub(crate) struct Open<F: Front> {
    pub(crate) reply: Option<oneshot::Sender<Reply<F::Answer>>>,
    pub(crate) call: Rc<F::Call>,
    pub(crate) class: u32,
    pub(crate) id: Box<str>,
    pub(crate) not_after: Nanos,
    /// Where the body is still on the way, or was: the end of the client's time, once it is known.
    deadline: Option<watch::Sender<Nanos>>,
    /// Attempts by number; none where settled.
    pub(crate) attempts: Vec<Option<Flight>>,
    pub(crate) ended: bool,
}

/// One fleet's state.
pub(crate) struct Driver<F: Front> {
    pub(crate) clock: Clock,
    pub(crate) balancer: Balancer,
    pub(crate) settings: Settings,
    pub(crate) words: Words,
    pub(crate) requests: HashMap<RequestId, Open<F>>,
    /// The clients' ids of these.
    pub(crate) call_ids: CallIds,
    pub(crate) next_request: u64,
    pub(crate) backends: Backends,
    pub(crate) timers: Timers,
    pub(crate) tally: Arc<Tally>,
    /// The watch over the zones, where it is switched on.
    zones: Option<ZoneWatch>,
    /// Where its words for the other nodes go, if there are any.
    talk: Option<mpsc::Sender<ZoneWord>>,
    /// Discovery has told of the servers.
    pub(crate) heard: bool,
    /// Set by the module's wish for the whole list.
    pub(crate) whole_list: bool,
}

/// Work that an event has left for the network.
pub(crate) struct Errands<F: Front> {
    pub(crate) launches: Vec<Launch<F>>,
    pub(crate) retired: Vec<BackendId>,
    /// Whom to probe, and where they listen.
    pub(crate) probes: Vec<(BackendId, SocketAddr)>,
    /// Attempts on a backend that has left the list meanwhile.
    pub(crate) moot: Vec<Ticket>,
    pub(crate) ask: bool,
    pub(crate) rearm: bool,
}

impl<F: Front> Default for Errands<F> {
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

impl<F: Front> Driver<F> {
    /// A driver with no servers yet.
    pub(crate) fn new(
        settings: Settings,
        words: Words,
        seed: u64,
        clock: Clock,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            clock,
            tally: Arc::new(Tally::new(words.class_names())),
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
        let names =
            (0..self.settings.zones).map(|zone| self.words.zone_name(ZoneId(zone)).unwrap_or("").into());
        self.tally.watch_zones(names.collect());
        self.zones = Some(ZoneWatch::new(&self.settings, seed, self.clock.now()));
    }

    /// Has the watch's words for the other nodes go there.
    pub(crate) fn talk(&mut self, talk: mpsc::Sender<ZoneWord>) {
        self.talk = Some(talk);
    }

    /// Another node is there, or gone, or has said something.
    pub(crate) fn peer_told(&mut self, told: &FromPeer, errands: &mut Errands<F>) {
        self.in_zones(errands, |zones, now| zones.peer_told(now, told));
    }

    /// Operators close a zone or hold it open, or end that.
    pub(crate) fn order_zone(
        &mut self,
        zone: ZoneId,
        order: Option<(bool, Nanos)>,
        errands: &mut Errands<F>,
    ) {
        self.in_zones(errands, |zones, now| zones.by_hand(now, zone, order));
    }

    /// Tells the watch over the zones, if it is on, and does what it says.
    fn in_zones(&mut self, errands: &mut Errands<F>, tell: impl FnOnce(&mut ZoneWatch, Nanos) -> Said) {
        let Some(zones) = &mut self.zones else { return };
        let said = tell(zones, self.clock.now());
        if let Some((at, before)) = said.wake {
            before.into_iter().for_each(|before| self.timers.clear(before, Due::Zones));
            self.set_timer(at, Due::Zones, errands);
        }
        // With the queue full the next word says it all: each replaces the one before.
        said.says.into_iter().for_each(|word| {
            let _ = self.talk.as_ref().map(|talk| talk.try_send(word));
        });
        said.changed.iter().for_each(|changed| self.log_zone(changed));
        for event in said.events {
            if let Event::ZoneShare { zone, share } = event {
                self.tally.zone(zone.0, |figure| figure.share = share);
            }
            self.hear(event, errands);
        }
    }

    fn log_zone(&self, changed: &Changed) {
        let zone = self.words.zone_name(changed.zone);
        let (why, evidence) = (changed.why.word(), (changed.why.evidence() * 10.0).round() / 10.0);
        let (share, servers) = (changed.share, changed.servers);
        tracing::info!(zone, why, evidence, share, servers, "zone changed");
        self.tally.zone(changed.zone.0, |figure| figure.why = why);
    }

    pub(crate) fn hear(&mut self, event: Event, errands: &mut Errands<F>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action, errands);
        }
    }

    fn act(&mut self, action: Action, errands: &mut Errands<F>) {
        match action {
            Action::Send { request, backend, timeout } => self.send(request, backend, timeout, errands),
            Action::Refuse { request, pause } => self.finish(request, Reply::Refused(pause), false),
            Action::Fail { request } => self.finish(request, Reply::Failed, false),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
                let withdraw = flight.and_then(Option::as_mut).and_then(|flight| flight.withdraw.take());
                // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
                let _ = withdraw.map(|withdraw| withdraw.send(()));
            }
            Action::Probe { backend } => {
                // One that has left meanwhile is not on any list that the answer could concern.
                if let Some(known) = self.backends.get(backend) {
                    errands.probes.push((backend, known.endpoint));
                }
            }
            Action::Watch => errands.ask = true,
            Action::Fetch => {
                self.whole_list = true;
                errands.ask = true;
            }
            Action::Timer { after, token } => {
                self.set_timer(self.clock.now().saturating_add(after), Due::Module(token), errands);
            }
            Action::Log(notice) => self.log(notice),
        }
    }

    fn log(&self, notice: Notice) {
        match notice {
            Notice::Spill { spills, to } => {
                let zone = self.words.zone_name(to);
                tracing::info!(spills, best_other_zone = zone, "home zone crossed its threshold");
            }
            Notice::Ejected { backend, span, outcome } => {
                let (server, zone) = self.server_name(backend);
                let (for_ms, reason) = (span / 1_000_000, format!("{outcome:?}"));
                tracing::info!(server, zone, for_ms, reason, "server ejected");
            }
            Notice::Readmitted { backend } => {
                let (server, zone) = self.server_name(backend);
                tracing::info!(server, zone, "server readmitted");
            }
        }
    }

    fn server_name(&self, backend: BackendId) -> (Option<&str>, Option<&str>) {
        let known = self.backends.get(backend);
        (known.map(|known| &*known.uid), known.map(|known| &*known.zone))
    }

    fn set_timer(&mut self, at: Nanos, due: Due, errands: &mut Errands<F>) {
        errands.rearm |= self.timers.set(at, due);
    }

    pub(crate) fn fire(&mut self, errands: &mut Errands<F>) {
        let now = self.clock.now();
        while let Some(due) = self.timers.take_due(now) {
            match due {
                Due::Zones => self.in_zones(errands, |zones, now| zones.woken(now)),
                Due::Module(token) => self.hear(Event::Timer { token }, errands),
                Due::Backstop(request) => self.backstop(request, errands),
            }
        }
    }

    /// Guards against a request that the module forgot: past the client's time it fails, come what may.
    fn backstop(&mut self, request: RequestId, errands: &mut Errands<F>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            let id = self.requests.get(&request).map(|open| &*open.id);
            tracing::warn!(
                request = id,
                reason = "the module left it open",
                "request failed at its deadline"
            );
            self.finish(request, Reply::Failed, false);
            self.hear(Event::ClientGone { request }, errands);
            self.forget_if_done(request);
        }
    }

    pub(crate) fn submit(
        &mut self,
        asked: Asked<F>,
        uploading: bool,
        reply: oneshot::Sender<Reply<F::Answer>>,
        errands: &mut Errands<F>,
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
        let open = Open { reply, call, class, id: asked.id, not_after, deadline, attempts, ended: false };
        self.requests.insert(request, open);
        self.tally.took();
        self.set_timer(not_after.saturating_add(BACKSTOP), Due::Backstop(request), errands);
        let arrival = Arrival {
            request,
            class: ClassId(asked.class),
            key: asked.key,
            hint: asked.hint,
            repeat: asked.repeat,
            tenant: asked.tenant,
            not_after,
        };
        let event = if uploading { Event::Upload(arrival) } else { Event::Request(arrival) };
        self.hear(event, errands);
        self.forget_if_done(request);
        Some(request)
    }

    fn send(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Option<Nanos>,
        errands: &mut Errands<F>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let now = self.clock.now();
        let (withdraw, withdrawn) = oneshot::channel();
        let ticket = Ticket { request, attempt: open.attempts.len() as u32, backend };
        open.attempts.push(Some(Flight { since: now, withdraw: Some(withdraw) }));
        let Some(known) = self.backends.get(backend) else {
            errands.moot.push(ticket);
            return;
        };
        let end = timeout.map_or(Nanos::MAX, |timeout| now.saturating_add(timeout));
        errands.launches.push(Launch {
            ticket,
            backend,
            endpoint: known.endpoint,
            call: open.call.clone(),
            give_up: end.min(open.not_after),
            not_after: open.not_after,
            deadline: open.deadline.as_ref().map(watch::Sender::subscribe),
            withdrawn,
        });
        // With its body on the way nobody has to answer yet.
        let class = open.class;
        if open.deadline.is_none() {
            self.in_zones(errands, |zones, now| zones.sent(now, request, ticket.attempt, backend, class));
        }
    }

    /// A request's body has come whole, and its client waits for this much longer.
    pub(crate) fn whole(&mut self, request: RequestId, budget: Nanos, errands: &mut Errands<F>) {
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.ended) else { return };
        let (before, not_after) = (open.not_after, now.saturating_add(budget));
        open.not_after = not_after;
        if let Some(deadline) = &open.deadline {
            deadline.send_replace(not_after);
        }
        open.attempts.iter_mut().flatten().for_each(|flight| flight.since = now);
        self.timers.clear(before.saturating_add(BACKSTOP), Due::Backstop(request));
        self.set_timer(not_after.saturating_add(BACKSTOP), Due::Backstop(request), errands);
        self.hear(Event::Whole { request, not_after }, errands);
    }

    /// Gives the final answer. Only the first one of a request goes out.
    fn finish(&mut self, request: RequestId, reply: Reply<F::Answer>, passing: bool) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if let Some(sender) = open.reply.take() {
            let end = match reply {
                Reply::Served(_) => End::Answered,
                Reply::Refused(_) => End::Deferred,
                Reply::Failed => End::Errored,
            };
            // The client may have gone in this very moment.
            let told = sender.send(reply).is_ok();
            if !(told && passing) {
                self.tally.ended(open.class, told.then_some(end));
            }
        }
        open.ended = true;
        // With its body still on the way nothing else ends an attempt that is out.
        if let Some(deadline) = &open.deadline {
            deadline.send_replace(self.clock.now().min(open.not_after));
        }
        self.timers.clear(open.not_after.saturating_add(BACKSTOP), Due::Backstop(request));
    }

    pub(crate) fn settled(&mut self, ticket: Ticket, ending: Ending<F::Answer>, errands: &mut Errands<F>) {
        let Ticket { request, attempt, .. } = ticket;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(flight) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let elapsed = self.clock.now().saturating_sub(flight.since);
        if let (Outcome::Served, Some(answer)) = (ending.outcome, ending.answer) {
            self.finish(request, Reply::Served(answer), ending.passing);
        }
        let ended = self.requests.get(&request).is_none_or(|open| open.ended);
        let (outcome, report) = (ending.outcome, ending.report);
        self.in_zones(errands, |zones, now| zones.ended(now, request, attempt, outcome, report.util));
        let settlement = Settlement { request, attempt, outcome, elapsed, ended, report };
        self.hear(Event::Settled(settlement), errands);
        self.forget_if_done(request);
    }

    /// Ends a request that never ran anywhere as refused; what its client is told.
    pub(crate) fn refuse(&mut self, request: RequestId, errands: &mut Errands<F>) -> Reply<F::Answer> {
        let pause = self.settings.limits.retry_after;
        self.finish(request, Reply::Refused(pause), false);
        self.hear(Event::ClientGone { request }, errands);
        self.forget_if_done(request);
        Reply::Refused(pause)
    }

    pub(crate) fn client_gone(&mut self, request: RequestId, errands: &mut Errands<F>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            self.finish(request, Reply::Failed, false);
            self.hear(Event::ClientGone { request }, errands);
        }
        self.forget_if_done(request);
    }

    fn forget_if_done(&mut self, request: RequestId) {
        let done = |open: &Open<F>| open.ended && open.attempts.iter().all(Option::is_none);
        if self.requests.get(&request).is_some_and(done)
            && let Some(open) = self.requests.remove(&request)
        {
            self.call_ids.release(open.id, self.clock.now());
        }
    }

    /// Tells the tally how many servers are listed, and how many of them the module avoids now.
    pub(crate) fn count_servers(&self) {
        let avoided = self.balancer.avoided(self.clock.now());
        self.tally.servers(self.backends.len() as u64, avoided as u64);
    }

    pub(crate) fn fleet(&mut self, scope: ListScope, list: Vec<Listed>, errands: &mut Errands<F>) {
        let now = self.clock.now();
        self.heard |= scope != ListScope::Cached;
        let left = self.backends.leaving(scope, &list);
        let Self { backends, words, .. } = self;
        let members =
            list.into_iter().filter_map(|listed| backends.member(listed, words, now, &mut errands.retired));
        let members: Vec<_> = members.collect();
        self.in_zones(errands, |zones, now| zones.list(now, scope, &members));
        self.hear(Event::Fleet { scope, members }, errands);
        errands.retired.extend(left.iter().filter_map(|uid| self.backends.forget(uid)));
        self.count_servers();
    }
}

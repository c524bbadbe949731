//! Between the sockets and the module: the sole owner of the [`Balancer`], of ids, timers and the table of
//! requests. Events go in, actions come out; what an action asks of the network is left to a [`Launcher`].
//! Nothing is decided here, and no borrow of the driver outlives one of its calls.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brookfield::{
    Action, Arrival, BackendId, Balancer, ClassId, Discovery, Effect, Event, ListScope, Member, Nanos,
    Outcome, Report, RequestId, Settings, SettingsError, Settlement, Stage,
};
use brookfield_settings::Words;
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;

/// How long past a request's end the driver waits for the module before it answers by itself: longer than
/// the module's own housekeeping, well inside the slack that the rules leave.
const BACKSTOP: Nanos = 20_000_000;

/// An id is not taken again for this long after its request has ended: one that copies an open request's id
/// may cross the answer to that.
const ID_RESTS: Nanos = 1_000_000_000;
/// At most so many ids rest: more come only from clients that are turned away at once, over and over.
const IDS_RESTING: usize = 4096;

/// What a front brings: the types of what its requests carry and of what serves them.
pub trait Front: 'static {
    /// A client's request in the form in which it is passed on.
    type Call: 'static;
    /// What a backend answers.
    type Answer: 'static;
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Reply<A> {
    /// Served, with a backend's answer.
    Served(A),
    /// Refused; the client should stay away for this long, if that is above 0.
    Refused(Nanos),
    /// Failed.
    Failed,
}

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    request: RequestId,
    attempt: u32,
    backend: BackendId,
}

/// An attempt to be made.
pub struct Launch<F: Front> {
    /// Which one; goes back with its outcome.
    pub ticket: Ticket,
    /// Whom to send to.
    pub backend: BackendId,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// What to send.
    pub call: Rc<F::Call>,
    /// When to stop waiting.
    pub give_up: Nanos,
    /// When the client stops waiting.
    pub not_after: Nanos,
    /// Resolves once the attempt has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

/// How an attempt ended.
pub struct Ending<A> {
    /// What happened.
    pub outcome: Outcome,
    /// The load report that came along.
    pub report: Report,
    /// The answer of one that served; with none it has not served.
    pub answer: Option<A>,
}

impl<A> Ending<A> {
    /// An end with nothing received.
    pub fn bare(outcome: Outcome) -> Self {
        Self { outcome, report: Report::default(), answer: None }
    }
}

/// Carries out on the network what the module asks for.
pub trait Launcher<F: Front> {
    /// Starts an attempt; its end comes back by [`Engine::settled`], exactly once.
    fn launch(&self, engine: &Engine<F>, launch: Launch<F>);
    /// Drops the idle connections to a backend that has left, moved or started anew.
    fn retire(&self, backend: BackendId);
}

/// One line of discovery's list.
pub struct Listed {
    /// The backend's name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// What it may take.
    pub stage: Stage,
    /// Its size.
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub boot_ms: u64,
}

/// What a client's request says of itself.
pub struct Asked<F: Front> {
    /// Its id.
    pub id: Box<str>,
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: Option<u32>,
    /// Its work, where the client guesses it.
    pub hint: Option<Nanos>,
    /// Marked as a repeat.
    pub repeat: bool,
    /// How long the client waits.
    pub budget: Nanos,
    /// What is passed on.
    pub call: F::Call,
}

struct Flight {
    since: Nanos,
    withdraw: Option<oneshot::Sender<()>>,
}

struct Open<F: Front> {
    reply: Option<oneshot::Sender<Reply<F::Answer>>>,
    call: Rc<F::Call>,
    id: Box<str>,
    not_after: Nanos,
    /// Attempts by number; none where settled.
    attempts: Vec<Option<Flight>>,
    ended: bool,
}

struct Known {
    endpoint: SocketAddr,
    boot_ms: u64,
    /// When the node was told that it drains.
    draining_since: Option<Nanos>,
}

/// The ids of requests that are open or have just been.
#[derive(Default)]
struct CallIds {
    known: HashSet<Box<str>>,
    /// Of requests that have ended, and when.
    ended: VecDeque<(Nanos, Box<str>)>,
}

impl CallIds {
    /// False where a request has the id now, or had it a moment ago.
    fn take(&mut self, id: &str, now: Nanos) -> bool {
        while let Some((at, _)) = self.ended.front()
            && (now.saturating_sub(*at) >= ID_RESTS || self.ended.len() > IDS_RESTING)
            && let Some((_, id)) = self.ended.pop_front()
        {
            self.known.remove(&id);
        }
        self.known.insert(id.into())
    }

    fn release(&mut self, id: Box<str>, now: Nanos) {
        self.ended.push_back((now, id));
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Backstop(RequestId),
}

struct Driver<F: Front> {
    clock: Clock,
    balancer: Balancer,
    settings: Settings,
    words: Words,
    requests: HashMap<RequestId, Open<F>>,
    /// The clients' ids of these.
    names: CallIds,
    next_request: u64,
    /// Ordered, so that equal histories act alike.
    ids: BTreeMap<String, BackendId>,
    backends: HashMap<BackendId, Known>,
    next_backend: u32,
    timers: BTreeSet<(Nanos, Due)>,
    /// Set by the module's wish for the whole list.
    whole_list: bool,
}

/// Work that an event has left for the network.
struct Errands<F: Front> {
    launches: Vec<Launch<F>>,
    retired: Vec<BackendId>,
    /// Attempts on a backend that has left the list meanwhile.
    moot: Vec<Ticket>,
    ask: bool,
    rearm: bool,
}

impl<F: Front> Default for Errands<F> {
    fn default() -> Self {
        Self { launches: Vec::new(), retired: Vec::new(), moot: Vec::new(), ask: false, rearm: false }
    }
}

/// A handle on one fleet's engine. Cheap to clone.
pub struct Engine<F: Front> {
    driver: Rc<RefCell<Driver<F>>>,
    launcher: Rc<dyn Launcher<F>>,
    timer: Rc<Notify>,
    asked: Rc<Notify>,
    clock: Clock,
}

impl<F: Front> Clone for Engine<F> {
    fn clone(&self) -> Self {
        Self {
            driver: self.driver.clone(),
            launcher: self.launcher.clone(),
            timer: self.timer.clone(),
            asked: self.asked.clone(),
            clock: self.clock.clone(),
        }
    }
}

impl<F: Front> Engine<F> {
    /// An engine with no backends yet.
    pub fn new(
        settings: Settings,
        words: Words,
        seed: u64,
        clock: Clock,
        launcher: Rc<dyn Launcher<F>>,
    ) -> Result<Self, SettingsError> {
        let driver = Driver {
            clock: clock.clone(),
            balancer: Balancer::new(settings.clone(), seed, clock.now())?,
            settings,
            words,
            requests: HashMap::new(),
            names: CallIds::default(),
            next_request: 0,
            ids: BTreeMap::new(),
            backends: HashMap::new(),
            next_backend: 0,
            timers: BTreeSet::new(),
            whole_list: false,
        };
        let driver = Rc::new(RefCell::new(driver));
        let node = Self { driver, launcher, timer: Rc::default(), asked: Rc::default(), clock };
        node.tell(|driver, errands| driver.hear(Event::Start, errands));
        Ok(node)
    }

    /// The node's clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// A class's number, time limit and effect, or none where the settings do not list it.
    pub fn class(&self, name: &str) -> Option<(u32, Nanos, Effect)> {
        let driver = self.driver.borrow();
        let class = driver.words.class(name)?;
        let settings = driver.settings.classes.get(class as usize)?;
        Some((class, settings.deadline, settings.effect))
    }

    /// A tenant's number. `Err` for a name that the settings of a site with tenants do not list.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, UnknownTenant> {
        let driver = self.driver.borrow();
        if driver.settings.tenants.is_empty() {
            return Ok(None);
        }
        driver.words.tenant(name).map(Some).ok_or(UnknownTenant)
    }

    /// The longest that any client waits.
    pub fn longest_deadline(&self) -> Duration {
        let driver = self.driver.borrow();
        Duration::from_nanos(driver.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    /// Whether the site's discovery has to be asked.
    pub fn asks_discovery(&self) -> bool {
        self.driver.borrow().settings.discovery == Discovery::Asked
    }

    /// Takes a request; the answer comes through what is returned. Dropping that first means that the client
    /// has gone. None where its id is in use: passed on, it would count as another attempt of that request.
    pub fn submit(&self, asked: Asked<F>) -> Option<Waiting<F>> {
        let (reply, answer) = oneshot::channel();
        let request = self.tell(|driver, errands| driver.submit(asked, reply, errands))?;
        Some(Waiting { engine: self.clone(), request, answer })
    }

    /// Whether an attempt may still be written: a connect can outlast its request, or the grace of a backend
    /// that has begun to drain.
    pub fn may_write(&self, ticket: Ticket) -> bool {
        let driver = self.driver.borrow();
        let (now, grace) = (driver.clock.now(), driver.settings.rules.drain_grace);
        let live = driver.requests.get(&ticket.request).is_some_and(|r| !r.ended && now < r.not_after);
        // Half the grace: telling began before the list was read here, and the bytes have a way to go.
        let open = driver.backends.get(&ticket.backend).is_some_and(|backend| {
            backend.draining_since.is_none_or(|since| now < since.saturating_add(grace / 2))
        });
        live && open
    }

    /// Whether a backend is in service, and at this address.
    pub fn serves_at(&self, backend: BackendId, endpoint: SocketAddr) -> bool {
        let driver = self.driver.borrow();
        let known = driver.backends.get(&backend);
        known.is_some_and(|known| known.endpoint == endpoint && known.draining_since.is_none())
    }

    /// Takes the end of an attempt.
    pub fn settled(&self, ticket: Ticket, ending: Ending<F::Answer>) {
        self.tell(|driver, errands| driver.settled(ticket, ending, errands));
    }

    /// Something of an attempt's answer has gone to the client: the request goes nowhere else from now on.
    pub fn started(&self, ticket: Ticket) {
        let request = ticket.request;
        self.tell(|driver, errands| driver.hear(Event::Started { request }, errands));
    }

    /// Takes a list from discovery.
    pub fn fleet(&self, scope: ListScope, list: Vec<Listed>) {
        self.tell(|driver, errands| driver.fleet(scope, list, errands));
    }

    /// A call to discovery has failed.
    pub fn fleet_failed(&self) {
        self.tell(|driver, errands| driver.hear(Event::FleetFailed, errands));
    }

    /// Waits until the module asks for the watch or the list.
    pub async fn discovery_wanted(&self) {
        self.asked.notified().await;
    }

    /// Whether the module wants the whole list next; asking takes the wish back.
    pub fn take_whole_list(&self) -> bool {
        std::mem::take(&mut self.driver.borrow_mut().whole_list)
    }

    /// Runs the timers; never ends.
    pub async fn run_timers(&self) {
        loop {
            let next = self.driver.borrow().timers.first().map(|(at, _)| *at);
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
            self.tell(|driver, errands| driver.fire(errands));
        }
    }

    /// One call into the driver; what it leaves to do is done once the borrow has ended.
    fn tell<T>(&self, call: impl FnOnce(&mut Driver<F>, &mut Errands<F>) -> T) -> T {
        let mut errands = Errands::default();
        let result = call(&mut self.driver.borrow_mut(), &mut errands);
        errands.retired.into_iter().for_each(|backend| self.launcher.retire(backend));
        errands.launches.into_iter().for_each(|launch| self.launcher.launch(self, launch));
        for ticket in errands.moot {
            self.settled(ticket, Ending::bare(Outcome::Moot));
        }
        if errands.ask {
            self.asked.notify_one();
        }
        if errands.rearm {
            self.timer.notify_one();
        }
        result
    }
}

/// The settings name no such tenant.
#[derive(Debug, thiserror::Error)]
#[error("unknown tenant")]
pub struct UnknownTenant;

/// A request that is owed its answer.
pub struct Waiting<F: Front> {
    engine: Engine<F>,
    request: RequestId,
    answer: oneshot::Receiver<Reply<F::Answer>>,
}

impl<F: Front> Waiting<F> {
    /// The final answer.
    pub async fn answer(mut self) -> Reply<F::Answer> {
        // The sender is dropped unused only if the request has vanished, which promises nothing.
        (&mut self.answer).await.unwrap_or(Reply::Failed)
    }
}

impl<F: Front> Drop for Waiting<F> {
    /// A client that hangs up takes its connection's task with it, and so this: the one place that notices.
    fn drop(&mut self) {
        let request = self.request;
        self.engine.tell(|driver, errands| driver.client_gone(request, errands));
    }
}

impl<F: Front> Driver<F> {
    fn hear(&mut self, event: Event, errands: &mut Errands<F>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action, errands);
        }
    }

    fn act(&mut self, action: Action, errands: &mut Errands<F>) {
        match action {
            Action::Send { request, backend, timeout } => self.send(request, backend, timeout, errands),
            Action::Refuse { request, pause } => self.finish(request, Reply::Refused(pause)),
            Action::Fail { request } => self.finish(request, Reply::Failed),
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                let flight = open.and_then(|open| open.attempts.get_mut(attempt as usize));
                let withdraw = flight.and_then(Option::as_mut).and_then(|flight| flight.withdraw.take());
                // An attempt that ended meanwhile no longer listens: its own outcome is on the way.
                let _ = withdraw.map(|withdraw| withdraw.send(()));
            }
            // The settings never allow probes here; the module is told of none.
            Action::Probe { .. } => tracing::warn!("the module asked for a probe; nodes make none"),
            Action::Watch => errands.ask = true,
            Action::Fetch => {
                self.whole_list = true;
                errands.ask = true;
            }
            Action::Timer { after, token } => {
                self.set_timer(self.clock.now().saturating_add(after), Due::Module(token), errands);
            }
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn set_timer(&mut self, at: Nanos, due: Due, errands: &mut Errands<F>) {
        errands.rearm |= self.timers.first().is_none_or(|(first, _)| at < *first);
        self.timers.insert((at, due));
    }

    fn fire(&mut self, errands: &mut Errands<F>) {
        let now = self.clock.now();
        while let Some((_, due)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            match due {
                Due::Module(token) => self.hear(Event::Timer { token }, errands),
                Due::Backstop(request) => self.backstop(request, errands),
            }
        }
    }

    /// Guards against a request that the module forgot: past the client's time it fails, come what may.
    fn backstop(&mut self, request: RequestId, errands: &mut Errands<F>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            tracing::warn!("a request had no answer at its end");
            self.finish(request, Reply::Failed);
            self.hear(Event::ClientGone { request }, errands);
            self.forget_if_done(request);
        }
    }

    fn submit(
        &mut self,
        asked: Asked<F>,
        reply: oneshot::Sender<Reply<F::Answer>>,
        errands: &mut Errands<F>,
    ) -> Option<RequestId> {
        if !self.names.take(&asked.id, self.clock.now()) {
            return None;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let not_after = self.clock.now().saturating_add(asked.budget);
        let (call, reply) = (Rc::new(asked.call), Some(reply));
        let open = Open { reply, call, id: asked.id, not_after, attempts: Vec::new(), ended: false };
        self.requests.insert(request, open);
        self.set_timer(not_after.saturating_add(BACKSTOP), Due::Backstop(request), errands);
        let arrival = Arrival {
            request,
            class: ClassId(asked.class),
            hint: asked.hint,
            repeat: asked.repeat,
            tenant: asked.tenant,
            not_after,
        };
        self.hear(Event::Request(arrival), errands);
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
        let Some(known) = self.backends.get(&backend) else {
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
            withdrawn,
        });
    }

    /// Gives the final answer. Only the first one of a request goes out.
    fn finish(&mut self, request: RequestId, reply: Reply<F::Answer>) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        if let Some(sender) = open.reply.take() {
            // The client may have gone in this very moment.
            let _ = sender.send(reply);
        }
        open.ended = true;
        self.timers.remove(&(open.not_after.saturating_add(BACKSTOP), Due::Backstop(request)));
    }

    fn settled(&mut self, ticket: Ticket, ending: Ending<F::Answer>, errands: &mut Errands<F>) {
        let Ticket { request, attempt, .. } = ticket;
        let Some(open) = self.requests.get_mut(&request) else { return };
        let Some(flight) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        let elapsed = self.clock.now().saturating_sub(flight.since);
        if let (Outcome::Served, Some(answer)) = (ending.outcome, ending.answer) {
            self.finish(request, Reply::Served(answer));
        }
        let ended = self.requests.get(&request).is_none_or(|open| open.ended);
        let (outcome, report) = (ending.outcome, ending.report);
        let settlement = Settlement { request, attempt, outcome, elapsed, ended, report };
        self.hear(Event::Settled(settlement), errands);
        self.forget_if_done(request);
    }

    fn client_gone(&mut self, request: RequestId, errands: &mut Errands<F>) {
        if self.requests.get(&request).is_some_and(|open| !open.ended) {
            self.finish(request, Reply::Failed);
            self.hear(Event::ClientGone { request }, errands);
        }
        self.forget_if_done(request);
    }

    fn forget_if_done(&mut self, request: RequestId) {
        let done = |open: &Open<F>| open.ended && open.attempts.iter().all(Option::is_none);
        if self.requests.get(&request).is_some_and(done)
            && let Some(open) = self.requests.remove(&request)
        {
            self.names.release(open.id, self.clock.now());
        }
    }

    fn fleet(&mut self, scope: ListScope, list: Vec<Listed>, errands: &mut Errands<F>) {
        let now = self.clock.now();
        let mut left: Vec<String> = Vec::new();
        if scope != ListScope::Changes {
            let named: HashSet<&str> = list.iter().map(|listed| listed.uid.as_str()).collect();
            left.extend(self.ids.keys().filter(|uid| !named.contains(uid.as_str())).cloned());
        }
        left.extend(
            list.iter().filter(|listed| listed.stage == Stage::Gone).map(|listed| listed.uid.clone()),
        );
        let members = list.into_iter().filter_map(|listed| self.member(listed, now, errands)).collect();
        self.hear(Event::Fleet { scope, members }, errands);
        // Under its name a backend that has gone may come again: as a new one, since its number is not kept.
        for uid in left {
            if let Some(id) = self.ids.remove(&uid) {
                self.backends.remove(&id);
                errands.retired.push(id);
            }
        }
    }

    fn member(&mut self, listed: Listed, now: Nanos, errands: &mut Errands<F>) -> Option<Member> {
        let gone = listed.stage == Stage::Gone;
        let id = match self.ids.get(&listed.uid) {
            Some(&id) => id,
            None if gone => return None,
            None => {
                let id = BackendId(self.next_backend);
                self.next_backend += 1;
                self.ids.insert(listed.uid, id);
                id
            }
        };
        let draining = listed.stage != Stage::InService;
        let before = self.backends.get(&id);
        let draining_since = draining.then(|| before.and_then(|b| b.draining_since).unwrap_or(now));
        let moved = |b: &Known| b.endpoint != listed.endpoint || b.boot_ms != listed.boot_ms;
        if draining || before.is_some_and(moved) {
            errands.retired.push(id);
        }
        let known = Known { endpoint: listed.endpoint, boot_ms: listed.boot_ms, draining_since };
        self.backends.insert(id, known);
        Some(Member {
            backend: id,
            zone: self.words.zone(&listed.zone),
            kind: self.words.kind(&listed.kind),
            cell: listed.cell,
            stage: listed.stage,
            size: listed.size,
            online_since: (listed.boot_ms > 0).then(|| listed.boot_ms.saturating_mul(1_000_000)),
        })
    }
}

#[cfg(test)]
mod tests {
    use std::future::Future;
    use std::task::{Context, Poll, Waker};

    use super::*;

    struct Plain;

    impl Front for Plain {
        type Call = ();
        type Answer = &'static str;
    }

    /// Keeps what it is asked to do.
    #[derive(Default)]
    struct Kept {
        launches: RefCell<Vec<Launch<Plain>>>,
        retired: RefCell<Vec<BackendId>>,
    }

    impl Launcher<Plain> for Kept {
        fn launch(&self, _: &Engine<Plain>, launch: Launch<Plain>) {
            self.launches.borrow_mut().push(launch);
        }

        fn retire(&self, backend: BackendId) {
            self.retired.borrow_mut().push(backend);
        }
    }

    fn node(drain_grace: Nanos) -> (Engine<Plain>, Rc<Kept>) {
        let config = serde_json::json!({"az": "a", "zones": ["a"], "discovery": "pushed",
            "classes": [{"name": "pay", "effect": "once", "on-time-ns": 2_000_000_000u64,
                "deadline-ns": 4_000_000_000u64}],
            "policy-limits": {"attempts-cap": 3}, "goal": {},
            "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": drain_grace, "fall-ns": 1_500_000_000u64,
                "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}});
        let site = brookfield_settings::read(&config).expect("settings");
        let kept = Rc::new(Kept::default());
        let node = Engine::new(site.settings, site.words, 7, Clock::system(), kept.clone()).expect("a node");
        (node, kept)
    }

    fn listed(uid: &str, stage: Stage) -> Listed {
        Listed {
            uid: uid.to_owned(),
            endpoint: SocketAddr::from(([127, 0, 0, 1], 9)),
            zone: "a".to_owned(),
            kind: "k".to_owned(),
            cell: 0,
            stage,
            size: 1.0,
            boot_ms: 0,
        }
    }

    fn asked(budget: Nanos) -> Asked<Plain> {
        static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed).to_string().into();
        Asked { id, class: 0, tenant: None, hint: None, repeat: false, budget, call: () }
    }

    fn reply(waiting: Waiting<Plain>) -> Option<Reply<&'static str>> {
        let mut answer = std::pin::pin!(waiting.answer());
        match answer.as_mut().poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(reply) => Some(reply),
            Poll::Pending => None,
        }
    }

    fn open_requests(node: &Engine<Plain>) -> (usize, usize) {
        let driver = node.driver.borrow();
        (driver.requests.len(), driver.balancer.open_requests())
    }

    const SECOND: Nanos = 1_000_000_000;

    #[test]
    fn a_request_and_its_timer_are_forgotten_with_its_answer() {
        let (node, kept) = node(SECOND);
        node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
        let waiting = node.submit(asked(SECOND)).expect("a new id");
        let launch = kept.launches.borrow_mut().pop().expect("an attempt");
        assert!(node.may_write(launch.ticket));
        let ending = Ending { answer: Some("paid"), ..Ending::bare(Outcome::Served) };
        node.settled(launch.ticket, ending);
        assert!(matches!(reply(waiting), Some(Reply::Served("paid"))));
        // A second end of the same attempt changes nothing.
        node.settled(launch.ticket, Ending::bare(Outcome::Reset));
        assert_eq!(open_requests(&node), (0, 0));
        let due = |(_, due): &(Nanos, Due)| matches!(due, Due::Backstop(_));
        assert!(!node.driver.borrow().timers.iter().any(due));
    }

    /// A connect can outlast its request: what is written after the answer would be a send too many.
    #[test]
    fn nothing_is_written_for_a_request_that_has_ended() {
        let (node, kept) = node(SECOND);
        node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
        let waiting = node.submit(asked(SECOND)).expect("a new id");
        let launch = kept.launches.borrow_mut().pop().expect("an attempt");
        drop(waiting);
        assert!(!node.may_write(launch.ticket));
        assert_eq!(open_requests(&node), (1, 1), "the attempt is still owed its end");
        node.settled(launch.ticket, Ending::bare(Outcome::Moot));
        assert_eq!(open_requests(&node), (0, 0));
    }

    /// Of a streamed answer the client has seen a part: whatever comes of it, no other backend is asked.
    #[test]
    fn what_has_started_to_be_answered_is_not_sent_again() {
        let (node, kept) = node(SECOND);
        node.fleet(ListScope::Full, vec![listed("s", Stage::InService), listed("t", Stage::InService)]);
        let waiting = node.submit(asked(SECOND)).expect("a new id");
        let launch = kept.launches.borrow_mut().pop().expect("an attempt");
        node.started(launch.ticket);
        // Not even after an end that tells that it never ran.
        node.settled(launch.ticket, Ending::bare(Outcome::ConnectFailed));
        assert!(kept.launches.borrow().is_empty());
        assert!(reply(waiting).is_some_and(|reply| !matches!(reply, Reply::Served(_))));
    }

    /// A connect can outlast the grace of a backend that drains, and the backend's stay on the list.
    #[test]
    fn nothing_is_written_to_a_backend_past_its_grace() {
        for (grace, stage, may) in [
            (60 * SECOND, Stage::Draining, true),
            (0, Stage::Draining, false),
            (60 * SECOND, Stage::Gone, false),
        ] {
            let (node, kept) = node(grace);
            node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
            let _waiting = node.submit(asked(SECOND)).expect("a new id");
            let launch = kept.launches.borrow_mut().pop().expect("an attempt");
            node.fleet(ListScope::Changes, vec![listed("s", stage)]);
            assert_eq!(node.may_write(launch.ticket), may, "{grace} {stage:?}");
            assert_eq!(*kept.retired.borrow(), [launch.backend; 2][..kept.retired.borrow().len()]);
            assert!(!kept.retired.borrow().is_empty(), "its idle connections are dropped");
        }
    }

    /// The attempt never ends, so the module has nothing to go by: the driver answers at the client's end.
    #[test]
    fn a_request_that_the_module_leaves_open_fails_at_its_end() {
        let (node, kept) = node(SECOND);
        node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
        let waiting = node.submit(asked(1_000_000)).expect("a new id");
        let launch = kept.launches.borrow_mut().pop().expect("an attempt");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime");
        let answer = runtime.block_on(async {
            tokio::select! {
                reply = waiting.answer() => reply,
                () = node.run_timers() => unreachable!("timers run for ever"),
            }
        });
        assert!(matches!(answer, Reply::Failed));
        assert!(!node.may_write(launch.ticket));
    }

    /// A restarted backend is cold again, by the node's own clock, and what stood open to its last life is dead.
    #[test]
    fn a_restart_under_the_same_name_is_told_and_drops_connections() {
        let (node, kept) = node(SECOND);
        let boot_ms = node.clock().now() / 1_000_000 - 5;
        let mut errands = Errands::default();
        let mut driver = node.driver.borrow_mut();
        let first = driver.member(listed("s", Stage::InService), 0, &mut errands).expect("a member");
        assert_eq!((first.online_since, errands.retired.len()), (None, 0));
        let again = Listed { boot_ms, ..listed("s", Stage::InService) };
        let second = driver.member(again, 0, &mut errands).expect("a member");
        assert_eq!(second.backend, first.backend);
        assert_eq!(errands.retired, [first.backend]);
        let age = driver.clock.now() - second.online_since.expect("a start");
        assert!((4_000_000..60 * SECOND).contains(&age), "{age}");
        assert!(kept.launches.borrow().is_empty());
    }

    /// What a long day brings: ever new backends, some at old addresses, and ever new ids. Nothing of them may
    /// stay behind.
    #[test]
    fn nothing_is_left_of_a_day_of_churn() {
        let (node, kept) = node(SECOND);
        for round in 0..20_000 {
            let uid = format!("s-{round}");
            node.fleet(ListScope::Changes, vec![listed(&uid, Stage::InService)]);
            let waiting = node.submit(asked(SECOND)).expect("a new id");
            let launch = kept.launches.borrow_mut().pop();
            // Some clients go, some attempts end after their backend has left the list.
            if round % 3 == 0 {
                drop(waiting);
            }
            node.fleet(ListScope::Changes, vec![listed(&uid, Stage::Gone)]);
            if let Some(launch) = launch {
                node.settled(launch.ticket, Ending::bare(Outcome::Reset));
            }
            kept.retired.borrow_mut().clear();
        }
        node.fleet(ListScope::Full, Vec::new());
        let driver = node.driver.borrow();
        let names = driver.names.known.len();
        assert_eq!(names, driver.names.ended.len() + driver.requests.len());
        assert!(names <= IDS_RESTING + 1 + driver.requests.len(), "{names}");
        assert_eq!((driver.ids.len(), driver.backends.len()), (0, 0));
        assert!(driver.requests.len() <= 1, "{} requests", driver.requests.len());
    }
}

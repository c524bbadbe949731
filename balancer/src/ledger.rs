//! What each event sets off, and the ledger of open requests: each is sent, sent again, held or ended here,
//! and has one final answer. Where it may go is `choice.rs`'s to say, whether it may go at all `gate.rs`'s.

use crate::api::{
    Action, AttemptResult, BackendId, DedupScope, Discovery, Event, Idempotency, Nanos, Outcome,
    RequestArrival, RequestId, ZoneId,
};
use crate::health::IDLE_LOAD;
use crate::state::{Attempt, Backend, Balancer, Health, Phase, Request};
use crate::tuning::{MS, UTIL_SMOOTHING};

/// Housekeeping period: fine enough against aims of tens of milliseconds, coarse enough to cost no CPU.
const TICK: Nanos = 10 * MS;
/// Retries that each arrival earns.
const RETRY_SHARE: f64 = 0.2;
/// A time-out counts against its backend from so many base times on.
const OVERDUE: f64 = 3.0;
/// Weight of a request in its class's mean cost.
const COST_SMOOTHING: f64 = 0.01;
/// First wait after a failed call to discovery; doubled up to 2^3, jittered: a change counts as told 6 s
/// after discovery can be reached again, and the call itself takes its turn too.
const ASK_AGAIN: Nanos = 300 * MS;

impl Balancer {
    /// Takes one event in and adds what is to be done. A clock that steps back stands still.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Start => {
                self.retry_tokens = self.retries_saved();
                if self.settings.discovery == Discovery::Polled {
                    actions.push(Action::WatchEndpoints);
                }
            }
            Event::EndpointsUpdated { update: scope, endpoints: members } => self.fleet(scope, members),
            Event::DiscoveryFailed => self.ask_later(),
            Event::RequestArrived(arrival) => self.arrive(arrival, false, actions),
            Event::UploadStarted(arrival) => self.arrive(arrival, true, actions),
            Event::UploadComplete { request, expires_at: not_after } => self.whole(request, not_after),
            Event::BodyConsumed { request } => {
                self.requests.get_mut(&request).into_iter().for_each(|request| request.spent = true);
            }
            Event::ResponseAborted { backend } => self.judge(backend, Outcome::Reset, actions),
            Event::AttemptEnded(settlement) => self.settle(settlement, actions),
            Event::ResponseStarted { request } => {
                let open = self.requests.get_mut(&request).filter(|r| r.phase != Phase::Ended);
                open.into_iter().for_each(|r| r.phase = Phase::Streaming);
            }
            Event::HealthCheckEnded { backend, report, .. } => self.report(backend, report),
            Event::ClientDisconnected { request } => self.forget(request),
            Event::ZoneShareChanged { zone, share } => {
                if self.share(zone, share) {
                    self.rescue(zone, actions);
                }
                self.pump(actions);
            }
            Event::ZoneProbeRequested { zone, timeout: wait } => {
                let view = self.zones.get_mut(zone.0 as usize);
                view.into_iter().for_each(|view| view.trial = Some(wait));
            }
            Event::TimerFired { .. } => self.housekeeping(actions),
        }
        self.held.retain(|id| self.requests.get(id).is_some_and(|request| request.phase == Phase::Held));
        self.arm(actions);
    }

    fn tick(&self) -> Nanos {
        TICK.min(self.settings.rules.answer_grace / 2).max(self.settings.timer_resolution).max(MS)
    }

    /// Asks for the next wake-up only while something waits for one: at full size a timer that always ran
    /// cost more than all requests together (it cut full-size days off as too slow).
    fn arm(&mut self, actions: &mut Vec<Action>) {
        let held = (!self.held.is_empty()).then(|| self.now + self.tick());
        let Some(next) = held.into_iter().chain(self.ask_at.map(|at| at.max(self.now + MS))).min() else {
            return;
        };
        if self.armed.is_none_or(|at| at <= self.now || next < at) {
            self.armed = Some(next);
            actions.push(Action::SetTimer { after: next - self.now, token: 0 });
        }
    }

    fn housekeeping(&mut self, actions: &mut Vec<Action>) {
        if self.ask_at.is_some_and(|at| self.now >= at) {
            self.ask_at = None;
            actions.push(Action::WatchEndpoints);
        }
        self.refresh(actions);
        self.pump(actions);
        self.expire(actions);
    }

    fn arrive(&mut self, arrival: RequestArrival, uploading: bool, actions: &mut Vec<Action>) {
        let class = (arrival.class.0 as usize).min(self.classes.len() - 1);
        let view = &mut self.classes[class];
        let cost = arrival.expected_work.map_or(view.base * IDLE_LOAD, |hint| hint as f64).max(1.0);
        view.cost += (cost - view.cost) * if view.cost > 0.0 { COST_SMOOTHING } else { 1.0 };
        // A try well shorter than others ends with the client's deadline: that tells when its first try came,
        // and the aim counts from then. Arrivals jitter, so a little shorter is no sign. Where repeats
        // are marked the rest are first tries: repeats may get more time, which made those look late.
        // A body on its way says nothing of that, and its client's time has not begun.
        let deadline = self.settings.classes[class].deadline;
        let wait = if uploading { deadline } else { arrival.expires_at.saturating_sub(self.now) };
        view.longest_try = view.longest_try.max(wait);
        let worthless_late = self.settings.classes[class].late_value_fraction == 0.0;
        let again = arrival.is_retry || !self.settings.retries_marked;
        let first = if again && worthless_late && wait < view.longest_try - view.longest_try / 8 {
            arrival.expires_at.saturating_sub(self.settings.classes[class].deadline).min(self.now)
        } else {
            self.now
        };
        let (admit, aim) = (view.admit, self.settings.classes[class].latency_objective);
        let aim_end = if uploading { arrival.expires_at } else { arrival.expires_at.min(first + aim) };
        let request = Request {
            class,
            key: arrival.affinity_key.filter(|_| self.settings.key_affinity),
            cost,
            // Picking the requests with small hints for a small budget picks the hints that are too low.
            cold_cost: cost.max(view.cost),
            aim_end,
            half: self.now + wait / 2,
            not_after: arrival.expires_at,
            attempts: Vec::new(),
            uploading,
            spent: false,
            phase: Phase::Open,
        };
        self.requests.insert(arrival.request, request);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(self.retries_saved());
        self.earn_probe();
        self.refresh(actions);
        // Guards against jams that feed on their own repeats: what is past its aim, or more than the servers
        // can do in time, is turned away before it costs them anything.
        let past = aim_end <= self.now && worthless_late;
        if !past {
            self.classes[class].asked.add(self.now, 1.0);
        }
        let tenant = arrival.tenant.map_or(usize::MAX, |tenant| tenant as usize);
        if let Some(asked) = self.tenants.get_mut(tenant).filter(|_| !past) {
            asked.add(self.now, 1.0);
        }
        let over = self.over_share(tenant);
        let admit = if over > 0.0 && self.draw() < over { self.over_admit } else { admit };
        if past || (admit < 1.0 && self.draw() >= admit) {
            self.end(arrival.request, self.settings.limits.max_retry_after, actions);
            return;
        }
        self.dispatch(arrival.request, actions);
    }

    /// A zone has closed: what waits for its answer and may run twice is sent elsewhere too, as far as
    /// saved retries go. The first attempt stays out where a second copy may: it may still be answered.
    fn rescue(&mut self, zone: ZoneId, actions: &mut Vec<Action>) {
        let waits = |request: &&Request| {
            let repeatable = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
            let mut out = request.attempts.iter().filter(|attempt| attempt.out());
            let there = out.next().is_some_and(|attempt| attempt.zone == zone) && out.next().is_none();
            there && repeatable && request.phase == Phase::Open && self.now < request.aim_end
        };
        let waiting = self.requests.iter().filter(|(_, request)| waits(request));
        for id in waiting.map(|(id, _)| *id).collect::<Vec<_>>() {
            if self.retry_tokens < 1.0 {
                break;
            }
            if !self.settings.limits.hedging {
                // Its end sends it again.
                self.cancel_rest(id, actions);
            } else if let Some(to) = self.choose(id)
                && self.send(id, to, None, actions)
            {
                self.retry_tokens -= 1.0;
            }
        }
    }

    /// The one place that sends. False where the gate forbids it.
    fn send(&mut self, id: RequestId, to: BackendId, wait: Option<Nanos>, actions: &mut Vec<Action>) -> bool {
        let (crowd, gate) = (self.crowd(), self.requests.get(&id).zip(self.backends.get(&to)));
        if !gate.is_some_and(|(request, backend)| self.permits(request, backend)) {
            return false;
        }
        let (Some(request), Some(backend)) = (self.requests.get_mut(&id), self.backends.get_mut(&to)) else {
            return false;
        };
        request.phase = Phase::Open;
        request.attempts.push(Attempt {
            backend: to,
            zone: backend.member.zone,
            cell: backend.member.cell,
            sent: self.now,
            load: backend.load(crowd),
            outcome: None,
            counted: !request.uploading,
        });
        let (class, aim_end, uploading) = (request.class, request.aim_end, request.uploading);
        let zone = backend.member.zone;
        backend.in_flight += u32::from(!uploading);
        if backend.ramp(self.now, &self.settings.rules) < 1.0 {
            backend.cold_sends.push_back((self.now, request.cold_cost));
        }
        if let Health::Ejected { .. } = backend.health {
            backend.health = Health::HalfOpen { served: 0 };
        }
        // Past its aim an answer may be worth nothing: then a server need not work on it. With few nodes what
        // is admitted by own figures hardly waits that long, and the repeats cost more.
        let late_share = self.settings.classes[class].late_value_fraction;
        let drop_late =
            self.many() && (late_share == 0.0 || (late_share <= 0.5 && self.classes[class].admit < 1.0));
        let timeout = (drop_late && !uploading && aim_end > self.now).then(|| aim_end - self.now);
        let timeout = timeout.into_iter().chain(wait).min();
        actions.push(Action::Send { request: id, backend: to, timeout });
        let view = self.zones.get_mut(zone.0 as usize).filter(|_| !uploading);
        view.into_iter().for_each(|view| view.count_own(self.now, 1.0, UTIL_SMOOTHING));
        true
    }

    /// A request's body has come whole: its client's time begins, and so does its work where it was sent.
    fn whole(&mut self, id: RequestId, not_after: Nanos) {
        let (crowd, now) = (self.crowd(), self.now);
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.uploading) else { return };
        request.uploading = false;
        request.not_after = not_after;
        request.aim_end = not_after.min(now + self.settings.classes[request.class].latency_objective);
        request.half = now + not_after.saturating_sub(now) / 2;
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.out() && !attempt.counted) {
            let Some(backend) = self.backends.get_mut(&attempt.backend) else { continue };
            (attempt.counted, attempt.sent, attempt.load) = (true, now, backend.load(crowd));
            backend.in_flight += 1;
            if backend.ramp(now, &self.settings.rules) < 1.0 {
                backend.cold_sends.push_back((now, request.cold_cost));
            }
            let view = self.zones.get_mut(attempt.zone.0 as usize);
            view.into_iter().for_each(|view| view.count_own(now, 1.0, UTIL_SMOOTHING));
        }
    }

    /// The one place that ends requests: refused where trying again does no harm, failed otherwise.
    fn end(&mut self, id: RequestId, pause: Nanos, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let ran = request.attempts.iter().any(Attempt::may_have_run);
        let refusable = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. } => true,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => !ran,
        };
        actions.push(if refusable {
            Action::Reject { request: id, retry_after: pause.min(self.settings.limits.max_retry_after) }
        } else {
            Action::Fail { request: id }
        });
        self.cancel_rest(id, actions);
        self.forget(id);
    }

    fn cancel_rest(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|_| self.settings.limits.cancellation) else {
            return;
        };
        let out = request.attempts.iter().zip(0..).filter(|(attempt, _)| attempt.out());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
    }

    /// Marks a request as ended; it is dropped once its last attempt has settled.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.phase = Phase::Ended;
        if !request.attempts.iter().any(Attempt::out) {
            self.requests.remove(&id);
        }
    }

    fn settle(&mut self, settled: AttemptResult, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&settled.request) else { return };
        let (class, cost, aim_end) = (request.class, request.cost, request.aim_end);
        let Some(attempt) = request.attempts.get_mut(settled.attempt as usize).filter(|a| a.out()) else {
            return;
        };
        attempt.outcome = Some(settled.outcome);
        let (to, load, zone, counted) = (attempt.backend, attempt.load, attempt.zone, attempt.counted);
        let open = request.phase != Phase::Ended;
        if counted {
            let view = self.zones.get_mut(zone.0 as usize);
            view.into_iter().for_each(|view| view.count_own(self.now, -1.0, UTIL_SMOOTHING));
            self.learn(to, class, cost, load, &settled);
        }
        // A client with little time ends an attempt early: that is no fault of the backend's.
        let early = (settled.elapsed as f64) < OVERDUE * self.classes[class].base;
        if settled.outcome != Outcome::TimedOut || !early {
            self.judge(to, settled.outcome, actions);
        }
        self.report(to, settled.report);
        if settled.request_ended || !open {
            if open && settled.outcome == Outcome::Success && (self.now <= aim_end || !self.many()) {
                self.classes[class].served.add(self.now, 1.0);
            }
            if open {
                self.cancel_rest(settled.request, actions);
            }
            self.forget(settled.request);
        } else {
            self.retry(settled.request, actions);
        }
        self.pump(actions);
    }

    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some((to, wait)) = self.trial(id)
            && self.send(id, to, Some(wait), actions)
        {
            return;
        }
        if let Some(to) = self.choose(id)
            && self.send(id, to, None, actions)
        {
            return;
        }
        if let Some(request) = self.requests.get_mut(&id).filter(|r| r.phase == Phase::Open) {
            request.phase = Phase::Held;
            self.held.push(id);
        }
    }

    /// Sends what is held as room appears, the worthiest first.
    fn pump(&mut self, actions: &mut Vec<Action>) {
        let home = self.settings.local_zone;
        // What a backend with room would serve with less work goes before others of its class.
        let fits = |r: &Request| {
            let warm = r.key.and_then(|key| self.warm_at(key, home)).and_then(|to| self.backends.get(&to));
            warm.is_some_and(|to| self.usable(to) && self.admits(r, to))
        };
        let valued =
            |&id| self.requests.get(&id).map(|r: &Request| (self.classes[r.class].value, fits(r), id));
        let mut order: Vec<(f64, bool, RequestId)> = self.held.iter().filter_map(valued).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        let mut misses = 0;
        for (_, _, id) in order {
            let sent = self.choose(id).is_some_and(|to| self.send(id, to, None, actions));
            misses += usize::from(!sent);
            if misses > 8 {
                break;
            }
        }
    }

    /// Ends what can no longer be answered in time, or was never sent, while a refusal is still early.
    fn expire(&mut self, actions: &mut Vec<Action>) {
        let tick = self.tick();
        let late = |request: &Request| {
            let least = (self.classes[request.class].base * IDLE_LOAD * 0.5) as Nanos + tick;
            let unsent = |a: &Attempt| matches!(a.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent));
            let end = if request.attempts.iter().all(unsent) { request.half } else { request.not_after };
            request.phase == Phase::Held
                && !request.attempts.iter().any(Attempt::out)
                && (self.now + least >= request.aim_end || self.now + tick >= end)
        };
        let is_late = |id: &RequestId| self.requests.get(id).is_some_and(late);
        for id in self.held.iter().copied().filter(is_late).collect::<Vec<_>>() {
            self.end(id, self.settings.limits.max_retry_after, actions);
        }
    }

    /// After an attempt that did not serve: again, where the gate and the retry budget let it.
    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().any(Attempt::out) {
            return;
        }
        let late = self.now >= request.aim_end;
        // What was turned away at once has cost little: its first retry is free.
        let unseen = request.attempts.len() == 1 && !request.attempts[0].may_have_run();
        let again = (self.retry_tokens >= 1.0 || (unseen && self.many())) && !late;
        let pause = if late { self.settings.limits.max_retry_after } else { 0 };
        // What may only go to a zone that is closed is given up at once.
        let may = |b: &Backend| self.share_of(b.member.zone) > 0.0 && self.permits(request, b);
        if !again || !self.backends.values().any(may) {
            self.end(id, pause, actions);
            return;
        }
        // Where no backend has room this moment it is held: most have some before the aim has passed.
        self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
        self.dispatch(id, actions);
    }

    fn ask_later(&mut self) {
        let wait = (ASK_AGAIN << self.ask_failures.min(3)) as f64 * (0.75 + 0.5 * self.draw());
        self.ask_failures += 1;
        self.ask_at = Some(self.now + wait as Nanos);
    }
}

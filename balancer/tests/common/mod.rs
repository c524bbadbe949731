//! A node under test and the words for feeding it.
#![allow(dead_code)]

use badgerpost_balancer::*;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1000 * MS;

pub struct Node {
    pub balancer: Balancer,
    pub now: Nanos,
    pub next: u64,
}

pub fn class(aim_ms: u64, deadline_ms: u64, effect: Effect) -> ClassSettings {
    ClassSettings { aim: aim_ms * MS, deadline: deadline_ms * MS, effect, ..ClassSettings::default() }
}

pub fn settings(effect: Effect) -> Settings {
    Settings { classes: vec![class(400, 1000, effect)], nodes: 2, ..Settings::new(ZoneId(0), 3) }
}

pub fn member(backend: u32, zone: u32) -> Member {
    Member {
        backend: BackendId(backend),
        zone: ZoneId(zone),
        cell: zone.into(),
        size: 1.0,
        ..Member::default()
    }
}

pub fn util(util: f64) -> Report {
    Report { util: Some(util), ..Report::default() }
}

impl Node {
    pub fn new(settings: Settings, members: Vec<Member>) -> Self {
        Self::seeded(7, settings, members)
    }

    pub fn seeded(seed: u64, settings: Settings, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings, seed, SECOND).expect("usable settings");
        let mut node = Self { balancer, now: SECOND, next: 0 };
        node.tell(Event::Start);
        node.tell(Event::Fleet { scope: ListScope::Cached, members });
        node
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, scope: ListScope, members: Vec<Member>) -> Vec<Action> {
        self.tell(Event::Fleet { scope, members })
    }

    /// A request of class 0 that its client gives up after `wait`.
    pub fn ask(&mut self, wait: Nanos) -> (RequestId, Vec<Action>) {
        self.ask_marked(wait, false)
    }

    /// The same, marked as a client's repeat.
    pub fn ask_again(&mut self, wait: Nanos) -> (RequestId, Vec<Action>) {
        self.ask_marked(wait, true)
    }

    fn ask_marked(&mut self, wait: Nanos, repeat: bool) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        let not_after = self.now + wait;
        let arrival =
            Arrival { request, class: ClassId(0), key: None, hint: None, repeat, tenant: None, not_after };
        (request, self.tell(Event::Request(arrival)))
    }

    pub fn settle(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: Report,
    ) -> Vec<Action> {
        self.settle_after(request, attempt, outcome, 30 * MS, report)
    }

    pub fn settle_after(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Nanos,
        report: Report,
    ) -> Vec<Action> {
        let ended = outcome == Outcome::Served;
        self.tell(Event::Settled(Settlement { request, attempt, outcome, elapsed, ended, report }))
    }

    /// Lets time pass with the housekeeping timer coming due.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MS).min(end);
            actions.extend(self.tell(Event::Timer { token: 0 }));
        }
        actions
    }

    /// Asks `count` times, one in 10 ms; every send is served after 40 ms with the report of its backend.
    pub fn serve(&mut self, count: usize, report: impl Fn(BackendId) -> Report) -> Vec<BackendId> {
        let mut used = Vec::new();
        let mut out: Vec<(RequestId, u32, BackendId, Nanos)> = Vec::new();
        for turn in 0..count + 40 {
            let mut actions = if turn < count { self.ask(SECOND).1 } else { Vec::new() };
            actions.extend(self.pass(10 * MS));
            let (due, rest) = out.into_iter().partition(|send| self.now >= send.3 + 40 * MS);
            out = rest;
            for (request, attempt, to, _) in Vec::from_iter::<Vec<_>>(due) {
                used.push(to);
                actions.extend(self.settle_after(request, attempt, Outcome::Served, 40 * MS, report(to)));
            }
            for action in actions {
                if let Action::Send { request, backend, .. } = action {
                    let attempt = out.iter().filter(|send| send.0 == request).count() as u32;
                    out.push((request, attempt, backend, self.now));
                }
            }
        }
        used
    }
}

pub fn sends(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn sent(actions: &[Action]) -> Option<BackendId> {
    sends(actions).first().copied()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

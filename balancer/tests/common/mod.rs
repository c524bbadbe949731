//! A node under test and the words for feeding it.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]
#![allow(dead_code)]

use badgerpost_balancer::*;
pub use badgerpost_time::{MILLISECOND, SECOND};

pub struct Node {
    pub balancer: Balancer,
    pub now: Nanos,
    pub next: u64,
}

pub fn class(aim_ms: u64, deadline_ms: u64, effect: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective: aim_ms * MILLISECOND,
        deadline: deadline_ms * MILLISECOND,
        idempotency: effect,
        ..ClassSettings::default()
    }
}

pub fn settings(effect: Idempotency) -> Settings {
    Settings {
        classes: vec![class(400, 1000, effect)],
        node_count: 2,
        ..Settings::new(ZoneId(0), 3)
    }
}

pub fn member(backend: u32, zone: u32) -> Endpoint {
    Endpoint {
        backend: BackendId(backend),
        zone: ZoneId(zone),
        cell: zone.into(),
        size: 1.0,
        ..Endpoint::default()
    }
}

pub fn util(util: f64) -> LoadReport {
    LoadReport {
        utilization: Some(util),
        ..LoadReport::default()
    }
}

impl Node {
    pub fn new(settings: Settings, members: Vec<Endpoint>) -> Self {
        Self::seeded(7, settings, members)
    }

    pub fn seeded(seed: u64, settings: Settings, members: Vec<Endpoint>) -> Self {
        let balancer = Balancer::new(settings, seed, SECOND).expect("usable settings");
        let mut node = Self {
            balancer,
            now: SECOND,
            next: 0,
        };
        node.tell(Event::Start);
        node.tell(Event::EndpointsUpdated {
            update: EndpointUpdate::Cached,
            endpoints: members,
        });
        node
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, scope: EndpointUpdate, members: Vec<Endpoint>) -> Vec<Action> {
        self.tell(Event::EndpointsUpdated {
            update: scope,
            endpoints: members,
        })
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
        let arrival = RequestArrival {
            request,
            class: ClassId(0),
            affinity_key: None,
            expected_service_time: None,
            is_retry: repeat,
            tenant: None,
            expires_at: not_after,
        };
        (request, self.tell(Event::RequestArrived(arrival)))
    }

    pub fn settle(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: LoadReport,
    ) -> Vec<Action> {
        self.settle_after(request, attempt, outcome, 30 * MILLISECOND, report)
    }

    pub fn settle_after(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Nanos,
        report: LoadReport,
    ) -> Vec<Action> {
        let ended = outcome == Outcome::Success;
        self.tell(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            elapsed,
            request_ended: ended,
            report,
        }))
    }

    /// Lets time pass with the housekeeping timer coming due.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MILLISECOND).min(end);
            actions.extend(self.tell(Event::TimerFired { token: 0 }));
        }
        actions
    }

    /// Asks `count` times, one in 10 ms; every send is served after 40 ms with the report of its backend.
    pub fn serve(
        &mut self,
        count: usize,
        report: impl Fn(BackendId) -> LoadReport,
    ) -> Vec<BackendId> {
        let mut used = Vec::new();
        let mut out: Vec<(RequestId, u32, BackendId, Nanos)> = Vec::new();
        for turn in 0..count + 40 {
            let mut actions = if turn < count {
                self.ask(SECOND).1
            } else {
                Vec::new()
            };
            actions.extend(self.pass(10 * MILLISECOND));
            let (due, rest) = out
                .into_iter()
                .partition(|send| self.now >= send.3 + 40 * MILLISECOND);
            out = rest;
            for (request, attempt, to, _) in Vec::from_iter::<Vec<_>>(due) {
                used.push(to);
                actions.extend(self.settle_after(
                    request,
                    attempt,
                    Outcome::Success,
                    40 * MILLISECOND,
                    report(to),
                ));
            }
            for action in actions {
                if let Action::Send {
                    request, backend, ..
                } = action
                {
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
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

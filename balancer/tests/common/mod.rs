//! A balancer under test, with its clock, and helpers that feed it events.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]
#![allow(dead_code)]

use badgerpost_balancer::*;
pub use badgerpost_time::{MILLISECOND, SECOND};

/// One node: a balancer, its time, and the id of the next request.
pub struct Node {
    pub balancer: Balancer,
    pub now: Nanos,
    pub next: u64,
}

/// A class with defaults for the rest.
pub fn class(objective_ms: u64, deadline_ms: u64, idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective: objective_ms * MILLISECOND,
        deadline: deadline_ms * MILLISECOND,
        idempotency,
        ..ClassSettings::default()
    }
}

/// Settings of one of two nodes in three zones, with one class.
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class(400, 1000, idempotency)],
        node_count: 2,
        ..Settings::new(ZoneId(0), 3)
    }
}

/// A backend in service; its cell is its zone.
pub fn endpoint(backend: u32, zone: u32) -> Endpoint {
    Endpoint {
        backend: BackendId(backend),
        zone: ZoneId(zone),
        cell: zone.into(),
        size: 1.0,
        ..Endpoint::default()
    }
}

/// A report of this utilization.
pub fn utilization_report(utilization: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        ..LoadReport::default()
    }
}

impl Node {
    /// A node that has started, with these endpoints in its cache.
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Self::seeded(7, settings, endpoints)
    }

    /// The same with a seed.
    pub fn seeded(seed: u64, settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let balancer = Balancer::new(settings, seed, SECOND).expect("usable settings");
        let mut node = Self {
            balancer,
            now: SECOND,
            next: 0,
        };
        node.handle(Event::Start);
        node.handle(Event::EndpointsUpdated {
            update: EndpointUpdate::Cached,
            endpoints,
        });
        node
    }

    /// Handles an event now and returns the actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Delivers a list of endpoints.
    pub fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointsUpdated { update, endpoints })
    }

    /// A request of class 0 that its client gives up after `client_timeout`.
    pub fn arrive(&mut self, client_timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_marked(client_timeout, false)
    }

    /// The same, marked as a client's retry.
    pub fn arrive_as_retry(&mut self, client_timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_marked(client_timeout, true)
    }

    fn arrive_marked(&mut self, client_timeout: Nanos, is_retry: bool) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next);
        self.next += 1;
        let expires_at = self.now + client_timeout;
        let arrival = RequestArrival {
            request,
            class: ClassId(0),
            affinity_key: None,
            expected_service_time: None,
            is_retry,
            tenant: None,
            expires_at,
        };
        (request, self.handle(Event::RequestArrived(arrival)))
    }

    /// Ends an attempt after 30 ms; a success ends the request.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: LoadReport,
    ) -> Vec<Action> {
        self.end_attempt_after(request, attempt, outcome, 30 * MILLISECOND, report)
    }

    /// Ends an attempt with a response that came at an unknown time: the node stood still.
    pub fn end_attempt_at_unknown_time(&mut self, request: RequestId, attempt: u32) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome: Outcome::Success,
            elapsed: None,
            request_ended: true,
            report: LoadReport::default(),
        }))
    }

    /// Ends an attempt after this time; a success ends the request.
    pub fn end_attempt_after(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Nanos,
        report: LoadReport,
    ) -> Vec<Action> {
        let ended = outcome == Outcome::Success;
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            elapsed: Some(elapsed),
            request_ended: ended,
            report,
        }))
    }

    /// Advances the time in steps of 10 ms, each with a fired timer.
    pub fn advance(&mut self, duration: Nanos) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MILLISECOND).min(end);
            actions.extend(self.handle(Event::TimerFired { token: 0 }));
        }
        actions
    }

    /// Sends `count` requests, one in 10 ms; every attempt succeeds after 40 ms with the report of its backend. Returns
    /// the backends of the attempts, in the order of their ends.
    pub fn serve_requests(
        &mut self,
        count: usize,
        report: impl Fn(BackendId) -> LoadReport,
    ) -> Vec<BackendId> {
        let mut used = Vec::new();
        let mut out: Vec<(RequestId, u32, BackendId, Nanos)> = Vec::new();
        for turn in 0..count + 40 {
            let mut actions = if turn < count {
                self.arrive(SECOND).1
            } else {
                Vec::new()
            };
            actions.extend(self.advance(10 * MILLISECOND));
            let (due, rest) = out
                .into_iter()
                .partition(|send| self.now >= send.3 + 40 * MILLISECOND);
            out = rest;
            for (request, attempt, to, _) in Vec::from_iter::<Vec<_>>(due) {
                used.push(to);
                actions.extend(self.end_attempt_after(
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

/// The backends of all sends.
pub fn sends(actions: &[Action]) -> Vec<BackendId> {
    let to = |action: &Action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

/// The backend of the first send.
pub fn first_send(actions: &[Action]) -> Option<BackendId> {
    sends(actions).first().copied()
}

/// Whether a request was rejected.
pub fn has_rejection(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether a request failed.
pub fn has_failure(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

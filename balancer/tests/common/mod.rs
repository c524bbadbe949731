//! A balancer with a manually advanced clock, and helpers that feed events to the balancer.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    reason = "test code"
)]
#![allow(dead_code)]

use badgerpost_balancer::*;
pub use badgerpost_time::{MILLISECOND, SECOND};

/// A node under test: a balancer, the current time, and the next unused request id.
pub struct Node {
    pub balancer: Balancer,
    pub now: Nanos,
    pub next_request_id: u64,
}

/// A class with this latency objective, deadline and idempotency, and defaults for the rest.
pub fn class(objective_ms: u64, deadline_ms: u64, idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective: objective_ms * MILLISECOND,
        deadline: deadline_ms * MILLISECOND,
        idempotency,
        ..ClassSettings::default()
    }
}

/// Settings of a node in zone 0 of three zones, one of two nodes, with a single class.
pub fn settings(idempotency: Idempotency) -> Settings {
    Settings {
        classes: vec![class(400, 1000, idempotency)],
        node_count: 2,
        ..Settings::new(ZoneId(0), 3)
    }
}

/// An endpoint in service, whose cell has the same number as its zone.
pub fn endpoint(backend: u32, zone: u32) -> Endpoint {
    Endpoint {
        backend: BackendId(backend),
        zone: ZoneId(zone),
        cell: zone.into(),
        size: 1.0,
        ..Endpoint::default()
    }
}

/// A load report that contains only a utilization.
pub fn utilization_report(utilization: f64) -> LoadReport {
    LoadReport {
        utilization: Some(utilization),
        ..LoadReport::default()
    }
}

impl Node {
    /// A node that has handled [`Event::Start`] and a cached list of these endpoints.
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Self::seeded(7, settings, endpoints)
    }

    /// Like [`Node::new`], with a seed for the balancer's random numbers.
    pub fn seeded(seed: u64, settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let balancer = Balancer::new(settings, seed, SECOND).expect("valid settings");
        let mut node = Self {
            balancer,
            now: SECOND,
            next_request_id: 0,
        };
        node.handle(Event::Start);
        node.handle(Event::EndpointsUpdated {
            update: EndpointUpdate::Cached,
            endpoints,
        });
        node
    }

    /// Hands an event to the balancer at the current time and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Delivers an endpoint list from discovery.
    pub fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointsUpdated { update, endpoints })
    }

    /// Lets a request of class 0 arrive whose client gives up after `client_timeout`.
    pub fn arrive(&mut self, client_timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_marked(client_timeout, false)
    }

    /// Like [`Node::arrive`], with the request marked as a client's retry.
    pub fn arrive_as_retry(&mut self, client_timeout: Nanos) -> (RequestId, Vec<Action>) {
        self.arrive_marked(client_timeout, true)
    }

    fn arrive_marked(&mut self, client_timeout: Nanos, is_retry: bool) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_request_id);
        self.next_request_id += 1;
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

    /// Ends an attempt 30 ms after the send. A success also ends the request.
    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        report: LoadReport,
    ) -> Vec<Action> {
        self.end_attempt_after(request, attempt, outcome, 30 * MILLISECOND, report)
    }

    /// Ends an attempt with a success of unknown duration, as reported after the node's process was paused.
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

    /// Ends an attempt `elapsed` after the send. A success also ends the request.
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

    /// Advances the clock in steps of 10 ms and fires the timer at each step.
    pub fn advance(&mut self, duration: Nanos) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10 * MILLISECOND).min(end);
            actions.extend(self.handle(Event::TimerFired { token: 0 }));
        }
        actions
    }

    /// Lets `count` requests arrive, one every 10 ms. Every attempt succeeds after 40 ms with the load report that
    /// `report` gives for the backend. Returns the backends in the order in which the attempts ended.
    pub fn serve_requests(
        &mut self,
        count: usize,
        report: impl Fn(BackendId) -> LoadReport,
    ) -> Vec<BackendId> {
        let mut backends = Vec::new();
        let mut in_flight: Vec<(RequestId, u32, BackendId, Nanos)> = Vec::new();
        for turn in 0..count + 40 {
            let mut actions = if turn < count {
                self.arrive(SECOND).1
            } else {
                Vec::new()
            };
            actions.extend(self.advance(10 * MILLISECOND));
            let (due, rest) = in_flight
                .into_iter()
                .partition(|send| self.now >= send.3 + 40 * MILLISECOND);
            in_flight = rest;
            for (request, attempt, to, _) in Vec::from_iter::<Vec<_>>(due) {
                backends.push(to);
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
                    let attempt = in_flight.iter().filter(|send| send.0 == request).count() as u32;
                    in_flight.push((request, attempt, backend, self.now));
                }
            }
        }
        backends
    }
}

/// The backend of each [`Action::Send`], in order.
pub fn sends(actions: &[Action]) -> Vec<BackendId> {
    let backend_of = |action: &Action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    };
    actions.iter().filter_map(backend_of).collect()
}

/// The backend of the first [`Action::Send`], if there is any.
pub fn first_send(actions: &[Action]) -> Option<BackendId> {
    sends(actions).first().copied()
}

/// Whether any action rejects a request.
pub fn has_rejection(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether any action fails a request.
pub fn has_failure(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

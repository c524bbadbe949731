//! Property test with random sequences of requests, client disconnections, established connections, resets, responses,
//! deadlines, drains and endpoint updates. Each connected client receives exactly one outcome; nothing is written for a
//! disconnected client or to a backend past its drain grace period; a non-idempotent request runs at most once; no
//! state is left at the end.

use badgerpost_time::MILLISECOND;
use proptest::prelude::*;
use tokio::sync::oneshot::error::TryRecvError;

use super::*;
use crate::clock::VirtualClock;

const DRAIN_GRACE: Nanos = 200 * MILLISECOND;
const KEY_WINDOW: Nanos = 300 * MILLISECOND;

const CLASS_COUNT: u32 = 3;
/// The class of requests with an idempotency key.
const KEYED: ClassId = ClassId(1);
/// The class of non-idempotent requests.
const NON_IDEMPOTENT: ClassId = ClassId(2);

/// The port of the first backend. The other backends have the next ports.
const FIRST_PORT: u16 = 9;

struct TestBackend {
    name: &'static str,
    zone: &'static str,
}

const BACKENDS: [TestBackend; 3] = [
    TestBackend {
        name: "s0",
        zone: "a",
    },
    TestBackend {
        name: "s1",
        zone: "a",
    },
    TestBackend {
        name: "s2",
        zone: "b",
    },
];

/// An attempt whose request was written.
struct WrittenAttempt {
    at: Nanos,
    backend: usize,
    may_have_run: bool,
}

/// A request as observed by its client and by the backends.
struct ObservedRequest {
    class: ClassId,
    response: Option<PendingResponse<TestProtocol>>,
    outcomes: usize,
    has_disconnected: bool,
    written: Vec<WrittenAttempt>,
}

/// An attempt that has not ended.
struct OpenAttempt {
    command: AttemptCommand<TestProtocol>,
    request: usize,
    backend: usize,
    /// The attempt's index in [`ObservedRequest::written`]; `None` if it was not written.
    written: Option<usize>,
}

struct Simulation {
    engine: Engine<TestProtocol>,
    transport: Rc<RecordingTransport>,
    virtual_clock: Rc<VirtualClock>,
    requests: Vec<ObservedRequest>,
    attempts: Vec<OpenAttempt>,
    /// When the engine was told that a backend is out of service, by backend index; `None` if it is in service.
    draining_since: [Option<Nanos>; BACKENDS.len()],
}

fn classes() -> serde_json::Value {
    let class = |name: &str, effect: &str| {
        serde_json::json!({"name": name, "effect": effect, "key-scope": "zone", "window-ns": KEY_WINDOW,
            "on-time-ns": 600 * MILLISECOND, "deadline-ns": 1000 * MILLISECOND})
    };
    serde_json::json!([
        class("read", "repeatable"),
        class("join", "by_key"),
        class("pay", "once")
    ])
}

/// The class that the operand of a step selects.
fn class_of(operand: usize) -> ClassId {
    ClassId(u32::try_from(operand).expect("a small operand") % CLASS_COUNT)
}

impl Simulation {
    fn new(hedging: bool) -> Self {
        let config = serde_json::json!({"az": "a", "zones": ["a", "b"], "discovery": "pushed", "classes": classes(),
            "policy-limits": {"attempts-cap": 4, "may-cancel": true, "second-copies": hedging}, "goal": {},
            "rules": {"answer-slack-ns": 20 * MILLISECOND, "drain-grace-ns": DRAIN_GRACE, "fall-ns": 1500 * MILLISECOND,
                "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000 * MILLISECOND}});
        let virtual_clock = VirtualClock::at(1000 * MILLISECOND);
        let (engine, transport) = engine_with(&config, Clock::from_virtual(virtual_clock.clone()));
        let mut simulation = Self {
            engine,
            transport,
            virtual_clock,
            requests: Vec::new(),
            attempts: Vec::new(),
            draining_since: [None; BACKENDS.len()],
        };
        simulation.update_backends(&[0, 1, 2], EndpointState::InService);
        simulation
    }

    fn now(&self) -> Nanos {
        self.engine.clock().now()
    }

    fn update_backends(&mut self, backends: &[usize], state: EndpointState) {
        for backend in backends {
            let since = self.draining_since[*backend].unwrap_or(self.now());
            self.draining_since[*backend] = (state != EndpointState::InService).then_some(since);
        }
        let endpoints: Vec<_> = backends
            .iter()
            .map(|backend| {
                let port = FIRST_PORT + u16::try_from(*backend).expect("a small index");
                DiscoveredEndpoint {
                    zone: BACKENDS[*backend].zone.to_owned(),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    ..discovered(BACKENDS[*backend].name, state)
                }
            })
            .collect();
        self.engine
            .endpoints_updated(EndpointUpdate::Delta, &endpoints);
        self.observe();
    }

    /// Collects the attempts that the engine has started, ends those that it has cancelled, and collects outcomes.
    fn observe(&mut self) {
        self.take_started_attempts();
        self.take_outcomes();
        while let Some(index) = self.next_cancelled() {
            let outcome = if self.attempts[index].written.is_some() {
                Outcome::Cancelled
            } else {
                Outcome::NotSent
            };
            self.end_attempt(index, outcome);
        }
    }

    fn take_started_attempts(&mut self) {
        for command in self.transport.attempts.borrow_mut().drain(..) {
            let backend = usize::from(command.address.port() - FIRST_PORT);
            let request = usize::try_from(command.attempt.request.0).expect("a small id");
            self.attempts.push(OpenAttempt {
                command,
                request,
                backend,
                written: None,
            });
        }
    }

    fn take_outcomes(&mut self) {
        for request in &mut self.requests {
            let Some(response) = &mut request.response else {
                continue;
            };
            let has_outcome = std::pin::pin!(response.wait())
                .poll(&mut Context::from_waker(Waker::noop()))
                .is_ready();
            if has_outcome {
                request.outcomes += 1;
                request.response = None;
            }
        }
    }

    fn next_cancelled(&mut self) -> Option<usize> {
        self.attempts
            .iter_mut()
            .position(|attempt| match attempt.command.cancelled.try_recv() {
                Ok(()) => true,
                Err(TryRecvError::Empty | TryRecvError::Closed) => false,
            })
    }

    fn submit(&mut self, class: ClassId) {
        let request = IncomingRequest {
            class,
            ..incoming(1000 * MILLISECOND)
        };
        let response = self.engine.submit(request).expect("a new id");
        self.requests.push(ObservedRequest {
            class,
            response: Some(response),
            outcomes: 0,
            has_disconnected: false,
            written: Vec::new(),
        });
        self.observe();
    }

    fn disconnect_client(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.response.take().is_some() {
            request.has_disconnected = true;
        }
        self.observe();
    }

    /// Establishes an attempt's connection, and writes the attempt if the engine permits.
    fn connection_established(&mut self, index: usize) -> Result<(), TestCaseError> {
        let now = self.now();
        let attempt = &self.attempts[index];
        if attempt.written.is_some() {
            return Ok(());
        }
        if !self.engine.may_write(attempt.command.attempt) {
            self.end_attempt(index, Outcome::NotSent);
            return Ok(());
        }
        let backend = attempt.backend;
        let request = &mut self.requests[attempt.request];
        prop_assert!(
            !request.has_disconnected,
            "written for a client that has disconnected"
        );
        prop_assert_eq!(request.outcomes, 0, "written after the outcome");
        prop_assert!(
            self.draining_since[backend].is_none_or(|since| now < since + DRAIN_GRACE),
            "written past the drain grace period"
        );
        check_retry_safety(request, backend, now)?;
        request.written.push(WrittenAttempt {
            at: now,
            backend,
            may_have_run: true,
        });
        self.attempts[index].written = Some(request.written.len() - 1);
        Ok(())
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = self.attempts.remove(index);
        if let (Some(written), false) = (attempt.written, outcome.may_have_run()) {
            self.requests[attempt.request].written[written].may_have_run = false;
        }
        let is_served = outcome == Outcome::Success;
        let end = AttemptEnd {
            response: is_served.then_some("yes"),
            ..AttemptEnd::without_response(outcome)
        };
        self.engine.attempt_ended(attempt.command.attempt, end);
        self.observe();
    }

    /// Ends an attempt with this outcome if the attempt was written, and with a connection failure otherwise.
    fn end_or_fail_to_connect(&mut self, index: usize, outcome: Outcome) {
        let is_written = self.attempts[index].written.is_some();
        let outcome = if is_written {
            outcome
        } else {
            Outcome::ConnectFailed
        };
        self.end_attempt(index, outcome);
    }

    fn advance(&mut self, duration: Nanos) {
        let end = self.now() + duration;
        while self.now() < end {
            self.virtual_clock
                .advance((self.now() + 10 * MILLISECOND).min(end));
            self.engine.fire_timers();
            self.observe();
            self.time_out_attempts();
        }
    }

    /// Ends the attempts whose deadlines have passed, as a transport must.
    fn time_out_attempts(&mut self) {
        while let Some(index) = self.next_overdue() {
            let outcome = if self.attempts[index].written.is_some() {
                Outcome::TimedOut
            } else {
                Outcome::NotSent
            };
            self.end_attempt(index, outcome);
        }
    }

    fn next_overdue(&self) -> Option<usize> {
        let now = self.now();
        self.attempts
            .iter()
            .position(|attempt| attempt.command.attempt_deadline <= now)
    }

    fn step(&mut self, kind: u8, operand: usize) -> Result<(), TestCaseError> {
        let attempt = (!self.attempts.is_empty()).then(|| operand % self.attempts.len().max(1));
        let backend = operand % BACKENDS.len();
        match (kind, attempt) {
            (0..=2, _) => self.submit(class_of(operand)),
            (3, _) if !self.requests.is_empty() => {
                self.disconnect_client(operand % self.requests.len());
            }
            (4..=6, Some(attempt)) => self.connection_established(attempt)?,
            (7, Some(attempt)) => self.end_or_fail_to_connect(attempt, Outcome::Reset),
            (8, Some(attempt)) => self.end_or_fail_to_connect(attempt, Outcome::Success),
            (9, Some(attempt)) => self.end_or_fail_to_connect(attempt, Outcome::Rejected),
            (10, Some(attempt)) => self.end_or_fail_to_connect(attempt, Outcome::Error),
            (11 | 12, _) => self.advance((operand as Nanos % 30) * 10 * MILLISECOND),
            (13, _) => self.update_backends(&[backend], EndpointState::Draining),
            (14, _) => self.update_backends(&[backend], EndpointState::Removed),
            (15, _) => self.update_backends(&[backend], EndpointState::InService),
            _ => {}
        }
        Ok(())
    }
}

/// Fails if an earlier attempt may have run and the request may therefore not be sent to this backend now.
fn check_retry_safety(
    request: &ObservedRequest,
    backend: usize,
    now: Nanos,
) -> Result<(), TestCaseError> {
    for earlier in request
        .written
        .iter()
        .filter(|earlier| earlier.may_have_run)
    {
        prop_assert!(
            request.class != NON_IDEMPOTENT,
            "a non-idempotent request written although another attempt may have run"
        );
        if request.class == KEYED {
            prop_assert!(
                BACKENDS[earlier.backend].zone == BACKENDS[backend].zone,
                "written outside the deduplication scope"
            );
            prop_assert!(
                now < earlier.at + KEY_WINDOW,
                "written after the deduplication window"
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_events_ends_with_one_outcome_per_request_and_no_state(
        hedging: bool,
        steps in prop::collection::vec((0u8..16, 0usize..1000), 1..80),
    ) {
        let mut simulation = Simulation::new(hedging);
        for (kind, operand) in steps {
            simulation.step(kind, operand)?;
        }
        simulation.advance(3000 * MILLISECOND);
        while !simulation.attempts.is_empty() {
            simulation.end_or_fail_to_connect(0, Outcome::Reset);
        }
        for (index, request) in simulation.requests.iter().enumerate() {
            let expected_outcomes = usize::from(!request.has_disconnected);
            prop_assert_eq!(
                (request.outcomes, request.response.is_some()),
                (expected_outcomes, false),
                "request {}",
                index
            );
        }
        prop_assert_eq!(open_requests(&simulation.engine), (0, 0));
        prop_assert!(!has_fallback_timeout(&simulation.engine));
    }
}

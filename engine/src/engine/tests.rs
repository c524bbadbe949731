//! Tests the engine through its public interface, with a transport that records commands.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, Waker};

use badgerpost_balancer::{ClassId, EndpointState};
use badgerpost_time::SECOND;

use super::*;
use crate::RequestOutcome;
use crate::client_request_ids::MAX_RECENT_IDS;
use crate::start_times::ListTime;
use crate::timers::TimerPurpose;

mod any_order;
mod uploads;

struct TestProtocol;

impl Protocol for TestProtocol {
    type Request = ();
    type Response = &'static str;
}

/// A transport that records commands and executes none of them.
#[derive(Default)]
struct RecordingTransport {
    attempts: RefCell<Vec<AttemptCommand<TestProtocol>>>,
    idle_closures: RefCell<Vec<BackendId>>,
}

impl RecordingTransport {
    /// Removes and returns the most recent command to start an attempt.
    fn take_attempt(&self) -> AttemptCommand<TestProtocol> {
        self.attempts.borrow_mut().pop().expect("an attempt")
    }
}

impl Transport<TestProtocol> for RecordingTransport {
    fn start_attempt(&self, _: &Engine<TestProtocol>, command: AttemptCommand<TestProtocol>) {
        self.attempts.borrow_mut().push(command);
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.idle_closures.borrow_mut().push(backend);
    }
}

/// Creates an engine with one zone and one class of non-idempotent requests.
fn test_engine(drain_grace: Nanos) -> (Engine<TestProtocol>, Rc<RecordingTransport>) {
    let config = serde_json::json!({"az": "a", "zones": ["a"], "discovery": "pushed",
        "classes": [{"name": "pay", "effect": "once", "on-time-ns": 2_000_000_000u64,
            "deadline-ns": 4_000_000_000u64}],
        "policy-limits": {"attempts-cap": 3}, "goal": {},
        "rules": {"answer-slack-ns": 20_000_000, "drain-grace-ns": drain_grace, "fall-ns": 1_500_000_000u64,
            "start-capacity": 0.1, "tip-multiple": 2.5, "warm-after-ns": 20_000_000_000u64}});
    engine_with(&config, Clock::system())
}

fn engine_with(
    config: &serde_json::Value,
    clock: Clock,
) -> (Engine<TestProtocol>, Rc<RecordingTransport>) {
    let site = badgerpost_settings::read(config).expect("valid settings");
    let transport = Rc::new(RecordingTransport::default());
    let engine = Engine::new(site.settings, site.names, 7, clock, transport.clone())
        .expect("settings that the balancer accepts");
    (engine, transport)
}

fn discovered(name: &str, state: EndpointState) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        machine_kind: "k".to_owned(),
        cell: 0,
        state,
        size: 1.0,
        started_at_ms: 0,
    }
}

/// Reports an endpoint list with one backend in service.
fn list_one_backend(engine: &Engine<TestProtocol>) {
    engine.endpoints_updated(
        EndpointUpdate::Snapshot,
        &[discovered("s", EndpointState::InService)],
    );
}

/// Creates a request with a unique id.
fn incoming(budget: Nanos) -> IncomingRequest<TestProtocol> {
    static NEXT_ID: AtomicU32 = AtomicU32::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::Relaxed).to_string().into();
    IncomingRequest {
        id,
        class: ClassId(0),
        tenant: None,
        affinity_key: None,
        expected_service_time: None,
        is_retry: false,
        budget,
        payload: (),
    }
}

/// The outcome of a request, or `None` if there is no outcome yet.
fn outcome_now(response: PendingResponse<TestProtocol>) -> Option<RequestOutcome<&'static str>> {
    let outcome = std::pin::pin!(response.into_outcome());
    match outcome.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(outcome) => Some(outcome),
        Poll::Pending => None,
    }
}

/// The number of open requests in the driver and in the balancer.
fn open_requests(engine: &Engine<TestProtocol>) -> (usize, usize) {
    let driver = engine.driver.borrow();
    (
        driver.requests.len(),
        driver.balancer.tracked_request_count(),
    )
}

fn has_fallback_timeout(engine: &Engine<TestProtocol>) -> bool {
    let driver = engine.driver.borrow();
    driver
        .timers
        .any(|purpose| matches!(purpose, TimerPurpose::FallbackTimeout(_)))
}

#[test]
fn request_and_its_timer_are_removed_with_its_outcome() {
    let (engine, transport) = test_engine(SECOND);
    list_one_backend(&engine);
    let response = engine.submit(incoming(SECOND)).expect("a new id");
    let command = transport.take_attempt();
    assert!(engine.may_write(command.attempt));
    let end = AttemptEnd {
        response: Some("paid"),
        ..AttemptEnd::without_response(Outcome::Success)
    };
    engine.attempt_ended(command.attempt, end);
    assert!(matches!(
        outcome_now(response),
        Some(RequestOutcome::Served("paid"))
    ));
    // A second end of the same attempt is ignored.
    engine.attempt_ended(
        command.attempt,
        AttemptEnd::without_response(Outcome::Reset),
    );
    assert_eq!(open_requests(&engine), (0, 0));
    assert!(!has_fallback_timeout(&engine));
}

/// Guards against sending a request after its outcome, when its connection is established only after the outcome.
#[test]
fn attempt_may_not_be_written_after_its_request_has_ended() {
    let (engine, transport) = test_engine(SECOND);
    list_one_backend(&engine);
    let response = engine.submit(incoming(SECOND)).expect("a new id");
    let command = transport.take_attempt();
    drop(response);
    assert!(!engine.may_write(command.attempt));
    assert_eq!(
        open_requests(&engine),
        (1, 1),
        "the attempt has not ended yet"
    );
    engine.attempt_ended(
        command.attempt,
        AttemptEnd::without_response(Outcome::NotSent),
    );
    assert_eq!(open_requests(&engine), (0, 0));
}

/// Guards against retrying a request whose client has already received part of a response.
#[test]
fn request_is_not_retried_once_its_response_has_started() {
    let (engine, transport) = test_engine(SECOND);
    engine.endpoints_updated(
        EndpointUpdate::Snapshot,
        &[
            discovered("s", EndpointState::InService),
            discovered("t", EndpointState::InService),
        ],
    );
    let response = engine.submit(incoming(SECOND)).expect("a new id");
    let command = transport.take_attempt();
    engine.response_started(command.attempt);
    // Not even after an outcome that would normally allow a retry.
    engine.attempt_ended(
        command.attempt,
        AttemptEnd::without_response(Outcome::ConnectFailed),
    );
    assert!(transport.attempts.borrow().is_empty());
    assert!(
        outcome_now(response).is_some_and(|outcome| !matches!(outcome, RequestOutcome::Served(_)))
    );
}

/// Guards against sending to a backend that began to drain or was removed while its connection was being established,
/// even within the grace period of the drain.
#[test]
fn attempt_may_not_be_written_once_its_backend_is_known_to_drain() {
    for (grace, state, expected) in [
        (60 * SECOND, EndpointState::InService, true),
        (60 * SECOND, EndpointState::Draining, false),
        (0, EndpointState::Draining, false),
        (60 * SECOND, EndpointState::Removed, false),
    ] {
        let (engine, transport) = test_engine(grace);
        list_one_backend(&engine);
        let _response = engine.submit(incoming(SECOND)).expect("a new id");
        let command = transport.take_attempt();
        engine.endpoints_updated(EndpointUpdate::Delta, &[discovered("s", state)]);
        assert_eq!(
            engine.may_write(command.attempt),
            expected,
            "{grace} {state:?}"
        );
        let idle_closures = transport.idle_closures.borrow();
        assert_eq!(*idle_closures, [command.backend; 2][..idle_closures.len()]);
        assert_eq!(
            idle_closures.is_empty(),
            expected,
            "a drain closes its idle connections"
        );
    }
}

/// Guards against a request that stays open indefinitely because its attempt never ends.
#[test]
fn request_that_the_balancer_leaves_open_fails_at_its_deadline() {
    let (engine, transport) = test_engine(SECOND);
    list_one_backend(&engine);
    // Long enough that the attempt starts within it, also on a machine that stalls for some milliseconds.
    let response = engine.submit(incoming(SECOND / 4)).expect("a new id");
    let command = transport.take_attempt();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let outcome = runtime.block_on(async {
        tokio::select! {
            outcome = response.into_outcome() => outcome,
            () = engine.run_timers() => unreachable!("run_timers never returns"),
        }
    });
    assert!(matches!(outcome, RequestOutcome::Failed));
    assert!(!engine.may_write(command.attempt));
}

/// Guards against a restarted backend that skips slow start, or that is reached over connections from before its
/// restart.
#[test]
fn restart_under_the_same_name_is_reported_and_closes_idle_connections() {
    let (engine, transport) = test_engine(SECOND);
    let started_at_ms = engine.clock().now() / 1_000_000 - 5;
    let mut driver = engine.driver.borrow_mut();
    let Driver {
        backends, names, ..
    } = &mut *driver;
    let at = ListTime {
        now: engine.clock().now(),
        wall_clock_lead: 0,
        is_first: true,
    };
    let first = backends
        .update(&discovered("s", EndpointState::InService), names, at)
        .expect("a new backend");
    assert_eq!(
        (first.endpoint.started_at, first.close_idle_connections),
        (None, false)
    );
    let restarted = DiscoveredEndpoint {
        started_at_ms,
        ..discovered("s", EndpointState::InService)
    };
    let second = backends
        .update(&restarted, names, at)
        .expect("an updated backend");
    assert_eq!(second.endpoint.backend, first.endpoint.backend);
    assert!(second.close_idle_connections);
    let age = driver.clock.now() - second.endpoint.started_at.expect("a start time");
    assert!((4_000_000..60 * SECOND).contains(&age), "{age}");
    assert!(transport.attempts.borrow().is_empty());
}

/// Guards against memory that grows with the number of backends and requests seen so far.
#[test]
fn churn_of_backends_and_requests_leaves_no_state_behind() {
    let (engine, transport) = test_engine(SECOND);
    for round in 0..20_000 {
        let name = format!("s-{round}");
        engine.endpoints_updated(
            EndpointUpdate::Delta,
            &[discovered(&name, EndpointState::InService)],
        );
        let response = engine.submit(incoming(SECOND)).expect("a new id");
        let command = transport.attempts.borrow_mut().pop();
        // Some clients disconnect, and some attempts end after their backend was removed.
        if round % 3 == 0 {
            drop(response);
        }
        engine.endpoints_updated(
            EndpointUpdate::Delta,
            &[discovered(&name, EndpointState::Removed)],
        );
        if let Some(command) = command {
            engine.attempt_ended(
                command.attempt,
                AttemptEnd::without_response(Outcome::Reset),
            );
        }
        transport.idle_closures.borrow_mut().clear();
    }
    engine.endpoints_updated(EndpointUpdate::Snapshot, &[]);
    let driver = engine.driver.borrow();
    let ids = &driver.client_request_ids;
    let reserved = ids.reserved.len();
    let open = driver.requests.len();
    assert_eq!(reserved, ids.recently_ended.len() + open);
    assert!(reserved <= MAX_RECENT_IDS + 1 + open, "{reserved}");
    assert!(driver.backends.is_empty());
    assert!(open <= 1, "{open} requests");
}

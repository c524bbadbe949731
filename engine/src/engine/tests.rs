//! The engine as its fronts see it, with a transport that keeps what it is asked to do.

use std::future::Future;
use std::task::{Context, Poll, Waker};

use badgerpost_balancer::{ClassId, EndpointState};

use super::*;
use crate::client_request_ids::MAX_RECENT_IDS;
use crate::timers::TimerPurpose;

mod any_order;

struct Plain;

impl Protocol for Plain {
    type Request = ();
    type Response = &'static str;
}

/// Keeps what it is asked to do.
#[derive(Default)]
struct Kept {
    attempts: RefCell<Vec<AttemptCommand<Plain>>>,
    retired: RefCell<Vec<BackendId>>,
}

impl Transport<Plain> for Kept {
    fn start_attempt(&self, _: &Engine<Plain>, command: AttemptCommand<Plain>) {
        self.attempts.borrow_mut().push(command);
    }

    fn close_idle_connections(&self, backend: BackendId) {
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
    let site = badgerpost_settings::read(&config).expect("settings");
    let kept = Rc::new(Kept::default());
    let node =
        Engine::new(site.settings, site.words, 7, Clock::system(), kept.clone()).expect("a node");
    (node, kept)
}

fn listed(uid: &str, stage: EndpointState) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        name: uid.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "a".to_owned(),
        machine_kind: "k".to_owned(),
        cell: 0,
        state: stage,
        size: 1.0,
        started_at_ms: 0,
    }
}

fn asked(budget: Nanos) -> IncomingRequest<Plain> {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let id = NEXT
        .fetch_add(1, std::sync::atomic::Ordering::Relaxed)
        .to_string()
        .into();
    IncomingRequest {
        id,
        class: ClassId(0),
        tenant: None,
        affinity_key: None,
        expected_work: None,
        is_retry: false,
        budget,
        payload: (),
    }
}

fn reply(waiting: PendingResponse<Plain>) -> Option<RequestOutcome<&'static str>> {
    let mut answer = std::pin::pin!(waiting.into_outcome());
    match answer
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()))
    {
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
    node.endpoints_updated(
        EndpointUpdate::Snapshot,
        &[listed("s", EndpointState::InService)],
    );
    let waiting = node.submit(asked(SECOND)).expect("a new id");
    let launch = kept.attempts.borrow_mut().pop().expect("an attempt");
    assert!(node.may_write(launch.attempt));
    let end = AttemptEnd {
        response: Some("paid"),
        ..AttemptEnd::bare(Outcome::Success)
    };
    node.attempt_ended(launch.attempt, end);
    assert!(matches!(
        reply(waiting),
        Some(RequestOutcome::Served("paid"))
    ));
    // A second end of the same attempt changes nothing.
    node.attempt_ended(launch.attempt, AttemptEnd::bare(Outcome::Reset));
    assert_eq!(open_requests(&node), (0, 0));
    assert!(
        !node
            .driver
            .borrow()
            .timers
            .any(|due| matches!(due, TimerPurpose::Backstop(_)))
    );
}

/// A connect can outlast its request: what is written after the answer would be a send too many.
#[test]
fn nothing_is_written_for_a_request_that_has_ended() {
    let (node, kept) = node(SECOND);
    node.endpoints_updated(
        EndpointUpdate::Snapshot,
        &[listed("s", EndpointState::InService)],
    );
    let waiting = node.submit(asked(SECOND)).expect("a new id");
    let launch = kept.attempts.borrow_mut().pop().expect("an attempt");
    drop(waiting);
    assert!(!node.may_write(launch.attempt));
    assert_eq!(
        open_requests(&node),
        (1, 1),
        "the attempt is still owed its end"
    );
    node.attempt_ended(launch.attempt, AttemptEnd::bare(Outcome::NotSent));
    assert_eq!(open_requests(&node), (0, 0));
}

/// Of a streamed answer the client has seen a part: whatever comes of it, no other backend is asked.
#[test]
fn what_has_started_to_be_answered_is_not_sent_again() {
    let (node, kept) = node(SECOND);
    node.endpoints_updated(
        EndpointUpdate::Snapshot,
        &[
            listed("s", EndpointState::InService),
            listed("t", EndpointState::InService),
        ],
    );
    let waiting = node.submit(asked(SECOND)).expect("a new id");
    let launch = kept.attempts.borrow_mut().pop().expect("an attempt");
    node.response_started(launch.attempt);
    // Not even after an end that tells that it never ran.
    node.attempt_ended(launch.attempt, AttemptEnd::bare(Outcome::ConnectFailed));
    assert!(kept.attempts.borrow().is_empty());
    assert!(reply(waiting).is_some_and(|reply| !matches!(reply, RequestOutcome::Served(_))));
}

/// A connect can outlast the grace of a backend that drains, and the backend's stay on the list.
#[test]
fn nothing_is_written_to_a_backend_past_its_grace() {
    for (grace, stage, may) in [
        (60 * SECOND, EndpointState::Draining, true),
        (0, EndpointState::Draining, false),
        (60 * SECOND, EndpointState::Removed, false),
    ] {
        let (node, kept) = node(grace);
        node.endpoints_updated(
            EndpointUpdate::Snapshot,
            &[listed("s", EndpointState::InService)],
        );
        let _waiting = node.submit(asked(SECOND)).expect("a new id");
        let launch = kept.attempts.borrow_mut().pop().expect("an attempt");
        node.endpoints_updated(EndpointUpdate::Delta, &[listed("s", stage)]);
        assert_eq!(node.may_write(launch.attempt), may, "{grace} {stage:?}");
        assert_eq!(
            *kept.retired.borrow(),
            [launch.backend; 2][..kept.retired.borrow().len()]
        );
        assert!(
            !kept.retired.borrow().is_empty(),
            "its idle connections are dropped"
        );
    }
}

/// The attempt never ends, so the module has nothing to go by: the driver answers at the client's end.
#[test]
fn a_request_that_the_module_leaves_open_fails_at_its_end() {
    let (node, kept) = node(SECOND);
    node.endpoints_updated(
        EndpointUpdate::Snapshot,
        &[listed("s", EndpointState::InService)],
    );
    let waiting = node.submit(asked(1_000_000)).expect("a new id");
    let launch = kept.attempts.borrow_mut().pop().expect("an attempt");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .expect("a runtime");
    let answer = runtime.block_on(async {
        tokio::select! {
            reply = waiting.into_outcome() => reply,
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
    });
    assert!(matches!(answer, RequestOutcome::Failed));
    assert!(!node.may_write(launch.attempt));
}

/// A restarted backend is cold again, by the node's own clock, and what stood open to its last life is dead.
#[test]
fn a_restart_under_the_same_name_is_told_and_drops_connections() {
    let (node, kept) = node(SECOND);
    let boot_ms = node.clock().now() / 1_000_000 - 5;
    let mut driver = node.driver.borrow_mut();
    let Driver {
        backends, names, ..
    } = &mut *driver;
    let first = backends
        .update(&listed("s", EndpointState::InService), names, 0)
        .expect("a new backend");
    assert_eq!(
        (first.endpoint.started_at, first.close_idle_connections),
        (None, false)
    );
    let again = DiscoveredEndpoint {
        started_at_ms: boot_ms,
        ..listed("s", EndpointState::InService)
    };
    let second = backends
        .update(&again, names, 0)
        .expect("an updated backend");
    assert_eq!(second.endpoint.backend, first.endpoint.backend);
    assert!(second.close_idle_connections);
    let age = driver.clock.now() - second.endpoint.started_at.expect("a start");
    assert!((4_000_000..60 * SECOND).contains(&age), "{age}");
    assert!(kept.attempts.borrow().is_empty());
}

/// What a long day brings: ever new backends, some at old addresses, and ever new ids. Nothing of them may
/// stay behind.
#[test]
fn nothing_is_left_of_a_day_of_churn() {
    let (node, kept) = node(SECOND);
    for round in 0..20_000 {
        let uid = format!("s-{round}");
        node.endpoints_updated(
            EndpointUpdate::Delta,
            &[listed(&uid, EndpointState::InService)],
        );
        let waiting = node.submit(asked(SECOND)).expect("a new id");
        let launch = kept.attempts.borrow_mut().pop();
        // Some clients go, some attempts end after their backend has left the list.
        if round % 3 == 0 {
            drop(waiting);
        }
        node.endpoints_updated(
            EndpointUpdate::Delta,
            &[listed(&uid, EndpointState::Removed)],
        );
        if let Some(launch) = launch {
            node.attempt_ended(launch.attempt, AttemptEnd::bare(Outcome::Reset));
        }
        kept.retired.borrow_mut().clear();
    }
    node.endpoints_updated(EndpointUpdate::Snapshot, &[]);
    let driver = node.driver.borrow();
    let names = driver.client_request_ids.reserved.len();
    assert_eq!(
        names,
        driver.client_request_ids.recently_ended.len() + driver.requests.len()
    );
    assert!(
        names <= MAX_RECENT_IDS + 1 + driver.requests.len(),
        "{names}"
    );
    assert_eq!(driver.backends.counts(), (0, 0));
    assert!(
        driver.requests.len() <= 1,
        "{} requests",
        driver.requests.len()
    );
}

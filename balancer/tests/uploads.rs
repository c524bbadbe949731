//! Requests whose body is still on the way: when their time begins, what counts as load, and when they may be retried.

mod common;
use badgerpost_balancer::*;
use common::*;

fn upload(node: &mut Node) -> (RequestId, Vec<Action>) {
    let request = RequestId(node.next);
    node.next += 1;
    // The body may take this long; the client's time has not begun.
    let expires_at = node.now + 3600 * SECOND;
    let arrival = RequestArrival {
        request,
        class: ClassId(0),
        affinity_key: None,
        expected_service_time: None,
        is_retry: false,
        tenant: None,
        expires_at,
    };
    (request, node.handle(Event::UploadStarted(arrival)))
}

fn two(idempotency: Idempotency) -> Node {
    Node::new(settings(idempotency), vec![endpoint(0, 0), endpoint(1, 0)])
}

#[test]
fn an_upload_that_never_got_further_goes_elsewhere() {
    let mut node = two(Idempotency::NonIdempotent);
    let (request, actions) = upload(&mut node);
    let first = first_send(&actions).expect("it is sent while its body comes");
    let again = node.end_attempt(request, 0, Outcome::ConnectFailed, LoadReport::default());
    assert_ne!(first_send(&again), Some(first));
    assert!(first_send(&again).is_some(), "nothing of it is lost");
}

#[test]
fn a_partly_consumed_upload_is_rejected_if_it_never_ran_and_fails_otherwise() {
    for (outcome, may_reject) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::Reset, false),
    ] {
        let mut node = two(Idempotency::NonIdempotent);
        let (request, _) = upload(&mut node);
        node.handle(Event::BodyConsumed { request });
        let end = node.end_attempt(request, 0, outcome, LoadReport::default());
        assert_eq!(first_send(&end), None, "{outcome:?}");
        assert_eq!(
            (has_rejection(&end), has_failure(&end)),
            (may_reject, !may_reject),
            "{outcome:?}"
        );
    }
    // Idempotent, but its body can't be sent again.
    let mut node = two(Idempotency::Idempotent);
    let (request, _) = upload(&mut node);
    node.handle(Event::BodyConsumed { request });
    assert!(has_rejection(&node.end_attempt(
        request,
        0,
        Outcome::Error,
        LoadReport::default()
    )));
}

/// Bodies that arrive slowly must not cause rejections of others: no server works on them yet.
#[test]
fn a_body_on_its_way_is_no_load() {
    let send_beside_uploads = |are_complete: bool| {
        let mut node = Node::new(settings(Idempotency::Idempotent), vec![endpoint(0, 0)]);
        for _ in 0..50 {
            let (request, _) = upload(&mut node);
            if are_complete {
                let expires_at = node.now + SECOND;
                node.handle(Event::UploadComplete {
                    request,
                    expires_at,
                });
            }
        }
        first_send(&node.arrive(SECOND).1)
    };
    assert_eq!(send_beside_uploads(false), Some(BackendId(0)));
    assert_eq!(send_beside_uploads(true), None, "complete ones are load");
}

/// The client's time runs from the last byte, so a slow upload does not expire.
#[test]
fn the_time_of_an_upload_begins_with_its_last_byte() {
    let mut node = two(Idempotency::Idempotent);
    let (request, _) = upload(&mut node);
    let slow = node.advance(20 * SECOND);
    assert!(
        !has_rejection(&slow) && !has_failure(&slow),
        "its body is on the way"
    );
    let expires_at = node.now + SECOND;
    node.handle(Event::UploadComplete {
        request,
        expires_at,
    });
    let again = node.end_attempt(request, 0, Outcome::Rejected, LoadReport::default());
    assert!(first_send(&again).is_some(), "all of its time is left");
}

/// Without a backend it is rejected while a rejection is early, not when the body would have had to be complete.
#[test]
fn an_upload_that_no_backend_takes_is_rejected_in_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), vec![]);
    let (_, actions) = upload(&mut node);
    assert_eq!(first_send(&actions), None);
    assert!(
        has_rejection(&node.advance(510 * MILLISECOND)),
        "half of the class's deadline"
    );
}

/// A server that breaks off its answers is an outlier like one that resets connections.
#[test]
fn a_server_whose_answers_break_off_is_ejected() {
    let endpoints = (0..3).map(|backend| endpoint(backend, 0)).collect();
    let mut node = Node::new(settings(Idempotency::Idempotent), endpoints);
    node.serve_requests(60, |_| utilization_report(0.3));
    let actions: Vec<Action> = (0..8)
        .flat_map(|_| {
            node.handle(Event::ResponseAborted {
                backend: BackendId(0),
            })
        })
        .collect();
    let ejected = |action: &Action| {
        matches!(
            action,
            Action::Log(LogEvent::Ejected {
                backend: BackendId(0),
                ..
            })
        )
    };
    assert!(actions.iter().any(ejected), "{actions:?}");
}

/// A node whose only backend warms up; an hour long, so that its budget stays the same.
fn one_warming_backend() -> Node {
    let mut settings = Settings {
        node_count: 1,
        ..settings(Idempotency::Idempotent)
    };
    settings.rules.slow_start_capacity = 0.15;
    settings.rules.slow_start_duration = 3600 * SECOND;
    settings.rules.overload_multiple = 2.5;
    settings.rules.overload_window = 1500 * MILLISECOND;
    let warm = (1..4).map(|backend| endpoint(backend, 0));
    let mut node = Node::new(settings, warm.collect());
    node.serve_requests(400, |_| utilization_report(0.5));
    let warming = Endpoint {
        started_at: Some(node.now),
        ..endpoint(0, 0)
    };
    // The others leave, so that all goes to this one.
    node.update_endpoints(EndpointUpdate::Snapshot, vec![warming]);
    node
}

fn complete(node: &mut Node, request: RequestId) {
    let expires_at = node.now + SECOND;
    node.handle(Event::UploadComplete {
        request,
        expires_at,
    });
}

/// How many requests of this kind the warming backend is sent in one window.
fn sent_in_a_window(
    node: &mut Node,
    mut send: impl FnMut(&mut Node) -> (RequestId, Vec<Action>),
) -> usize {
    let mut sent = 0;
    for _ in 0..100 {
        let (request, actions) = send(node);
        if first_send(&actions).is_none() {
            return sent;
        }
        sent += 1;
        node.end_attempt(request, 0, Outcome::Success, LoadReport::default());
    }
    sent
}

/// The work of an upload was charged when it was sent and again when its body was complete: a server that warms up got
/// half of what it bears.
#[test]
fn an_upload_takes_as_much_of_a_slow_start_budget_as_another_request() {
    let plain = sent_in_a_window(&mut one_warming_backend(), |node| node.arrive(SECOND));
    let uploaded = sent_in_a_window(&mut one_warming_backend(), |node| {
        let (request, actions) = upload(node);
        complete(node, request);
        (request, actions)
    });
    assert!(plain >= 4, "{plain}");
    assert_eq!(uploaded, plain);
}

/// Bodies that are on their way for longer than a window would all be complete in another one.
#[test]
fn an_upload_on_its_way_keeps_its_part_of_the_slow_start_budget() {
    let mut node = one_warming_backend();
    let mut under_way = Vec::new();
    loop {
        let (request, actions) = upload(&mut node);
        if first_send(&actions).is_none() {
            break;
        }
        under_way.push(request);
    }
    node.advance(2 * SECOND);
    assert_eq!(first_send(&node.arrive(SECOND).1), None);
    // One that breaks off never was any work: what waits goes out instead.
    let mut sent = Vec::new();
    for request in &under_way {
        node.handle(Event::BodyConsumed { request: *request });
        let actions = node.end_attempt(*request, 0, Outcome::NotSent, LoadReport::default());
        sent.extend(sends(&actions));
    }
    assert!(!sent.is_empty());
}

//! Uploads whose body has not arrived in full: when the client's timeout starts, what counts as load, and when an
//! upload may be retried.

mod common;
use badgerpost_balancer::*;
use common::*;

fn upload(node: &mut Node) -> (RequestId, Vec<Action>) {
    let request = RequestId(node.next_request_id);
    node.next_request_id += 1;
    // The time allowed for the body; the client's timeout starts with its last byte.
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

fn node_with_two_backends(idempotency: Idempotency) -> Node {
    Node::new(settings(idempotency), vec![endpoint(0, 0), endpoint(1, 0)])
}

#[test]
fn an_upload_is_retried_at_another_backend_if_no_connection_was_made() {
    let mut node = node_with_two_backends(Idempotency::NonIdempotent);
    let (request, actions) = upload(&mut node);
    let first = first_send(&actions).expect("the upload is sent before its body is complete");
    let retry = node.end_attempt(request, 0, Outcome::ConnectFailed, LoadReport::default());
    assert_ne!(first_send(&retry), Some(first));
    assert!(
        first_send(&retry).is_some(),
        "no part of the body was consumed"
    );
}

#[test]
fn a_partly_consumed_upload_is_rejected_if_it_never_ran_and_fails_otherwise() {
    for (outcome, may_reject) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::Reset, false),
    ] {
        let mut node = node_with_two_backends(Idempotency::NonIdempotent);
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
    // The request is idempotent, but its body can't be sent again.
    let mut node = node_with_two_backends(Idempotency::Idempotent);
    let (request, _) = upload(&mut node);
    node.handle(Event::BodyConsumed { request });
    assert!(has_rejection(&node.end_attempt(
        request,
        0,
        Outcome::Error,
        LoadReport::default()
    )));
}

/// Guards against rejecting other requests because of slow uploads, on which no backend works yet.
#[test]
fn an_incomplete_upload_does_not_count_as_load() {
    let send_during_uploads = |are_complete: bool| {
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
    assert_eq!(send_during_uploads(false), Some(BackendId(0)));
    assert_eq!(
        send_during_uploads(true),
        None,
        "complete uploads count as load"
    );
}

/// Guards against slow uploads that expire before the body is complete.
#[test]
fn the_client_timeout_of_an_upload_starts_with_the_last_byte() {
    let mut node = node_with_two_backends(Idempotency::Idempotent);
    let (request, _) = upload(&mut node);
    let during_upload = node.advance(20 * SECOND);
    assert!(
        !has_rejection(&during_upload) && !has_failure(&during_upload),
        "an upload must not expire before its body is complete"
    );
    let expires_at = node.now + SECOND;
    node.handle(Event::UploadComplete {
        request,
        expires_at,
    });
    let retry = node.end_attempt(request, 0, Outcome::Rejected, LoadReport::default());
    assert!(
        first_send(&retry).is_some(),
        "the whole client timeout is left"
    );
}

/// Guards against a rejection that comes only when the time allowed for the body has passed.
#[test]
fn an_upload_without_a_backend_is_rejected_in_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), vec![]);
    let (_, actions) = upload(&mut node);
    assert_eq!(first_send(&actions), None);
    assert!(
        has_rejection(&node.advance(510 * MILLISECOND)),
        "half of the class's deadline"
    );
}

#[test]
fn a_backend_that_aborts_responses_is_ejected() {
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
    let is_ejection = |action: &Action| {
        matches!(
            action,
            Action::Log(LogEvent::Ejected {
                backend: BackendId(0),
                ..
            })
        )
    };
    assert!(actions.iter().any(is_ejection), "{actions:?}");
}

/// A node whose only backend is warming. Slow start takes an hour, so that the budget stays the same.
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
    // The other backends are removed, so that all requests go to the warming one.
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

/// Number of requests that the warming backend gets in one window. `send` lets a request arrive.
fn count_sends_in_a_window(
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

/// Guards against charging an upload to the slow-start budget twice, when it is sent and when its body is complete.
#[test]
fn an_upload_takes_as_much_of_a_slow_start_budget_as_another_request() {
    let plain = count_sends_in_a_window(&mut one_warming_backend(), |node| node.arrive(SECOND));
    let uploaded = count_sends_in_a_window(&mut one_warming_backend(), |node| {
        let (request, actions) = upload(node);
        complete(node, request);
        (request, actions)
    });
    assert!(plain >= 4, "{plain} requests sent");
    assert_eq!(uploaded, plain);
}

/// Guards against uploads that last longer than a window, lose their part of the budget, and are all completed in a
/// later one.
#[test]
fn an_incomplete_upload_keeps_its_part_of_the_slow_start_budget() {
    let mut node = one_warming_backend();
    let mut incomplete = Vec::new();
    loop {
        let (request, actions) = upload(&mut node);
        if first_send(&actions).is_none() {
            break;
        }
        incomplete.push(request);
    }
    node.advance(2 * SECOND);
    assert_eq!(first_send(&node.arrive(SECOND).1), None);
    // An aborted upload returns its part of the budget, so that queued requests are sent instead.
    let mut sent = Vec::new();
    for request in &incomplete {
        node.handle(Event::BodyConsumed { request: *request });
        let actions = node.end_attempt(*request, 0, Outcome::NotSent, LoadReport::default());
        sent.extend(sends(&actions));
    }
    assert!(!sent.is_empty());
}

//! Requests whose body is still on the way: when their time begins, what counts as load, and when they may go again.

mod common;
use badgerpost_balancer::*;
use common::*;

fn upload(node: &mut Node) -> (RequestId, Vec<Action>) {
    let request = RequestId(node.next);
    node.next += 1;
    // How long the body may take; its client's time is not known yet.
    let not_after = node.now + 3600 * SECOND;
    let arrival = RequestArrival {
        request,
        class: ClassId(0),
        affinity_key: None,
        expected_service_time: None,
        is_retry: false,
        tenant: None,
        expires_at: not_after,
    };
    (request, node.tell(Event::UploadStarted(arrival)))
}

fn two(effect: Idempotency) -> Node {
    Node::new(settings(effect), vec![member(0, 0), member(1, 0)])
}

#[test]
fn an_upload_that_never_got_further_goes_elsewhere() {
    let mut node = two(Idempotency::NonIdempotent);
    let (request, actions) = upload(&mut node);
    let first = sent(&actions).expect("it is sent while its body comes");
    let again = node.settle(request, 0, Outcome::ConnectFailed, LoadReport::default());
    assert_ne!(sent(&again), Some(first));
    assert!(sent(&again).is_some(), "nothing of it is lost");
}

#[test]
fn a_partly_consumed_upload_is_rejected_if_it_never_ran_and_fails_otherwise() {
    for (outcome, harmless) in [
        (Outcome::ConnectFailed, true),
        (Outcome::Rejected, true),
        (Outcome::Reset, false),
    ] {
        let mut node = two(Idempotency::NonIdempotent);
        let (request, _) = upload(&mut node);
        node.tell(Event::BodyConsumed { request });
        let end = node.settle(request, 0, outcome, LoadReport::default());
        assert_eq!(sent(&end), None, "{outcome:?}");
        assert_eq!(
            (refused(&end), failed(&end)),
            (harmless, !harmless),
            "{outcome:?}"
        );
    }
    // Safe to repeat, but there is nothing to repeat it with.
    let mut node = two(Idempotency::Idempotent);
    let (request, _) = upload(&mut node);
    node.tell(Event::BodyConsumed { request });
    assert!(refused(&node.settle(
        request,
        0,
        Outcome::Error,
        LoadReport::default()
    )));
}

/// Guards against refusing others for the sake of bodies that trickle in: no server works on these yet.
#[test]
fn a_body_on_its_way_is_no_load() {
    let busy = |whole: bool| {
        let mut node = Node::new(settings(Idempotency::Idempotent), vec![member(0, 0)]);
        for _ in 0..50 {
            let (request, _) = upload(&mut node);
            if whole {
                let not_after = node.now + SECOND;
                node.tell(Event::UploadComplete {
                    request,
                    expires_at: not_after,
                });
            }
        }
        sent(&node.ask(SECOND).1)
    };
    assert_eq!(busy(false), Some(BackendId(0)));
    assert_eq!(busy(true), None, "once they are whole they are");
}

/// A client's time runs from the last byte, so a slow one is not told that its time is up.
#[test]
fn its_time_begins_with_its_last_byte() {
    let mut node = two(Idempotency::Idempotent);
    let (request, _) = upload(&mut node);
    let slow = node.pass(20 * SECOND);
    assert!(!refused(&slow) && !failed(&slow), "it is on its way");
    let not_after = node.now + SECOND;
    node.tell(Event::UploadComplete {
        request,
        expires_at: not_after,
    });
    let again = node.settle(request, 0, Outcome::Rejected, LoadReport::default());
    assert!(sent(&again).is_some(), "all of its time is left");
}

/// Nobody can take it: it is refused while a refusal is early, not when the body would have had to be whole.
#[test]
fn an_upload_that_no_backend_takes_is_rejected_in_time() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), vec![]);
    let (_, actions) = upload(&mut node);
    assert_eq!(sent(&actions), None);
    assert!(
        refused(&node.pass(510 * MILLISECOND)),
        "half of the class's deadline"
    );
}

/// A server whose answers break off in their midst is an outlier as one that resets.
#[test]
fn a_server_whose_answers_break_off_is_ejected() {
    let members = (0..3).map(|backend| member(backend, 0)).collect();
    let mut node = Node::new(settings(Idempotency::Idempotent), members);
    node.serve(60, |_| util(0.3));
    let told: Vec<Action> = (0..8)
        .flat_map(|_| {
            node.tell(Event::ResponseAborted {
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
    assert!(told.iter().any(ejected), "{told:?}");
}

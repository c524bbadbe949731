use super::*;

const HEAD: FramingEvent = FramingEvent::HeadComplete(Ok(()));

/// A queue that has recorded these events at the given times.
fn recorded(events: &[(FramingEvent, Nanos)]) -> RequestQueue {
    let mut queue = RequestQueue::default();
    for (event, now) in events {
        queue.record(*event, *now);
    }
    queue
}

#[test]
fn each_request_has_the_time_of_its_own_last_byte() {
    let mut queue = RequestQueue::default();
    for number in 1..=3 {
        queue.record(FramingEvent::Started, 10 * number);
        queue.record(HEAD, 10 * number);
        queue.record(FramingEvent::MessageComplete, 10 * number + 5);
    }
    for number in 1..=3 {
        assert!(queue.has_next());
        assert_eq!(queue.advance(), Ok(()));
        assert_eq!(queue.completed_at(), Some(10 * number + 5));
    }
    assert!(!queue.has_next());
}

#[test]
fn a_request_is_complete_only_after_the_last_byte_of_its_body() {
    let mut queue = recorded(&[(FramingEvent::Started, 1), (HEAD, 2)]);
    assert_eq!(queue.advance(), Ok(()));
    assert_eq!(queue.completed_at(), None);
    queue.record(FramingEvent::MessageComplete, 9);
    assert_eq!(queue.completed_at(), Some(9));
    queue.record(FramingEvent::Started, 11);
    queue.record(HEAD, 12);
    assert_eq!(queue.advance(), Ok(()));
    assert_eq!(
        queue.completed_at(),
        None,
        "only the previous request is complete"
    );
}

#[test]
fn incomplete_since_is_set_only_while_the_next_request_is_incomplete() {
    let mut queue = recorded(&[(FramingEvent::Started, 1), (HEAD, 1)]);
    assert_eq!(queue.incomplete_since(), Some(1));
    assert_eq!(queue.advance(), Ok(()));
    assert_eq!(queue.incomplete_since(), None);
    queue.record(FramingEvent::MessageComplete, 2);
    queue.record(FramingEvent::Started, 3);
    assert_eq!(queue.incomplete_since(), Some(3));
    queue.record(HEAD, 4);
    queue.record(FramingEvent::MessageComplete, 4);
    assert_eq!(queue.incomplete_since(), None, "the request is complete");
    queue.record(FramingEvent::Started, 5);
    assert_eq!(
        queue.incomplete_since(),
        None,
        "another request is ahead of the incomplete one"
    );
}

#[test]
fn the_queue_stays_bounded_with_more_requests_than_are_tracked() {
    let mut queue = RequestQueue::default();
    for _ in 0..5 * MAX_PIPELINED_REQUESTS {
        queue.record(FramingEvent::Started, 1);
        queue.record(HEAD, 1);
        queue.record(FramingEvent::MessageComplete, 1);
    }
    assert!(
        queue.head_results.len() <= MAX_PIPELINED_REQUESTS
            && queue.completed_at.len() <= MAX_PIPELINED_REQUESTS
    );
}

use badgerpost_time::MILLISECOND;

use super::*;

const MEGABYTE: u64 = 1024 * 1024;

fn at(milliseconds: u64) -> Nanos {
    milliseconds * MILLISECOND
}

/// Guards against counting the time of a client that certainly has more to send than its system can hold.
#[test]
fn a_client_with_more_than_a_send_buffer_left_has_not_sent_all() {
    let mut time = SendTime::default();
    time.record(at(10), MEGABYTE, Some(10 * MEGABYTE), 0);
    assert_eq!(time.sent_since(), None);
    time.record(at(20), 6 * MEGABYTE, Some(10 * MEGABYTE), 0);
    time.record(at(30), 7 * MEGABYTE, Some(10 * MEGABYTE), 0);
    assert_eq!(time.sent_since(), Some(at(20)));
}

/// Guards against counting from the last byte that the node reads although the client has sent it long before.
#[test]
fn without_a_length_the_time_counts_from_the_last_send_buffer_that_arrived() {
    let mut time = SendTime::default();
    for step in 1..=10 {
        time.record(at(step * 10), step * MEGABYTE, None, 0);
    }
    assert_eq!(time.sent_since(), Some(at(60)));
}

/// Guards against counting the time of a client that sends slowly.
#[test]
fn a_wait_for_the_client_starts_the_estimate_again() {
    let mut time = SendTime::default();
    time.record(at(10), MEGABYTE, None, 0);
    time.record(at(30), MEGABYTE, None, at(20));
    assert_eq!(time.sent_since(), Some(at(30)));
}

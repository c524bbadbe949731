use badgerpost_time::MILLISECOND;

use super::*;

const MS: Nanos = MILLISECOND;

/// A state in which `received_bytes` bytes of a body have arrived. The head was parsed at time 0.
fn reading_body(received_bytes: u64) -> ConnectionState {
    ConnectionState::ReadingHead { started_at: 0 }
        .head_parsed(0, 0)
        .bytes_received(0, received_bytes)
}

#[test]
fn the_first_head_is_timed_from_the_accept_and_later_ones_from_their_first_byte() {
    let accepted = ConnectionState::New { accepted_at: 0 };
    let first = accepted.bytes_received(400 * MS, 1);
    assert_eq!(first, ConnectionState::ReadingHead { started_at: 0 });
    assert_eq!(first.times_out_at(400 * MS), Some(2500 * MS));
    assert_eq!(
        first.bytes_received(900 * MS, 1),
        first,
        "further bytes do not extend the time limit"
    );
    let idle = ConnectionState::Idle { since: 0 };
    let later = idle.bytes_received(400 * MS, 1);
    assert_eq!(later.times_out_at(400 * MS), Some(2900 * MS));
}

#[test]
fn a_body_times_out_by_its_rate_or_when_it_stalls() {
    let slow = reading_body(64 * 1024);
    assert_eq!(slow.body_time_at_lowest_rate(), 2 * SECOND);
    assert_eq!(
        slow.body_deadline(1900 * MS),
        Some(4200 * MS),
        "stall timeout"
    );
    assert_eq!(
        slow.body_deadline(2100 * MS),
        Some(4300 * MS),
        "minimum rate"
    );
    assert_eq!(slow.times_out_at(2100 * MS), Some(4500 * MS));
    assert_eq!(slow.upload_submitted().times_out_at(0), None);
}

#[test]
fn a_pipelined_body_is_timed_from_the_processing_of_its_head() {
    let sending = ConnectionState::Sending {
        last_progress_at: 0,
    };
    let body = sending.head_parsed(700 * MS, 100 * MS);
    assert_eq!(body.body_deadline(800 * MS), Some(3000 * MS));
    let alone = ConnectionState::ReadingHead { started_at: 0 };
    let body = alone.head_parsed(700 * MS, 100 * MS);
    assert_eq!(body.body_deadline(800 * MS), Some(2400 * MS));
}

#[test]
fn each_phase_has_its_time_limit() {
    let since = 5 * SECOND;
    let limits = [
        (ConnectionState::New { accepted_at: since }, Some(2500)),
        (ConnectionState::AwaitingResponse, None),
        (
            ConnectionState::Streaming {
                last_progress_at: since,
            },
            Some(30_000),
        ),
        (
            ConnectionState::Sending {
                last_progress_at: since,
            },
            Some(30_000),
        ),
        (ConnectionState::Idle { since }, Some(10_000)),
        (ConnectionState::Closing { since }, Some(500)),
        (
            ConnectionState::LingeringClose {
                since,
                received_bytes: 0,
            },
            Some(1500),
        ),
    ];
    for (state, limit) in limits {
        let expected = limit.map(|limit| since + limit * MS);
        assert_eq!(state.times_out_at(since), expected, "{state:?}");
    }
}

#[test]
fn only_a_connection_with_no_parsed_request_times_out_gracefully() {
    let gracefully = |state: ConnectionState| state.times_out_gracefully();
    assert!(gracefully(ConnectionState::New { accepted_at: 0 }));
    assert!(gracefully(ConnectionState::ReadingHead { started_at: 0 }));
    assert!(gracefully(ConnectionState::Idle { since: 0 }));
    assert!(!gracefully(reading_body(1)));
    assert!(!gracefully(ConnectionState::Sending {
        last_progress_at: 0,
    }));
    assert!(!gracefully(ConnectionState::Closing { since: 0 }));
}

#[test]
fn a_streamed_response_is_timed_from_its_last_progress() {
    let streaming = ConnectionState::Streaming {
        last_progress_at: 0,
    };
    for moved in [
        streaming.bytes_sent(2 * SECOND),
        streaming.bytes_received(2 * SECOND, 9),
    ] {
        assert_eq!(moved.times_out_at(0), Some(32 * SECOND));
        assert_eq!(
            moved.response_started(3 * SECOND),
            moved,
            "the response is still streaming"
        );
    }
}

/// Guards against cutting off the last bytes of a response whose client reads slowly: the time limit counted from the
/// moment at which the response was available as a whole.
#[test]
fn a_complete_response_is_timed_from_its_last_progress() {
    let streaming = ConnectionState::Streaming {
        last_progress_at: 0,
    };
    let ended = streaming.stream_ended(4 * SECOND);
    let whole = ConnectionState::AwaitingResponse.response_started(4 * SECOND);
    for sending in [ended, whole] {
        assert!(sending.is_sending());
        assert_eq!(sending.times_out_at(0), Some(34 * SECOND));
        let moved = sending.bytes_sent(20 * SECOND);
        assert!(moved.is_sending());
        assert_eq!(moved.times_out_at(0), Some(50 * SECOND));
        assert_eq!(
            moved.bytes_received(25 * SECOND, 9),
            moved,
            "what the client sends is no progress of the response"
        );
    }
}

/// Guards against a reset, which destroys the response, while a client still sends its body at a regular rate.
#[test]
fn a_lingering_close_lasts_as_long_as_the_client_sends_at_the_lowest_rate() {
    let lingering = ConnectionState::LingeringClose {
        since: 0,
        received_bytes: 0,
    };
    let now = 100 * SECOND;
    // A client that sends little is closed after 30 s, whatever came last.
    let slow = lingering.bytes_received(now, 1024);
    assert_eq!(slow.times_out_at(now), Some(30 * SECOND + SECOND / 32));
    let regular = lingering.bytes_received(now, 80 * 32 * 1024);
    assert_eq!(regular.times_out_at(now), Some(now + 1500 * MS));
    let endless = lingering.bytes_received(now, u64::MAX);
    assert_eq!(endless.times_out_at(4000 * SECOND), Some(3600 * SECOND));
}

#[test]
fn a_connection_is_idle_after_a_response_unless_the_next_request_has_begun() {
    let sending = ConnectionState::Sending {
        last_progress_at: 0,
    };
    assert_eq!(sending.flushed(9, None), ConnectionState::Idle { since: 9 });
    assert_eq!(
        sending.flushed(9, Some(4)),
        ConnectionState::ReadingHead { started_at: 4 }
    );
    let waiting = ConnectionState::AwaitingResponse;
    assert_eq!(waiting.flushed(9, Some(4)), waiting);
}

#[test]
fn connections_are_evicted_by_class_and_then_by_age() {
    let now = 10 * SECOND;
    let in_order = [
        ConnectionState::LingeringClose {
            since: 0,
            received_bytes: 0,
        },
        ConnectionState::Closing { since: now },
        ConnectionState::New {
            accepted_at: now - 20 * MS,
        },
        ConnectionState::Idle {
            since: now - 300 * MS,
        },
        ConnectionState::Idle {
            since: now - 200 * MS,
        },
        ConnectionState::ReadingHead { started_at: 0 },
    ];
    let ranks = in_order.map(|state| state.eviction_rank(now, now - 500 * MS));
    assert!(ranks.iter().all(Option::is_some), "{ranks:?}");
    assert!(ranks.is_sorted(), "{ranks:?}");
}

#[test]
fn a_connection_is_not_evicted_with_a_request_on_it_or_below_its_minimum_age() {
    let now = 10 * SECOND;
    let kept = [
        ConnectionState::New {
            accepted_at: now - 19 * MS,
        },
        ConnectionState::Idle {
            since: now - 199 * MS,
        },
        reading_body(1).backend_blocked(true),
        ConnectionState::AwaitingResponse,
        ConnectionState::Streaming {
            last_progress_at: 0,
        },
        ConnectionState::Sending {
            last_progress_at: 0,
        },
    ];
    for state in kept {
        assert_eq!(state.eviction_rank(now, 0), None, "{state:?}");
    }
    let stalled = ConnectionState::ReadingHead { started_at: 0 };
    assert_eq!(stalled.eviction_rank(now, now - 499 * MS), None);
    assert!(reading_body(1).eviction_rank(now, now - 500 * MS).is_some());
}

#[test]
fn a_request_awaits_its_response_from_its_submission_on() {
    let body = reading_body(1);
    assert!(!body.awaits_response());
    assert!(body.upload_submitted().awaits_response());
    assert!(ConnectionState::AwaitingResponse.awaits_response());
    assert!(
        !ConnectionState::Sending {
            last_progress_at: 0,
        }
        .awaits_response()
    );
}

//! Property tests with random orders of events.

use proptest::prelude::*;

use super::support::{SessionFixture, bind_execute, flush, parse, query, sync};
use crate::frame::{Frame, FrameDecoder};
use crate::session::server_link::ServerLink;
use crate::session::{BufferLimits, Event};

#[derive(Clone, Debug)]
enum Step {
    Send(u8),
    Attach,
    Lose,
    Fail,
    Reject,
    /// Sets whether the next server sends no responses.
    Silence(bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let one = prop_oneof![
        6 => (0_u8..9).prop_map(Step::Send),
        4 => Just(Step::Attach),
        1 => Just(Step::Lose),
        2 => Just(Step::Fail),
        1 => Just(Step::Reject),
        1 => any::<bool>().prop_map(Step::Silence),
    ];
    proptest::collection::vec(one, 1..60)
}

proptest! {
    /// The fixture also asserts that nothing is sent without a server and that no server is released in a transaction.
    #[test]
    fn each_batch_gets_one_ready_for_query_in_any_order_of_events(steps in steps()) {
        let mut fixture = SessionFixture::new();
        let mut batches_sent = 0;
        for step in steps {
            match step {
                Step::Send(number) => {
                    let messages: Vec<Frame> = match number {
                        0 => query("select 1"),
                        1 => query("begin"),
                        2 => query("commit"),
                        3 => query("rollback"),
                        4 => query("fail"),
                        5 => [parse("s", "select 2"), bind_execute("s"), sync()].concat(),
                        6 => [bind_execute("s"), sync()].concat(),
                        7 => [parse("", "commit"), bind_execute(""), sync()].concat(),
                        _ => sync(),
                    };
                    batches_sent += 1;
                    fixture.client(&[messages]);
                }
                Step::Attach if fixture.has_requested_server() => fixture.attach(),
                Step::Lose if fixture.server.is_some() => fixture.lose_server(),
                Step::Fail => fixture.handle(Event::RequestFailed),
                Step::Reject => fixture.handle(Event::Rejected { retry_after_ms: 1 }),
                Step::Silence(silent) if fixture.server.is_none() => fixture.server_answers = !silent,
                _ => {}
            }
        }
        // Answer or fail all pending batches.
        for _ in 0..200 {
            if fixture.session.batches.is_empty() {
                break;
            }
            if fixture.server.is_some() && !fixture.server_answers {
                fixture.lose_server();
            }
            fixture.server_answers = true;
            match fixture.session.server_link {
                ServerLink::Requested { is_replacement: true } => fixture.handle(Event::RequestFailed),
                ServerLink::Requested { is_replacement: false } => fixture.attach(),
                ServerLink::None | ServerLink::Attached(_) => {}
            }
        }
        let responses = fixture.responses();
        let ends = responses.split(' ').filter(|tag| tag.starts_with('Z')).count();
        prop_assert_eq!(ends, batches_sent, "{}", responses);
        prop_assert!(!fixture.ended);
        prop_assert_eq!(fixture.session.buffered_bytes, 0);
    }

    /// Guards against a state in which the client waits for the session and the session for the client, after any loss at
    /// any message: messages before a `Flush` or the end of a batch are sent or answered, or a server is requested for them.
    #[test]
    fn messages_that_are_ready_never_wait_for_the_client(
        steps in proptest::collection::vec((0_u8..14, 0_u8..6), 1..40),
        limit in 1_usize..8,
    ) {
        let limits = BufferLimits { bytes: usize::MAX, messages: limit };
        let mut fixture = SessionFixture::with_buffer_limits(limits);
        for (number, event) in steps {
            let messages: Vec<Frame> = match number {
                0 => query("begin"),
                1 => query("insert"),
                2 => query("rollback and chain"),
                3 => query("commit"),
                4 => parse("", "insert"),
                5 => parse("r", "rollback"),
                6 => parse("", "begin"),
                7 => parse("c", "commit and chain"),
                8 => bind_execute(""),
                9 => bind_execute("r"),
                10 => bind_execute("c"),
                11 | 12 => flush(),
                _ => sync(),
            };
            if fixture.ended {
                break;
            }
            if fixture.session.accepts_client_messages() {
                fixture.client(&[messages]);
            }
            match event {
                0 if fixture.server.is_some() => fixture.lose_server(),
                1 => fixture.handle(Event::RequestFailed),
                2 => fixture.handle(Event::Rejected { retry_after_ms: 1 }),
                _ if fixture.has_requested_server() => fixture.attach(),
                _ => {}
            }
            let session = &fixture.session;
            let unsent = session.batches.front().map_or(0, |batch| batch.ready_count() - batch.sent_count);
            prop_assert!(
                unsent == 0 || fixture.has_requested_server() || fixture.ended,
                "{} messages wait: {:?}", unsent, session
            );
            prop_assert!(
                session.accepts_client_messages() || fixture.has_requested_server() || fixture.server.is_some() || fixture.ended,
                "nothing is read: {:?}", session
            );
        }
    }

    /// Guards against servers that are released with an unfinished batch or transaction, whatever message the client
    /// sent last. The fixture checks each server that is released.
    #[test]
    fn a_client_that_leaves_after_any_message_leaves_no_unfinished_work_in_the_pool(
        numbers in proptest::collection::vec(0_u8..9, 1..12),
        silent in any::<bool>(),
    ) {
        let mut fixture = SessionFixture::new();
        fixture.server_answers = !silent;
        for number in numbers {
            let messages: Vec<Frame> = match number {
                0 => query("select 1"),
                1 => parse("", "insert"),
                2 => bind_execute(""),
                3 => parse("", "begin"),
                4 => parse("s", "fail"),
                5 => bind_execute("s"),
                6 => query("commit"),
                7 => flush(),
                _ => sync(),
            };
            fixture.client(&[messages]);
            if fixture.has_requested_server() {
                fixture.attach();
            }
        }
        fixture.handle(Event::ClientDisconnected);
        prop_assert!(fixture.ended);
        prop_assert!(fixture.server.is_none());
    }

    /// A session must not panic on malformed messages or count more buffered bytes than it received.
    #[test]
    fn arbitrary_client_bytes_do_not_panic_and_buffer_at_most_their_length(
        bytes in proptest::collection::vec(any::<u8>(), 0..400)
    ) {
        let mut fixture = SessionFixture::new();
        let mut decoder = FrameDecoder::default();
        fixture.server_answers = false;
        decoder.push(&bytes);
        while let Ok(Some(message)) = decoder.next_from_client() {
            if fixture.ended {
                break;
            }
            fixture.session.handle(Event::Client(message), &mut Vec::new());
        }
        prop_assert!(fixture.session.buffered_bytes <= bytes.len());
    }
}

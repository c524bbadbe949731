//! Tests of a transaction whose server is lost, message by message: a client that sends a `Flush` waits for the responses
//! to all messages before it.

use proptest::prelude::*;

use super::support::{
    SessionFixture, bind_execute, close, describe, empty, flush, parse, query, sync,
};
use crate::frame::Frame;
use crate::session::Event;

/// Sends the parts of a batch one after the other, and returns the responses to each.
fn responses_to_parts(fixture: &mut SessionFixture, parts: &[Vec<Frame>]) -> Vec<String> {
    let responses = parts.iter().map(|part| {
        fixture.client(std::slice::from_ref(part));
        fixture.responses()
    });
    responses.collect()
}

fn execute(sql: &str) -> Vec<Frame> {
    [parse("", sql), bind_execute("")].concat()
}

/// Guards against a `Flush` that is never answered: the session waited for the end of the batch, the client for the
/// responses.
#[test]
fn messages_before_a_flush_are_answered_in_a_lost_transaction() {
    let flushed = |messages: Vec<Frame>| [messages, flush()].concat();
    let cases = [
        (
            vec![
                flushed([parse("s", "select 2"), describe("s")].concat()),
                sync(),
            ],
            vec!["08006", "ZE"],
        ),
        (
            vec![
                flushed(execute("insert")),
                flushed(execute("insert")),
                sync(),
            ],
            vec!["08006", "", "ZE"],
        ),
        (
            vec![
                flushed([parse("r", "rollback"), describe("r")].concat()),
                flushed(bind_execute("r")),
                sync(),
            ],
            vec!["1 t n", "2 C", "ZI"],
        ),
        (
            vec![
                flushed(parse("", "commit")),
                flushed(bind_execute("")),
                sync(),
            ],
            vec!["1", "2 08006", "ZI"],
        ),
        (
            vec![flushed(execute("rollback and chain")), sync()],
            vec!["1 2 C", "ZT"],
        ),
        (
            vec![flushed(close("s")), flushed(close("t")), sync()],
            vec!["3", "3", "ZE"],
        ),
        (
            vec![flushed(bind_execute("unknown")), query("insert"), sync()],
            vec!["08006", "", "ZE"],
        ),
        (vec![flush(), query("insert")], vec!["", "08006 ZE"]),
    ];
    for (parts, expected) in cases {
        let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
        assert_eq!(
            responses_to_parts(&mut fixture, &parts),
            expected,
            "{parts:?}"
        );
        assert_eq!(fixture.requested, 1, "{parts:?}");
    }
}

/// Guards against the same where the BEGIN was answered by the node, and the first statement after it is rejected.
#[test]
fn messages_before_a_flush_are_answered_behind_a_begin_that_is_rejected() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[
        query("begin"),
        parse("s", "select 2"),
        describe("s"),
        flush(),
    ]);
    fixture.handle(Event::Rejected { retry_after_ms: 0 });
    assert_eq!(fixture.responses(), "C ZT 53300");
    fixture.client(&[bind_execute("s"), sync(), query("rollback")]);
    assert_eq!(
        (fixture.responses().as_str(), fixture.requested),
        ("ZE C ZI", 1)
    );
}

/// Guards against a batch that fills the buffer before its end, in a transaction in which no server reads it.
#[test]
fn a_batch_larger_than_the_buffer_is_answered_in_a_lost_transaction() {
    let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
    let large = "x".repeat(64 * 1024);
    fixture.client_with_backpressure(&[execute(&large), execute(&large), sync()]);
    assert_eq!(fixture.responses(), "08006 ZE");
    fixture.client(&[query("rollback")]);
    assert_eq!(
        (fixture.responses().as_str(), fixture.requested),
        ("C ZI", 1)
    );
}

/// What follows a ROLLBACK in the same batch runs as at a server: in a transaction of its own.
#[test]
fn statements_behind_a_rollback_in_the_same_batch_run_on_another_server() {
    let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
    fixture.client(&[execute("rollback"), execute("insert 2"), sync()]);
    assert_eq!(fixture.responses(), "1 2 C");
    fixture.attach();
    assert_eq!(fixture.responses(), "1 2 C ZI");
    assert_eq!(fixture.executed, ["begin", "insert", "insert 2"]);
    // Behind a COMMIT, which fails, they are ignored.
    let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
    fixture.client(&[execute("commit"), execute("insert 2"), sync()]);
    assert_eq!(
        (fixture.responses().as_str(), fixture.requested),
        ("1 2 08006 ZI", 1)
    );
}

/// The lost server may have answered a part of a batch that only closes statements.
#[test]
fn each_close_is_answered_once_around_a_loss() {
    let mut fixture = SessionFixture::after_statements(&["begin", "insert"]);
    fixture.server_answers = false;
    fixture.client(&[close(""), close(""), flush()]);
    fixture.server_sends(empty(b'3'));
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "3 3");
    fixture.client(&[sync(), query("insert"), query("rollback")]);
    assert_eq!(fixture.responses(), "ZE 08006 ZE C ZI");
}

proptest! {
    /// Guards against a state in which the client waits for the session and the session for the client: after each
    /// `Flush` and each end of a batch, nothing is left that the session could answer.
    #[test]
    fn nothing_waits_behind_a_flush_in_a_lost_transaction(
        numbers in proptest::collection::vec(0_u8..12, 1..20),
    ) {
        let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
        for number in numbers {
            let messages: Vec<Frame> = match number {
                0 => parse("", "insert"),
                1 => parse("", "rollback"),
                2 => parse("c", "commit and chain"),
                3 => parse("r", "rollback and chain"),
                4 => bind_execute(""),
                5 => bind_execute("c"),
                6 => bind_execute("r"),
                7 => describe("r"),
                8 => close("c"),
                9 => query("commit"),
                10 => flush(),
                _ => sync(),
            };
            fixture.client(&[messages]);
            while fixture.has_requested_server() {
                fixture.attach();
            }
            let ready = fixture.session.batches.front().map_or(0, |batch| {
                batch.ready_count() - batch.sent_count
            });
            prop_assert_eq!(ready, 0);
            if fixture.server.is_some() || !fixture.session.transaction_lost {
                // The transaction has ended.
                break;
            }
        }
        fixture.client(&[sync()]);
        while fixture.has_requested_server() {
            fixture.attach();
        }
        prop_assert!(fixture.ended || fixture.session.batches.is_empty());
    }
}

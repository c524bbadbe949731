//! Tests of batches that are larger than the session's buffer.

use super::support::{SessionFixture, bind_execute, close, describe, flush, parse, query, sync};
use crate::frame::Frame;
use crate::prepared_statements::MAX_NAMED_STATEMENTS;
use crate::session::{BufferLimits, Event};

/// A statement whose `Parse` alone fills the buffer.
fn large_insert() -> String {
    format!("insert into t values ('{}')", "x".repeat(64 * 1024))
}

/// `Parse`, `Bind` and `Execute` of a statement.
fn execute(sql: &str) -> Vec<Frame> {
    [parse("", sql), bind_execute("")].concat()
}

/// Guards against a batch that is never answered: reading stopped when the buffer was full, before the `Sync`.
#[test]
fn a_batch_larger_than_the_buffer_is_answered() {
    let large = execute(&large_insert());
    let mut fixture = SessionFixture::new();
    fixture.client_with_backpressure(&[large.clone(), sync()]);
    assert_eq!(fixture.responses(), "1 2 C ZI");
    fixture.client_with_backpressure(&[query("begin"), large.clone(), large.clone(), sync()]);
    assert_eq!(fixture.responses(), "C ZT 1 2 C 1 2 C ZT");
    fixture.client_with_backpressure(&[large.clone(), query("commit")]);
    assert_eq!(fixture.responses(), "1 2 C C ZI");
    assert_eq!((fixture.released, fixture.discarded), (2, 0));
}

/// Guards against a `Flush` that is not read behind a full buffer.
#[test]
fn messages_before_a_flush_are_answered_if_they_are_larger_than_the_buffer() {
    let mut fixture = SessionFixture::new();
    fixture.client_with_backpressure(&[parse("s", &large_insert()), describe("s"), flush()]);
    assert_eq!(fixture.responses(), "1 t n");
    fixture.client_with_backpressure(&[execute(&large_insert()), sync()]);
    assert_eq!(fixture.responses(), "1 2 C ZI");
}

/// Guards against a limit on the number of messages in a batch: the session ended with a protocol violation.
#[test]
fn a_batch_of_many_short_messages_is_answered() {
    let statements = 5_000;
    let mut fixture = SessionFixture::new();
    let mut messages = vec![execute("insert"); statements];
    messages.push(sync());
    fixture.client_with_backpressure(&messages);
    let responses = fixture.responses();
    assert!(responses.ends_with("1 2 C ZI"), "{}", responses.len());
    assert_eq!(responses.matches('C').count(), statements);
    assert_eq!(fixture.executed.len(), statements);
}

/// Guards against a long batch that is forgotten behind a running one, with which it has filled the buffer.
#[test]
fn a_large_batch_behind_a_running_one_is_answered() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[query("select 1")]);
    fixture.attach();
    fixture.client(&[parse("", &large_insert())]);
    assert!(!fixture.session.accepts_client_messages());
    fixture.server_answers = true;
    fixture.server_sends(Frame::new(b'C', &b"SELECT 1\0"[..]));
    fixture.server_sends(Frame::new(b'Z', &b"I"[..]));
    assert!(fixture.has_requested_server());
    fixture.attach();
    fixture.client_with_backpressure(&[bind_execute(""), sync()]);
    assert_eq!(fixture.responses(), "C ZI 1 2 C ZI");
}

/// Messages that were dropped after they were sent can't be sent to a second server.
#[test]
fn a_batch_that_was_sent_in_part_is_not_retried_after_a_loss() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[parse("", &large_insert())]);
    fixture.attach();
    fixture.lose_server();
    fixture.attach();
    assert_eq!(fixture.not_retryable, 1);
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "08006");
    fixture.client_with_backpressure(&[bind_execute(""), sync(), query("select 1")]);
    assert_eq!((fixture.responses().as_str(), fixture.requested), ("ZI", 2));
}

/// The error depends on whether a COMMIT was sent, also in a part of the batch that is no longer buffered.
#[test]
fn a_commit_in_a_sent_part_of_a_batch_is_unknown_after_a_loss() {
    for (sql, expected) in [("commit", "08007 ZI"), ("insert", "08006 ZE")] {
        let mut fixture = SessionFixture::new();
        fixture.client(&[query("begin"), query("insert")]);
        fixture.attach();
        fixture.responses();
        fixture.server_answers = false;
        let start = [parse("s", sql), parse("", &large_insert())];
        fixture.client(&[
            start.concat(),
            bind_execute("s"),
            parse("", &large_insert()),
        ]);
        fixture.lose_server();
        fixture.handle(Event::RequestFailed);
        fixture.client(&[sync()]);
        assert_eq!(fixture.responses(), expected, "{sql}");
    }
}

/// Guards against memory that grows with the length of a batch: each part is answered before more is read.
#[test]
fn the_unanswered_messages_of_a_batch_are_limited() {
    let limits = BufferLimits::default();
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    let insert = execute("insert");
    let mut accepted = 0;
    while fixture.session.accepts_client_messages() {
        fixture.client(std::slice::from_ref(&insert));
        if fixture.has_requested_server() {
            fixture.attach();
        }
        accepted += insert.len();
        assert!(accepted < 4 * limits.messages, "nothing is limited");
    }
    assert!(accepted >= limits.messages);
}

/// The limit on a client's statements holds within a batch, and closed ones don't count.
#[test]
fn a_batch_prepares_as_many_statements_as_a_client_may_have() {
    let names: Vec<String> = (0..=MAX_NAMED_STATEMENTS)
        .map(|n| format!("s{n}"))
        .collect();
    let prepared: Vec<Vec<Frame>> = names.iter().map(|name| parse(name, "insert")).collect();
    let mut fixture = SessionFixture::new();
    fixture.client_with_backpressure(&[prepared.concat(), sync()]);
    assert!(fixture.responses().ends_with("08P01"));
    let replaced = names
        .iter()
        .map(|name| [parse(name, "insert"), close(name)].concat());
    let mut fixture = SessionFixture::new();
    fixture.client_with_backpressure(&[replaced.collect::<Vec<_>>().concat(), sync()]);
    assert!(fixture.responses().ends_with("1 3 1 3 ZI"));
}

/// Limits of a few messages, so that each batch is sent in several parts.
#[test]
fn a_session_with_a_small_buffer_answers_as_one_with_a_large_buffer() {
    let messages = [
        query("begin"),
        parse("a", "insert"),
        describe("a"),
        bind_execute("a"),
        close("a"),
        execute("commit"),
        execute("fail"),
        execute("insert"),
        sync(),
        execute("insert"),
        query("select 1"),
    ];
    let mut large = SessionFixture::new();
    large.client_with_backpressure(&messages);
    let expected = large.responses();
    for messages_limit in 1..6 {
        let limits = BufferLimits {
            bytes: usize::MAX,
            messages: messages_limit,
        };
        let mut small = SessionFixture::with_buffer_limits(limits);
        small.client_with_backpressure(&messages);
        assert_eq!(small.responses(), expected, "{messages_limit}");
        assert_eq!(small.executed, large.executed);
    }
}

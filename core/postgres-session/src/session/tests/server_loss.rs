//! Rejections, lost servers and retries.

use bytes::Bytes;

use super::support::{SessionFixture, bind_execute, close, describe, flush, parse, query, sync};
use crate::frame::{DecodeResult, Frame};
use crate::session::Event;

/// A read-only transaction is retried as a single statement would be, before it is answered.
#[test]
fn the_first_statement_of_a_read_only_transaction_is_retried_after_a_loss() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[query("begin read only"), query("select 1")]);
    fixture.attach();
    fixture.lose_server();
    fixture.server_answers = true;
    fixture.attach();
    assert_eq!(
        (fixture.responses().as_str(), fixture.not_retryable),
        ("C ZT C ZT", 0)
    );
    // Once a statement has been answered, the next one is not retried.
    fixture.server_answers = false;
    fixture.client(&[query("select 2")]);
    fixture.lose_server();
    fixture.attach();
    assert_eq!(fixture.not_retryable, 1);
    fixture.handle(Event::RequestFailed);
    fixture.client(&[query("rollback")]);
    assert_eq!(fixture.responses(), "08006 ZE C ZI");
}

/// The error's code says that nothing ran, and what follows a rejected BEGIN does not run outside of its transaction.
#[test]
fn a_rejected_transaction_never_runs_in_part() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[query("insert")]);
    fixture.handle(Event::Rejected { retry_after_ms: 5 });
    assert_eq!(fixture.responses(), "53300 ZI");
    // The first statement gets the reason, the others the error of a failed transaction, and COMMIT an error too.
    fixture.client(&[query("begin"), query("insert")]);
    fixture.handle(Event::Rejected { retry_after_ms: 0 });
    fixture.client(&[query("insert"), query("rollback")]);
    assert_eq!(
        (fixture.responses().as_str(), fixture.requested),
        ("C ZT 53300 ZE 25P02 ZE C ZI", 2)
    );
    fixture.client(&[query("begin"), query("insert"), query("commit")]);
    fixture.handle(Event::Rejected { retry_after_ms: 0 });
    assert_eq!(fixture.responses(), "C ZT 53300 ZE 53300 ZI");
    // All batches of a transaction that begins together with another statement are rejected.
    fixture.client(&[query("begin; insert"), query("insert"), query("commit")]);
    fixture.handle(Event::Rejected { retry_after_ms: 0 });
    assert_eq!(fixture.responses(), "53300 ZI 53300 ZI 53300 ZI");
    assert!(fixture.executed.is_empty());
}

/// Each place where a server can be lost, and the error for the client.
#[test]
fn the_error_after_a_loss_depends_on_where_the_server_was_lost() {
    let in_flight = |before: &[&str], last: &str| {
        let mut fixture = SessionFixture::new();
        for sql in before {
            fixture.client(&[query(sql)]);
            if fixture.wants_server() {
                fixture.attach();
            }
        }
        fixture.responses();
        fixture.server_answers = false;
        fixture.client(&[query(last)]);
        if fixture.server.is_none() {
            fixture.attach();
        }
        fixture.lose_server();
        fixture.handle(Event::RequestFailed);
        fixture.server_answers = true;
        fixture
    };
    let mut alone = in_flight(&[], "insert");
    assert_eq!(
        (alone.responses().as_str(), alone.discarded),
        ("08006 ZI", 1)
    );
    let mut inside = in_flight(&["begin", "insert"], "insert");
    assert_eq!(inside.responses(), "08006 ZE");
    inside.client(&[query("select 1"), query("rollback")]);
    assert_eq!(
        (inside.responses().as_str(), inside.requested),
        ("25P02 ZE C ZI", 1)
    );
    let mut commit = in_flight(&["begin", "insert"], "commit");
    assert_eq!(commit.responses(), "08007 ZI");
    let mut all = in_flight(&[], "begin; insert; commit");
    assert_eq!(all.responses(), "08007 ZI");
}

#[test]
fn a_server_lost_between_statements_fails_the_transaction() {
    let between = |next: &[Vec<Frame>]| {
        let mut fixture = SessionFixture::new();
        fixture.client(&[query("begin"), query("insert")]);
        fixture.attach();
        fixture.responses();
        fixture.lose_server();
        fixture.handle(Event::RequestFailed);
        assert_eq!(fixture.responses(), "");
        fixture.client(next);
        fixture.responses()
    };
    assert_eq!(
        between(&[query("insert"), query("insert"), query("rollback")]),
        "08006 ZE 25P02 ZE C ZI"
    );
    assert_eq!(between(&[query("rollback")]), "C ZI");
    // A commit must not look successful, whether its client has got an error before or not.
    assert_eq!(between(&[query("commit"), query("select 1")]), "08006 ZI");
    assert_eq!(
        between(&[query("insert"), query("commit")]),
        "08006 ZE 08006 ZI"
    );
    // Drivers close statements in passing and ignore errors there.
    let closes = [close("s"), sync()].concat();
    assert_eq!(
        between(&[closes.clone(), query("insert"), query("rollback")]),
        "3 ZE 08006 ZE C ZI"
    );
    let mut fixture = SessionFixture::new();
    fixture.client(&[query("begin"), query("insert")]);
    fixture.attach();
    fixture.server_answers = false;
    fixture.client(&[closes]);
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    fixture.client(&[query("commit")]);
    assert!(fixture.responses().ends_with("3 ZE 08006 ZI"));
    // A ROLLBACK that a driver prepares before it executes it.
    let prepare = [parse("r", "rollback"), describe("r"), sync()];
    let steps = [prepare.concat(), bind_execute("r"), sync()];
    assert_eq!(between(&steps), "1 t n ZE 2 C ZI");
}

/// The ReadyForQuery answers the Sync of the batch, also if that comes later.
#[test]
fn a_batch_whose_server_is_lost_gets_one_error_and_one_ready_for_query() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[
        parse("", "insert"),
        bind_execute(""),
        bind_execute(""),
        sync(),
    ]);
    fixture.attach();
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "08006 ZI");
    fixture.client(&[parse("", "insert"), flush()]);
    fixture.attach();
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "08006");
    fixture.client(&[bind_execute(""), sync()]);
    assert_eq!((fixture.responses().as_str(), fixture.requested), ("ZI", 2));
}

/// A batch is retried only if the client has got nothing of its response and no transaction was open.
#[test]
fn an_unanswered_batch_is_retried_on_a_second_server() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[parse("s", "select 1"), bind_execute("s"), sync()]);
    fixture.attach();
    fixture.lose_server();
    fixture.server_answers = true;
    fixture.attach();
    assert_eq!(
        (fixture.responses().as_str(), fixture.transactions_done),
        ("1 2 C ZI", 1)
    );
    // After a first message of the response it is not.
    fixture.server_answers = false;
    fixture.client(&[query("select 1")]);
    fixture.attach();
    fixture.server_sends(Frame::new(b'T', &b"\0\0"[..]));
    fixture.lose_server();
    fixture.attach();
    assert_eq!(fixture.not_retryable, 1);
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "T 08006 ZI");
}

/// A FATAL error would end the client's session, which goes on with another server.
#[test]
fn a_fatal_server_error_is_a_lost_server_and_not_forwarded() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[query("insert")]);
    fixture.attach();
    let shutdown_error =
        b"SFATAL\0VFATAL\0C57P01\0Mterminating connection due to administrator command\0\0";
    fixture.server_sends(Frame::new(b'E', &shutdown_error[..]));
    assert_eq!((fixture.responses().as_str(), fixture.discarded), ("", 1));
    fixture.handle(Event::RequestFailed);
    assert_eq!(
        (fixture.responses().as_str(), fixture.ended),
        ("08006 ZI", false)
    );
}

/// The client could read neither the rest of the row nor what came behind it.
#[test]
fn a_row_that_is_cut_off_ends_the_session() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[query("select 1")]);
    fixture.attach();
    let bytes = Bytes::from_static(b"D\0\0\x01\0\0\x01");
    fixture.handle(Event::Server(DecodeResult::Chunk {
        tag: b'D',
        bytes,
        last: false,
    }));
    fixture.lose_server();
    assert_eq!(
        (fixture.client_bytes.len(), fixture.ended, fixture.discarded),
        (7, true, 1)
    );
}

//! Tests of rejections, lost servers and retries.

use bytes::Bytes;

use super::support::{SessionFixture, bind_execute, close, describe, flush, parse, query, sync};
use crate::frame::{DecodeResult, Frame};
use crate::session::Event;

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
    // After a statement has been answered, the next one is not retried.
    fixture.server_answers = false;
    fixture.client(&[query("select 2")]);
    fixture.lose_server();
    fixture.attach();
    assert_eq!(fixture.not_retryable, 1);
    fixture.handle(Event::RequestFailed);
    fixture.client(&[query("rollback")]);
    assert_eq!(fixture.responses(), "08006 ZE C ZI");
}

/// SQLSTATE 53300 promises that nothing ran, so the statements after a rejected BEGIN must not run either.
#[test]
fn no_statement_of_a_rejected_transaction_runs() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[query("insert")]);
    fixture.handle(Event::Rejected { retry_after_ms: 5 });
    assert_eq!(fixture.responses(), "53300 ZI");
    // The first statement gets the rejection, later ones the error of a failed transaction, and COMMIT the rejection.
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
    // If BEGIN shares a batch with another statement, all pipelined batches of the transaction are rejected.
    fixture.client(&[query("begin; insert"), query("insert"), query("commit")]);
    fixture.handle(Event::Rejected { retry_after_ms: 0 });
    assert_eq!(fixture.responses(), "53300 ZI 53300 ZI 53300 ZI");
    assert!(fixture.executed.is_empty());
}

#[test]
fn the_error_after_a_loss_depends_on_the_state_of_the_transaction() {
    let lose_server_during = |before: &[&str], last: &str| {
        let mut fixture = SessionFixture::after_statements(before);
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
    let mut outside_transaction = lose_server_during(&[], "insert");
    assert_eq!(
        (
            outside_transaction.responses().as_str(),
            outside_transaction.discarded
        ),
        ("08006 ZI", 1)
    );
    let mut in_transaction = lose_server_during(&["begin", "insert"], "insert");
    assert_eq!(in_transaction.responses(), "08006 ZE");
    in_transaction.client(&[query("select 1"), query("rollback")]);
    assert_eq!(
        (
            in_transaction.responses().as_str(),
            in_transaction.requested
        ),
        ("25P02 ZE C ZI", 1)
    );
    let mut at_commit = lose_server_during(&["begin", "insert"], "commit");
    assert_eq!(at_commit.responses(), "08007 ZI");
    let mut in_one_query = lose_server_during(&[], "begin; insert; commit");
    assert_eq!(in_one_query.responses(), "08007 ZI");
}

#[test]
fn a_server_lost_between_statements_fails_the_transaction() {
    let responses_after_loss = |next: &[Vec<Frame>]| {
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
        responses_after_loss(&[query("insert"), query("insert"), query("rollback")]),
        "08006 ZE 25P02 ZE C ZI"
    );
    assert_eq!(responses_after_loss(&[query("rollback")]), "C ZI");
    // COMMIT must fail, whether or not the client has received an earlier error.
    assert_eq!(
        responses_after_loss(&[query("commit"), query("select 1")]),
        "08006 ZI"
    );
    assert_eq!(
        responses_after_loss(&[query("insert"), query("commit")]),
        "08006 ZE 08006 ZI"
    );
    // Drivers ignore errors in batches that only close statements.
    let closes = [close("s"), sync()].concat();
    assert_eq!(
        responses_after_loss(&[closes.clone(), query("insert"), query("rollback")]),
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
    // A driver can prepare and execute ROLLBACK in separate batches.
    let prepare = [parse("r", "rollback"), describe("r"), sync()];
    let steps = [prepare.concat(), bind_execute("r"), sync()];
    assert_eq!(responses_after_loss(&steps), "1 t n ZE 2 C ZI");
}

/// `ReadyForQuery` is sent for the batch's `Sync`, which can arrive after the error.
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
    // After the first message of the response, the batch is not retried.
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

/// A forwarded FATAL error would end the client's session, which can continue on another server.
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

/// The client cannot read any message after an incomplete row.
#[test]
fn a_server_lost_within_a_row_ends_the_session() {
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

//! Tests of COMMIT AND CHAIN and ROLLBACK AND CHAIN around a lost server. Neither may leave the client outside a
//! transaction without its knowledge: what it sends next would be committed at once.

use super::support::{SessionFixture, bind_execute, parse, query, sync};
use crate::frame::Frame;
use crate::session::Event;

/// A statement in the simple and in the extended query protocol, with the responses to the messages before its `Execute`.
fn both_protocols(sql: &str) -> [(Vec<Frame>, &'static str); 2] {
    let extended = [parse("", sql), bind_execute(""), sync()].concat();
    [(query(sql), ""), (extended, "1 2 ")]
}

/// Guards against a commit of what the client rolls back: ROLLBACK AND CHAIN was answered as done and began no
/// transaction.
#[test]
fn rollback_and_chain_of_a_lost_transaction_begins_a_transaction_with_the_same_modes() {
    for sql in ["rollback and chain", "abort work and chain"] {
        for (chained, prepared) in both_protocols(sql) {
            let mut fixture =
                SessionFixture::after_loss(&["begin isolation level serializable", "insert 1"]);
            fixture.client(&[chained]);
            assert_eq!(fixture.responses(), format!("{prepared}C ZT"), "{sql}");
            fixture.client(&[query("insert 2")]);
            fixture.attach();
            fixture.client(&[query("rollback")]);
            assert_eq!(fixture.responses(), "C ZT C ZI", "{sql}");
            let begin = "begin isolation level serializable";
            assert_eq!(
                fixture.executed,
                [begin, "insert 1", begin, "insert 2", "rollback"],
                "{sql}"
            );
        }
    }
}

/// Guards against the same where the node can't begin the transaction, as it doesn't know the modes of the lost one.
#[test]
fn rollback_and_chain_is_rejected_if_the_modes_of_the_lost_transaction_are_not_known() {
    for statements in [
        &["begin; insert"][..],
        &["begin", "set transaction read only"],
        &["begin", "set local transaction_isolation = 'serializable'"],
        &["begin", "begin read only"],
        &["begin", "commit", "begin; insert"],
    ] {
        for (chained, prepared) in both_protocols("rollback and chain") {
            let mut fixture = SessionFixture::after_loss(statements);
            let requested = fixture.requested;
            fixture.client(&[chained, query("insert"), query("rollback")]);
            assert_eq!(
                fixture.responses(),
                format!("{prepared}08006 ZE 25P02 ZE C ZI"),
                "{statements:?}"
            );
            assert_eq!(fixture.requested, requested, "{statements:?}");
        }
    }
}

/// Guards against statements that run outside a transaction behind a COMMIT AND CHAIN that failed.
#[test]
fn commit_and_chain_of_a_lost_transaction_leaves_the_transaction_failed() {
    for (chained, prepared) in both_protocols("commit and chain") {
        let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
        fixture.client(&[chained, query("insert"), query("rollback")]);
        assert_eq!(
            (fixture.responses(), fixture.requested),
            (format!("{prepared}08006 ZE 25P02 ZE C ZI"), 1)
        );
    }
}

/// Guards against the same where the server is lost while it runs the chained end, and more is pipelined behind.
#[test]
fn nothing_behind_a_chained_end_that_is_lost_runs_outside_a_transaction() {
    for (before, sql, error) in [
        (&["begin", "insert"][..], "commit and chain", "08007"),
        (&["begin", "insert"], "rollback and chain", "08006"),
        (&["begin", "insert"], "commit and chain; insert", "08007"),
        (&[], "begin; insert; commit and chain", "08007"),
    ] {
        for pipelined in [false, true] {
            let mut fixture = SessionFixture::after_statements(before);
            fixture.server_answers = false;
            let behind = [query("insert"), query("rollback")];
            fixture.client(&[query(sql)]);
            if fixture.has_requested_server() {
                fixture.attach();
            }
            if pipelined {
                fixture.client(&behind);
            }
            fixture.lose_server();
            fixture.handle(Event::RequestFailed);
            if !pipelined {
                fixture.client(&behind);
            }
            assert_eq!(
                (fixture.responses(), fixture.requested),
                (format!("{error} ZE 25P02 ZE C ZI"), 1),
                "{sql}"
            );
        }
    }
}

/// A block that ends in the same text as it was chained is not left open.
#[test]
fn a_plain_end_behind_a_chained_one_ends_the_transaction() {
    let mut fixture = SessionFixture::after_statements(&["begin", "insert"]);
    fixture.server_answers = false;
    fixture.client(&[query("commit and chain; commit")]);
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "08007 ZI");
}

/// Guards against two-phase commands that are taken for the end of the lost transaction.
#[test]
fn rollback_prepared_does_not_end_a_lost_transaction() {
    for sql in ["rollback prepared 'x'", "commit prepared 'x'"] {
        let mut fixture = SessionFixture::after_loss(&["begin", "insert"]);
        fixture.client(&[query(sql), query("insert"), query("rollback")]);
        assert_eq!(fixture.responses(), "08006 ZE 25P02 ZE C ZI", "{sql}");
    }
}

/// Guards against an error for a name that the client does not use: the statement is prepared on the connection already.
#[test]
fn an_end_that_is_prepared_already_is_accepted_in_a_failed_transaction() {
    for sql in [
        "rollback and chain",
        "commit and chain",
        "rollback work",
        "rollback to a",
        "",
    ] {
        let mut fixture = SessionFixture::new();
        let first = [parse("a", sql), sync()].concat();
        fixture.client(&[query("begin"), query("insert"), first]);
        fixture.attach();
        fixture.client(&[query("fail")]);
        fixture.responses();
        fixture.client(&[parse("b", sql), sync()]);
        assert_eq!(fixture.responses(), "1 ZE", "{sql}");
    }
}

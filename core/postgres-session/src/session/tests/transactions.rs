//! Tests of transactions and prepared statements without lost servers.

use super::support::{SessionFixture, bind_execute, close, empty, flush, parse, query, sync};
use crate::frame::{DecodeResult, Frame};
use crate::server_messages;
use crate::session::Event;
use crate::sticky::StickyReason;

#[test]
fn a_statement_outside_a_transaction_requests_and_releases_a_server() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[query("select 1")]);
    assert_eq!((fixture.requested, fixture.responses().as_str()), (1, ""));
    fixture.attach();
    assert_eq!(fixture.responses(), "C ZI");
    assert_eq!(
        (
            fixture.responses_started,
            fixture.transactions_done,
            fixture.released,
            fixture.discarded
        ),
        (1, 1, 1, 0)
    );
}

#[test]
fn a_transaction_keeps_its_server_until_it_ends() {
    let mut fixture = SessionFixture::new();
    // A BEGIN is answered locally and sent with the next statement.
    fixture.client(&[query("begin")]);
    assert_eq!(
        (fixture.responses().as_str(), fixture.requested),
        ("C ZT", 0)
    );
    fixture.client(&[query("insert")]);
    fixture.attach();
    fixture.client(&[query("fail"), query("insert")]);
    assert_eq!(
        (fixture.responses().as_str(), fixture.transactions_done),
        ("C ZT 25P02 ZE 25P02 ZE", 0)
    );
    fixture.client(&[query("rollback")]);
    assert_eq!(
        (
            fixture.responses().as_str(),
            fixture.requested,
            fixture.transactions_done,
            fixture.released
        ),
        ("C ZI", 1, 1, 1)
    );
    assert_eq!(fixture.executed, ["begin", "insert", "rollback"]);
    // A transaction without statements needs no server.
    for (end, tag) in [("commit", "COMMIT"), ("rollback", "ROLLBACK")] {
        fixture.client(&[query("begin isolation level serializable"), query(end)]);
        assert!(String::from_utf8_lossy(&fixture.client_bytes).contains(tag));
        assert_eq!(
            (fixture.responses().as_str(), fixture.requested),
            ("C ZT C ZI", 1)
        );
    }
}

/// Drivers prepare a statement once and use its name in later transactions, which can run on other servers.
#[test]
fn prepared_statements_follow_their_client_to_other_servers() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[parse("s0", "select 1"), sync()]);
    fixture.attach();
    assert_eq!(fixture.responses(), "1 ZI");
    for _ in 0..2 {
        fixture.client(&[bind_execute("s0"), sync()]);
        fixture.attach();
        assert_eq!(fixture.responses(), "2 C ZI");
    }
    // The unnamed statement is prepared in one batch and used in the next.
    fixture.client(&[parse("", "select 2"), sync()]);
    fixture.attach();
    fixture.client(&[bind_execute(""), sync()]);
    fixture.attach();
    assert_eq!(fixture.responses(), "1 ZI 2 C ZI");
    assert_eq!(fixture.executed, ["select 1", "select 1", "select 2"]);
    // A statement name of the proxy is not visible to the client.
    fixture.client(&[bind_execute("bp0"), sync()]);
    fixture.attach();
    assert_eq!(fixture.responses(), "08006 ZI");
    // A text that is already prepared on the server is not prepared again; the client receives the same responses.
    fixture.client(&[
        query("begin"),
        parse("a", "select 3"),
        parse("b", "select 3"),
        bind_execute("b"),
        sync(),
    ]);
    fixture.attach();
    fixture.client(&[close("a"), bind_execute("b"), sync()]);
    assert_eq!(fixture.responses(), "C ZT 1 1 2 C ZT 3 2 C ZT");
}

#[test]
fn a_statement_with_lasting_effects_makes_the_session_sticky() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[query("set x = 1")]);
    fixture.attach();
    assert_eq!(
        (
            fixture.transactions_done,
            fixture.released,
            fixture.session.sticky_reason()
        ),
        (1, 0, Some(StickyReason::Setting))
    );
    fixture.client(&[query("select 1")]);
    assert_eq!(
        (fixture.requested, fixture.responses().as_str()),
        (1, "C ZI C ZI")
    );
    fixture.client(&[query("discard all")]);
    assert_eq!(
        (fixture.released, fixture.session.sticky_reason()),
        (1, None)
    );
    // A sticky session ends when its server is lost, because its state cannot be restored.
    fixture.client(&[query("listen x")]);
    fixture.attach();
    fixture.responses();
    fixture.lose_server();
    assert_eq!(
        (
            fixture.responses().as_str(),
            fixture.ended,
            fixture.discarded
        ),
        ("08006", true, 1)
    );
}

#[test]
fn a_disconnected_client_releases_only_a_clean_server() {
    for (sql, released) in [("select 1", 1), ("begin; select 1", 0), ("listen x", 0)] {
        let mut fixture = SessionFixture::new();
        fixture.client(&[query(sql)]);
        fixture.attach();
        fixture.handle(Event::ClientDisconnected);
        assert_eq!(
            (fixture.released, fixture.discarded, fixture.ended),
            (released, 1 - released, true),
            "{sql}"
        );
        // A server attached after the end is released at once.
        fixture.attach();
        assert_eq!(fixture.released, released + 1);
    }
}

/// Guards against a commit of an abandoned statement: the next client's `Sync` or `Query` on the same connection would
/// commit it, although all messages that were sent have been answered.
#[test]
fn a_server_with_an_abandoned_batch_is_discarded() {
    let flushed = [
        vec![parse("", "insert"), flush()],
        vec![parse("", "insert"), bind_execute(""), flush()],
        vec![parse("", "begin"), bind_execute(""), flush()],
        vec![parse("s", "fail"), bind_execute("s"), flush()],
        vec![
            query("select 1"),
            parse("", "insert"),
            bind_execute(""),
            flush(),
        ],
    ];
    for messages in &flushed {
        for ending in [
            Event::ClientDisconnected,
            Event::Client(DecodeResult::Frame(empty(b'X'))),
            Event::Client(DecodeResult::Frame(empty(b'?'))),
        ] {
            let mut fixture = SessionFixture::new();
            for message in messages {
                fixture.client(std::slice::from_ref(message));
                if fixture.has_requested_server() {
                    fixture.attach();
                }
            }
            let released = fixture.released;
            let at = format!("{messages:?}, {ending:?}");
            fixture.handle(ending);
            assert_eq!(
                (fixture.released - released, fixture.discarded),
                (0, 1),
                "{at}"
            );
        }
    }
}

/// The connection of a batch that is complete goes back to the pool, also if a part of it was sent ahead.
#[test]
fn a_server_is_released_after_the_sync_of_a_flushed_batch() {
    for end in [sync(), query("select 1")] {
        let mut fixture = SessionFixture::new();
        fixture.client(&[parse("", "insert"), bind_execute(""), flush()]);
        fixture.attach();
        assert_eq!((fixture.released, fixture.discarded), (0, 0));
        fixture.client(&[end]);
        assert_eq!((fixture.released, fixture.discarded), (1, 0));
    }
}

/// A batch is committed by its `Sync`, but drivers treat `CommandComplete` as the commit.
#[test]
fn command_complete_is_delayed_until_the_sync_has_committed() {
    let mut fixture = SessionFixture::new();
    fixture.server_answers = false;
    fixture.client(&[parse("", "insert"), bind_execute(""), sync()]);
    fixture.attach();
    let complete = server_messages::command_complete("INSERT 0 1");
    fixture.server_sends(empty(b'1'));
    fixture.server_sends(empty(b'2'));
    fixture.server_sends(complete.clone());
    assert_eq!(fixture.responses(), "1 2");
    fixture.lose_server();
    fixture.handle(Event::RequestFailed);
    assert_eq!(fixture.responses(), "08006 ZI");
    // Without a `Sync` nothing is delayed, because the client may wait for the message.
    fixture.client(&[bind_execute(""), flush()]);
    fixture.attach();
    fixture.server_sends(empty(b'1'));
    fixture.server_sends(empty(b'2'));
    fixture.server_sends(complete);
    assert_eq!(fixture.responses(), "2 C");
}

#[test]
fn a_protocol_violation_ends_the_session() {
    for frames in [vec![Frame::new(b'p', &b"x\0"[..])], vec![empty(b'?')]] {
        let mut fixture = SessionFixture::new();
        fixture.client(&[frames]);
        assert_eq!(
            (fixture.responses().as_str(), fixture.ended),
            ("08P01", true)
        );
    }
}

/// The malformed body is detected before any of the message is sent, so the server can be reused.
#[test]
fn a_malformed_message_ends_the_session_and_releases_the_server() {
    let mut fixture = SessionFixture::new();
    fixture.client(&[vec![Frame::new(b'P', &b"no end"[..])], sync()]);
    fixture.attach();
    assert_eq!(
        (
            fixture.responses().as_str(),
            fixture.ended,
            fixture.released,
            fixture.discarded
        ),
        ("08P01", true, 1, 0)
    );
}

use postgres_protocol::message::frontend;

use super::*;
use crate::extended_query::ParseMessage;

/// Returns a statement text encoded by the `postgres_protocol` crate.
fn text(sql: &str) -> StatementText {
    let mut wire = bytes::BytesMut::new();
    frontend::parse("", sql, [23], &mut wire).unwrap();
    let frame = Frame::new(wire[0], Bytes::copy_from_slice(&wire[5..]));
    ParseMessage::read(&frame).expect("good").text
}

#[test]
fn a_statement_is_prepared_once_and_the_least_recently_used_is_evicted() {
    let mut prepared = ServerStatements::default();
    let one = prepared.use_statement(&text("select 1"));
    assert_eq!((one.name.as_ref(), one.preparation.len()), (&b"bp0"[..], 1));
    assert!(
        prepared
            .use_statement(&text("select 1"))
            .preparation
            .is_empty()
    );
    for n in 0..MAX_SERVER_STATEMENTS {
        // The first statement is used again, so it is never the least recently used one.
        assert!(
            prepared
                .use_statement(&text("select 1"))
                .preparation
                .is_empty(),
            "{n}"
        );
        let next = prepared.use_statement(&text(&format!("select {n} + 1")));
        assert_eq!(
            next.preparation.len(),
            if n + 1 < MAX_SERVER_STATEMENTS { 1 } else { 2 },
            "{n}"
        );
    }
    assert_eq!(prepared.statements.len(), MAX_SERVER_STATEMENTS);
    prepared.remove(&text("select 1"));
    assert_eq!(
        prepared.use_statement(&text("select 1")).preparation.len(),
        1
    );
    let mut named = ClientStatements::default();
    for number in 0..MAX_NAMED_STATEMENTS {
        named
            .insert(Bytes::from(number.to_string()), text("x"))
            .expect("room");
    }
    assert_eq!(
        named.insert(Bytes::from_static(b"more"), text("x")),
        Err(TooManyStatements)
    );
    assert_eq!(named.insert(Bytes::from_static(b"0"), text("y")), Ok(()));
}

/// Guards against texts that are kept for each server connection without a limit on their size, also when their client
/// has gone.
#[test]
fn the_texts_prepared_on_a_server_connection_are_limited_in_size() {
    let mut prepared = ServerStatements::default();
    let large = |number: usize| text(&format!("select {number} /* {} */", "x".repeat(200_000)));
    for number in 0..2 {
        assert_eq!(prepared.use_statement(&large(number)).preparation.len(), 1);
    }
    assert_eq!(prepared.use_statement(&large(2)).preparation.len(), 2);
    assert!(prepared.bytes <= MAX_SERVER_STATEMENT_BYTES);
    // A text above the limit replaces all others.
    let huge = text(&"x".repeat(MAX_SERVER_STATEMENT_BYTES + 1));
    assert_eq!(prepared.use_statement(&huge).preparation.len(), 3);
    assert!(prepared.use_statement(&huge).preparation.is_empty());
    prepared.remove(&huge);
    prepared.remove(&huge);
    assert_eq!(prepared.bytes, 0);
    prepared.use_statement(&large(0));
    prepared.clear();
    assert_eq!(prepared.bytes, 0);
}

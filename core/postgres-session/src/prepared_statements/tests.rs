use postgres_protocol::message::frontend;

use super::*;

/// A frame as the drivers' own crate writes it.
fn written(write: impl Fn(&mut BytesMut)) -> Frame {
    let mut wire = BytesMut::new();
    write(&mut wire);
    Frame::new(wire[0], Bytes::copy_from_slice(&wire[5..]))
}

fn text(sql: &str) -> StatementText {
    read_parse(&written(|out| frontend::parse("", sql, [23], out).unwrap()))
        .expect("good")
        .1
}

#[test]
fn messages_of_real_drivers_are_read_and_renamed() {
    let frame = written(|out| frontend::parse("s0", "select $1", [23], out).unwrap());
    let (name, text) = read_parse(&frame).expect("good");
    assert_eq!((name.as_ref(), sql(&text)), (&b"s0"[..], &b"select $1"[..]));
    assert_eq!(parse(b"s0", &text), frame);
    let bind = |name: &str| {
        written(|out| {
            let value = |value: &str, out: &mut BytesMut| {
                out.put_slice(value.as_bytes());
                Ok(postgres_protocol::IsNull::No)
            };
            frontend::bind("p", name, [0], ["7"], value, [1], out)
                .unwrap_or_else(|_| panic!("a bind"));
        })
    };
    assert_eq!(read_bind(&bind("s0")).expect("good"), "s0");
    assert_eq!(rename_bind(&bind("s0"), b"bp17"), Ok(bind("bp17")));
    let frame = written(|out| frontend::describe(b'S', "s0", out).unwrap());
    assert_eq!(
        (read_target(&frame), describe(b"s0")),
        (Ok((b'S', Bytes::from_static(b"s0"))), frame)
    );
    assert_eq!(
        close(b"s0"),
        written(|out| frontend::close(b'S', "s0", out).unwrap())
    );
}

#[test]
fn what_is_malformed_is_an_error() {
    for body in [
        &b""[..],
        b"s",
        b"s\0",
        b"s\0select",
        b"s\0select\0",
        b"s\0select\0\0",
    ] {
        assert_eq!(
            read_parse(&Frame::new(b'P', body)),
            Err(MalformedMessage),
            "{body:?}"
        );
    }
    for body in [&b""[..], b"p", b"p\0", b"p\0s"] {
        assert_eq!(
            read_bind(&Frame::new(b'B', body)),
            Err(MalformedMessage),
            "{body:?}"
        );
        assert_eq!(
            rename_bind(&Frame::new(b'B', body), b"x"),
            Err(MalformedMessage),
            "{body:?}"
        );
    }
    for body in [&b""[..], b"S", b"Ss", b"Xs\0"] {
        assert_eq!(
            read_target(&Frame::new(b'D', body)),
            Err(MalformedMessage),
            "{body:?}"
        );
    }
}

#[test]
fn a_statement_is_prepared_once_and_the_oldest_makes_room() {
    let mut prepared = ServerStatements::default();
    let one = prepared.take(&text("select 1"));
    assert_eq!((one.name.as_ref(), one.first.len()), (&b"bp0"[..], 1));
    assert!(prepared.take(&text("select 1")).first.is_empty());
    for n in 0..MAX_SERVER_STATEMENTS {
        // The first stays in use, so it is never the oldest.
        assert!(prepared.take(&text("select 1")).first.is_empty(), "{n}");
        let next = prepared.take(&text(&format!("select {n} + 1")));
        assert_eq!(
            next.first.len(),
            if n + 1 < MAX_SERVER_STATEMENTS { 1 } else { 2 },
            "{n}"
        );
    }
    assert_eq!(prepared.known.len(), MAX_SERVER_STATEMENTS);
    prepared.forget(&text("select 1"));
    assert_eq!(prepared.take(&text("select 1")).first.len(), 1);
    let mut named = ClientStatements::default();
    (0..MAX_NAMED_STATEMENTS).for_each(|n| {
        named
            .insert(Bytes::from(n.to_string()), text("x"))
            .expect("room")
    });
    assert_eq!(
        named.insert(Bytes::from_static(b"more"), text("x")),
        Err(TooManyStatements)
    );
    assert_eq!(named.insert(Bytes::from_static(b"0"), text("y")), Ok(()));
}

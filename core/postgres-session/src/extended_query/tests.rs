use postgres_protocol::message::frontend;

use super::*;

/// Returns the frame written by a function of the `postgres_protocol` crate.
fn written(write: impl Fn(&mut BytesMut)) -> Frame {
    let mut wire = BytesMut::new();
    write(&mut wire);
    Frame::new(wire[0], Bytes::copy_from_slice(&wire[5..]))
}

/// Creates a `Bind` of portal `p` to a statement, with one text parameter.
fn bind(statement: &str) -> Frame {
    written(|out| {
        let write_value = |value: &str, buffer: &mut BytesMut| {
            buffer.put_slice(value.as_bytes());
            Ok(postgres_protocol::IsNull::No)
        };
        frontend::bind("p", statement, [0], ["7"], write_value, [1], out)
            .unwrap_or_else(|_| panic!("a bind"));
    })
}

#[test]
fn messages_of_real_drivers_are_read_and_renamed() {
    let message = written(|out| frontend::parse("s0", "select $1", [23], out).unwrap());
    let ParseMessage { name, text } = ParseMessage::read(&message).expect("good");
    assert_eq!((name.as_ref(), text.sql()), (&b"s0"[..], &b"select $1"[..]));
    assert_eq!(parse(b"s0", &text), message);
    assert_eq!(bind_statement(&bind("s0")).expect("good"), "s0");
    assert_eq!(rename_bind(&bind("s0"), b"bp17"), Ok(bind("bp17")));
    let describe = written(|out| frontend::describe(b'S', "s0", out).unwrap());
    let target = Target {
        kind: TargetKind::Statement,
        name: Bytes::from_static(b"s0"),
    };
    assert_eq!(
        (Target::read(&describe), describe_statement(b"s0")),
        (Ok(target), describe)
    );
    assert_eq!(
        close_statement(b"s0"),
        written(|out| frontend::close(b'S', "s0", out).unwrap())
    );
}

#[test]
fn unterminated_names_and_unknown_targets_are_malformed() {
    for body in [
        &b""[..],
        b"s",
        b"s\0",
        b"s\0select",
        b"s\0select\0",
        b"s\0select\0\0",
    ] {
        assert_eq!(
            ParseMessage::read(&Frame::new(b'P', body)),
            Err(MalformedMessage),
            "{body:?}"
        );
    }
    for body in [&b""[..], b"p", b"p\0", b"p\0s"] {
        assert_eq!(
            bind_statement(&Frame::new(b'B', body)),
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
            Target::read(&Frame::new(b'D', body)),
            Err(MalformedMessage),
            "{body:?}"
        );
    }
}

/// Guards against a statement of a few bytes that keeps the whole buffer in which it was received.
#[test]
fn a_statement_that_is_kept_does_not_keep_its_message() {
    let received = Bytes::from([&b"name\0select 1\0\0\0"[..], &[0; 16 * 1024]].concat());
    let frame = Frame::new(crate::message_tags::frontend::PARSE, received.slice(..16));
    let kept = ParseMessage::read_to_keep(&frame).expect("a good message");
    assert_eq!(kept, ParseMessage::read(&frame).expect("a good message"));
    drop(frame);
    assert!(received.is_unique(), "the buffer is still in use");
    drop(kept);
}

use postgres_protocol::message::backend::Message;

use super::*;

/// Reads the fields of an `ErrorResponse` with the `postgres_protocol` crate.
fn fields(frame: &Frame) -> Vec<(u8, String)> {
    use postgres_protocol::message::backend::ErrorFields;
    let mut wire = BytesMut::new();
    frame.write(&mut wire);
    let Ok(Some(Message::ErrorResponse(body))) = Message::parse(&mut wire) else {
        panic!("{frame:?}")
    };
    let mut fields: ErrorFields<'_> = body.fields();
    let mut read = Vec::new();
    while let Ok(Some(field)) = next_field(&mut fields) {
        read.push(field);
    }
    read
}

fn next_field(
    fields: &mut postgres_protocol::message::backend::ErrorFields<'_>,
) -> std::io::Result<Option<(u8, String)>> {
    use fallible_iterator::FallibleIterator;
    Ok(fields.next()?.map(|f| {
        (
            f.type_(),
            String::from_utf8_lossy(f.value_bytes()).into_owned(),
        )
    }))
}

#[test]
fn error_responses_are_read_by_an_independent_parser() {
    let rejected = fields(&error_response(
        ErrorReason::Rejected {
            retry_after_ms: 250,
        },
        Some("a\0b"),
    ));
    let value = |of: u8| {
        rejected
            .iter()
            .find(|(field, _)| *field == of)
            .map(|(_, value)| value.as_str())
    };
    assert_eq!(
        (value(b'C'), value(b'S'), value(b'D')),
        (Some("53300"), Some("ERROR"), Some("ab"))
    );
    assert!(value(b'H').is_some_and(|hint| hint.contains("250 ms")));
    let stopping = fields(&error_response(ErrorReason::ShuttingDown, None));
    assert!(stopping.contains(&(b'S', "FATAL".to_owned())));
}

#[test]
fn parameter_status_holds_a_name_and_a_value() {
    let frame = Frame::new(b'S', &b"TimeZone\0UTC\0"[..]);
    let status = ParameterStatus::read(&frame).expect("two strings");
    assert_eq!((&*status.name, &*status.value), ("TimeZone", "UTC"));
    assert_eq!(
        ParameterStatus::read(&Frame::new(b'S', &b"TimeZone"[..])),
        None
    );
}

#[test]
fn a_server_error_holds_the_code_and_the_message() {
    let error = Frame::new(
        b'E',
        &b"SFATAL\0C53300\0Msorry, too many clients already\0\0"[..],
    );
    let ServerError { code, message } = ServerError::read(&error);
    assert_eq!(
        (code.as_str(), message.as_str()),
        ("53300", "sorry, too many clients already")
    );
    let empty = ServerError::read(&Frame::new(b'E', &b"\0"[..]));
    assert_eq!((empty.code.as_str(), empty.message.as_str()), ("", ""));
}

#[test]
fn a_written_parameter_status_is_read_again() {
    let written = ParameterStatus {
        name: "TimeZone".into(),
        value: "UTC".into(),
    };
    assert_eq!(
        ParameterStatus::read(&written.to_frame()).as_ref(),
        Some(&written)
    );
}

#[test]
fn authentication_and_cancel_key_are_read_by_an_independent_parser() {
    let parse = |frame: &Frame| {
        let mut wire = BytesMut::new();
        frame.write(&mut wire);
        Message::parse(&mut wire).expect("valid").expect("complete")
    };
    assert!(matches!(
        parse(&authentication_ok()),
        Message::AuthenticationOk
    ));
    assert!(matches!(
        parse(&authentication_request(
            authentication::SASL,
            b"SCRAM-SHA-256\0\0"
        )),
        Message::AuthenticationSasl(_)
    ));
    let Message::BackendKeyData(key) = parse(&backend_key_data(7, 9_u32.to_be_bytes())) else {
        panic!("no BackendKeyData")
    };
    assert_eq!((key.process_id(), key.secret_key()), (7, 9));
}

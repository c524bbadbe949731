use super::*;

fn encode_packet(code: u32, rest: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(rest.len() + 8)
        .unwrap()
        .to_be_bytes()
        .to_vec();
    bytes.extend_from_slice(&code.to_be_bytes());
    bytes.extend_from_slice(rest);
    bytes
}

fn read(bytes: &[u8]) -> Result<Option<StartupPacket>, StartupError> {
    let mut startup = StartupReader::default();
    startup.push(bytes);
    startup.next_packet()
}

fn read_startup_message(code: u32, rest: &[u8]) -> StartupMessage {
    match read(&encode_packet(code, rest)) {
        Ok(Some(StartupPacket::StartupMessage(message))) => message,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_startup_message_names_user_database_and_application() {
    let bytes = b"user\0ann\0application_name\0seat\0\0";
    let message = read_startup_message(3 << 16, bytes);
    assert_eq!(
        (
            message.user.as_str(),
            message.database.as_str(),
            message.application()
        ),
        ("ann", "ann", "seat")
    );
    assert_eq!((message.minor, message.negotiate), (0, None));
    assert_eq!(
        read_startup_message(3 << 16, b"user\0ann\0database\0ratings\0\0").database,
        "ratings"
    );
}

/// The client sends a message byte by byte, followed by other bytes.
#[test]
fn a_startup_message_is_read_once_it_is_complete() {
    let bytes = b"user\0ann\0application_name\0seat\0\0";
    let packet_bytes = encode_packet(3 << 16, bytes);
    let mut startup = StartupReader::default();
    for byte in &packet_bytes[..packet_bytes.len() - 1] {
        startup.push(&[*byte]);
        assert_eq!(startup.next_packet(), Ok(None));
    }
    startup.push(b"\0more");
    assert!(matches!(
        startup.next_packet(),
        Ok(Some(StartupPacket::StartupMessage(_)))
    ));
    assert_eq!(startup.take_remaining(), "more");
}

#[test]
fn newer_protocol_versions_are_negotiated_down() {
    let user = b"user\0ann\0\0";
    assert_eq!(
        (
            read_startup_message(3 << 16 | 2, user).minor,
            read_startup_message(3 << 16 | 2, user).negotiate
        ),
        (2, None)
    );
    assert_eq!(read_startup_message(3 << 16 | 1, user).minor, 0);
    let newer = read_startup_message(3 << 16 | 9, b"user\0ann\0_pq_.colour\0red\0\0");
    assert_eq!(newer.minor, 2);
    assert_eq!(
        newer.negotiate.as_deref(),
        Some(&b"\0\x03\0\x02\0\0\0\x01_pq_.colour\0"[..])
    );
    assert_eq!(
        read(&encode_packet(2 << 16, user)),
        Err(StartupError::Version(2, 0))
    );
    assert_eq!(
        read(&encode_packet(4 << 16, user)),
        Err(StartupError::Version(4, 0))
    );
}

#[test]
fn encryption_is_requested_once_and_cancel_requests_carry_keys() {
    let mut startup = StartupReader::default();
    startup.push(
        &[
            encode_packet(GSS_ENCRYPTION_REQUEST_CODE, b""),
            encode_packet(SSL_REQUEST_CODE, b""),
            encode_packet(SSL_REQUEST_CODE, b""),
        ]
        .concat(),
    );
    assert_eq!(
        startup.next_packet(),
        Ok(Some(StartupPacket::GssEncryptionRequest))
    );
    assert_eq!(startup.next_packet(), Ok(Some(StartupPacket::SslRequest)));
    assert_eq!(
        startup.next_packet(),
        Err(StartupError::RepeatedEncryptionRequest)
    );
    let key = Bytes::from_static(b"abcd");
    assert_eq!(
        read(&encode_packet(CANCEL_REQUEST_CODE, b"\0\0\0\x07abcd")),
        Ok(Some(StartupPacket::CancelRequest { process: 7, key }))
    );
    assert!(read(&encode_packet(CANCEL_REQUEST_CODE, b"\0\0\0\x07abc")).is_err());
    assert!(read(&encode_packet(CANCEL_REQUEST_CODE, &[0; 300])).is_err());
}

#[test]
fn other_protocols_and_malformed_packets_are_errors() {
    assert_eq!(read(b"GET / HTTP/1.1\r\n\r\n"), Err(StartupError::Http));
    assert_eq!(
        read(&[0, 0, 0, 7, 0, 3, 0, 0]),
        Err(StartupError::Length(7))
    );
    assert_eq!(read(&[0, 1, 0, 0]), Err(StartupError::Length(65_536)));
    for (rest, error) in [
        (&b"user\0ann\0"[..], StartupError::Parameters),
        (b"user\0ann", StartupError::Parameters),
        (b"user\0\xff\0\0", StartupError::Parameters),
        (b"user\0ann\0\0more\0x\0\0", StartupError::Parameters),
        (b"database\0x\0\0", StartupError::NoUser),
        (
            b"user\0ann\0replication\0database\0\0",
            StartupError::Replication,
        ),
    ] {
        assert_eq!(read(&encode_packet(3 << 16, rest)), Err(error), "{rest:?}");
    }
}

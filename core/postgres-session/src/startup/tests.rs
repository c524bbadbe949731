use super::*;

fn packet(code: u32, rest: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(rest.len() + 8)
        .unwrap()
        .to_be_bytes()
        .to_vec();
    bytes.extend_from_slice(&code.to_be_bytes());
    bytes.extend_from_slice(rest);
    bytes
}

fn take(bytes: &[u8]) -> Result<Option<StartupPacket>, StartupError> {
    let mut startup = StartupReader::default();
    startup.push(bytes);
    startup.take()
}

fn wanted(code: u32, rest: &[u8]) -> StartupMessage {
    match take(&packet(code, rest)) {
        Ok(Some(StartupPacket::Session(wanted))) => wanted,
        other => panic!("{other:?}"),
    }
}

#[test]
fn sessions_say_who_they_are() {
    let bytes = b"user\0ann\0application_name\0seat\0\0";
    let session = wanted(3 << 16, bytes);
    assert_eq!(
        (
            session.user.as_str(),
            session.database.as_str(),
            session.application()
        ),
        ("ann", "ann", "seat")
    );
    assert_eq!((session.minor, session.negotiate), (0, None));
    assert_eq!(
        wanted(3 << 16, b"user\0ann\0database\0ratings\0\0").database,
        "ratings"
    );
    // Byte by byte, as somebody might trickle it in.
    let whole = packet(3 << 16, bytes);
    let mut startup = StartupReader::default();
    for byte in &whole[..whole.len() - 1] {
        startup.push(&[*byte]);
        assert_eq!(startup.take(), Ok(None));
    }
    startup.push(b"\0more");
    assert!(matches!(
        startup.take(),
        Ok(Some(StartupPacket::Session(_)))
    ));
    assert_eq!(startup.rest(), "more");
}

#[test]
fn newer_versions_are_negotiated_down() {
    let user = b"user\0ann\0\0";
    assert_eq!(
        (
            wanted(3 << 16 | 2, user).minor,
            wanted(3 << 16 | 2, user).negotiate
        ),
        (2, None)
    );
    assert_eq!(wanted(3 << 16 | 1, user).minor, 0);
    let newer = wanted(3 << 16 | 9, b"user\0ann\0_pq_.colour\0red\0\0");
    assert_eq!(newer.minor, 2);
    assert_eq!(
        newer.negotiate.as_deref(),
        Some(&b"\0\x03\0\x02\0\0\0\x01_pq_.colour\0"[..])
    );
    assert_eq!(
        take(&packet(2 << 16, user)),
        Err(StartupError::Version(2, 0))
    );
    assert_eq!(
        take(&packet(4 << 16, user)),
        Err(StartupError::Version(4, 0))
    );
}

#[test]
fn encryption_is_asked_for_once_and_cancels_carry_keys() {
    let mut startup = StartupReader::default();
    startup.push(
        &[
            packet(GSS_REQUEST, b""),
            packet(SSL_REQUEST, b""),
            packet(SSL_REQUEST, b""),
        ]
        .concat(),
    );
    assert_eq!(startup.take(), Ok(Some(StartupPacket::Gss)));
    assert_eq!(startup.take(), Ok(Some(StartupPacket::Tls)));
    assert_eq!(startup.take(), Err(StartupError::Again));
    let key = Bytes::from_static(b"abcd");
    assert_eq!(
        take(&packet(CANCEL_REQUEST, b"\0\0\0\x07abcd")),
        Ok(Some(StartupPacket::Cancel { process: 7, key }))
    );
    assert!(take(&packet(CANCEL_REQUEST, b"\0\0\0\x07abc")).is_err());
    assert!(take(&packet(CANCEL_REQUEST, &[0; 300])).is_err());
}

#[test]
fn who_is_no_client_is_told_so() {
    assert_eq!(take(b"GET / HTTP/1.1\r\n\r\n"), Err(StartupError::Http));
    assert_eq!(
        take(&[0, 0, 0, 7, 0, 3, 0, 0]),
        Err(StartupError::Length(7))
    );
    assert_eq!(take(&[0, 1, 0, 0]), Err(StartupError::Length(65_536)));
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
        assert_eq!(take(&packet(3 << 16, rest)), Err(error), "{rest:?}");
    }
}

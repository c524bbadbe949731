use super::*;

#[test]
fn messages_are_decoded_as_encoded_wherever_the_bytes_are_split() {
    let (post, get) = (
        request("POST", "/api", "A: b\r\n", b"body"),
        request("GET", "/", "", b""),
    );
    let all = [post, get].concat();
    for split in 0..all.len() {
        let mut decoder = MessageDecoder::new(MessageKind::Request);
        let mut decoded = Vec::new();
        for part in [&all[..split], &all[split..]] {
            decoder.push(part);
            while let Some(message) = decoder.next_message().expect("valid messages") {
                decoded.push((message.method.clone(), message.body.clone()));
            }
        }
        assert_eq!(
            decoded,
            [
                ("POST".to_owned(), b"body".to_vec()),
                ("GET".to_owned(), Vec::new())
            ],
            "{split}"
        );
        assert!(!decoder.has_buffered_bytes());
    }
}

#[test]
fn responses_without_a_length_and_invalid_messages_are_errors() {
    let read = |bytes: &[u8]| {
        let mut decoder = MessageDecoder::new(MessageKind::Response);
        decoder.push(bytes);
        decoder.next_message()
    };
    let valid = read(&response(503, "Connection: close\r\n", b"no"))
        .expect("a valid response")
        .expect("a complete response");
    assert_eq!(
        (
            valid.status,
            valid.closes_connection(),
            valid.body.as_slice()
        ),
        (503, true, b"no".as_slice())
    );
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\n\r\n"),
        Err(MessageError::InvalidLength)
    );
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"),
        Err(MessageError::InvalidLength)
    );
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
        Err(MessageError::TooLong)
    );
    assert!(matches!(
        read(b"\x01\x02\r\n\r\n"),
        Err(MessageError::InvalidHead(_))
    ));
    assert_eq!(read(b"HTTP/1.1 200"), Ok(None));
}

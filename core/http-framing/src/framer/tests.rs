use proptest::prelude::*;

use super::*;
use crate::line::MAX_STORED_LINE_BYTES;

/// Returns all events of a connection on which these pieces are received.
fn events(pieces: &[&[u8]]) -> Vec<FramingEvent> {
    let mut framer = RequestFramer::new();
    let mut events = Vec::new();
    for piece in pieces {
        framer.feed(piece, &mut |event| events.push(event));
    }
    events
}

/// Returns the error with which a request with these field lines is rejected.
fn head_error(field_lines: &str) -> Option<FramingError> {
    let text = format!("POST /api HTTP/1.1\r\nHost: h\r\n{field_lines}\r\n");
    events(&[text.as_bytes()])
        .into_iter()
        .find_map(|event| match event {
            FramingEvent::HeadComplete(result) => result.err(),
            _ => None,
        })
}

/// The events of a valid request.
const VALID_REQUEST: [FramingEvent; 3] = [
    FramingEvent::Started,
    FramingEvent::HeadComplete(Ok(())),
    FramingEvent::MessageComplete,
];

#[test]
fn each_framing_completes_at_its_last_byte() {
    for text in [
        "GET /api HTTP/1.1\r\nHost: h\r\n\r\n",
        "\r\n\r\nGET /api HTTP/1.1\nHost: h\n\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\ncontent-length:0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5 ;a=\"b\"\r\nhello\r\n00\r\nx: y\r\nz: 1\r\n\r\n",
    ] {
        assert_eq!(events(&[text.as_bytes()]), VALID_REQUEST, "{text:?}");
        let twice = [text, text].concat();
        assert_eq!(
            events(&[twice.as_bytes()]),
            [VALID_REQUEST, VALID_REQUEST].concat(),
            "pipelined: {text:?}"
        );
    }
}

/// Guards against request smuggling by framing that two recipients may interpret differently.
#[test]
fn ambiguous_framing_is_rejected() {
    for (field_lines, error) in [
        (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            FramingError::ContentLengthWithTransferEncoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            FramingError::ContentLengthWithTransferEncoding,
        ),
        (
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            FramingError::RepeatedContentLength,
        ),
        (
            "Content-Length: 5, 5\r\n",
            FramingError::InvalidContentLength,
        ),
        ("Content-Length: +5\r\n", FramingError::InvalidContentLength),
        (
            "Content-Length: 0x5\r\n",
            FramingError::InvalidContentLength,
        ),
        ("Content-Length:\r\n", FramingError::InvalidContentLength),
        (
            "Content-Length: 99999999999999999999\r\n",
            FramingError::InvalidContentLength,
        ),
        (
            "Transfer-Encoding: gzip, chunked\r\n",
            FramingError::UnsupportedTransferCoding,
        ),
        (
            "Transfer-Encoding: chunked, identity\r\n",
            FramingError::UnsupportedTransferCoding,
        ),
        (
            "Transfer-Encoding: xchunked\r\n",
            FramingError::UnsupportedTransferCoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            FramingError::UnsupportedTransferCoding,
        ),
        (
            "Transfer-Encoding : chunked\r\n",
            FramingError::InvalidFieldWhitespace,
        ),
        (
            "Content-Length\t: 5\r\n",
            FramingError::InvalidFieldWhitespace,
        ),
        ("X: a\r\n b\r\n", FramingError::InvalidFieldWhitespace),
    ] {
        assert_eq!(head_error(field_lines), Some(error), "{field_lines:?}");
    }
}

#[test]
fn an_http_1_0_request_with_a_transfer_coding_is_rejected() {
    let http_1_0 = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        events(&[http_1_0]),
        [
            FramingEvent::Started,
            FramingEvent::HeadComplete(Err(FramingError::UnsupportedTransferCoding))
        ]
    );
}

#[test]
fn a_head_or_a_content_length_field_beyond_the_length_limit_is_rejected() {
    assert_eq!(
        head_error(&format!("X: {}\r\n", "y".repeat(MAX_SECTION_BYTES))),
        Some(FramingError::SectionTooLong)
    );
    assert_eq!(
        head_error(&format!(
            "Content-Length: {}5\r\n",
            "0".repeat(MAX_STORED_LINE_BYTES)
        )),
        Some(FramingError::InvalidContentLength)
    );
}

#[test]
fn a_malformed_chunk_is_rejected() {
    for chunks in [
        "g\r\n",
        "\r\n",
        "-1\r\n",
        "12345678901234567\r\n",
        "2\r\nabc\r\n",
        "2\r\nab\rc",
        "0x2\r\nab\r\n",
    ] {
        let text = format!(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}GET / HTTP/1.1\r\n\r\n"
        );
        let events = events(&[text.as_bytes()]);
        assert_eq!(
            events.last(),
            Some(&FramingEvent::BodyInvalid(FramingError::InvalidChunk)),
            "{chunks:?}: {events:?}"
        );
    }
}

fn request() -> impl Strategy<Value = String> {
    let chunk = "[a-z]{1,40}".prop_map(|data| format!("{:x};e\r\n{data}\r\n", data.len()));
    prop_oneof![
        Just("GET /a HTTP/1.1\r\nHost: h\r\n\r\n".to_owned()),
        "[a-z]{0,60}".prop_map(|body| format!(
            "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )),
        prop::collection::vec(chunk, 0..4).prop_map(|chunks| format!(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\nt: u\r\n\r\n",
            chunks.concat()
        )),
        Just("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd".to_owned()),
    ]
}

proptest! {
    /// Guards against events that depend on how the bytes are split between reads.
    #[test]
    fn any_split_of_the_bytes_gives_the_same_events(
        requests in prop::collection::vec(request(), 1..5),
        splits in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let text = requests.concat().into_bytes();
        let mut positions: Vec<usize> = splits.iter().map(|split| split.index(text.len() + 1)).collect();
        positions.extend([0, text.len()]);
        positions.sort_unstable();
        let pieces: Vec<&[u8]> = positions.windows(2).map(|pair| &text[pair[0]..pair[1]]).collect();
        let byte_by_byte: Vec<&[u8]> = text.chunks(1).collect();
        let unsplit = events(&[&text]);
        prop_assert_eq!(events(&pieces), unsplit.clone());
        prop_assert_eq!(events(&byte_by_byte), unsplit);
    }

    /// Guards against panics and unbounded memory for arbitrary input.
    #[test]
    fn any_bytes_are_processed_in_bounded_memory(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 0..20)) {
        let mut framer = RequestFramer::new();
        for piece in pieces {
            framer.feed(&piece, &mut |_| {});
            prop_assert!(framer.line.stored_length() <= MAX_STORED_LINE_BYTES);
        }
    }
}

/// Guards against losing the protocol version at the end of a request line that is longer than the stored prefix.
#[test]
fn an_http_1_0_transfer_coding_is_rejected_for_any_request_line_length() {
    for length in [1, 200, 256, 1000, 30_000] {
        let target = "x".repeat(length);
        let text = format!("POST /{target} HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n");
        assert_eq!(
            events(&[text.as_bytes()]).last(),
            Some(&FramingEvent::HeadComplete(Err(
                FramingError::UnsupportedTransferCoding
            ))),
            "{length}"
        );
    }
}

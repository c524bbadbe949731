use proptest::prelude::*;

use super::*;

fn signs(pieces: &[&[u8]]) -> Vec<FramingEvent> {
    let (mut follower, mut told) = (RequestFramer::new(), Vec::new());
    pieces
        .iter()
        .for_each(|piece| follower.feed(piece, &mut |sign| told.push(sign)));
    told
}

fn fault(head: &str) -> Option<FramingError> {
    let text = format!("POST /api HTTP/1.1\r\nHost: h\r\n{head}\r\n");
    signs(&[text.as_bytes()])
        .into_iter()
        .find_map(|sign| match sign {
            FramingEvent::HeadComplete(result) => result.err(),
            _ => None,
        })
}

const GOOD: [FramingEvent; 3] = [
    FramingEvent::Started,
    FramingEvent::HeadComplete(Ok(())),
    FramingEvent::MessageComplete,
];

#[test]
fn each_framing_ends_where_it_should() {
    for text in [
        "GET /api HTTP/1.1\r\nHost: h\r\n\r\n",
        "\r\n\r\nGET /api HTTP/1.1\nHost: h\n\n",
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\ncontent-length:0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5 ;a=\"b\"\r\nhello\r\n00\r\nx: y\r\nz: 1\r\n\r\n",
    ] {
        assert_eq!(signs(&[text.as_bytes()]), GOOD, "{text:?}");
        let twice = [text, text].concat();
        assert_eq!(
            signs(&[twice.as_bytes()]),
            [GOOD, GOOD].concat(),
            "one behind the other: {text:?}"
        );
    }
}

/// Guards against request smuggling: two readers of the same bytes must not see two requests and one.
#[test]
fn what_can_be_read_in_two_ways_is_refused() {
    for (head, why) in [
        (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            FramingError::LengthAndCoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            FramingError::LengthAndCoding,
        ),
        (
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            FramingError::MultipleLengths,
        ),
        ("Content-Length: 5, 5\r\n", FramingError::InvalidLength),
        ("Content-Length: +5\r\n", FramingError::InvalidLength),
        ("Content-Length: 0x5\r\n", FramingError::InvalidLength),
        ("Content-Length:\r\n", FramingError::InvalidLength),
        (
            "Content-Length: 99999999999999999999\r\n",
            FramingError::InvalidLength,
        ),
        (
            "Transfer-Encoding: gzip, chunked\r\n",
            FramingError::UnsupportedCoding,
        ),
        (
            "Transfer-Encoding: chunked, identity\r\n",
            FramingError::UnsupportedCoding,
        ),
        (
            "Transfer-Encoding: xchunked\r\n",
            FramingError::UnsupportedCoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            FramingError::UnsupportedCoding,
        ),
        (
            "Transfer-Encoding : chunked\r\n",
            FramingError::FoldedHeader,
        ),
        ("Content-Length\t: 5\r\n", FramingError::FoldedHeader),
        ("X: a\r\n b\r\n", FramingError::FoldedHeader),
    ] {
        assert_eq!(fault(head), Some(why), "{head:?}");
    }
    let old = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        signs(&[old]),
        [
            FramingEvent::Started,
            FramingEvent::HeadComplete(Err(FramingError::UnsupportedCoding))
        ]
    );
    assert_eq!(
        fault(&format!("X: {}\r\n", "y".repeat(HEAD_MOST))),
        Some(FramingError::TooLong)
    );
    assert_eq!(
        fault(&format!("Content-Length: {}5\r\n", "0".repeat(LINE_MOST))),
        Some(FramingError::InvalidLength)
    );
}

#[test]
fn a_chunk_that_makes_no_sense_ends_it() {
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
        let told = signs(&[text.as_bytes()]);
        assert_eq!(
            told.last(),
            Some(&FramingEvent::BodyInvalid(FramingError::InvalidChunk)),
            "{chunks:?}: {told:?}"
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
    /// Where the bytes are cut changes nothing.
    #[test]
    fn any_cuts_tell_the_same(
        requests in prop::collection::vec(request(), 1..5),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let text = requests.concat().into_bytes();
        let mut at: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        at.extend([0, text.len()]);
        at.sort_unstable();
        let pieces: Vec<&[u8]> = at.windows(2).map(|pair| &text[pair[0]..pair[1]]).collect();
        let byte_by_byte: Vec<&[u8]> = text.chunks(1).collect();
        let whole = signs(&[&text]);
        prop_assert_eq!(signs(&pieces), whole.clone());
        prop_assert_eq!(signs(&byte_by_byte), whole);
    }

    /// Nothing that comes panics it or makes it keep more than a line's beginning.
    #[test]
    fn anything_is_taken(pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 0..20)) {
        let mut follower = RequestFramer::new();
        for piece in pieces {
            follower.feed(&piece, &mut |_| {});
            prop_assert!(follower.line.len() <= LINE_MOST);
        }
    }
}

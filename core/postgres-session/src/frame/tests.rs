use super::*;

fn decode_all(decoder: &mut FrameDecoder) -> Vec<DecodeResult> {
    std::iter::from_fn(|| decoder.next_from_server().expect("good frames")).collect()
}

#[test]
fn messages_are_decoded_as_written_wherever_the_bytes_are_split() {
    let frames = [
        Frame::new(b'Z', &b"I"[..]),
        Frame::new(b'E', &b"SFATAL\0\0"[..]),
        Frame::new(b'1', &b""[..]),
    ];
    let mut wire = BytesMut::new();
    for frame in &frames {
        frame.write(&mut wire);
    }
    for split in 0..wire.len() {
        let mut decoder = FrameDecoder::default();
        let mut got = Vec::new();
        for part in [&wire[..split], &wire[split..]] {
            decoder.push(part);
            got.extend(decode_all(&mut decoder));
        }
        assert_eq!(got, frames.clone().map(DecodeResult::Frame), "{split}");
        assert_eq!(decoder.buffered_len(), 0);
    }
}

#[test]
fn large_rows_are_streamed_in_chunks_and_not_buffered() {
    let mut wire = BytesMut::new();
    Frame::new(b'D', vec![7; 1024 * 1024]).write(&mut wire);
    Frame::new(b'Z', &b"I"[..]).write(&mut wire);
    let mut decoder = FrameDecoder::default();
    let mut streamed = Vec::new();
    let mut most_buffered = 0;
    for part in wire.chunks(5000) {
        decoder.push(part);
        for message in decode_all(&mut decoder) {
            match message {
                DecodeResult::Chunk { tag, bytes, last } => {
                    streamed.extend_from_slice(&bytes);
                    assert_eq!((tag, last), (b'D', streamed.len() == 1024 * 1024 + 5));
                }
                DecodeResult::Frame(frame) => assert_eq!(frame, Frame::new(b'Z', &b"I"[..])),
            }
        }
        most_buffered = most_buffered.max(decoder.buffered_len());
    }
    assert_eq!(streamed, wire[..1024 * 1024 + 5]);
    assert!(most_buffered < 16, "{most_buffered}");
}

/// The type byte of `Describe` is also that of a server's `DataRow`, which is streamed.
#[test]
fn a_clients_describe_is_not_streamed() {
    let mut decoder = FrameDecoder::default();
    decoder.push(b"D\0\0\0\x06S\0");
    assert_eq!(
        decoder.next_from_client(),
        Ok(Some(DecodeResult::Frame(Frame::new(b'D', &b"S\0"[..]))))
    );
}

#[test]
fn invalid_lengths_are_errors_before_the_body_arrives() {
    let decode = |bytes: &[u8]| {
        let mut decoder = FrameDecoder::default();
        decoder.push(bytes);
        decoder.next_from_client()
    };
    assert_eq!(
        decode(b"Q\0\0\0\x03"),
        Err(FrameError::Short {
            tag: b'Q',
            length: 3
        })
    );
    assert_eq!(
        decode(b"Q\x7f\xff\xff\xff"),
        Err(FrameError::Long {
            tag: b'Q',
            length: 0x7fff_ffff,
            limit: MAX_FRAME_LENGTH,
        })
    );
    assert_eq!(decode(b"Q\0\0\0"), Ok(None));
}

/// Guards against a limit that is checked once the message is complete: until then, all of it would be buffered.
#[test]
fn a_message_above_the_limit_of_the_decoder_is_rejected_by_its_length() {
    let mut decoder = FrameDecoder::with_max_length(10);
    decoder.push(b"p\0\0\0\x0a123456p\0\0\0\x0b");
    let first = Frame::new(b'p', &b"123456"[..]);
    assert_eq!(
        decoder.next_from_client(),
        Ok(Some(DecodeResult::Frame(first)))
    );
    let error = FrameError::Long {
        tag: b'p',
        length: 11,
        limit: 10,
    };
    assert_eq!(decoder.next_from_client(), Err(error));
    decoder.set_max_length(11);
    assert_eq!(decoder.next_from_client(), Ok(None));
}

use super::*;

fn all(cutter: &mut FrameDecoder) -> Vec<DecodeResult> {
    std::iter::from_fn(|| cutter.next_from_server().expect("good frames")).collect()
}

#[test]
fn frames_are_cut_as_they_were_written_however_they_come() {
    let frames = [
        Frame::new(b'Z', &b"I"[..]),
        Frame::new(b'E', &b"SFATAL\0\0"[..]),
        Frame::new(b'1', &b""[..]),
    ];
    let mut wire = BytesMut::new();
    frames.iter().for_each(|frame| frame.write(&mut wire));
    for cut in 0..wire.len() {
        let mut cutter = FrameDecoder::default();
        let mut got = Vec::new();
        for part in [&wire[..cut], &wire[cut..]] {
            cutter.push(part);
            got.extend(all(&mut cutter));
        }
        assert_eq!(got, frames.clone().map(DecodeResult::Frame), "{cut}");
        assert_eq!(cutter.held(), 0);
    }
}

/// A row of a megabyte passes in pieces, and nothing of it is kept.
#[test]
fn rows_pass_in_pieces_that_add_up() {
    let mut wire = BytesMut::new();
    Frame::new(b'D', vec![7; 1024 * 1024]).write(&mut wire);
    Frame::new(b'Z', &b"I"[..]).write(&mut wire);
    let (mut cutter, mut passed, mut most) = (FrameDecoder::default(), Vec::new(), 0);
    for part in wire.chunks(5000) {
        cutter.push(part);
        for cut in all(&mut cutter) {
            match cut {
                DecodeResult::Chunk { tag, bytes, last } => {
                    passed.extend_from_slice(&bytes);
                    assert_eq!((tag, last), (b'D', passed.len() == 1024 * 1024 + 5));
                }
                DecodeResult::Frame(frame) => assert_eq!(frame, Frame::new(b'Z', &b"I"[..])),
            }
        }
        most = most.max(cutter.held());
    }
    assert_eq!(passed, wire[..1024 * 1024 + 5]);
    assert!(most < 16, "{most}");
    // From a client the same tag asks to describe, and is looked at.
    let mut cutter = FrameDecoder::default();
    cutter.push(b"D\0\0\0\x06S\0");
    assert_eq!(
        cutter.next_from_client(),
        Ok(Some(DecodeResult::Frame(Frame::new(b'D', &b"S\0"[..]))))
    );
}

#[test]
fn false_lengths_are_errors_before_anything_is_kept_for_them() {
    let cut = |bytes: &[u8]| {
        let mut cutter = FrameDecoder::default();
        cutter.push(bytes);
        cutter.next_from_client()
    };
    assert_eq!(
        cut(b"Q\0\0\0\x03"),
        Err(FrameError::Short {
            tag: b'Q',
            length: 3
        })
    );
    assert_eq!(
        cut(b"Q\x7f\xff\xff\xff"),
        Err(FrameError::Long {
            tag: b'Q',
            length: 0x7fff_ffff
        })
    );
    assert_eq!(cut(b"Q\0\0\0"), Ok(None));
}

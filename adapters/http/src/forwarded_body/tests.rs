use std::collections::VecDeque;
use std::task::Waker;

use hyper::HeaderMap;

use super::*;

/// A source that yields the given frames.
#[derive(Default)]
struct FakeSource {
    frames: VecDeque<Result<Frame<Bytes>, &'static str>>,
    is_abandoned: bool,
    completions: usize,
}

impl BodySource for FakeSource {
    type Error = &'static str;

    fn check(&self) -> Result<(), &'static str> {
        if self.is_abandoned {
            Err("abandoned")
        } else {
            Ok(())
        }
    }

    fn poll_frame(
        &mut self,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, &'static str>>> {
        Poll::Ready(self.frames.pop_front())
    }

    fn complete(&mut self) {
        self.completions += 1;
    }
}

fn data(text: &'static str) -> Result<Frame<Bytes>, &'static str> {
    Ok(Frame::data(Bytes::from_static(text.as_bytes())))
}

fn body(
    received: &'static str,
    frames: impl IntoIterator<Item = Result<Frame<Bytes>, &'static str>>,
    length: Option<u64>,
) -> ForwardedBody<FakeSource> {
    let source = FakeSource {
        frames: frames.into_iter().collect(),
        ..FakeSource::default()
    };
    let received = BufferedBytes::new(Bytes::from_static(received.as_bytes()), None);
    ForwardedBody::Streaming(StreamingBody::from_source(source, received, length))
}

/// The next chunk of a body; `None` at the end.
fn next(body: &mut ForwardedBody<FakeSource>) -> Option<Result<Bytes, &'static str>> {
    let mut cx = Context::from_waker(Waker::noop());
    let Poll::Ready(frame) = Pin::new(body).poll_frame(&mut cx) else {
        panic!("the fake source is always ready")
    };
    frame.map(|frame| frame.map(|frame| frame.into_data().expect("a data frame")))
}

fn source(body: &mut ForwardedBody<FakeSource>) -> &mut FakeSource {
    let ForwardedBody::Streaming(body) = body else {
        panic!("expected a streaming body")
    };
    &mut body.source
}

#[test]
fn the_part_received_before_is_forwarded_first() {
    let mut body = body("ab", [data("cd")], None);
    assert_eq!(next(&mut body), Some(Ok(Bytes::from_static(b"ab"))));
    assert_eq!(next(&mut body), Some(Ok(Bytes::from_static(b"cd"))));
    assert_eq!(source(&mut body).completions, 0);
    assert_eq!(next(&mut body), None);
    assert_eq!(source(&mut body).completions, 1);
}

#[test]
fn a_body_of_known_length_is_complete_with_its_last_byte() {
    let mut body = body("ab", [data("cd")], Some(4));
    next(&mut body);
    assert_eq!(body.size_hint().exact(), Some(2));
    assert!(!body.is_end_stream());
    next(&mut body);
    assert!(body.is_end_stream());
    assert_eq!(source(&mut body).completions, 1);
}

#[test]
fn trailers_are_dropped() {
    let trailers = Ok(Frame::trailers(HeaderMap::new()));
    let mut body = body("", [data("ab"), trailers, data("cd")], None);
    assert_eq!(next(&mut body), Some(Ok(Bytes::from_static(b"ab"))));
    assert_eq!(next(&mut body), Some(Ok(Bytes::from_static(b"cd"))));
}

#[test]
fn an_error_of_the_source_ends_the_body_with_an_error() {
    let mut body = body("", [data("ab"), Err("reset")], Some(4));
    next(&mut body);
    assert_eq!(next(&mut body), Some(Err("reset")));
    assert_eq!(source(&mut body).completions, 0);
}

#[test]
fn a_failed_check_ends_the_body_with_an_error() {
    let mut body = body("ab", [data("cd")], None);
    source(&mut body).is_abandoned = true;
    assert_eq!(next(&mut body), Some(Err("abandoned")));
}

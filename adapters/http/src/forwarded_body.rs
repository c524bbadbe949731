//! A message body that the node forwards: buffered, or streamed with back pressure. The [`BodySource`] differs between
//! requests and responses.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::memory_budget::BufferedBytes;

/// The source of a streamed body. The source is notified when the whole body has been read.
pub trait BodySource {
    /// Why the body was aborted.
    type Error;

    /// Returns an error if the body must not be forwarded any further.
    fn check(&self) -> Result<(), Self::Error>;

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>>;

    /// Called when the last byte has been read, possibly more than once.
    fn complete(&mut self);
}

/// The body of a message that the node sends.
pub enum ForwardedBody<S> {
    Buffered(Full<Bytes>),
    /// Forwarded as it arrives.
    Streaming(StreamingBody<S>),
}

impl<S> From<Bytes> for ForwardedBody<S> {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered(Full::new(bytes))
    }
}

impl<S> From<BufferedBytes> for ForwardedBody<S> {
    fn from(buffered: BufferedBytes) -> Self {
        // hyper drops the body before its last bytes are sent, so the reservation has to live as long as the bytes.
        Self::from(buffered.into_reserved_bytes())
    }
}

/// A body that is forwarded as it arrives.
pub struct StreamingBody<S> {
    source: S,
    /// The part that had arrived before, which is forwarded first.
    received: Option<BufferedBytes>,
    /// Number of bytes still to be forwarded; `None` if the length of the body is unknown.
    remaining: Option<u64>,
}

impl<S: BodySource> StreamingBody<S> {
    /// Creates a body of which `received` has already arrived. `length` is the length of the whole body, if known.
    pub fn from_source(source: S, received: BufferedBytes, length: Option<u64>) -> Self {
        Self {
            source,
            received: Some(received).filter(|received| !received.bytes.is_empty()),
            remaining: length,
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, S::Error>>> {
        if let Err(error) = self.source.check() {
            return Poll::Ready(Some(Err(error)));
        }
        if let Some(received) = self.received.take() {
            return self.forward(received.bytes);
        }
        loop {
            match ready!(self.source.poll_frame(cx)) {
                None => {
                    self.source.complete();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                // Trailers are not forwarded.
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return self.forward(data);
                    }
                }
            }
        }
    }

    fn forward(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, S::Error>>> {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(data.len() as u64);
            if *remaining == 0 {
                // hyper does not poll a body of known length after its last byte.
                self.source.complete();
            }
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

impl<S: BodySource + Unpin> Body for ForwardedBody<S> {
    type Data = Bytes;
    type Error = S::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, S::Error>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streaming(body) => body.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streaming(body) => body.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streaming(body) => body
                .remaining
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;

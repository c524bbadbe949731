//! A message body on its way through the node: held whole, or forwarded as it arrives, with back pressure. Requests and
//! responses differ in the [`BodySource`] only.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::memory_budget::BufferedBytes;

/// What the rest of a body is read from, and what has to know how far it was forwarded.
pub trait BodySource {
    /// Why a body breaks off.
    type Error;

    /// Whether the body may still be forwarded; an error breaks it off.
    fn check(&self) -> Result<(), Self::Error>;

    /// Reads the next frame.
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>>;

    /// The last byte was read. May be called again.
    fn complete(&mut self);
}

/// A body of a message that the node sends.
pub enum ForwardedBody<S> {
    /// Held whole.
    Buffered {
        /// The bytes.
        body: Full<Bytes>,
        /// Their part of the memory budget, until the last of them is with the connection.
        _buffered: BufferedBytes,
    },
    /// Forwarded as it arrives.
    Streaming(StreamingBody<S>),
}

impl<S> From<Bytes> for ForwardedBody<S> {
    fn from(bytes: Bytes) -> Self {
        Self::from(BufferedBytes::new(bytes, None))
    }
}

impl<S> From<BufferedBytes> for ForwardedBody<S> {
    fn from(buffered: BufferedBytes) -> Self {
        Self::Buffered {
            body: Full::new(buffered.bytes.clone()),
            _buffered: buffered,
        }
    }
}

/// A body that is forwarded as it arrives.
pub struct StreamingBody<S> {
    source: S,
    /// What had arrived before; forwarded first.
    received: Option<BufferedBytes>,
    /// How much is still to be forwarded; none if the body's length is unknown.
    remaining: Option<u64>,
}

impl<S: BodySource> StreamingBody<S> {
    /// A body of this length, if that is known, of which `received` has arrived.
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
                // Trailers concern one connection only, and are dropped.
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
                // The HTTP library does not ask a body of known length for more.
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
            Self::Buffered { body, .. } => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streaming(body) => body.poll_data(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered { body, .. } => body.is_end_stream(),
            Self::Streaming(body) => body.remaining == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered { body, .. } => body.size_hint(),
            Self::Streaming(body) => body
                .remaining
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

#[cfg(test)]
mod tests;

//! Answers on their way to a client: held whole, or passed on as they come from the backend, with back pressure.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Version;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use badgerpost_balancer::ClassId;
use badgerpost_engine::{Metrics, RequestEnd};

use crate::memory_budget::BufferedBytes;
use crate::tracked_connection::TrackedConnection;

/// A backend's answer to a request that it has served.
pub enum BackendResponse {
    /// Held whole.
    Buffered(BufferedBytes),
    /// Begun, with more to come.
    Streaming(StreamingResponse),
}

/// An answer that has begun to come.
pub struct StreamingResponse {
    /// What has come.
    pub first: BufferedBytes,
    /// What is still to come.
    pub rest: Incoming,
    /// How much is still to come in all, `first` included, where the backend has told it.
    pub left: Option<u64>,
    /// Told how it ended, once; with none its client has gone.
    pub ended: Box<dyn FnOnce(Option<RequestEnd>)>,
}

/// The body of an answer to a client.
pub enum ResponseBody {
    /// Held whole, with what keeps its part of the budget.
    Buffered {
        /// The bytes.
        body: Full<Bytes>,
        /// Their part of the budget, until the last of them is with the connection.
        _kept: BufferedBytes,
    },
    /// As it comes.
    Streaming(StreamingResponseBody),
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::from(BufferedBytes::new(bytes, None))
    }
}

impl From<BufferedBytes> for ResponseBody {
    fn from(kept: BufferedBytes) -> Self {
        Self::Buffered {
            body: Full::new(kept.bytes.clone()),
            _kept: kept,
        }
    }
}

/// An answer that is passed on; says how it ended where that counts.
pub struct StreamingResponseBody {
    first: Option<BufferedBytes>,
    rest: Incoming,
    left: Option<u64>,
    ended: Option<Box<dyn FnOnce(Option<RequestEnd>)>>,
    connection: Rc<TrackedConnection>,
    tally: std::sync::Arc<Metrics>,
    class: ClassId,
    /// Its client knows its end by that of the connection only.
    ends_with_connection: bool,
}

impl StreamingResponseBody {
    /// Passes on an answer to the client of this connection.
    pub fn new(
        begun: StreamingResponse,
        connection: Rc<TrackedConnection>,
        tally: std::sync::Arc<Metrics>,
        class: ClassId,
        version: Version,
    ) -> Self {
        let StreamingResponse {
            first,
            rest,
            left,
            ended,
        } = begun;
        connection.stream_started();
        let first = Some(first).filter(|first| !first.bytes.is_empty());
        Self {
            first,
            rest,
            left,
            ended: Some(ended),
            connection,
            tally,
            class,
            ends_with_connection: version == Version::HTTP_10 && left.is_none(),
        }
    }

    /// Takes its end, the first one.
    fn end(&mut self, end: Option<RequestEnd>) {
        let Some(ended) = self.ended.take() else {
            return;
        };
        ended(end);
        self.tally.request_ended(self.class, end);
        self.connection.stream_ended();
    }

    fn give(&mut self, data: Bytes) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(left) = &mut self.left {
            *left = left.saturating_sub(data.len() as u64);
            if *left == 0 {
                // With a length, nobody asks whether more follows.
                self.end(Some(RequestEnd::Served));
            }
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take() {
            return self.give(first.bytes);
        }
        loop {
            match std::task::ready!(Pin::new(&mut self.rest).poll_frame(cx)) {
                None => {
                    self.end(Some(RequestEnd::Served));
                    return Poll::Ready(None);
                }
                // The client's connection ends in the midst of the body, so that it can tell.
                Some(Err(error)) => {
                    if self.ends_with_connection {
                        self.connection.stream_truncated();
                    }
                    self.end(Some(RequestEnd::Failed));
                    return Poll::Ready(Some(Err(error)));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return self.give(data);
                    }
                }
            }
        }
    }
}

impl Drop for StreamingResponseBody {
    /// The client has gone, or takes no more.
    fn drop(&mut self) {
        self.end(None);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Buffered { body, .. } => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streaming(passing) => passing.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered { body, .. } => body.is_end_stream(),
            Self::Streaming(passing) => passing.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered { body, .. } => body.size_hint(),
            Self::Streaming(StreamingResponseBody {
                left: Some(left), ..
            }) => SizeHint::with_exact(*left),
            Self::Streaming(_) => SizeHint::default(),
        }
    }
}

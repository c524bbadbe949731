//! Responses that are forwarded from a backend to a client.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::{StatusCode, Version};

use badgerpost_balancer::ClassId;
use badgerpost_engine::{Metrics, RequestEnd};

use crate::backend_stall::BackendStallDetector;
use crate::forwarded_body::{BodySource, ForwardedBody, StreamingBody};
use crate::memory_budget::BufferedBytes;
use crate::tracked_connection::TrackedConnection;

/// A response of a backend that is forwarded to a client.
pub struct BackendResponse {
    pub status: StatusCode,
    pub body: BackendResponseBody,
}

/// The body of a backend's response.
pub enum BackendResponseBody {
    /// Read completely and held in memory.
    Buffered(BufferedBytes),
    /// Forwarded as it arrives.
    Streaming(StreamingResponse),
}

/// How a streamed response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole response was read from the backend.
    Complete,
    /// The backend aborted the response.
    Aborted,
    /// The client disconnected, or stopped reading.
    Abandoned,
}

/// Called once when a streamed response ends.
pub type EndHandler = Box<dyn FnOnce(StreamEnd)>;

/// A response whose body is still arriving.
pub struct StreamingResponse {
    /// The part of the body that has arrived.
    pub received: BufferedBytes,
    /// The rest of the body.
    pub incoming: Incoming,
    /// Length of the whole body in bytes; `None` if the backend has not declared one.
    pub length: Option<u64>,
    /// Whether an empty body means that the backend has failed.
    pub must_have_body: bool,
    pub on_end: EndHandler,
}

pub type ResponseBody = ForwardedBody<ResponseSource>;

/// The request whose response is streamed.
#[derive(Clone, Copy, Debug)]
pub struct StreamedRequest {
    pub class: ClassId,
    /// The client's HTTP version.
    pub version: Version,
    /// How the request ends once the whole response has been read from the backend.
    pub end: RequestEnd,
}

/// The body of a streamed response.
pub type StreamingResponseBody = StreamingBody<ResponseSource>;

/// Why a streamed response can't be completed.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The backend aborted the response.
    #[error("the backend aborted the response: {0}")]
    Backend(#[from] hyper::Error),
    /// The backend has stopped sending.
    #[error("the backend stopped sending the response")]
    Stalled,
    /// The backend closed the connection without a byte of a body that only the close delimits.
    #[error("the backend closed the connection before the response's body")]
    Empty,
}

/// The source of a streamed response. Reports and counts the end of the response.
pub struct ResponseSource {
    incoming: Incoming,
    /// `None` once the end has been reported.
    on_end: Option<EndHandler>,
    client: Rc<TrackedConnection>,
    metrics: Arc<Metrics>,
    class: ClassId,
    /// How the request ends if the response is complete.
    request_end: RequestEnd,
    /// Whether the end of the response is indicated to the client only by the close of the connection.
    is_close_delimited: bool,
    /// Whether an empty body means that the backend has failed.
    must_have_body: bool,
    stall_detector: BackendStallDetector,
}

impl StreamingResponseBody {
    /// Creates the body that forwards `response` to `client`.
    pub fn new(
        response: StreamingResponse,
        client: Rc<TrackedConnection>,
        metrics: Arc<Metrics>,
        request: StreamedRequest,
    ) -> Self {
        let StreamingResponse {
            received,
            incoming,
            length,
            must_have_body,
            on_end,
        } = response;
        client.stream_started();
        let clock = client.clock().clone();
        let source = ResponseSource {
            incoming,
            on_end: Some(on_end),
            client,
            metrics,
            class: request.class,
            request_end: request.end,
            is_close_delimited: request.version == Version::HTTP_10 && length.is_none(),
            must_have_body,
            stall_detector: BackendStallDetector::new(clock, received.bytes.len(), length),
        };
        Self::from_source(source, received, length)
    }
}

impl ResponseSource {
    /// Reports the end of the response. Calls after the first have no effect.
    fn end(&mut self, end: StreamEnd) {
        let Some(on_end) = self.on_end.take() else {
            return;
        };
        on_end(end);
        let request_end = match end {
            StreamEnd::Complete => Some(self.request_end),
            StreamEnd::Aborted => Some(RequestEnd::Failed),
            StreamEnd::Abandoned => None,
        };
        self.metrics.request_ended(self.class, request_end);
        self.client.stream_ended();
    }
}

impl ResponseSource {
    /// Ends a response that the backend has not completed.
    fn abort(&mut self) {
        // Only a reset shows the client that a close-delimited response was truncated; a close would look like the
        // regular end.
        if self.is_close_delimited {
            self.client.stream_truncated();
        }
        self.end(StreamEnd::Aborted);
    }

    /// The next frame from the backend, or the reason why the response can't be completed.
    fn poll_backend(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Pending => {
                ready!(self.stall_detector.poll_stalled(cx));
                self.client.stream_stalled();
                Poll::Ready(Some(Err(StreamError::Stalled)))
            }
            Poll::Ready(None) if self.must_have_body && !self.stall_detector.has_received() => {
                Poll::Ready(Some(Err(StreamError::Empty)))
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.stall_detector.bytes_received(bytes);
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}

impl BodySource for ResponseSource {
    type Error = StreamError;

    fn check(&self) -> Result<(), StreamError> {
        Ok(())
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamError>>> {
        let polled = self.poll_backend(cx);
        self.client
            .set_stream_waiting_for_backend(polled.is_pending());
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.abort();
        }
        polled
    }

    fn complete(&mut self) {
        self.end(StreamEnd::Complete);
    }
}

impl Drop for ResponseSource {
    /// The client has disconnected, or stopped reading.
    fn drop(&mut self) {
        self.end(StreamEnd::Abandoned);
    }
}

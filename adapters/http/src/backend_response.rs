//! Responses on their way from a backend to a client.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming};
use hyper::{StatusCode, Version};

use badgerpost_balancer::ClassId;
use badgerpost_engine::{Metrics, RequestEnd};

use crate::forwarded_body::{BodySource, ForwardedBody, StreamingBody};
use crate::memory_budget::BufferedBytes;
use crate::tracked_connection::TrackedConnection;

/// A backend's response that is forwarded to a client.
pub struct BackendResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: BackendResponseBody,
}

/// The body of a backend's response.
pub enum BackendResponseBody {
    /// Held whole.
    Buffered(BufferedBytes),
    /// Forwarded as it arrives.
    Streaming(StreamingResponse),
}

/// How a response that is forwarded as it arrives has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All of it was read from the backend.
    Complete,
    /// The backend has broken it off.
    Aborted,
    /// Its client has disconnected, or reads no more.
    Abandoned,
}

/// Called once with how a response ended.
pub type EndHandler = Box<dyn FnOnce(StreamEnd)>;

/// A response that has begun to arrive.
pub struct StreamingResponse {
    /// What has arrived of its body.
    pub received: BufferedBytes,
    /// The rest of its body.
    pub incoming: Incoming,
    /// The length of all of its body, where the backend has told it.
    pub length: Option<u64>,
    /// Told how the response ended.
    pub on_end: EndHandler,
}

/// The body of a response to a client.
pub type ResponseBody = ForwardedBody<ResponseSource>;

/// What is known of the request whose response is forwarded as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct StreamedRequest {
    /// Its class.
    pub class: ClassId,
    /// The version of HTTP that its client speaks.
    pub version: Version,
    /// How it ends once the client has all of the response.
    pub end: RequestEnd,
}

/// The body of a response that is forwarded as it arrives.
pub type StreamingResponseBody = StreamingBody<ResponseSource>;

/// The rest of a response that is forwarded as it arrives. Counts its end.
pub struct ResponseSource {
    incoming: Incoming,
    /// Present until the end.
    on_end: Option<EndHandler>,
    client: Rc<TrackedConnection>,
    metrics: Arc<Metrics>,
    class: ClassId,
    /// How its request ends once the client has all of the response.
    request_end: RequestEnd,
    /// The client sees the end of the body by that of the connection only.
    is_close_delimited: bool,
}

impl StreamingResponseBody {
    /// Forwards a response to this client.
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
            on_end,
        } = response;
        client.stream_started();
        let source = ResponseSource {
            incoming,
            on_end: Some(on_end),
            client,
            metrics,
            class: request.class,
            request_end: request.end,
            is_close_delimited: request.version == Version::HTTP_10 && length.is_none(),
        };
        Self::from_source(source, received, length)
    }
}

impl ResponseSource {
    /// Reports the end; only the first one counts.
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

impl BodySource for ResponseSource {
    type Error = hyper::Error;

    fn check(&self) -> Result<(), hyper::Error> {
        Ok(())
    }

    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        self.client
            .set_stream_waiting_for_backend(polled.is_pending());
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            // The client's connection ends in the midst of the body, so that the client can tell.
            if self.is_close_delimited {
                self.client.stream_truncated();
            }
            self.end(StreamEnd::Aborted);
        }
        polled
    }

    fn complete(&mut self) {
        self.end(StreamEnd::Complete);
    }
}

impl Drop for ResponseSource {
    /// The client has disconnected, or reads no more.
    fn drop(&mut self) {
        self.end(StreamEnd::Abandoned);
    }
}

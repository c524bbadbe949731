//! Responses to clients: responses of backends, and the node's own responses to rejected and failed requests.

use badgerpost_engine::{RequestEnd, RequestOutcome};
use badgerpost_time::{MILLISECOND, Nanos};
use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::backend_response::{
    BackendResponse, BackendResponseBody, ResponseBody, StreamingResponse, StreamingResponseBody,
};

pub(crate) type ClientResponse = Response<ResponseBody>;

/// A response that the node generates itself.
pub(crate) fn plain_text(status: StatusCode, text: &str) -> ClientResponse {
    let body = ResponseBody::from(Bytes::copy_from_slice(text.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// The response for a request's outcome. `stream` turns a streaming response of a backend into a response body, given
/// how the request ends once that body is complete.
pub(crate) fn from_outcome(
    outcome: RequestOutcome<BackendResponse>,
    stream: impl FnOnce(StreamingResponse, RequestEnd) -> StreamingResponseBody,
) -> ClientResponse {
    let (response, end) = match outcome {
        RequestOutcome::Served(response) => (response, RequestEnd::Served),
        RequestOutcome::FailedWith(response) => (response, RequestEnd::Failed),
        RequestOutcome::Rejected(retry_after) => return rejected(retry_after),
        RequestOutcome::Failed => return plain_text(StatusCode::BAD_GATEWAY, "failed"),
    };
    let body = match response.body {
        BackendResponseBody::Buffered(bytes) => ResponseBody::from(bytes),
        BackendResponseBody::Streaming(streaming) => {
            ResponseBody::Streaming(stream(streaming, end))
        }
    };
    let mut client_response = Response::new(body);
    *client_response.status_mut() = response.status;
    client_response
}

/// The response to a rejected request. A `retry_after` above 0 is sent as `Retry-After`.
fn rejected(retry_after: Nanos) -> ClientResponse {
    let text = "refused; trying again does no harm";
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    if retry_after > 0 {
        // Rounded up to whole milliseconds, so that the client does not retry too early.
        let milliseconds = retry_after.div_ceil(MILLISECOND);
        let seconds = format!("{:.3}", milliseconds as f64 / 1000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

//! Responses to clients: a backend's own, or those with which the node rejects and fails requests.

use badgerpost_engine::{RequestEnd, RequestOutcome};
use badgerpost_time::{MILLISECOND, Nanos};
use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::backend_response::{
    BackendResponse, BackendResponseBody, ResponseBody, StreamingResponse, StreamingResponseBody,
};

/// A response to a client.
pub(crate) type ClientResponse = Response<ResponseBody>;

/// A response of the node's own.
pub(crate) fn plain_text(status: StatusCode, text: &str) -> ClientResponse {
    let body = ResponseBody::from(Bytes::copy_from_slice(text.as_bytes()));
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// The response for a request's outcome. `stream` forwards a backend's response that has begun, of a request that ends so.
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

/// The response to a rejected request, which should not be retried within this time if it is above 0.
fn rejected(retry_after: Nanos) -> ClientResponse {
    let text = "refused; trying again does no harm";
    let mut response = plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    if retry_after > 0 {
        // Rounded up to milliseconds, so that the client does not retry too soon.
        let milliseconds = retry_after.div_ceil(MILLISECOND);
        let seconds = format!("{:.3}", milliseconds as f64 / 1000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

//! Reads a backend's response: completely if it is small, else as much as needed before the rest can be streamed.

use badgerpost_balancer::{LoadReport, Outcome};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};

use super::pool::LeasedConnection;
use super::{AttemptEnd, load_report};
use crate::MAX_BUFFERED_BODY_BYTES;
use crate::backend_response::{BackendResponse, BackendResponseBody, StreamEnd, StreamingResponse};
use crate::memory_budget::{BufferedBytes, BytesCollector, Reservation};

/// Number of bytes of a large response that are read before it is forwarded. Until then, a truncated response can be
/// replaced by that of a retry.
const STREAMING_START_BYTES: usize = 4 * 1024;

/// Which error responses are forwarded to the client if the request fails with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ForwardedErrors {
    None,
    /// All but 429 and 503, from which a client would conclude that its request has not run.
    AllButRejections,
}

impl ForwardedErrors {
    fn include(self, status: StatusCode) -> bool {
        let is_rejection =
            status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
        self == Self::AllButRejections && !is_rejection
    }
}

/// What the head of a response determines.
struct ResponseHead {
    status: StatusCode,
    outcome: Outcome,
    /// Whether the response is forwarded to the client: as a success, or as an error response that the client should
    /// get.
    is_forwarded: bool,
    report: LoadReport,
    /// Length of the body in bytes; `None` if the backend has not declared one.
    length: Option<u64>,
}

/// How far a body was read.
enum ReadProgress {
    Complete,
    /// The requested number of bytes was read, and more are expected.
    Partial,
}

/// Reads a response. A connection is released once its response has been read completely, for a streamed response at
/// the end of the stream.
pub(super) async fn read_response(
    mut leased: LeasedConnection,
    response: Response<Incoming>,
    forwarded_errors: ForwardedErrors,
) -> AttemptEnd {
    leased.upload.response_started();
    let (parts, mut body) = response.into_parts();
    if parts.status.is_informational() {
        return AttemptEnd::without_response(Outcome::InvalidResponse);
    }
    let head = ResponseHead::new(&parts, body.size_hint().exact(), forwarded_errors);
    let max_body = MAX_BUFFERED_BODY_BYTES as u64;
    let buffer_bytes = head.length.map_or(max_body, |length| length.min(max_body)) as usize;
    let reservation = leased.pool.response_budget.reserve(buffer_bytes);
    let is_large = reservation.is_none() || head.length.is_some_and(|length| length > max_body);
    let streaming_threshold_bytes = if is_large {
        STREAMING_START_BYTES
    } else {
        MAX_BUFFERED_BODY_BYTES + 1
    };
    let mut received = BytesCollector::default();
    match read_body(
        &mut body,
        head.length,
        streaming_threshold_bytes,
        &mut received,
    )
    .await
    {
        Err(error) => AttemptEnd::without_response(failure_outcome(&error)),
        Ok(ReadProgress::Partial) => streaming_end(&head, leased, received, reservation, body),
        Ok(ReadProgress::Complete)
            if received.len() == 0 && has_unannounced_close(&parts, head.length) =>
        {
            AttemptEnd::without_response(Outcome::InvalidResponse)
        }
        Ok(ReadProgress::Complete) => {
            leased.release();
            let bytes = BufferedBytes::new(received.into_bytes(), reservation);
            head.end(Some(BackendResponseBody::Buffered(bytes)))
        }
    }
}

/// Reads until the body is complete, or until at least `streaming_threshold_bytes` have been read and more are
/// expected.
async fn read_body(
    body: &mut Incoming,
    length: Option<u64>,
    streaming_threshold_bytes: usize,
    received: &mut BytesCollector,
) -> Result<ReadProgress, hyper::Error> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        received.add(data);
        let has_all = length == Some(received.len() as u64);
        if !has_all && received.len() >= streaming_threshold_bytes {
            return Ok(ReadProgress::Partial);
        }
    }
    Ok(ReadProgress::Complete)
}

/// The end of an attempt whose response is streamed.
fn streaming_end(
    head: &ResponseHead,
    leased: LeasedConnection,
    received: BytesCollector,
    reservation: Option<Reservation>,
    incoming: Incoming,
) -> AttemptEnd {
    if !head.is_forwarded {
        // The response is not forwarded, so that the rest need not be read.
        return head.end(None);
    }
    let on_end = Box::new(move |end| match end {
        StreamEnd::Complete => leased.release(),
        StreamEnd::Aborted => leased.engine.response_aborted(leased.destination.backend),
        StreamEnd::Abandoned => {}
    });
    head.end(Some(BackendResponseBody::Streaming(StreamingResponse {
        received: BufferedBytes::new(received.into_bytes(), reservation),
        incoming,
        length: head.length,
        on_end,
    })))
}

impl ResponseHead {
    fn new(parts: &Parts, length: Option<u64>, forwarded_errors: ForwardedErrors) -> Self {
        let outcome = response_outcome(parts);
        let is_error = !matches!(outcome, Outcome::Success | Outcome::Rejected);
        Self {
            status: parts.status,
            outcome,
            is_forwarded: outcome == Outcome::Success
                || (is_error && forwarded_errors.include(parts.status)),
            report: load_report::from_headers(&parts.headers),
            length,
        }
    }

    /// The end of an attempt with this response.
    fn end(&self, body: Option<BackendResponseBody>) -> AttemptEnd {
        let forwarded_body = body.filter(|_| self.is_forwarded);
        AttemptEnd {
            outcome: self.outcome,
            report: self.report,
            is_streaming: matches!(forwarded_body, Some(BackendResponseBody::Streaming(_))),
            response: forwarded_body.map(|body| BackendResponse {
                status: self.status,
                body,
            }),
        }
    }
}

/// The outcome of an attempt, from the head of its response.
fn response_outcome(head: &Parts) -> Outcome {
    let rejected = head
        .headers
        .get("x-rejected")
        .is_some_and(|value| value == "1");
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Rejected
        }
        StatusCode::OK => Outcome::Success,
        // An invalid request is not the backend's fault, and does not affect its health.
        status if status.is_client_error() => Outcome::InvalidResponse,
        // The request may have run, whatever the status is.
        _ => Outcome::Error,
    }
}

/// Whether the body is delimited by the close of the connection (RFC 9112, section 6.3) and the backend has not
/// announced this close (section 9.6). If such a body is empty, the backend has more likely stopped before it could
/// respond.
fn has_unannounced_close(head: &Parts, length: Option<u64>) -> bool {
    let is_framed = length.is_some() || head.headers.contains_key(TRANSFER_ENCODING);
    let lines = head
        .headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|line| line.to_str().ok());
    let closes = lines
        .flat_map(|line| line.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case("close"));
    !is_framed && !closes && head.version != Version::HTTP_10
}

/// The outcome of a failed exchange: the connection ended, or the backend sent no valid HTTP response.
pub(super) fn failure_outcome(error: &hyper::Error) -> Outcome {
    if error.is_parse() {
        Outcome::InvalidResponse
    } else {
        Outcome::Reset
    }
}

#[cfg(test)]
mod tests;

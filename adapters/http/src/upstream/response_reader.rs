//! Reads a backend's response: completely if it is small, else as much as needed before the rest can be streamed.

use std::cell::Cell;

use badgerpost_balancer::{LoadReport, Nanos, Outcome};
use badgerpost_engine::Clock;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};

use super::forwarding::{ForwardingTimes, ResponsePhase};
use super::pool::LeasedConnection;
use super::{AttemptEnd, load_report};
use crate::backend_response::{BackendResponse, BackendResponseBody, StreamEnd, StreamingResponse};
use crate::memory_budget::{BufferedBytes, BytesCollector};
use crate::{MAX_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};

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

/// How the response of an attempt is read.
pub(super) struct ResponseReading<'a> {
    pub(super) forwarded_errors: ForwardedErrors,
    /// Updated while the response is read.
    pub(super) phase: &'a Cell<ResponsePhase>,
    /// Called when the head has arrived; `None` if the response is not for a client.
    pub(super) forwarding_times: Option<&'a dyn Fn() -> ForwardingTimes>,
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
    reading: &ResponseReading<'_>,
) -> AttemptEnd {
    leased.upload.response_started();
    let (parts, mut body) = response.into_parts();
    if parts.status.is_informational() {
        return AttemptEnd::without_response(Outcome::InvalidResponse);
    }
    let head = ResponseHead::new(&parts, body.size_hint().exact(), reading.forwarded_errors);
    let phase = head.phase();
    reading.phase.set(phase);
    let max_body = MAX_BUFFERED_BODY_BYTES as u64;
    let buffer_bytes =
        head.length
            .map_or(MAX_BUFFER_BYTES as u64, |length| length.min(max_body)) as usize;
    let reservation = leased.pool.response_budget.reserve(buffer_bytes);
    let is_large = reservation.is_none() || head.length.is_some_and(|length| length > max_body);
    let threshold = StreamingThreshold {
        bytes: if is_large {
            STREAMING_START_BYTES
        } else {
            MAX_BUFFERED_BODY_BYTES + 1
        },
        times: reading
            .forwarding_times
            .filter(|_| phase == ResponsePhase::PossiblyLarge)
            .map(|times| times()),
    };
    let clock = leased.pool.clock.clone();
    let mut received = BytesCollector::new(buffer_bytes);
    match read_body(&mut body, head.length, &threshold, &clock, &mut received).await {
        Err(error) => AttemptEnd::without_response(failure_outcome(&error)),
        Ok(ReadProgress::Partial) => {
            let must_have_body = has_unannounced_close(&parts, head.length);
            let received = BufferedBytes::new(received.into_bytes(), reservation);
            streaming_end(&head, leased, received, must_have_body, body)
        }
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

/// From when on a body is forwarded although more of it is expected.
struct StreamingThreshold {
    /// Once so many bytes have arrived.
    bytes: usize,
    /// Once these times are reached; `None` if the body is forwarded only by the number of bytes or as a whole.
    times: Option<ForwardingTimes>,
}

impl StreamingThreshold {
    /// When a body of which so many bytes have arrived is forwarded, if that depends on the time.
    fn due_at(&self, received_bytes: usize) -> Option<Nanos> {
        let times = self.times?;
        if received_bytes >= STREAMING_START_BYTES {
            Some(times.with_first_bytes)
        } else {
            Some(times.with_head)
        }
    }
}

/// Reads until the body is complete, or until the threshold is reached and more bytes are expected.
async fn read_body(
    body: &mut Incoming,
    length: Option<u64>,
    threshold: &StreamingThreshold,
    clock: &Clock,
    received: &mut BytesCollector,
) -> Result<ReadProgress, hyper::Error> {
    loop {
        let frame = match threshold.due_at(received.len()) {
            None => body.frame().await,
            Some(due_at) => match clock.timeout_at(due_at, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Ok(ReadProgress::Partial),
            },
        };
        let Some(frame) = frame else {
            return Ok(ReadProgress::Complete);
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        received.add(data);
        let has_all = length == Some(received.len() as u64);
        if !has_all && received.len() >= threshold.bytes {
            return Ok(ReadProgress::Partial);
        }
    }
}

/// The end of an attempt whose response is streamed.
fn streaming_end(
    head: &ResponseHead,
    leased: LeasedConnection,
    received: BufferedBytes,
    must_have_body: bool,
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
        received,
        incoming,
        length: head.length,
        must_have_body,
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

    /// How far the response has arrived once its head is complete.
    fn phase(&self) -> ResponsePhase {
        let max_body = MAX_BUFFERED_BODY_BYTES as u64;
        match self.length {
            _ if !self.is_forwarded => ResponsePhase::Discarded,
            Some(length) if length <= max_body => ResponsePhase::Small,
            _ => ResponsePhase::PossiblyLarge,
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

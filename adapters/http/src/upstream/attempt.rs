//! One attempt: writes a client's request to a backend over a leased connection, and reports the result to the engine.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::Outcome;
use badgerpost_engine::BackendAddress;
use badgerpost_time::MILLISECOND;
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use tokio::sync::oneshot;
use tokio::task::yield_now;

use super::connection::ConnectError;
use super::forwarding::{ForwardingTimes, ResponsePhase};
use super::pool::{ConnectionPool, ConnectionPurpose, LeasedConnection};
use super::response_activity::ResponseActivity;
use super::response_reader::{ForwardedErrors, ResponseReading, failure_outcome, read_response};
use super::{AttemptCommand, AttemptEnd};
use crate::HttpEngine;
use crate::upload::{OutgoingBody, RequestBody};

/// Pause in a response that has not been forwarded, after which the balancer may make another attempt. A response that
/// is not going to be forwarded is given up.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a response is still read after the client's deadline. If the response is complete by then, its connection
/// can be reused, which saves a handshake for the next request.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Request header with the time that the client still waits, in milliseconds.
const BUDGET_HEADER: &str = "x-budget-ms";

/// Makes an attempt, and reports its end to the engine once.
pub(super) async fn run(pool: Rc<ConnectionPool>, engine: HttpEngine, mut command: AttemptCommand) {
    let cancelled = std::mem::replace(&mut command.cancelled, oneshot::channel().1);
    let attempt = Attempt {
        pool: &pool,
        engine: &engine,
        command: &command,
        progress: Cell::new(Progress::NotWritten),
        response_phase: Cell::new(ResponsePhase::AwaitingHead),
        has_stalled: Cell::new(false),
    };
    let mut sending = std::pin::pin!(attempt.send());
    let end = tokio::select! {
        biased;
        _ = cancelled => attempt.end_early(attempt.cancelled_outcome()),
        end = &mut sending => end,
        () = attempt.timed_out() => attempt.end_early(Outcome::TimedOut),
    };
    if end.response.is_some() {
        command.payload.body.response_received();
    } else {
        command.payload.body.stop_forwarding();
    }
    let may_finish_late = attempt.may_finish_late(end.outcome);
    engine.attempt_ended(command.attempt, end);
    if may_finish_late && pool.has_spare_connections() {
        let _ = pool.clock.timeout(LATE_RESPONSE_TIMEOUT, sending).await;
    }
}

/// How far the request of an attempt has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Nothing was written, so that the request has not run.
    NotWritten,
    /// The request was passed to a connection.
    Written,
}

/// An attempt in progress.
struct Attempt<'a> {
    pool: &'a Rc<ConnectionPool>,
    engine: &'a HttpEngine,
    command: &'a AttemptCommand,
    progress: Cell<Progress>,
    response_phase: Cell<ResponsePhase>,
    /// Whether the response has paused for [`RESPONSE_STALL_TIMEOUT`].
    has_stalled: Cell<bool>,
}

impl Attempt<'_> {
    fn destination(&self) -> BackendAddress {
        BackendAddress {
            backend: self.command.backend,
            address: self.command.address,
            incarnation: self.command.incarnation,
        }
    }

    /// Resolves once the attempt has timed out and all bytes that arrived by then are handled. After a stall of the
    /// process, a response that arrived in time is thus not counted as a timeout of the backend. While the body is
    /// being uploaded, the deadline is not known yet.
    async fn timed_out(&self) {
        let clock = &self.pool.clock;
        let Some(mut deadline) = self.command.upload_deadline.clone() else {
            return clock.wait_for_deadline(self.command.attempt_deadline).await;
        };
        loop {
            let at = *deadline.borrow_and_update();
            tokio::select! {
                biased;
                () = clock.wait_for_deadline(at) => return,
                Ok(()) = deadline.changed() => {}
            }
        }
    }

    /// The outcome of a cancelled attempt. A response that has stalled counts against the backend.
    fn cancelled_outcome(&self) -> Outcome {
        if self.has_stalled.get() {
            Outcome::InvalidResponse
        } else {
            Outcome::Cancelled
        }
    }

    /// The end of an attempt that is cancelled or has timed out. A request that was not written completely has not run,
    /// so that the balancer may still reject it.
    fn end_early(&self, outcome: Outcome) -> AttemptEnd {
        let may_have_run =
            self.progress.get() == Progress::Written && self.command.payload.body.is_complete();
        AttemptEnd::without_response(if may_have_run {
            outcome
        } else {
            Outcome::NotSent
        })
    }

    /// Whether the attempt may continue after its end was reported: only after the client's deadline, when no other
    /// attempt can follow.
    fn may_finish_late(&self, outcome: Outcome) -> bool {
        outcome == Outcome::TimedOut
            && self.command.attempt_deadline >= self.command.expires_at
            && self.command.upload_deadline.is_none()
    }

    /// Sends the request and reads the response. A pooled connection that has closed before anything was written to it
    /// is replaced by the next one.
    async fn send(&self) -> AttemptEnd {
        loop {
            let leased = match self.lease().await {
                Ok(leased) => leased,
                Err(error) => return AttemptEnd::without_response(error.outcome()),
            };
            let is_new = leased.idle_time.is_none();
            if let Some(end) = self.send_over(leased).await {
                return end;
            }
            if is_new {
                return AttemptEnd::without_response(Outcome::ConnectFailed);
            }
        }
    }

    fn purpose(&self) -> ConnectionPurpose {
        if self.command.payload.body.is_complete() {
            ConnectionPurpose::CompleteRequest
        } else {
            ConnectionPurpose::Upload
        }
    }

    /// Leases a connection that is ready for a request.
    async fn lease(&self) -> Result<LeasedConnection, ConnectError> {
        while let Some(mut leased) = self.pool.lease_idle(self.engine, self.destination()) {
            // The connection's task first handles a close or unexpected bytes that the operating system has already
            // received.
            yield_now().await;
            if leased.is_ready().await {
                return Ok(leased);
            }
        }
        let mut leased = self
            .pool
            .lease_new(self.engine, self.destination(), self.purpose())
            .await?;
        if leased.is_ready().await {
            Ok(leased)
        } else {
            Err(ConnectError::Closed)
        }
    }

    /// Makes the exchange over one connection. `None` if nothing of the request was written.
    async fn send_over(&self, mut leased: LeasedConnection) -> Option<AttemptEnd> {
        // During the connect, the request may have ended or the backend may have left the list.
        if !self.engine.may_write(self.command.attempt) {
            leased.release();
            return Some(AttemptEnd::without_response(Outcome::NotSent));
        }
        let Some(mut message) = self.outgoing_request() else {
            return Some(AttemptEnd::without_response(Outcome::NotSent));
        };
        leased.upload = self.command.payload.body.start_exchange();
        let idle_time = leased.idle_time;
        let activity = leased.connection.response_activity.clone();
        activity.expect_response(&mut message);
        activity.count_attempt_when_written();
        self.progress.set(Progress::Written);
        let forwarding_times = || self.forwarding_times();
        let reading = ResponseReading {
            forwarded_errors: self.forwarded_errors(),
            phase: &self.response_phase,
            forwarding_times: Some(&forwarding_times),
        };
        let end = tokio::select! {
            biased;
            end = exchange(leased, message, &reading) => end,
            () = self.given_up_as_stalled(&activity) => {
                return Some(AttemptEnd::without_response(Outcome::InvalidResponse));
            }
        };
        let Some(end) = end else {
            self.progress.set(Progress::NotWritten);
            return None;
        };
        if end.response.is_none()
            && let Some(outcome) = self.upload_failure(&end)
        {
            return Some(AttemptEnd::without_response(outcome));
        }
        if let Some(idle_time) = idle_time {
            let was_reset = end.outcome == Outcome::Reset && !activity.has_received();
            self.pool.record_reuse(idle_time, was_reset);
        }
        Some(end)
    }

    /// Resolves once a response that is not going to be forwarded has paused. A pause in any other response is reported
    /// to the balancer, and the rest is awaited.
    async fn given_up_as_stalled(&self, activity: &ResponseActivity) {
        loop {
            activity
                .stalled(&self.pool.clock, RESPONSE_STALL_TIMEOUT)
                .await;
            let phase = self.response_phase.get();
            if phase == ResponsePhase::Discarded {
                return;
            }
            if !self.has_stalled.replace(true) {
                let is_replaceable = phase.is_replaceable();
                self.engine
                    .response_stalled(self.command.attempt, is_replaceable);
            }
        }
    }

    /// When a response whose head has just arrived has to be forwarded at the latest. While the client still sends the
    /// request, its time has not started.
    fn forwarding_times(&self) -> ForwardingTimes {
        let now = self.pool.clock.now();
        let command = self.command;
        let deadline = match &command.upload_deadline {
            Some(_) if !command.payload.body.is_complete() => {
                now.saturating_add(command.payload.budget_ms * MILLISECOND)
            }
            Some(deadline) => *deadline.borrow(),
            None => command.attempt_deadline.min(command.expires_at),
        };
        ForwardingTimes::new(now, deadline)
    }

    /// Which error responses are forwarded to the client. A buffered request may be retried, and the node responds if
    /// all attempts fail. An upload is usually not retried, so that the backend's error response is the result.
    fn forwarded_errors(&self) -> ForwardedErrors {
        match &self.command.payload.body {
            RequestBody::Buffered(_) => ForwardedErrors::None,
            RequestBody::Streaming(_) => ForwardedErrors::AllButRejections,
        }
    }

    /// The outcome of an exchange that failed because the body was incomplete; `None` for any other exchange.
    fn upload_failure(&self, end: &AttemptEnd) -> Option<Outcome> {
        let body = &self.command.payload.body;
        if body.is_aborted() {
            // The client aborted its request, which is not a failure of the backend.
            Some(Outcome::NotSent)
        } else if end.outcome == Outcome::Reset && !body.is_complete() {
            // The backend reset the connection before it had received the whole request. The request has not run, and
            // the failure is the backend's.
            Some(Outcome::ConnectFailed)
        } else {
            None
        }
    }

    /// The request as written to the backend; `None` if the address is not a valid `Host` header.
    fn outgoing_request(&self) -> Option<Request<OutgoingBody>> {
        let request = &self.command.payload;
        let ends_at = self.command.attempt_deadline.min(self.command.expires_at);
        let time_left_ms = ends_at.saturating_sub(self.pool.clock.now()) / MILLISECOND;
        // While the body is being uploaded, the client's budget has not started.
        let budget_ms = time_left_ms.min(request.budget_ms);
        let mut message = Request::new(
            request
                .body
                .outgoing_body(self.engine, self.command.attempt),
        );
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.target.clone();
        *message.headers_mut() = request.headers.clone();
        let headers = message.headers_mut();
        headers.insert(BUDGET_HEADER, HeaderValue::from(budget_ms));
        if !headers.contains_key(HOST) {
            let host = HeaderValue::from_str(&self.command.address.to_string()).ok()?;
            headers.insert(HOST, host);
        }
        Some(message)
    }
}

/// Writes one request and reads its response. `None` if nothing of the request was written.
async fn exchange(
    mut leased: LeasedConnection,
    message: Request<OutgoingBody>,
    reading: &ResponseReading<'_>,
) -> Option<AttemptEnd> {
    match leased.connection.sender.try_send_request(message).await {
        Ok(response) => Some(read_response(leased, response, reading).await),
        Err(mut error) => match error.take_message() {
            Some(_) => None,
            None => Some(AttemptEnd::without_response(failure_outcome(error.error()))),
        },
    }
}

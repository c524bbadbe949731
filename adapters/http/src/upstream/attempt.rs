//! One attempt: a client's request written to a backend over a leased connection, and its end reported to the engine.

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
use super::pool::{ConnectionPool, LeasedConnection};
use super::response_reader::{ForwardedErrors, failure_outcome, read_response};
use super::{AttemptCommand, AttemptEnd};
use crate::HttpEngine;
use crate::upload::{OutgoingBody, RequestBody};

/// A response of which nothing more comes for this long, before it can be forwarded, counts as invalid: backends send
/// it in one go, and the time is better used for another attempt.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a response is still read after its client's deadline. One that comes by then leaves its connection fit for
/// use; otherwise clients with short deadlines would cost a handshake each.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Tells the backend how long the client still waits, in milliseconds.
const BUDGET_HEADER: &str = "x-budget-ms";

/// Makes an attempt, and reports its end to the engine once.
pub(super) async fn run(pool: Rc<ConnectionPool>, engine: HttpEngine, mut command: AttemptCommand) {
    let cancelled = std::mem::replace(&mut command.cancelled, oneshot::channel().1);
    let attempt = Attempt {
        pool: &pool,
        engine: &engine,
        command: &command,
        progress: Cell::new(Progress::NotWritten),
    };
    let mut sending = std::pin::pin!(attempt.send());
    let end = tokio::select! {
        biased;
        _ = cancelled => attempt.end_early(Outcome::Cancelled),
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

/// How far an attempt has got with its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Nothing of it was written: it never ran.
    NotWritten,
    /// It was handed to a connection.
    Written,
}

/// An attempt while it is made.
struct Attempt<'a> {
    pool: &'a Rc<ConnectionPool>,
    engine: &'a HttpEngine,
    command: &'a AttemptCommand,
    progress: Cell<Progress>,
}

impl Attempt<'_> {
    fn destination(&self) -> BackendAddress {
        BackendAddress {
            backend: self.command.backend,
            address: self.command.address,
        }
    }

    /// Resolves once the attempt is no longer waited for, and what had arrived by then is handled: a response that lies
    /// in the socket of a node that has stood still is one, and no sign of its backend's health. While its body is being
    /// uploaded, that time is not known yet.
    async fn timed_out(&self) {
        let clock = &self.pool.clock;
        let Some(mut deadline) = self.command.upload_deadline.clone() else {
            return clock.deadline(self.command.attempt_deadline).await;
        };
        loop {
            let at = *deadline.borrow_and_update();
            tokio::select! {
                biased;
                () = clock.deadline(at) => return,
                Ok(()) = deadline.changed() => {}
            }
        }
    }

    /// The end of an attempt that is no longer waited for. A request that was never written whole has not run: the
    /// balancer may still reject it.
    fn end_early(&self, outcome: Outcome) -> AttemptEnd {
        let may_have_run =
            self.progress.get() == Progress::Written && self.command.payload.body.is_complete();
        AttemptEnd::bare(if may_have_run {
            outcome
        } else {
            Outcome::NotSent
        })
    }

    /// Whether the attempt may go on after its end was reported. It may if its client's time is over, as no other
    /// attempt can follow then.
    fn may_finish_late(&self, outcome: Outcome) -> bool {
        outcome == Outcome::TimedOut
            && self.command.attempt_deadline >= self.command.expires_at
            && self.command.upload_deadline.is_none()
    }

    /// Sends the request and reads its response. A pooled connection that has ended before anything was written to it
    /// costs nothing: the next one is used.
    async fn send(&self) -> AttemptEnd {
        loop {
            let Ok(leased) = self.lease().await else {
                return AttemptEnd::bare(Outcome::ConnectFailed);
            };
            let is_new = leased.idle_time.is_none();
            if let Some(end) = self.send_over(leased).await {
                return end;
            }
            if is_new {
                return AttemptEnd::bare(Outcome::ConnectFailed);
            }
        }
    }

    /// Leases a connection to which a request can be written.
    async fn lease(&self) -> Result<LeasedConnection, ConnectError> {
        while let Some(mut leased) = self.pool.lease_idle(self.engine, self.destination()) {
            // A close or stray bytes that the system has already received are seen first.
            yield_now().await;
            if leased.is_ready().await {
                return Ok(leased);
            }
        }
        let mut leased = self.pool.lease_new(self.engine, self.destination()).await?;
        if leased.is_ready().await {
            Ok(leased)
        } else {
            Err(ConnectError::Closed)
        }
    }

    /// Makes the exchange over one connection. None if nothing of the request was written.
    async fn send_over(&self, mut leased: LeasedConnection) -> Option<AttemptEnd> {
        // The connect may have outlasted the request, or the backend's place on the list.
        if !self.engine.may_write(self.command.attempt) {
            leased.release();
            return Some(AttemptEnd::bare(Outcome::NotSent));
        }
        let Some(mut message) = self.outgoing_request() else {
            return Some(AttemptEnd::bare(Outcome::NotSent));
        };
        leased.upload = self.command.payload.body.start_exchange();
        let idle_time = leased.idle_time;
        let activity = leased.connection.response_activity.clone();
        activity.expect_response(&mut message);
        activity.count_attempt_when_written();
        self.progress.set(Progress::Written);
        let end = tokio::select! {
            biased;
            end = exchange(leased, message, self.forwarded_errors()) => end,
            () = activity.stalled(&self.pool.clock, RESPONSE_STALL_TIMEOUT) => {
                return Some(AttemptEnd::bare(Outcome::InvalidResponse));
            }
        };
        let Some(end) = end else {
            self.progress.set(Progress::NotWritten);
            return None;
        };
        if end.response.is_none()
            && let Some(outcome) = self.upload_failure(&end)
        {
            return Some(AttemptEnd::bare(outcome));
        }
        if let Some(idle_time) = idle_time {
            let was_reset = end.outcome == Outcome::Reset && !activity.has_received();
            self.pool.record_reuse(idle_time, was_reset);
        }
        Some(end)
    }

    /// Which error responses are for the client. A request that is held whole may be sent again, and is answered by the
    /// node if all its attempts fail. An upload is not: what its backend says of it is the answer.
    fn forwarded_errors(&self) -> ForwardedErrors {
        match &self.command.payload.body {
            RequestBody::Buffered(_) => ForwardedErrors::None,
            RequestBody::Streaming(_) => ForwardedErrors::AllButRejections,
        }
    }

    /// The outcome of an exchange that ended because its request was not uploaded whole; none for any other.
    fn upload_failure(&self, end: &AttemptEnd) -> Option<Outcome> {
        let body = &self.command.payload.body;
        if body.is_aborted() {
            // A client that breaks off its request is no fault of the backend's.
            Some(Outcome::NotSent)
        } else if end.outcome == Outcome::Reset && !body.is_complete() {
            // A request that the backend never had all of has not run, and unlike above the backend is to blame.
            Some(Outcome::ConnectFailed)
        } else {
            None
        }
    }

    /// The request as it is written to the backend; none if the backend's address makes no valid header.
    fn outgoing_request(&self) -> Option<Request<OutgoingBody>> {
        let request = &self.command.payload;
        let ends_at = self.command.attempt_deadline.min(self.command.expires_at);
        let time_left_ms = ends_at.saturating_sub(self.pool.clock.now()) / MILLISECOND;
        // While its body is being uploaded, its client's time has not begun.
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

/// Writes one request and reads its response. None if nothing of the request was written.
async fn exchange(
    mut leased: LeasedConnection,
    message: Request<OutgoingBody>,
    forwarded_errors: ForwardedErrors,
) -> Option<AttemptEnd> {
    match leased.connection.sender.try_send_request(message).await {
        Ok(response) => Some(read_response(leased, response, forwarded_errors).await),
        Err(mut error) => match error.take_message() {
            Some(_) => None,
            None => Some(AttemptEnd::bare(failure_outcome(error.error()))),
        },
    }
}

//! The API endpoint: parses a request, submits it to the engine, waits for the outcome and responds.

use std::cell::RefCell;
use std::rc::Rc;

use badgerpost_balancer::{ClassId, Idempotency};
use badgerpost_engine::{IncomingRequest, RequestEnd, RequestEndReason, RequestOutcome, nanos};
use badgerpost_time::{MILLISECOND, Nanos};
use hyper::body::Incoming;
use hyper::{Request, Uri};

use crate::api_request::{RequestIdentity, RequestParameters};
use crate::backend_response::{BackendResponse, StreamedRequest, StreamingResponseBody};
use crate::bad_request::BadRequest;
use crate::client_response::{self, ClientResponse};
use crate::headers::{CALL_ID, end_to_end_headers};
use crate::observed_stream::ObservedStream;
use crate::request_body::{self, StalledSide, UploadProgress};
use crate::server_context::ServerContext;
use crate::timeouts::UPLOAD_TIMEOUT;
use crate::tracked_connection::{RequestTracker, TrackedConnection};
use crate::upload::{RequestBody, Upload};
use crate::{ForwardedRequest, Http, HttpEngine};

type Outcome = RequestOutcome<BackendResponse>;

/// Handles a request to the API.
///
/// # Errors
///
/// The request is invalid, its id belongs to an open request, or its body was not received completely.
pub(crate) async fn handle(
    context: &ServerContext,
    connection: &Rc<TrackedConnection>,
    stream: &ObservedStream<RequestTracker>,
    request: Request<Incoming>,
) -> Result<ClientResponse, BadRequest> {
    let engine = &context.engine;
    let (head, body) = request.into_parts();
    let RequestIdentity { id, class } = RequestIdentity::parse(engine, &head.headers)?;
    let mut failure_guard = FailureGuard::new(engine, class.id);
    let parameters = RequestParameters::parse(engine, &class, &head)?;
    let body = match request_body::read(context, connection, body, parameters.budget).await {
        Err(BadRequest::NoMemory) => {
            failure_guard.disarm();
            engine.request_refused(&id, class.id, RequestEndReason::NoMemory);
            return Err(BadRequest::NoMemory);
        }
        body => body?,
    };
    if class.idempotency == Idempotency::Idempotent && !is_empty(&body) {
        return Err(BadRequest::NotAllowed("a body"));
    }
    let submission = Submission {
        context,
        connection,
        stream,
        budget: parameters.budget,
        failure_guard,
    };
    let incoming = IncomingRequest {
        id,
        class: class.id,
        tenant: parameters.tenant,
        affinity_key: parameters.affinity_key,
        expected_service_time: parameters.expected_service_time,
        is_retry: parameters.is_retry,
        budget: submission.remaining_budget(),
        payload: ForwardedRequest {
            method: head.method,
            target: origin_form(&head.uri),
            headers: end_to_end_headers(head.headers),
            body,
            budget_ms: submission.remaining_budget() / MILLISECOND,
        },
    };
    let outcome = submission.outcome(incoming).await?;
    Ok(client_response::from_outcome(outcome, |response, end| {
        let request = StreamedRequest {
            class: class.id,
            version: head.version,
            end,
        };
        StreamingResponseBody::new(response, connection.clone(), engine.metrics(), request)
    }))
}

fn is_empty(body: &RequestBody) -> bool {
    matches!(body, RequestBody::Buffered(buffered) if buffered.bytes.is_empty())
}

/// The request target as path and query, as backends expect it. Clients may send the absolute form (RFC 9112, section
/// 3.2.2).
fn origin_form(target: &Uri) -> Uri {
    target
        .path_and_query()
        .cloned()
        .map_or_else(|| target.clone(), Uri::from)
}

/// A valid request that is about to be submitted.
struct Submission<'a> {
    context: &'a ServerContext,
    connection: &'a TrackedConnection,
    stream: &'a ObservedStream<RequestTracker>,
    /// How long the client waits from the last byte of the request on.
    budget: Nanos,
    failure_guard: FailureGuard<'a>,
}

impl Submission<'_> {
    /// How long the client still waits. The budget runs from the last byte of the request, also while the request is
    /// queued behind another one on its connection. During a shutdown the budget also ends with the deadline for the
    /// last response.
    fn remaining_budget(&self) -> Nanos {
        self.budget
            .saturating_sub(self.connection.time_since_complete())
            .min(self.context.time_until_last_response())
    }

    /// Submits the request and waits for its outcome.
    async fn outcome(self, incoming: IncomingRequest<Http>) -> Result<Outcome, BadRequest> {
        match &incoming.payload.body {
            RequestBody::Buffered(_) => self.outcome_of_buffered(incoming).await,
            RequestBody::Streaming(upload) => {
                let upload = upload.clone();
                self.outcome_of_upload(incoming, &upload).await
            }
        }
    }

    async fn outcome_of_buffered(
        mut self,
        incoming: IncomingRequest<Http>,
    ) -> Result<Outcome, BadRequest> {
        let pending = self
            .context
            .engine
            .submit(incoming)
            .ok_or(BadRequest::Duplicate(CALL_ID))?;
        self.failure_guard.disarm();
        self.connection.request_complete();
        Ok(pending.into_outcome().await)
    }

    async fn outcome_of_upload(
        mut self,
        mut incoming: IncomingRequest<Http>,
        upload: &Rc<Upload>,
    ) -> Result<Outcome, BadRequest> {
        self.connection.upload_submitted();
        incoming.budget = nanos(UPLOAD_TIMEOUT);
        let mut pending = self
            .context
            .engine
            .submit_upload(incoming)
            .ok_or(BadRequest::Duplicate(CALL_ID))?;
        self.failure_guard.disarm();
        let progress = UploadProgress {
            clock: self.context.clock(),
            connection: self.connection,
            stream: self.stream,
            upload,
            budget: self.remaining_budget(),
            send_time: RefCell::default(),
        };
        let early_outcome = tokio::select! {
            biased;
            () = upload.completed() => None,
            outcome = pending.wait() => Some(outcome),
            stalled = progress.stalled() => match stalled {
                StalledSide::Client => {
                    self.connection.request_timed_out();
                    return Err(BadRequest::BodyIncomplete);
                }
                StalledSide::Backend => Some(pending.reject()),
            },
        };
        if let Some(outcome) = early_outcome {
            self.respond_early(upload, &outcome);
            return Ok(outcome);
        }
        let budget = self.remaining_budget();
        pending.upload_complete(budget.saturating_sub(progress.time_since_sent()));
        self.connection.request_complete();
        Ok(pending.wait().await)
    }
}

impl Submission<'_> {
    /// Starts the response to a request whose body is still arriving. The rest of the body is forwarded or discarded
    /// while the response is sent, and the connection closes after the response.
    fn respond_early(&self, upload: &Rc<Upload>, outcome: &Outcome) {
        match outcome {
            RequestOutcome::Served(_) | RequestOutcome::FailedWith(_) => upload.resume(),
            RequestOutcome::Rejected(_) | RequestOutcome::Failed => upload.discard_rest(),
        }
        let now = self.context.clock().now();
        let body_time = self.connection.body_time_at_lowest_rate();
        let early_response = self.connection.early_response();
        early_response.begin(upload.clone(), now, body_time);
    }
}

/// Counts a request as failed when dropped, unless the request has been submitted. The engine counts submitted
/// requests.
struct FailureGuard<'a> {
    engine: &'a HttpEngine,
    class: ClassId,
    is_armed: bool,
}

impl<'a> FailureGuard<'a> {
    fn new(engine: &'a HttpEngine, class: ClassId) -> Self {
        Self {
            engine,
            class,
            is_armed: true,
        }
    }

    /// Called once the request has been submitted.
    fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for FailureGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            let metrics = self.engine.metrics();
            metrics.count_request_end(self.class, RequestEnd::Failed);
        }
    }
}

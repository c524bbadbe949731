//! The clients' side: takes connections, reads requests, waits for each one's final answer and writes it.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::{ClassId, Idempotency, Nanos};
use badgerpost_settings::name_hash;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::net::TcpListener;
use tokio::sync::watch;

use badgerpost_engine::{
    Clock, IncomingRequest, LogLimiter, RequestClass, RequestEnd, RequestOutcome, nanos, spawn,
};
use badgerpost_http_framing::FramingError;
use badgerpost_lifecycle::Stage;

use crate::answer::{self, BackendResponse};
use crate::client_connection::serve_connection;
use crate::connection_limiter::{Connection, ConnectionLimiter, WHOLE_WITHIN};
use crate::headers::{check_form, cookie, end_to_end, required, single};
use crate::memory_budget::{BufferedBytes, BytesCollector, MemoryBudget};
use crate::upload::{RequestBody, Upload};
use crate::{ForwardedRequest, Http, HttpEngine, MAX_BODY};

/// Wait before the next accept after one failed: out of descriptors, the next would fail at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How often a body that does not move is looked at.
const LOOK: Duration = Duration::from_millis(50);
/// A client counts its time from its send to the last byte of the answer, so the ways there and back come
/// off: an answer that leaves as the budget ends comes to a client that has just given up.
const ON_THE_WAY: Nanos = 4_000_000;

/// A body that is passed on as it comes may take so long in all; what bounds it is its progress.
const UPLOAD_MOST: Duration = Duration::from_secs(3600);

/// Ids are kept for a while; no client's is longer.
const LONGEST_ID: usize = 256;

pub(crate) const CALL_ID: &str = "x-call-id";
const CALL_CLASS: &str = "x-call-class";
const CALLER: &str = "x-caller";
const BUDGET: &str = "x-budget-ms";
const AGAIN: &str = "x-again";
const COST: &str = "x-call-cost";
pub(crate) const KEY: &str = "idempotency-key";
/// The cookie that names what a request concerns.
pub(crate) const KEY_COOKIE: &str = "user";

/// What is wrong with a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BadRequest {
    #[error("{0} is missing")]
    Missing(&'static str),
    #[error("{0} can't be read")]
    Unreadable(&'static str),
    #[error("{0} is not known")]
    Unknown(&'static str),
    #[error("this class takes {0} only")]
    Method(Method),
    #[error("{0} does not go with this class")]
    Misplaced(&'static str),
    #[error("the body did not arrive")]
    NoBody,
    #[error(transparent)]
    Framing(#[from] FramingError),
    #[error("{0} is that of an open request")]
    Taken(&'static str),
}

impl BadRequest {
    fn status(&self) -> StatusCode {
        match self {
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            Self::Taken(_) => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

type Answer = Response<answer::ResponseBody>;

/// Where the node stands on its way into and out of service, as the clients' side sees it.
#[derive(Clone)]
pub struct ServerHandle {
    /// Where the node stands.
    pub stage: watch::Receiver<Stage>,
    /// When it says that it is ready though it knows of no server: nobody else may know of one either.
    pub ready_by: Nanos,
    /// When the last answer has to have left, once the process is to end.
    pub leaves: Rc<Cell<Option<Nanos>>>,
    /// Whether new connections are taken.
    pub accepts: watch::Receiver<bool>,
}

/// What the clients' side may take.
#[derive(Clone)]
pub struct Limits {
    /// Connections together; it may change.
    pub clients: Rc<Cell<usize>>,
    /// For bodies that are held whole.
    pub bodies: MemoryBudget,
}

/// Serves until the stage is [`Stage::Closed`] and all connections have ended.
pub async fn run(listener: TcpListener, node: HttpEngine, limits: Limits, door: ServerHandle) {
    let slots = ConnectionLimiter::new(limits.clients, node.clock().clone());
    let sweeper = spawn(slots.clone().sweep());
    let mut closed = door.stage.clone();
    let closed = closed.wait_for(|stage| *stage == Stage::Closed);
    let mut accepts = door.accepts.clone();
    let accepting = async {
        let mut log = LogLimiter::new(node.clock().clone());
        loop {
            // Whoever ends and has a successor at the same socket leaves it what comes.
            if accepts.wait_for(|accepts| *accepts).await.is_err() {
                return std::future::pending().await;
            }
            let accepted = tokio::select! {
                biased;
                Ok(()) = accepts.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let permit = slots.take().await;
                    serve_connection(stream.into(), permit, &node, &limits.bodies, &door);
                }
                Err(error) => {
                    log.log(|suppressed| tracing::warn!(%error, suppressed, "accepting a client failed"));
                    node.clock().sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    };
    // The accept is polled first: what waits in the backlog is taken before the listener goes.
    tokio::select! {
        biased;
        () = accepting => {}
        _ = closed => {}
    }
    drop(listener);
    slots.emptied().await;
    sweeper.abort();
}

pub(crate) async fn answer(
    node: &HttpEngine,
    bodies: &MemoryBudget,
    slot: &Rc<Connection>,
    request: Request<Incoming>,
    door: &ServerHandle,
) -> Result<Answer, Infallible> {
    let serving = || door.stage.borrow().is_ready();
    let turned_down = |bad: BadRequest| (plain(bad.status(), &bad.to_string()), true);
    let (response, bad) = match (slot.receiving(), request.uri().path()) {
        // Read in two ways, a request may hide another: nothing of it goes anywhere.
        (Err(fault), _) => turned_down(fault.into()),
        (_, "/api") => match call(node, bodies, slot, request, door).await {
            Ok(response) => (response, !slot.is_received()),
            Err(bad) => turned_down(bad),
        },
        (_, "/health/ready") if request.method() != Method::GET => {
            (plain(StatusCode::METHOD_NOT_ALLOWED, "GET only"), true)
        }
        (_, "/health/ready")
            if serving()
                && !(node.has_endpoint_in_service() || node.clock().now() >= door.ready_by) =>
        {
            (
                plain(StatusCode::SERVICE_UNAVAILABLE, "no server known yet"),
                false,
            )
        }
        (_, "/health/ready") if serving() => (plain(StatusCode::OK, "ready"), false),
        (_, "/health/ready") => (
            plain(StatusCode::SERVICE_UNAVAILABLE, "stopping or standing by"),
            false,
        ),
        _ => (plain(StatusCode::NOT_FOUND, "no such path"), true),
    };
    let mut response = response;
    // Where a request is not complete, or its framing made no sense, there is no telling where the next one begins. All
    // that have been read behind one that is complete are owed their answers too.
    let ends = bad || !serving() || slot.is_surplus();
    if !slot.is_complete() || (ends && !slot.has_more()) {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    slot.answering(bad);
    Ok(response)
}

#[expect(clippy::too_many_lines, reason = "to be split with the module")]
async fn call(
    node: &HttpEngine,
    bodies: &MemoryBudget,
    slot: &Rc<Connection>,
    request: Request<Incoming>,
    door: &ServerHandle,
) -> Result<Answer, BadRequest> {
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    if !(1..=LONGEST_ID).contains(&required(headers, CALL_ID)?.len()) {
        return Err(BadRequest::Unreadable(CALL_ID));
    }
    let class = required(headers, CALL_CLASS)?;
    let RequestClass {
        id: class,
        deadline,
        idempotency: effect,
    } = node.class(class).ok_or(BadRequest::Unknown(CALL_CLASS))?;
    let known = IdentifiedRequest {
        node,
        class,
        ended: Cell::new(false),
    };
    check_form(&head.method, headers, effect)?;
    let tenant = node
        .tenant(single(headers, CALLER)?)
        .map_err(|_| BadRequest::Unknown(CALLER))?;
    let whole = |name, text: &str| {
        text.parse::<u64>()
            .map_err(|_| BadRequest::Unreadable(name))
    };
    let budget = whole(BUDGET, required(headers, BUDGET)?)?;
    let hint = single(headers, COST)?
        .map(|text| whole(COST, text))
        .transpose()?;
    let key = cookie(headers, KEY_COOKIE).map(name_hash);
    let repeat = single(headers, AGAIN)? == Some("1");
    let body = read(node.clock(), slot, bodies, body).await?;
    if effect == Idempotency::Idempotent
        && !matches!(&body, RequestBody::Buffered(kept) if kept.bytes.is_empty())
    {
        return Err(BadRequest::Misplaced("a body"));
    }
    // No work is as long as the client's whole time; such a guess says nothing.
    let hint = hint
        .map(|micros| micros.saturating_mul(1000))
        .filter(|hint| *hint <= deadline);
    // Its time runs from its last byte, also while it waits behind another request. Whoever is about to end has no more
    // time than that.
    let left = || {
        let most = door
            .leaves
            .get()
            .map_or(Nanos::MAX, |at| at.saturating_sub(node.clock().now()));
        time_left(budget, deadline)
            .saturating_sub(slot.waited())
            .min(most)
    };
    let coming = match &body {
        RequestBody::Streaming(upload) => Some(upload.clone()),
        RequestBody::Buffered(..) => None,
    };
    let mut asked: IncomingRequest<Http> = IncomingRequest {
        id: required(headers, CALL_ID)?.into(),
        class,
        tenant,
        affinity_key: key,
        expected_work: hint,
        is_retry: repeat,
        budget: left(),
        payload: ForwardedRequest {
            method: head.method,
            target: origin_form(&head.uri),
            headers: end_to_end(head.headers),
            body,
            budget_ms: left() / 1_000_000,
        },
    };
    let _awaits = slot.awaits();
    let reply = if let Some(upload) = coming {
        asked.budget = nanos(UPLOAD_MOST);
        let mut waiting = node
            .submit_upload(asked)
            .ok_or(BadRequest::Taken(CALL_ID))?;
        known.ended.set(true);
        let early = tokio::select! {
            biased;
            () = upload.completed() => None,
            reply = waiting.wait() => Some(reply),
            stuck = stuck(node.clock(), slot, &upload, left()) => match stuck {
                StalledBody::AtClient => return Err(BadRequest::NoBody),
                StalledBody::AtBackend => Some(waiting.reject()),
            },
        };
        match early {
            // Answered before it was whole: what still comes is dropped, and the connection ends.
            Some(reply) => reply,
            None => {
                waiting.upload_complete(left());
                slot.open();
                waiting.wait().await
            }
        }
    } else {
        let waiting = node.submit(asked).ok_or(BadRequest::Taken(CALL_ID))?;
        known.ended.set(true);
        slot.open();
        waiting.into_outcome().await
    };
    Ok(worded(reply, |begun| {
        answer::StreamingResponseBody::new(begun, slot.clone(), node.metrics(), class, head.version)
    }))
}

/// Who a body waits for that has stopped moving.
enum StalledBody {
    AtClient,
    AtBackend,
}

/// Resolves once a body has stopped moving for too long: its client keeps up no pace, or it was whole long ago for all
/// that its client knows, and nobody takes the rest, which then never ran anywhere.
async fn stuck(clock: &Clock, slot: &Connection, upload: &Upload, left: Nanos) -> StalledBody {
    loop {
        let client_due = upload.client_stall_deadline(nanos(WHOLE_WITHIN), slot.paid());
        slot.set_blocked(client_due.is_none());
        let (due, who) = match (client_due, upload.waiting_for_backend_since()) {
            (Some(due), _) => (due, StalledBody::AtClient),
            (None, since) => {
                let since = since.unwrap_or(clock.now());
                (since.saturating_add(left), StalledBody::AtBackend)
            }
        };
        if clock.now() >= due {
            return who;
        }
        // Who it waits for changes without notice.
        clock
            .sleep_until(due.min(clock.now().saturating_add(nanos(LOOK))))
            .await;
    }
}

/// The target as it goes on: clients may name the whole address (RFC 9112, chapter 3.2.2), servers are told path and
/// query.
fn origin_form(target: &Uri) -> Uri {
    target
        .path_and_query()
        .cloned()
        .map_or_else(|| target.clone(), Uri::from)
}

/// A request of a class that is known: unless it is taken, it ends as failed.
struct IdentifiedRequest<'a> {
    node: &'a HttpEngine,
    class: ClassId,
    ended: Cell<bool>,
}

impl Drop for IdentifiedRequest<'_> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.node
                .metrics()
                .request_answered(self.class, RequestEnd::Failed);
        }
    }
}

/// What is left here of a budget in milliseconds; no client waits for longer than its class's deadline.
fn time_left(budget_ms: u64, deadline: Nanos) -> Nanos {
    budget_ms
        .saturating_mul(1_000_000)
        .min(deadline)
        .saturating_sub(ON_THE_WAY)
}

/// Takes a body in: whole if it is small and there is room for it, else what has come until that shows.
async fn read(
    clock: &Clock,
    slot: &Connection,
    bodies: &MemoryBudget,
    mut body: Incoming,
) -> Result<RequestBody, BadRequest> {
    let length = body.size_hint().exact();
    if body.is_end_stream() {
        return Ok(RequestBody::Buffered(BufferedBytes::default()));
    }
    // One of an unknown length takes what the largest one would.
    let most = length.map_or(MAX_BODY, |length| {
        usize::try_from(length).unwrap_or(usize::MAX).min(MAX_BODY)
    });
    let Some(held) = bodies.take(most) else {
        return Ok(RequestBody::Streaming(Upload::new(
            BufferedBytes::default(),
            body,
            length,
            clock,
        )));
    };
    let mut first = BytesCollector::default();
    loop {
        let frame = loop {
            let due = slot.received_by();
            match clock.timeout_at(due, body.frame()).await {
                Ok(frame) => break frame,
                // Bytes have come meanwhile that the library has not handed on.
                Err(_) if slot.received_by() > due => {}
                Err(_) => return Err(BadRequest::NoBody),
            }
        };
        match frame {
            None => break,
            Some(Err(_)) => return Err(BadRequest::NoBody),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                first.add(data);
                if first.count() >= MAX_BODY && !body.is_end_stream() {
                    return Ok(RequestBody::Streaming(Upload::new(
                        BufferedBytes::new(first.into_bytes(), Some(held)),
                        body,
                        length,
                        clock,
                    )));
                }
            }
        }
    }
    Ok(RequestBody::Buffered(BufferedBytes::new(
        first.into_bytes(),
        Some(held),
    )))
}

fn worded(
    reply: RequestOutcome<BackendResponse>,
    pass: impl FnOnce(answer::StreamingResponse) -> answer::StreamingResponseBody,
) -> Answer {
    match reply {
        RequestOutcome::Served(BackendResponse::Buffered(kept)) => {
            Response::new(answer::ResponseBody::from(kept))
        }
        RequestOutcome::Served(BackendResponse::Streaming(begun)) => {
            Response::new(answer::ResponseBody::Streaming(pass(begun)))
        }
        RequestOutcome::Rejected(pause) => {
            let mut response = plain(
                StatusCode::SERVICE_UNAVAILABLE,
                "refused; trying again does no harm",
            );
            if pause > 0 {
                // Never sooner than the module said: decimals are cut, so round up.
                let text = format!("{:.3}", pause.div_ceil(1_000_000) as f64 / 1000.0);
                let value = HeaderValue::from_str(&text);
                value.into_iter().for_each(|value| {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                });
            }
            response
        }
        RequestOutcome::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(answer::ResponseBody::from(Bytes::copy_from_slice(
        text.as_bytes(),
    )));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;

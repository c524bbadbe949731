//! The clients' side: takes connections, reads requests, waits for each one's final answer and writes it.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::time::Duration;

use brookfield::{Effect, Nanos};
use brookfield_settings::name_tag;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use badgerpost_engine::{Asked, Clock, End, LogLimiter, Reply, spawn};
use badgerpost_lifecycle::Stage;

use crate::slots::{RequestTracker, Slot, SlotGuard, Slots};
use crate::tap::Tap;
use crate::{Call, Http, MAX_BODY, Node};

/// Wait before the next accept after one failed: out of descriptors, the next would fail at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How often a new connection is looked at while idle ones are to end.
const STILL_NEW: Duration = Duration::from_millis(50);
const MAX_HEAD: usize = 32 * 1024;
/// A client counts its time from its send to the last byte of the answer, so the ways there and back come
/// off: an answer that leaves as the budget ends comes to a client that has just given up.
const ON_THE_WAY: Nanos = 4_000_000;

/// Ids are kept for a while; no client's is longer.
const LONGEST_ID: usize = 256;

const CALL_ID: &str = "x-call-id";
const CALL_CLASS: &str = "x-call-class";
const CALLER: &str = "x-caller";
const BUDGET: &str = "x-budget-ms";
const AGAIN: &str = "x-again";
const COST: &str = "x-call-cost";
const KEY: &str = "idempotency-key";
/// The cookie that names what a request concerns.
const KEY_COOKIE: &str = "user";

/// What is wrong with a request.
#[derive(Debug, thiserror::Error)]
enum BadCall {
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
    #[error("the body is too large")]
    TooLarge,
    #[error("the body did not arrive")]
    NoBody,
    #[error("bodies come with a length, and no other way")]
    NoLength,
    #[error("{0} is that of an open request")]
    Taken(&'static str),
}

impl BadCall {
    fn status(&self) -> StatusCode {
        match self {
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoLength => StatusCode::LENGTH_REQUIRED,
            Self::Taken(_) => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

type Answer = Response<Full<Bytes>>;

/// Where the node stands on its way into and out of service, as the clients' side sees it.
#[derive(Clone)]
pub struct Door {
    /// Where the node stands.
    pub stage: watch::Receiver<Stage>,
    /// Whether new connections are taken.
    pub accepts: watch::Receiver<bool>,
}

/// Serves until the stage is [`Stage::Closed`] and all connections have ended. At most `most` are open.
pub async fn run(listener: TcpListener, node: Node, most: usize, door: Door) {
    let slots = Slots::new(most, node.clock().clone());
    let sweeper = spawn(slots.clone().sweep());
    let (phase, mut closed) = (door.stage.clone(), door.stage);
    let closed = closed.wait_for(|stage| *stage == Stage::Closed);
    let mut accepts = door.accepts;
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
                Ok((stream, _)) => welcome(stream, &node, slots.take().await, &phase),
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

fn welcome(stream: TcpStream, node: &Node, guard: SlotGuard, phase: &watch::Receiver<Stage>) {
    let (node, phase) = (node.clone(), phase.clone());
    spawn(async move {
        tokio::select! {
            biased;
            () = guard.slot().closed() => {}
            result = converse(stream, node, guard.slot(), phase) => {
                result.unwrap_or_else(|error| tracing::debug!(%error, "client connection failed"));
            }
        }
    });
}

#[derive(Debug, thiserror::Error)]
enum Trouble {
    #[error(transparent)]
    Socket(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

async fn converse(
    stream: TcpStream,
    node: Node,
    slot: &std::rc::Rc<Slot>,
    mut phase: watch::Receiver<Stage>,
) -> Result<(), Trouble> {
    stream.set_nodelay(true)?;
    let answers = phase.clone();
    let service = service_fn(|request| answer(&node, slot, request, &answers));
    let line = TokioIo::new(Tap::new(stream, RequestTracker::new(slot.clone())));
    let mut connection = http1::Builder::new().max_buf_size(MAX_HEAD).serve_connection(line, service);
    let idle_ends = async {
        // One that has just come is closed by its first answer. Closing it sooner would lose the request for which
        // it was opened.
        while phase.wait_for(|stage| stage.closes_idle()).await.is_ok() && slot.is_new() {
            node.clock().sleep(STILL_NEW).await;
        }
    };
    let ended = tokio::select! {
        biased;
        result = &mut connection => Some(result),
        () = idle_ends => None,
    };
    let result = match ended {
        Some(result) => result,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if result.is_err() || slot.told_off() {
        connection.into_parts().io.into_inner().leave().await;
    }
    Ok(result?)
}

async fn answer(
    node: &Node,
    slot: &Slot,
    request: Request<Incoming>,
    phase: &watch::Receiver<Stage>,
) -> Result<Answer, Infallible> {
    let whole_by = slot.arriving();
    let serving = || phase.borrow().is_ready();
    let (response, bad) = match request.uri().path() {
        "/api" => match call(node, slot, request, whole_by).await {
            Ok(response) => (response, false),
            Err(bad) => (plain(bad.status(), &bad.to_string()), true),
        },
        "/health/ready" if request.method() != Method::GET => {
            (plain(StatusCode::METHOD_NOT_ALLOWED, "GET only"), true)
        }
        "/health/ready" if serving() => (plain(StatusCode::OK, "ready"), false),
        "/health/ready" => (plain(StatusCode::SERVICE_UNAVAILABLE, "stopping or standing by"), false),
        _ => (plain(StatusCode::NOT_FOUND, "no such path"), true),
    };
    let mut response = response;
    // Where one request made no sense there is no telling where the next one begins.
    if bad || !serving() || slot.is_surplus() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    slot.answering(bad);
    Ok(response)
}

async fn call(
    node: &Node,
    slot: &Slot,
    request: Request<Incoming>,
    whole_by: Nanos,
) -> Result<Answer, BadCall> {
    let came = node.clock().now();
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    check_framing(headers, &body, slot)?;
    if !(1..=LONGEST_ID).contains(&required(headers, CALL_ID)?.len()) {
        return Err(BadCall::Unreadable(CALL_ID));
    }
    let class = required(headers, CALL_CLASS)?;
    let (class, deadline, effect) = node.class(class).ok_or(BadCall::Unknown(CALL_CLASS))?;
    let known = Known { node, class, ended: Cell::new(false) };
    check_form(&head.method, headers, effect)?;
    let tenant = node.tenant(single(headers, CALLER)?).map_err(|_| BadCall::Unknown(CALLER))?;
    let whole = |name, text: &str| text.parse::<u64>().map_err(|_| BadCall::Unreadable(name));
    let budget = whole(BUDGET, required(headers, BUDGET)?)?;
    let hint = single(headers, COST)?.map(|text| whole(COST, text)).transpose()?;
    let key = cookie(headers, KEY_COOKIE).map(name_tag);
    let repeat = single(headers, AGAIN)? == Some("1");
    let body = read(node.clock(), body, whole_by).await?;
    if effect == Effect::Repeatable && !body.is_empty() {
        return Err(BadCall::Misplaced("a body"));
    }
    // No work is as long as the client's whole time; such a guess says nothing.
    let hint = hint.map(|micros| micros.saturating_mul(1000)).filter(|hint| *hint <= deadline);
    let spent: Nanos = node.clock().now().saturating_sub(came);
    let asked: Asked<Http> = Asked {
        id: required(headers, CALL_ID)?.into(),
        class,
        tenant,
        key,
        hint,
        repeat,
        budget: time_left(budget, deadline, spent),
        call: Call { method: head.method, target: head.uri, headers: end_to_end(head.headers), body },
    };
    let waiting = node.submit(asked).ok_or(BadCall::Taken(CALL_ID))?;
    known.ended.set(true);
    slot.open();
    Ok(worded(waiting.answer().await))
}

/// A request of a class that is known: unless it is taken, it ends as failed.
struct Known<'a> {
    node: &'a Node,
    class: u32,
    ended: Cell<bool>,
}

impl Drop for Known<'_> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.node.tally().count(self.class, End::Errored);
        }
    }
}

/// Transfer codings are not taken at all: where a length stands beside one, the parser drops it unseen, in
/// either order, and what one side takes for a body is a request of its own to the other.
fn check_framing(headers: &HeaderMap, body: &Incoming, slot: &Slot) -> Result<(), BadCall> {
    if slot.doubled() {
        return Err(BadCall::Unreadable("content-length"));
    }
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return Err(BadCall::NoLength);
    }
    if body.size_hint().lower() > MAX_BODY as u64 {
        return Err(BadCall::TooLarge);
    }
    Ok(())
}

/// What is left here of a budget in milliseconds; no client waits for longer than its class's deadline.
fn time_left(budget_ms: u64, deadline: Nanos, spent: Nanos) -> Nanos {
    budget_ms.saturating_mul(1_000_000).min(deadline).saturating_sub(spent.saturating_add(ON_THE_WAY))
}

async fn read(clock: &Clock, body: Incoming, whole_by: Nanos) -> Result<Bytes, BadCall> {
    match clock.timeout_at(whole_by, Limited::new(body, MAX_BODY).collect()).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BadCall::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BadCall::NoBody),
    }
}

/// A header that may stand once at most.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadCall> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(BadCall::Unreadable(name));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| BadCall::Unreadable(name))
}

fn required<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, BadCall> {
    single(headers, name)?.ok_or(BadCall::Missing(name))
}

/// A cookie's value (RFC 6265, chapter 4.2); none where it is not sent or can't be read.
fn cookie<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let lines = headers.get_all(header::COOKIE).iter().filter_map(|line| line.to_str().ok());
    lines.flat_map(|line| line.split(';')).find_map(|pair| {
        let (known, value) = pair.trim().split_once('=')?;
        (known == name && !value.is_empty()).then_some(value)
    })
}

/// The method and the key follow from the class.
fn check_form(method: &Method, headers: &HeaderMap, effect: Effect) -> Result<(), BadCall> {
    let wanted = if effect == Effect::Repeatable { Method::GET } else { Method::POST };
    if *method != wanted {
        return Err(BadCall::Method(wanted));
    }
    match (effect, single(headers, KEY)?) {
        (Effect::Keyed { .. }, None | Some("")) => Err(BadCall::Missing(KEY)),
        (Effect::Keyed { .. }, Some(_)) | (_, None) => Ok(()),
        (_, Some(_)) => Err(BadCall::Misplaced(KEY)),
    }
}

/// The headers that go on: all but those that speak of this one connection. The framing is made anew.
fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CALL_ID && *name != KEY)
        .collect();
    let hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
    ];
    for name in named.into_iter().chain(hop) {
        headers.remove(name);
    }
    headers
}

fn worded(reply: Reply<Bytes>) -> Answer {
    match reply {
        Reply::Served(body) => Response::new(Full::new(body)),
        Reply::Refused(pause) => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused; trying again does no harm");
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
        Reply::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
    }
}

fn plain(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn a_cookie_is_found_among_others() {
        let read = |lines: &[&'static str]| {
            let mut headers = HeaderMap::new();
            lines.iter().for_each(|line| {
                headers.append(header::COOKIE, HeaderValue::from_static(line));
            });
            cookie(&headers, KEY_COOKIE).map(str::to_owned)
        };
        assert_eq!(read(&["user=7f3a"]).as_deref(), Some("7f3a"));
        assert_eq!(read(&["a=1; user=7f3a ;b=2"]).as_deref(), Some("7f3a"));
        assert_eq!(read(&["a=1", "user=x=y"]).as_deref(), Some("x=y"));
        for none in [&[][..], &["user="], &["user"], &["users=1; xuser=2"], &[";;="]] {
            assert_eq!(read(none), None, "{none:?}");
        }
    }

    /// Guards against answers that leave when the client's time is up and so come too late.
    #[test]
    fn the_ways_there_and_back_come_off_a_budget() {
        assert_eq!(time_left(200, 500 * MS, 0), 196 * MS);
        assert_eq!(time_left(200, 500 * MS, 10 * MS), 186 * MS);
        assert_eq!(time_left(9000, 500 * MS, 0), 496 * MS);
        assert_eq!(time_left(3, 500 * MS, 0), 0);
        assert_eq!(time_left(u64::MAX, u64::MAX, u64::MAX), 0);
    }
}

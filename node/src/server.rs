//! The clients' side: takes connections, reads requests, waits for each one's final answer and writes it.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use brookfield::{Effect, Nanos};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::driver::{Asked, Call, Node, Reply};
use crate::upstream::MAX_BODY;

/// Wait before the next accept after one failed: out of descriptors, the next would fail at once.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A head has this long to arrive, and a connection this long to stand idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A body has at most this long to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEAD: usize = 32 * 1024;
/// A client counts its time from its send to the last byte of the answer, so the ways there and back come
/// off: an answer that leaves as the budget ends comes to a client that has just given up.
const ON_THE_WAY: Nanos = 4_000_000;

const CALL_ID: &str = "x-call-id";
const CALL_CLASS: &str = "x-call-class";
const CALLER: &str = "x-caller";
const BUDGET: &str = "x-budget-ms";
const AGAIN: &str = "x-again";
const COST: &str = "x-call-cost";
const KEY: &str = "idempotency-key";

/// How far the node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// In service.
    Serving,
    /// Takes all that comes; each answer ends its connection.
    Stopping,
    /// Closes connections on which nothing is going on, and still takes new ones.
    Closing,
    /// Takes no more connections.
    Closed,
}

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
}

impl BadCall {
    fn status(&self) -> StatusCode {
        match self {
            Self::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBody => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

type Answer = Response<Full<Bytes>>;

/// Serves until the phase is [`Phase::Closed`] and all connections have ended. At most `most` are open.
pub async fn run(listener: TcpListener, node: Node, most: usize, mut phase: watch::Receiver<Phase>) {
    let slots = Arc::new(Semaphore::new(most));
    let mut closed = phase.clone();
    let closed = closed.wait_for(|phase| *phase == Phase::Closed);
    let accepting = async {
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => welcome(stream, &node, slot, &phase),
                Err(error) => {
                    tracing::warn!("accept: {error}");
                    sleep(ACCEPT_AGAIN).await;
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
    phase.mark_unchanged();
    let all = u32::try_from(most).unwrap_or(u32::MAX);
    drop(slots.acquire_many(all).await);
}

fn welcome(stream: TcpStream, node: &Node, slot: OwnedSemaphorePermit, phase: &watch::Receiver<Phase>) {
    let (node, phase) = (node.clone(), phase.clone());
    spawn_local(async move {
        let _slot = slot;
        if let Err(error) = converse(stream, node, phase).await {
            tracing::debug!("client: {error}");
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

async fn converse(stream: TcpStream, node: Node, mut phase: watch::Receiver<Phase>) -> Result<(), Trouble> {
    stream.set_nodelay(true)?;
    // One that comes during the way out is closed by its first answer. Closing it sooner would lose the
    // request for which it was opened.
    let late = *phase.borrow() != Phase::Serving;
    let answers = phase.clone();
    let service = service_fn(|request| answer(&node, request, &answers));
    let mut connection = std::pin::pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD)
            .serve_connection(TokioIo::new(stream), service)
    );
    if !late {
        tokio::select! {
            biased;
            result = &mut connection => return Ok(result?),
            _ = phase.wait_for(|phase| *phase >= Phase::Closing) => connection.as_mut().graceful_shutdown(),
        }
    }
    Ok(connection.await?)
}

async fn answer(
    node: &Node,
    request: Request<Incoming>,
    phase: &watch::Receiver<Phase>,
) -> Result<Answer, Infallible> {
    let serving = || *phase.borrow() == Phase::Serving;
    let mut response = match request.uri().path() {
        "/api" => call(node, request).await.unwrap_or_else(|bad| plain(bad.status(), &bad.to_string())),
        "/health/ready" if request.method() != Method::GET => {
            plain(StatusCode::METHOD_NOT_ALLOWED, "GET only")
        }
        "/health/ready" if serving() => plain(StatusCode::OK, "ready"),
        "/health/ready" => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        _ => plain(StatusCode::NOT_FOUND, "no such path"),
    };
    if !serving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn call(node: &Node, request: Request<Incoming>) -> Result<Answer, BadCall> {
    let came = node.clock().now();
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    if required(headers, CALL_ID)?.is_empty() {
        return Err(BadCall::Unreadable(CALL_ID));
    }
    let class = required(headers, CALL_CLASS)?;
    let (class, deadline, effect) = node.class(class).ok_or(BadCall::Unknown(CALL_CLASS))?;
    check_form(&head.method, headers, effect)?;
    let tenant = node.tenant(single(headers, CALLER)?).map_err(|_| BadCall::Unknown(CALLER))?;
    let whole = |name, text: &str| text.parse::<u64>().map_err(|_| BadCall::Unreadable(name));
    let budget = whole(BUDGET, required(headers, BUDGET)?)?;
    let hint = single(headers, COST)?.map(|text| whole(COST, text)).transpose()?;
    let repeat = single(headers, AGAIN)? == Some("1");
    let body = read(body).await?;
    if effect == Effect::Repeatable && !body.is_empty() {
        return Err(BadCall::Misplaced("a body"));
    }
    let spent: Nanos = node.clock().now().saturating_sub(came);
    let asked = Asked {
        class,
        tenant,
        hint: hint.map(|micros| micros.saturating_mul(1000)),
        repeat,
        budget: time_left(budget, deadline, spent),
        call: Call { method: head.method, target: head.uri, headers: end_to_end(head.headers), body },
    };
    Ok(worded(node.submit(asked).answer().await))
}

/// What is left here of a budget in milliseconds; no client waits for longer than its class's deadline.
fn time_left(budget_ms: u64, deadline: Nanos, spent: Nanos) -> Nanos {
    budget_ms.saturating_mul(1_000_000).min(deadline).saturating_sub(spent.saturating_add(ON_THE_WAY))
}

async fn read(body: Incoming) -> Result<Bytes, BadCall> {
    match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY).collect()).await {
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

fn worded(reply: Reply) -> Answer {
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

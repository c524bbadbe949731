//! The backends' side: a bounded pool of connections, and single attempts over them. What happened to an
//! attempt becomes an [`Outcome`]; whether there is another is not decided here, and nothing is sent twice.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use brookfield::{BackendId, Nanos, Outcome, Report};
use brookfield_settings::Links;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::yield_now;

use badgerpost_engine::{Clock, IdlePool, Launcher, OpenCount, Quiet, spawn};

use crate::tap::{Heard, Tap};
use crate::{Ending, Http, Launch, MAX_BODY, Node};

/// No answer's head is larger, nor has more lines.
const MAX_HEAD: usize = 16 * 1024;
const MAX_LINES: usize = 64;
/// An answer is whole this long after it has begun, or it is spoilt: backends send it in one go, and the time
/// is better used for another attempt.
const WHOLE_WITHIN: Duration = Duration::from_millis(100);
/// A connection rests this long after an answer. What comes behind one would pass for the next one's answer;
/// while it rests, it shows as not asked for, and the connection is dropped. So does a close.
const REST: Nanos = 10_000_000;
/// An idle connection is kept for this part of the backends' limit: one that is written to as its backend
/// closes it ends as a reset, and what was sent on it may have run.
const IDLE_PART: u64 = 2;
/// An answer that comes this long after its client's time leaves its connection fit for use: clients with
/// little time would cost a handshake each.
const SALVAGE: Duration = Duration::from_millis(400);
/// Weight of one use in what is known of connections that have rested for about as long, and the share of
/// resets from which on such a one is not used: a new one costs a handshake, a reset the request.
const AGED_SMOOTHING: f64 = 0.1;
const AGED_MOST: f64 = 0.25;
/// Classes of rest, each of twice the length of the one before; the first one ends at 16 ms.
const AGES: usize = 12;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Where a backend tells its load, and how long an answer to that is waited for: one that comes later is older
/// than the next.
const LOAD_PATH: &str = "/stats";
const PROBE_WITHIN: Duration = Duration::from_millis(400);

type Place = (BackendId, SocketAddr);

/// A connection, and what is heard on it.
struct Link {
    send: SendRequest<Full<Bytes>>,
    heard: Heard,
}

impl Quiet for Link {
    /// A close, or bytes that nobody asked for, ends the connection's task.
    fn is_quiet(&mut self) -> bool {
        !self.send.is_closed()
    }
}

/// Connections to the backends.
pub struct Pool {
    idle: IdlePool<Place, Link>,
    /// Open connections, idle or not.
    open: OpenCount,
    most: usize,
    links: Links,
    clock: Clock,
    aged: Aged,
}

/// How many of the connections that had rested for so long were reset at their next request. Some networks
/// forget a quiet connection and tell nobody, long before the backends' own limit.
#[derive(Default)]
struct Aged([Cell<f64>; AGES]);

impl Aged {
    fn class(rest: Nanos) -> usize {
        let doublings = (rest / 16_000_000).checked_ilog2().map_or(0, |log| log as usize + 1);
        doublings.min(AGES - 1)
    }

    fn used(&self, rest: Nanos, reset: bool) {
        let share = &self.0[Self::class(rest)];
        share.set(share.get() + (f64::from(u8::from(reset)) - share.get()) * AGED_SMOOTHING);
    }

    fn is_fit(&self, rest: Nanos) -> bool {
        self.0[Self::class(rest)].get() < AGED_MOST
    }

    /// What is not used is forgotten, so that it is tried again.
    fn fade(&self) {
        self.0.iter().for_each(|share| share.set(share.get() * (1.0 - AGED_SMOOTHING / 4.0)));
    }
}

/// Starts attempts over a pool.
pub struct Upstream(Rc<Pool>);

impl Upstream {
    /// At most `most` connections are open together.
    pub fn new(links: Links, clock: Clock, most: usize) -> Self {
        let (idle, open) = (IdlePool::default(), OpenCount::default());
        Self(Rc::new(Pool { idle, open, most, links, clock, aged: Aged::default() }))
    }

    /// Closes what has been idle for too long; never ends.
    pub async fn sweep(pool: Rc<Pool>) {
        loop {
            pool.clock.sleep(SWEEP).await;
            pool.drop_stale();
            pool.aged.fade();
        }
    }

    /// The pool.
    pub fn pool(&self) -> Rc<Pool> {
        self.0.clone()
    }
}

impl Launcher<Http> for Upstream {
    fn launch(&self, node: &Node, launch: Launch) {
        let (pool, node) = (self.0.clone(), node.clone());
        spawn(async move { pool.run(node, launch).await });
    }

    fn probe(&self, node: &Node, backend: BackendId, endpoint: SocketAddr) {
        let (pool, node) = (self.0.clone(), node.clone());
        spawn(async move { pool.probe(node, (backend, endpoint)).await });
    }

    fn retire(&self, backend: BackendId) {
        self.0.idle.retain(self.0.clock.now(), |place, _, _| place.0 != backend);
    }
}

impl Pool {
    async fn run(&self, node: Node, mut launch: Launch) {
        let written = Cell::new(false);
        let withdrawn = std::mem::replace(&mut launch.withdrawn, tokio::sync::oneshot::channel().1);
        // Never written, it never ran: a refusal is still open to the module then.
        let unless_written = |outcome| if written.get() { outcome } else { Outcome::Moot };
        let mut attempt = std::pin::pin!(self.attempt(&node, &launch, &written));
        let ending = tokio::select! {
            biased;
            _ = withdrawn => Ending::bare(unless_written(Outcome::Cancelled)),
            ending = &mut attempt => ending,
            () = self.clock.sleep_until(launch.give_up) => {
                Ending::bare(unless_written(Outcome::TimedOut))
            }
        };
        // With the client's time over no other attempt can follow this one, so it may come to its own end.
        let salvaged = ending.outcome == Outcome::TimedOut && launch.give_up >= launch.not_after;
        node.settled(launch.ticket, ending);
        if salvaged && self.open.get() < self.most / 4 * 3 {
            let _ = self.clock.timeout(SALVAGE, attempt).await;
        }
    }

    /// Asks a backend for its load report, over an idle connection if there is one. Where connections are scarce
    /// nothing is opened for it: requests need them more.
    async fn probe(&self, node: Node, place: Place) {
        let began = self.clock.now();
        let asked = self.clock.timeout(PROBE_WITHIN, self.ask_load(&node, place)).await;
        let (outcome, report) = asked.unwrap_or((Outcome::TimedOut, Report::default()));
        node.probed(place.0, outcome, self.clock.now().saturating_sub(began), report);
    }

    async fn ask_load(&self, node: &Node, place: Place) -> (Outcome, Report) {
        let failed = |outcome| (outcome, Report::default());
        let mut link = match self.take(place) {
            Some((link, _)) => link,
            None if self.open.get() >= self.most / 4 * 3 => return failed(Outcome::Moot),
            None => match self.connect(place.1).await {
                Some(link) => link,
                None => return failed(Outcome::ConnectFailed),
            },
        };
        let host = HeaderValue::from_str(&place.1.to_string());
        let (true, Ok(host)) = (node.serves_at(place.0, place.1), host) else {
            return failed(Outcome::Moot);
        };
        let mut message = Request::new(Full::new(Bytes::new()));
        *message.uri_mut() = Uri::from_static(LOAD_PATH);
        message.headers_mut().insert(HOST, host);
        if link.send.ready().await.is_err() {
            return failed(Outcome::Moot);
        }
        link.heard.listen(&mut message);
        match link.send.try_send_request(message).await {
            Ok(response) => {
                let (ending, whole) = read(response).await;
                if whole {
                    self.keep(node, place, link);
                }
                let served = ending.outcome == Outcome::Served;
                let told = ending.answer.filter(|_| served).map(|body| figures(&body));
                (ending.outcome, told.unwrap_or(ending.report))
            }
            Err(error) => failed(broken(error.error())),
        }
    }

    async fn attempt(&self, node: &Node, launch: &Launch, written: &Cell<bool>) -> Ending {
        let place = (launch.backend, launch.endpoint);
        loop {
            let (mut link, rest) = match self.take(place) {
                Some((link, rest)) => (link, Some(rest)),
                None => match self.connect(launch.endpoint).await {
                    Some(link) => (link, None),
                    None => return Ending::bare(Outcome::ConnectFailed),
                },
            };
            let fresh = rest.is_none();
            if !fresh {
                // A close or stray bytes that the system has already got are seen first.
                yield_now().await;
            }
            // A pooled connection found dead before anything was written to it costs nothing: the next one.
            if link.send.ready().await.is_err() {
                if fresh {
                    return Ending::bare(Outcome::ConnectFailed);
                }
                continue;
            }
            // The connect may have outlasted the request, or the backend's place on the list.
            if !node.may_write(launch.ticket) {
                self.keep(node, place, link);
                return Ending::bare(Outcome::Moot);
            }
            let Some(mut message) = self.message(launch) else { return Ending::bare(Outcome::Moot) };
            let heard = link.heard.clone();
            heard.listen(&mut message);
            heard.count_in(node.tally());
            written.set(true);
            let ending = tokio::select! {
                biased;
                ending = self.exchange(node, place, link, message) => ending,
                () = heard.stalled(&self.clock, WHOLE_WITHIN) => return Ending::bare(Outcome::Spoilt),
            };
            match ending {
                Some(ending) => {
                    let reset = ending.outcome == Outcome::Reset && !heard.anything();
                    rest.into_iter().for_each(|rest| self.aged.used(rest, reset));
                    return ending;
                }
                None => written.set(false),
            }
            if fresh {
                return Ending::bare(Outcome::ConnectFailed);
            }
        }
    }

    /// One message and its answer. None if not a byte of the message was written.
    async fn exchange(
        &self,
        node: &Node,
        place: Place,
        mut link: Link,
        message: Request<Full<Bytes>>,
    ) -> Option<Ending> {
        match link.send.try_send_request(message).await {
            Ok(response) => {
                let (ending, whole) = read(response).await;
                if whole {
                    self.keep(node, place, link);
                }
                Some(ending)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => None,
                None => Some(Ending::bare(broken(error.error()))),
            },
        }
    }

    fn message(&self, launch: &Launch) -> Option<Request<Full<Bytes>>> {
        let call = &launch.call;
        let left = launch.give_up.min(launch.not_after).saturating_sub(self.clock.now()) / 1_000_000;
        let mut message = Request::new(Full::new(call.body.clone()));
        *message.method_mut() = call.method.clone();
        *message.uri_mut() = call.target.clone();
        *message.headers_mut() = call.headers.clone();
        let headers = message.headers_mut();
        headers.insert("x-budget-ms", HeaderValue::from(left));
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&launch.endpoint.to_string()).ok()?);
        }
        Some(message)
    }

    /// An idle connection that has rested, and for how long; the one used last, so that those in excess grow
    /// old.
    fn take(&self, place: Place) -> Option<(Link, Nanos)> {
        let (link, rest) = self.idle.take(&place, self.clock.now(), REST)?;
        (rest < self.links.idle / IDLE_PART && self.aged.is_fit(rest)).then_some((link, rest))
    }

    /// Keeps a connection for the next attempt, unless its backend has left or moved meanwhile.
    fn keep(&self, node: &Node, place: Place, mut link: Link) {
        if link.is_quiet() && node.serves_at(place.0, place.1) {
            self.idle.put(place, link, self.clock.now());
        }
    }

    async fn connect(&self, endpoint: SocketAddr) -> Option<Link> {
        // With its clock in other hands the node must reach nothing but a rehearsal's stand-ins.
        if self.clock.is_stepped() && !endpoint.ip().is_loopback() {
            return None;
        }
        if self.open.get() >= self.most {
            // Its task ends a moment later, for which the bound has some slack.
            self.idle.drop_oldest(|_| true);
        }
        if self.open.get() >= self.most + self.most / 8 {
            return None;
        }
        let opened = self.open.open();
        let limit = Duration::from_nanos(self.links.connect_timeout);
        let stream = self.clock.timeout(limit, TcpStream::connect(endpoint)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let heard = Heard::default();
        let tap = Tap::new(stream, heard.clone());
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD).max_headers(MAX_LINES);
        let (send, connection) = builder.handshake(TokioIo::new(tap)).await.ok()?;
        spawn(async move {
            let _opened = opened;
            if let Err(error) = connection.await {
                tracing::debug!(%endpoint, %error, "server connection failed");
            }
        });
        Some(Link { send, heard })
    }

    fn drop_stale(&self) {
        let most = self.links.idle / IDLE_PART;
        self.idle.retain(self.clock.now(), |_, link, idle| link.is_quiet() && idle < most);
    }
}

/// Reads an answer; also whether it was whole, so that its connection is of further use.
async fn read(response: Response<Incoming>) -> (Ending, bool) {
    let (head, body) = response.into_parts();
    // With neither a length nor chunks an answer ends with its connection, and one cut short looks whole.
    let framed = body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
    if !framed || body.size_hint().lower() > MAX_BODY as u64 || head.status.is_informational() {
        return (Ending::bare(Outcome::Spoilt), false);
    }
    let body = match Limited::new(body, MAX_BODY).collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return (Ending::bare(Outcome::Spoilt), false),
        Err(error) => {
            let cause = error.downcast_ref::<hyper::Error>();
            return (Ending::bare(cause.map_or(Outcome::Reset, broken)), false);
        }
    };
    let rejected = head.headers.get("x-rejected").is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full,
        StatusCode::OK => Outcome::Served,
        // What is wrong with the request is not the backend's fault, and says nothing of it.
        status if status.is_client_error() => Outcome::Spoilt,
        // Whatever the status says, the request may have run.
        _ => Outcome::Error,
    };
    (Ending { outcome, report: load_report(&head.headers), answer: Some(body) }, true)
}

/// What a broken answer was: a connection that ended, or one that brought what is no answer.
fn broken(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::Spoilt } else { Outcome::Reset }
}

/// A backend's figures of its load, under either of the names in use.
#[derive(Default, Deserialize)]
struct Figures {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

/// Reads the load report that an answer carries.
fn load_report(headers: &HeaderMap) -> Report {
    figures(headers.get("x-load-report").map(HeaderValue::as_bytes).unwrap_or_default())
}

/// Reads a load report. One that can't be read says nothing, and harms nothing.
fn figures(text: &[u8]) -> Report {
    let figures: Figures = serde_json::from_slice(text).unwrap_or_default();
    Report { util: figures.util, rate: figures.qps, in_flight: figures.inflight }
}

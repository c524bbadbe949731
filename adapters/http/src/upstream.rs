//! The backends' side: a bounded pool of connections, and single attempts over them. What happened to an
//! attempt becomes an [`Outcome`]; whether there is another is not decided here, and nothing is sent twice.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::{BackendId, LoadReport, Nanos, Outcome};
use badgerpost_settings::ConnectionSettings;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::task::yield_now;

use badgerpost_engine::{
    BackendAddress, Clock, ConnectionCounter, HealthCheckResult, IdleCheck, IdlePool, RequestEnd,
    TcpStream, Transport, activity, spawn,
};

use crate::answer::{BackendResponse, StreamingResponse};
use crate::connection_ages::ConnectionAges;
use crate::memory_budget::{BufferedBytes, BytesCollector, MemoryBudget};
use crate::observed_stream::{ObservedStream, ResponseActivity};
use crate::upload::OutgoingBody;
use crate::{Ending, Http, HttpEngine, Launch, MAX_BODY};

/// No answer's head is larger, nor has more lines.
const MAX_HEAD: usize = 16 * 1024;
const MAX_LINES: usize = 64;
/// A small answer of which nothing more comes for so long is spoilt: backends send it in one go, and the time is better
/// used for another attempt.
const GOES_ON_WITHIN: Duration = Duration::from_millis(100);
/// A large answer begins to be passed on with so much of it: one whose length is wrong has less to show, and is then
/// still to be had elsewhere.
const BEGINS_WITH: usize = 4 * 1024;
/// A connection rests this long after an answer. What comes behind one would pass for the next one's answer;
/// while it rests, it shows as not asked for, and the connection is dropped. So does a close.
const REST: Nanos = 10_000_000;
/// An idle connection is kept for this part of the backends' limit: one that is written to as its backend
/// closes it ends as a reset, and what was sent on it may have run.
const IDLE_PART: u64 = 2;
/// An answer that comes this long after its client's time leaves its connection fit for use: clients with
/// little time would cost a handshake each.
const SALVAGE: Duration = Duration::from_millis(400);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Where a backend tells its load, and how long an answer to that is waited for: one that comes later is older
/// than the next.
const LOAD_PATH: &str = "/stats";
const PROBE_WITHIN: Duration = Duration::from_millis(400);

type Place = (BackendId, SocketAddr);

/// A connection, and what is heard on it.
struct BackendConnection {
    send: SendRequest<OutgoingBody>,
    heard: ResponseActivity,
}

impl IdleCheck for BackendConnection {
    /// A close, or bytes that nobody asked for, ends the connection's task.
    fn is_idle(&mut self) -> bool {
        !self.send.is_closed()
    }
}

/// Connections to the backends.
pub struct Pool {
    idle: IdlePool<Place, BackendConnection>,
    /// Open connections, idle or not.
    open: ConnectionCounter,
    /// The most of these; it may change.
    most: Rc<Cell<usize>>,
    links: ConnectionSettings,
    clock: Clock,
    /// For answers that are held whole.
    bodies: MemoryBudget,
    aged: ConnectionAges,
}

/// Starts attempts over a pool.
pub struct HttpTransport(Rc<Pool>);

impl HttpTransport {
    /// At most `most` connections are open together.
    pub fn new(
        links: ConnectionSettings,
        clock: Clock,
        most: Rc<Cell<usize>>,
        bodies: MemoryBudget,
    ) -> Self {
        let (idle, open) = (IdlePool::default(), ConnectionCounter::default());
        Self(Rc::new(Pool {
            idle,
            open,
            most,
            links,
            clock,
            bodies,
            aged: ConnectionAges::default(),
        }))
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

impl Transport<Http> for HttpTransport {
    fn start_attempt(&self, node: &HttpEngine, launch: Launch) {
        let (pool, node) = (self.0.clone(), node.clone());
        spawn(async move { pool.run(node, launch).await });
    }

    fn check_health(&self, node: &HttpEngine, target: BackendAddress) {
        let (pool, node) = (self.0.clone(), node.clone());
        spawn(async move { pool.probe(node, (target.backend, target.address)).await });
    }

    fn close_idle_connections(&self, backend: BackendId) {
        self.0
            .idle
            .retain(self.0.clock.now(), |place, _, _| place.0 != backend);
    }
}

impl Pool {
    async fn run(self: Rc<Self>, node: HttpEngine, mut launch: Launch) {
        let written = Cell::new(false);
        let withdrawn = std::mem::replace(&mut launch.cancelled, tokio::sync::oneshot::channel().1);
        // Never written, it never ran: a refusal is still open to the module then.
        let call = launch.payload.clone();
        let unless_written = |outcome| {
            if written.get() && call.body.is_whole() {
                outcome
            } else {
                Outcome::NotSent
            }
        };
        let mut attempt = std::pin::pin!(self.attempt(&node, &launch, &written));
        let ending = tokio::select! {
            biased;
            _ = withdrawn => Ending::bare(unless_written(Outcome::Cancelled)),
            ending = &mut attempt => ending,
            () = self.given_up(&launch) => {
                Ending::bare(unless_written(Outcome::TimedOut))
            }
        };
        launch.payload.body.abandon();
        // With the client's time over no other attempt can follow this one, so it may come to its own end.
        let coming = launch.upload_deadline.is_some();
        let salvaged = ending.outcome == Outcome::TimedOut
            && launch.attempt_deadline >= launch.expires_at
            && !coming;
        node.attempt_ended(launch.attempt, ending);
        if salvaged && self.open.get() < self.most.get() / 4 * 3 {
            let _ = self.clock.timeout(SALVAGE, attempt).await;
        }
    }

    /// Waits until the attempt is no longer waited for; with its body still on the way that is not known yet.
    async fn given_up(&self, launch: &Launch) {
        let Some(mut deadline) = launch.upload_deadline.clone() else {
            return self.clock.sleep_until(launch.attempt_deadline).await;
        };
        loop {
            let at = *deadline.borrow_and_update();
            tokio::select! {
                biased;
                () = self.clock.sleep_until(at) => return,
                Ok(()) = deadline.changed() => {}
            }
        }
    }

    /// Asks a backend for its load report, over an idle connection if there is one. Where connections are scarce
    /// nothing is opened for it: requests need them more.
    async fn probe(self: Rc<Self>, node: HttpEngine, place: Place) {
        let began = self.clock.now();
        let asked = self
            .clock
            .timeout(PROBE_WITHIN, self.ask_load(&node, place))
            .await;
        let (outcome, report) = asked.unwrap_or((Outcome::TimedOut, LoadReport::default()));
        node.health_check_ended(HealthCheckResult {
            backend: place.0,
            outcome,
            elapsed: self.clock.now().saturating_sub(began),
            report,
        });
    }

    async fn ask_load(self: &Rc<Self>, node: &HttpEngine, place: Place) -> (Outcome, LoadReport) {
        let failed = |outcome| (outcome, LoadReport::default());
        let mut link = match self.take(place) {
            Some((link, _)) => link,
            None if self.open.get() >= self.most.get() / 4 * 3 => return failed(Outcome::NotSent),
            None => match self.connect(node, place.1).await {
                Some(link) => link,
                None => return failed(Outcome::ConnectFailed),
            },
        };
        let host = HeaderValue::from_str(&place.1.to_string());
        let (true, Ok(host)) = (node.is_in_service_at(place.0, place.1), host) else {
            return failed(Outcome::NotSent);
        };
        let mut message = Request::new(OutgoingBody::Buffered(Full::new(Bytes::new())));
        *message.uri_mut() = Uri::from_static(LOAD_PATH);
        message.headers_mut().insert(HOST, host);
        if link.send.ready().await.is_err() {
            return failed(Outcome::NotSent);
        }
        link.heard.listen(&mut message);
        match link.send.try_send_request(message).await {
            Ok(response) => {
                let ending = self.read(node, place, link, response).await;
                let told = match &ending.response {
                    Some(BackendResponse::Buffered(kept)) if ending.outcome == Outcome::Success => {
                        Some(figures(&kept.bytes))
                    }
                    _ => None,
                };
                (ending.outcome, told.unwrap_or(ending.report))
            }
            Err(error) => failed(broken(error.error())),
        }
    }

    async fn attempt(
        self: &Rc<Self>,
        node: &HttpEngine,
        launch: &Launch,
        written: &Cell<bool>,
    ) -> Ending {
        let place = (launch.backend, launch.address);
        loop {
            let (mut link, rest) = match self.take(place) {
                Some((link, rest)) => (link, Some(rest)),
                None => match self.connect(node, launch.address).await {
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
            if !node.may_write(launch.attempt) {
                self.keep(node, place, link);
                return Ending::bare(Outcome::NotSent);
            }
            let Some(mut message) = self.message(node, launch) else {
                return Ending::bare(Outcome::NotSent);
            };
            let heard = link.heard.clone();
            heard.listen(&mut message);
            heard.counts();
            written.set(true);
            let ending = tokio::select! {
                biased;
                ending = self.exchange(node, place, link, message) => ending,
                () = heard.stalled(&self.clock, GOES_ON_WITHIN) => return Ending::bare(Outcome::InvalidResponse),
            };
            match ending {
                // A client that breaks its request off is no fault of the backend's.
                Some(_) if launch.payload.body.is_broken() => {
                    return Ending::bare(Outcome::NotSent);
                }
                // What was never whole there never ran.
                Some(ending)
                    if ending.outcome == Outcome::Reset && !launch.payload.body.is_whole() =>
                {
                    return Ending::bare(Outcome::ConnectFailed);
                }
                Some(ending) => {
                    let reset = ending.outcome == Outcome::Reset && !heard.anything();
                    rest.into_iter()
                        .for_each(|rest| self.aged.used(rest, reset));
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
        self: &Rc<Self>,
        node: &HttpEngine,
        place: Place,
        mut link: BackendConnection,
        message: Request<OutgoingBody>,
    ) -> Option<Ending> {
        match link.send.try_send_request(message).await {
            Ok(response) => Some(self.read(node, place, link, response).await),
            Err(mut error) => match error.take_message() {
                Some(_) => None,
                None => Some(Ending::bare(broken(error.error()))),
            },
        }
    }

    /// Reads an answer: whole, and then its connection is of further use, or as far as it has to be to be passed on.
    #[expect(clippy::too_many_lines, reason = "to be split with the module")]
    async fn read(
        self: &Rc<Self>,
        node: &HttpEngine,
        place: Place,
        link: BackendConnection,
        response: Response<Incoming>,
    ) -> Ending {
        let (head, mut body) = response.into_parts();
        let length = body.size_hint().exact();
        if head.status.is_informational() {
            return Ending::bare(Outcome::InvalidResponse);
        }
        let outcome = outcome(&head);
        let report = load_report(&head.headers);
        let most = length.map_or(MAX_BODY as u64, |length| length.min(MAX_BODY as u64)) as usize;
        let held = self.bodies.take(most);
        let large = held.is_none() || length.is_some_and(|length| length > MAX_BODY as u64);
        let mut first = BytesCollector::default();
        loop {
            match body.frame().await {
                None if first.count() == 0 && ends_unannounced(&head, length) => {
                    return Ending::bare(Outcome::InvalidResponse);
                }
                None => break,
                Some(Err(error)) => return Ending::bare(broken(&error)),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    first.add(data);
                }
            }
            let enough = if large { BEGINS_WITH } else { MAX_BODY + 1 };
            // One with a length is whole with its last byte.
            if length == Some(first.count() as u64) || first.count() < enough {
                continue;
            }
            if outcome != Outcome::Success {
                // Nobody gets to see it, so that nothing waits for the rest.
                return Ending {
                    outcome,
                    report,
                    response: None,
                    is_streaming: false,
                };
            }
            let (pool, owner) = (self.clone(), node.clone());
            let ended = Box::new(move |end| match end {
                Some(RequestEnd::Served) => pool.keep(&owner, place, link),
                Some(_) => owner.response_aborted(place.0),
                None => {}
            });
            let first = BufferedBytes::new(first.into_bytes(), held);
            let begun = StreamingResponse {
                first,
                rest: body,
                left: length,
                ended,
            };
            return Ending {
                outcome,
                report,
                response: Some(BackendResponse::Streaming(begun)),
                is_streaming: true,
            };
        }
        self.keep(node, place, link);
        Ending {
            outcome,
            report,
            response: Some(BackendResponse::Buffered(BufferedBytes::new(
                first.into_bytes(),
                held,
            ))),
            is_streaming: false,
        }
    }

    fn message(&self, node: &HttpEngine, launch: &Launch) -> Option<Request<OutgoingBody>> {
        let call = &launch.payload;
        let left = launch
            .attempt_deadline
            .min(launch.expires_at)
            .saturating_sub(self.clock.now())
            / 1_000_000;
        // With its body still on the way, its client's time begins only with the last byte.
        let left = left.min(call.budget_ms);
        let mut message = Request::new(call.body.message(node, launch.attempt));
        *message.method_mut() = call.method.clone();
        *message.uri_mut() = call.target.clone();
        *message.headers_mut() = call.headers.clone();
        let headers = message.headers_mut();
        headers.insert("x-budget-ms", HeaderValue::from(left));
        if !headers.contains_key(HOST) {
            headers.insert(
                HOST,
                HeaderValue::from_str(&launch.address.to_string()).ok()?,
            );
        }
        Some(message)
    }

    /// An idle connection that has rested, and for how long; the one used last, so that those in excess grow
    /// old.
    fn take(&self, place: Place) -> Option<(BackendConnection, Nanos)> {
        let taken = self.idle.take(&place, self.clock.now(), REST)?;
        let (link, rest) = (taken.connection, taken.idle_time);
        (rest < self.links.idle_timeout / IDLE_PART && self.aged.is_fit(rest))
            .then_some((link, rest))
    }

    /// Keeps a connection for the next attempt, unless its backend has left or moved meanwhile.
    fn keep(&self, node: &HttpEngine, place: Place, mut link: BackendConnection) {
        if link.is_idle() && node.is_in_service_at(place.0, place.1) {
            self.idle.put(place, link, self.clock.now());
        }
    }

    async fn connect(&self, node: &HttpEngine, endpoint: SocketAddr) -> Option<BackendConnection> {
        // With its clock in other hands the node must reach nothing but a rehearsal's stand-ins.
        if self.clock.is_controlled() && !endpoint.ip().is_loopback() {
            return None;
        }
        if self.open.get() >= self.most.get() {
            // Its task ends a moment later, for which the bound has some slack.
            self.idle.drop_oldest(|_| true);
        }
        if self.open.get() >= self.most.get() + self.most.get() / 8 {
            return None;
        }
        let opened = self.open.open();
        let limit = Duration::from_nanos(self.links.connect_timeout);
        let stream = self
            .clock
            .timeout(limit, activity::connecting(TcpStream::connect(endpoint)))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let heard = ResponseActivity::new(node.metrics());
        let tap = ObservedStream::new(stream, heard.clone());
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD).max_headers(MAX_LINES);
        let (send, connection) = builder.handshake(TokioIo::new(tap)).await.ok()?;
        spawn(async move {
            let _opened = opened;
            if let Err(error) = connection.await {
                tracing::debug!(%endpoint, %error, "server connection failed");
            }
        });
        Some(BackendConnection { send, heard })
    }

    fn drop_stale(&self) {
        let most = self.links.idle_timeout / IDLE_PART;
        self.idle.retain(self.clock.now(), |_, link, idle| {
            link.is_idle() && idle < most
        });
    }
}

/// What an answer's head says of the attempt.
fn outcome(head: &Parts) -> Outcome {
    let rejected = head
        .headers
        .get("x-rejected")
        .is_some_and(|value| value == "1");
    match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => {
            Outcome::Rejected
        }
        StatusCode::OK => Outcome::Success,
        // What is wrong with the request is not the backend's fault, and says nothing of it.
        status if status.is_client_error() => Outcome::InvalidResponse,
        // Whatever the status says, the request may have run.
        _ => Outcome::Error,
    }
}

/// Whether an answer ends with its connection only (RFC 9112, section 6.3) and its server has not said that it closes
/// (section 9.6). The end of the connection is its end, a reset is none. Without a single byte of it, it is more likely
/// that of a server that ended before it had answered.
fn ends_unannounced(head: &Parts, length: Option<u64>) -> bool {
    let is_framed = length.is_some() || head.headers.contains_key(TRANSFER_ENCODING);
    let lines = head
        .headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|line| line.to_str().ok());
    let closes = lines
        .flat_map(|line| line.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"));
    !is_framed && !closes && head.version != Version::HTTP_10
}

/// What a broken answer was: a connection that ended, or one that brought what is no answer.
fn broken(error: &hyper::Error) -> Outcome {
    if error.is_parse() {
        Outcome::InvalidResponse
    } else {
        Outcome::Reset
    }
}

/// A backend's figures of its load, under either of the names in use.
#[derive(Default, Deserialize)]
struct ReportedLoad {
    #[serde(alias = "load_share")]
    util: Option<f64>,
    #[serde(alias = "tps")]
    qps: Option<f64>,
    #[serde(alias = "concurrent")]
    inflight: Option<f64>,
}

/// Reads the load report that an answer carries.
fn load_report(headers: &HeaderMap) -> LoadReport {
    figures(
        headers
            .get("x-load-report")
            .map(HeaderValue::as_bytes)
            .unwrap_or_default(),
    )
}

/// Reads a load report. One that can't be read says nothing, and harms nothing.
fn figures(text: &[u8]) -> LoadReport {
    let figures: ReportedLoad = serde_json::from_slice(text).unwrap_or_default();
    LoadReport {
        utilization: figures.util,
        requests_per_second: figures.qps,
        in_flight: figures.inflight,
    }
}

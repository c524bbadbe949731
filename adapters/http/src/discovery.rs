//! The list of backends: one watch on discovery, renewed at once and for ever.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use badgerpost_balancer::EndpointUpdate;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::watch;

use badgerpost_engine::{Clock, Engine, LogLimiter, Protocol, TcpStream, activity, spawn};

use crate::endpoint_list::{InvalidEntry, KnownEntries, List};
use crate::observed_stream::{NoopObserver, ObservedStream};
use crate::poll_schedule::{PollCall, PollKind, PollSchedule};

const PATH: &str = "/registry/instances";
const CONNECT: Duration = Duration::from_millis(500);
/// A list of thousands of backends fits.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("the call broke: {0}")]
    Broken(#[from] hyper::Error),
    #[error("the answer broke or was too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("not a list: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("no answer in time")]
    Late,
    #[error("the watch has fallen silent")]
    Silent,
    #[error("no such request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Follows the list.
pub struct EndpointWatcher<F: Protocol> {
    node: Engine<F>,
    at: SocketAddr,
    /// The version that is known; none where the whole list is to be asked for.
    rev: Option<u64>,
    entries: KnownEntries,
    link: Option<SendRequest<Empty<Bytes>>>,
    pace: PollSchedule,
}

impl<F: Protocol> EndpointWatcher<F> {
    /// A watch at `at` that goes on from `known`, which may be old. The seed drives how long its calls wait.
    pub fn new(node: Engine<F>, at: SocketAddr, known: Option<List>, seed: u64) -> Self {
        let pace = PollSchedule::new(node.polls_discovery(), seed);
        let mut watch = Self {
            node,
            at,
            rev: None,
            entries: KnownEntries::default(),
            link: None,
            pace,
        };
        if let Some(list) = known {
            watch.rev = Some(list.rev);
            let (_, listed, _) = watch.entries.take(list);
            watch
                .node
                .endpoints_updated(EndpointUpdate::Cached, &listed);
        }
        watch
    }

    /// Watches, at the address told last; never ends.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        let clock = self.node.clock().clone();
        let mut log = LogLimiter::new(clock.clone());
        loop {
            let answer = tokio::select! {
                biased;
                Ok(()) = address.changed() => None,
                answer = self.call() => Some(answer),
            };
            match answer {
                None => {
                    self.move_to(*address.borrow_and_update());
                    log = LogLimiter::new(clock.clone());
                }
                Some(Ok(list)) => {
                    self.pace.answered();
                    self.take(list, &mut log);
                }
                Some(Err(error)) => {
                    let at = self.at;
                    log.log(|suppressed| tracing::warn!(%at, %error, suppressed, "asking discovery failed"));
                    self.link = None;
                    if matches!(error, PollError::Silent) {
                        self.pace.silent();
                        continue;
                    }
                    let (wait, whole) = self.pace.failed();
                    self.rev = self.rev.filter(|_| !whole);
                    self.node.discovery_failed();
                    let moved = address.clone();
                    tokio::select! {
                        biased;
                        () = clock.sleep(wait) => {}
                        () = self.node.discovery_requested() => {}
                        () = told_anew(moved) => {}
                    }
                }
            }
        }
    }

    /// Goes on elsewhere. Versions count at one address only, so the whole list is asked for; what has been
    /// learned of the backends stays, as they keep their names.
    fn move_to(&mut self, at: SocketAddr) {
        (self.at, self.rev, self.link) = (at, None, None);
        self.pace.begin();
    }

    fn take(&mut self, list: List, log: &mut LogLimiter) {
        self.rev = Some(list.rev);
        let (scope, listed, odd) = self.entries.take(list);
        if scope == EndpointUpdate::Snapshot || !listed.is_empty() {
            self.node.endpoints_updated(scope, &listed);
        }
        for InvalidEntry { uid, error, .. } in odd {
            let at = self.at;
            log.log(|suppressed| {
                tracing::warn!(%at, server = uid, %error, suppressed, "an entry of the list can't be read");
            });
        }
    }

    async fn call(&mut self) -> Result<List, PollError> {
        let whole = self.node.take_snapshot_request();
        let rev = self.rev.filter(|_| !whole);
        let PollCall { want, most, beside } = self.pace.next(rev.is_none());
        let since = |hold: Duration| {
            format!(
                "{PATH}?from={}&hold_ms={}",
                rev.unwrap_or(0),
                hold.as_millis()
            )
        };
        let (target, late) = match want {
            PollKind::Snapshot => (PATH.to_owned(), PollError::Late),
            PollKind::Delta => (since(Duration::ZERO), PollError::Late),
            PollKind::Watch(hold) => (since(hold), PollError::Silent),
        };
        let clock = self.node.clock().clone();
        let first = self.first_answer(&target, beside);
        clock.timeout(most, first).await.unwrap_or(Err(late))
    }

    /// Makes one call, and the same again beside it as long as there is no answer; the first answer counts. Dropped with
    /// all that are under way.
    async fn first_answer(&mut self, target: &str, beside: Duration) -> Result<List, PollError> {
        let clock = self.node.clock().clone();
        let mut calls = Vec::new();
        loop {
            calls.push(Box::pin(ask(
                clock.clone(),
                self.at,
                self.link.take(),
                target.to_owned(),
            )));
            let answered = poll_fn(|cx| {
                let mut answers = calls.iter_mut().map(|call| call.as_mut().poll(cx));
                answers.find(Poll::is_ready).unwrap_or(Poll::Pending)
            });
            if let Ok(answer) = clock.timeout(beside, answered).await {
                let (list, link) = answer?;
                self.link = Some(link);
                return Ok(list);
            }
        }
    }
}

/// One call, over this connection or a new one, which is of further use with its answer.
async fn ask(
    clock: Clock,
    at: SocketAddr,
    link: Option<SendRequest<Empty<Bytes>>>,
    target: String,
) -> Result<(List, SendRequest<Empty<Bytes>>), PollError> {
    let mut link = match link.filter(|link| !link.is_closed()) {
        Some(link) => link,
        None => connect(&clock, at).await?,
    };
    link.ready().await?;
    let request = Request::get(target)
        .header(HOST, at.to_string())
        .body(Empty::new())?;
    let response = link.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_LIST)
        .collect()
        .await
        .map_err(PollError::Body)?;
    if status != StatusCode::OK {
        return Err(PollError::Status(status));
    }
    Ok((List::read(&body.to_bytes())?, link))
}

/// Waits for another address; the change stays to be seen.
async fn told_anew(mut address: watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn connect(clock: &Clock, at: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, PollError> {
    let stream = clock
        .timeout(CONNECT, activity::connecting(TcpStream::connect(at)))
        .await
        .map_err(|_| PollError::Late)??;
    stream.set_nodelay(true)?;
    let (link, connection) =
        handshake(TokioIo::new(ObservedStream::new(stream, NoopObserver))).await?;
    spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%at, %error, "connection to discovery failed");
        }
    });
    Ok(link)
}

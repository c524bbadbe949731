//! The list of backends: one watch on discovery, renewed at once and for ever.

use std::net::SocketAddr;
use std::time::Duration;

use brookfield::{ListScope, Stage};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::watch;

use badgerpost_engine::{Clock, Engine, Front, Listed, LogLimiter, progress, spawn};

use crate::tap::{Deaf, Tap};

const PATH: &str = "/registry/instances";
/// How long one watch may wait: short beside an agent on the node's own machine, where a call costs nothing
/// and one that has gone silent should be noticed; long where all nodes ask one service.
const HOLD_PUSHED: Duration = Duration::from_secs(5);
const HOLD_ASKED: Duration = Duration::from_secs(20);
/// An answer this long after the wait was over does not come any more.
const GRACE: Duration = Duration::from_secs(1);
/// First and last wait after a failure. Where discovery is asked the module calls for the next try itself,
/// and the wait is only there in case it does not.
const AGAIN_PUSHED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));
const AGAIN_ASKED: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(10));
const CONNECT: Duration = Duration::from_millis(500);
/// A list of thousands of backends fits.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// The list as discovery words it.
#[derive(Deserialize)]
pub struct List {
    rev: u64,
    all: bool,
    targets: Vec<Target>,
}

impl List {
    /// The servers on it, by name, and where they listen.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.targets.iter().map(|target| (target.uid.as_str(), target.endpoint))
    }
}

#[derive(Deserialize)]
struct Target {
    uid: String,
    endpoint: SocketAddr,
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u64,
    state: State,
    #[serde(default)]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

#[derive(Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
}

impl Target {
    fn listed(self) -> Listed {
        Listed {
            uid: self.uid,
            endpoint: self.endpoint,
            zone: self.az,
            kind: self.model,
            cell: self.pod_group,
            stage: match self.state {
                State::Ready => Stage::InService,
                State::Terminating => Stage::Draining,
                State::Gone => Stage::Gone,
            },
            size: self.capacity_hint,
            boot_ms: self.boot_ms,
        }
    }
}

/// Why a call to discovery brought no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
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
    #[error("no such request: {0}")]
    Request(#[from] hyper::http::Error),
}

/// Follows the list.
pub struct Watch<F: Front> {
    node: Engine<F>,
    at: SocketAddr,
    rev: Option<u64>,
    link: Option<SendRequest<Empty<Bytes>>>,
}

impl<F: Front> Watch<F> {
    /// A watch at `at` that goes on from `known`, which may be old.
    pub fn new(node: Engine<F>, at: SocketAddr, known: Option<List>) -> Self {
        let rev = known.as_ref().map(|list| list.rev);
        if let Some(list) = known {
            node.fleet(ListScope::Cached, list.targets.into_iter().map(Target::listed).collect());
        }
        Self { node, at, rev, link: None }
    }

    /// Watches, at the address told last; never ends.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        let asked = self.node.asks_discovery();
        let (hold, again) = if asked { (HOLD_ASKED, AGAIN_ASKED) } else { (HOLD_PUSHED, AGAIN_PUSHED) };
        let mut wait = again.0;
        let clock = self.node.clock().clone();
        let mut log = LogLimiter::new(clock.clone());
        loop {
            let answer = tokio::select! {
                biased;
                Ok(()) = address.changed() => None,
                answer = self.call(hold) => Some(answer),
            };
            match answer {
                None => {
                    self.move_to(*address.borrow_and_update());
                    (wait, log) = (again.0, LogLimiter::new(clock.clone()));
                }
                Some(Ok(list)) => {
                    wait = again.0;
                    self.take(list);
                }
                Some(Err(error)) => {
                    let at = self.at;
                    log.log(|suppressed| tracing::warn!(%at, %error, suppressed, "asking discovery failed"));
                    self.link = None;
                    self.node.fleet_failed();
                    let moved = address.clone();
                    tokio::select! {
                        biased;
                        () = clock.sleep(wait) => {}
                        () = self.node.discovery_wanted() => {}
                        () = told_anew(moved) => {}
                    }
                    wait = (wait * 2).min(again.1);
                }
            }
        }
    }

    /// Goes on elsewhere. Versions count at one address only, so the whole list is asked for; what has been
    /// learned of the backends stays, as they keep their names.
    fn move_to(&mut self, at: SocketAddr) {
        (self.at, self.rev, self.link) = (at, None, None);
    }

    fn take(&mut self, list: List) {
        self.rev = Some(list.rev);
        let scope = if list.all { ListScope::Full } else { ListScope::Changes };
        if list.all || !list.targets.is_empty() {
            self.node.fleet(scope, list.targets.into_iter().map(Target::listed).collect());
        }
    }

    async fn call(&mut self, hold: Duration) -> Result<List, CallError> {
        let whole = self.node.take_whole_list();
        let target = match self.rev.filter(|_| !whole) {
            Some(rev) => format!("{PATH}?from={rev}&hold_ms={}", hold.as_millis()),
            None => PATH.to_owned(),
        };
        let clock = self.node.clock().clone();
        clock.timeout(hold + GRACE, self.ask(&target)).await.map_err(|_| CallError::Late)?
    }

    async fn ask(&mut self, target: &str) -> Result<List, CallError> {
        let mut link = match self.link.take().filter(|link| !link.is_closed()) {
            Some(link) => link,
            None => connect(self.node.clock(), self.at).await?,
        };
        link.ready().await?;
        let request = Request::get(target).header(HOST, self.at.to_string()).body(Empty::new())?;
        let response = link.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_LIST).collect().await.map_err(CallError::Body)?;
        if status != StatusCode::OK {
            return Err(CallError::Status(status));
        }
        self.link = Some(link);
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}

/// Waits for another address; the change stays to be seen.
async fn told_anew(mut address: watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn connect(clock: &Clock, at: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, CallError> {
    let stream = clock
        .timeout(CONNECT, progress::connecting(TcpStream::connect(at)))
        .await
        .map_err(|_| CallError::Late)??;
    stream.set_nodelay(true)?;
    let (link, connection) = handshake(TokioIo::new(Tap::new(stream, Deaf))).await?;
    spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%at, %error, "connection to discovery failed");
        }
    });
    Ok(link)
}

//! The operators' listener: HTTP/1.1, one call to a connection. It runs on a thread and runtime of its own, reads what
//! is published and tells the life cycle, so that no call waits for the thread that serves.
//!
//! `GET /status` says whether this process can serve, `GET /status/metrics` gives the figures, `POST /standby` empties
//! the node, `POST /active` calls it back, `POST /zones/Z/close/SECONDS`, `/open/SECONDS` and `/auto` say what a zone
//! gets for a time.

mod lifecycle_handle;
mod zone_override;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt::Write;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use badgerpost_engine::{Metrics, TcpStream};
use badgerpost_lifecycle::Event;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::sync::{mpsc, oneshot};

pub use lifecycle_handle::{LifecycleHandle, PendingTimer};
pub use zone_override::ZoneOverrideCommand;

/// Connections together: some pollers and people. One more and the oldest goes: whoever finishes a call does so at
/// once, so the oldest is one who does not. Each holds a descriptor that the serving side does not have.
const MOST: usize = 16;
/// A call is over by then, whatever its caller does: callers wait for one second.
const WITHIN: Duration = Duration::from_secs(2);
/// Wait before the next accept after one failed.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// A call's head is a line or two.
const MAX_HEAD: usize = 8 * 1024;

/// Who is connected, by number, the longest first; dropping a line ends its connection.
type Callers = VecDeque<(u64, oneshot::Sender<()>)>;

/// What the console reads and tells.
pub struct AdminApi {
    /// The node's life cycle.
    pub life: LifecycleHandle,
    /// The figures.
    pub tally: Arc<Metrics>,
    /// Whether this process can serve.
    pub ready: Arc<AtomicBool>,
    /// Where orders about zones go.
    pub orders: mpsc::Sender<ZoneOverrideCommand>,
}

impl AdminApi {
    /// Serves on a thread of its own until the process ends.
    pub fn start(self, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let serve = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => self.serve(listener).await,
                    Err(error) => tracing::error!(%error, "the console can't listen"),
                }
            });
        };
        std::thread::Builder::new()
            .name("console".to_owned())
            .spawn(serve)?;
        Ok(())
    }

    async fn serve(self, listener: tokio::net::TcpListener) {
        let console = Rc::new(self);
        let callers: Rc<RefCell<Callers>> = Rc::default();
        let mut next = 0;
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => TcpStream::from(stream),
                Err(error) => {
                    tracing::warn!(%error, "accepting a console caller failed");
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                    continue;
                }
            };
            let number = next;
            next += 1;
            let (keep, dropped) = oneshot::channel();
            {
                let mut callers = callers.borrow_mut();
                if callers.len() >= MOST {
                    callers.pop_front();
                }
                callers.push_back((number, keep));
            }
            let (console, callers) = (console.clone(), callers.clone());
            tokio::task::spawn_local(async move {
                tokio::select! {
                    biased;
                    () = console.converse(stream) => {}
                    _ = dropped => {}
                    () = tokio::time::sleep(WITHIN) => {}
                }
                callers.borrow_mut().retain(|(known, _)| *known != number);
            });
        }
    }

    async fn converse(&self, stream: TcpStream) {
        let service = service_fn(async |request: Request<Incoming>| {
            Ok::<_, Infallible>(self.answer(&request))
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_HEAD);
        if let Err(error) = builder
            .serve_connection(TokioIo::new(stream), service)
            .await
        {
            tracing::debug!(%error, "console call failed");
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (method, path) = (request.method(), request.uri().path());
        let wanted = match path {
            "/status" | "/status/metrics" => Method::GET,
            "/standby" | "/active" => Method::POST,
            _ if path.starts_with("/zones/") => Method::POST,
            _ => return text(StatusCode::NOT_FOUND, "no such call\n".to_owned()),
        };
        if method != wanted {
            let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, format!("{wanted} only\n"));
            let allow = HeaderValue::from_str(wanted.as_str());
            allow
                .into_iter()
                .for_each(|allow| drop(answer.headers_mut().insert(ALLOW, allow)));
            return answer;
        }
        match path {
            "/status" if self.ready.load(Ordering::Relaxed) => {
                text(StatusCode::OK, "serving\n".to_owned())
            }
            "/status" => text(StatusCode::SERVICE_UNAVAILABLE, "not yet\n".to_owned()),
            "/status/metrics" => text(StatusCode::OK, figures(&self.tally)),
            "/standby" | "/active" => {
                let event = if path == "/standby" {
                    Event::Standby
                } else {
                    Event::Active
                };
                let step = self.life.tell(event);
                tracing::info!(call = path, stage = ?step.stage, granted = step.granted, "operators' call");
                let status = if step.granted {
                    StatusCode::OK
                } else {
                    StatusCode::CONFLICT
                };
                text(status, format!("{}\n", step.stage.as_str()))
            }
            _ => match zone_override::order(path, &self.tally) {
                None => text(
                    StatusCode::NOT_FOUND,
                    "no such zone or order, or no watch over zones\n".to_owned(),
                ),
                Some(order) => {
                    tracing::info!(call = path, "operators' call");
                    match self.orders.try_send(order) {
                        Ok(()) => text(StatusCode::OK, "taken\n".to_owned()),
                        Err(_) => text(
                            StatusCode::SERVICE_UNAVAILABLE,
                            "too many orders\n".to_owned(),
                        ),
                    }
                }
            },
        }
    }
}

/// The figures, a line each. Their names stand here and nowhere else.
fn figures(tally: &Metrics) -> String {
    let mut lines = String::new();
    let mut line = |name: &str, value: &dyn std::fmt::Display| {
        // Writing to a string can't fail.
        let _ = writeln!(lines, "node.{name}={value}");
    };
    for (class, counts) in tally.classes() {
        line(&format!("transactions.{class}.answered"), &counts.served);
        line(&format!("transactions.{class}.deferred"), &counts.rejected);
        line(&format!("transactions.{class}.errored"), &counts.failed);
    }
    line("sends", &tally.attempts_sent());
    line("current", &tally.requests_in_progress());
    let backends = tally.backend_counts();
    line("cluster_size", &backends.listed);
    line("cluster_unhealthy", &backends.avoided);
    for zone in tally.zones() {
        line(
            &format!("zone.{}.share", zone.name),
            &((zone.share * 1000.0).round() as u64),
        );
        line(&format!("zone.{}.why", zone.name), &zone.reason);
    }
    let peers = tally.peers_snapshot();
    if peers.members > 0 {
        line("peers.members", &peers.members);
        line("peers.bytes_in", &peers.received_bytes);
        line("peers.bytes_out", &peers.sent_bytes);
        line("peers.strangers", &peers.unauthenticated);
        line("peers.malformed", &peers.malformed);
    }
    lines
}

fn text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

//! The end of a node: the signals that ask for it, and the order in which its parts stop.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_admin::LifecycleHandle;
use badgerpost_balancer::Nanos;
use badgerpost_engine::{Clock, nanos};
use badgerpost_lifecycle::{Event, Stage};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::background_tasks::log_end;

/// The last response to what comes after the signal has left this long after the longest deadline, counted from the
/// signal: SIGKILL comes 0.7 s after it at the soonest, by the platform's protocol.
const LAST_RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// A longer deadline counts as this one there.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The longest that transactions in progress are waited for.
const TRANSACTION_END_TIMEOUT: Duration = Duration::from_secs(10);

/// The signals that ask a node to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Handles SIGTERM and SIGINT from now on.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    pub async fn received(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Ends a running node.
pub struct Shutdown {
    /// The node's clock.
    pub clock: Clock,
    /// Its lifecycle, which the HTTP server follows.
    pub lifecycle: LifecycleHandle,
    /// Set to true as the node stops, for parts that don't follow the lifecycle.
    pub stopping: watch::Sender<bool>,
    /// When the last response has to have left; none until the node stops.
    pub respond_by: Rc<Cell<Option<Nanos>>>,
    /// The longest that a client of any class waits.
    pub longest_deadline: Duration,
    /// The HTTP server.
    pub http_server: JoinHandle<()>,
    /// The PostgreSQL server, if there is one.
    pub postgres_server: Option<JoinHandle<()>>,
}

impl Shutdown {
    /// Stops accepting clients, and waits until requests and transactions in progress have ended or their time is over.
    pub async fn run(self) {
        // What comes until then is answered by then, also where no backend answers this node.
        let grace = self.longest_deadline.min(MAX_COUNTED_DEADLINE) + LAST_RESPONSE_GRACE;
        let respond_by = self.clock.now().saturating_add(nanos(grace));
        self.respond_by.set(Some(respond_by));
        self.lifecycle.handle(Event::Stop);
        self.stopping.send_replace(true);
        let mut stage = self.lifecycle.stage();
        let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
        // Every request taken has had its response by then; connections that are still open have none on them.
        let timeout = self.longest_deadline;
        wait_for_end(&self.clock, timeout, "HTTP server", self.http_server).await;
        if let Some(server) = self.postgres_server {
            // Transactions in progress end by their deadlines; a session that idles in one is ended then too.
            let timeout = TRANSACTION_END_TIMEOUT;
            wait_for_end(&self.clock, timeout, "PostgreSQL server", server).await;
        }
    }
}

/// Waits for a server's end, for `timeout` at most.
async fn wait_for_end(
    clock: &Clock,
    timeout: Duration,
    name: &'static str,
    server: JoinHandle<()>,
) {
    if let Ok(end) = clock.timeout(timeout, server).await {
        log_end(name, &end);
    }
}

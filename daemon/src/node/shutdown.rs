//! Shutdown of a node: the stop signals, and the order in which the node's parts stop.

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

/// Requests that arrive after the stop signal are answered within the longest deadline plus this time, counted from the
/// signal. The platform sends SIGKILL 0.7 s after that deadline at the earliest.
const LAST_RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Longer deadlines count as this value in the time limit for the last response.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum wait for PostgreSQL transactions in progress.
const TRANSACTION_END_TIMEOUT: Duration = Duration::from_secs(10);

/// The stop signals: SIGTERM and SIGINT.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers of SIGTERM and SIGINT.
    pub fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for either signal.
    pub async fn wait(&mut self) {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The parts of a running node that the shutdown stops or waits for.
pub struct Shutdown {
    /// The clock of all timeouts.
    pub clock: Clock,
    /// The node's lifecycle, which controls the HTTP server.
    pub lifecycle: LifecycleHandle,
    /// Set to true when the node stops, for the parts that the lifecycle does not control.
    pub stopping: watch::Sender<bool>,
    /// The time by which the last response must be sent. `None` until the node stops.
    pub respond_by: Rc<Cell<Option<Nanos>>>,
    /// The longest deadline of all request classes.
    pub longest_deadline: Duration,
    /// Task of the HTTP server.
    pub http_server: JoinHandle<()>,
    /// Task of the PostgreSQL server, if enabled.
    pub postgres_server: Option<JoinHandle<()>>,
}

impl Shutdown {
    /// Stops accepting clients, and waits until requests and transactions in progress have ended or timed out.
    pub async fn run(self) {
        // Requests that arrive before `respond_by` get a response by then, even if no backend responds.
        let grace = self.longest_deadline.min(MAX_COUNTED_DEADLINE) + LAST_RESPONSE_GRACE;
        let respond_by = self.clock.now().saturating_add(nanos(grace));
        self.respond_by.set(Some(respond_by));
        self.lifecycle.handle(Event::Stop);
        self.stopping.send_replace(true);
        let mut stage = self.lifecycle.stage();
        let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
        // All accepted requests have been answered; the remaining open connections have no request in progress.
        let timeout = self.longest_deadline;
        wait_for_end(&self.clock, timeout, "HTTP server", self.http_server).await;
        if let Some(server) = self.postgres_server {
            // Transactions in progress end by their deadlines; sessions that are idle in a transaction are closed then.
            let timeout = TRANSACTION_END_TIMEOUT;
            wait_for_end(&self.clock, timeout, "PostgreSQL server", server).await;
        }
    }
}

/// Waits until a server has ended, but no longer than `timeout`.
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

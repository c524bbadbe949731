//! Follows the endpoint list: polls discovery in a loop, and reports every update to the engine.

mod poll;

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use badgerpost_balancer::EndpointUpdate;
use tokio::sync::watch;

use badgerpost_engine::{Engine, LogLimiter, Protocol};

use crate::endpoint_list::{EndpointList, InvalidEntry, KnownEntries, MergedList};
use crate::poll_schedule::{PollCall, PollKind, PollSchedule};
use poll::{DiscoveryConnection, PollError, PollResponse, poll_once};

/// Path of the endpoint list on the discovery service.
const LIST_PATH: &str = "/registry/instances";

/// Follows the endpoint list of one fleet.
pub struct EndpointWatcher<P: Protocol> {
    engine: Engine<P>,
    address: SocketAddr,
    /// The version that was received last; `None` if the next call has to request a snapshot.
    version: Option<u64>,
    entries: KnownEntries,
    /// Kept open from the last successful call.
    connection: Option<DiscoveryConnection>,
    schedule: PollSchedule,
    log: LogLimiter,
}

impl<P: Protocol> EndpointWatcher<P> {
    /// Creates a watcher of the list at `address`. `cached` is a list to start from, which may be outdated. `seed`
    /// randomizes how long watches are held open.
    pub fn new(
        engine: Engine<P>,
        address: SocketAddr,
        cached: Option<EndpointList>,
        seed: u64,
    ) -> Self {
        let schedule = PollSchedule::new(engine.is_discovery_polled(), seed);
        let log = LogLimiter::new(engine.clock().clone());
        let mut watcher = Self {
            engine,
            address,
            version: None,
            entries: KnownEntries::default(),
            connection: None,
            schedule,
            log,
        };
        if let Some(list) = cached {
            watcher.version = Some(list.version);
            let merged = watcher.entries.merge(list);
            watcher
                .engine
                .endpoints_updated(EndpointUpdate::Cached, &merged.endpoints);
        }
        watcher
    }

    /// Follows the list at the latest address from the channel. Never returns.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let result = tokio::select! {
                biased;
                Ok(()) = address.changed() => None,
                result = self.poll() => Some(result),
            };
            match result {
                None => self.switch_address(*address.borrow_and_update()),
                Some(Ok(list)) => {
                    self.schedule.succeeded();
                    self.apply(list);
                }
                Some(Err(error)) => {
                    self.log_failure(&error);
                    self.connection = None;
                    if matches!(error, PollError::WatchTimedOut) {
                        self.schedule.watch_timed_out();
                    } else {
                        self.back_off(address.clone()).await;
                    }
                }
            }
        }
    }

    /// Switches to another address. The next call requests a snapshot, because versions of different addresses are not
    /// comparable. Known entries are kept, as backends keep their names.
    fn switch_address(&mut self, address: SocketAddr) {
        self.address = address;
        self.version = None;
        self.connection = None;
        self.schedule.reset();
        self.log = LogLimiter::new(self.engine.clock().clone());
    }

    /// Reports a list to the engine, and logs the invalid entries.
    fn apply(&mut self, list: EndpointList) {
        self.version = Some(list.version);
        let MergedList {
            update,
            endpoints,
            invalid,
        } = self.entries.merge(list);
        if update == EndpointUpdate::Snapshot || !endpoints.is_empty() {
            self.engine.endpoints_updated(update, &endpoints);
        }
        let at = self.address;
        for InvalidEntry { name, error, .. } in invalid {
            self.log.log(|suppressed| {
                tracing::warn!(%at, server = name, %error, suppressed, "an entry of the list can't be read");
            });
        }
    }

    fn log_failure(&mut self, error: &PollError) {
        let at = self.address;
        self.log
            .log(|suppressed| tracing::warn!(%at, %error, suppressed, "asking discovery failed"));
    }

    /// Waits after a failure, until the backoff has passed, the balancer requests an update or the address has changed.
    async fn back_off(&mut self, address: watch::Receiver<SocketAddr>) {
        let backoff = self.schedule.failed();
        if backoff.needs_snapshot {
            self.version = None;
        }
        self.engine.discovery_failed();
        tokio::select! {
            biased;
            () = self.engine.clock().sleep(backoff.delay) => {}
            () = self.engine.discovery_requested() => {}
            () = address_changed(address) => {}
        }
    }

    /// Makes the next call of the schedule.
    async fn poll(&mut self) -> Result<EndpointList, PollError> {
        let is_snapshot_requested = self.engine.take_snapshot_request();
        let version = self.version.filter(|_| !is_snapshot_requested);
        let PollCall {
            kind,
            timeout,
            hedge_delay,
        } = self.schedule.next_call(version.is_none());
        let timed_out = match kind {
            PollKind::Snapshot | PollKind::Delta => PollError::ResponseTimedOut,
            PollKind::Watch(_) => PollError::WatchTimedOut,
        };
        let clock = self.engine.clock().clone();
        let response = self.poll_hedged(request_target(kind, version), hedge_delay);
        clock
            .timeout(timeout, response)
            .await
            .unwrap_or(Err(timed_out))
    }

    /// Makes a hedged call: repeats the call while there is no response, and returns the first response. The other
    /// calls are dropped.
    async fn poll_hedged(
        &mut self,
        target: String,
        hedge_delay: Duration,
    ) -> Result<EndpointList, PollError> {
        let clock = self.engine.clock().clone();
        let mut calls = Vec::new();
        loop {
            calls.push(Box::pin(poll_once(
                clock.clone(),
                self.address,
                self.connection.take(),
                target.clone(),
            )));
            let first = poll_fn(|cx| {
                let mut polled = calls.iter_mut().map(|call| call.as_mut().poll(cx));
                polled.find(Poll::is_ready).unwrap_or(Poll::Pending)
            });
            if let Ok(result) = clock.timeout(hedge_delay, first).await {
                let PollResponse { list, connection } = result?;
                self.connection = Some(connection);
                return Ok(list);
            }
        }
    }
}

/// The request target of a call. `version` is the version that was received last.
fn request_target(kind: PollKind, version: Option<u64>) -> String {
    let hold = match kind {
        PollKind::Snapshot => return LIST_PATH.to_owned(),
        PollKind::Delta => Duration::ZERO,
        PollKind::Watch(hold) => hold,
    };
    let version = version.unwrap_or(0);
    format!("{LIST_PATH}?from={version}&hold_ms={}", hold.as_millis())
}

/// Resolves once another address has come through the channel. Takes a clone of the receiver, so that the caller's
/// receiver still reports the change.
async fn address_changed(mut address: watch::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

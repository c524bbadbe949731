//! The metrics of one engine. Any thread may read the metrics without synchronising with the thread that serves
//! requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use badgerpost_balancer::{ClassId, Outcome, ZoneId};

use crate::connection_limit::{ConnectionLimit, ConnectionLimitCounters};
use crate::request_end_reason::{RequestEndReason, RequestEndReasonCounters};

/// How a request ended from the client's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The client received a complete response.
    Served,
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
}

/// When the metrics count the end of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndCounting {
    /// When the outcome is sent.
    Immediate,
    /// When the streamed response has ended. Counted by the code that forwards the stream.
    AtEndOfStream,
}

/// The number of requests of a class that have ended, by kind of end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// The number of served requests.
    pub served: u64,
    /// The number of rejected requests.
    pub rejected: u64,
    /// The number of failed requests.
    pub failed: u64,
}

/// The atomic counters from which [`ClassCounts`] are read.
#[derive(Debug, Default)]
struct ClassCounters {
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl ClassCounters {
    fn count(&self, end: RequestEnd) {
        let counter = match end {
            RequestEnd::Served => &self.served,
            RequestEnd::Rejected => &self.rejected,
            RequestEnd::Failed => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn snapshot(&self) -> ClassCounts {
        ClassCounts {
            served: self.served.load(Ordering::Relaxed),
            rejected: self.rejected.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug)]
struct ClassEntry {
    name: String,
    counters: ClassCounters,
}

/// The current share of traffic of a monitored zone.
#[derive(Clone, Debug)]
pub struct ZoneMetrics {
    /// The zone's name.
    pub name: String,
    /// The zone's share, from 0 (no traffic) to 1 (the full share).
    pub share: f64,
    /// The identifier of the reason for the share.
    pub reason: &'static str,
}

/// Traffic between this node and its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMetrics {
    /// The number of live members, including this node; 0 if the node has no peers.
    pub members: u64,
    /// The number of bytes in received datagrams.
    pub received_bytes: u64,
    /// The number of bytes in sent datagrams.
    pub sent_bytes: u64,
    /// The number of datagrams dropped because the sender could not be authenticated.
    pub unauthenticated: u64,
    /// The number of datagrams dropped for any other reason.
    pub malformed: u64,
    /// The number of gossip items ignored because the limit of stored items was reached.
    pub ignored_items: u64,
}

/// The reason why a peer's datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramDropReason {
    /// The sender could not be authenticated.
    Unauthenticated,
    /// Any other reason.
    Malformed,
}

/// The numbers of listed and of avoided backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// The number of backends on the endpoint list.
    pub listed: u64,
    /// The number of listed backends that the balancer avoids.
    pub avoided: u64,
}

/// The metrics of one engine since the engine was created.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Indexed by zone id; empty if zone monitoring is off. Locked only while a value is read or changed.
    zones: Mutex<Vec<ZoneMetrics>>,
    /// Locked only while a value is read or changed.
    peers: Mutex<PeerMetrics>,
    /// Indexed by class id.
    classes: Vec<ClassEntry>,
    attempts_sent: AtomicU64,
    /// Indexed by outcome.
    attempts_ended: [AtomicU64; Outcome::ALL.len()],
    requests_unanswered: RequestEndReasonCounters,
    requests_in_progress: AtomicU64,
    backends_listed: AtomicU64,
    backends_avoided: AtomicU64,
    connections_closed: ConnectionLimitCounters,
}

impl Metrics {
    /// Creates metrics for these request classes. `class_names` is indexed by class id.
    pub fn new(class_names: Vec<String>) -> Self {
        let classes = class_names
            .into_iter()
            .map(|name| ClassEntry {
                name,
                counters: ClassCounters::default(),
            })
            .collect();
        Self {
            classes,
            ..Self::default()
        }
    }

    /// Adds the monitored zones, each with its full share of traffic. `zone_names` is indexed by zone id.
    pub(crate) fn start_zone_monitoring(&self, zone_names: Vec<String>) {
        let zones = zone_names.into_iter().map(|name| ZoneMetrics {
            name,
            share: 1.0,
            reason: "open",
        });
        *lock(&self.zones) = zones.collect();
    }

    pub(crate) fn set_zone_share(&self, zone: ZoneId, share: f64) {
        if let Some(metrics) = lock(&self.zones).get_mut(zone.0 as usize) {
            metrics.share = share;
        }
    }

    pub(crate) fn set_zone_reason(&self, zone: ZoneId, reason: &'static str) {
        if let Some(metrics) = lock(&self.zones).get_mut(zone.0 as usize) {
            metrics.reason = reason;
        }
    }

    /// The monitored zones, ordered by id.
    pub fn zones(&self) -> Vec<ZoneMetrics> {
        lock(&self.zones).clone()
    }

    /// Sets the number of live members, including this node.
    pub fn set_member_count(&self, members: u64) {
        lock(&self.peers).members = members;
    }

    /// Counts the bytes of a datagram received from a peer.
    pub fn peer_bytes_received(&self, bytes: u64) {
        lock(&self.peers).received_bytes += bytes;
    }

    /// Counts the bytes of a datagram sent to a peer.
    pub fn peer_bytes_sent(&self, bytes: u64) {
        lock(&self.peers).sent_bytes += bytes;
    }

    /// Sets the number of gossip items ignored so far because the limit of stored items was reached.
    pub fn set_ignored_items(&self, ignored_items: u64) {
        lock(&self.peers).ignored_items = ignored_items;
    }

    /// Counts a dropped datagram.
    pub fn datagram_dropped(&self, dropped: DatagramDropReason) {
        let mut peers = lock(&self.peers);
        match dropped {
            DatagramDropReason::Unauthenticated => peers.unauthenticated += 1,
            DatagramDropReason::Malformed => peers.malformed += 1,
        }
    }

    /// The metrics of the traffic between this node and its peers.
    pub fn peers_snapshot(&self) -> PeerMetrics {
        *lock(&self.peers)
    }

    /// Counts the start of a submitted request.
    pub fn request_started(&self) {
        self.requests_in_progress.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a submitted request. `end` is `None` if the client has disconnected.
    pub fn request_ended(&self, class: ClassId, end: Option<RequestEnd>) {
        self.requests_in_progress.fetch_sub(1, Ordering::Relaxed);
        if let Some(end) = end {
            self.count_request_end(class, end);
        }
    }

    /// Counts the end of a request by kind of end. Adapters call this only for requests that were never submitted.
    pub fn count_request_end(&self, class: ClassId, end: RequestEnd) {
        if let Some(entry) = self.classes.get(class.0 as usize) {
            entry.counters.count(end);
        }
    }

    /// The name of a request class.
    pub(crate) fn class_name(&self, class: ClassId) -> Option<&str> {
        let entry = self.classes.get(class.0 as usize)?;
        Some(&entry.name)
    }

    /// Counts an attempt whose request was written in full.
    pub fn attempt_sent(&self) {
        self.attempts_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that ended with this outcome.
    pub(crate) fn attempt_ended(&self, outcome: Outcome) {
        self.attempts_ended[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The number of attempts that ended with this outcome.
    pub fn attempts_ended(&self, outcome: Outcome) -> u64 {
        self.attempts_ended[outcome as usize].load(Ordering::Relaxed)
    }

    /// Counts a request that ended without a response.
    pub(crate) fn request_unanswered(&self, reason: RequestEndReason) {
        self.requests_unanswered.count(reason);
    }

    /// The number of requests that ended without a response for this reason.
    pub fn requests_unanswered(&self, reason: RequestEndReason) -> u64 {
        self.requests_unanswered.get(reason)
    }

    /// Counts a client connection that was closed because of a limit.
    pub fn connection_closed(&self, limit: ConnectionLimit) {
        self.connections_closed.count(limit);
    }

    /// The number of client connections that were closed because of this limit.
    pub fn connections_closed(&self, limit: ConnectionLimit) -> u64 {
        self.connections_closed.get(limit)
    }

    /// Sets the numbers of listed and of avoided backends.
    pub fn set_backend_counts(&self, counts: BackendCounts) {
        self.backends_listed.store(counts.listed, Ordering::Relaxed);
        self.backends_avoided
            .store(counts.avoided, Ordering::Relaxed);
    }

    /// The name and counts of each request class, ordered by class id.
    pub fn classes(&self) -> impl Iterator<Item = (&str, ClassCounts)> {
        self.classes
            .iter()
            .map(|entry| (entry.name.as_str(), entry.counters.snapshot()))
    }

    /// The number of attempts whose requests were written in full.
    pub fn attempts_sent(&self) -> u64 {
        self.attempts_sent.load(Ordering::Relaxed)
    }

    /// The number of submitted requests that have not ended.
    pub fn requests_in_progress(&self) -> u64 {
        self.requests_in_progress.load(Ordering::Relaxed)
    }

    /// The numbers of listed and of avoided backends.
    pub fn backend_counts(&self) -> BackendCounts {
        BackendCounts {
            listed: self.backends_listed.load(Ordering::Relaxed),
            avoided: self.backends_avoided.load(Ordering::Relaxed),
        }
    }
}

/// Locks a value and ignores lock poisoning. The value is valid even after a panic, because each change is a single
/// assignment.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The counters of one engine, which any thread may read while the engine works. Each is counted where the counted
//! event happens, so that a reader never has to ask the serving thread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use badgerpost_balancer::{ClassId, ZoneId};

use crate::connection_limit::{ConnectionLimit, ConnectionLimitCounters};

/// How a request has ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served, to the last byte.
    Served,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
}

/// When a request's end is counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndCounting {
    /// With its outcome.
    Immediate,
    /// By whoever forwards the rest of a streamed response, at its end.
    AtEndOfStream,
}

/// How many requests of a class have ended so far, by kind of end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

/// The counters behind [`ClassCounts`].
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

/// A request class and its counters.
#[derive(Debug)]
struct ClassEntry {
    name: String,
    counters: ClassCounters,
}

/// The share of traffic that a monitored zone gets now.
#[derive(Clone, Debug)]
pub struct ZoneMetrics {
    /// The zone's name.
    pub name: String,
    /// Its share, from 0 to 1.
    pub share: f64,
    /// The reason for it, as one identifier.
    pub reason: &'static str,
}

/// Traffic between this node and its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMetrics {
    /// Live members, this node included; 0 if the node has no peers.
    pub members: u64,
    /// Bytes of datagrams received.
    pub received_bytes: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams dropped because their sender did not authenticate.
    pub unauthenticated: u64,
    /// Datagrams dropped for any other reason.
    pub malformed: u64,
    /// Gossip items ignored because too many are stored.
    pub ignored_items: u64,
}

/// Why a peer's datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramDropReason {
    /// Its sender did not authenticate.
    Unauthenticated,
    /// Any other reason.
    Malformed,
}

/// The number of listed backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendCounts {
    /// Backends on the endpoint list.
    pub listed: u64,
    /// Those of them that the balancer avoids.
    pub avoided: u64,
}

/// The counters of one engine since its start.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Empty unless zones are monitored. Locked only while a value is read or changed.
    zones: Mutex<Vec<ZoneMetrics>>,
    /// Locked only while a value is read or changed.
    peers: Mutex<PeerMetrics>,
    /// By class id.
    classes: Vec<ClassEntry>,
    attempts_sent: AtomicU64,
    requests_in_progress: AtomicU64,
    backends_listed: AtomicU64,
    backends_avoided: AtomicU64,
    connections_closed: ConnectionLimitCounters,
}

impl Metrics {
    /// Counters for these classes, whose names are in the order of their ids.
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

    /// Adds the zones, by id, all with their full share of traffic.
    pub(crate) fn start_zone_monitoring(&self, zone_names: Vec<String>) {
        let zones = zone_names.into_iter().map(|name| ZoneMetrics {
            name,
            share: 1.0,
            reason: "open",
        });
        *lock(&self.zones) = zones.collect();
    }

    /// Changes the share of a zone.
    pub(crate) fn set_zone_share(&self, zone: ZoneId, share: f64) {
        if let Some(metrics) = lock(&self.zones).get_mut(zone.0 as usize) {
            metrics.share = share;
        }
    }

    /// Changes the reason for a zone's share.
    pub(crate) fn set_zone_reason(&self, zone: ZoneId, reason: &'static str) {
        if let Some(metrics) = lock(&self.zones).get_mut(zone.0 as usize) {
            metrics.reason = reason;
        }
    }

    /// The monitored zones, by id.
    pub fn zones(&self) -> Vec<ZoneMetrics> {
        lock(&self.zones).clone()
    }

    /// Sets the number of live members.
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

    /// Sets the number of gossip items that were ignored.
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

    /// The traffic between this node and its peers.
    pub fn peers_snapshot(&self) -> PeerMetrics {
        *lock(&self.peers)
    }

    /// Counts a request that an engine has taken.
    pub fn request_started(&self) {
        self.requests_in_progress.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request that an engine had taken. Without an `end` its client has disconnected.
    pub fn request_ended(&self, class: ClassId, end: Option<RequestEnd>) {
        self.requests_in_progress.fetch_sub(1, Ordering::Relaxed);
        if let Some(end) = end {
            self.count_request_end(class, end);
        }
    }

    /// Counts a response to a request that no engine had taken.
    pub fn count_request_end(&self, class: ClassId, end: RequestEnd) {
        if let Some(entry) = self.classes.get(class.0 as usize) {
            entry.counters.count(end);
        }
    }

    /// Counts an attempt that was written to the last byte.
    pub fn attempt_sent(&self) {
        self.attempts_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a client connection that a limit has closed.
    pub fn connection_closed(&self, limit: ConnectionLimit) {
        self.connections_closed.count(limit);
    }

    /// Client connections that this limit has closed.
    pub fn connections_closed(&self, limit: ConnectionLimit) -> u64 {
        self.connections_closed.get(limit)
    }

    /// Sets the number of listed backends.
    pub fn set_backend_counts(&self, counts: BackendCounts) {
        self.backends_listed.store(counts.listed, Ordering::Relaxed);
        self.backends_avoided
            .store(counts.avoided, Ordering::Relaxed);
    }

    /// The classes' names and counts, by class id.
    pub fn classes(&self) -> impl Iterator<Item = (&str, ClassCounts)> {
        self.classes
            .iter()
            .map(|entry| (entry.name.as_str(), entry.counters.snapshot()))
    }

    /// Attempts written to the last byte.
    pub fn attempts_sent(&self) -> u64 {
        self.attempts_sent.load(Ordering::Relaxed)
    }

    /// Requests taken that have not ended.
    pub fn requests_in_progress(&self) -> u64 {
        self.requests_in_progress.load(Ordering::Relaxed)
    }

    /// The number of listed backends.
    pub fn backend_counts(&self) -> BackendCounts {
        BackendCounts {
            listed: self.backends_listed.load(Ordering::Relaxed),
            avoided: self.backends_avoided.load(Ordering::Relaxed),
        }
    }
}

/// Locks a value. A thread that panicked with the lock held leaves it usable: each change is a single assignment.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

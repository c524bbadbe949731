//! What an engine counts for its operators, readable from any thread while the engine works: each number is counted
//! where the thing happens, so that nobody has to ask the serving thread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// How requests of a class have ended.
#[derive(Debug, Default)]
struct Ends {
    answered: AtomicU64,
    deferred: AtomicU64,
    errored: AtomicU64,
}

/// How a request has ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served, to the last byte.
    Served,
    /// Refused.
    Rejected,
    /// Failed.
    Failed,
}

/// The ends of a class's requests so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

/// What a zone gets now.
#[derive(Clone, Debug)]
pub struct ZoneMetrics {
    /// Its name.
    pub name: String,
    /// Its share, from 0 to 1.
    pub share: f64,
    /// Why, in one word.
    pub reason: &'static str,
}

/// What goes between a node and the others of its fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMetrics {
    /// Members that are there, this one included; 0 where the node has no peers.
    pub members: u64,
    /// Bytes of datagrams taken.
    pub received_bytes: u64,
    /// Bytes of datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams of strangers, dropped.
    pub unauthenticated: u64,
    /// Others that were dropped.
    pub malformed: u64,
}

/// The counts of one engine since its start.
#[derive(Debug)]
pub struct Metrics {
    /// Empty where no watch over the zones is on. Locked for a moment by whoever changes or reads a figure.
    zones: Mutex<Vec<ZoneMetrics>>,
    /// See [`PeerMetrics`]; locked like the zones'.
    peers: Mutex<PeerMetrics>,
    classes: Vec<(String, Ends)>,
    sends: AtomicU64,
    current: AtomicU64,
    listed: AtomicU64,
    avoided: AtomicU64,
}

impl Metrics {
    /// Counts for these classes, by their numbers.
    pub fn new(classes: Vec<String>) -> Self {
        let classes = classes
            .into_iter()
            .map(|name| (name, Ends::default()))
            .collect();
        let zero = AtomicU64::default;
        Self {
            zones: Mutex::default(),
            peers: Mutex::default(),
            classes,
            sends: zero(),
            current: zero(),
            listed: zero(),
            avoided: zero(),
        }
    }

    /// The zones are watched from now on.
    pub(crate) fn watch_zones(&self, names: Vec<String>) {
        let open = |name| ZoneMetrics {
            name,
            share: 1.0,
            reason: "open",
        };
        *self.zones.lock().unwrap_or_else(PoisonError::into_inner) =
            names.into_iter().map(open).collect();
    }

    /// Changes a zone's figure.
    pub(crate) fn zone(&self, zone: u32, change: impl FnOnce(&mut ZoneMetrics)) {
        let mut zones = self.zones.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(figure) = zones.get_mut(zone as usize) {
            change(figure);
        }
    }

    /// The zones' figures.
    pub fn zones(&self) -> Vec<ZoneMetrics> {
        self.zones
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn in_peers<T>(&self, change: impl FnOnce(&mut PeerMetrics) -> T) -> T {
        change(&mut self.peers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// So many members are there.
    pub fn set_peers(&self, members: u64) {
        self.in_peers(|peers| peers.members = members);
    }

    /// A datagram of so many bytes was taken, or sent.
    pub fn add_peer_bytes(&self, received: u64, sent: u64) {
        self.in_peers(|peers| {
            (peers.received_bytes, peers.sent_bytes) =
                (peers.received_bytes + received, peers.sent_bytes + sent)
        });
    }

    /// A datagram was dropped.
    pub fn datagram_dropped(&self, stranger: bool) {
        self.in_peers(|peers| {
            if stranger {
                peers.unauthenticated += 1
            } else {
                peers.malformed += 1
            }
        });
    }

    /// What goes between the nodes.
    pub fn peers_snapshot(&self) -> PeerMetrics {
        self.in_peers(|peers| *peers)
    }

    /// A request has been taken.
    pub fn request_started(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// A request that was taken has ended; with no `end` its client has gone.
    pub fn request_ended(&self, class: u32, end: Option<RequestEnd>) {
        self.current.fetch_sub(1, Ordering::Relaxed);
        end.into_iter()
            .for_each(|end| self.request_answered(class, end));
    }

    /// A request was answered without having been taken.
    pub fn request_answered(&self, class: u32, end: RequestEnd) {
        let Some((_, ends)) = self.classes.get(class as usize) else {
            return;
        };
        let count = match end {
            RequestEnd::Served => &ends.answered,
            RequestEnd::Rejected => &ends.deferred,
            RequestEnd::Failed => &ends.errored,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// An attempt has been written whole.
    pub fn attempt_sent(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// So many servers are on the list, and so many of them are avoided now.
    pub fn set_servers(&self, listed: u64, avoided: u64) {
        self.listed.store(listed, Ordering::Relaxed);
        self.avoided.store(avoided, Ordering::Relaxed);
    }

    /// The classes' counts, by name.
    pub fn classes(&self) -> impl Iterator<Item = (&str, ClassCounts)> {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        self.classes.iter().map(move |(name, ends)| {
            let (answered, deferred, errored) = (
                read(&ends.answered),
                read(&ends.deferred),
                read(&ends.errored),
            );
            (
                name.as_str(),
                ClassCounts {
                    served: answered,
                    rejected: deferred,
                    failed: errored,
                },
            )
        })
    }

    /// Attempts written whole.
    pub fn attempts_sent(&self) -> u64 {
        self.sends.load(Ordering::Relaxed)
    }

    /// Requests taken and not ended.
    pub fn requests_in_progress(&self) -> u64 {
        self.current.load(Ordering::Relaxed)
    }

    /// Servers on the list, and those of them that are avoided.
    pub fn servers_snapshot(&self) -> (u64, u64) {
        (
            self.listed.load(Ordering::Relaxed),
            self.avoided.load(Ordering::Relaxed),
        )
    }
}

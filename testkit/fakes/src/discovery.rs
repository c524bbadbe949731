//! Model of the platform's discovery service: an endpoint list with revisions, watches on the list, and failure modes.
//! The model does no I/O; the response to a watch is a [`WatchResponse`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_time::{MILLISECOND, Nanos};
use serde::{Deserialize, Serialize};

/// The revision of the empty lists that [`Mode::Empty`] returns; no other list has this revision.
const EMPTY_REVISION: u64 = u64::MAX >> 1;
const MAX_WATCH_TIMEOUT_MS: u64 = 60_000;

/// An endpoint's state; the names are those of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum State {
    /// The server accepts requests.
    Ready,
    /// Draining: the server completes its current requests and gets no new ones.
    Terminating,
    /// Removed; occurs only in updates.
    Gone,
}

/// An entry of the endpoint list, with the field names of the wire format.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The server's name, unique in the list.
    pub uid: String,
    /// The address at which the server listens.
    pub endpoint: SocketAddr,
    /// The name of the server's zone.
    pub az: String,
    /// The kind of machine that the server runs on.
    pub model: String,
    /// The number of the cell that the server belongs to.
    pub pod_group: u64,
    /// Whether the server accepts requests, drains or is removed.
    pub state: State,
    /// The server's capacity relative to other servers.
    pub capacity_hint: f64,
    /// When the server last started, as Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// The failure mode of the service; the names are those of scenario files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// The service works.
    #[default]
    Good,
    /// The service accepts requests and does not respond.
    Silent,
    /// The service reports no changes made after the mode was set.
    Stale,
    /// The service returns empty lists.
    Empty,
    /// The service responds with invalid lists.
    Malformed,
    /// The service responds with status 503.
    Failing,
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// Respond with this endpoint list, or with malformed bytes in [`Mode::Malformed`].
    Body(String),
    /// Respond later: after a change, or when the watch times out.
    Pending,
    /// Never respond.
    Unanswered,
    /// Respond with status 503.
    Unavailable,
}

#[derive(Serialize)]
struct ListBody<'a> {
    rev: u64,
    all: bool,
    targets: Vec<&'a Entry>,
}

#[derive(Clone, Debug)]
struct RevisedEntry {
    /// The revision of the list in which the entry last changed.
    revision: u64,
    entry: Entry,
}

#[derive(Clone, Debug, Default)]
struct EndpointList {
    revision: u64,
    entries: BTreeMap<String, RevisedEntry>,
}

/// A discovery service with one endpoint list.
#[derive(Debug, Default)]
pub struct Discovery {
    current: EndpointList,
    /// A copy of the list from the start of [`Mode::Stale`]; `None` in other modes.
    stale: Option<EndpointList>,
    mode: Mode,
}

impl Discovery {
    /// Sets the failure mode.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        self.stale = (mode == Mode::Stale).then(|| self.current.clone());
    }

    /// Adds an entry or replaces the entry of the same server, under the next revision.
    pub fn set(&mut self, entry: Entry) {
        self.current.revision += 1;
        let revision = self.current.revision;
        let uid = entry.uid.clone();
        let entries = &mut self.current.entries;
        entries.insert(uid, RevisedEntry { revision, entry });
    }

    /// Sets the state of one server; has no effect if the list has no entry for the server.
    pub fn set_state(&mut self, uid: &str, state: State) {
        if let Some(RevisedEntry { entry, .. }) = self.current.entries.get(uid) {
            self.set(Entry {
                state,
                ..entry.clone()
            });
        }
    }

    /// The list that clients get.
    fn visible(&self) -> &EndpointList {
        self.stale.as_ref().unwrap_or(&self.current)
    }

    /// The entries of servers that are not removed, as clients get them.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.visible()
            .entries
            .values()
            .map(|revised| &revised.entry)
            .filter(|entry| entry.state != State::Gone)
    }

    /// The response to a watch: the complete list, or the changes since the revision `from`. `timeout` is the remaining
    /// time for which the response may wait for a change.
    pub fn watch(&self, from: Option<u64>, timeout: Nanos) -> WatchResponse {
        match self.mode {
            Mode::Silent => return WatchResponse::Unanswered,
            Mode::Failing => return WatchResponse::Unavailable,
            Mode::Malformed => return WatchResponse::Body("{\"rev\":1,\"all\":tr".to_owned()),
            // A client that has the empty list waits as usual, and gets the complete list once the mode ends.
            Mode::Empty if from == Some(EMPTY_REVISION) && timeout > 0 => {
                return WatchResponse::Pending;
            }
            Mode::Empty => return list_response(EMPTY_REVISION, true, Vec::new()),
            Mode::Good | Mode::Stale => {}
        }
        let list = self.visible();
        match from.filter(|from| *from <= list.revision) {
            Some(from) if from == list.revision && timeout > 0 => WatchResponse::Pending,
            Some(from) => {
                let changed = list.entries.values().filter(|entry| entry.revision > from);
                let changed = changed.map(|revised| &revised.entry).collect();
                list_response(list.revision, false, changed)
            }
            None => list_response(list.revision, true, self.entries().collect()),
        }
    }
}

fn list_response(rev: u64, all: bool, targets: Vec<&Entry>) -> WatchResponse {
    // Serialization of numbers and strings does not fail.
    let body = serde_json::to_string(&ListBody { rev, all, targets }).unwrap_or_default();
    WatchResponse::Body(body)
}

/// A request for the endpoint list or its changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The revision that the client has; `None` requests the complete list.
    pub from: Option<u64>,
    /// How long the response may wait for a change, in nanoseconds; at most a minute.
    pub timeout: Nanos,
}

impl WatchRequest {
    /// Parses the target of an HTTP request; `None` if its path is not that of the endpoint list.
    pub fn parse(target: &str) -> Option<Self> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .filter(|(key, _)| *key == name)
                .find_map(|(_, value)| value.parse::<u64>().ok())
        };
        let timeout_ms = parameter("hold_ms").unwrap_or(0);
        (path == "/registry/instances").then(|| Self {
            from: parameter("from"),
            timeout: timeout_ms.min(MAX_WATCH_TIMEOUT_MS) * MILLISECOND,
        })
    }
}

#[cfg(test)]
mod tests;

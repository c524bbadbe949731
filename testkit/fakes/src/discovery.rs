//! Model of the platform's discovery service: an endpoint list with revisions, watches on it, and ways to fail. It does no
//! I/O; the response to a watch is a [`WatchResponse`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_time::{MILLISECOND, Nanos};
use serde::{Deserialize, Serialize};

/// The revision of the lists that an empty registry returns; no list ever has it otherwise.
const EMPTY_REVISION: u64 = u64::MAX >> 1;
const MAX_WATCH_TIMEOUT_MS: u64 = 60_000;

/// An endpoint's state, in the wire's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum State {
    /// Takes requests.
    Ready,
    /// Draining: finishes the requests that it has.
    Terminating,
    /// Has left the list; stands in updates only.
    Gone,
}

/// An entry of the endpoint list, with the wire's field names.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// The server's name.
    pub uid: String,
    /// The address at which it listens.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: String,
    /// Its machine kind.
    pub model: String,
    /// Its cell.
    pub pod_group: u64,
    /// Its state.
    pub state: State,
    /// Its capacity relative to other servers.
    pub capacity_hint: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

/// How the service behaves; the names are those of scenario files.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// It works.
    #[default]
    Good,
    /// It accepts calls and does not respond.
    Silent,
    /// It reports no further changes.
    Stale,
    /// Its lists are empty.
    Empty,
    /// Its responses are not valid lists.
    Malformed,
    /// It responds with status 503.
    Failing,
}

/// The response to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// A response with this body.
    Body(String),
    /// A response later: after a change, or when the watch times out.
    Pending,
    /// No response at all.
    Unanswered,
    /// A response with status 503.
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
    /// The revision in which the entry last changed.
    revision: u64,
    entry: Entry,
}

#[derive(Clone, Debug, Default)]
struct EndpointList {
    revision: u64,
    entries: BTreeMap<String, RevisedEntry>,
}

/// The discovery service.
#[derive(Debug, Default)]
pub struct Discovery {
    current: EndpointList,
    /// The list as it was when the service became stale.
    stale: Option<EndpointList>,
    mode: Mode,
}

impl Discovery {
    /// Changes how the service behaves.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        self.stale = (mode == Mode::Stale).then(|| self.current.clone());
    }

    /// Adds an entry, or replaces the one of the same server.
    pub fn set(&mut self, entry: Entry) {
        self.current.revision += 1;
        let revision = self.current.revision;
        let uid = entry.uid.clone();
        let entries = &mut self.current.entries;
        entries.insert(uid, RevisedEntry { revision, entry });
    }

    /// Changes one server's state.
    pub fn set_state(&mut self, uid: &str, state: State) {
        if let Some(RevisedEntry { entry, .. }) = self.current.entries.get(uid) {
            self.set(Entry {
                state,
                ..entry.clone()
            });
        }
    }

    /// The list that clients see.
    fn visible(&self) -> &EndpointList {
        self.stale.as_ref().unwrap_or(&self.current)
    }

    /// The entries of servers that have not left.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.visible()
            .entries
            .values()
            .map(|revised| &revised.entry)
            .filter(|entry| entry.state != State::Gone)
    }

    /// Responds to a watch: with the whole list, or with what has changed since a revision. `timeout` is the time for
    /// which the watch may still wait.
    pub fn watch(&self, from: Option<u64>, timeout: Nanos) -> WatchResponse {
        match self.mode {
            Mode::Silent => return WatchResponse::Unanswered,
            Mode::Failing => return WatchResponse::Unavailable,
            Mode::Malformed => return WatchResponse::Body("{\"rev\":1,\"all\":tr".to_owned()),
            // A client that watches from the empty list waits as usual, and gets the whole list once the mode ends.
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

/// A request for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The revision that the client has; none for the whole list.
    pub from: Option<u64>,
    /// How long the response may wait for a change.
    pub timeout: Nanos,
}

impl WatchRequest {
    /// Parses the target of an HTTP request; none where it is not for the endpoint list.
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

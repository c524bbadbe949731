//! The list of backends as discovery words it, and what a node makes of an entry that can't be read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_balancer::{EndpointState, EndpointUpdate};
use serde::Deserialize;
use serde_json::Value;

use badgerpost_engine::DiscoveredEndpoint;

/// The list as discovery words it.
#[derive(Deserialize)]
pub struct List {
    pub(crate) rev: u64,
    pub(crate) all: bool,
    targets: Vec<Target>,
    /// Entries that can't be read.
    #[serde(skip)]
    odd: Vec<InvalidEntry>,
}

/// The same, with its entries still unread.
#[derive(Deserialize)]
struct Unread {
    rev: u64,
    all: bool,
    targets: Vec<Value>,
}

/// An entry that can't be read as a whole.
#[derive(Debug)]
pub(crate) struct InvalidEntry {
    /// Whom it names, if that can be read.
    pub(crate) uid: Option<String>,
    /// What state it gives, if that can be read.
    state: Option<State>,
    /// What is wrong with it.
    pub(crate) error: serde_json::Error,
}

#[derive(Clone, Deserialize)]
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

#[derive(Clone, Copy, Debug, Deserialize)]
enum State {
    Ready,
    Terminating,
    Gone,
    /// A state that this version does not know: nothing new goes to a server of which it is not certain that it is
    /// ready.
    #[serde(other)]
    Unknown,
}

impl List {
    /// Reads an answer. One odd entry does not take the others with it; where nothing makes sense it is no list.
    pub(crate) fn read(text: &[u8]) -> Result<Self, serde_json::Error> {
        let error = match serde_json::from_slice(text) {
            Ok(list) => return Ok(list),
            Err(error) => error,
        };
        let Ok(Unread {
            rev,
            all,
            targets: unread,
        }) = serde_json::from_slice(text)
        else {
            return Err(error);
        };
        let (mut targets, mut odd) = (Vec::new(), Vec::new());
        for entry in unread {
            match Target::deserialize(&entry) {
                Ok(target) => targets.push(target),
                Err(problem) => odd.push(InvalidEntry {
                    uid: entry["uid"].as_str().map(str::to_owned),
                    state: State::deserialize(&entry["state"]).ok(),
                    error: problem,
                }),
            }
        }
        if targets.is_empty() {
            Err(error)
        } else {
            Ok(Self {
                rev,
                all,
                targets,
                odd,
            })
        }
    }

    /// The servers on it, by name, and where they listen.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.targets
            .iter()
            .map(|target| (target.uid.as_str(), target.endpoint))
    }
}

impl Target {
    fn listed(self) -> DiscoveredEndpoint {
        DiscoveredEndpoint {
            name: self.uid,
            address: self.endpoint,
            zone: self.az,
            machine_kind: self.model,
            cell: self.pod_group,
            state: match self.state {
                State::Ready => EndpointState::InService,
                State::Terminating | State::Unknown => EndpointState::Draining,
                State::Gone => EndpointState::Removed,
            },
            size: self.capacity_hint,
            started_at_ms: self.boot_ms,
        }
    }
}

/// The entries as they could last be read, which an odd one is made good with. Bounded by the list.
#[derive(Default)]
pub(crate) struct KnownEntries(BTreeMap<String, Target>);

impl KnownEntries {
    /// Takes a list in; what of it concerns the engine comes back, and the entries that could not be read. A server
    /// with such an entry stays as it was, but for a state that could be read: a drain must not be missed for an
    /// address that nobody needs any more.
    pub(crate) fn take(
        &mut self,
        list: List,
    ) -> (EndpointUpdate, Vec<DiscoveredEndpoint>, Vec<InvalidEntry>) {
        let List {
            all,
            mut targets,
            odd,
            ..
        } = list;
        for entry in &odd {
            let known = entry.uid.as_ref().and_then(|uid| self.0.get(uid));
            targets.extend(known.map(|known| Target {
                state: entry.state.unwrap_or(known.state),
                ..known.clone()
            }));
        }
        if all {
            self.0.clear();
        }
        for target in &targets {
            match target.state {
                State::Gone => self.0.remove(&target.uid),
                _ => self.0.insert(target.uid.clone(), target.clone()),
            };
        }
        let scope = if all {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        (
            scope,
            targets.into_iter().map(Target::listed).collect(),
            odd,
        )
    }
}

#[cfg(test)]
mod tests;

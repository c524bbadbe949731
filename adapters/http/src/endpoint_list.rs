//! The endpoint list as discovery words it, and what a node makes of an entry that can't be read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_balancer::{EndpointState, EndpointUpdate};
use serde::Deserialize;
use serde_json::Value;

use badgerpost_engine::DiscoveredEndpoint;

/// A list of endpoints, or of changes to one.
#[derive(Deserialize)]
pub struct EndpointList {
    #[serde(rename = "rev")]
    pub(crate) version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    entries: Vec<Entry>,
    #[serde(skip)]
    invalid: Vec<InvalidEntry>,
}

/// The same, with entries that are not parsed yet.
#[derive(Deserialize)]
struct RawList {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    entries: Vec<Value>,
}

/// An entry that can't be read as a whole.
#[derive(Debug)]
pub(crate) struct InvalidEntry {
    /// The backend's name, if that can be read.
    pub(crate) name: Option<String>,
    /// Its state, if that can be read.
    state: Option<ListedState>,
    /// What is wrong with the entry.
    pub(crate) error: serde_json::Error,
}

/// One backend on the list.
#[derive(Clone, Deserialize)]
struct Entry {
    #[serde(rename = "uid")]
    name: String,
    #[serde(rename = "endpoint")]
    address: SocketAddr,
    #[serde(rename = "az")]
    zone: String,
    #[serde(rename = "model", default)]
    machine_kind: String,
    #[serde(rename = "pod_group", default)]
    cell: u64,
    state: ListedState,
    #[serde(rename = "capacity_hint", default)]
    size: f64,
    #[serde(rename = "boot_ms", default)]
    started_at_ms: u64,
}

/// A backend's state, by its name on the wire.
#[derive(Clone, Copy, Debug, Deserialize)]
enum ListedState {
    #[serde(rename = "Ready")]
    InService,
    #[serde(rename = "Terminating")]
    Draining,
    #[serde(rename = "Gone")]
    Removed,
    /// A state that this version does not know.
    #[serde(other)]
    Unknown,
}

impl From<ListedState> for EndpointState {
    fn from(state: ListedState) -> Self {
        match state {
            ListedState::InService => Self::InService,
            // Nothing new goes to a backend of which it is not certain that it is in service.
            ListedState::Draining | ListedState::Unknown => Self::Draining,
            ListedState::Removed => Self::Removed,
        }
    }
}

impl EndpointList {
    /// Parses a list. Invalid entries do not invalidate the others; a list in which no entry is valid is an error.
    pub(crate) fn parse(text: &[u8]) -> Result<Self, serde_json::Error> {
        let error = match serde_json::from_slice(text) {
            Ok(list) => return Ok(list),
            Err(error) => error,
        };
        let Ok(raw) = serde_json::from_slice::<RawList>(text) else {
            return Err(error);
        };
        let (mut entries, mut invalid) = (Vec::new(), Vec::new());
        for value in raw.entries {
            match Entry::deserialize(&value) {
                Ok(entry) => entries.push(entry),
                Err(error) => invalid.push(InvalidEntry::new(&value, error)),
            }
        }
        if entries.is_empty() {
            return Err(error);
        }
        Ok(Self {
            version: raw.version,
            is_snapshot: raw.is_snapshot,
            entries,
            invalid,
        })
    }

    /// The backends on the list, by name, and where they listen.
    pub fn endpoints(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.entries
            .iter()
            .map(|entry| (entry.name.as_str(), entry.address))
    }
}

impl InvalidEntry {
    fn new(value: &Value, error: serde_json::Error) -> Self {
        Self {
            name: value["uid"].as_str().map(str::to_owned),
            state: ListedState::deserialize(&value["state"]).ok(),
            error,
        }
    }
}

impl From<Entry> for DiscoveredEndpoint {
    fn from(entry: Entry) -> Self {
        Self {
            name: entry.name,
            address: entry.address,
            zone: entry.zone,
            machine_kind: entry.machine_kind,
            cell: entry.cell,
            state: entry.state.into(),
            size: entry.size,
            started_at_ms: entry.started_at_ms,
        }
    }
}

/// The entries as they could last be read. Bounded by the list, as removed backends are removed here.
#[derive(Default)]
pub(crate) struct KnownEntries(BTreeMap<String, Entry>);

/// What a list tells the engine.
pub(crate) struct MergedList {
    pub(crate) update: EndpointUpdate,
    pub(crate) endpoints: Vec<DiscoveredEndpoint>,
    pub(crate) invalid: Vec<InvalidEntry>,
}

impl KnownEntries {
    /// Merges a list into the known entries. A backend with an invalid entry stays as it was, except for a state that
    /// could be read: a drain must not be missed for an address that nobody needs any more.
    pub(crate) fn merge(&mut self, list: EndpointList) -> MergedList {
        let EndpointList {
            is_snapshot,
            mut entries,
            invalid,
            ..
        } = list;
        entries.extend(invalid.iter().filter_map(|entry| self.repaired(entry)));
        if is_snapshot {
            self.0.clear();
        }
        for entry in &entries {
            match entry.state {
                ListedState::Removed => self.0.remove(&entry.name),
                _ => self.0.insert(entry.name.clone(), entry.clone()),
            };
        }
        MergedList {
            update: if is_snapshot {
                EndpointUpdate::Snapshot
            } else {
                EndpointUpdate::Delta
            },
            endpoints: entries.into_iter().map(DiscoveredEndpoint::from).collect(),
            invalid,
        }
    }

    /// An invalid entry, with what is known of its backend in place of what can't be read.
    fn repaired(&self, invalid: &InvalidEntry) -> Option<Entry> {
        let known = self.0.get(invalid.name.as_ref()?)?;
        Some(Entry {
            state: invalid.state.unwrap_or(known.state),
            ..known.clone()
        })
    }
}

#[cfg(test)]
mod tests;

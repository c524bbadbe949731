//! The wire format of the endpoint list, and the handling of invalid entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use badgerpost_balancer::{EndpointState, EndpointUpdate};
use serde::Deserialize;
use serde_json::Value;

use badgerpost_engine::DiscoveredEndpoint;

/// An endpoint list, or a list of changes.
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

/// An [`EndpointList`] whose entries are not parsed yet.
#[derive(Deserialize)]
struct RawList {
    #[serde(rename = "rev")]
    version: u64,
    #[serde(rename = "all")]
    is_snapshot: bool,
    #[serde(rename = "targets")]
    entries: Vec<Value>,
}

/// An entry with at least one invalid field.
#[derive(Debug)]
pub(crate) struct InvalidEntry {
    /// The backend's name, if that field is valid.
    pub(crate) name: Option<String>,
    /// The backend's state, if that field is valid.
    state: Option<ListedState>,
    /// Why the entry is invalid.
    pub(crate) error: serde_json::Error,
}

/// An entry of the list: one backend.
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

/// A backend's state, with the names used on the wire.
#[derive(Clone, Copy, Debug, Deserialize)]
enum ListedState {
    #[serde(rename = "Ready")]
    InService,
    #[serde(rename = "Terminating")]
    Draining,
    #[serde(rename = "Gone")]
    Removed,
    /// A state that this version does not support.
    #[serde(other)]
    Unknown,
}

impl From<ListedState> for EndpointState {
    fn from(state: ListedState) -> Self {
        match state {
            ListedState::InService => Self::InService,
            // A backend in an unknown state gets no new requests.
            ListedState::Draining | ListedState::Unknown => Self::Draining,
            ListedState::Removed => Self::Removed,
        }
    }
}

impl EndpointList {
    /// Parses a list. Valid entries are kept if others are invalid; a list that has only invalid entries is an error.
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

    /// The names and addresses of the backends on the list.
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

/// The latest valid entry of each backend that has not been removed.
#[derive(Default)]
pub(crate) struct KnownEntries(BTreeMap<String, Entry>);

/// A list after the merge with the known entries, ready for the engine.
pub(crate) struct MergedList {
    pub(crate) update: EndpointUpdate,
    pub(crate) endpoints: Vec<DiscoveredEndpoint>,
    pub(crate) invalid: Vec<InvalidEntry>,
}

impl KnownEntries {
    /// Merges a list into the known entries. A backend with an invalid entry keeps its known values, except for a valid
    /// state: a drain must be applied even if the address of the entry is invalid.
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

    /// The invalid entry with known values in place of the invalid fields; `None` if the backend is unknown.
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

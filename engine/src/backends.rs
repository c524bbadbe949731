//! The table of a fleet's backends: maps names to ids, and ids to addresses and drain states.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, Endpoint, EndpointState, EndpointUpdate, Nanos};
use badgerpost_settings::{NameTable, name_hash};

use crate::start_times::{ListTime, StartTimes};

/// One entry of the endpoint list that service discovery delivers.
pub struct DiscoveredEndpoint {
    /// The backend's name, unique in the fleet.
    pub name: String,
    /// The address that the backend listens on.
    pub address: SocketAddr,
    /// The name of the backend's zone.
    pub zone: String,
    /// The name of the backend's machine kind.
    pub machine_kind: String,
    /// The number of the backend's cell.
    pub cell: u64,
    /// Whether the backend is in service, draining or removed.
    pub state: EndpointState,
    /// The backend's capacity relative to the other backends.
    pub size: f64,
    /// The backend's last start in milliseconds of Unix time; 0 if the backend started long ago.
    pub started_at_ms: u64,
}

/// The process of a backend, numbered from 0 in the order in which the endpoint list told of them: a backend that restarts
/// or moves has a new process under the same name, and often at the same address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(u32);

/// A backend, its address and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendAddress {
    /// The backend's id.
    pub backend: BackendId,
    /// The address that the backend listens on.
    pub address: SocketAddr,
    /// The backend's process.
    pub incarnation: Incarnation,
}

/// The table entry of a listed backend.
pub(crate) struct BackendEntry {
    /// The backend's name, for logs.
    pub(crate) name: Rc<str>,
    /// The name of the backend's zone, for logs.
    pub(crate) zone: Rc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    started_at_ms: u64,
    /// Whether the backend is draining or removed.
    pub(crate) is_draining: bool,
}

impl BackendEntry {
    fn is_in_service(&self) -> bool {
        !self.is_draining
    }

    /// Whether the backend has moved or restarted, so that existing connections to the backend are unusable.
    fn is_replaced_by(&self, endpoint: &DiscoveredEndpoint) -> bool {
        self.address != endpoint.address || self.started_at_ms != endpoint.started_at_ms
    }
}

/// The result of updating a backend's entry.
pub(crate) struct UpdatedBackend {
    /// The endpoint, converted for the balancer.
    pub(crate) endpoint: Endpoint,
    /// Whether idle connections to the backend are to be closed.
    pub(crate) close_idle_connections: bool,
}

/// All backends of a fleet. The service discovery client limits the length of the endpoint list, and thereby the number
/// of entries.
pub(crate) struct Backends {
    /// An ordered map, so that the engine behaves deterministically.
    ids: BTreeMap<String, BackendId>,
    entries: HashMap<BackendId, BackendEntry>,
    next_id: u32,
    starts: StartTimes,
}

impl Backends {
    pub(crate) fn new(slow_start_duration: Nanos) -> Self {
        Self {
            ids: BTreeMap::new(),
            entries: HashMap::new(),
            next_id: 0,
            starts: StartTimes::new(slow_start_duration),
        }
    }

    /// Updates the start time estimates for a received list. Must be called before [`update`](Self::update) is called
    /// for the entries of the list.
    pub(crate) fn list_received(&mut self, at: ListTime, endpoints: &[DiscoveredEndpoint]) {
        let entries = endpoints
            .iter()
            .map(|endpoint| (endpoint.name.as_str(), endpoint.started_at_ms));
        self.starts.list_received(at, entries);
        let ids = &self.ids;
        self.starts.prune(|name| ids.contains_key(name));
    }

    pub(crate) fn get(&self, id: BackendId) -> Option<&BackendEntry> {
        self.entries.get(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn has_any_in_service(&self) -> bool {
        self.entries.values().any(BackendEntry::is_in_service)
    }

    /// The backends in service, ordered by id.
    pub(crate) fn in_service(&self) -> Vec<BackendAddress> {
        let mut addresses: Vec<BackendAddress> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_in_service())
            .map(|(id, entry)| BackendAddress {
                backend: *id,
                address: entry.address,
                incarnation: entry.incarnation,
            })
            .collect();
        addresses.sort();
        addresses
    }

    /// The names of the backends that an update removes: those that the update lists as removed and, unless the update
    /// is a delta, those that are missing from the update.
    pub(crate) fn names_removed_by(
        &self,
        update: EndpointUpdate,
        endpoints: &[DiscoveredEndpoint],
    ) -> Vec<String> {
        let mut removed: Vec<String> = Vec::new();
        if update != EndpointUpdate::Delta {
            let listed: HashSet<&str> = endpoints
                .iter()
                .map(|endpoint| endpoint.name.as_str())
                .collect();
            let unlisted = self
                .ids
                .keys()
                .filter(|name| !listed.contains(name.as_str()));
            removed.extend(unlisted.cloned());
        }
        let listed_as_removed = endpoints
            .iter()
            .filter(|endpoint| endpoint.state == EndpointState::Removed);
        removed.extend(listed_as_removed.map(|endpoint| endpoint.name.clone()));
        removed
    }

    /// Removes a backend. A backend that is listed later under the same name gets a new id.
    pub(crate) fn remove(&mut self, name: &str) -> Option<BackendId> {
        let id = self.ids.remove(name)?;
        self.entries.remove(&id);
        Some(id)
    }

    /// Adds or updates the entry of an endpoint. Returns `None` for a removed endpoint that has no entry.
    pub(crate) fn update(
        &mut self,
        endpoint: &DiscoveredEndpoint,
        names: &mut NameTable,
        at: ListTime,
    ) -> Option<UpdatedBackend> {
        let id = self.id_for(endpoint)?;
        let started_at = self
            .starts
            .started_at(&endpoint.name, endpoint.started_at_ms, at);
        let is_draining = endpoint.state != EndpointState::InService;
        let previous = self.entries.get(&id);
        let is_replaced = previous.is_some_and(|entry| entry.is_replaced_by(endpoint));
        let incarnation = previous.map_or(Incarnation::default(), |entry| {
            Incarnation(entry.incarnation.0.wrapping_add(u32::from(is_replaced)))
        });
        let entry = BackendEntry {
            name: endpoint.name.as_str().into(),
            zone: endpoint.zone.as_str().into(),
            address: endpoint.address,
            incarnation,
            started_at_ms: endpoint.started_at_ms,
            is_draining,
        };
        self.entries.insert(id, entry);
        Some(UpdatedBackend {
            endpoint: balancer_endpoint(id, endpoint, started_at, names),
            close_idle_connections: is_draining || is_replaced,
        })
    }

    /// Returns the id of an endpoint's name, and allocates an id for a new name unless the endpoint is removed.
    fn id_for(&mut self, endpoint: &DiscoveredEndpoint) -> Option<BackendId> {
        if let Some(&id) = self.ids.get(&endpoint.name) {
            return Some(id);
        }
        if endpoint.state == EndpointState::Removed {
            return None;
        }
        let id = BackendId(self.next_id);
        self.next_id += 1;
        self.ids.insert(endpoint.name.clone(), id);
        Some(id)
    }

    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.ids.is_empty() && self.entries.is_empty()
    }
}

/// Converts a discovered endpoint for the balancer.
fn balancer_endpoint(
    id: BackendId,
    endpoint: &DiscoveredEndpoint,
    started_at: Option<Nanos>,
    names: &mut NameTable,
) -> Endpoint {
    Endpoint {
        backend: id,
        zone: names.zone(&endpoint.zone),
        machine_kind: names.kind(&endpoint.machine_kind),
        cell: endpoint.cell,
        name_hash: name_hash(&endpoint.name),
        state: endpoint.state,
        size: endpoint.size,
        started_at,
    }
}

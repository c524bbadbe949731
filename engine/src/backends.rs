//! The backends of a fleet: which name has which id, where each listens, and whether it is draining.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, Endpoint, EndpointState, EndpointUpdate, Nanos};
use badgerpost_settings::{NameTable, name_hash};

use crate::start_times::{ListTime, StartTimes};

/// One entry of the endpoint list that service discovery delivers.
pub struct DiscoveredEndpoint {
    /// The backend's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it is in service, draining or removed.
    pub state: EndpointState,
    /// Its capacity, relative to the other backends.
    pub size: f64,
    /// When it last started, in Unix time; 0 if that was long ago.
    pub started_at_ms: u64,
}

/// A backend and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BackendAddress {
    /// The backend.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// What the engine knows of a listed backend.
pub(crate) struct BackendEntry {
    /// Its name, for logs.
    pub(crate) name: Rc<str>,
    /// The name of its zone, for logs.
    pub(crate) zone: Rc<str>,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    started_at_ms: u64,
    /// Whether the backend is no longer in service.
    pub(crate) is_draining: bool,
}

impl BackendEntry {
    fn is_in_service(&self) -> bool {
        !self.is_draining
    }

    /// Whether connections to the backend that were opened under this entry lead nowhere under the new one.
    fn is_replaced_by(&self, endpoint: &DiscoveredEndpoint) -> bool {
        self.address != endpoint.address || self.started_at_ms != endpoint.started_at_ms
    }
}

/// A backend table entry after an endpoint update.
pub(crate) struct UpdatedBackend {
    /// The endpoint in the balancer's terms.
    pub(crate) endpoint: Endpoint,
    /// Whether idle connections to the backend are of no more use.
    pub(crate) close_idle_connections: bool,
}

/// All backends of a fleet. Bounded by the endpoint list, which service discovery bounds.
pub(crate) struct Backends {
    /// Ordered, so that equal histories produce equal behaviour.
    ids: BTreeMap<String, BackendId>,
    entries: HashMap<BackendId, BackendEntry>,
    next_id: u32,
    starts: StartTimes,
}

impl Backends {
    /// No backends yet.
    pub(crate) fn new(slow_start_duration: Nanos) -> Self {
        Self {
            ids: BTreeMap::new(),
            entries: HashMap::new(),
            next_id: 0,
            starts: StartTimes::new(slow_start_duration),
        }
    }

    /// Prepares for the entries of a list.
    pub(crate) fn list_received(&mut self, at: ListTime, endpoints: &[DiscoveredEndpoint]) {
        let entries = endpoints
            .iter()
            .map(|endpoint| (endpoint.name.as_str(), endpoint.started_at_ms));
        self.starts.list_received(at, entries);
        let ids = &self.ids;
        self.starts.prune(|name| ids.contains_key(name));
    }

    /// The entry of a listed backend.
    pub(crate) fn get(&self, id: BackendId) -> Option<&BackendEntry> {
        self.entries.get(&id)
    }

    /// The number of listed backends.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether any backend is in service.
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
            })
            .collect();
        addresses.sort();
        addresses
    }

    /// The names that an update removes: those that it lists as removed, and, unless it is a delta, those that it does
    /// not list.
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

    /// Removes a backend. One that appears later under the same name gets a new id.
    pub(crate) fn remove(&mut self, name: &str) -> Option<BackendId> {
        let id = self.ids.remove(name)?;
        self.entries.remove(&id);
        Some(id)
    }

    /// Adds or updates the entry of one endpoint. Returns nothing for an endpoint that is removed and was never known.
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
        let entry = BackendEntry {
            name: endpoint.name.as_str().into(),
            zone: endpoint.zone.as_str().into(),
            address: endpoint.address,
            started_at_ms: endpoint.started_at_ms,
            is_draining,
        };
        self.entries.insert(id, entry);
        Some(UpdatedBackend {
            endpoint: balancer_endpoint(id, endpoint, started_at, names),
            close_idle_connections: is_draining || is_replaced,
        })
    }

    /// The id of an endpoint's name. A new name gets a new id, unless the endpoint is removed.
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

    /// Whether neither a name nor an entry is left.
    #[cfg(test)]
    pub(crate) fn is_empty(&self) -> bool {
        self.ids.is_empty() && self.entries.is_empty()
    }
}

/// A discovered endpoint in the balancer's terms.
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

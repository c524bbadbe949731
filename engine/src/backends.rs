//! The servers on the fleet's list: which name has which number, where each listens, and since when it drains.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, Endpoint, EndpointState, EndpointUpdate, Nanos};
use badgerpost_settings::{NameTable, name_hash};

use crate::protocol::DiscoveredEndpoint;

/// A server on the list.
pub(crate) struct BackendEntry {
    /// Its name on the list, and its zone's, for logs.
    pub(crate) uid: Rc<str>,
    pub(crate) zone: Rc<str>,
    /// Where it listens.
    pub(crate) endpoint: SocketAddr,
    boot_ms: u64,
    /// When the node was told that it drains.
    pub(crate) draining_since: Option<Nanos>,
}

/// All servers of a fleet. Bounded by the list, which its source bounds.
#[derive(Default)]
pub(crate) struct Backends {
    /// Ordered, so that equal histories act alike.
    ids: BTreeMap<String, BackendId>,
    known: HashMap<BackendId, BackendEntry>,
    next: u32,
}

impl Backends {
    /// A server by its number.
    pub(crate) fn get(&self, id: BackendId) -> Option<&BackendEntry> {
        self.known.get(&id)
    }

    /// How many are on the list.
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether any is in service.
    pub(crate) fn any_in_service(&self) -> bool {
        self.known
            .values()
            .any(|known| known.draining_since.is_none())
    }

    /// All that are in service, by number.
    pub(crate) fn in_service(&self) -> Vec<(BackendId, SocketAddr)> {
        let serving = self
            .known
            .iter()
            .filter(|(_, known)| known.draining_since.is_none());
        let mut all: Vec<_> = serving.map(|(id, known)| (*id, known.endpoint)).collect();
        all.sort();
        all
    }

    /// The names that a list takes away: those it says are gone, and on a whole list those it does not name.
    pub(crate) fn leaving(
        &self,
        scope: EndpointUpdate,
        list: &[DiscoveredEndpoint],
    ) -> Vec<String> {
        let mut left: Vec<String> = Vec::new();
        if scope != EndpointUpdate::Delta {
            let named: HashSet<&str> = list.iter().map(|listed| listed.name.as_str()).collect();
            left.extend(
                self.ids
                    .keys()
                    .filter(|uid| !named.contains(uid.as_str()))
                    .cloned(),
            );
        }
        left.extend(
            list.iter()
                .filter(|listed| listed.state == EndpointState::Removed)
                .map(|listed| listed.name.clone()),
        );
        left
    }

    /// Forgets a name. Under it a server may come again: as a new one, since its number is not kept.
    pub(crate) fn forget(&mut self, uid: &str) -> Option<BackendId> {
        let id = self.ids.remove(uid)?;
        self.known.remove(&id);
        Some(id)
    }

    /// Takes in one line of a list, in the module's words; none of a server that is gone and was never known. Whose
    /// idle connections are of no more use is added to `retired`.
    pub(crate) fn member(
        &mut self,
        listed: DiscoveredEndpoint,
        words: &mut NameTable,
        now: Nanos,
        retired: &mut Vec<BackendId>,
    ) -> Option<Endpoint> {
        let gone = listed.state == EndpointState::Removed;
        let id = match self.ids.get(&listed.name) {
            Some(&id) => id,
            None if gone => return None,
            None => {
                let id = BackendId(self.next);
                self.next += 1;
                self.ids.insert(listed.name.clone(), id);
                id
            }
        };
        let draining = listed.state != EndpointState::InService;
        let before = self.known.get(&id);
        let draining_since = draining.then(|| before.and_then(|b| b.draining_since).unwrap_or(now));
        let moved =
            |b: &BackendEntry| b.endpoint != listed.address || b.boot_ms != listed.started_at_ms;
        if draining || before.is_some_and(moved) {
            retired.push(id);
        }
        let (uid, zone) = (listed.name.as_str().into(), listed.zone.as_str().into());
        let known = BackendEntry {
            uid,
            zone,
            endpoint: listed.address,
            boot_ms: listed.started_at_ms,
            draining_since,
        };
        self.known.insert(id, known);
        Some(Endpoint {
            backend: id,
            zone: words.zone(&listed.zone),
            machine_kind: words.kind(&listed.machine_kind),
            cell: listed.cell,
            name_hash: name_hash(&listed.name),
            state: listed.state,
            size: listed.size,
            started_at: (listed.started_at_ms > 0)
                .then(|| listed.started_at_ms.saturating_mul(1_000_000)),
        })
    }

    /// How many names and how many servers are known; the same unless something was left behind.
    #[cfg(test)]
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.ids.len(), self.known.len())
    }
}

//! The servers on the fleet's list: which name has which number, where each listens, and since when it drains.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use badgerpost_balancer::{BackendId, ListScope, Member, Nanos, Stage};
use badgerpost_settings::{Words, name_tag};

use crate::front::Listed;

/// A server on the list.
pub(crate) struct Known {
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
    known: HashMap<BackendId, Known>,
    next: u32,
}

impl Backends {
    /// A server by its number.
    pub(crate) fn get(&self, id: BackendId) -> Option<&Known> {
        self.known.get(&id)
    }

    /// How many are on the list.
    pub(crate) fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether any is in service.
    pub(crate) fn any_in_service(&self) -> bool {
        self.known.values().any(|known| known.draining_since.is_none())
    }

    /// All that are in service, by number.
    pub(crate) fn in_service(&self) -> Vec<(BackendId, SocketAddr)> {
        let serving = self.known.iter().filter(|(_, known)| known.draining_since.is_none());
        let mut all: Vec<_> = serving.map(|(id, known)| (*id, known.endpoint)).collect();
        all.sort();
        all
    }

    /// The names that a list takes away: those it says are gone, and on a whole list those it does not name.
    pub(crate) fn leaving(&self, scope: ListScope, list: &[Listed]) -> Vec<String> {
        let mut left: Vec<String> = Vec::new();
        if scope != ListScope::Changes {
            let named: HashSet<&str> = list.iter().map(|listed| listed.uid.as_str()).collect();
            left.extend(self.ids.keys().filter(|uid| !named.contains(uid.as_str())).cloned());
        }
        left.extend(
            list.iter().filter(|listed| listed.stage == Stage::Gone).map(|listed| listed.uid.clone()),
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
        listed: Listed,
        words: &mut Words,
        now: Nanos,
        retired: &mut Vec<BackendId>,
    ) -> Option<Member> {
        let gone = listed.stage == Stage::Gone;
        let id = match self.ids.get(&listed.uid) {
            Some(&id) => id,
            None if gone => return None,
            None => {
                let id = BackendId(self.next);
                self.next += 1;
                self.ids.insert(listed.uid.clone(), id);
                id
            }
        };
        let draining = listed.stage != Stage::InService;
        let before = self.known.get(&id);
        let draining_since = draining.then(|| before.and_then(|b| b.draining_since).unwrap_or(now));
        let moved = |b: &Known| b.endpoint != listed.endpoint || b.boot_ms != listed.boot_ms;
        if draining || before.is_some_and(moved) {
            retired.push(id);
        }
        let (uid, zone) = (listed.uid.as_str().into(), listed.zone.as_str().into());
        let known = Known { uid, zone, endpoint: listed.endpoint, boot_ms: listed.boot_ms, draining_since };
        self.known.insert(id, known);
        Some(Member {
            backend: id,
            zone: words.zone(&listed.zone),
            kind: words.kind(&listed.kind),
            cell: listed.cell,
            tag: name_tag(&listed.uid),
            stage: listed.stage,
            size: listed.size,
            online_since: (listed.boot_ms > 0).then(|| listed.boot_ms.saturating_mul(1_000_000)),
        })
    }

    /// How many names and how many servers are known; the same unless something was left behind.
    #[cfg(test)]
    pub(crate) fn counts(&self) -> (usize, usize) {
        (self.ids.len(), self.known.len())
    }
}

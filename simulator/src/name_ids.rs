//! Translation between the simulator's names and the balancer's ids, for backends and requests.

use std::collections::{BTreeMap, HashMap};

use badgerpost_balancer::{BackendId, RequestId};

/// Backends by name and by id. Entries are never removed, so a backend that restarts keeps its id.
#[derive(Default)]
pub struct BackendTable {
    ids: HashMap<String, BackendId>,
    /// Names of the backends, in the order of the ids.
    names: Vec<String>,
}

impl BackendTable {
    /// Returns the id of a backend. A new name gets the next id.
    pub fn get_or_insert(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = BackendId(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The name of a backend, by an id from [`Self::get_or_insert`].
    pub fn name(&self, id: BackendId) -> &str {
        &self.names[id.0 as usize]
    }
}

/// A request that the balancer or the simulator may still refer to.
struct OpenRequest {
    name: String,
    attempts_in_flight: u32,
    /// Whether the client has its final answer or has disconnected.
    is_ended: bool,
}

/// Requests by name and by id.
///
/// ```text
/// open  →  ended, with attempts in flight  →  removed
/// ```
#[derive(Default)]
pub struct RequestTable {
    ids: HashMap<String, RequestId>,
    open: BTreeMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl RequestTable {
    /// Adds a request under the next id. An earlier request with the same name can no longer be looked up by name.
    pub fn insert(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        let request = OpenRequest {
            name: name.to_owned(),
            attempts_in_flight: 0,
            is_ended: false,
        };
        self.open.insert(id, request);
        id
    }

    /// The id of a request by name, or `None` where no open request has the name.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name of a request; empty if the request has been removed.
    pub fn name(&self, id: RequestId) -> String {
        self.open
            .get(&id)
            .map(|request| request.name.clone())
            .unwrap_or_default()
    }

    /// Records that an attempt was sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        self.update(id, |request| request.attempts_in_flight += 1);
    }

    /// Records the end of an attempt, and of the request if `request_ended` is set.
    pub fn attempt_ended(&mut self, id: RequestId, request_ended: bool) {
        self.update(id, |request| {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.is_ended |= request_ended;
        });
    }

    /// Marks a request as ended. The request is removed once no attempt is in flight.
    pub fn end(&mut self, id: RequestId) {
        self.update(id, |request| request.is_ended = true);
    }

    /// Changes an open request, and removes the request if that was the end of it.
    fn update(&mut self, id: RequestId, change: impl FnOnce(&mut OpenRequest)) {
        let Some(request) = self.open.get_mut(&id) else {
            return;
        };
        change(request);
        if request.is_ended && request.attempts_in_flight == 0 {
            self.ids.remove(&request.name);
            self.open.remove(&id);
        }
    }
}

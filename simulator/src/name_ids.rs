//! The ids that an instance gives to backends and requests, which the simulator knows by name.

use std::collections::{BTreeMap, HashMap};

use badgerpost_balancer::{BackendId, RequestId};

/// Backends by name and by id. Ids are never given up: a backend that restarts keeps its id.
#[derive(Default)]
pub struct BackendTable {
    ids: HashMap<String, BackendId>,
    /// The names, by id.
    names: Vec<String>,
}

impl BackendTable {
    /// A backend's id; a new name gets the next one.
    pub fn id(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = BackendId(u32::try_from(self.names.len()).unwrap_or(u32::MAX));
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The name behind an id that [`Self::id`] gave out.
    pub fn name(&self, id: BackendId) -> &str {
        &self.names[id.0 as usize]
    }
}

/// A request that the balancer or the simulator may still name.
struct OpenRequest {
    name: String,
    /// Attempts that were sent and have not ended.
    attempts_in_flight: u32,
    /// The client has its final answer or has disconnected.
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
    /// Adds a request under the next id. A request with the same name is no longer found by it.
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

    /// The id behind a name, or `None` where there is no open request of that name.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name behind an id; empty for a request that has been removed.
    pub fn name(&self, id: RequestId) -> String {
        self.open
            .get(&id)
            .map(|request| request.name.clone())
            .unwrap_or_default()
    }

    /// Counts an attempt that was sent.
    pub fn attempt_sent(&mut self, id: RequestId) {
        self.update(id, |request| request.attempts_in_flight += 1);
    }

    /// Counts an attempt that ended, and with it the request where `request_ended` says so.
    pub fn attempt_ended(&mut self, id: RequestId, request_ended: bool) {
        self.update(id, |request| {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.is_ended |= request_ended;
        });
    }

    /// Marks a request as ended. It is removed once no attempt is in flight.
    pub fn end(&mut self, id: RequestId) {
        self.update(id, |request| request.is_ended = true);
    }

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

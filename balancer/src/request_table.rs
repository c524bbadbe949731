//! All requests of the node, and the queue of those that wait for a backend.

use std::collections::BTreeMap;

use crate::api::RequestId;
use crate::request::{Phase, Request};

/// All requests that are open, or ended with an attempt still in flight.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    queue: Vec<RequestId>,
}

impl RequestTable {
    /// How many requests there are.
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request.
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    /// A request.
    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// A request, to be changed.
    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// All requests, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// The ids of queued requests, in the order in which they were queued.
    pub(crate) fn queued(&self) -> &[RequestId] {
        &self.queue
    }

    /// Queues an open request; one in another phase stays as it is.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        if let Some(request) = request.filter(|request| request.phase == Phase::Open) {
            request.phase = Phase::Queued;
            self.queue.push(id);
        }
    }

    /// Drops from the queue what is no longer queued.
    pub(crate) fn prune_queue(&mut self) {
        let requests = &self.requests;
        self.queue.retain(|id| {
            requests
                .get(id)
                .is_some_and(|request| request.phase == Phase::Queued)
        });
    }

    /// Records that part of a request's body can't be sent again.
    pub(crate) fn mark_body_consumed(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_body_consumed = true;
        }
    }

    /// Records that the answer to a request has begun, unless it has ended.
    pub(crate) fn mark_streaming(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        if let Some(request) = request.filter(|request| request.phase != Phase::Ended) {
            request.phase = Phase::Streaming;
        }
    }

    /// Marks a request as ended; it is dropped once its last attempt has ended.
    pub(crate) fn finish(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.phase = Phase::Ended;
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }
}

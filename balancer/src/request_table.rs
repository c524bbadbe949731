//! The node's requests, and the queue of those that wait for a backend.

use std::collections::BTreeMap;

use crate::api::RequestId;
use crate::request::{Phase, Request};

/// Requests that are open, or ended with an attempt in flight; and the queue.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    queue: Vec<RequestId>,
}

impl RequestTable {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.requests.insert(id, request);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// All requests in id order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestId, &Request)> {
        self.requests.iter().map(|(&id, request)| (id, request))
    }

    /// Ids of the queued requests in the order of queueing. May include requests that are no longer queued until
    /// [`Self::prune_queue`] is called.
    pub(crate) fn queued(&self) -> &[RequestId] {
        &self.queue
    }

    /// Queues an open request; a request in another phase is left unchanged.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        if let Some(request) = request.filter(|request| request.phase == Phase::Open) {
            request.phase = Phase::Queued;
            self.queue.push(id);
        }
    }

    /// Removes requests that are no longer queued from the queue.
    pub(crate) fn prune_queue(&mut self) {
        let requests = &self.requests;
        self.queue.retain(|id| {
            requests
                .get(id)
                .is_some_and(|request| request.phase == Phase::Queued)
        });
    }

    /// Records that part of a request's body cannot be sent again.
    pub(crate) fn mark_body_consumed(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_body_consumed = true;
        }
    }

    /// Records that a response is being streamed, unless the request has ended.
    pub(crate) fn mark_streaming(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id);
        if let Some(request) = request.filter(|request| request.phase != Phase::Ended) {
            request.phase = Phase::Streaming;
        }
    }

    /// Marks a request as ended; the request is removed once its last attempt has ended.
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

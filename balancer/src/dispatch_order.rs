//! The order in which queued requests are dispatched.

use std::cmp::Ordering;

use crate::api::RequestId;
use crate::endpoint_selection::EndpointSelection;
use crate::request_table::RequestTable;

/// Queued requests that find no backend until the others wait for the next event.
pub(crate) const MAX_DISPATCH_MISSES: usize = 8;

/// A queued request, as far as the order goes.
struct QueuedRequest {
    id: RequestId,
    /// Value of its class, for each unit of work.
    value: f64,
    /// Whether the backend that its key goes to would answer it in time.
    has_affinity: bool,
}

impl QueuedRequest {
    /// The more valuable first, then those with affinity, then by id.
    fn dispatch_cmp(&self, other: &Self) -> Ordering {
        let by_value = other.value.total_cmp(&self.value);
        let by_affinity = other.has_affinity.cmp(&self.has_affinity);
        by_value.then(by_affinity).then(self.id.cmp(&other.id))
    }
}

/// The queued requests, the most valuable first; of one value, those with key affinity first.
pub(crate) fn dispatch_order(
    selection: &EndpointSelection,
    requests: &RequestTable,
) -> Vec<RequestId> {
    let queued = requests.queued().iter().filter_map(|&id| {
        let request = requests.get(id)?;
        Some(QueuedRequest {
            id,
            value: selection.admission.value(request.class),
            has_affinity: selection.can_use_affinity_backend(request),
        })
    });
    let mut order: Vec<QueuedRequest> = queued.collect();
    order.sort_by(QueuedRequest::dispatch_cmp);
    order.into_iter().map(|request| request.id).collect()
}

//! Dispatch order of the queued requests.

use std::cmp::Ordering;

use crate::api::RequestId;
use crate::endpoint_selection::EndpointSelection;
use crate::request_table::RequestTable;

/// Maximum number of queued requests without a backend in one pass; the remaining ones wait for the next event.
pub(crate) const MAX_DISPATCH_MISSES: usize = 8;

/// Sort key of a queued request.
struct QueuedRequest {
    id: RequestId,
    /// Value of the request's class per unit of work.
    value: f64,
    /// Whether the backend preferred by the affinity key is available and would answer in time.
    has_affinity: bool,
}

impl QueuedRequest {
    /// Orders by descending value, then requests with affinity first, then by id.
    fn dispatch_cmp(&self, other: &Self) -> Ordering {
        let by_value = other.value.total_cmp(&self.value);
        let by_affinity = other.has_affinity.cmp(&self.has_affinity);
        by_value.then(by_affinity).then(self.id.cmp(&other.id))
    }
}

/// Returns the queued requests in dispatch order: by descending value, then requests with affinity first, then by
/// id.
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

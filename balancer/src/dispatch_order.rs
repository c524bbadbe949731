//! The order in which queued requests are dispatched.

use crate::api::RequestId;
use crate::endpoint_selection::EndpointSelection;
use crate::request_table::RequestTable;

/// Queued requests that find no backend until the others wait for the next event.
pub(crate) const MAX_DISPATCH_MISSES: usize = 8;

/// The queued requests, the most valuable first; of one class, those first whose key a backend knows.
pub(crate) fn dispatch_order(
    selection: &EndpointSelection,
    requests: &RequestTable,
) -> Vec<RequestId> {
    let queued = requests.queued().iter().filter_map(|&id| {
        let request = requests.get(id)?;
        Some((
            selection.admission.value(request.class),
            selection.could_use_affinity(request),
            id,
        ))
    });
    let mut order: Vec<(f64, bool, RequestId)> = queued.collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
    order.into_iter().map(|(_, _, id)| id).collect()
}

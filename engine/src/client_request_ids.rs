//! The ids that clients choose for their requests. An id can't be reused while its request is open or has only just
//! ended.

use std::collections::{HashSet, VecDeque};

use badgerpost_balancer::Nanos;

/// How long after the end of a request its id can't be reused. A client may send a second request with the same id
/// just before the client receives the response to the first one.
const ID_REUSE_DELAY_NS: Nanos = 1_000_000_000;

/// The maximum number of ids that are kept after the end of their requests. Only clients whose requests are rejected
/// at a high rate can exceed this number.
pub(crate) const MAX_RECENT_IDS: usize = 4096;

/// The ids of requests that are open or ended recently.
#[derive(Default)]
pub(crate) struct ClientRequestIds {
    /// The ids of all open and recently ended requests.
    pub(crate) reserved: HashSet<Box<str>>,
    /// The reserved ids whose requests have ended, oldest first.
    pub(crate) recently_ended: VecDeque<EndedRequestId>,
}

/// The id of a request that has ended.
pub(crate) struct EndedRequestId {
    id: Box<str>,
    ended_at: Nanos,
}

impl ClientRequestIds {
    /// Reserves an id for a request. Returns false if the id is already reserved.
    #[must_use]
    pub(crate) fn reserve(&mut self, id: &str, now: Nanos) -> bool {
        self.remove_expired(now);
        self.reserved.insert(id.into())
    }

    /// Records that the request with this id has ended. The id stays reserved for [`ID_REUSE_DELAY_NS`].
    pub(crate) fn release(&mut self, id: Box<str>, now: Nanos) {
        self.recently_ended
            .push_back(EndedRequestId { id, ended_at: now });
    }

    /// Removes ids whose reuse delay has passed, and the oldest ids beyond [`MAX_RECENT_IDS`].
    fn remove_expired(&mut self, now: Nanos) {
        while let Some(oldest) = self.recently_ended.front() {
            let is_expired = now.saturating_sub(oldest.ended_at) >= ID_REUSE_DELAY_NS;
            if !is_expired && self.recently_ended.len() <= MAX_RECENT_IDS {
                return;
            }
            if let Some(ended) = self.recently_ended.pop_front() {
                self.reserved.remove(&ended.id);
            }
        }
    }
}

//! The ids that clients gave their requests. An id can't be used again while its request is open, nor shortly after.

use std::collections::{HashSet, VecDeque};

use badgerpost_balancer::Nanos;

/// How long after the end of its request an id can't be used again, in nanoseconds: a second request with the id of an
/// open one may cross the response to that.
const REUSE_DELAY: Nanos = 1_000_000_000;

/// The most ids that are remembered after the end of their requests. More of them come only from clients whose
/// requests are rejected at once, over and over.
pub(crate) const MAX_RECENT_IDS: usize = 4096;

/// The ids of requests that are open or ended recently.
#[derive(Default)]
pub(crate) struct ClientRequestIds {
    /// All ids that can't be used.
    pub(crate) reserved: HashSet<Box<str>>,
    /// Those of them whose requests have ended, oldest first.
    pub(crate) recently_ended: VecDeque<EndedRequestId>,
}

/// The id of a request that has ended.
pub(crate) struct EndedRequestId {
    id: Box<str>,
    ended_at: Nanos,
}

impl ClientRequestIds {
    /// Reserves an id for a request. Returns false if it can't be used.
    #[must_use]
    pub(crate) fn reserve(&mut self, id: &str, now: Nanos) -> bool {
        self.forget_old(now);
        self.reserved.insert(id.into())
    }

    /// Notes the end of an id's request.
    pub(crate) fn release(&mut self, id: Box<str>, now: Nanos) {
        self.recently_ended
            .push_back(EndedRequestId { id, ended_at: now });
    }

    /// Makes ids usable again whose requests ended long enough ago, and the oldest of too many.
    fn forget_old(&mut self, now: Nanos) {
        while let Some(oldest) = self.recently_ended.front() {
            let is_old = now.saturating_sub(oldest.ended_at) >= REUSE_DELAY;
            if !is_old && self.recently_ended.len() <= MAX_RECENT_IDS {
                return;
            }
            if let Some(ended) = self.recently_ended.pop_front() {
                self.reserved.remove(&ended.id);
            }
        }
    }
}

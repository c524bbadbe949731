//! The ids that clients choose for their requests. An id can't be reused while its request is open or has only just
//! ended, nor for longer if the request may have run and must not run again.

use std::collections::{HashSet, VecDeque};

use badgerpost_balancer::{Nanos, Settings};
use badgerpost_settings::name_hash;

use crate::executed_request_ids::ExecutedRequestIds;

/// How long after the end of a request its id can't be reused. A client may send a second request with the same id
/// just before the client receives the response to the first one.
const ID_REUSE_DELAY_NS: Nanos = 1_000_000_000;

/// The maximum number of ids that are kept after the end of their requests. Only clients whose requests are rejected
/// at a high rate can exceed this number.
pub(crate) const MAX_RECENT_IDS: usize = 4096;

/// The ids of requests that are open or ended recently.
pub(crate) struct ClientRequestIds {
    /// The ids of all open and recently ended requests.
    pub(crate) reserved: HashSet<Box<str>>,
    /// The reserved ids whose requests have ended, oldest first.
    pub(crate) recently_ended: VecDeque<EndedRequestId>,
    /// The ids of ended requests that may have run and must not run again.
    pub(crate) executed: ExecutedRequestIds,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeatability {
    /// The request never ran, or may run any number of times.
    Repeatable,
    /// The request may have run and must not run again.
    Executed,
}

/// The id of a request that has ended.
pub(crate) struct EndedRequestId {
    id: Box<str>,
    ended_at: Nanos,
}

impl ClientRequestIds {
    /// No ids.
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            reserved: HashSet::new(),
            recently_ended: VecDeque::new(),
            executed: ExecutedRequestIds::new(settings),
        }
    }

    /// Reserves an id for a request. Returns false if the id is already reserved.
    #[must_use]
    pub(crate) fn reserve(&mut self, id: &str, now: Nanos) -> bool {
        self.remove_expired(now);
        !self.executed.contains(name_hash(id), now) && self.reserved.insert(id.into())
    }

    /// Records that the request with this id has ended. The id stays reserved for [`ID_REUSE_DELAY_NS`], and for longer
    /// if the request may not run again.
    pub(crate) fn release(&mut self, id: Box<str>, repeatability: Repeatability, now: Nanos) {
        if repeatability == Repeatability::Executed {
            self.executed.add(name_hash(&id), now);
        }
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

//! The clients' ids of requests: one that is open, or was a moment ago, is not taken again.

use std::collections::{HashSet, VecDeque};

use badgerpost_balancer::Nanos;

/// An id is not taken again for this long after its request has ended: one that copies an open request's id
/// may cross the answer to that.
const ID_REUSE_DELAY: Nanos = 1_000_000_000;
/// At most so many ids rest: more come only from clients that are turned away at once, over and over.
pub(crate) const RECENT_IDS_MAX: usize = 4096;

/// The ids of requests that are open or have just been.
#[derive(Default)]
pub(crate) struct ClientRequestIds {
    pub(crate) known: HashSet<Box<str>>,
    /// Of requests that have ended, and when.
    pub(crate) ended: VecDeque<(Nanos, Box<str>)>,
}

impl ClientRequestIds {
    /// False where a request has the id now, or had it a moment ago.
    pub(crate) fn take(&mut self, id: &str, now: Nanos) -> bool {
        while let Some((at, _)) = self.ended.front()
            && (now.saturating_sub(*at) >= ID_REUSE_DELAY || self.ended.len() > RECENT_IDS_MAX)
            && let Some((_, id)) = self.ended.pop_front()
        {
            self.known.remove(&id);
        }
        self.known.insert(id.into())
    }

    pub(crate) fn release(&mut self, id: Box<str>, now: Nanos) {
        self.ended.push_back((now, id));
    }
}

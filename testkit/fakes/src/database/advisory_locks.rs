//! Advisory locks: locks on numbers that the application chooses.

use std::collections::BTreeMap;

use super::connection_id::ConnectionId;

/// A lock that a session holds.
struct AdvisoryLock {
    owner: ConnectionId,
    /// How often the owner has taken it; it has to be released as often.
    count: u32,
}

/// The advisory locks that sessions hold.
#[derive(Default)]
pub(super) struct AdvisoryLocks {
    /// By the numbers that name the lock, as text.
    locks: BTreeMap<String, AdvisoryLock>,
}

impl AdvisoryLocks {
    /// Takes a lock, unless another session holds it. Returns whether it was taken.
    pub(super) fn try_acquire(&mut self, key: &str, owner: ConnectionId) -> bool {
        let lock = self
            .locks
            .entry(key.to_owned())
            .or_insert(AdvisoryLock { owner, count: 0 });
        let is_owner = lock.owner == owner;
        if is_owner {
            lock.count += 1;
        }
        is_owner
    }

    /// Releases a lock once. Returns whether the session held it.
    pub(super) fn release(&mut self, key: &str, owner: ConnectionId) -> bool {
        let Some(lock) = self.locks.get_mut(key).filter(|lock| lock.owner == owner) else {
            return false;
        };
        lock.count -= 1;
        if lock.count == 0 {
            self.locks.remove(key);
        }
        true
    }

    /// Releases all locks of a session.
    pub(super) fn release_all(&mut self, owner: ConnectionId) {
        self.locks.retain(|_, lock| lock.owner != owner);
    }
}

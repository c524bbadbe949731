//! Advisory locks, identified by application-defined keys and held by a session until released.

use std::collections::BTreeMap;

use super::connection_id::ConnectionId;

/// An advisory lock held by a session.
struct AdvisoryLock {
    owner: ConnectionId,
    /// How many times the owner has acquired the lock; the lock is free after as many releases.
    acquisition_count: u32,
}

/// All advisory locks held on a server.
#[derive(Default)]
pub(super) struct AdvisoryLocks {
    /// By the key arguments as text, separated by commas.
    locks: BTreeMap<String, AdvisoryLock>,
}

impl AdvisoryLocks {
    /// Acquires a lock unless another session holds it. Returns whether the lock was acquired.
    pub(super) fn try_acquire(&mut self, key: &str, owner: ConnectionId) -> bool {
        let lock = self.locks.entry(key.to_owned()).or_insert(AdvisoryLock {
            owner,
            acquisition_count: 0,
        });
        let is_owner = lock.owner == owner;
        if is_owner {
            lock.acquisition_count += 1;
        }
        is_owner
    }

    /// Releases a lock once. Returns whether the session held the lock.
    pub(super) fn release(&mut self, key: &str, owner: ConnectionId) -> bool {
        let Some(lock) = self.locks.get_mut(key).filter(|lock| lock.owner == owner) else {
            return false;
        };
        lock.acquisition_count -= 1;
        if lock.acquisition_count == 0 {
            self.locks.remove(key);
        }
        true
    }

    /// Releases all locks of a session.
    pub(super) fn release_all(&mut self, owner: ConnectionId) {
        self.locks.retain(|_, lock| lock.owner != owner);
    }
}

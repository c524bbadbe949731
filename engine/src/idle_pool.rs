//! A pool of idle connections by destination. The owner of the pool decides which connections are pooled and for how
//! long, and limits the number of connections.

use std::cell::RefCell;
use std::collections::BTreeMap;

use badgerpost_balancer::Nanos;

/// A connection that can be checked before it is reused.
pub trait IdleCheck {
    /// Whether the connection is open and has no unread bytes. Unread bytes would be taken for the next response.
    fn is_idle(&mut self) -> bool;
}

struct PooledConnection<C> {
    connection: C,
    idle_since: Nanos,
}

impl<C> PooledConnection<C> {
    fn idle_time(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.idle_since)
    }
}

/// A connection taken from a pool.
pub struct TakenConnection<C> {
    /// The connection.
    pub connection: C,
    /// How long the connection was idle, in nanoseconds.
    pub idle_time: Nanos,
}

/// Idle connections by destination, the most recently used one last. The most recently used connection is taken first,
/// so that surplus connections stay idle and expire.
pub struct IdlePool<K, C> {
    connections: RefCell<BTreeMap<K, Vec<PooledConnection<C>>>>,
}

impl<K, C> Default for IdlePool<K, C> {
    fn default() -> Self {
        Self {
            connections: RefCell::default(),
        }
    }
}

impl<K: Ord, C: IdleCheck> IdlePool<K, C> {
    /// Adds a connection that becomes idle at `now`.
    pub fn put(&self, destination: K, connection: C, now: Nanos) {
        let pooled = PooledConnection {
            connection,
            idle_since: now,
        };
        self.connections
            .borrow_mut()
            .entry(destination)
            .or_default()
            .push(pooled);
    }

    /// Takes the most recently used connection to a destination that has been idle for at least `min_idle_time`
    /// nanoseconds. Connections that fail the [idle check](IdleCheck::is_idle) are dropped.
    pub fn take(
        &self,
        destination: &K,
        now: Nanos,
        min_idle_time: Nanos,
    ) -> Option<TakenConnection<C>> {
        let mut by_destination = self.connections.borrow_mut();
        let connections = by_destination.get_mut(destination)?;
        loop {
            let index = connections
                .iter()
                .rposition(|pooled| pooled.idle_time(now) >= min_idle_time)?;
            let mut pooled = connections.remove(index);
            if pooled.connection.is_idle() {
                return Some(TakenConnection {
                    idle_time: pooled.idle_time(now),
                    connection: pooled.connection,
                });
            }
        }
    }

    /// Drops the connections for which `keep` returns false. The arguments of `keep` are the destination, the
    /// connection, and how long the connection has been idle.
    pub fn retain(&self, now: Nanos, mut keep: impl FnMut(&K, &mut C, Nanos) -> bool) {
        self.connections
            .borrow_mut()
            .retain(|destination, connections| {
                connections.retain_mut(|pooled| {
                    let idle_time = pooled.idle_time(now);
                    keep(destination, &mut pooled.connection, idle_time)
                });
                !connections.is_empty()
            });
    }

    /// The number of idle connections to the destinations that match a condition.
    pub fn count(&self, condition: impl Fn(&K) -> bool) -> usize {
        self.connections
            .borrow()
            .iter()
            .filter(|(destination, _)| condition(destination))
            .map(|(_, connections)| connections.len())
            .sum()
    }

    /// Drops the connection that has been idle longest among those to the destinations that match a condition. Returns
    /// false if there is no such connection.
    pub fn drop_oldest(&self, condition: impl Fn(&K) -> bool) -> bool {
        let mut by_destination = self.connections.borrow_mut();
        let oldest = by_destination
            .iter_mut()
            .filter(|(destination, connections)| condition(destination) && !connections.is_empty())
            .min_by_key(|(_, connections)| connections[0].idle_since);
        let Some((_, connections)) = oldest else {
            return false;
        };
        connections.remove(0);
        true
    }
}

#[cfg(test)]
mod tests;

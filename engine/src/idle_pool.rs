//! Connections with nothing on them, kept by where they lead. Which may be kept, and for how long, their front says;
//! their number is bounded by the front's own count of open connections.

use std::cell::RefCell;
use std::collections::BTreeMap;

use badgerpost_balancer::Nanos;

/// A connection of which it can be told that nothing has come on it.
pub trait IdleCheck {
    /// Whether it stands open and nothing has come that nobody asked for. What comes behind an answer would pass for
    /// the next one's.
    fn is_idle(&mut self) -> bool;
}

struct Idle<L> {
    link: L,
    since: Nanos,
}

/// Idle connections by place. The one that was used last is used next, so that those in excess grow old.
pub struct IdlePool<K, L> {
    idle: RefCell<BTreeMap<K, Vec<Idle<L>>>>,
}

impl<K, L> Default for IdlePool<K, L> {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
        }
    }
}

impl<K: Ord, L: IdleCheck> IdlePool<K, L> {
    /// Keeps a connection that is idle from `now` on.
    pub fn put(&self, key: K, link: L, now: Nanos) {
        self.idle
            .borrow_mut()
            .entry(key)
            .or_default()
            .push(Idle { link, since: now });
    }

    /// The one used last of those that have been idle for `least` nanoseconds at least, and for how long it has. What
    /// turns out not to be quiet is dropped.
    pub fn take(&self, key: &K, now: Nanos, least: Nanos) -> Option<(L, Nanos)> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(key)?;
        loop {
            let rested = links
                .iter()
                .rposition(|idle| now.saturating_sub(idle.since) >= least)?;
            let Idle { mut link, since } = links.remove(rested);
            if link.is_idle() {
                return Some((link, now.saturating_sub(since)));
            }
        }
    }

    /// Keeps those that `keep` says to: by place, connection, and how long it has been idle.
    pub fn retain(&self, now: Nanos, mut keep: impl FnMut(&K, &mut L, Nanos) -> bool) {
        self.idle.borrow_mut().retain(|key, links| {
            links.retain_mut(|idle| keep(key, &mut idle.link, now.saturating_sub(idle.since)));
            !links.is_empty()
        });
    }

    /// How many are idle at the places that `at` picks.
    pub fn count(&self, at: impl Fn(&K) -> bool) -> usize {
        self.idle
            .borrow()
            .iter()
            .filter(|(key, _)| at(key))
            .map(|(_, links)| links.len())
            .sum()
    }

    /// Drops the one that has been idle for the longest time, of those at places that `at` picks. Whether there was
    /// one.
    pub fn drop_oldest(&self, at: impl Fn(&K) -> bool) -> bool {
        let mut idle = self.idle.borrow_mut();
        let places = idle
            .iter_mut()
            .filter(|(key, links)| at(key) && !links.is_empty());
        let oldest = places.min_by_key(|(_, links)| links[0].since);
        oldest.map(|(_, links)| links.remove(0)).is_some()
    }
}

#[cfg(test)]
mod tests;

//! The pool's background work: idle connections are closed when they have been idle or open for too long, and
//! connections are opened ahead of need (`min_idle`).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::Nanos;
use badgerpost_engine::{Engine, IdleCheck, Protocol, nanos};

use super::{ConnectionTarget, Pool, PoolKey, ServerAddress};

/// How often idle connections are looked through.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Most targets for which connections are opened ahead of need.
const MAX_RECENT_TARGETS: usize = 64;

/// The targets used last, and when. The least recently used one is replaced by a new one.
#[derive(Default)]
pub(super) struct RecentTargets(RefCell<BTreeMap<ConnectionTarget, Nanos>>);

impl RecentTargets {
    /// Notes that a target is used now.
    pub(super) fn record(&self, target: &ConnectionTarget, now: Nanos) {
        let mut targets = self.0.borrow_mut();
        if targets.len() >= MAX_RECENT_TARGETS && !targets.contains_key(target) {
            let least_recent = targets
                .iter()
                .min_by_key(|(_, last_used)| **last_used)
                .map(|(target, _)| target.clone());
            if let Some(least_recent) = least_recent {
                targets.remove(&least_recent);
            }
        }
        targets.insert(target.clone(), now);
    }

    /// The targets used within a time; the others are forgotten.
    fn used_within(&self, duration: Nanos, now: Nanos) -> Vec<ConnectionTarget> {
        let mut targets = self.0.borrow_mut();
        targets.retain(|_, last_used| now.saturating_sub(*last_used) < duration);
        targets.keys().cloned().collect()
    }
}

impl Pool {
    /// Maintains the pool; never returns.
    pub async fn maintain<P: Protocol>(self: Rc<Self>, fleet: Engine<P>) {
        loop {
            self.clock.sleep(MAINTENANCE_INTERVAL).await;
            let now = self.clock.now();
            self.close_expired(now);
            if self.limits.min_idle > 0 && !self.is_paused() {
                self.open_ahead(&fleet, now).await;
            }
        }
    }

    /// Closes idle connections that were idle for too long, are too old, or can't be used any more.
    fn close_expired(&self, now: Nanos) {
        let idle_timeout = nanos(self.limits.idle_timeout);
        let generation = self.generation.get();
        self.idle.retain(now, |_, connection, idle_time| {
            idle_time < idle_timeout
                && connection.is_current(generation, now)
                && connection.is_idle()
        });
    }

    /// Opens connections to each server for the targets in use, up to `min_idle` for each.
    async fn open_ahead<P: Protocol>(&self, fleet: &Engine<P>, now: Nanos) {
        let targets = self
            .recent_targets
            .used_within(nanos(self.limits.idle_timeout), now);
        for server in fleet.endpoints_in_service() {
            let address = ServerAddress::from(server);
            for target in &targets {
                let key = PoolKey {
                    address,
                    target: target.clone(),
                };
                self.open_one_ahead(key).await;
            }
        }
    }

    async fn open_one_ahead(&self, key: PoolKey) {
        let slots = self.server_slots(key.address);
        if slots.can_log_in(&self.limits)
            && self.idle.count(|other| *other == key) < self.limits.min_idle
            && let Ok(connection) = self.log_in(&key, &slots).await
        {
            self.idle.put(key, connection, self.clock.now());
            slots.wake_next();
        }
    }
}

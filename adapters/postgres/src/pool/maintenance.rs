//! Background maintenance of the pool: closes idle connections that have reached the idle timeout or their maximum
//! lifetime, and opens connections up to `min_idle`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use badgerpost_balancer::Nanos;
use badgerpost_engine::{Engine, IdleCheck, Protocol, nanos};

use super::{ConnectionTarget, Pool, PoolKey, ServerAddress};

/// Interval between two maintenance passes.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of targets for which idle connections are kept open.
const MAX_RECENT_TARGETS: usize = 64;

/// The most recently used targets, with the time of the last use. When full, a new target replaces the least recently
/// used one.
#[derive(Default)]
pub(super) struct RecentTargets(RefCell<BTreeMap<ConnectionTarget, Nanos>>);

impl RecentTargets {
    /// Records that `target` is used at the time `now`.
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

    /// The targets used within the last `duration`. Removes all other targets.
    fn used_within(&self, duration: Nanos, now: Nanos) -> Vec<ConnectionTarget> {
        let mut targets = self.0.borrow_mut();
        targets.retain(|_, last_used| now.saturating_sub(*last_used) < duration);
        targets.keys().cloned().collect()
    }
}

impl Pool {
    /// Runs a maintenance pass every second; never returns.
    pub async fn maintain<P: Protocol>(self: Rc<Self>, engine: Engine<P>) {
        loop {
            self.clock.sleep(MAINTENANCE_INTERVAL).await;
            let now = self.clock.now();
            self.close_expired(now);
            if self.limits.min_idle > 0 && !self.is_paused() {
                self.open_min_idle(&engine, now).await;
            }
        }
    }

    /// Closes idle connections that have reached the idle timeout or their lifetime, belong to an earlier generation,
    /// or were closed by the server.
    fn close_expired(&self, now: Nanos) {
        let idle_timeout = nanos(self.limits.idle_timeout);
        let generation = self.generation.get();
        self.idle.retain(now, |_, connection, idle_time| {
            idle_time < idle_timeout
                && connection.is_current(generation, now)
                && connection.is_idle()
        });
    }

    /// Opens one connection to each server for each recently used target with fewer than `min_idle` idle connections.
    async fn open_min_idle<P: Protocol>(&self, engine: &Engine<P>, now: Nanos) {
        let targets = self
            .recent_targets
            .used_within(nanos(self.limits.idle_timeout), now);
        for server in engine.endpoints_in_service() {
            let address = ServerAddress::from(server);
            for target in &targets {
                let key = PoolKey {
                    address,
                    target: target.clone(),
                };
                self.open_one_idle(key).await;
            }
        }
    }

    async fn open_one_idle(&self, key: PoolKey) {
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

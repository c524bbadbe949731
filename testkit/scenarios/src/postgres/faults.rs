//! Fault injection of a PostgreSQL scenario: kills databases and drains them, one at a time, until it is stopped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use badgerpost_fakes::database::{Database, InjectedFault};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::scripted::Discovery;

use super::environment::publish_draining;
use super::load::WorkQueue;
use super::scenario::{Drains, Kills};

/// The grace period of a drain, and slack for the endpoint update to arrive.
const DRAIN_GRACE: Duration = Duration::from_millis(500 + 50);
/// A fault that waits for a matching statement is cleared after this.
const MATCH_TIMEOUT: Duration = Duration::from_millis(400);
/// A random interval is at most so many times the mean.
const MAX_INTERVAL_FACTOR: f64 = 4.0;

/// Drains so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainCounts {
    /// Databases that drained.
    pub drains: u64,
    /// Transactions that began at a draining database after its grace period.
    pub late_transactions: u64,
}

/// Counts that stay readable after the task that updates them was aborted.
#[derive(Clone, Default)]
pub(super) struct FaultCounters {
    kills: Rc<Cell<u64>>,
    drains: Rc<Cell<DrainCounts>>,
}

impl FaultCounters {
    /// Databases that died, or stopped to respond.
    pub(super) fn kills(&self) -> u64 {
        self.kills.get()
    }

    /// Drains so far.
    pub(super) fn drains(&self) -> DrainCounts {
        self.drains.get()
    }
}

/// What the tasks that inject faults share.
#[derive(Clone)]
pub(super) struct FaultContext {
    pub(super) databases: Rc<Vec<Database>>,
    pub(super) discovery: Discovery,
    pub(super) queue: WorkQueue,
    pub(super) counters: FaultCounters,
    pub(super) seed: u64,
}

/// A random interval with this mean.
fn interval(random: &mut Random, mean_ms: u64) -> Duration {
    let mean = Duration::from_millis(mean_ms).as_secs_f64();
    Duration::from_secs_f64(random.exponential(mean).min(MAX_INTERVAL_FACTOR * mean))
}

/// Kills one database at a time, in one of several ways, and restarts it.
pub(super) async fn kill_databases(context: FaultContext, settings: Kills) {
    let databases = &context.databases;
    let kills = &context.counters.kills;
    let mut random = Random::new(context.seed, "kills");
    loop {
        context.queue.set_extended(kills.get() < settings.least);
        let before: Vec<u64> = databases.iter().map(Database::statements).collect();
        tokio::time::sleep(interval(&mut random, settings.every_ms)).await;
        // Only one that the node is using: the death of an idle one would show nothing.
        let active: Vec<usize> = (0..databases.len())
            .filter(|index| databases[*index].statements() > before[*index])
            .collect();
        if active.is_empty() {
            continue;
        }
        let database = &databases[active[random.between(0, active.len() as u64 - 1) as usize]];
        inject_random_fault(database, &mut random, settings).await;
        if is_down_within(database, MATCH_TIMEOUT).await {
            kills.set(kills.get() + 1);
            tokio::time::sleep(Duration::from_millis(settings.down_ms)).await;
            database.clear_fault();
            database.restart();
        } else {
            // No matching statement arrived.
            database.clear_fault();
        }
    }
}

async fn inject_random_fault(database: &Database, random: &mut Random, settings: Kills) {
    match random.between(0, 7) {
        0 | 1 => database.kill(),
        2 => database.inject_fault("INSERT", InjectedFault::CrashBeforeExecution),
        3 => database.inject_fault("INSERT", InjectedFault::CrashAfterExecution),
        4 => database.inject_fault("COMMIT", InjectedFault::CrashBeforeExecution),
        5 => database.inject_fault("COMMIT", InjectedFault::CrashAfterExecution),
        // The second row of a COPY.
        6 => database.inject_fault("\t1\n", InjectedFault::CrashBeforeExecution),
        _ => {
            // Unresponsive, and then dead with everything that it received meanwhile.
            database.pause(true);
            tokio::time::sleep(Duration::from_millis(2 * settings.down_ms)).await;
            database.kill();
            database.pause(false);
        }
    }
}

/// Waits until the database is down; false if it is still up after the timeout.
async fn is_down_within(database: &Database, timeout: Duration) -> bool {
    let started = Instant::now();
    while database.is_up() && started.elapsed() < timeout {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    !database.is_up()
}

/// Drains one database at a time, and counts the transactions that begin there after its grace period.
pub(super) async fn drain_databases(context: FaultContext, settings: Drains) {
    let (databases, discovery) = (&context.databases, &context.discovery);
    let counts = &context.counters.drains;
    let mut random = Random::new(context.seed, "drains");
    loop {
        context
            .queue
            .set_extended(counts.get().drains < settings.least);
        tokio::time::sleep(interval(&mut random, settings.every_ms)).await;
        let index = random.between(0, databases.len() as u64 - 1) as usize;
        publish_draining(discovery, databases, Some(index));
        tokio::time::sleep(DRAIN_GRACE).await;
        let begun = databases[index].transactions_begun();
        let remaining = Duration::from_millis(settings.for_ms).saturating_sub(DRAIN_GRACE);
        tokio::time::sleep(remaining).await;
        let late = databases[index].transactions_begun() - begun;
        publish_draining(discovery, databases, None);
        let counted = counts.get();
        counts.set(DrainCounts {
            drains: counted.drains + 1,
            late_transactions: counted.late_transactions + late,
        });
    }
}

//! Fault injection of a PostgreSQL scenario: kills and drains databases, one at a time, until the tasks are aborted.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use badgerpost_fakes::database::{Database, InjectedFault};
use badgerpost_fakes::random::Random;
use badgerpost_fakes::scripted::Discovery;

use super::environment::publish_draining;
use super::load::WorkQueue;
use super::scenario::{Drains, Kills};

/// The node's grace period for a drain, plus slack for the delivery of the endpoint list.
const DRAIN_GRACE_WITH_SLACK: Duration = Duration::from_millis(500 + 50);
/// Time limit for a statement to trigger an injected fault; the fault is cleared afterwards.
const MATCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound of a random interval, as a multiple of the mean.
const MAX_INTERVAL_FACTOR: f64 = 4.0;

/// Counts of the drains of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainCounts {
    /// The number of drains completed; a database may drain several times.
    pub drains: u64,
    /// The number of transactions that began at a draining database after the grace period.
    pub late_transactions: u64,
}

/// Counts that stay readable after the task that updates them was aborted.
#[derive(Clone, Default)]
pub(super) struct FaultCounters {
    kills: Rc<Cell<u64>>,
    drains: Rc<Cell<DrainCounts>>,
}

impl FaultCounters {
    /// The number of crashes so far, including those of databases that were unresponsive first.
    pub(super) fn kills(&self) -> u64 {
        self.kills.get()
    }

    /// The drains completed so far.
    pub(super) fn drains(&self) -> DrainCounts {
        self.drains.get()
    }
}

/// State shared by the tasks that inject faults.
#[derive(Clone)]
pub(super) struct FaultContext {
    pub(super) databases: Rc<Vec<Database>>,
    pub(super) discovery: Discovery,
    pub(super) queue: WorkQueue,
    pub(super) counters: FaultCounters,
    pub(super) seed: u64,
}

/// Draws an exponentially distributed interval, truncated at `MAX_INTERVAL_FACTOR` times the mean.
fn interval(random: &mut Random, mean_ms: u64) -> Duration {
    let mean = Duration::from_millis(mean_ms).as_secs_f64();
    Duration::from_secs_f64(random.exponential(mean).min(MAX_INTERVAL_FACTOR * mean))
}

/// Crashes one database at a time, in a random way, and restarts that database after its downtime.
pub(super) async fn kill_databases(context: FaultContext, settings: Kills) {
    let databases = &context.databases;
    let kills = &context.counters.kills;
    let mut random = Random::new(context.seed, "kills");
    loop {
        context.queue.set_extended(kills.get() < settings.least);
        let statements_before: Vec<u64> = databases.iter().map(Database::statements).collect();
        tokio::time::sleep(interval(&mut random, settings.every_ms)).await;
        // The crash of a database that the node is not using affects no transaction.
        let active: Vec<usize> = (0..databases.len())
            .filter(|index| databases[*index].statements() > statements_before[*index])
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
            // No statement triggered the fault.
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
        // Matches the second row of a COPY.
        6 => database.inject_fault("\t1\n", InjectedFault::CrashBeforeExecution),
        _ => {
            // Unresponsive first; what the database receives in that time is lost in the crash.
            database.pause(true);
            tokio::time::sleep(Duration::from_millis(2 * settings.down_ms)).await;
            database.kill();
            database.pause(false);
        }
    }
}

/// Waits until the database is down; returns false if the database is still up after the timeout.
async fn is_down_within(database: &Database, timeout: Duration) -> bool {
    let started = Instant::now();
    while database.is_up() && started.elapsed() < timeout {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    !database.is_up()
}

/// Drains one database at a time, and counts the transactions that begin at that database after the grace period.
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
        tokio::time::sleep(DRAIN_GRACE_WITH_SLACK).await;
        let begun_by_grace_end = databases[index].transactions_begun();
        let remaining =
            Duration::from_millis(settings.for_ms).saturating_sub(DRAIN_GRACE_WITH_SLACK);
        tokio::time::sleep(remaining).await;
        let late = databases[index].transactions_begun() - begun_by_grace_end;
        publish_draining(discovery, databases, None);
        let counted = counts.get();
        counts.set(DrainCounts {
            drains: counted.drains + 1,
            late_transactions: counted.late_transactions + late,
        });
    }
}

//! Runs a PostgreSQL scenario: starts the environment, the clients and the faults, and checks the outcomes at the end.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use badgerpost_fakes::database::{Database, Value};
use tokio::task::{JoinHandle, spawn_local};

use super::consistency::{self, TransactionRecord, Violation};
use super::environment::PgEnvironment;
use super::faults::{DrainCounts, FaultContext, FaultCounters, drain_databases, kill_databases};
use super::load::{SqlxDriver, TokioPostgresDriver, WorkQueue, run_client};
use super::scenario::PgScenario;
use crate::run::RunError;

const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for the databases to close their connections after the node is killed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a run.
pub struct PgRunReport {
    /// The transactions from their clients' view, ordered by their numbers.
    pub transactions: Vec<TransactionRecord>,
    /// Contradictions between the clients' outcomes and the stored rows.
    pub violations: Vec<Violation>,
    /// The number of database crashes, including those of databases that were unresponsive first.
    pub kills: u64,
    /// Counts of the drains of databases.
    pub drains: DrainCounts,
    /// The run's duration in real time.
    pub duration: Duration,
    /// The exit status and the log of the node if its process exited during the run.
    pub crash: Option<String>,
}

/// Runs a scenario to the end; `progress` receives the fraction of the transactions that have begun.
pub fn run(
    scenario: &PgScenario,
    seed: u64,
    program: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<PgRunReport, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_to_end(scenario, seed, program, progress))
}

async fn run_to_end(
    scenario: &PgScenario,
    seed: u64,
    program: &Path,
    progress: &mut dyn FnMut(f64),
) -> Result<PgRunReport, RunError> {
    let mut environment = PgEnvironment::start(*scenario.databases.get_ref(), program, 0)?;
    environment.create_tables().await?;
    let queue = WorkQueue::new(*scenario.transactions.get_ref());
    let started = Instant::now();
    let clients = start_clients(&environment, &queue, *scenario.clients.get_ref(), seed);
    let counters = FaultCounters::default();
    let faults = start_faults(
        scenario,
        &FaultContext {
            databases: environment.shared_databases(),
            discovery: environment.discovery().clone(),
            queue: queue.clone(),
            counters: counters.clone(),
            seed,
        },
    );
    let mut transactions = await_clients(clients, &queue, progress).await?;
    stop(faults).await;
    for database in environment.databases() {
        database.pause(false);
        database.restart();
    }
    // Killing the node closes its connections, so the databases roll open transactions back before the rows are read.
    let crash = environment.crash();
    environment.kill_node();
    await_closed_connections(environment.databases()).await;
    transactions.sort_by_key(|transaction| transaction.id);
    Ok(PgRunReport {
        violations: consistency::check(&transactions, &stored_rows(environment.databases())),
        transactions,
        kills: counters.kills(),
        drains: counters.drains(),
        duration: started.elapsed(),
        crash,
    })
}

type ClientTask = JoinHandle<Vec<TransactionRecord>>;

fn start_clients(
    environment: &PgEnvironment,
    queue: &WorkQueue,
    count: usize,
    seed: u64,
) -> Vec<ClientTask> {
    let start = |index: usize| {
        let parameters = environment.node_parameters();
        let queue = queue.clone();
        let seed = seed.wrapping_mul(1_000_003) + index as u64;
        // A third of the clients use sqlx.
        match index % 3 {
            2 => spawn_local(run_client::<SqlxDriver>(parameters, queue, seed)),
            _ => spawn_local(run_client::<TokioPostgresDriver>(parameters, queue, seed)),
        }
    };
    (0..count).map(start).collect()
}

fn start_faults(scenario: &PgScenario, context: &FaultContext) -> Vec<JoinHandle<()>> {
    let kills = scenario
        .kills
        .map(|kills| spawn_local(kill_databases(context.clone(), kills)));
    let drains = scenario
        .drains
        .map(|drains| spawn_local(drain_databases(context.clone(), drains)));
    kills.into_iter().chain(drains).collect()
}

async fn await_clients(
    clients: Vec<ClientTask>,
    queue: &WorkQueue,
    progress: &mut dyn FnMut(f64),
) -> Result<Vec<TransactionRecord>, RunError> {
    let mut transactions = Vec::new();
    for client in clients {
        while !client.is_finished() {
            progress(queue.progress());
            tokio::time::sleep(PROGRESS_INTERVAL).await;
        }
        let records = client.await;
        transactions.extend(records.map_err(|error| RunError::Environment(error.to_string()))?);
    }
    Ok(transactions)
}

async fn stop(tasks: Vec<JoinHandle<()>>) {
    for task in &tasks {
        task.abort();
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn await_closed_connections(databases: &[Database]) {
    let started = Instant::now();
    while databases
        .iter()
        .any(|database| database.open_connections() > 0)
        && started.elapsed() < CLOSE_TIMEOUT
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The number of rows that the databases hold, by transaction.
fn stored_rows(databases: &[Database]) -> BTreeMap<i64, usize> {
    let mut rows: BTreeMap<i64, usize> = BTreeMap::new();
    for database in databases {
        for row in database.rows("w") {
            if let Some(Value::Int(id)) = row.first() {
                *rows.entry(*id).or_default() += 1;
            }
        }
    }
    rows
}

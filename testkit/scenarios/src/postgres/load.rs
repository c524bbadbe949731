//! Load generator: clients with real PostgreSQL drivers that run transactions and record the outcome of each.

mod sqlx_driver;
mod tokio_postgres_driver;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use badgerpost_fakes::random::Random;
use tokio_postgres::NoTls;

use super::consistency::{ClientOutcome, TransactionKind, TransactionRecord};

pub(super) use sqlx_driver::SqlxDriver;
pub(super) use tokio_postgres_driver::TokioPostgresDriver;

/// Pause before the next attempt to connect, and after a rejected transaction.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Failed attempts to connect after which a client gives up.
const MAX_FAILED_CONNECTS: usize = 2000;
/// How many times the wanted number of transactions are run at most while faults are still outstanding.
const MAX_EXTENSION: i64 = 50;

/// Where clients connect, and their credentials.
#[derive(Clone, Debug)]
pub struct ConnectionParameters {
    /// The port, on 127.0.0.1.
    pub port: u16,
    /// The user.
    pub user: String,
    /// Its password.
    pub password: String,
    /// The database.
    pub database: String,
}

impl ConnectionParameters {
    /// The same for tokio-postgres.
    pub(super) fn tokio_postgres_config(&self) -> tokio_postgres::Config {
        let mut config = tokio_postgres::Config::new();
        config
            .host("127.0.0.1")
            .port(self.port)
            .user(&self.user)
            .password(&self.password)
            .dbname(&self.database);
        config
    }
}

/// Connects by tokio-postgres and drives the connection in a task of its own.
pub(super) async fn connect(
    config: &tokio_postgres::Config,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(client)
}

/// Numbers of the transactions to run, shared by all clients.
#[derive(Clone)]
pub(super) struct WorkQueue {
    next_id: Rc<Cell<i64>>,
    wanted: i64,
    /// Transactions go on beyond the wanted number.
    is_extended: Rc<Cell<bool>>,
    max: i64,
}

impl WorkQueue {
    /// As many transactions as wanted; up to `MAX_EXTENSION` times as many while the queue is extended.
    pub(super) fn new(wanted: u64) -> Self {
        let wanted = i64::try_from(wanted).unwrap_or(i64::MAX / 64);
        Self {
            next_id: Rc::new(Cell::new(1)),
            wanted,
            is_extended: Rc::new(Cell::new(false)),
            max: wanted.saturating_mul(MAX_EXTENSION),
        }
    }

    fn take(&self) -> Option<i64> {
        let id = self.next_id.get();
        let is_open = id <= self.wanted || (self.is_extended.get() && id <= self.max);
        is_open.then(|| {
            self.next_id.set(id + 1);
            id
        })
    }

    /// Sets whether transactions go on beyond the wanted number.
    pub(super) fn set_extended(&self, is_extended: bool) {
        self.is_extended.set(is_extended);
    }

    /// The transactions begun, as a fraction of the wanted number.
    pub(super) fn progress(&self) -> f64 {
        self.next_id.get() as f64 / self.wanted as f64
    }
}

/// How much of a transaction one message to the server holds.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageScope {
    /// The complete transaction: it may have been committed though the response was lost.
    CompleteTransaction,
    /// A part: nothing is committed before the COMMIT, which is a message of its own.
    PartialTransaction,
}

/// Why a transaction was not committed, as far as its client knows.
pub(super) struct TransactionFailure {
    outcome: ClientOutcome,
    /// The SQLSTATE code; without one, what the driver reports.
    code: String,
}

impl TransactionFailure {
    fn connection_lost() -> Self {
        Self {
            outcome: ClientOutcome::ConnectionLost,
            code: String::new(),
        }
    }
}

pub(super) type TransactionResult = Result<(), TransactionFailure>;

/// The outcome of a transaction that failed with this SQLSTATE code; none if the connection broke.
fn outcome_of_error(code: Option<&str>, scope: MessageScope) -> ClientOutcome {
    match code {
        None => ClientOutcome::ConnectionLost,
        Some("53300" | "57P03") => ClientOutcome::Rejected,
        Some("08007") => ClientOutcome::Unknown,
        Some("08006" | "57P01") if scope == MessageScope::CompleteTransaction => {
            ClientOutcome::Unknown
        }
        Some(_) => ClientOutcome::RolledBack,
    }
}

/// A transaction that was run, and its result.
pub(super) struct FinishedTransaction {
    kind: TransactionKind,
    result: TransactionResult,
}

/// A PostgreSQL driver, as the load generator uses it.
pub(super) trait ClientDriver {
    /// The driver's name in the outcome log.
    const NAME: &'static str;
    /// A connection by this driver.
    type Connection;

    /// A driver that connects with these parameters.
    fn new(parameters: &ConnectionParameters) -> Self;

    /// Opens a connection; none if that fails.
    async fn connect(&self) -> Option<Self::Connection>;

    /// Whether the driver knows that the connection is closed.
    fn is_closed(connection: &Self::Connection) -> bool;

    /// Runs one transaction of a random kind.
    async fn run_transaction(
        connection: &mut Self::Connection,
        id: i64,
        random: &mut Random,
    ) -> FinishedTransaction;

    /// Whether the connection can run another transaction after this outcome.
    async fn is_reusable(
        connection: &mut Self::Connection,
        kind: TransactionKind,
        outcome: ClientOutcome,
    ) -> bool;
}

/// Runs transactions one after the other until the queue is empty; records each.
pub(super) async fn run_client<D: ClientDriver>(
    parameters: ConnectionParameters,
    queue: WorkQueue,
    seed: u64,
) -> Vec<TransactionRecord> {
    let mut random = Random::new(seed, "client");
    let mut records = Vec::new();
    let driver = D::new(&parameters);
    let mut idle: Option<D::Connection> = None;
    let mut failed_connects = 0;
    while failed_connects < MAX_FAILED_CONNECTS {
        let open = match idle.take() {
            Some(connection) if !D::is_closed(&connection) => Some(connection),
            _ => driver.connect().await,
        };
        let Some(mut connection) = open else {
            failed_connects += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let Some(id) = queue.take() else { break };
        let started = Instant::now();
        let finished = D::run_transaction(&mut connection, id, &mut random).await;
        let record = record(D::NAME, id, finished, started.elapsed());
        let (kind, outcome) = (record.kind, record.outcome);
        records.push(record);
        let is_reusable = D::is_reusable(&mut connection, kind, outcome).await;
        idle = is_reusable.then_some(connection);
        if outcome == ClientOutcome::Rejected {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    records
}

fn record(
    driver: &'static str,
    id: i64,
    finished: FinishedTransaction,
    duration: Duration,
) -> TransactionRecord {
    let (outcome, code) = match finished.result {
        Ok(()) => (ClientOutcome::Committed, String::new()),
        Err(failure) => (failure.outcome, failure.code),
    };
    TransactionRecord {
        id,
        kind: finished.kind,
        driver,
        expected_rows: finished.kind.row_count(),
        outcome,
        code,
        duration_us: u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
    }
}

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

/// Pause after a failed attempt to connect, and after a rejected transaction.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Failed attempts to connect after which a client stops.
const MAX_FAILED_CONNECTS: usize = 2000;
/// Upper bound of the transactions, as a multiple of the wanted number, while required faults are outstanding.
const MAX_EXTENSION: i64 = 50;

/// The address, the database and the credentials with which clients connect.
#[derive(Clone, Debug)]
pub struct ConnectionParameters {
    /// The TCP port on 127.0.0.1.
    pub port: u16,
    /// The name of the user.
    pub user: String,
    /// The user's password.
    pub password: String,
    /// The name of the database.
    pub database: String,
}

impl ConnectionParameters {
    /// Converts the parameters to a configuration of tokio-postgres.
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

/// Connects by tokio-postgres and drives the connection in a separate task.
pub(super) async fn connect(
    config: &tokio_postgres::Config,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let (client, connection) = config.connect(NoTls).await?;
    tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Ok(client)
}

/// Assigns the numbers of the transactions to run; shared by all clients.
#[derive(Clone)]
pub(super) struct WorkQueue {
    next_id: Rc<Cell<i64>>,
    wanted: i64,
    /// Whether the limit is `max` instead of `wanted`.
    is_extended: Rc<Cell<bool>>,
    max: i64,
}

impl WorkQueue {
    /// A queue of `wanted` transactions, or up to `MAX_EXTENSION` times as many while the queue is extended.
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
        let is_allowed = id <= self.wanted || (self.is_extended.get() && id <= self.max);
        is_allowed.then(|| {
            self.next_id.set(id + 1);
            id
        })
    }

    /// Sets whether the queue assigns numbers beyond the wanted one.
    pub(super) fn set_extended(&self, is_extended: bool) {
        self.is_extended.set(is_extended);
    }

    /// The number of transactions begun divided by the wanted number; above 1 if the queue was extended.
    pub(super) fn progress(&self) -> f64 {
        self.next_id.get() as f64 / self.wanted as f64
    }
}

/// Whether the message that failed held a complete transaction.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageScope {
    /// The message held the complete transaction, which may be committed if the response was lost.
    CompleteTransaction,
    /// The message held a part of the transaction; nothing is committed before COMMIT, a separate message.
    PartialTransaction,
}

/// The outcome and the error code that the client received for a transaction that was not committed.
pub(super) struct TransactionFailure {
    outcome: ClientOutcome,
    /// The SQLSTATE code, or the driver's error if there is no code.
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

/// The outcome of a transaction that failed with this SQLSTATE code; the code is `None` if the connection closed.
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

/// The kind and the result of a transaction that was run.
pub(super) struct FinishedTransaction {
    kind: TransactionKind,
    result: TransactionResult,
}

/// Interface of the load generator to a PostgreSQL driver.
pub(super) trait ClientDriver {
    /// The driver's name in the outcome log.
    const NAME: &'static str;
    /// The driver's connection type.
    type Connection;

    /// Creates a driver that connects with these parameters.
    fn new(parameters: &ConnectionParameters) -> Self;

    /// Opens a connection; returns `None` if connecting fails.
    async fn connect(&self) -> Option<Self::Connection>;

    /// Whether the driver has detected that the connection is closed.
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

/// Runs transactions one after the other until the queue is empty, and returns their records.
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
        let usable = match idle.take() {
            Some(connection) if !D::is_closed(&connection) => Some(connection),
            _ => driver.connect().await,
        };
        let Some(mut connection) = usable else {
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

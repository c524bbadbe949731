//! Clients that use tokio-postgres: six kinds of transactions, by the simple and the extended query protocol and COPY.

use badgerpost_fakes::random::Random;
use bytes::Bytes;
use futures_util::SinkExt;
use tokio_postgres::{Client, Error};

use super::MessageScope::{CompleteTransaction, PartialTransaction};
use super::{
    ClientDriver, ConnectionParameters, FinishedTransaction, MessageScope, TransactionFailure,
    TransactionResult, connect, outcome_of_error,
};
use crate::postgres::consistency::{ClientOutcome, TransactionKind};

/// Runs the transactions of a client by tokio-postgres.
pub(in crate::postgres) struct TokioPostgresDriver {
    config: tokio_postgres::Config,
}

impl ClientDriver for TokioPostgresDriver {
    const NAME: &'static str = "tokio-postgres";
    type Connection = Client;

    fn new(parameters: &ConnectionParameters) -> Self {
        let mut config = parameters.tokio_postgres_config();
        config.application_name("rehearsal");
        Self { config }
    }

    async fn connect(&self) -> Option<Client> {
        connect(&self.config).await.ok()
    }

    fn is_closed(client: &Client) -> bool {
        client.is_closed()
    }

    async fn run_transaction(
        client: &mut Client,
        id: i64,
        random: &mut Random,
    ) -> FinishedTransaction {
        let kind = match random.between(0, 7) {
            0 | 1 => TransactionKind::Insert,
            2 => TransactionKind::Statements,
            3 | 4 => TransactionKind::Transaction,
            5 => TransactionKind::SingleQuery,
            6 => TransactionKind::Copy,
            _ => TransactionKind::Savepoint,
        };
        let result = match kind {
            TransactionKind::Insert => insert(client, id).await,
            TransactionKind::Statements => statements(client, id).await,
            TransactionKind::Transaction => transaction(client, id).await,
            TransactionKind::SingleQuery => single_query(client, id).await,
            TransactionKind::Copy => copy(client, id).await,
            TransactionKind::Savepoint => savepoint(client, id).await,
        };
        FinishedTransaction { kind, result }
    }

    async fn is_reusable(_: &mut Client, kind: TransactionKind, outcome: ClientOutcome) -> bool {
        // After a COPY that the server rejected, the driver sends CopyFail and a second Sync, and fails at the second
        // ReadyForQuery, with which any server responds.
        kind != TransactionKind::Copy || outcome == ClientOutcome::Committed
    }
}

fn failure(error: &Error, scope: MessageScope) -> TransactionFailure {
    let code = error.code().map(|code| code.code().to_owned());
    TransactionFailure {
        outcome: outcome_of_error(code.as_deref(), scope),
        // An error without a code is one of the driver or of the connection.
        code: code.unwrap_or_else(|| format!("{error:?}")),
    }
}

/// Converts an error of the driver to the failure of a transaction.
fn to_failure(scope: MessageScope) -> impl FnOnce(Error) -> TransactionFailure {
    move |error| failure(&error, scope)
}

/// The failure of a transaction after ROLLBACK; the connection is lost if ROLLBACK failed without an SQLSTATE code.
fn after_rollback(rollback: Result<(), Error>, failure: TransactionFailure) -> TransactionFailure {
    match rollback {
        Err(error) if error.code().is_none() => TransactionFailure::connection_lost(),
        _ => failure,
    }
}

async fn insert(client: &Client, id: i64) -> TransactionResult {
    client
        .execute("INSERT INTO w VALUES ($1, $2)", &[&id, &0_i32])
        .await
        .map(drop)
        .map_err(to_failure(CompleteTransaction))
}

/// BEGIN, each INSERT and COMMIT as a separate query.
async fn statements(client: &Client, id: i64) -> TransactionResult {
    let before_commit = [
        "BEGIN".to_owned(),
        format!("INSERT INTO w VALUES ({id}, 0)"),
        format!("INSERT INTO w VALUES ({id}, 1)"),
    ];
    for sql in &before_commit {
        if let Err(error) = client.batch_execute(sql).await {
            let failure = failure(&error, PartialTransaction);
            let rollback = client.batch_execute("ROLLBACK").await;
            return Err(after_rollback(rollback, failure));
        }
    }
    client
        .batch_execute("COMMIT")
        .await
        .map_err(to_failure(PartialTransaction))
}

/// A transaction of the driver's transaction API.
async fn transaction(client: &mut Client, id: i64) -> TransactionResult {
    let transaction = client
        .transaction()
        .await
        .map_err(to_failure(PartialTransaction))?;
    for row in 0..2_i32 {
        let insert = transaction
            .execute("INSERT INTO w VALUES ($1, $2)", &[&id, &row])
            .await;
        if let Err(error) = insert {
            let failure = failure(&error, PartialTransaction);
            return Err(after_rollback(transaction.rollback().await, failure));
        }
    }
    transaction
        .commit()
        .await
        .map_err(to_failure(PartialTransaction))
}

/// The complete transaction as one simple query of several statements.
async fn single_query(client: &Client, id: i64) -> TransactionResult {
    let sql =
        format!("BEGIN; INSERT INTO w VALUES ({id}, 0); INSERT INTO w VALUES ({id}, 1); COMMIT");
    let result = client
        .batch_execute(&sql)
        .await
        .map_err(to_failure(CompleteTransaction));
    if result.is_err() {
        // An error after BEGIN leaves the transaction open.
        let _ = client.batch_execute("ROLLBACK").await;
    }
    result
}

/// Inserts three rows by COPY.
async fn copy(client: &Client, id: i64) -> TransactionResult {
    let sink = client
        .copy_in("COPY w FROM STDIN")
        .await
        .map_err(to_failure(CompleteTransaction))?;
    let mut sink = std::pin::pin!(sink);
    for row in 0..3 {
        sink.send(Bytes::from(format!("{id}\t{row}\n")))
            .await
            .map_err(to_failure(CompleteTransaction))?;
    }
    sink.finish()
        .await
        .map(drop)
        .map_err(to_failure(CompleteTransaction))
}

/// Inserts two rows and rolls the second back to a savepoint.
async fn savepoint(client: &mut Client, id: i64) -> TransactionResult {
    let mut outer = client
        .transaction()
        .await
        .map_err(to_failure(PartialTransaction))?;
    let inserts = async {
        outer
            .execute("INSERT INTO w VALUES ($1, 0)", &[&id])
            .await?;
        let inner = outer.transaction().await?;
        inner
            .execute("INSERT INTO w VALUES ($1, 1)", &[&id])
            .await?;
        inner.rollback().await
    };
    if let Err(error) = inserts.await {
        let failure = failure(&error, PartialTransaction);
        return Err(after_rollback(outer.rollback().await, failure));
    }
    outer.commit().await.map_err(to_failure(PartialTransaction))
}

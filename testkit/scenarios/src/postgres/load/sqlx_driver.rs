//! Clients that use sqlx: single INSERTs and transactions.

use badgerpost_fakes::random::Random;
use sqlx::{ConnectOptions, Connection};

use super::{
    ClientDriver, ConnectionParameters, FinishedTransaction, MessageScope, TransactionFailure,
    TransactionResult, outcome_of_error,
};
use crate::postgres::consistency::{ClientOutcome, TransactionKind};

/// Runs the transactions of a client by sqlx.
pub(in crate::postgres) struct SqlxDriver {
    options: sqlx::postgres::PgConnectOptions,
}

impl ClientDriver for SqlxDriver {
    const NAME: &'static str = "sqlx";
    type Connection = sqlx::PgConnection;

    fn new(parameters: &ConnectionParameters) -> Self {
        let options = sqlx::postgres::PgConnectOptions::new()
            .host("127.0.0.1")
            .port(parameters.port)
            .username(&parameters.user)
            .password(&parameters.password)
            .database(&parameters.database)
            .application_name("rehearsal");
        Self { options }
    }

    async fn connect(&self) -> Option<Self::Connection> {
        self.options.connect().await.ok()
    }

    fn is_closed(_: &Self::Connection) -> bool {
        // sqlx does not report whether a connection is closed; `is_reusable` sends a ping.
        false
    }

    async fn run_transaction(
        connection: &mut Self::Connection,
        id: i64,
        random: &mut Random,
    ) -> FinishedTransaction {
        let kind = match random.between(0, 2) {
            0 => TransactionKind::Insert,
            _ => TransactionKind::Transaction,
        };
        let result = match kind {
            TransactionKind::Insert => insert(connection, id).await,
            _ => transaction(connection, id).await,
        };
        FinishedTransaction { kind, result }
    }

    async fn is_reusable(
        connection: &mut Self::Connection,
        _: TransactionKind,
        outcome: ClientOutcome,
    ) -> bool {
        outcome != ClientOutcome::ConnectionLost && connection.ping().await.is_ok()
    }
}

fn failure(error: &sqlx::Error, scope: MessageScope) -> TransactionFailure {
    let code = error
        .as_database_error()
        .and_then(sqlx::error::DatabaseError::code)
        .map(std::borrow::Cow::into_owned);
    TransactionFailure {
        outcome: outcome_of_error(code.as_deref(), scope),
        code: code.unwrap_or_default(),
    }
}

async fn insert(connection: &mut sqlx::PgConnection, id: i64) -> TransactionResult {
    sqlx::query("INSERT INTO w VALUES ($1, $2)")
        .bind(id)
        .bind(0_i32)
        .execute(connection)
        .await
        .map(drop)
        .map_err(|error| failure(&error, MessageScope::CompleteTransaction))
}

async fn transaction(connection: &mut sqlx::PgConnection, id: i64) -> TransactionResult {
    let failed = |error: sqlx::Error| failure(&error, MessageScope::PartialTransaction);
    let mut transaction = connection.begin().await.map_err(failed)?;
    for row in 0..2_i32 {
        let insert = sqlx::query("INSERT INTO w VALUES ($1, $2)")
            .bind(id)
            .bind(row);
        if let Err(error) = insert.execute(&mut *transaction).await {
            let failure = failed(error);
            let _ = transaction.rollback().await;
            return Err(failure);
        }
    }
    transaction.commit().await.map_err(failed)
}

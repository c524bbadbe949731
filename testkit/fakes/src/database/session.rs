//! A session: the settings, transaction, prepared statements and portals of one connection.

mod control;
mod cursors;
mod functions;
mod session_settings;
mod transaction;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sqlparser::ast::Statement;

use super::catalogue::CatalogueQuery;
use super::connection_id::ConnectionId;
use super::describe::{StatementDescription, describe};
use super::error::{SqlError, SqlState};
use super::executor::Executor;
use super::parse::parse_single_statement;
use super::prepared::{Portal, PreparedStatement};
use super::result::StatementResult;
use super::server_state::ServerState;
use super::settings::{Setting, Settings};
use super::storage::{ExecutionError, Transaction};
use super::sync::lock;
use super::value::{Type, Value};

/// The interval at which a blocked statement checks for cancellation and timeout.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The name of the internal savepoint that is set before each statement and undoes a failed statement.
const STATEMENT_SAVEPOINT: &str = "";

pub(super) struct Session {
    pub(super) server: Arc<ServerState>,
    pub(super) connection_id: ConnectionId,
    /// Set by a cancel request to cancel the current statement.
    pub(super) cancel_requested: Arc<AtomicBool>,
    user: String,
    database: String,
    settings: RefCell<Settings>,
    /// The settings with the client's start-up parameters applied; RESET restores these values.
    startup_settings: Settings,
    /// The settings that a rollback restores; `None` outside a transaction.
    settings_before_transaction: Option<Settings>,
    /// The earlier values of settings changed for this transaction only, in the order of the changes.
    settings_to_restore_at_commit: RefCell<Vec<Setting>>,
    /// The last value reported to the client, by setting name.
    reported_settings: BTreeMap<String, String>,
    transaction: Option<Transaction>,
    /// Whether the transaction was begun explicitly, by BEGIN.
    in_transaction_block: bool,
    /// Whether the transaction block has failed: only COMMIT, ROLLBACK and ROLLBACK TO SAVEPOINT are accepted.
    pub(super) transaction_failed: bool,
    is_read_only: bool,
    pub(super) prepared: BTreeMap<String, Arc<PreparedStatement>>,
    pub(super) portals: BTreeMap<String, Portal>,
    /// Cursors declared WITH HOLD, which stay open after their transaction.
    holdable_cursors: BTreeMap<String, Portal>,
    pub(super) listening_channels: Vec<String>,
    statement_started: Instant,
}

impl Session {
    pub(super) fn new(server: Arc<ServerState>, connection_id: ConnectionId) -> Self {
        let settings = Settings::new(&lock(&server.version));
        Self {
            server,
            connection_id,
            cancel_requested: Arc::default(),
            user: String::new(),
            database: String::new(),
            startup_settings: settings.clone(),
            settings: RefCell::new(settings),
            settings_before_transaction: None,
            settings_to_restore_at_commit: RefCell::default(),
            reported_settings: BTreeMap::new(),
            transaction: None,
            in_transaction_block: false,
            transaction_failed: false,
            is_read_only: false,
            prepared: BTreeMap::new(),
            portals: BTreeMap::new(),
            holdable_cursors: BTreeMap::new(),
            listening_channels: Vec::new(),
            statement_started: Instant::now(),
        }
    }

    /// Rolls back the open transaction, drops the session's temporary tables and releases its advisory locks.
    pub(super) fn close(&mut self) {
        self.rollback();
        lock(&self.server.store).drop_temporary_tables(&self.temporary_table_prefix());
        lock(&self.server.advisory_locks).release_all(self.connection_id);
    }

    /// The prefix of the stored names of the session's temporary tables.
    fn temporary_table_prefix(&self) -> String {
        format!("pg_temp_{}.", self.connection_id.0)
    }

    /// Prepares a statement. `parameter_types` are the types that the client specified, possibly for the first
    /// parameters only; type 0 leaves a type unspecified.
    pub(super) fn prepare(
        &mut self,
        sql: &str,
        parameter_types: &[Type],
    ) -> Result<PreparedStatement, SqlError> {
        if let Some(query) = CatalogueQuery::recognize(sql).filter(|_| !self.transaction_failed) {
            return Ok(PreparedStatement {
                sql: sql.to_owned(),
                // A placeholder: the parser may not support the query, which `execute_statement` recognizes by text.
                statement: parse_single_statement("SELECT 1")?,
                parameters: query.parameters,
                columns: query.columns,
            });
        }
        let statement = parse_single_statement(sql)?;
        let description = match &statement {
            Some(statement) => {
                self.check_not_failed(statement)?;
                describe(statement, parameter_types, &self.server.store, &*self)?
            }
            None => StatementDescription {
                parameters: parameter_types.to_vec(),
                columns: Vec::new(),
            },
        };
        Ok(PreparedStatement {
            sql: sql.to_owned(),
            statement,
            parameters: description.parameters,
            columns: description.columns,
        })
    }

    /// Executes a statement. Blocks while a conflicting transaction is active.
    pub(super) fn execute(
        &mut self,
        statement: &Statement,
        values: &[Value],
    ) -> Result<StatementResult, SqlError> {
        self.server.statement_count.fetch_add(1, Ordering::SeqCst);
        self.statement_started = Instant::now();
        self.cancel_requested.store(false, Ordering::SeqCst);
        self.check_not_failed(statement)?;
        if let Some(result) = self.execute_session_statement(statement)? {
            return Ok(result);
        }
        self.begin_if_needed();
        self.check_not_read_only(statement)?;
        let mut transaction = self
            .transaction
            .take()
            .ok_or_else(SqlError::failed_transaction)?;
        let result = self.execute_atomically(statement, values, &mut transaction);
        self.transaction = Some(transaction);
        result
    }

    /// Executes a statement on tables and undoes its changes if it fails.
    fn execute_atomically(
        &self,
        statement: &Statement,
        values: &[Value],
        transaction: &mut Transaction,
    ) -> Result<StatementResult, SqlError> {
        let store = &self.server.store;
        lock(store).savepoint(transaction, STATEMENT_SAVEPOINT.to_owned());
        let result = self.execute_until_unblocked(statement, values, transaction);
        let mut store = lock(store);
        if result.is_err() {
            let _ = store.rollback_to(transaction, STATEMENT_SAVEPOINT);
        }
        let _ = store.release(transaction, STATEMENT_SAVEPOINT);
        result
    }

    /// Executes a statement; whenever another transaction blocks it, waits for that transaction to end and retries.
    fn execute_until_unblocked(
        &self,
        statement: &Statement,
        values: &[Value],
        transaction: &mut Transaction,
    ) -> Result<StatementResult, SqlError> {
        let store = &self.server.store;
        loop {
            let mut executor = Executor {
                store,
                transaction: &mut *transaction,
                values,
                context: self,
            };
            match executor.execute(statement) {
                Ok(result) => return Ok(result),
                Err(ExecutionError::Failed(error)) => return Err(error),
                Err(ExecutionError::BlockedBy(other)) => {
                    let _ = lock(store).rollback_to(transaction, STATEMENT_SAVEPOINT);
                    self.wait_while(|| lock(store).is_active(other))?;
                }
            }
        }
    }

    /// Inserts the rows of a COPY FROM in text format. Returns the number of rows. A conflict with another transaction
    /// fails at once.
    pub(super) fn copy_in(
        &mut self,
        table: &str,
        columns: &[String],
        text: &str,
    ) -> Result<u64, SqlError> {
        self.begin_if_needed();
        let mut transaction = self
            .transaction
            .take()
            .ok_or_else(SqlError::failed_transaction)?;
        let mut executor = Executor {
            store: &self.server.store,
            transaction: &mut transaction,
            values: &[],
            context: &*self,
        };
        let copied = executor.copy_in(table, columns, text);
        self.transaction = Some(transaction);
        copied.map_err(|error| match error {
            ExecutionError::Failed(error) => error,
            ExecutionError::BlockedBy(_) => SqlError::new(
                SqlState::DEADLOCK_DETECTED,
                "COPY conflicts with a key of an active transaction, and the fake server does not wait for its end",
            ),
        })
    }

    /// In a failed transaction block, rejects all statements except COMMIT, ROLLBACK and ROLLBACK TO SAVEPOINT.
    fn check_not_failed(&self, statement: &Statement) -> Result<(), SqlError> {
        if self.transaction_failed && !ends_transaction(statement) {
            return Err(SqlError::failed_transaction());
        }
        Ok(())
    }

    fn check_not_read_only(&self, statement: &Statement) -> Result<(), SqlError> {
        let only_reads = matches!(statement, Statement::Query(query) if query.locks.is_empty());
        if !self.is_read_only || only_reads {
            return Ok(());
        }
        let text = statement.to_string();
        let command = text.split(' ').next().unwrap_or_default().to_uppercase();
        Err(SqlError::new(
            SqlState::READ_ONLY_SQL_TRANSACTION,
            format!("cannot execute {command} in a read-only transaction"),
        ))
    }

    /// Blocks while `condition` holds. Fails if the statement is cancelled or times out, or if the server goes down.
    fn wait_while(&self, condition: impl Fn() -> bool) -> Result<(), SqlError> {
        let timeout = self.statement_timeout();
        while condition() {
            if self.cancel_requested.swap(false, Ordering::SeqCst) {
                return Err(SqlError::new(
                    SqlState::QUERY_CANCELED,
                    "canceling statement due to user request",
                ));
            }
            if timeout.is_some_and(|timeout| self.statement_started.elapsed() >= timeout) {
                return Err(SqlError::new(
                    SqlState::QUERY_CANCELED,
                    "canceling statement due to statement timeout",
                ));
            }
            if !self.server.is_up() {
                return Err(SqlError::admin_shutdown());
            }
            self.server.wait_for_transaction_end(CANCEL_POLL_INTERVAL);
        }
        Ok(())
    }

    /// The setting `statement_timeout`; `None` if it is 0, which disables the timeout.
    fn statement_timeout(&self) -> Option<Duration> {
        let setting = self.setting("statement_timeout").ok()?;
        let milliseconds: u64 = setting.parse().ok()?;
        (milliseconds > 0).then(|| Duration::from_millis(milliseconds))
    }
}

/// Whether a statement is COMMIT, ROLLBACK or ROLLBACK TO SAVEPOINT.
pub(super) fn ends_transaction(statement: &Statement) -> bool {
    matches!(
        statement,
        Statement::Commit { .. } | Statement::Rollback { .. }
    )
}

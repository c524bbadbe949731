//! Transaction control. States of a session, and the events that lead from one to another:
//!
//! ```text
//!         statement             BEGIN               error
//! idle ------------> implicit ---------> block ------------> failed block
//!   ^                   |        ^         |                      |
//!   |                   |        +---------|----- ROLLBACK TO ----+
//!   +-- Sync, error ----+------ COMMIT, ROLLBACK -----------------+
//! ```

use std::sync::atomic::Ordering;

use sqlparser::ast::{TransactionAccessMode, TransactionMode};

use super::Session;
use crate::database::error::{SqlError, SqlState};
use crate::database::result::StatementResult;
use crate::database::storage::Transaction;
use crate::database::sync::lock;

/// The transaction status in `ReadyForQuery` outside a transaction block.
const STATUS_IDLE: u8 = b'I';
/// The transaction status in a transaction block.
const STATUS_IN_BLOCK: u8 = b'T';
/// The transaction status in a failed transaction block.
const STATUS_FAILED_BLOCK: u8 = b'E';

impl Session {
    /// The transaction status byte of `ReadyForQuery`.
    pub(crate) fn transaction_status(&self) -> u8 {
        match (self.in_transaction_block, self.transaction_failed) {
            (false, _) => STATUS_IDLE,
            (true, false) => STATUS_IN_BLOCK,
            (true, true) => STATUS_FAILED_BLOCK,
        }
    }

    /// Begins an implicit transaction if none is open.
    pub(crate) fn begin_if_needed(&mut self) {
        if self.transaction.is_some() {
            return;
        }
        self.server.transaction_count.fetch_add(1, Ordering::SeqCst);
        self.settings_before_transaction = Some(self.settings.borrow().clone());
        self.transaction = Some(lock(&self.server.store).begin());
        self.is_read_only = self
            .setting("default_transaction_read_only")
            .is_ok_and(|value| value == "on");
    }

    /// Commits the open transaction, if any. Fails if the server is down.
    pub(super) fn commit(&mut self) -> Result<(), SqlError> {
        let Some(transaction) = self.take_transaction() else {
            return Ok(());
        };
        self.settings_before_transaction = None;
        self.restore_replaced_settings();
        // A crash sets `is_up` under the same lock, so that nothing is committed after the crash.
        let mut store = lock(&self.server.store);
        if !self.server.is_up() {
            store.rollback(transaction);
            return Err(SqlError::admin_shutdown());
        }
        store.commit(transaction);
        drop(store);
        self.server.notify_transaction_ended();
        Ok(())
    }

    /// Rolls back the open transaction, if any, together with the settings changed in it.
    pub(super) fn rollback(&mut self) {
        let Some(transaction) = self.take_transaction() else {
            return;
        };
        self.settings_to_restore_at_commit.borrow_mut().clear();
        if let Some(settings) = self.settings_before_transaction.take() {
            self.settings.replace(settings);
        }
        lock(&self.server.store).rollback(transaction);
        self.server.notify_transaction_ended();
    }

    /// Leaves the transaction block and closes all portals. Returns the open transaction, for the caller to end.
    fn take_transaction(&mut self) -> Option<Transaction> {
        self.in_transaction_block = false;
        self.transaction_failed = false;
        self.portals.clear();
        self.transaction.take()
    }

    fn restore_replaced_settings(&self) {
        let mut settings = self.settings.borrow_mut();
        for replaced in self
            .settings_to_restore_at_commit
            .borrow_mut()
            .drain(..)
            .rev()
        {
            settings.restore(&replaced.name, replaced.value);
        }
    }

    /// Commits the implicit transaction; does nothing in a transaction block.
    pub(crate) fn end_implicit_transaction(&mut self) -> Result<(), SqlError> {
        if self.in_transaction_block {
            Ok(())
        } else {
            self.commit()
        }
    }

    /// Handles an error: marks a transaction block as failed, rolls back an implicit transaction.
    pub(crate) fn fail_transaction(&mut self) {
        if self.in_transaction_block {
            self.transaction_failed = true;
        } else {
            self.rollback();
        }
    }

    /// BEGIN. Has no effect in a transaction block.
    pub(super) fn start_transaction(&mut self, modes: &[TransactionMode]) -> StatementResult {
        if !self.in_transaction_block {
            self.begin_if_needed();
            self.in_transaction_block = true;
            self.set_transaction_modes(modes);
        }
        StatementResult::command("BEGIN")
    }

    /// COMMIT. Rolls back a failed transaction block.
    pub(super) fn commit_statement(&mut self, chain: bool) -> Result<StatementResult, SqlError> {
        let has_failed = self.transaction_failed;
        if has_failed {
            self.rollback();
        } else {
            self.commit()?;
        }
        if chain {
            self.chain_transaction();
        }
        Ok(StatementResult::command(if has_failed {
            "ROLLBACK"
        } else {
            "COMMIT"
        }))
    }

    pub(super) fn rollback_statement(&mut self, chain: bool) -> StatementResult {
        self.rollback();
        if chain {
            self.chain_transaction();
        }
        StatementResult::command("ROLLBACK")
    }

    /// AND CHAIN: begins a new transaction block.
    fn chain_transaction(&mut self) {
        self.begin_if_needed();
        self.in_transaction_block = true;
    }

    pub(super) fn rollback_to_savepoint(
        &mut self,
        name: &str,
    ) -> Result<StatementResult, SqlError> {
        self.require_transaction_block("ROLLBACK TO SAVEPOINT")?;
        if let Some(transaction) = &mut self.transaction {
            lock(&self.server.store).rollback_to(transaction, name)?;
        }
        self.transaction_failed = false;
        Ok(StatementResult::command("ROLLBACK"))
    }

    pub(super) fn set_savepoint(&mut self, name: &str) -> Result<StatementResult, SqlError> {
        self.require_transaction_block("SAVEPOINT")?;
        if let Some(transaction) = &mut self.transaction {
            lock(&self.server.store).savepoint(transaction, name.to_owned());
        }
        Ok(StatementResult::command("SAVEPOINT"))
    }

    pub(super) fn release_savepoint(&mut self, name: &str) -> Result<StatementResult, SqlError> {
        self.require_transaction_block("RELEASE SAVEPOINT")?;
        if let Some(transaction) = &mut self.transaction {
            lock(&self.server.store).release(transaction, name)?;
        }
        Ok(StatementResult::command("RELEASE"))
    }

    /// Fails outside a transaction block; `command` is named in the error.
    pub(super) fn require_transaction_block(&self, command: &str) -> Result<(), SqlError> {
        if self.in_transaction_block {
            return Ok(());
        }
        Err(SqlError::new(
            SqlState::NO_ACTIVE_SQL_TRANSACTION,
            format!("{command} can only be used in transaction blocks"),
        ))
    }

    /// Applies the transaction modes of BEGIN or SET TRANSACTION.
    pub(super) fn set_transaction_modes(&mut self, modes: &[TransactionMode]) {
        for mode in modes {
            match mode {
                TransactionMode::AccessMode(access) => {
                    self.is_read_only = *access == TransactionAccessMode::ReadOnly;
                }
                TransactionMode::IsolationLevel(level) => {
                    self.save_until_transaction_end("transaction_isolation");
                    let level = level.to_string().to_lowercase();
                    let _ = self.set("transaction_isolation", &level);
                }
            }
        }
    }
}

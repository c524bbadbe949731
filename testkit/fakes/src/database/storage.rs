//! In-memory tables, and the transactions that change them.
//!
//! A transaction sees committed changes and its own changes. Each row version records the transactions that created and
//! deleted it. A transaction that changes a row which another open transaction has changed is blocked until that
//! transaction ends, as in PostgreSQL. The changes of a transaction are recorded so that a rollback can undo them.

mod table;
mod transaction;

use std::collections::{BTreeMap, BTreeSet};

use super::error::SqlError;
use super::value::Value;

pub(super) use table::{Column, RowView, StoredRow, Table, UniqueConstraint};
pub(super) use transaction::{Transaction, TransactionId};

use table::RowVersion;
use transaction::{Change, Savepoint};

/// Why a statement was not executed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExecutionError {
    /// The statement failed.
    #[error(transparent)]
    Failed(#[from] SqlError),
    /// The statement must be executed again after this transaction has ended.
    #[error("blocked by transaction {}, which has not ended", .0.0)]
    BlockedBy(TransactionId),
}

/// How an insert handles a row whose unique key already exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DuplicateKey {
    /// The statement fails.
    Fail,
    /// The row is not inserted.
    Skip,
}

/// All tables and open transactions of a database.
#[derive(Default)]
pub(super) struct Store {
    tables: BTreeMap<String, Table>,
    active_transactions: BTreeSet<TransactionId>,
    last_transaction_id: TransactionId,
    /// The number of committed transactions that had made changes.
    pub(super) committed_writes: u64,
}

impl Store {
    /// Begins a transaction.
    pub(super) fn begin(&mut self) -> Transaction {
        self.last_transaction_id.0 += 1;
        self.active_transactions.insert(self.last_transaction_id);
        Transaction {
            id: self.last_transaction_id,
            changes: Vec::new(),
            savepoints: Vec::new(),
        }
    }

    /// Commits a transaction, and removes the row versions that the transaction has deleted.
    pub(super) fn commit(&mut self, transaction: Transaction) {
        self.committed_writes += u64::from(!transaction.changes.is_empty());
        for change in transaction.changes {
            if let Change::Deleted { table, row_id } = change {
                self.remove_deleted_row(&table, row_id, transaction.id);
            }
        }
        self.active_transactions.remove(&transaction.id);
    }

    fn remove_deleted_row(&mut self, table: &str, row_id: u64, transaction: TransactionId) {
        let Some(table) = self.tables.get_mut(table) else {
            return;
        };
        let is_deleted = table
            .rows
            .get(&row_id)
            .is_some_and(|row| row.deleted_by == Some(transaction));
        if is_deleted {
            table.remove_row(row_id);
        }
    }

    /// Rolls a transaction back: undoes all its changes and ends it.
    pub(super) fn rollback(&mut self, mut transaction: Transaction) {
        self.undo_changes(&mut transaction, 0);
        self.active_transactions.remove(&transaction.id);
    }

    /// Undoes a transaction's changes in reverse order, except for the first `remaining` changes.
    fn undo_changes(&mut self, transaction: &mut Transaction, remaining: usize) {
        while transaction.changes.len() > remaining {
            if let Some(change) = transaction.changes.pop() {
                self.undo(change);
            }
        }
    }

    fn undo(&mut self, change: Change) {
        match change {
            Change::Inserted { table, row_id } => {
                if let Some(table) = self.tables.get_mut(&table) {
                    table.remove_row(row_id);
                }
            }
            Change::Deleted { table, row_id } => {
                let table = self.tables.get_mut(&table);
                if let Some(row) = table.and_then(|table| table.rows.get_mut(&row_id)) {
                    row.deleted_by = None;
                }
            }
            Change::TableCreated { name } => {
                self.tables.remove(&name);
            }
            Change::TableDropped { name, table } => {
                self.tables.insert(name, *table);
            }
        }
    }

    /// Whether a transaction is still open.
    pub(super) fn is_active(&self, transaction: TransactionId) -> bool {
        self.active_transactions.contains(&transaction)
    }

    /// Sets a savepoint. A name may be used several times; the latest savepoint hides the earlier ones.
    pub(super) fn savepoint(&self, transaction: &mut Transaction, name: String) {
        let change_count = transaction.changes.len();
        transaction
            .savepoints
            .push(Savepoint { name, change_count });
    }

    /// Releases a savepoint, and all savepoints set after it.
    pub(super) fn release(
        &self,
        transaction: &mut Transaction,
        name: &str,
    ) -> Result<(), SqlError> {
        let position = transaction.savepoint_position(name)?;
        transaction.savepoints.truncate(position);
        Ok(())
    }

    /// Rolls back to a savepoint: undoes all changes since it was set, and releases all later savepoints. The savepoint
    /// itself stays valid.
    pub(super) fn rollback_to(
        &mut self,
        transaction: &mut Transaction,
        name: &str,
    ) -> Result<(), SqlError> {
        let position = transaction.savepoint_position(name)?;
        transaction.savepoints.truncate(position + 1);
        let change_count = transaction.savepoints[position].change_count;
        self.undo_changes(transaction, change_count);
        Ok(())
    }

    /// Finds a table by its stored name.
    pub(super) fn table(&self, name: &str) -> Result<&Table, SqlError> {
        self.tables
            .get(name)
            .ok_or_else(|| SqlError::undefined_table(name))
    }

    /// Finds a table by its stored name, for modification.
    pub(super) fn table_mut(&mut self, name: &str) -> Result<&mut Table, SqlError> {
        self.tables
            .get_mut(name)
            .ok_or_else(|| SqlError::undefined_table(name))
    }

    /// Whether a table with this stored name exists.
    pub(super) fn has_table(&self, name: &str) -> bool {
        self.tables.contains_key(name)
    }

    /// Creates a table. The caller ensures that no table with this name exists.
    pub(super) fn create_table(
        &mut self,
        transaction: &mut Transaction,
        name: String,
        table: Table,
    ) {
        self.tables.insert(name.clone(), table);
        transaction.changes.push(Change::TableCreated { name });
    }

    /// Drops a table, if it exists.
    pub(super) fn drop_table(&mut self, transaction: &mut Transaction, name: &str) {
        if let Some(table) = self.tables.remove(name) {
            transaction.changes.push(Change::TableDropped {
                name: name.to_owned(),
                table: Box::new(table),
            });
        }
    }

    /// Drops the temporary tables of a session, all tables whose stored names start with `prefix`.
    pub(super) fn drop_temporary_tables(&mut self, prefix: &str) {
        self.tables.retain(|name, _| !name.starts_with(prefix));
    }

    /// The rows of a table that are visible to the transaction `reader`: committed rows and its own. Without a `reader`,
    /// only committed rows. With a `key`, only the rows that have this value in the unique column.
    pub(super) fn visible_rows(
        &self,
        table: &str,
        reader: Option<TransactionId>,
        key: Option<&Value>,
    ) -> Result<Vec<RowView<'_>>, SqlError> {
        let table = self.table(table)?;
        let is_visible = |row: &RowVersion| self.is_visible(row, reader);
        let views = match key {
            None => {
                let rows = table.rows.iter().filter(|(_, row)| is_visible(row));
                rows.map(|(id, row)| row.view(*id)).collect()
            }
            Some(key) => {
                let rows = table
                    .row_ids_by_key(key)
                    .filter_map(|row_id| table.rows.get_key_value(row_id))
                    .filter(|(_, row)| is_visible(row));
                rows.map(|(id, row)| row.view(*id)).collect()
            }
        };
        Ok(views)
    }

    fn is_visible(&self, row: &RowVersion, reader: Option<TransactionId>) -> bool {
        let is_in_effect = |transaction: TransactionId| {
            Some(transaction) == reader || !self.active_transactions.contains(&transaction)
        };
        is_in_effect(row.created_by) && !row.deleted_by.is_some_and(is_in_effect)
    }

    /// Inserts a row. Returns `false` if the row was skipped because its unique key already exists.
    pub(super) fn insert(
        &mut self,
        transaction: &mut Transaction,
        table_name: &str,
        values: Vec<Value>,
        duplicate_key: DuplicateKey,
    ) -> Result<bool, ExecutionError> {
        let table = self
            .tables
            .get_mut(table_name)
            .ok_or_else(|| SqlError::undefined_table(table_name))?;
        table.check_not_null(table_name, &values)?;
        if table.has_duplicate(&values, transaction.id, &self.active_transactions)? {
            return match duplicate_key {
                DuplicateKey::Skip => Ok(false),
                DuplicateKey::Fail => Err(table.unique_violation().into()),
            };
        }
        let row_id = table.add_row(values, transaction.id);
        transaction.changes.push(Change::Inserted {
            table: table_name.to_owned(),
            row_id,
        });
        Ok(true)
    }

    /// Deletes a row, if it exists.
    pub(super) fn delete(
        &mut self,
        transaction: &mut Transaction,
        table_name: &str,
        row_id: u64,
    ) -> Result<(), ExecutionError> {
        let table = self.table_mut(table_name)?;
        let Some(row) = table.rows.get_mut(&row_id) else {
            return Ok(());
        };
        if let Some(other) = row.deleted_by.filter(|other| *other != transaction.id) {
            return Err(ExecutionError::BlockedBy(other));
        }
        row.deleted_by = Some(transaction.id);
        transaction.changes.push(Change::Deleted {
            table: table_name.to_owned(),
            row_id,
        });
        Ok(())
    }
}

//! Tables in memory and the transactions that change them.
//!
//! A transaction sees what is committed and its own changes. Row versions carry the transactions that created and
//! deleted them; a transaction that would change a row which another open transaction has changed has to wait for it,
//! as at a server. Its changes are recorded so that a rollback undoes them.

mod table;
mod transaction;

use std::collections::{BTreeMap, BTreeSet};

use super::error::SqlError;
use super::value::Value;

pub(super) use table::{Column, RowView, StoredRow, Table, UniqueConstraint};
pub(super) use transaction::{Transaction, TransactionId};

use table::RowVersion;
use transaction::{Change, Savepoint};

/// Why a statement could not be executed now.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExecutionError {
    /// The statement has failed.
    #[error(transparent)]
    Failed(#[from] SqlError),
    /// This transaction has to end first; then the statement is to be executed again.
    #[error("transaction {} has to end first", .0.0)]
    BlockedBy(TransactionId),
}

/// What happens to a new row whose unique key is there already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DuplicateKey {
    /// The statement fails.
    Fail,
    /// The row is not inserted.
    Skip,
}

/// All tables of a database, and its open transactions.
#[derive(Default)]
pub(super) struct Store {
    tables: BTreeMap<String, Table>,
    active: BTreeSet<TransactionId>,
    last_transaction: TransactionId,
    /// Transactions that were committed and had changed something.
    pub(super) committed_writes: u64,
}

impl Store {
    /// Begins a transaction.
    pub(super) fn begin(&mut self) -> Transaction {
        self.last_transaction.0 += 1;
        self.active.insert(self.last_transaction);
        Transaction {
            id: self.last_transaction,
            changes: Vec::new(),
            savepoints: Vec::new(),
        }
    }

    /// Commits a transaction: rows that it has deleted are removed.
    pub(super) fn commit(&mut self, transaction: Transaction) {
        self.committed_writes += u64::from(!transaction.changes.is_empty());
        for change in transaction.changes {
            if let Change::Deleted { table, row_id } = change {
                self.remove_deleted_row(&table, row_id, transaction.id);
            }
        }
        self.active.remove(&transaction.id);
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

    /// Undoes all changes of a transaction and ends it.
    pub(super) fn rollback(&mut self, mut transaction: Transaction) {
        self.undo_changes(&mut transaction, 0);
        self.active.remove(&transaction.id);
    }

    /// Undoes a transaction's changes, the last one first, until only `remaining` are left.
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

    /// Whether a transaction has not ended yet.
    pub(super) fn is_active(&self, transaction: TransactionId) -> bool {
        self.active.contains(&transaction)
    }

    /// Sets a savepoint; the same name may be set again.
    pub(super) fn savepoint(&self, transaction: &mut Transaction, name: String) {
        let change_count = transaction.changes.len();
        transaction
            .savepoints
            .push(Savepoint { name, change_count });
    }

    /// Forgets a savepoint and all later ones.
    pub(super) fn release(
        &self,
        transaction: &mut Transaction,
        name: &str,
    ) -> Result<(), SqlError> {
        let position = transaction.savepoint_position(name)?;
        transaction.savepoints.truncate(position);
        Ok(())
    }

    /// Undoes all changes after a savepoint, which stays set.
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

    /// A table by its stored name.
    pub(super) fn table(&self, name: &str) -> Result<&Table, SqlError> {
        self.tables
            .get(name)
            .ok_or_else(|| SqlError::undefined_table(name))
    }

    /// A table by its stored name, to be changed.
    pub(super) fn table_mut(&mut self, name: &str) -> Result<&mut Table, SqlError> {
        self.tables
            .get_mut(name)
            .ok_or_else(|| SqlError::undefined_table(name))
    }

    /// Whether there is a table of this stored name.
    pub(super) fn has_table(&self, name: &str) -> bool {
        self.tables.contains_key(name)
    }

    /// Creates a table. There must be none of this name.
    pub(super) fn create_table(
        &mut self,
        transaction: &mut Transaction,
        name: String,
        table: Table,
    ) {
        self.tables.insert(name.clone(), table);
        transaction.changes.push(Change::TableCreated { name });
    }

    /// Drops a table, if there is one of this name.
    pub(super) fn drop_table(&mut self, transaction: &mut Transaction, name: &str) {
        if let Some(table) = self.tables.remove(name) {
            transaction.changes.push(Change::TableDropped {
                name: name.to_owned(),
                table: Box::new(table),
            });
        }
    }

    /// Drops the temporary tables of a session, by the prefix of their stored names.
    pub(super) fn drop_temporary_tables(&mut self, prefix: &str) {
        self.tables.retain(|name, _| !name.starts_with(prefix));
    }

    /// The rows of a table that are committed or were written by `reader`; with `key`, only those that have it in the
    /// unique column.
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
        let applies = |transaction: TransactionId| {
            Some(transaction) == reader || !self.active.contains(&transaction)
        };
        applies(row.created_by) && !row.deleted_by.is_some_and(applies)
    }

    /// Inserts a row. Returns whether it was inserted: not if its unique key is there and that is to be skipped.
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
        if table.has_duplicate(&values, transaction.id, &self.active)? {
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

    /// Deletes a row, if it is there.
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

//! Tables in memory and the transactions that change them.
//!
//! A transaction sees what is committed and its own changes. Row versions carry the transactions that created and
//! deleted them; a transaction that would change a row which another open transaction has changed has to wait for it,
//! as at a server. Its changes are recorded so that a rollback undoes them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::error::{SqlError, SqlState};
use super::value::{Type, Value};

/// The number of a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TransactionId(pub(super) u64);

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

/// A column of a table.
#[derive(Clone, Debug)]
pub(super) struct Column {
    pub(super) name: String,
    pub(super) data_type: Type,
    pub(super) not_null: bool,
    /// The default, as SQL text.
    pub(super) default: Option<String>,
    /// Whether the default is a number of its own for each row.
    pub(super) is_serial: bool,
}

/// A constraint that the values of one column are unique.
#[derive(Clone, Debug)]
pub(super) struct UniqueConstraint {
    /// The position of the column.
    pub(super) column: usize,
    /// The constraint's name, for errors.
    pub(super) name: String,
}

/// A copy of a row.
#[derive(Clone, Debug)]
pub(super) struct StoredRow {
    /// The row's number in its table.
    pub(super) id: u64,
    pub(super) values: Vec<Value>,
}

/// A row as a transaction sees it.
pub(super) struct RowView<'a> {
    /// The row's number in its table.
    pub(super) id: u64,
    pub(super) values: &'a [Value],
}

impl RowView<'_> {
    pub(super) fn to_stored(&self) -> StoredRow {
        StoredRow {
            id: self.id,
            values: self.values.to_vec(),
        }
    }
}

/// One version of a row.
struct RowVersion {
    values: Vec<Value>,
    created_by: TransactionId,
    deleted_by: Option<TransactionId>,
}

/// A table: its columns, its rows, and an index on the unique column if there is one.
#[derive(Default)]
pub(super) struct Table {
    pub(super) columns: Vec<Column>,
    pub(super) unique: Option<UniqueConstraint>,
    rows: BTreeMap<u64, RowVersion>,
    /// The ids of rows by the text of their unique column.
    index: HashMap<String, BTreeSet<u64>>,
    next_row_id: u64,
    last_serial: i64,
}

/// A change, with what undoes it.
enum Change {
    Inserted { table: String, row_id: u64 },
    Deleted { table: String, row_id: u64 },
    TableCreated { name: String },
    TableDropped { name: String, table: Box<Table> },
}

/// A named point of a transaction to which it can be rolled back.
struct Savepoint {
    name: String,
    /// How many changes the transaction had made.
    change_count: usize,
}

/// A transaction that has not ended. It is ended by [`Store::commit`] or [`Store::rollback`].
pub(super) struct Transaction {
    pub(super) id: TransactionId,
    changes: Vec<Change>,
    savepoints: Vec<Savepoint>,
}

impl Transaction {
    /// The position of the last savepoint of this name.
    fn savepoint_position(&self, name: &str) -> Result<usize, SqlError> {
        let position = self
            .savepoints
            .iter()
            .rposition(|savepoint| savepoint.name == name);
        position.ok_or_else(|| {
            SqlError::new(
                SqlState::INVALID_SAVEPOINT_SPECIFICATION,
                format!("savepoint \"{name}\" does not exist"),
            )
        })
    }
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

/// The key of a value in an index.
fn index_key(value: &Value) -> String {
    value.text(Type::TEXT)
}

impl Table {
    /// Removes a row and its entry in the index.
    fn remove_row(&mut self, row_id: u64) {
        self.remove_from_index(row_id);
        self.rows.remove(&row_id);
    }

    fn remove_from_index(&mut self, row_id: u64) {
        let (Some(row), Some(unique)) = (self.rows.get(&row_id), &self.unique) else {
            return;
        };
        let key = index_key(&row.values[unique.column]);
        if let Some(row_ids) = self.index.get_mut(&key) {
            row_ids.remove(&row_id);
            if row_ids.is_empty() {
                self.index.remove(&key);
            }
        }
    }

    /// The next number of its serial columns.
    pub(super) fn next_serial(&mut self) -> i64 {
        self.last_serial += 1;
        self.last_serial
    }

    fn check_not_null(&self, table_name: &str, values: &[Value]) -> Result<(), SqlError> {
        for (column, value) in self.columns.iter().zip(values) {
            if column.not_null && *value == Value::Null {
                let message = format!(
                    "null value in column \"{}\" of relation \"{table_name}\" violates not-null constraint",
                    column.name
                );
                return Err(SqlError::new(SqlState::NOT_NULL_VIOLATION, message));
            }
        }
        Ok(())
    }

    /// Whether another row has the unique key of these values. Blocked while an open transaction decides about one.
    fn has_duplicate(
        &self,
        values: &[Value],
        transaction: TransactionId,
        active: &BTreeSet<TransactionId>,
    ) -> Result<bool, ExecutionError> {
        let Some(unique) = &self.unique else {
            return Ok(false);
        };
        let row_ids = self.index.get(&index_key(&values[unique.column]));
        let rows = row_ids.into_iter().flatten();
        for row in rows.filter_map(|row_id| self.rows.get(row_id)) {
            if row.deleted_by == Some(transaction) {
                continue;
            }
            if row.created_by != transaction && active.contains(&row.created_by) {
                return Err(ExecutionError::BlockedBy(row.created_by));
            }
            if let Some(deleting) = row.deleted_by {
                return Err(ExecutionError::BlockedBy(deleting));
            }
            return Ok(true);
        }
        Ok(false)
    }

    /// The error for a row whose unique key is there already.
    fn unique_violation(&self) -> SqlError {
        let constraint = self.unique.as_ref().map_or("", |unique| &unique.name);
        SqlError::new(
            SqlState::UNIQUE_VIOLATION,
            format!("duplicate key value violates unique constraint \"{constraint}\""),
        )
    }

    /// Adds a row. Returns its id.
    fn add_row(&mut self, values: Vec<Value>, created_by: TransactionId) -> u64 {
        let row_id = self.next_row_id;
        self.next_row_id += 1;
        if let Some(unique) = &self.unique {
            let key = index_key(&values[unique.column]);
            self.index.entry(key).or_default().insert(row_id);
        }
        let row = RowVersion {
            values,
            created_by,
            deleted_by: None,
        };
        self.rows.insert(row_id, row);
        row_id
    }
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
        let Some(key) = key else {
            let rows = table.rows.iter();
            return Ok(rows
                .filter(|(_, row)| self.is_visible(row, reader))
                .map(row_view)
                .collect());
        };
        let row_ids = table.index.get(&index_key(key)).into_iter().flatten();
        let rows = row_ids.filter_map(|row_id| table.rows.get_key_value(row_id));
        Ok(rows
            .filter(|(_, row)| self.is_visible(row, reader))
            .map(row_view)
            .collect())
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

fn row_view<'a>((id, row): (&u64, &'a RowVersion)) -> RowView<'a> {
    RowView {
        id: *id,
        values: &row.values,
    }
}

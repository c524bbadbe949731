//! A table: its columns, row versions, and the index on its unique column.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{ExecutionError, TransactionId};
use crate::database::error::{SqlError, SqlState};
use crate::database::value::{Type, Value};

/// A column of a table.
#[derive(Clone, Debug)]
pub(in crate::database) struct Column {
    pub(in crate::database) name: String,
    pub(in crate::database) data_type: Type,
    pub(in crate::database) not_null: bool,
    /// The DEFAULT expression, as SQL text; `None` if the default is NULL.
    pub(in crate::database) default: Option<String>,
    /// Whether the default is the next number of the table's sequence, as for `serial` and identity columns.
    pub(in crate::database) is_serial: bool,
}

/// A UNIQUE or PRIMARY KEY constraint on one column.
#[derive(Clone, Debug)]
pub(in crate::database) struct UniqueConstraint {
    /// The position of the column.
    pub(in crate::database) column: usize,
    /// The constraint's name, reported in errors.
    pub(in crate::database) name: String,
}

/// An owned copy of a row.
#[derive(Clone, Debug)]
pub(in crate::database) struct StoredRow {
    /// The row's number in its table.
    pub(in crate::database) id: u64,
    pub(in crate::database) values: Vec<Value>,
}

/// A borrowed row that is visible to a transaction.
pub(in crate::database) struct RowView<'a> {
    /// The row's number in its table.
    pub(in crate::database) id: u64,
    pub(in crate::database) values: &'a [Value],
}

impl RowView<'_> {
    pub(in crate::database) fn to_stored(&self) -> StoredRow {
        StoredRow {
            id: self.id,
            values: self.values.to_vec(),
        }
    }
}

/// One version of a row.
pub(super) struct RowVersion {
    values: Vec<Value>,
    pub(super) created_by: TransactionId,
    pub(super) deleted_by: Option<TransactionId>,
}

/// A table: its columns, its rows, and an index on the unique column if there is one.
#[derive(Default)]
pub(in crate::database) struct Table {
    pub(in crate::database) columns: Vec<Column>,
    pub(in crate::database) unique: Option<UniqueConstraint>,
    pub(super) rows: BTreeMap<u64, RowVersion>,
    /// The ids of rows by the value of their unique column in text format.
    index: HashMap<String, BTreeSet<u64>>,
    next_row_id: u64,
    last_serial: i64,
}

/// The index key of a value.
fn index_key(value: &Value) -> String {
    value.text(Type::TEXT)
}

impl RowVersion {
    pub(super) fn view(&self, id: u64) -> RowView<'_> {
        RowView {
            id,
            values: &self.values,
        }
    }
}

impl Table {
    /// The ids of the rows whose unique column has this value.
    pub(super) fn row_ids_by_key(&self, key: &Value) -> impl Iterator<Item = &u64> {
        self.index.get(&index_key(key)).into_iter().flatten()
    }

    /// Removes a row and its index entry.
    pub(super) fn remove_row(&mut self, row_id: u64) {
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

    /// Advances the sequence of the table's serial columns, and returns its new value.
    pub(in crate::database) fn next_serial(&mut self) -> i64 {
        self.last_serial += 1;
        self.last_serial
    }

    pub(super) fn check_not_null(
        &self,
        table_name: &str,
        values: &[Value],
    ) -> Result<(), SqlError> {
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

    /// Whether a row with the same unique key exists. Returns [`ExecutionError::BlockedBy`] if another open transaction
    /// has inserted or deleted such a row.
    pub(super) fn has_duplicate(
        &self,
        values: &[Value],
        transaction: TransactionId,
        active_transactions: &BTreeSet<TransactionId>,
    ) -> Result<bool, ExecutionError> {
        let Some(unique) = &self.unique else {
            return Ok(false);
        };
        let row_ids = self.row_ids_by_key(&values[unique.column]);
        for row in row_ids.filter_map(|row_id| self.rows.get(row_id)) {
            if row.deleted_by == Some(transaction) {
                continue;
            }
            if row.created_by != transaction && active_transactions.contains(&row.created_by) {
                return Err(ExecutionError::BlockedBy(row.created_by));
            }
            if let Some(deleted_by) = row.deleted_by {
                return Err(ExecutionError::BlockedBy(deleted_by));
            }
            return Ok(true);
        }
        Ok(false)
    }

    /// The error for a row whose unique key already exists.
    pub(super) fn unique_violation(&self) -> SqlError {
        let constraint = self.unique.as_ref().map_or("", |unique| &unique.name);
        SqlError::new(
            SqlState::UNIQUE_VIOLATION,
            format!("duplicate key value violates unique constraint \"{constraint}\""),
        )
    }

    /// Adds a row. Returns its id.
    pub(super) fn add_row(&mut self, values: Vec<Value>, created_by: TransactionId) -> u64 {
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

//! One table: its columns, the versions of its rows, and the index on its unique column.

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
    /// The default, as SQL text.
    pub(in crate::database) default: Option<String>,
    /// Whether the default is a number of its own for each row.
    pub(in crate::database) is_serial: bool,
}

/// A constraint that the values of one column are unique.
#[derive(Clone, Debug)]
pub(in crate::database) struct UniqueConstraint {
    /// The position of the column.
    pub(in crate::database) column: usize,
    /// The constraint's name, for errors.
    pub(in crate::database) name: String,
}

/// A copy of a row.
#[derive(Clone, Debug)]
pub(in crate::database) struct StoredRow {
    /// The row's number in its table.
    pub(in crate::database) id: u64,
    pub(in crate::database) values: Vec<Value>,
}

/// A row as a transaction sees it.
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
    /// The ids of rows by the text of their unique column.
    index: HashMap<String, BTreeSet<u64>>,
    next_row_id: u64,
    last_serial: i64,
}

/// The key of a value in an index.
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
    /// The ids of the rows that have this key in the unique column.
    pub(super) fn row_ids_by_key(&self, key: &Value) -> impl Iterator<Item = &u64> {
        self.index.get(&index_key(key)).into_iter().flatten()
    }

    /// Removes a row and its entry in the index.
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

    /// The next number of its serial columns.
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

    /// Whether another row has the unique key of these values. Blocked while an open transaction decides about one.
    pub(super) fn has_duplicate(
        &self,
        values: &[Value],
        transaction: TransactionId,
        active: &BTreeSet<TransactionId>,
    ) -> Result<bool, ExecutionError> {
        let Some(unique) = &self.unique else {
            return Ok(false);
        };
        let row_ids = self.row_ids_by_key(&values[unique.column]);
        for row in row_ids.filter_map(|row_id| self.rows.get(row_id)) {
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

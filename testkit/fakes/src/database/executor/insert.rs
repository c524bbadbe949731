//! INSERT and COPY FROM.

use sqlparser::ast::{Assignment, Expr, Insert, OnConflictAction, OnInsert, SetExpr, Values};

use super::{Executor, apply_assignments};
use crate::database::error::{SqlError, SqlState};
use crate::database::references::{
    column_position, insert_positions, insert_table, is_default_keyword, table_columns,
    with_excluded,
};
use crate::database::result::StatementResult;
use crate::database::storage::{Column, DuplicateKey, ExecutionError, RowView, Store};
use crate::database::sync::lock;
use crate::database::value::Value;

/// NULL in COPY's text format.
const COPY_NULL: &str = "\\N";

/// The line that marks the end of data in COPY's text format.
const COPY_END: &str = "\\.";

/// The table and columns that rows are inserted into.
struct InsertTarget {
    /// The table's stored name.
    table: String,
    columns: Vec<Column>,
    /// The positions of the target columns in `columns`, in the order in which the statement gives their values.
    positions: Vec<usize>,
}

/// A value for the column at a position; `None` for the column's default.
struct GivenValue {
    position: usize,
    value: Option<Value>,
}

/// The values that an INSERT gives for a row, in the order of [`InsertTarget::positions`]; `None` for DEFAULT.
type GivenRow = Vec<Option<Value>>;

impl Executor<'_> {
    pub(super) fn insert(&mut self, insert: &Insert) -> Result<StatementResult, ExecutionError> {
        let target = self.insert_target(insert)?;
        let rows = self.given_rows(insert)?;
        let mut store = lock(self.store);
        let returning = insert.returning.as_deref();
        let mut result = self.empty_change_result(returning, &target.columns, "INSERT")?;
        let duplicate_key = match &insert.on {
            Some(OnInsert::OnConflict(_)) => DuplicateKey::Skip,
            _ => DuplicateKey::Fail,
        };
        for given in rows {
            check_value_count(insert, &target, given.len())?;
            let row = self.complete_row(&mut store, &target, with_positions(&target, given))?;
            let is_inserted =
                store.insert(self.transaction, &target.table, row.clone(), duplicate_key)?;
            let changed = if is_inserted {
                Some(row)
            } else if let Some(assignments) = conflict_assignments(insert) {
                self.update_conflicting(&mut store, &target, row, assignments)?
            } else {
                None
            };
            if let Some(changed) = changed {
                self.record_change(returning, &target.columns, &changed, &mut result)?;
            }
        }
        Ok(result)
    }

    fn insert_target(&self, insert: &Insert) -> Result<InsertTarget, SqlError> {
        let store = lock(self.store);
        let table = self.context.resolve_table(&store, &insert_table(insert)?)?;
        let columns = table_columns(&table, &store)?;
        let positions = insert_positions(insert, &columns)?;
        Ok(InsertTarget {
            table,
            columns,
            positions,
        })
    }

    /// The rows of the VALUES list or query of an INSERT; one row without values for DEFAULT VALUES.
    fn given_rows(&mut self, insert: &Insert) -> Result<Vec<GivenRow>, ExecutionError> {
        let Some(source) = &insert.source else {
            return Ok(vec![Vec::new()]);
        };
        if let SetExpr::Values(values) = &*source.body {
            return Ok(self.given_values(values)?);
        }
        let selected = self.query(source)?;
        let rows = selected.expand_rows().into_iter();
        Ok(rows
            .map(|row| row.into_iter().map(Some).collect())
            .collect())
    }

    fn given_values(&self, values: &Values) -> Result<Vec<GivenRow>, SqlError> {
        let mut rows = Vec::with_capacity(values.rows.len());
        for row in &values.rows {
            let given = row.iter().map(|expr| self.given_value(expr));
            rows.push(given.collect::<Result<_, _>>()?);
        }
        Ok(rows)
    }

    fn given_value(&self, expr: &Expr) -> Result<Option<Value>, SqlError> {
        if is_default_keyword(expr) {
            Ok(None)
        } else {
            self.rowless_scope().value(expr).map(Some)
        }
    }

    /// Executes ON CONFLICT DO UPDATE on the existing row that has the unique key of `rejected`. Returns the updated
    /// row, or `None` if the existing row is not visible to this transaction.
    fn update_conflicting(
        &mut self,
        store: &mut Store,
        target: &InsertTarget,
        rejected: Vec<Value>,
        assignments: &[Assignment],
    ) -> Result<Option<Vec<Value>>, ExecutionError> {
        let Some(unique) = store.table(&target.table)?.unique.clone() else {
            return Ok(None);
        };
        let key = &rejected[unique.column];
        let found = store
            .visible_rows(&target.table, self.transaction_id(), Some(key))?
            .first()
            .map(RowView::to_stored);
        let Some(existing) = found else {
            return Ok(None);
        };
        let scope_columns = with_excluded(&target.columns);
        let scope_values = [existing.values.clone(), rejected].concat();
        let scope = self.scope(&scope_columns, &scope_values);
        let updated = apply_assignments(assignments, &target.columns, &scope, existing.values)?;
        self.replace_row(store, &target.table, existing.id, updated.clone())?;
        Ok(Some(updated))
    }

    /// A row of all columns: the given values, and defaults for the other columns.
    fn complete_row(
        &self,
        store: &mut Store,
        target: &InsertTarget,
        given: Vec<GivenValue>,
    ) -> Result<Vec<Value>, SqlError> {
        let mut row = vec![None; target.columns.len()];
        for GivenValue { position, value } in given {
            row[position] = match value {
                Some(value) => Some(value.cast(target.columns[position].data_type)?),
                None => None,
            };
        }
        let values = row.into_iter().zip(&target.columns);
        let completed = values.map(|(value, column)| match value {
            Some(value) => Ok(value),
            None => self.default_value(store, &target.table, column),
        });
        completed.collect()
    }

    fn default_value(
        &self,
        store: &mut Store,
        table: &str,
        column: &Column,
    ) -> Result<Value, SqlError> {
        if column.is_serial {
            return Ok(Value::Int(store.table_mut(table)?.next_serial()));
        }
        let Some(default) = &column.default else {
            return Ok(Value::Null);
        };
        let value = match default.to_ascii_lowercase().trim_end_matches("()") {
            "now" | "current_timestamp" => self.context.call("now", &[])?,
            "gen_random_uuid" => self.context.call("gen_random_uuid", &[])?,
            _ => Value::Text(default.trim_matches('\'').to_owned()),
        };
        value.cast(column.data_type)
    }

    /// Inserts the rows of a COPY FROM in text format. Returns the number of rows.
    pub(crate) fn copy_in(
        &mut self,
        table: &str,
        columns: &[String],
        text: &str,
    ) -> Result<u64, ExecutionError> {
        let mut store = lock(self.store);
        let target = self.copy_target(&store, table, columns)?;
        let mut count = 0;
        for line in text.lines().take_while(|line| *line != COPY_END) {
            let given = parse_copy_line(&target, line)?;
            let row = self.complete_row(&mut store, &target, given)?;
            store.insert(self.transaction, &target.table, row, DuplicateKey::Fail)?;
            count += 1;
        }
        Ok(count)
    }

    fn copy_target(
        &self,
        store: &Store,
        table: &str,
        columns: &[String],
    ) -> Result<InsertTarget, SqlError> {
        let stored_name = self.context.resolve_table(store, table)?;
        let table_columns = table_columns(&stored_name, store)?;
        let positions = if columns.is_empty() {
            (0..table_columns.len()).collect()
        } else {
            let positions = columns
                .iter()
                .map(|name| column_position(name, &table_columns));
            positions.collect::<Result<_, _>>()?
        };
        Ok(InsertTarget {
            table: stored_name,
            columns: table_columns,
            positions,
        })
    }
}

/// The assignments of ON CONFLICT DO UPDATE; `None` if the statement has no such clause.
fn conflict_assignments(insert: &Insert) -> Option<&[Assignment]> {
    let Some(OnInsert::OnConflict(conflict)) = &insert.on else {
        return None;
    };
    match &conflict.action {
        OnConflictAction::DoUpdate(update) => Some(&update.assignments),
        OnConflictAction::DoNothing => None,
    }
}

fn with_positions(target: &InsertTarget, given: GivenRow) -> Vec<GivenValue> {
    let positions = target.positions.iter().copied();
    positions
        .zip(given)
        .map(|(position, value)| GivenValue { position, value })
        .collect()
}

fn check_value_count(
    insert: &Insert,
    target: &InsertTarget,
    value_count: usize,
) -> Result<(), SqlError> {
    let column_count = target.positions.len();
    if value_count > column_count {
        return Err(SqlError::new(
            SqlState::SYNTAX_ERROR,
            "INSERT has more expressions than target columns",
        ));
    }
    if !insert.columns.is_empty() && value_count < column_count && value_count > 0 {
        return Err(SqlError::new(
            SqlState::SYNTAX_ERROR,
            "INSERT has more target columns than expressions",
        ));
    }
    Ok(())
}

/// Parses one line of COPY's text format: fields separated by tabs.
fn parse_copy_line(target: &InsertTarget, line: &str) -> Result<Vec<GivenValue>, SqlError> {
    let fields: Vec<&str> = line.split('\t').collect();
    if fields.len() != target.positions.len() {
        let message = if fields.len() < target.positions.len() {
            "missing data"
        } else {
            "extra data after last expected column"
        };
        return Err(SqlError::new(SqlState::BAD_COPY_FILE_FORMAT, message));
    }
    let mut given = Vec::with_capacity(fields.len());
    for (field, position) in fields.into_iter().zip(&target.positions) {
        let value = if field == COPY_NULL {
            Value::Null
        } else {
            Value::read_text(
                target.columns[*position].data_type,
                &unescape_copy_field(field),
            )?
        };
        given.push(GivenValue {
            position: *position,
            value: Some(value),
        });
    }
    Ok(given)
}

/// Decodes the backslash escapes of a field in COPY's text format.
fn unescape_copy_field(field: &str) -> String {
    let mut text = String::with_capacity(field.len());
    let mut characters = field.chars();
    while let Some(character) = characters.next() {
        if character != '\\' {
            text.push(character);
            continue;
        }
        match characters.next() {
            Some('t') => text.push('\t'),
            Some('n') => text.push('\n'),
            Some('r') => text.push('\r'),
            Some(other) => text.push(other),
            None => {}
        }
    }
    text
}

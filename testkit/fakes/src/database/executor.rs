//! Executes queries, data-modifying statements and DDL on the tables of a [`Store`].

mod aggregate;
mod create_table;
mod insert;
mod select;

use std::sync::Mutex;

use sqlparser::ast::{
    Assignment, BinaryOperator, Delete, Expr, ObjectName, SelectItem, Statement, TableWithJoins,
    TruncateTableTarget,
};

use super::context::ExecutionContext;
use super::describe::projection_columns;
use super::error::{SqlError, SqlState};
use super::expression::{EvaluationScope, ParameterTypes, unsupported};
use super::references::{assigned_column, delete_table, single_table, table_columns};
use super::result::StatementResult;
use super::storage::{
    Column, DuplicateKey, ExecutionError, Store, StoredRow, Transaction, TransactionId,
};
use super::sync::lock;
use super::value::{Type, Value};

/// Executes statements in one transaction.
pub(super) struct Executor<'a> {
    pub(super) store: &'a Mutex<Store>,
    pub(super) transaction: &'a mut Transaction,
    /// The values of the statement's parameters.
    pub(super) values: &'a [Value],
    pub(super) context: &'a dyn ExecutionContext,
}

/// The clauses of an UPDATE.
struct Update<'s> {
    table: &'s TableWithJoins,
    assignments: &'s [Assignment],
    selection: Option<&'s Expr>,
    returning: Option<&'s [SelectItem]>,
}

impl Executor<'_> {
    /// Executes a statement. After an error, including [`ExecutionError::BlockedBy`], the caller must undo the changes
    /// that the statement has made so far.
    pub(super) fn execute(
        &mut self,
        statement: &Statement,
    ) -> Result<StatementResult, ExecutionError> {
        match statement {
            Statement::Query(query) => self.query(query),
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update {
                table,
                assignments,
                selection,
                returning,
                ..
            } => self.update(&Update {
                table,
                assignments,
                selection: selection.as_ref(),
                returning: returning.as_deref(),
            }),
            Statement::Delete(delete) => self.delete(delete),
            Statement::CreateTable(create) => Ok(self.create_table(create)?),
            Statement::Drop {
                names, if_exists, ..
            } => self.drop_tables(names, *if_exists),
            Statement::Truncate { table_names, .. } => self.truncate(table_names),
            other => Err(unsupported(other).into()),
        }
    }

    fn update(&mut self, update: &Update<'_>) -> Result<StatementResult, ExecutionError> {
        let mut store = lock(self.store);
        let name = self
            .context
            .resolve_table(&store, &single_table(update.table)?)?;
        let columns = table_columns(&name, &store)?;
        let rows = self.matching_rows(&store, &name, &columns, update.selection)?;
        let mut result = self.empty_change_result(update.returning, &columns, "UPDATE")?;
        for row in rows {
            let scope = self.scope(&columns, &row.values);
            let new = apply_assignments(update.assignments, &columns, &scope, row.values.clone())?;
            self.replace_row(&mut store, &name, row.id, new.clone())?;
            self.record_change(update.returning, &columns, &new, &mut result)?;
        }
        Ok(result)
    }

    fn delete(&mut self, delete: &Delete) -> Result<StatementResult, ExecutionError> {
        let mut store = lock(self.store);
        let name = self
            .context
            .resolve_table(&store, &delete_table(&delete.from)?)?;
        let columns = table_columns(&name, &store)?;
        let rows = self.matching_rows(&store, &name, &columns, delete.selection.as_ref())?;
        let returning = delete.returning.as_deref();
        let mut result = self.empty_change_result(returning, &columns, "DELETE")?;
        for row in rows {
            store.delete(self.transaction, &name, row.id)?;
            self.record_change(returning, &columns, &row.values, &mut result)?;
        }
        Ok(result)
    }

    fn drop_tables(
        &mut self,
        names: &[ObjectName],
        if_exists: bool,
    ) -> Result<StatementResult, ExecutionError> {
        let mut store = lock(self.store);
        for name in names {
            match self.context.resolve_table(&store, &name.to_string()) {
                Ok(stored_name) => store.drop_table(self.transaction, &stored_name),
                Err(_) if if_exists => {}
                Err(_) => {
                    let message = format!("table \"{name}\" does not exist");
                    return Err(SqlError::new(SqlState::UNDEFINED_TABLE, message).into());
                }
            }
        }
        Ok(StatementResult::command("DROP TABLE"))
    }

    fn truncate(
        &mut self,
        tables: &[TruncateTableTarget],
    ) -> Result<StatementResult, ExecutionError> {
        let mut store = lock(self.store);
        for table in tables {
            let name = self
                .context
                .resolve_table(&store, &table.name.to_string())?;
            let columns = table_columns(&name, &store)?;
            for row in self.matching_rows(&store, &name, &columns, None)? {
                store.delete(self.transaction, &name, row.id)?;
            }
        }
        Ok(StatementResult::command("TRUNCATE TABLE"))
    }

    fn scope<'s>(&'s self, columns: &'s [Column], row: &'s [Value]) -> EvaluationScope<'s> {
        EvaluationScope {
            columns,
            row,
            values: self.values,
            context: self.context,
        }
    }

    /// The scope of an expression that refers to no row.
    fn rowless_scope(&self) -> EvaluationScope<'_> {
        self.scope(&[], &[])
    }

    fn transaction_id(&self) -> Option<TransactionId> {
        Some(self.transaction.id)
    }

    /// The visible rows of a table for which `condition` is true; all visible rows if `condition` is `None`.
    fn matching_rows(
        &self,
        store: &Store,
        table: &str,
        columns: &[Column],
        condition: Option<&Expr>,
    ) -> Result<Vec<StoredRow>, SqlError> {
        let key = self.unique_key_in_condition(store, table, columns, condition)?;
        let mut matching = Vec::new();
        for row in store.visible_rows(table, self.transaction_id(), key.as_ref())? {
            if self.row_matches(columns, row.values, condition)? {
                matching.push(row.to_stored());
            }
        }
        Ok(matching)
    }

    fn row_matches(
        &self,
        columns: &[Column],
        row: &[Value],
        condition: Option<&Expr>,
    ) -> Result<bool, SqlError> {
        match condition {
            Some(condition) => self.scope(columns, row).is_true(condition),
            None => Ok(true),
        }
    }

    /// The key to look up in the index, if the condition has the form `unique_column = expression`.
    fn unique_key_in_condition(
        &self,
        store: &Store,
        table: &str,
        columns: &[Column],
        condition: Option<&Expr>,
    ) -> Result<Option<Value>, SqlError> {
        let Some(unique) = &store.table(table)?.unique else {
            return Ok(None);
        };
        let Some(Expr::BinaryOp {
            left,
            op: BinaryOperator::Eq,
            right,
        }) = condition
        else {
            return Ok(None);
        };
        let column = &columns[unique.column];
        let is_unique = matches!(&**left, Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case(&column.name));
        if !is_unique {
            return Ok(None);
        }
        match self.rowless_scope().value(right) {
            Ok(value) => value.cast(column.data_type).map(Some),
            Err(_) => Ok(None),
        }
    }

    /// The result of a data-modifying statement that has not changed any rows yet.
    fn empty_change_result(
        &self,
        returning: Option<&[SelectItem]>,
        columns: &[Column],
        command_tag: &'static str,
    ) -> Result<StatementResult, SqlError> {
        let mut parameters = ParameterTypes(vec![Some(Type::TEXT); self.values.len()]);
        Ok(StatementResult {
            columns: projection_columns(returning.unwrap_or_default(), columns, &mut parameters)?,
            command_tag,
            ..StatementResult::default()
        })
    }

    /// Counts a changed row, and adds its RETURNING values to the result.
    fn record_change(
        &self,
        returning: Option<&[SelectItem]>,
        columns: &[Column],
        row: &[Value],
        result: &mut StatementResult,
    ) -> Result<(), SqlError> {
        result.affected_rows += 1;
        if let Some(items) = returning {
            result.rows.push(self.project(items, columns, row)?);
        }
        Ok(())
    }

    /// The values of a projection (a select list or RETURNING) for one row.
    fn project(
        &self,
        items: &[SelectItem],
        columns: &[Column],
        row: &[Value],
    ) -> Result<Vec<Value>, SqlError> {
        let scope = self.scope(columns, row);
        let mut values = Vec::with_capacity(items.len());
        for item in items {
            match item {
                SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                    values.push(scope.value(expr)?);
                }
                SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                    values.extend_from_slice(row);
                }
            }
        }
        Ok(values)
    }

    /// Updates a row as PostgreSQL does: deletes the row version and inserts a new one.
    fn replace_row(
        &mut self,
        store: &mut Store,
        table: &str,
        row_id: u64,
        values: Vec<Value>,
    ) -> Result<(), ExecutionError> {
        store.delete(self.transaction, table, row_id)?;
        store.insert(self.transaction, table, values, DuplicateKey::Fail)?;
        Ok(())
    }
}

/// Applies assignments to a row of `columns`; their expressions are evaluated in `scope`.
fn apply_assignments(
    assignments: &[Assignment],
    columns: &[Column],
    scope: &EvaluationScope<'_>,
    mut row: Vec<Value>,
) -> Result<Vec<Value>, SqlError> {
    for assignment in assignments {
        let position = assigned_column(&assignment.target, columns)?;
        let value = scope.value(&assignment.value)?;
        row[position] = value.cast(columns[position].data_type)?;
    }
    Ok(row)
}

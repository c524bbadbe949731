//! Queries: SELECT and VALUES.

use std::cmp::Ordering;

use sqlparser::ast::{
    Expr, LimitClause, OrderByExpr, OrderByKind, Query, Select, SelectItem, SetExpr, Values,
};

use super::Executor;
use super::aggregate::is_aggregate;
use crate::database::describe::query_columns;
use crate::database::error::{SqlError, SqlState};
use crate::database::expression::{ParameterTypes, unsupported};
use crate::database::references::{RowSource, Series, table_columns};
use crate::database::result::StatementResult;
use crate::database::storage::{Column, ExecutionError, StoredRow};
use crate::database::sync::lock;
use crate::database::value::{Type, Value};

/// The row id of rows that are not stored in a table.
const NO_ROW_ID: u64 = 0;

/// The rows of a FROM clause that satisfy the WHERE clause.
struct SourceRows {
    columns: Vec<Column>,
    rows: Vec<StoredRow>,
}

/// The bounds of `generate_series`, both inclusive.
#[derive(Clone, Copy)]
struct SeriesRange {
    first: i64,
    last: i64,
}

/// A row with the values of its ORDER BY expressions.
struct SortedRow {
    keys: Vec<Value>,
    row: StoredRow,
}

impl Executor<'_> {
    pub(super) fn query(&mut self, query: &Query) -> Result<StatementResult, ExecutionError> {
        let parameters = ParameterTypes(vec![None; self.values.len()]);
        let result = StatementResult {
            columns: query_columns(query, &lock(self.store), self.context, parameters)?,
            command_tag: "SELECT",
            ..StatementResult::default()
        };
        match &*query.body {
            SetExpr::Select(select) => self.select(query, select, result),
            SetExpr::Values(values) => Ok(StatementResult {
                rows: self.values_rows(values)?,
                ..result
            }),
            other => Err(unsupported(other).into()),
        }
    }

    fn values_rows(&self, values: &Values) -> Result<Vec<Vec<Value>>, SqlError> {
        let mut rows = Vec::with_capacity(values.rows.len());
        for row in &values.rows {
            let row_values = row.iter().map(|expr| self.rowless_scope().value(expr));
            rows.push(row_values.collect::<Result<_, _>>()?);
        }
        Ok(rows)
    }

    fn select(
        &mut self,
        query: &Query,
        select: &Select,
        mut result: StatementResult,
    ) -> Result<StatementResult, ExecutionError> {
        let source = match RowSource::parse(&select.from)? {
            RowSource::None => {
                if !self.row_matches(&[], &[], select.selection.as_ref())? {
                    return Ok(result);
                }
                single_empty_row()
            }
            RowSource::Series(series) => {
                let range = self.series_range(&series)?;
                if let Some(constant) = self.constant_series_result(query, select, range) {
                    result.rows = constant.rows;
                    result.extra_copies = constant.extra_copies;
                    return Ok(result);
                }
                self.series_rows(&series, range, select.selection.as_ref())?
            }
            RowSource::Table(name) => self.table_rows(query, select, &name)?,
        };
        if select.projection.iter().any(is_aggregate) {
            let row = self.aggregate(&select.projection, &source.columns, &source.rows)?;
            result.rows.push(row);
            return Ok(result);
        }
        let ordered = self.sort_rows(query, &source.columns, source.rows)?;
        for row in self.apply_limit(query, ordered)? {
            let projected = self.project(&select.projection, &source.columns, &row.values)?;
            result.rows.push(projected);
        }
        Ok(result)
    }

    fn series_range(&self, series: &Series<'_>) -> Result<SeriesRange, SqlError> {
        let arguments = series
            .arguments
            .iter()
            .map(|argument| self.rowless_scope().value(argument));
        let arguments = arguments.collect::<Result<Vec<_>, _>>()?;
        let [Value::Int(first), Value::Int(last)] = arguments[..] else {
            return Err(SqlError::new(
                SqlState::UNDEFINED_FUNCTION,
                "the fake PostgreSQL server supports generate_series only with two integer arguments",
            ));
        };
        Ok(SeriesRange { first, last })
    }

    /// The result of a query on `generate_series` that does not use the series' column, so that all its rows are equal;
    /// `None` if the rows may differ. Such queries return large results, so the row is evaluated and stored only once.
    fn constant_series_result(
        &self,
        query: &Query,
        select: &Select,
        range: SeriesRange,
    ) -> Option<StatementResult> {
        let count = u64::try_from(range.last - range.first + 1).unwrap_or(0);
        let returns_all =
            select.selection.is_none() && query.order_by.is_none() && query.limit_clause.is_none();
        if !returns_all || count == 0 || select.projection.iter().any(is_aggregate) {
            return None;
        }
        let row = self.project(&select.projection, &[], &[]).ok()?;
        if matches!(select.projection[..], [SelectItem::Wildcard(_)]) {
            return None;
        }
        Some(StatementResult {
            rows: vec![row],
            extra_copies: count - 1,
            ..StatementResult::default()
        })
    }

    fn series_rows(
        &self,
        series: &Series<'_>,
        range: SeriesRange,
        condition: Option<&Expr>,
    ) -> Result<SourceRows, SqlError> {
        let columns = vec![series.column()];
        let mut rows = Vec::new();
        for number in range.first..=range.last {
            let values = vec![Value::Int(number)];
            if self.row_matches(&columns, &values, condition)? {
                rows.push(StoredRow {
                    id: NO_ROW_ID,
                    values,
                });
            }
        }
        Ok(SourceRows { columns, rows })
    }

    /// The rows of a table that satisfy the WHERE clause, locked if the query has a locking clause (FOR UPDATE, FOR
    /// SHARE).
    fn table_rows(
        &mut self,
        query: &Query,
        select: &Select,
        name: &str,
    ) -> Result<SourceRows, ExecutionError> {
        let mut store = lock(self.store);
        let table = self.context.resolve_table(&store, name)?;
        let columns = table_columns(&table, &store)?;
        let rows = self.matching_rows(&store, &table, &columns, select.selection.as_ref())?;
        if !query.locks.is_empty() {
            // A row lock is implemented as an update to the same values.
            for row in &rows {
                self.replace_row(&mut store, &table, row.id, row.values.clone())?;
            }
        }
        Ok(SourceRows { columns, rows })
    }

    /// Sorts the rows by ORDER BY; rows with equal sort keys stay in the order of their ids.
    fn sort_rows(
        &self,
        query: &Query,
        columns: &[Column],
        rows: Vec<StoredRow>,
    ) -> Result<Vec<StoredRow>, SqlError> {
        let Some(order_by) = &query.order_by else {
            return Ok(rows);
        };
        let OrderByKind::Expressions(terms) = &order_by.kind else {
            return Err(unsupported(order_by));
        };
        let mut sorted = Vec::with_capacity(rows.len());
        for row in rows {
            let keys = terms.iter().map(|term| self.sort_key(term, columns, &row));
            sorted.push(SortedRow {
                keys: keys.collect::<Result<_, _>>()?,
                row,
            });
        }
        sorted.sort_by(|left, right| compare_sorted_rows(terms, left, right));
        Ok(sorted
            .into_iter()
            .map(|sorted_row| sorted_row.row)
            .collect())
    }

    fn sort_key(
        &self,
        term: &OrderByExpr,
        columns: &[Column],
        row: &StoredRow,
    ) -> Result<Value, SqlError> {
        match &term.expr {
            // ORDER BY with a column number: any number sorts by the first column.
            Expr::Value(_) => Ok(row.values.first().cloned().unwrap_or(Value::Null)),
            expr => self.scope(columns, &row.values).value(expr),
        }
    }

    /// Applies LIMIT and OFFSET.
    fn apply_limit(&self, query: &Query, rows: Vec<StoredRow>) -> Result<Vec<StoredRow>, SqlError> {
        let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause else {
            return Ok(rows);
        };
        let skipped = match offset {
            Some(offset) => self.evaluate_row_count(&offset.value)?,
            None => 0,
        };
        let max_rows = match limit {
            Some(limit) => self.evaluate_row_count(limit)?,
            None => usize::MAX,
        };
        Ok(rows.into_iter().skip(skipped).take(max_rows).collect())
    }

    /// The row count of a LIMIT or OFFSET clause; `usize::MAX` for NULL, and 0 for a negative count.
    fn evaluate_row_count(&self, expr: &Expr) -> Result<usize, SqlError> {
        match self.rowless_scope().value(expr)?.cast(Type::INT8)? {
            Value::Int(count) => Ok(usize::try_from(count).unwrap_or(0)),
            _ => Ok(usize::MAX),
        }
    }
}

/// The source rows of a SELECT without FROM.
fn single_empty_row() -> SourceRows {
    SourceRows {
        columns: Vec::new(),
        rows: vec![StoredRow {
            id: NO_ROW_ID,
            values: Vec::new(),
        }],
    }
}

fn compare_sorted_rows(terms: &[OrderByExpr], left: &SortedRow, right: &SortedRow) -> Ordering {
    let keys = left.keys.iter().zip(&right.keys);
    for (term, (left_key, right_key)) in terms.iter().zip(keys) {
        let ascending = compare_keys(left_key, right_key);
        let ordering = if term.options.asc == Some(false) {
            ascending.reverse()
        } else {
            ascending
        };
        if ordering.is_ne() {
            return ordering;
        }
    }
    left.row.id.cmp(&right.row.id)
}

/// The ascending order of two sort keys; NULL sorts after all other values.
fn compare_keys(left: &Value, right: &Value) -> Ordering {
    left.compare(right)
        .unwrap_or_else(|| (*left == Value::Null).cmp(&(*right == Value::Null)))
}

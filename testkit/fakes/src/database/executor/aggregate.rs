//! The aggregate functions `count`, `sum`, `min` and `max`, over all rows of a query (no GROUP BY).

use std::cmp::Ordering;

use sqlparser::ast::{Expr, SelectItem};

use super::Executor;
use crate::database::error::SqlError;
use crate::database::expression::{FunctionCall, unsupported};
use crate::database::storage::{Column, StoredRow};
use crate::database::value::Value;

/// Whether an item of a select list is a call of an aggregate function, or a cast of one.
pub(super) fn is_aggregate(item: &SelectItem) -> bool {
    let call = item_expression(item).and_then(FunctionCall::parse);
    call.is_some_and(|call| matches!(call.name.as_str(), "count" | "sum" | "max" | "min"))
}

/// The expression of an item of a select list, without a cast around it; `None` for `*`.
fn item_expression(item: &SelectItem) -> Option<&Expr> {
    let (SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. }) = item else {
        return None;
    };
    match expr {
        Expr::Cast { expr: inner, .. } => Some(inner),
        other => Some(other),
    }
}

impl Executor<'_> {
    /// The single row that a select list of aggregate functions returns.
    pub(super) fn aggregate(
        &self,
        items: &[SelectItem],
        columns: &[Column],
        rows: &[StoredRow],
    ) -> Result<Vec<Value>, SqlError> {
        let values = items
            .iter()
            .map(|item| self.aggregate_item(item, columns, rows));
        values.collect()
    }

    fn aggregate_item(
        &self,
        item: &SelectItem,
        columns: &[Column],
        rows: &[StoredRow],
    ) -> Result<Value, SqlError> {
        let expr = item_expression(item).ok_or_else(|| unsupported(item))?;
        let call = FunctionCall::parse(expr).ok_or_else(|| unsupported(expr))?;
        let argument = call.arguments.first();
        let values = match argument {
            Some(argument) => self.non_null_values(argument, columns, rows)?,
            None => Vec::new(),
        };
        match call.name.as_str() {
            "count" => {
                let count = if argument.is_none() {
                    rows.len()
                } else {
                    values.len()
                };
                Ok(Value::Int(i64::try_from(count).unwrap_or(i64::MAX)))
            }
            "sum" => Ok(sum(&values)),
            "max" => Ok(extreme(values, Ordering::Greater)),
            "min" => Ok(extreme(values, Ordering::Less)),
            _ => Err(unsupported(expr)),
        }
    }

    fn non_null_values(
        &self,
        expr: &Expr,
        columns: &[Column],
        rows: &[StoredRow],
    ) -> Result<Vec<Value>, SqlError> {
        let mut values = Vec::new();
        for row in rows {
            let value = self.scope(columns, &row.values).value(expr)?;
            if value != Value::Null {
                values.push(value);
            }
        }
        Ok(values)
    }
}

/// The sum of the integers among the values; NULL if there are no values.
fn sum(values: &[Value]) -> Value {
    if values.is_empty() {
        return Value::Null;
    }
    let numbers = values.iter().map(|value| match value {
        Value::Int(number) => *number,
        _ => 0,
    });
    Value::Int(numbers.sum())
}

/// The largest value for [`Ordering::Greater`], the smallest for [`Ordering::Less`]; the first of several equal ones.
/// NULL if there are no values.
fn extreme(values: Vec<Value>, ordering: Ordering) -> Value {
    let best = values.into_iter().reduce(|best, candidate| {
        if candidate.compare(&best) == Some(ordering) {
            candidate
        } else {
            best
        }
    });
    best.unwrap_or(Value::Null)
}

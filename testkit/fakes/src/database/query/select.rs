//! Queries: SELECT and VALUES.

use sqlparser::ast::{Expr, LimitClause, OrderByKind, Query, SelectItem, SetExpr};

use super::super::describe::*;
use super::super::expr::{Parameters, call, unsupported};
use super::super::storage::{Column, Stop};
use super::super::value::{Type, Value};
use super::super::{Refusal, lock};
use super::{Outcome, Run};

impl Run<'_> {
    pub(super) fn query(&mut self, query: &Query) -> Result<Outcome, Stop> {
        let mut known = Parameters(vec![None; self.values.len()]);
        let select = match &*query.body {
            SetExpr::Select(select) => select,
            SetExpr::Values(values) => {
                let columns = shape(query, &lock(self.store), self.around, &mut known)?;
                let row = |row: &Vec<Expr>| {
                    row.iter()
                        .map(|expr| self.scope(&[], &[]).value(expr))
                        .collect()
                };
                let rows = values
                    .rows
                    .iter()
                    .map(row)
                    .collect::<Result<Vec<Vec<Value>>, Refusal>>()?;
                return Ok(Outcome {
                    columns,
                    rows,
                    verb: "SELECT",
                    ..Outcome::default()
                });
            }
            other => return Err(unsupported(other).into()),
        };
        let mut outcome = Outcome {
            columns: shape(query, &lock(self.store), self.around, &mut known)?,
            verb: "SELECT",
            ..Outcome::default()
        };
        let (columns, found) = match Source::of(&select.from)? {
            Source::None => (Vec::new(), vec![(0, Vec::new())]),
            Source::Series(args, name) => {
                let args = args.into_iter().map(|arg| self.scope(&[], &[]).value(arg));
                let args = args.collect::<Result<Vec<_>, _>>()?;
                let [Value::Int(from), Value::Int(to)] = args[..] else {
                    return Err(Refusal(
                        "42883",
                        "generate_series takes two integers here".to_owned(),
                    )
                    .into());
                };
                let columns = vec![series_column(name)];
                let count = u64::try_from(to - from + 1).unwrap_or(0);
                if select.selection.is_none()
                    && query.order_by.is_none()
                    && query.limit_clause.is_none()
                    && count > 0
                    && !select.projection.iter().any(aggregate)
                    && let Ok(row) = self.project(&select.projection, &[], &[])
                    && !matches!(select.projection[..], [SelectItem::Wildcard(_)])
                {
                    // The same for each: made once.
                    (outcome.rows, outcome.repeats) = (vec![row], count - 1);
                    return Ok(outcome);
                }
                let mut rows = Vec::new();
                for number in from..=to {
                    let row = vec![Value::Int(number)];
                    let picked = match &select.selection {
                        Some(selection) => {
                            self.scope(&columns, &row).value(selection)? == Value::Bool(true)
                        }
                        None => true,
                    };
                    if picked {
                        rows.push((0, row));
                    }
                }
                (columns, rows)
            }
            Source::Table(name) => {
                let mut store = lock(self.store);
                let name = self.around.table(&store, &name)?;
                let columns = table_columns(&name, &store)?;
                let found = self.matching(&store, &name, &columns, select.selection.as_ref())?;
                if !query.locks.is_empty() {
                    // A lock on a row is a change that changes nothing.
                    for (id, row) in &found {
                        store.delete(self.transaction, &name, *id)?;
                        store.insert(self.transaction, &name, row.clone(), false)?;
                    }
                }
                (columns, found)
            }
        };
        if matches!(Source::of(&select.from)?, Source::None)
            && let Some(selection) = &select.selection
            && self.scope(&[], &[]).value(selection)? != Value::Bool(true)
        {
            return Ok(outcome);
        }
        if select.projection.iter().any(aggregate) {
            outcome
                .rows
                .push(self.aggregate(&select.projection, &columns, &found)?);
            return Ok(outcome);
        }
        let found = self.ordered(query, &columns, found)?;
        for (_, row) in &found {
            outcome
                .rows
                .push(self.project(&select.projection, &columns, row)?);
        }
        Ok(outcome)
    }

    fn ordered(
        &self,
        query: &Query,
        columns: &[Column],
        mut found: Vec<(u64, Vec<Value>)>,
    ) -> Result<Vec<(u64, Vec<Value>)>, Refusal> {
        if let Some(order) = &query.order_by {
            let OrderByKind::Expressions(by) = &order.kind else {
                return Err(unsupported(order));
            };
            let mut keyed = Vec::with_capacity(found.len());
            for (id, row) in found {
                let keys = by.iter().map(|by| match &by.expr {
                    // By place: the first column is as good as any here.
                    Expr::Value(_) => Ok(row.first().cloned().unwrap_or(Value::Null)),
                    expr => self.scope(columns, &row).value(expr),
                });
                let keys = keys.collect::<Result<Vec<_>, _>>()?;
                keyed.push((keys, id, row));
            }
            keyed.sort_by(|a, b| {
                let each = by.iter().zip(a.0.iter().zip(&b.0)).map(|(by, (a, b))| {
                    // NULL is larger than all else.
                    let order = a
                        .order(b)
                        .unwrap_or((*a == Value::Null).cmp(&(*b == Value::Null)));
                    if by.options.asc == Some(false) {
                        order.reverse()
                    } else {
                        order
                    }
                });
                each.into_iter()
                    .find(|order| order.is_ne())
                    .unwrap_or(a.1.cmp(&b.1))
            });
            found = keyed.into_iter().map(|(_, id, row)| (id, row)).collect();
        }
        if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
            let count = |expr: &Expr| match self.scope(&[], &[]).value(expr)?.cast(Type::INT8)? {
                Value::Int(count) => Ok(usize::try_from(count).unwrap_or(0)),
                _ => Ok::<_, Refusal>(usize::MAX),
            };
            let skip = offset
                .as_ref()
                .map_or(Ok(0), |offset| count(&offset.value))?;
            let take = limit.as_ref().map_or(Ok(usize::MAX), count)?;
            found = found.into_iter().skip(skip).take(take).collect();
        }
        Ok(found)
    }

    fn aggregate(
        &self,
        items: &[SelectItem],
        columns: &[Column],
        found: &[(u64, Vec<Value>)],
    ) -> Result<Vec<Value>, Refusal> {
        let mut out = Vec::new();
        for item in items {
            let (SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. }) = item
            else {
                return Err(unsupported(item));
            };
            let expr = match expr {
                Expr::Cast { expr, .. } => expr,
                other => other,
            };
            let Some((name, args)) = call(expr) else {
                return Err(unsupported(expr));
            };
            let mut values = Vec::new();
            if let Some(arg) = args.first() {
                for (_, row) in found {
                    let value = self.scope(columns, row).value(arg)?;
                    values.extend((value != Value::Null).then_some(value));
                }
            }
            let count = if args.is_empty() {
                found.len()
            } else {
                values.len()
            };
            out.push(match name.as_str() {
                "count" => Value::Int(i64::try_from(count).unwrap_or(i64::MAX)),
                "sum" => {
                    let number = |value: &Value| match value {
                        Value::Int(number) => *number,
                        _ => 0,
                    };
                    if values.is_empty() {
                        Value::Null
                    } else {
                        Value::Int(values.iter().map(number).sum())
                    }
                }
                "max" => values
                    .into_iter()
                    .reduce(|a, b| {
                        if b.order(&a).is_some_and(|o| o.is_gt()) {
                            b
                        } else {
                            a
                        }
                    })
                    .unwrap_or(Value::Null),
                "min" => values
                    .into_iter()
                    .reduce(|a, b| {
                        if b.order(&a).is_some_and(|o| o.is_lt()) {
                            b
                        } else {
                            a
                        }
                    })
                    .unwrap_or(Value::Null),
                _ => return Err(unsupported(expr)),
            });
        }
        Ok(out)
    }
}

fn aggregate(item: &SelectItem) -> bool {
    let (SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. }) = item else {
        return false;
    };
    let expr = match expr {
        Expr::Cast { expr, .. } => expr,
        other => other,
    };
    call(expr).is_some_and(|(name, _)| matches!(name.as_str(), "count" | "sum" | "max" | "min"))
}

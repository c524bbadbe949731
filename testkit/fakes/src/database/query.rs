//! Statements on tables: what they take and bring, and what they do.

use std::sync::Mutex;

use sqlparser::ast::{
    ColumnOption, Expr, Insert, LimitClause, OnConflictAction, OnInsert, OrderByKind, Query,
    SelectItem, SetExpr, Statement, TableConstraint,
};

use super::describe::*;
use super::expr::{Parameters, Scope, call, named, unsupported};
use super::session::Surroundings;
use super::storage::{Column, Stop, Store, Table, Transaction, Xid};
use super::value::{Type, Value};
use super::{Refusal, lock};

/// What a statement brings.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) columns: Vec<(String, Type)>,
    pub(super) rows: Vec<Vec<Value>>,
    /// Each row comes so many times more: large results are not held.
    pub(super) repeats: u64,
    /// The first word or words of its completion.
    pub(super) verb: &'static str,
    /// Rows that it changed, where it brings none.
    pub(super) changed: u64,
}

/// What a statement is run with.
pub(super) struct Run<'a> {
    pub(super) store: &'a Mutex<Store>,
    pub(super) transaction: &'a mut Transaction,
    pub(super) values: &'a [Value],
    pub(super) around: &'a dyn Surroundings,
}

impl Run<'_> {
    /// Runs a statement on tables.
    pub(super) fn run(&mut self, statement: &Statement) -> Result<Outcome, Stop> {
        match statement {
            Statement::Query(query) => self.query(query),
            Statement::Insert(insert) => self.insert(insert),
            Statement::Update {
                table,
                assignments,
                selection,
                returning,
                ..
            } => {
                let mut store = lock(self.store);
                let name = self.around.table(&store, &factor_name(table)?)?;
                let columns = table_columns(&name, &store)?;
                let found = self.matching(&store, &name, &columns, selection.as_ref())?;
                let mut outcome = self.returning(returning.as_deref(), &columns, "UPDATE")?;
                for (id, old) in found {
                    let mut new = old.clone();
                    for assignment in assignments {
                        let at = assigned(&assignment.target, &columns)?;
                        new[at] = self
                            .scope(&columns, &old)
                            .value(&assignment.value)?
                            .cast(columns[at].kind)?;
                    }
                    store.delete(self.transaction, &name, id)?;
                    store.insert(self.transaction, &name, new.clone(), false)?;
                    self.returned(returning.as_deref(), &columns, &new, &mut outcome)?;
                }
                Ok(outcome)
            }
            Statement::Delete(delete) => {
                let mut store = lock(self.store);
                let name = self.around.table(&store, &delete_name(&delete.from)?)?;
                let columns = table_columns(&name, &store)?;
                let found = self.matching(&store, &name, &columns, delete.selection.as_ref())?;
                let mut outcome =
                    self.returning(delete.returning.as_deref(), &columns, "DELETE")?;
                for (id, old) in found {
                    store.delete(self.transaction, &name, id)?;
                    self.returned(delete.returning.as_deref(), &columns, &old, &mut outcome)?;
                }
                Ok(outcome)
            }
            Statement::CreateTable(create) => Ok(self.create(create)?),
            Statement::Drop {
                names, if_exists, ..
            } => {
                let mut store = lock(self.store);
                for name in names {
                    match self.around.table(&store, &name.to_string()) {
                        Ok(name) => store.drop_table(self.transaction, &name),
                        Err(_) if *if_exists => {}
                        Err(_) => {
                            return Err(Refusal(
                                "42P01",
                                format!("table \"{name}\" does not exist"),
                            )
                            .into());
                        }
                    }
                }
                Ok(done("DROP TABLE"))
            }
            Statement::Truncate { table_names, .. } => {
                let mut store = lock(self.store);
                for table in table_names {
                    let name = self.around.table(&store, &table.name.to_string())?;
                    let columns = table_columns(&name, &store)?;
                    for (id, _) in self.matching(&store, &name, &columns, None)? {
                        store.delete(self.transaction, &name, id)?;
                    }
                }
                Ok(done("TRUNCATE TABLE"))
            }
            other => Err(unsupported(other).into()),
        }
    }

    fn scope<'s>(&'s self, columns: &'s [Column], row: &'s [Value]) -> Scope<'s> {
        Scope {
            columns,
            row,
            values: self.values,
            around: self.around,
        }
    }

    fn xid(&self) -> Option<Xid> {
        Some(self.transaction.xid)
    }

    /// The rows that a condition picks, with their numbers.
    fn matching(
        &self,
        store: &Store,
        table: &str,
        columns: &[Column],
        selection: Option<&Expr>,
    ) -> Result<Vec<(u64, Vec<Value>)>, Refusal> {
        use sqlparser::ast::BinaryOperator;
        // The usual condition, a value of the unique column, is looked up.
        let unique = store.table(table)?.unique.as_ref().map(|(at, _)| *at);
        let mut wanted = None;
        if let (
            Some(Expr::BinaryOp {
                left,
                op: BinaryOperator::Eq,
                right,
            }),
            Some(at),
        ) = (selection, unique)
            && matches!(&**left, Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case(&columns[at].name))
            && let Ok(value) = self.scope(&[], &[]).value(right)
        {
            wanted = Some(value.cast(columns[at].kind)?);
        }
        let mut found = Vec::new();
        for (id, row) in store.rows(table, self.xid(), wanted.as_ref())? {
            let picked = match selection {
                Some(selection) => self.scope(columns, row).value(selection)? == Value::Bool(true),
                None => true,
            };
            if picked {
                found.push((id, row.to_vec()));
            }
        }
        Ok(found)
    }

    fn returning(
        &self,
        items: Option<&[SelectItem]>,
        columns: &[Column],
        verb: &'static str,
    ) -> Result<Outcome, Refusal> {
        let mut known = Parameters(vec![Some(Type::TEXT); self.values.len()]);
        Ok(Outcome {
            columns: projection(items.unwrap_or_default(), columns, &mut known)?,
            verb,
            ..Outcome::default()
        })
    }

    /// One more row was changed.
    fn returned(
        &self,
        items: Option<&[SelectItem]>,
        columns: &[Column],
        row: &[Value],
        outcome: &mut Outcome,
    ) -> Result<(), Refusal> {
        outcome.changed += 1;
        if let Some(items) = items {
            outcome.rows.push(self.project(items, columns, row)?);
        }
        Ok(())
    }

    fn project(
        &self,
        items: &[SelectItem],
        columns: &[Column],
        row: &[Value],
    ) -> Result<Vec<Value>, Refusal> {
        let scope = self.scope(columns, row);
        let mut out = Vec::with_capacity(items.len());
        for item in items {
            match item {
                SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                    out.push(scope.value(expr)?)
                }
                SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                    out.extend_from_slice(row)
                }
            }
        }
        Ok(out)
    }

    fn query(&mut self, query: &Query) -> Result<Outcome, Stop> {
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

    fn insert(&mut self, insert: &Insert) -> Result<Outcome, Stop> {
        let (name, columns) = {
            let store = lock(self.store);
            let name = self.around.table(&store, &insert_name(insert)?)?;
            let columns = table_columns(&name, &store)?;
            (name, columns)
        };
        let targets = targets(insert, &columns)?;
        let given: Vec<Vec<Option<Value>>> = match insert.source.as_ref() {
            Some(source) => match &*source.body {
                SetExpr::Values(values) => {
                    let value = |expr: &Expr| match is_default(expr) {
                        true => Ok(None),
                        false => self.scope(&[], &[]).value(expr).map(Some),
                    };
                    let row = |row: &Vec<Expr>| {
                        row.iter().map(value).collect::<Result<Vec<_>, Refusal>>()
                    };
                    values.rows.iter().map(row).collect::<Result<_, _>>()?
                }
                _ => {
                    let Outcome { rows, repeats, .. } = self.query(source)?;
                    let copies = usize::try_from(repeats).unwrap_or(0) + 1;
                    let rows = rows
                        .into_iter()
                        .flat_map(|row| std::iter::repeat_n(row, copies));
                    rows.map(|row| row.into_iter().map(Some).collect())
                        .collect()
                }
            },
            None => vec![Vec::new()],
        };
        let mut store = lock(self.store);
        let mut outcome = self.returning(insert.returning.as_deref(), &columns, "INSERT")?;
        let (pass_over, update) = match &insert.on {
            Some(OnInsert::OnConflict(conflict)) => match &conflict.action {
                OnConflictAction::DoNothing => (true, None),
                OnConflictAction::DoUpdate(update) => (true, Some(update)),
            },
            _ => (false, None),
        };
        for given in given {
            if given.len() > targets.len() {
                return Err(Refusal(
                    "42601",
                    "INSERT has more expressions than target columns".to_owned(),
                )
                .into());
            }
            if !insert.columns.is_empty() && given.len() < targets.len() && !given.is_empty() {
                return Err(Refusal(
                    "42601",
                    "INSERT has more target columns than expressions".to_owned(),
                )
                .into());
            }
            let row = self.row(
                &mut store,
                &name,
                &columns,
                targets.iter().copied().zip(given).collect(),
            )?;
            if store.insert(self.transaction, &name, row.clone(), pass_over)? {
                self.returned(insert.returning.as_deref(), &columns, &row, &mut outcome)?;
            } else if let (Some(update), Some((at, _))) =
                (update, store.table(&name)?.unique.clone())
            {
                let old = store
                    .rows(&name, self.xid(), Some(&row[at]))?
                    .first()
                    .map(|(id, old)| (*id, old.to_vec()));
                let Some((id, old)) = old else { continue };
                let (both, values) = (with_excluded(&columns), [old.clone(), row].concat());
                let mut new = old;
                for assignment in &update.assignments {
                    let at = assigned(&assignment.target, &columns)?;
                    new[at] = self
                        .scope(&both, &values)
                        .value(&assignment.value)?
                        .cast(columns[at].kind)?;
                }
                store.delete(self.transaction, &name, id)?;
                store.insert(self.transaction, &name, new.clone(), false)?;
                self.returned(insert.returning.as_deref(), &columns, &new, &mut outcome)?;
            }
        }
        Ok(outcome)
    }

    /// A whole row of these values, the others by their defaults.
    fn row(
        &self,
        store: &mut Store,
        table: &str,
        columns: &[Column],
        given: Vec<(usize, Option<Value>)>,
    ) -> Result<Vec<Value>, Refusal> {
        let mut row = vec![None; columns.len()];
        for (at, value) in given {
            row[at] = value
                .map(|value| value.cast(columns[at].kind))
                .transpose()?;
        }
        row.into_iter()
            .zip(columns)
            .map(|(value, column)| match (value, &column.default) {
                (Some(value), _) => Ok(value),
                (None, _) if column.serial => Ok(Value::Int(store.table_mut(table)?.next_serial())),
                (None, Some(default)) => {
                    let value = match default.to_ascii_lowercase().trim_end_matches("()") {
                        "now" | "current_timestamp" => self.around.call("now", Vec::new())?,
                        "gen_random_uuid" => self.around.call("gen_random_uuid", Vec::new())?,
                        _ => Value::Text(default.trim_matches('\'').to_owned()),
                    };
                    value.cast(column.kind)
                }
                (None, None) => Ok(Value::Null),
            })
            .collect()
    }

    /// Rows of COPY FROM, in its text format.
    pub(super) fn copy_in(
        &mut self,
        table: &str,
        columns: &[String],
        text: &str,
    ) -> Result<u64, Stop> {
        let mut store = lock(self.store);
        let name = self.around.table(&store, table)?;
        let known = table_columns(&name, &store)?;
        let targets = match columns.is_empty() {
            true => (0..known.len()).collect::<Vec<_>>(),
            false => columns
                .iter()
                .map(|name| position(name, &known))
                .collect::<Result<_, _>>()?,
        };
        let mut count = 0;
        for line in text.lines().take_while(|line| *line != "\\.") {
            let fields: Vec<&str> = line.split('\t').collect();
            if fields.len() != targets.len() {
                let what = if fields.len() < targets.len() {
                    "missing data"
                } else {
                    "extra data after last expected column"
                };
                return Err(Refusal("22P04", what.to_owned()).into());
            }
            let mut given = Vec::new();
            for (field, at) in fields.into_iter().zip(&targets) {
                let value = match field {
                    "\\N" => Value::Null,
                    field => Value::read_text(known[*at].kind, &unescape(field))?,
                };
                given.push((*at, Some(value)));
            }
            let row = self.row(&mut store, &name, &known, given)?;
            store.insert(self.transaction, &name, row, false)?;
            count += 1;
        }
        Ok(count)
    }

    fn create(&mut self, create: &sqlparser::ast::CreateTable) -> Result<Outcome, Refusal> {
        let mut store = lock(self.store);
        let name = self
            .around
            .new_table(&create.name.to_string(), create.temporary);
        if store.has(&name) {
            if create.if_not_exists {
                return Ok(done("CREATE TABLE"));
            }
            return Err(Refusal(
                "42P07",
                format!("relation \"{}\" already exists", create.name),
            ));
        }
        let mut table = Table::default();
        for column in &create.columns {
            let kind = named(&column.data_type)?;
            let mut made = Column {
                name: column.name.value.clone(),
                kind,
                not_null: false,
                default: None,
                serial: column
                    .data_type
                    .to_string()
                    .to_ascii_lowercase()
                    .contains("serial"),
            };
            for option in &column.options {
                match &option.option {
                    ColumnOption::NotNull => made.not_null = true,
                    ColumnOption::Default(expr) => made.default = Some(expr.to_string()),
                    ColumnOption::Unique { is_primary, .. } => {
                        made.not_null |= is_primary;
                        let end = if *is_primary {
                            "pkey".to_owned()
                        } else {
                            format!("{}_key", made.name)
                        };
                        table.unique =
                            Some((table.columns.len(), format!("{}_{end}", create.name)));
                    }
                    ColumnOption::Generated { .. } => made.serial = true,
                    _ => {}
                }
            }
            table.columns.push(made);
        }
        for constraint in &create.constraints {
            if let TableConstraint::PrimaryKey { columns, .. } = constraint
                && let [column] = &columns[..]
            {
                let at = position(&column.to_string(), &table.columns)?;
                table.columns[at].not_null = true;
                table.unique = Some((at, format!("{}_pkey", create.name)));
            }
        }
        store.create(self.transaction, name, table);
        Ok(done("CREATE TABLE"))
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

/// A statement that brings nothing.
pub(super) fn done(verb: &'static str) -> Outcome {
    Outcome {
        verb,
        ..Outcome::default()
    }
}

fn unescape(field: &str) -> String {
    let (mut out, mut signs) = (String::with_capacity(field.len()), field.chars());
    while let Some(sign) = signs.next() {
        match (sign, sign == '\\') {
            (_, true) => match signs.next() {
                Some('t') => out.push('\t'),
                Some('n') => out.push('\n'),
                Some('r') => out.push('\r'),
                Some(other) => out.push(other),
                None => {}
            },
            (sign, false) => out.push(sign),
        }
    }
    out
}

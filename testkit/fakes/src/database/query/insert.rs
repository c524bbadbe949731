//! New rows: INSERT and COPY FROM.

use sqlparser::ast::{Expr, Insert, OnConflictAction, OnInsert, SetExpr};

use super::super::describe::*;
use super::super::storage::{Column, Stop, Store};
use super::super::value::Value;
use super::super::{Refusal, lock};
use super::{Outcome, Run};

impl Run<'_> {
    pub(super) fn insert(&mut self, insert: &Insert) -> Result<Outcome, Stop> {
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
    pub(crate) fn copy_in(
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

//! Statements on tables: what they take and bring, and what they do.

mod create_table;
mod insert;
mod select;

use std::sync::Mutex;

use sqlparser::ast::{Expr, SelectItem, Statement};

use super::describe::*;
use super::expr::{Parameters, Scope, unsupported};
use super::storage::{Column, Stop, Store, Transaction, Xid};
use super::surroundings::Surroundings;
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
}

/// A statement that brings nothing.
pub(super) fn done(verb: &'static str) -> Outcome {
    Outcome {
        verb,
        ..Outcome::default()
    }
}

//! What statements take and bring, before they are run.

use std::sync::Mutex;

use sqlparser::ast::{
    AssignmentTarget, Expr, FromTable, Insert, LimitClause, OnConflictAction, OnInsert, Query,
    SelectItem, SetExpr, Statement, TableFactor, TableObject, TableWithJoins,
};

use super::expr::{Parameters, call, infer, named, unsupported};
use super::storage::{Column, Store};
use super::surroundings::Surroundings;
use super::value::Type;
use super::{Refusal, lock};

/// What a statement takes and brings.
pub(super) type Shape = (Vec<Type>, Vec<(String, Type)>);

/// A statement's parameters and columns, with the types that the client gave.
pub(super) fn describe(
    statement: &Statement,
    given: &[Type],
    store: &Mutex<Store>,
    around: &dyn Surroundings,
) -> Result<Shape, Refusal> {
    let mut known = Parameters(
        given
            .iter()
            .map(|kind| (kind.0 != 0).then_some(*kind))
            .collect(),
    );
    let store = lock(store);
    let columns = match statement {
        Statement::Query(query) => shape(query, &store, around, &mut known)?,
        Statement::Insert(insert) => {
            let columns = table_columns(&around.table(&store, &insert_name(insert)?)?, &store)?;
            let targets = targets(insert, &columns)?;
            match insert.source.as_ref().map(|source| &*source.body) {
                Some(SetExpr::Values(values)) => {
                    for row in &values.rows {
                        for (expr, at) in row.iter().zip(&targets) {
                            if !is_default(expr) {
                                infer(expr, &[], Some(columns[*at].kind), &mut known)?;
                            }
                        }
                    }
                }
                Some(_) => {
                    let source = insert.source.as_ref().ok_or_else(|| unsupported(insert))?;
                    shape(source, &store, around, &mut known)?;
                }
                None => {}
            }
            if let Some(OnInsert::OnConflict(conflict)) = &insert.on
                && let OnConflictAction::DoUpdate(update) = &conflict.action
            {
                let both = with_excluded(&columns);
                for assignment in &update.assignments {
                    let at = assigned(&assignment.target, &columns)?;
                    infer(&assignment.value, &both, Some(columns[at].kind), &mut known)?;
                }
            }
            projection(
                insert.returning.as_deref().unwrap_or_default(),
                &columns,
                &mut known,
            )?
        }
        Statement::Update {
            table,
            assignments,
            selection,
            returning,
            ..
        } => {
            let columns = table_columns(&around.table(&store, &factor_name(table)?)?, &store)?;
            for assignment in assignments {
                let at = assigned(&assignment.target, &columns)?;
                infer(
                    &assignment.value,
                    &columns,
                    Some(columns[at].kind),
                    &mut known,
                )?;
            }
            selection.iter().try_for_each(|expr| {
                infer(expr, &columns, Some(Type::BOOL), &mut known).map(drop)
            })?;
            projection(
                returning.as_deref().unwrap_or_default(),
                &columns,
                &mut known,
            )?
        }
        Statement::Delete(delete) => {
            let columns =
                table_columns(&around.table(&store, &delete_name(&delete.from)?)?, &store)?;
            let selection = &delete.selection;
            selection.iter().try_for_each(|expr| {
                infer(expr, &columns, Some(Type::BOOL), &mut known).map(drop)
            })?;
            projection(
                delete.returning.as_deref().unwrap_or_default(),
                &columns,
                &mut known,
            )?
        }
        Statement::ShowVariable { variable } => {
            let name: Vec<String> = variable.iter().map(|word| word.value.clone()).collect();
            vec![(around.setting_name(&name.join("_")), Type::TEXT)]
        }
        _ => Vec::new(),
    };
    Ok((
        known
            .0
            .iter()
            .map(|kind| kind.unwrap_or(Type::TEXT))
            .collect(),
        columns,
    ))
}

pub(super) fn is_default(expr: &Expr) -> bool {
    matches!(expr, Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case("default"))
}

pub(super) fn table_columns(name: &str, store: &Store) -> Result<Vec<Column>, Refusal> {
    Ok(store.table(name)?.columns.clone())
}

pub(super) fn with_excluded(columns: &[Column]) -> Vec<Column> {
    let excluded = columns.iter().map(|column| Column {
        name: format!("excluded.{}", column.name),
        ..column.clone()
    });
    columns.iter().cloned().chain(excluded).collect()
}

pub(super) fn insert_name(insert: &Insert) -> Result<String, Refusal> {
    match &insert.table {
        TableObject::TableName(name) => Ok(name.to_string()),
        other @ TableObject::TableFunction(_) => Err(unsupported(other)),
    }
}

pub(super) fn factor_name(table: &TableWithJoins) -> Result<String, Refusal> {
    match &table.relation {
        TableFactor::Table { name, .. } if table.joins.is_empty() => Ok(name.to_string()),
        other => Err(unsupported(other)),
    }
}

pub(super) fn delete_name(from: &FromTable) -> Result<String, Refusal> {
    let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = from;
    tables
        .first()
        .map_or_else(|| Err(Refusal("42601", "no table".to_owned())), factor_name)
}

pub(super) fn assigned(target: &AssignmentTarget, columns: &[Column]) -> Result<usize, Refusal> {
    let AssignmentTarget::ColumnName(name) = target else {
        return Err(unsupported(target));
    };
    position(&name.to_string(), columns)
}

pub(super) fn position(name: &str, columns: &[Column]) -> Result<usize, Refusal> {
    let name = name.trim_matches('"');
    let at = columns
        .iter()
        .position(|column| column.name.eq_ignore_ascii_case(name));
    at.ok_or_else(|| Refusal("42703", format!("column \"{name}\" does not exist")))
}

/// The columns that an INSERT gives values for.
pub(super) fn targets(insert: &Insert, columns: &[Column]) -> Result<Vec<usize>, Refusal> {
    if insert.columns.is_empty() {
        return Ok((0..columns.len()).collect());
    }
    insert
        .columns
        .iter()
        .map(|ident| position(&ident.value, columns))
        .collect()
}

/// What a projection brings.
pub(super) fn projection(
    items: &[SelectItem],
    columns: &[Column],
    known: &mut Parameters,
) -> Result<Vec<(String, Type)>, Refusal> {
    let mut out = Vec::new();
    for item in items {
        let (expr, alias) = match item {
            SelectItem::UnnamedExpr(expr) => (expr, None),
            SelectItem::ExprWithAlias { expr, alias } => (expr, Some(alias.value.clone())),
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                out.extend(
                    columns
                        .iter()
                        .map(|column| (column.name.clone(), column.kind)),
                );
                continue;
            }
        };
        let kind = infer(expr, columns, None, known)?.unwrap_or(Type::TEXT);
        // A parameter of which nothing else is known is a text.
        infer(expr, columns, Some(Type::TEXT), known)?;
        out.push((alias.unwrap_or_else(|| column_name(expr)), kind));
    }
    Ok(out)
}

pub(super) fn column_name(expr: &Expr) -> String {
    match expr {
        Expr::Identifier(ident) => ident.value.clone(),
        Expr::CompoundIdentifier(parts) => parts[parts.len() - 1].value.clone(),
        Expr::Cast {
            expr, data_type, ..
        } => match column_name(expr).as_str() {
            "?column?" => named(data_type).map_or("?column?".to_owned(), |_| {
                data_type.to_string().to_lowercase()
            }),
            known => known.to_owned(),
        },
        Expr::Nested(inner) => column_name(inner),
        Expr::Case { .. } => "case".to_owned(),
        Expr::Array(_) => "array".to_owned(),
        other => call(other).map_or("?column?".to_owned(), |(name, _)| name),
    }
}

pub(super) fn shape(
    query: &Query,
    store: &Store,
    around: &dyn Surroundings,
    known: &mut Parameters,
) -> Result<Vec<(String, Type)>, Refusal> {
    let select = match &*query.body {
        SetExpr::Select(select) => select,
        SetExpr::Values(values) => {
            let first = values.rows.first().map(Vec::as_slice).unwrap_or_default();
            let mut out = Vec::new();
            for (at, expr) in first.iter().enumerate() {
                let kind = infer(expr, &[], None, known)?.unwrap_or(Type::TEXT);
                out.push((format!("column{}", at + 1), kind));
            }
            return Ok(out);
        }
        other => return Err(unsupported(other)),
    };
    let columns = match Source::of(&select.from)? {
        Source::None => Vec::new(),
        Source::Table(name) => table_columns(&around.table(store, &name)?, store)?,
        Source::Series(args, name) => {
            args.iter()
                .try_for_each(|arg| infer(arg, &[], Some(Type::INT4), known).map(drop))?;
            vec![series_column(name)]
        }
    };
    if let Some(selection) = &select.selection {
        infer(selection, &columns, Some(Type::BOOL), known)?;
    }
    let out = projection(&select.projection, &columns, known)?;
    if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
        let both = limit
            .iter()
            .chain(offset.iter().map(|offset| &offset.value));
        both.into_iter()
            .try_for_each(|expr| infer(expr, &[], Some(Type::INT8), known).map(drop))?;
    }
    Ok(out)
}

pub(super) enum Source<'a> {
    None,
    Table(String),
    Series(Vec<&'a Expr>, String),
}

impl<'a> Source<'a> {
    pub(super) fn of(from: &'a [TableWithJoins]) -> Result<Self, Refusal> {
        use sqlparser::ast::{FunctionArg, FunctionArgExpr};
        let Some(first) = from.first() else {
            return Ok(Self::None);
        };
        if from.len() > 1 || !first.joins.is_empty() {
            return Err(unsupported(first));
        }
        match &first.relation {
            TableFactor::Table {
                name,
                args: Some(args),
                alias,
                ..
            } if name.to_string().eq_ignore_ascii_case("generate_series") => {
                let exprs = args.args.iter().filter_map(|arg| match arg {
                    FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => Some(expr),
                    _ => None,
                });
                let name = alias
                    .as_ref()
                    .map_or("generate_series", |alias| &alias.name.value);
                Ok(Self::Series(exprs.collect(), name.to_owned()))
            }
            TableFactor::Table {
                name, args: None, ..
            } => Ok(Self::Table(name.to_string())),
            other => Err(unsupported(other)),
        }
    }
}

pub(super) fn series_column(name: String) -> Column {
    Column {
        name,
        kind: Type::INT4,
        not_null: true,
        default: None,
        serial: false,
    }
}

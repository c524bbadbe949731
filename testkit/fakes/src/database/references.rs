//! The tables and columns that statements refer to.

use sqlparser::ast::{
    AssignmentTarget, Expr, FromTable, Insert, TableFactor, TableObject, TableWithJoins,
};

use super::error::{SqlError, SqlState};
use super::expression::{positional_arguments, unsupported};
use super::storage::{Column, Store};
use super::value::Type;

/// Where a SELECT takes its rows from.
pub(super) enum RowSource<'a> {
    /// No FROM: one row without columns.
    None,
    /// A table, by the name in the statement.
    Table(String),
    /// `generate_series`.
    Series(Series<'a>),
}

/// A call of `generate_series` in a FROM clause.
pub(super) struct Series<'a> {
    pub(super) arguments: Vec<&'a Expr>,
    /// The name of its one column.
    column_name: String,
}

impl Series<'_> {
    /// Its one column.
    pub(super) fn column(&self) -> Column {
        Column {
            name: self.column_name.clone(),
            data_type: Type::INT4,
            not_null: true,
            default: None,
            is_serial: false,
        }
    }
}

impl<'a> RowSource<'a> {
    /// The source that a FROM clause names; an error for joins and subqueries.
    pub(super) fn parse(from: &'a [TableWithJoins]) -> Result<Self, SqlError> {
        let Some(first) = from.first() else {
            return Ok(Self::None);
        };
        if from.len() > 1 || !first.joins.is_empty() {
            return Err(unsupported(first));
        }
        match &first.relation {
            TableFactor::Table {
                name,
                args: Some(call),
                alias,
                ..
            } if name.to_string().eq_ignore_ascii_case("generate_series") => {
                let column_name = alias
                    .as_ref()
                    .map_or("generate_series", |alias| &alias.name.value);
                Ok(Self::Series(Series {
                    arguments: positional_arguments(&call.args),
                    column_name: column_name.to_owned(),
                }))
            }
            TableFactor::Table {
                name, args: None, ..
            } => Ok(Self::Table(name.to_string())),
            other => Err(unsupported(other)),
        }
    }
}

/// Whether an expression is the keyword DEFAULT.
pub(super) fn is_default(expr: &Expr) -> bool {
    matches!(expr, Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case("default"))
}

/// The columns of a table, by its stored name.
pub(super) fn table_columns(name: &str, store: &Store) -> Result<Vec<Column>, SqlError> {
    Ok(store.table(name)?.columns.clone())
}

/// A table's columns, followed by those of the row that INSERT .. ON CONFLICT did not insert.
pub(super) fn with_excluded(columns: &[Column]) -> Vec<Column> {
    let excluded = columns.iter().map(|column| Column {
        name: format!("excluded.{}", column.name),
        ..column.clone()
    });
    columns.iter().cloned().chain(excluded).collect()
}

/// The table that an INSERT names.
pub(super) fn insert_table(insert: &Insert) -> Result<String, SqlError> {
    match &insert.table {
        TableObject::TableName(name) => Ok(name.to_string()),
        other @ TableObject::TableFunction(_) => Err(unsupported(other)),
    }
}

/// The table that an UPDATE names.
pub(super) fn single_table(table: &TableWithJoins) -> Result<String, SqlError> {
    match &table.relation {
        TableFactor::Table { name, .. } if table.joins.is_empty() => Ok(name.to_string()),
        other => Err(unsupported(other)),
    }
}

/// The table that a DELETE names.
pub(super) fn delete_table(from: &FromTable) -> Result<String, SqlError> {
    let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = from;
    match tables.first() {
        Some(table) => single_table(table),
        None => Err(SqlError::new(SqlState::SYNTAX_ERROR, "no table")),
    }
}

/// The position of the column that an assignment sets.
pub(super) fn assigned_column(
    target: &AssignmentTarget,
    columns: &[Column],
) -> Result<usize, SqlError> {
    let AssignmentTarget::ColumnName(name) = target else {
        return Err(unsupported(target));
    };
    column_position(&name.to_string(), columns)
}

/// The position of a column; its name may be quoted.
pub(super) fn column_position(name: &str, columns: &[Column]) -> Result<usize, SqlError> {
    let name = name.trim_matches('"');
    let position = columns
        .iter()
        .position(|column| column.name.eq_ignore_ascii_case(name));
    position.ok_or_else(|| {
        SqlError::new(
            SqlState::UNDEFINED_COLUMN,
            format!("column \"{name}\" does not exist"),
        )
    })
}

/// The positions of the columns that an INSERT gives values for.
pub(super) fn insert_positions(
    insert: &Insert,
    columns: &[Column],
) -> Result<Vec<usize>, SqlError> {
    if insert.columns.is_empty() {
        return Ok((0..columns.len()).collect());
    }
    let positions = insert
        .columns
        .iter()
        .map(|ident| column_position(&ident.value, columns));
    positions.collect()
}

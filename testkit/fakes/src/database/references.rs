//! The tables and columns that statements refer to.

use sqlparser::ast::{
    AssignmentTarget, Expr, FromTable, Insert, TableFactor, TableObject, TableWithJoins,
};

use super::error::{SqlError, SqlState};
use super::expression::{positional_arguments, unsupported};
use super::storage::{Column, Store};
use super::value::Type;

/// The row source of a SELECT.
pub(super) enum RowSource<'a> {
    /// No FROM clause: one row without columns.
    None,
    /// A table, by its name in the statement.
    Table(String),
    /// A call of `generate_series`.
    Series(Series<'a>),
}

/// A call of `generate_series` in a FROM clause.
pub(super) struct Series<'a> {
    pub(super) arguments: Vec<&'a Expr>,
    /// The name of the single result column: the alias, or `generate_series`.
    column_name: String,
}

impl Series<'_> {
    /// The single result column.
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
    /// Parses a FROM clause; an error for joins, subqueries and several tables.
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
pub(super) fn is_default_keyword(expr: &Expr) -> bool {
    matches!(expr, Expr::Identifier(ident) if ident.value.eq_ignore_ascii_case("default"))
}

/// The columns of a table, by its stored name.
pub(super) fn table_columns(name: &str, store: &Store) -> Result<Vec<Column>, SqlError> {
    Ok(store.table(name)?.columns.clone())
}

/// A table's columns, followed by the columns of the special table `excluded` (the row proposed for insertion) of ON
/// CONFLICT DO UPDATE.
pub(super) fn with_excluded(columns: &[Column]) -> Vec<Column> {
    let excluded = columns.iter().map(|column| Column {
        name: format!("excluded.{}", column.name),
        ..column.clone()
    });
    columns.iter().cloned().chain(excluded).collect()
}

/// The name of the target table of an INSERT.
pub(super) fn insert_table(insert: &Insert) -> Result<String, SqlError> {
    match &insert.table {
        TableObject::TableName(name) => Ok(name.to_string()),
        other @ TableObject::TableFunction(_) => Err(unsupported(other)),
    }
}

/// The name of the only table of an UPDATE or DELETE; an error for a join.
pub(super) fn single_table(table: &TableWithJoins) -> Result<String, SqlError> {
    match &table.relation {
        TableFactor::Table { name, .. } if table.joins.is_empty() => Ok(name.to_string()),
        other => Err(unsupported(other)),
    }
}

/// The name of the target table of a DELETE.
pub(super) fn delete_table(from: &FromTable) -> Result<String, SqlError> {
    let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = from;
    match tables.first() {
        Some(table) => single_table(table),
        None => Err(SqlError::new(
            SqlState::SYNTAX_ERROR,
            "DELETE without a table",
        )),
    }
}

/// The position of the target column of an assignment.
pub(super) fn assigned_column(
    target: &AssignmentTarget,
    columns: &[Column],
) -> Result<usize, SqlError> {
    let AssignmentTarget::ColumnName(name) = target else {
        return Err(unsupported(target));
    };
    column_position(&name.to_string(), columns)
}

/// The position of a column; `name` may be in double quotes.
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

/// The positions of the target columns of an INSERT; all columns if the statement lists none.
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

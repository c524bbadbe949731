//! Describes statements before they are executed: the types of their parameters and the columns of their results.

use std::sync::Mutex;

use sqlparser::ast::{
    Assignment, Expr, Insert, LimitClause, OnConflictAction, OnInsert, Query, Select, SelectItem,
    SetExpr, Statement, TableWithJoins, Values,
};

use super::context::ExecutionContext;
use super::error::SqlError;
use super::expression::{FunctionCall, ParameterTypes, infer, resolve_type, unsupported};
use super::references::{
    RowSource, assigned_column, delete_table, insert_positions, insert_table, is_default_keyword,
    single_table, table_columns, with_excluded,
};
use super::result::ResultColumn;
use super::storage::{Column, Store};
use super::sync::lock;
use super::value::Type;

/// PostgreSQL's name for a result column whose expression implies no name.
const UNNAMED_COLUMN: &str = "?column?";

/// A statement's parameters and result columns.
pub(super) struct StatementDescription {
    pub(super) parameters: Vec<Type>,
    /// Empty for a statement that returns no rows.
    pub(super) columns: Vec<ResultColumn>,
}

/// Describes a statement. `specified` are the parameter types in the Parse message or PREPARE; type 0 leaves the type
/// of a parameter unspecified.
pub(super) fn describe(
    statement: &Statement,
    specified: &[Type],
    store: &Mutex<Store>,
    context: &dyn ExecutionContext,
) -> Result<StatementDescription, SqlError> {
    let parameter_types = specified
        .iter()
        .map(|data_type| (data_type.0 != 0).then_some(*data_type));
    let store = lock(store);
    let mut describer = Describer {
        store: &store,
        context,
        parameters: ParameterTypes(parameter_types.collect()),
    };
    let columns = describer.describe_statement(statement)?;
    let parameters = describer.parameters.0.iter();
    Ok(StatementDescription {
        parameters: parameters
            .map(|data_type| data_type.unwrap_or(Type::TEXT))
            .collect(),
        columns,
    })
}

/// The result columns of a query. `parameters` are the parameter types known in advance.
pub(super) fn query_columns(
    query: &Query,
    store: &Store,
    context: &dyn ExecutionContext,
    parameters: ParameterTypes,
) -> Result<Vec<ResultColumn>, SqlError> {
    let mut describer = Describer {
        store,
        context,
        parameters,
    };
    describer.describe_query(query)
}

/// The result columns of a projection (a select list or RETURNING list) over `columns`. The inferred types of
/// parameters are added to `parameters`.
pub(super) fn projection_columns(
    items: &[SelectItem],
    columns: &[Column],
    parameters: &mut ParameterTypes,
) -> Result<Vec<ResultColumn>, SqlError> {
    let mut result = Vec::new();
    for item in items {
        let (expr, alias) = match item {
            SelectItem::UnnamedExpr(expr) => (expr, None),
            SelectItem::ExprWithAlias { expr, alias } => (expr, Some(alias.value.clone())),
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                result.extend(columns.iter().map(result_column));
                continue;
            }
        };
        let data_type = infer(expr, columns, None, parameters)?.unwrap_or(Type::TEXT);
        // A parameter whose type is not determined elsewhere is a text.
        infer(expr, columns, Some(Type::TEXT), parameters)?;
        let name = alias.unwrap_or_else(|| default_column_name(expr));
        result.push(ResultColumn { name, data_type });
    }
    Ok(result)
}

fn result_column(column: &Column) -> ResultColumn {
    ResultColumn::new(column.name.clone(), column.data_type)
}

/// The name of a result column without an alias.
fn default_column_name(expr: &Expr) -> String {
    match expr {
        Expr::Identifier(ident) => ident.value.clone(),
        Expr::CompoundIdentifier(parts) => parts[parts.len() - 1].value.clone(),
        Expr::Cast {
            expr: inner,
            data_type,
            ..
        } => {
            let inner_name = default_column_name(inner);
            if inner_name == UNNAMED_COLUMN && resolve_type(data_type).is_ok() {
                data_type.to_string().to_lowercase()
            } else {
                inner_name
            }
        }
        Expr::Nested(inner) => default_column_name(inner),
        Expr::Case { .. } => "case".to_owned(),
        Expr::Array(_) => "array".to_owned(),
        other => FunctionCall::parse(other).map_or(UNNAMED_COLUMN.to_owned(), |call| call.name),
    }
}

/// Describes one statement, and collects the types of its parameters.
struct Describer<'a> {
    store: &'a Store,
    context: &'a dyn ExecutionContext,
    parameters: ParameterTypes,
}

impl Describer<'_> {
    fn describe_statement(&mut self, statement: &Statement) -> Result<Vec<ResultColumn>, SqlError> {
        match statement {
            Statement::Query(query) => self.describe_query(query),
            Statement::Insert(insert) => self.describe_insert(insert),
            Statement::Update {
                table,
                assignments,
                selection,
                returning,
                ..
            } => {
                let columns = self.updated_columns(table)?;
                self.infer_assignments(assignments, &columns, &columns)?;
                self.infer_condition(selection.as_ref(), &columns)?;
                self.describe_projection(returning.as_deref().unwrap_or_default(), &columns)
            }
            Statement::Delete(delete) => {
                let columns = self.columns_of(&delete_table(&delete.from)?)?;
                self.infer_condition(delete.selection.as_ref(), &columns)?;
                self.describe_projection(delete.returning.as_deref().unwrap_or_default(), &columns)
            }
            Statement::ShowVariable { variable } => {
                let identifiers: Vec<String> =
                    variable.iter().map(|ident| ident.value.clone()).collect();
                let name = self.context.canonical_setting_name(&identifiers.join("_"));
                Ok(vec![ResultColumn::new(name, Type::TEXT)])
            }
            _ => Ok(Vec::new()),
        }
    }

    fn updated_columns(&self, table: &TableWithJoins) -> Result<Vec<Column>, SqlError> {
        self.columns_of(&single_table(table)?)
    }

    /// The columns of a table, by its name in a statement.
    fn columns_of(&self, name: &str) -> Result<Vec<Column>, SqlError> {
        table_columns(&self.context.resolve_table(self.store, name)?, self.store)
    }

    fn describe_insert(&mut self, insert: &Insert) -> Result<Vec<ResultColumn>, SqlError> {
        let columns = self.columns_of(&insert_table(insert)?)?;
        let positions = insert_positions(insert, &columns)?;
        if let Some(source) = &insert.source {
            match &*source.body {
                SetExpr::Values(values) => {
                    self.infer_inserted_values(values, &positions, &columns)?;
                }
                _ => {
                    self.describe_query(source)?;
                }
            }
        }
        if let Some(OnInsert::OnConflict(conflict)) = &insert.on
            && let OnConflictAction::DoUpdate(update) = &conflict.action
        {
            let scope = with_excluded(&columns);
            self.infer_assignments(&update.assignments, &columns, &scope)?;
        }
        self.describe_projection(insert.returning.as_deref().unwrap_or_default(), &columns)
    }

    fn infer_inserted_values(
        &mut self,
        values: &Values,
        positions: &[usize],
        columns: &[Column],
    ) -> Result<(), SqlError> {
        for row in &values.rows {
            for (expr, position) in row.iter().zip(positions) {
                if !is_default_keyword(expr) {
                    self.infer(expr, &[], Some(columns[*position].data_type))?;
                }
            }
        }
        Ok(())
    }

    /// Infers the expressions of assignments to `columns`; the expressions may refer to the columns of `scope`.
    fn infer_assignments(
        &mut self,
        assignments: &[Assignment],
        columns: &[Column],
        scope: &[Column],
    ) -> Result<(), SqlError> {
        for assignment in assignments {
            let position = assigned_column(&assignment.target, columns)?;
            let data_type = columns[position].data_type;
            self.infer(&assignment.value, scope, Some(data_type))?;
        }
        Ok(())
    }

    fn describe_query(&mut self, query: &Query) -> Result<Vec<ResultColumn>, SqlError> {
        match &*query.body {
            SetExpr::Select(select) => self.describe_select(query, select),
            SetExpr::Values(values) => self.describe_values(values),
            other => Err(unsupported(other)),
        }
    }

    fn describe_values(&mut self, values: &Values) -> Result<Vec<ResultColumn>, SqlError> {
        let first = values.rows.first().map(Vec::as_slice).unwrap_or_default();
        let mut columns = Vec::new();
        for (position, expr) in first.iter().enumerate() {
            let data_type = self.infer(expr, &[], None)?.unwrap_or(Type::TEXT);
            columns.push(ResultColumn::new(
                format!("column{}", position + 1),
                data_type,
            ));
        }
        Ok(columns)
    }

    fn describe_select(
        &mut self,
        query: &Query,
        select: &Select,
    ) -> Result<Vec<ResultColumn>, SqlError> {
        let columns = match RowSource::parse(&select.from)? {
            RowSource::None => Vec::new(),
            RowSource::Table(name) => self.columns_of(&name)?,
            RowSource::Series(series) => {
                for argument in &series.arguments {
                    self.infer(argument, &[], Some(Type::INT4))?;
                }
                vec![series.column()]
            }
        };
        self.infer_condition(select.selection.as_ref(), &columns)?;
        let result = self.describe_projection(&select.projection, &columns)?;
        if let Some(LimitClause::LimitOffset { limit, offset, .. }) = &query.limit_clause {
            let offset = offset.as_ref().map(|offset| &offset.value);
            for count in limit.iter().chain(offset) {
                self.infer(count, &[], Some(Type::INT8))?;
            }
        }
        Ok(result)
    }

    fn infer_condition(
        &mut self,
        condition: Option<&Expr>,
        columns: &[Column],
    ) -> Result<(), SqlError> {
        if let Some(condition) = condition {
            self.infer(condition, columns, Some(Type::BOOL))?;
        }
        Ok(())
    }

    fn describe_projection(
        &mut self,
        items: &[SelectItem],
        columns: &[Column],
    ) -> Result<Vec<ResultColumn>, SqlError> {
        projection_columns(items, columns, &mut self.parameters)
    }

    fn infer(
        &mut self,
        expr: &Expr,
        columns: &[Column],
        expected: Option<Type>,
    ) -> Result<Option<Type>, SqlError> {
        infer(expr, columns, expected, &mut self.parameters)
    }
}

//! SQL expressions: helpers shared by type inference ([`infer`]) and evaluation ([`EvaluationScope`]).

mod arithmetic;
mod comparison;
mod evaluation;
mod inference;

use sqlparser::ast::{
    BinaryOperator, DataType, Expr, FunctionArg, FunctionArgExpr, FunctionArguments,
    Value as Literal,
};

use super::error::{SqlError, SqlState};
use super::storage::Column;
use super::value::Type;

pub(super) use evaluation::EvaluationScope;
pub(super) use inference::{ParameterTypes, infer};

/// A column that an expression refers to, and its position in the row.
struct ColumnReference<'a> {
    position: usize,
    column: &'a Column,
}

/// A function call: the name in lower case, and the positional arguments.
pub(super) struct FunctionCall<'a> {
    pub(super) name: String,
    pub(super) arguments: Vec<&'a Expr>,
}

impl<'a> FunctionCall<'a> {
    /// The function call, or `None` if the expression is not a function call.
    pub(super) fn parse(expr: &'a Expr) -> Option<Self> {
        let Expr::Function(function) = expr else {
            return None;
        };
        let name = function.name.0.last()?.to_string().to_ascii_lowercase();
        let arguments = match &function.args {
            FunctionArguments::List(list) => positional_arguments(&list.args),
            _ => Vec::new(),
        };
        Some(Self { name, arguments })
    }
}

/// The arguments in positional notation; named arguments and `*` are left out.
pub(super) fn positional_arguments(arguments: &[FunctionArg]) -> Vec<&Expr> {
    let expressions = arguments.iter().filter_map(|argument| match argument {
        FunctionArg::Unnamed(FunctionArgExpr::Expr(expr)) => Some(expr),
        _ => None,
    });
    expressions.collect()
}

/// The error for SQL that this server does not implement.
pub(super) fn unsupported(syntax: &impl std::fmt::Display) -> SqlError {
    SqlError::new(
        SqlState::FEATURE_NOT_SUPPORTED,
        format!("not supported by the fake PostgreSQL server: {syntax}"),
    )
}

/// The type that a type name in SQL refers to; an error if the server does not have the type.
pub(super) fn resolve_type(data_type: &DataType) -> Result<Type, SqlError> {
    let name = data_type.to_string();
    Type::named(&name).ok_or_else(|| {
        SqlError::new(
            SqlState::UNDEFINED_OBJECT,
            format!("type \"{}\" does not exist", name.to_lowercase()),
        )
    })
}

/// The zero-based position of a parameter (0 for `$1`); `None` if the expression is not a parameter.
fn parameter_position(expr: &Expr) -> Option<usize> {
    let Expr::Value(value) = expr else {
        return None;
    };
    let Literal::Placeholder(name) = &value.value else {
        return None;
    };
    let number: usize = name.strip_prefix('$')?.parse().ok()?;
    number.checked_sub(1)
}

/// The column that an expression refers to; `None` if the expression is not a column reference, and an error if the
/// column does not exist.
fn column_reference<'a>(
    expr: &Expr,
    columns: &'a [Column],
) -> Result<Option<ColumnReference<'a>>, SqlError> {
    let name = match expr {
        Expr::Identifier(ident) => ident.value.clone(),
        // In ON CONFLICT DO UPDATE, `columns` also holds the columns of the special table `excluded`.
        Expr::CompoundIdentifier(parts) if parts[0].value.eq_ignore_ascii_case("excluded") => {
            format!("excluded.{}", parts[parts.len() - 1].value)
        }
        Expr::CompoundIdentifier(parts) => parts[parts.len() - 1].value.clone(),
        _ => return Ok(None),
    };
    let position = columns
        .iter()
        .position(|column| column.name.eq_ignore_ascii_case(&name))
        .ok_or_else(|| {
            SqlError::new(
                SqlState::UNDEFINED_COLUMN,
                format!("column \"{name}\" does not exist"),
            )
        })?;
    Ok(Some(ColumnReference {
        position,
        column: &columns[position],
    }))
}

/// Whether an operator is a comparison operator.
fn is_comparison(operator: &BinaryOperator) -> bool {
    matches!(
        operator,
        BinaryOperator::Eq
            | BinaryOperator::NotEq
            | BinaryOperator::Lt
            | BinaryOperator::LtEq
            | BinaryOperator::Gt
            | BinaryOperator::GtEq
    )
}

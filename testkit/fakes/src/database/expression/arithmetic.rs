//! Logical operators, string concatenation and arithmetic.

use sqlparser::ast::BinaryOperator;

use super::unsupported;
use crate::database::error::{SqlError, SqlState};
use crate::database::value::{Type, Value};

/// AND in three-valued logic.
pub(super) fn logical_and(left: &Value, right: &Value) -> Value {
    match (left, right) {
        (Value::Bool(false), _) | (_, Value::Bool(false)) => Value::Bool(false),
        (Value::Bool(true), Value::Bool(true)) => Value::Bool(true),
        _ => Value::Null,
    }
}

/// OR in three-valued logic.
pub(super) fn logical_or(left: &Value, right: &Value) -> Value {
    match (left, right) {
        (Value::Bool(true), _) | (_, Value::Bool(true)) => Value::Bool(true),
        (Value::Bool(false), Value::Bool(false)) => Value::Bool(false),
        _ => Value::Null,
    }
}

/// The `||` operator.
pub(super) fn concatenate(left: &Value, right: &Value) -> Value {
    Value::Text(left.text(Type::TEXT) + &right.text(Type::TEXT))
}

/// The negated number; `None` if the value is not a number.
pub(super) fn negate(value: Value) -> Option<Value> {
    match value {
        Value::Int(number) => Some(Value::Int(-number)),
        Value::Float(number) => Some(Value::Float(-number)),
        Value::Numeric(digits) => Some(Value::Numeric(format!("-{digits}"))),
        _ => None,
    }
}

/// `+`, `-`, `*`, `/` and `%` of two values, neither of which is NULL.
pub(super) fn evaluate_arithmetic(
    left: Value,
    operator: &BinaryOperator,
    right: Value,
) -> Result<Value, SqlError> {
    match (to_number(left)?, to_number(right)?) {
        (Value::Int(left), Value::Int(right)) => integer_arithmetic(left, operator, right),
        (left, right) => float_arithmetic(left, operator, right),
    }
}

/// An operand of an arithmetic operator; a string literal is read as an integer.
fn to_number(value: Value) -> Result<Value, SqlError> {
    match value {
        Value::Text(text) => Value::read_text(Type::INT8, &text),
        other => Ok(other),
    }
}

fn integer_arithmetic(left: i64, operator: &BinaryOperator, right: i64) -> Result<Value, SqlError> {
    let result = match operator {
        BinaryOperator::Plus => left.checked_add(right),
        BinaryOperator::Minus => left.checked_sub(right),
        BinaryOperator::Multiply => left.checked_mul(right),
        BinaryOperator::Divide | BinaryOperator::Modulo if right == 0 => {
            return Err(division_by_zero());
        }
        BinaryOperator::Divide => left.checked_div(right),
        BinaryOperator::Modulo => left.checked_rem(right),
        other => return Err(unsupported(other)),
    };
    result
        .map(Value::Int)
        .ok_or_else(|| SqlError::new(SqlState::NUMERIC_VALUE_OUT_OF_RANGE, "bigint out of range"))
}

/// Arithmetic in double precision; the result is NUMERIC if both operands are exact numbers (integer or NUMERIC).
fn float_arithmetic(
    left: Value,
    operator: &BinaryOperator,
    right: Value,
) -> Result<Value, SqlError> {
    let is_exact = is_exact_number(&left) && is_exact_number(&right);
    let (Value::Float(left), Value::Float(right)) =
        (left.cast(Type::FLOAT8)?, right.cast(Type::FLOAT8)?)
    else {
        return Err(unsupported(operator));
    };
    let result = match operator {
        BinaryOperator::Plus => left + right,
        BinaryOperator::Minus => left - right,
        BinaryOperator::Multiply => left * right,
        BinaryOperator::Divide if right == 0.0 => return Err(division_by_zero()),
        BinaryOperator::Divide => left / right,
        other => return Err(unsupported(other)),
    };
    Ok(if is_exact {
        Value::Numeric(result.to_string())
    } else {
        Value::Float(result)
    })
}

fn is_exact_number(value: &Value) -> bool {
    matches!(value, Value::Numeric(_) | Value::Int(_))
}

fn division_by_zero() -> SqlError {
    SqlError::new(SqlState::DIVISION_BY_ZERO, "division by zero")
}

//! Comparison operators and LIKE.

use sqlparser::ast::BinaryOperator;

use super::unsupported;
use crate::database::error::SqlError;
use crate::database::value::{Type, Value};

/// The result of a comparison operator; NULL if either value is NULL.
pub(super) fn compare(
    left: &Value,
    operator: &BinaryOperator,
    right: &Value,
) -> Result<Value, SqlError> {
    let typed_left = read_as_type_of(left, right)?;
    let typed_right = read_as_type_of(right, left)?;
    let Some(order) = typed_left.compare(&typed_right) else {
        return Ok(Value::Null);
    };
    Ok(Value::Bool(match operator {
        BinaryOperator::Eq => order.is_eq(),
        BinaryOperator::NotEq => order.is_ne(),
        BinaryOperator::Lt => order.is_lt(),
        BinaryOperator::LtEq => order.is_le(),
        BinaryOperator::Gt => order.is_gt(),
        BinaryOperator::GtEq => order.is_ge(),
        other => return Err(unsupported(other)),
    }))
}

/// The value, where a text value is read as the type of `other`, as PostgreSQL does with a literal of unknown type.
fn read_as_type_of(value: &Value, other: &Value) -> Result<Value, SqlError> {
    match (value, type_of(other)) {
        (Value::Text(text), Some(other_type)) => Value::read_text(other_type, text),
        _ => Ok(value.clone()),
    }
}

/// The type of a value; `None` for texts, arrays and NULL.
fn type_of(value: &Value) -> Option<Type> {
    match value {
        Value::Int(_) => Some(Type::INT8),
        Value::Float(_) => Some(Type::FLOAT8),
        Value::Numeric(_) => Some(Type::NUMERIC),
        Value::Bool(_) => Some(Type::BOOL),
        Value::Uuid(_) => Some(Type::UUID),
        Value::Date(_) => Some(Type::DATE),
        Value::Timestamp(_) => Some(Type::TIMESTAMPTZ),
        Value::Bytes(_) => Some(Type::BYTEA),
        _ => None,
    }
}

/// Whether a text matches a LIKE pattern, in which `%` matches any sequence of characters and `_` any one character.
pub(super) fn matches_like(text: &str, pattern: &str) -> bool {
    let mut pattern_characters = pattern.chars();
    match pattern_characters.next() {
        None => text.is_empty(),
        Some('%') => {
            let remaining_pattern = pattern_characters.as_str();
            text.char_indices()
                .any(|(start, _)| matches_like(&text[start..], remaining_pattern))
                || matches_like("", remaining_pattern)
        }
        Some(expected) => {
            let mut characters = text.chars();
            let first_matches = characters
                .next()
                .is_some_and(|first| expected == '_' || expected == first);
            first_matches && matches_like(characters.as_str(), pattern_characters.as_str())
        }
    }
}

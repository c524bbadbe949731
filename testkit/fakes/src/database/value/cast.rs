//! Conversion of values to other types by casts and assignments.

use super::text::invalid_text;
use super::{Type, Value};
use crate::database::error::SqlError;

const MICROSECONDS_PER_DAY: i64 = 86_400_000_000;

impl Value {
    /// Converts the value to another type, as a cast or an assignment does. A value is returned unchanged if there is
    /// no conversion to the type.
    pub fn cast(self, target: Type) -> Result<Self, SqlError> {
        match (self, target) {
            (Self::Null, _) => Ok(Self::Null),
            (Self::Int(number), _) => cast_integer(number, target),
            (Self::Float(number), Type::INT2 | Type::INT4 | Type::INT8) => {
                Self::Int(round_to_integer(number)).check_range(target)
            }
            (Self::Float(number), Type::NUMERIC) => Ok(Self::Numeric(number.to_string())),
            (Self::Numeric(digits), Type::INT2 | Type::INT4 | Type::INT8) => {
                let number = parse_float(&digits, target)?;
                Self::Int(round_to_integer(number)).check_range(target)
            }
            (Self::Numeric(digits), Type::FLOAT4 | Type::FLOAT8) => {
                parse_float(&digits, target).map(Self::Float)
            }
            (Self::Bool(truth), Type::INT4 | Type::INT8) => Ok(Self::Int(i64::from(truth))),
            (Self::Date(days), Type::TIMESTAMP | Type::TIMESTAMPTZ) => Ok(Self::Timestamp(
                i64::from(days).saturating_mul(MICROSECONDS_PER_DAY),
            )),
            (Self::Timestamp(microseconds), Type::DATE) => {
                let days = microseconds.div_euclid(MICROSECONDS_PER_DAY);
                Ok(Self::Date(i32::try_from(days).unwrap_or_default()))
            }
            (Self::Text(text), _) if !is_text_type(target) => Self::read_text(target, &text),
            (Self::Array(elements), _) if target.element().is_some() => {
                cast_array(elements, target.element().unwrap_or(Type::TEXT))
            }
            (value, _) if is_text_type(target) => Ok(value.cast_to_text(target)),
            (value, _) => Ok(value),
        }
    }

    fn cast_to_text(self, target: Type) -> Self {
        match self {
            // A cast to text gives `true` or `false`, but the text format of a boolean is `t` or `f`.
            Self::Bool(truth) => Self::Text(truth.to_string()),
            other => Self::Text(other.text(target)),
        }
    }
}

fn cast_integer(number: i64, target: Type) -> Result<Value, SqlError> {
    match target {
        Type::INT2 | Type::INT4 | Type::INT8 | Type::OID => Value::Int(number).check_range(target),
        Type::FLOAT4 | Type::FLOAT8 => Ok(Value::Float(number as f64)),
        Type::NUMERIC => Ok(Value::Numeric(number.to_string())),
        Type::BOOL => Ok(Value::Bool(number != 0)),
        _ if is_text_type(target) => Ok(Value::Int(number).cast_to_text(target)),
        _ => Ok(Value::Int(number)),
    }
}

fn cast_array(elements: Vec<Value>, element_type: Type) -> Result<Value, SqlError> {
    let cast = elements.into_iter().map(|value| value.cast(element_type));
    cast.collect::<Result<_, _>>().map(Value::Array)
}

fn is_text_type(data_type: Type) -> bool {
    matches!(data_type, Type::TEXT | Type::VARCHAR | Type::NAME)
}

fn parse_float(digits: &str, target: Type) -> Result<f64, SqlError> {
    digits.parse().map_err(|_| invalid_text(target, digits))
}

/// The nearest integer, saturated to the range of `i64`.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the cast saturates at the limits of i64, as intended"
)]
fn round_to_integer(number: f64) -> i64 {
    number.round() as i64
}

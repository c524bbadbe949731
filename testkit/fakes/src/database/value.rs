//! Values and their types, in the text and binary forms in which they pass.
//!
//! Source: PostgreSQL documentation, chapter "Data Types"; the binary forms are those of the servers' send and receive
//! functions.

mod array;
mod binary;
mod numeric;
mod text;
mod types;

use std::cmp::Ordering;

use chrono::{NaiveDate, NaiveDateTime};

use super::Refusal;
use text::bad;
pub(super) use types::ARRAYS;
pub use types::Type;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// NULL.
    Null,
    /// A truth value.
    Bool(bool),
    /// An integer of any width.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// A decimal number, as its digits.
    Numeric(String),
    /// A text, and all that is written as one (json, name).
    Text(String),
    /// Bytes.
    Bytes(Vec<u8>),
    /// A UUID.
    Uuid([u8; 16]),
    /// Days since 2000-01-01.
    Date(i32),
    /// Microseconds since 2000-01-01, UTC.
    Timestamp(i64),
    /// An array of one dimension.
    Array(Vec<Value>),
}

fn epoch() -> NaiveDateTime {
    NaiveDate::from_ymd_opt(2000, 1, 1)
        .and_then(|day| day.and_hms_opt(0, 0, 0))
        .unwrap_or_default()
}

impl Value {
    /// An integer, if it fits into the type's width.
    fn fit(self, kind: Type) -> Result<Self, Refusal> {
        let Self::Int(number) = self else {
            return Ok(self);
        };
        let (fits, name) = match kind {
            Type::INT2 => (i16::try_from(number).is_ok(), "smallint"),
            Type::INT4 => (i32::try_from(number).is_ok(), "integer"),
            Type::OID => (u32::try_from(number).is_ok(), "OID"),
            _ => (true, ""),
        };
        if fits {
            Ok(self)
        } else {
            Err(Refusal("22003", format!("{name} out of range")))
        }
    }

    /// The same as another type, as a cast or an assignment makes it.
    pub fn cast(self, kind: Type) -> Result<Self, Refusal> {
        Ok(match (self, kind) {
            (Self::Null, _) => Self::Null,
            (value @ Self::Int(_), Type::INT2 | Type::INT4 | Type::INT8 | Type::OID) => {
                value.fit(kind)?
            }
            (Self::Int(number), Type::FLOAT4 | Type::FLOAT8) => Self::Float(number as f64),
            (Self::Int(number), Type::NUMERIC) => Self::Numeric(number.to_string()),
            (Self::Int(number), Type::BOOL) => Self::Bool(number != 0),
            (Self::Float(number), Type::INT2 | Type::INT4 | Type::INT8) => {
                Self::Int(number.round() as i64).fit(kind)?
            }
            (Self::Float(number), Type::NUMERIC) => Self::Numeric(number.to_string()),
            (Self::Numeric(digits), Type::INT2 | Type::INT4 | Type::INT8) => {
                let number: f64 = digits.parse().map_err(|_| bad(kind, &digits))?;
                Self::Int(number.round() as i64).fit(kind)?
            }
            (Self::Numeric(digits), Type::FLOAT4 | Type::FLOAT8) => {
                Self::Float(digits.parse().map_err(|_| bad(kind, &digits))?)
            }
            (Self::Bool(truth), Type::INT4 | Type::INT8) => Self::Int(i64::from(truth)),
            (Self::Date(days), Type::TIMESTAMP | Type::TIMESTAMPTZ) => {
                Self::Timestamp(i64::from(days).saturating_mul(86_400_000_000))
            }
            (Self::Timestamp(at), Type::DATE) => {
                Self::Date(i32::try_from(at.div_euclid(86_400_000_000)).unwrap_or_default())
            }
            (Self::Text(text), _) if !matches!(kind, Type::TEXT | Type::VARCHAR | Type::NAME) => {
                Self::read_text(kind, &text)?
            }
            (Self::Array(all), _) if kind.element().is_some() => {
                let element = kind.element().unwrap_or(Type::TEXT);
                Self::Array(
                    all.into_iter()
                        .map(|one| one.cast(element))
                        .collect::<Result<_, _>>()?,
                )
            }
            (value, Type::TEXT | Type::VARCHAR | Type::NAME) => match value {
                Self::Bool(truth) => Self::Text(truth.to_string()),
                other => Self::Text(other.text(kind)),
            },
            (value, _) => value,
        })
    }

    /// The order of two values, none if either is NULL.
    pub fn order(&self, other: &Self) -> Option<Ordering> {
        let number = |value: &Self| match value {
            Self::Int(number) => Some(*number as f64),
            Self::Float(number) => Some(*number),
            Self::Numeric(digits) => digits.parse().ok(),
            _ => None,
        };
        match (self, other) {
            (Self::Null, _) | (_, Self::Null) => None,
            (Self::Int(a), Self::Int(b)) => Some(a.cmp(b)),
            (Self::Text(a), Self::Text(b)) => Some(a.cmp(b)),
            (Self::Bool(a), Self::Bool(b)) => Some(a.cmp(b)),
            (Self::Bytes(a), Self::Bytes(b)) => Some(a.cmp(b)),
            (Self::Uuid(a), Self::Uuid(b)) => Some(a.cmp(b)),
            (Self::Date(a), Self::Date(b)) => Some(a.cmp(b)),
            (Self::Timestamp(a), Self::Timestamp(b)) => Some(a.cmp(b)),
            (Self::Array(a), Self::Array(b)) => {
                let first = a
                    .iter()
                    .zip(b)
                    .find_map(|(a, b)| a.order(b).filter(|order| order.is_ne()));
                Some(first.unwrap_or(a.len().cmp(&b.len())))
            }
            (a, b) => match (number(a), number(b)) {
                (Some(a), Some(b)) => a.partial_cmp(&b),
                _ => Some(a.text(Type::TEXT).cmp(&b.text(Type::TEXT))),
            },
        }
    }
}

#[cfg(test)]
mod tests;

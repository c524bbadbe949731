//! Values, their sort order, and their text and binary formats.
//!
//! Source: PostgreSQL documentation, chapter "Data Types"; the binary formats are those of PostgreSQL's send and
//! receive functions.

mod array;
mod binary;
mod cast;
mod numeric;
mod range;
mod text;
mod types;

use std::cmp::Ordering;

use chrono::{NaiveDate, NaiveDateTime};

pub use types::Type;
pub(super) use types::{TYPES, TypeEntry};

/// A value of a SQL type.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// NULL.
    Null,
    /// A boolean.
    Bool(bool),
    /// An integer of any integer type, or an `oid`.
    Int(i64),
    /// A `float4` or `float8`.
    Float(f64),
    /// A `numeric`, in decimal digits with an optional sign and fraction, or `NaN`.
    Numeric(String),
    /// A text, or a value of another type that is stored as text (`json`, `jsonb`, `name`).
    Text(String),
    /// A `bytea`.
    Bytes(Vec<u8>),
    /// A `uuid`.
    Uuid([u8; 16]),
    /// A `date`, in days since 2000-01-01.
    Date(i32),
    /// A timestamp with or without time zone, in microseconds since 2000-01-01 00:00:00 UTC.
    Timestamp(i64),
    /// A one-dimensional array.
    Array(Vec<Value>),
}

impl Value {
    /// Compares two values; `None` if either is NULL, or if both are numbers and either is NaN. Values of different
    /// types are compared as numbers if both are numbers, otherwise by their text format.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self, other) {
            (Self::Null, _) | (_, Self::Null) => None,
            (Self::Int(left), Self::Int(right)) => Some(left.cmp(right)),
            (Self::Text(left), Self::Text(right)) => Some(left.cmp(right)),
            (Self::Bool(left), Self::Bool(right)) => Some(left.cmp(right)),
            (Self::Bytes(left), Self::Bytes(right)) => Some(left.cmp(right)),
            (Self::Uuid(left), Self::Uuid(right)) => Some(left.cmp(right)),
            (Self::Date(left), Self::Date(right)) => Some(left.cmp(right)),
            (Self::Timestamp(left), Self::Timestamp(right)) => Some(left.cmp(right)),
            (Self::Array(left), Self::Array(right)) => Some(compare_arrays(left, right)),
            (left, right) => match (left.as_number(), right.as_number()) {
                (Some(left), Some(right)) => left.partial_cmp(&right),
                _ => Some(left.text(Type::TEXT).cmp(&right.text(Type::TEXT))),
            },
        }
    }

    fn as_number(&self) -> Option<f64> {
        match self {
            Self::Int(number) => Some(*number as f64),
            Self::Float(number) => Some(*number),
            Self::Numeric(digits) => digits.parse().ok(),
            _ => None,
        }
    }
}

/// Compares arrays by the first elements that differ, then by their lengths.
fn compare_arrays(left: &[Value], right: &[Value]) -> Ordering {
    let first_difference = left
        .iter()
        .zip(right)
        .find_map(|(left, right)| left.compare(right).filter(|order| order.is_ne()));
    first_difference.unwrap_or(left.len().cmp(&right.len()))
}

/// PostgreSQL's epoch for dates and timestamps: 2000-01-01 00:00:00 UTC.
fn epoch() -> NaiveDateTime {
    NaiveDate::from_ymd_opt(2000, 1, 1)
        .and_then(|day| day.and_hms_opt(0, 0, 0))
        .unwrap_or_default()
}

#[cfg(test)]
mod tests;

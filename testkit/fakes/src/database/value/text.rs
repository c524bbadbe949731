//! The text format of values.

use std::fmt::Write as _;

use chrono::{DateTime, NaiveDate, NaiveDateTime, TimeDelta};

use super::array::{quote_element, read_array};
use super::{Type, Value, epoch};
use crate::database::error::{SqlError, SqlState};

/// The prefix of a `bytea` in hex format.
const HEX_PREFIX: &str = "\\x";

/// The length of a date in text format, such as `2000-01-01`.
const DATE_LENGTH: usize = 10;

/// The error for a text that is not a value of this type in text format.
pub(super) fn invalid_text(data_type: Type, text: &str) -> SqlError {
    SqlError::new(
        SqlState::INVALID_TEXT_REPRESENTATION,
        format!(
            "invalid input syntax for type {}: \"{text}\"",
            data_type.display_name()
        ),
    )
}

impl Value {
    /// Parses a value from the text format of a type.
    pub fn read_text(data_type: Type, text: &str) -> Result<Self, SqlError> {
        let invalid = || invalid_text(data_type, text);
        if let Some(element_type) = data_type.element() {
            return read_array(element_type, text).ok_or_else(invalid)?;
        }
        let trimmed = text.trim();
        let read = match data_type {
            Type::BOOL => read_bool(trimmed),
            Type::INT2 | Type::INT4 | Type::INT8 | Type::OID => {
                let integer = trimmed.parse().map_err(|_| invalid())?;
                return Self::Int(integer).check_range(data_type);
            }
            Type::FLOAT4 | Type::FLOAT8 => trimmed.parse().ok().map(Self::Float),
            Type::NUMERIC => read_numeric(trimmed),
            Type::BYTEA => read_bytes(text),
            Type::UUID => read_uuid(trimmed),
            Type::DATE => read_date(trimmed),
            Type::TIMESTAMP | Type::TIMESTAMPTZ => read_timestamp(trimmed).map(Self::Timestamp),
            Type::JSON => serde_json::from_str::<serde_json::Value>(text)
                .ok()
                .map(|_| Self::Text(text.to_owned())),
            Type::JSONB => serde_json::from_str(text)
                .ok()
                .map(|json| Self::Text(write_jsonb(&json))),
            _ => Some(Self::Text(text.to_owned())),
        };
        read.ok_or_else(invalid)
    }

    /// Formats the value in the text format of a type; NULL as an empty string.
    pub fn text(&self, data_type: Type) -> String {
        match self {
            Self::Null => String::new(),
            Self::Bool(truth) => if *truth { "t" } else { "f" }.to_owned(),
            Self::Int(number) => number.to_string(),
            Self::Float(number) => write_float(*number, data_type),
            Self::Numeric(digits) => digits.clone(),
            Self::Text(text) => text.clone(),
            Self::Bytes(bytes) => format!("{HEX_PREFIX}{}", to_hex(bytes)),
            Self::Uuid(bytes) => write_uuid(bytes),
            Self::Date(days) => write_date(*days),
            Self::Timestamp(microseconds) => write_timestamp(*microseconds, data_type),
            Self::Array(elements) => write_array(elements, data_type),
        }
    }
}

fn read_bool(text: &str) -> Option<Value> {
    match text.to_ascii_lowercase().as_str() {
        "t" | "true" | "on" | "yes" | "1" | "y" => Some(Value::Bool(true)),
        "f" | "false" | "off" | "no" | "0" | "n" => Some(Value::Bool(false)),
        _ => None,
    }
}

/// Parses a `numeric`. Digits are kept unchanged; a number with an exponent is converted by way of `f64`.
fn read_numeric(text: &str) -> Option<Value> {
    let digits = text.strip_prefix(['-', '+']).unwrap_or(text);
    let is_plain = !digits.is_empty()
        && digits
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if is_plain || text.eq_ignore_ascii_case("nan") {
        return Some(Value::Numeric(text.trim_start_matches('+').to_owned()));
    }
    let number: f64 = text.parse().ok()?;
    Some(Value::Numeric(number.to_string()))
}

fn read_bytes(text: &str) -> Option<Value> {
    match text.strip_prefix(HEX_PREFIX) {
        Some(hex) => from_hex(hex).map(Value::Bytes),
        None => Some(Value::Bytes(text.as_bytes().to_vec())),
    }
}

fn read_uuid(text: &str) -> Option<Value> {
    let digits: String = text
        .chars()
        .filter(|character| !matches!(character, '-' | '{' | '}'))
        .collect();
    let bytes = from_hex(&digits)?.try_into().ok()?;
    Some(Value::Uuid(bytes))
}

/// Parses a date; any text after the date is ignored.
fn read_date(text: &str) -> Option<Value> {
    let day: NaiveDate = text.get(..DATE_LENGTH)?.parse().ok()?;
    let days = (day - epoch().date()).num_days();
    i32::try_from(days).ok().map(Value::Date)
}

/// Parses a timestamp, with or without a time zone, to microseconds since the [`epoch`].
fn read_timestamp(text: &str) -> Option<i64> {
    let text = text.replace('T', " ");
    let zoned_formats = ["%Y-%m-%d %H:%M:%S%.f%#z", "%Y-%m-%d %H:%M:%S%.f %#z"];
    let zoned = zoned_formats
        .iter()
        .find_map(|format| DateTime::parse_from_str(&text, format).ok());
    if let Some(zoned) = zoned {
        return (zoned.naive_utc() - epoch()).num_microseconds();
    }
    let without_utc = text.trim_end_matches('Z').trim_end_matches("UTC").trim();
    let plain_formats = ["%Y-%m-%d %H:%M:%S%.f", "%Y-%m-%d %H:%M"];
    let plain = plain_formats
        .iter()
        .find_map(|format| NaiveDateTime::parse_from_str(without_utc, format).ok());
    let instant = plain.or_else(|| read_midnight(without_utc))?;
    (instant - epoch()).num_microseconds()
}

/// Parses a date to the timestamp of its midnight.
fn read_midnight(text: &str) -> Option<NaiveDateTime> {
    let day = NaiveDate::parse_from_str(text, "%Y-%m-%d").ok()?;
    day.and_hms_opt(0, 0, 0)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a float4 has single precision"
)]
fn write_float(number: f64, data_type: Type) -> String {
    if data_type == Type::FLOAT4 {
        return (number as f32).to_string();
    }
    if number.is_nan() {
        return "NaN".to_owned();
    }
    if number.is_infinite() {
        let text = if number > 0.0 {
            "Infinity"
        } else {
            "-Infinity"
        };
        return text.to_owned();
    }
    number.to_string()
}

fn write_uuid(bytes: &[u8]) -> String {
    let hex = to_hex(bytes);
    [
        &hex[..8],
        &hex[8..12],
        &hex[12..16],
        &hex[16..20],
        &hex[20..],
    ]
    .join("-")
}

fn write_date(days: i32) -> String {
    let day = epoch()
        .date()
        .checked_add_signed(TimeDelta::days(i64::from(days)));
    day.map(|day| day.to_string()).unwrap_or_default()
}

/// Formats a timestamp in UTC, without trailing zeros in the fractional seconds.
fn write_timestamp(microseconds: i64, data_type: Type) -> String {
    let instant = epoch()
        .checked_add_signed(TimeDelta::microseconds(microseconds))
        .unwrap_or_default();
    let written = instant.format("%Y-%m-%d %H:%M:%S%.6f").to_string();
    let text = if written.contains('.') {
        written.trim_end_matches('0').trim_end_matches('.')
    } else {
        &written
    };
    let zone = if data_type == Type::TIMESTAMP {
        ""
    } else {
        "+00"
    };
    format!("{text}{zone}")
}

fn write_array(elements: &[Value], data_type: Type) -> String {
    let element_type = data_type.element().unwrap_or(Type::TEXT);
    let written = elements.iter().map(|element| match element {
        Value::Null => "NULL".to_owned(),
        other => quote_element(&other.text(element_type)),
    });
    format!("{{{}}}", written.collect::<Vec<_>>().join(","))
}

/// Formats `jsonb` as PostgreSQL does, with a space after each comma and colon.
fn write_jsonb(json: &serde_json::Value) -> String {
    match json {
        serde_json::Value::Object(members) => {
            let written = members.iter().map(|(key, value)| {
                let key = serde_json::Value::from(key.as_str());
                format!("{key}: {}", write_jsonb(value))
            });
            format!("{{{}}}", written.collect::<Vec<_>>().join(", "))
        }
        serde_json::Value::Array(elements) => {
            let written = elements.iter().map(write_jsonb);
            format!("[{}]", written.collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}

fn to_hex(bytes: &[u8]) -> String {
    let mut hex = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a String cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

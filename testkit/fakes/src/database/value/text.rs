//! The text form of values.

use std::fmt::Write as _;

use chrono::{DateTime, NaiveDate, NaiveDateTime, TimeDelta};

use super::array::{quoted, read_array};
use super::{ARRAYS, Refusal, Type, Value, epoch};

impl Value {
    /// From its text form.
    pub fn read_text(kind: Type, text: &str) -> Result<Self, Refusal> {
        let wrong = || bad(kind, text);
        if let Some(element) = kind.element() {
            return read_array(element, text).ok_or_else(wrong)?;
        }
        let trimmed = text.trim();
        Ok(match kind {
            Type::BOOL => match trimmed.to_ascii_lowercase().as_str() {
                "t" | "true" | "on" | "yes" | "1" | "y" => Self::Bool(true),
                "f" | "false" | "off" | "no" | "0" | "n" => Self::Bool(false),
                _ => return Err(wrong()),
            },
            Type::INT2 | Type::INT4 | Type::INT8 | Type::OID => {
                Self::Int(trimmed.parse().map_err(|_| wrong())?).fit(kind)?
            }
            Type::FLOAT4 | Type::FLOAT8 => Self::Float(trimmed.parse().map_err(|_| wrong())?),
            Type::NUMERIC => {
                let digits = trimmed.strip_prefix(['-', '+']).unwrap_or(trimmed);
                let good = digits
                    .bytes()
                    .all(|byte| byte.is_ascii_digit() || byte == b'.')
                    && !digits.is_empty();
                if !good && !trimmed.eq_ignore_ascii_case("nan") {
                    return trimmed
                        .parse::<f64>()
                        .map(|f| Self::Numeric(f.to_string()))
                        .map_err(|_| wrong());
                }
                Self::Numeric(trimmed.trim_start_matches('+').to_owned())
            }
            Type::BYTEA => match text.strip_prefix("\\x") {
                Some(hex) => Self::Bytes(unhex(hex).ok_or_else(wrong)?),
                None => Self::Bytes(text.as_bytes().to_vec()),
            },
            Type::UUID => {
                let hex: String = trimmed
                    .chars()
                    .filter(|sign| !matches!(sign, '-' | '{' | '}'))
                    .collect();
                let bytes = unhex(&hex).and_then(|bytes| bytes.try_into().ok());
                Self::Uuid(bytes.ok_or_else(wrong)?)
            }
            Type::DATE => {
                let day = trimmed
                    .get(..10)
                    .and_then(|day| day.parse::<NaiveDate>().ok())
                    .ok_or_else(wrong)?;
                let days = (day - epoch().date()).num_days();
                Self::Date(i32::try_from(days).map_err(|_| wrong())?)
            }
            Type::TIMESTAMP | Type::TIMESTAMPTZ => {
                Self::Timestamp(read_timestamp(trimmed).ok_or_else(wrong)?)
            }
            Type::JSON => {
                serde_json::from_str::<serde_json::Value>(text).map_err(|_| wrong())?;
                Self::Text(text.to_owned())
            }
            Type::JSONB => {
                let read: serde_json::Value = serde_json::from_str(text).map_err(|_| wrong())?;
                Self::Text(spaced(&read))
            }
            _ => Self::Text(text.to_owned()),
        })
    }

    /// Its text form.
    pub fn text(&self, kind: Type) -> String {
        match self {
            Self::Null => String::new(),
            Self::Bool(truth) => if *truth { "t" } else { "f" }.to_owned(),
            Self::Int(number) => number.to_string(),
            Self::Float(number) if kind == Type::FLOAT4 => (*number as f32).to_string(),
            Self::Float(number) if number.is_nan() => "NaN".to_owned(),
            Self::Float(number) if number.is_infinite() => if *number > 0.0 {
                "Infinity"
            } else {
                "-Infinity"
            }
            .to_owned(),
            Self::Float(number) => number.to_string(),
            Self::Numeric(digits) => digits.clone(),
            Self::Text(text) => text.clone(),
            Self::Bytes(bytes) => format!("\\x{}", hex(bytes)),
            Self::Uuid(bytes) => {
                let hex = hex(bytes);
                format!(
                    "{}-{}-{}-{}-{}",
                    &hex[..8],
                    &hex[8..12],
                    &hex[12..16],
                    &hex[16..20],
                    &hex[20..]
                )
            }
            Self::Date(days) => {
                let day = epoch()
                    .date()
                    .checked_add_signed(TimeDelta::days(i64::from(*days)));
                day.map(|day| day.to_string()).unwrap_or_default()
            }
            Self::Timestamp(at) => {
                let at = epoch()
                    .checked_add_signed(TimeDelta::microseconds(*at))
                    .unwrap_or_default();
                let zone = if kind == Type::TIMESTAMP { "" } else { "+00" };
                let mut text = at.format("%Y-%m-%d %H:%M:%S%.6f").to_string();
                if text.contains('.') {
                    text.truncate(text.trim_end_matches('0').trim_end_matches('.').len());
                }
                text + zone
            }
            Self::Array(all) => {
                let element = kind.element().unwrap_or(Type::TEXT);
                let one = |value: &Self| match value {
                    Self::Null => "NULL".to_owned(),
                    other => quoted(&other.text(element)),
                };
                format!("{{{}}}", all.iter().map(one).collect::<Vec<_>>().join(","))
            }
        }
    }
}

pub(super) fn bad(kind: Type, text: &str) -> Refusal {
    let name = ARRAYS
        .iter()
        .find(|(oid, ..)| *oid == kind.0)
        .map_or("array", |(.., name)| *name);
    let name = match name {
        "int8" => "bigint",
        "int4" => "integer",
        "int2" => "smallint",
        "bool" => "boolean",
        "float8" => "double precision",
        other => other,
    };
    Refusal(
        "22P02",
        format!("invalid input syntax for type {name}: \"{text}\""),
    )
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn unhex(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes();
    if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    digits
        .chunks(2)
        .map(|two| u8::from_str_radix(std::str::from_utf8(two).ok()?, 16).ok())
        .collect()
}

fn read_timestamp(text: &str) -> Option<i64> {
    let text = text.replace('T', " ");
    let with_zone = ["%Y-%m-%d %H:%M:%S%.f%#z", "%Y-%m-%d %H:%M:%S%.f %#z"];
    let zoned = with_zone
        .iter()
        .find_map(|form| DateTime::parse_from_str(&text, form).ok());
    let bare = text.trim_end_matches('Z').trim_end_matches("UTC").trim();
    let plain = ["%Y-%m-%d %H:%M:%S%.f", "%Y-%m-%d %H:%M"];
    let plain = plain
        .iter()
        .find_map(|form| NaiveDateTime::parse_from_str(bare, form).ok());
    let day = || {
        NaiveDate::parse_from_str(bare, "%Y-%m-%d")
            .ok()
            .and_then(|day| day.and_hms_opt(0, 0, 0))
    };
    let at = zoned.map(|at| at.naive_utc()).or(plain).or_else(day)?;
    (at - epoch()).num_microseconds()
}

/// As servers write jsonb: a space behind each comma and colon.
fn spaced(json: &serde_json::Value) -> String {
    match json {
        serde_json::Value::Object(map) => {
            let one = |(key, value)| format!("{}: {}", serde_json::Value::from(key), spaced(value));
            let all: Vec<String> = map
                .iter()
                .map(|(key, value)| one((key.as_str(), value)))
                .collect();
            format!("{{{}}}", all.join(", "))
        }
        serde_json::Value::Array(all) => {
            format!(
                "[{}]",
                all.iter().map(spaced).collect::<Vec<_>>().join(", ")
            )
        }
        other => other.to_string(),
    }
}

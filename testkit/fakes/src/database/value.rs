//! Values and their types, in the text and binary forms in which they pass.
//!
//! Source: PostgreSQL documentation, chapter "Data Types"; the binary forms are those of the servers' send and receive
//! functions.

use std::cmp::Ordering;
use std::fmt::Write as _;

use chrono::{DateTime, NaiveDate, NaiveDateTime, TimeDelta};

use super::Refusal;
use super::numeric::{read_numeric, write_numeric};

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

/// A type, by its number in the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Type(pub u32);

impl Type {
    /// bool.
    pub const BOOL: Self = Self(16);
    /// bytea.
    pub const BYTEA: Self = Self(17);
    /// name.
    pub const NAME: Self = Self(19);
    /// int8.
    pub const INT8: Self = Self(20);
    /// int2.
    pub const INT2: Self = Self(21);
    /// int4.
    pub const INT4: Self = Self(23);
    /// text.
    pub const TEXT: Self = Self(25);
    /// oid.
    pub const OID: Self = Self(26);
    /// json.
    pub const JSON: Self = Self(114);
    /// float4.
    pub const FLOAT4: Self = Self(700);
    /// float8.
    pub const FLOAT8: Self = Self(701);
    /// varchar.
    pub const VARCHAR: Self = Self(1043);
    /// date.
    pub const DATE: Self = Self(1082);
    /// timestamp without a time zone.
    pub const TIMESTAMP: Self = Self(1114);
    /// timestamp with a time zone.
    pub const TIMESTAMPTZ: Self = Self(1184);
    /// numeric.
    pub const NUMERIC: Self = Self(1700);
    /// void.
    pub const VOID: Self = Self(2278);
    /// uuid.
    pub const UUID: Self = Self(2950);
    /// jsonb.
    pub const JSONB: Self = Self(3802);

    /// The type of an array of these.
    pub fn array(self) -> Self {
        let known = ARRAYS.iter().find(|(element, ..)| *element == self.0);
        Self(known.map_or(1009, |(_, array, _)| *array))
    }

    /// The type of an array's elements.
    pub fn element(self) -> Option<Self> {
        ARRAYS
            .iter()
            .find(|(_, array, _)| *array == self.0)
            .map(|(element, ..)| Self(*element))
    }

    /// The type that is written so in SQL.
    pub fn named(name: &str) -> Option<Self> {
        let name = name.to_ascii_lowercase();
        if let Some(element) = name.strip_suffix("[]") {
            return Self::named(element).map(Self::array);
        }
        let bare = name.split('(').next().unwrap_or_default().trim();
        let bare = match bare {
            "bigint" | "bigserial" => "int8",
            "int" | "integer" | "serial" => "int4",
            "smallint" => "int2",
            "boolean" => "bool",
            "real" => "float4",
            "double precision" | "double" | "float" => "float8",
            "character varying" | "char varying" => "varchar",
            "character" | "char" => "text",
            "decimal" => "numeric",
            "timestamp without time zone" => "timestamp",
            "timestamp with time zone" => "timestamptz",
            "regclass" | "regtype" => "text",
            other => other,
        };
        ARRAYS
            .iter()
            .find(|(.., known)| *known == bare)
            .map(|(element, ..)| Self(*element))
    }

    /// Its length on the wire as a row's description tells it.
    pub fn length(self) -> i16 {
        match self.0 {
            16 => 1,
            21 => 2,
            23 | 26 | 700 | 1082 => 4,
            20 | 701 | 1114 | 1184 => 8,
            2950 => 16,
            19 => 64,
            _ => -1,
        }
    }
}

/// Element, array and name.
pub(super) const ARRAYS: [(u32, u32, &str); 18] = [
    (16, 1000, "bool"),
    (17, 1001, "bytea"),
    (19, 1003, "name"),
    (20, 1016, "int8"),
    (21, 1005, "int2"),
    (23, 1007, "int4"),
    (25, 1009, "text"),
    (26, 1028, "oid"),
    (114, 199, "json"),
    (700, 1021, "float4"),
    (701, 1022, "float8"),
    (1043, 1015, "varchar"),
    (1082, 1182, "date"),
    (1114, 1115, "timestamp"),
    (1184, 1185, "timestamptz"),
    (1700, 1231, "numeric"),
    (2950, 2951, "uuid"),
    (3802, 3807, "jsonb"),
];

fn epoch() -> NaiveDateTime {
    NaiveDate::from_ymd_opt(2000, 1, 1)
        .and_then(|day| day.and_hms_opt(0, 0, 0))
        .unwrap_or_default()
}

fn bad(kind: Type, text: &str) -> Refusal {
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

    /// Its binary form.
    pub fn binary(&self, kind: Type) -> Vec<u8> {
        match self {
            Self::Null => Vec::new(),
            Self::Bool(truth) => vec![u8::from(*truth)],
            Self::Int(number) => match kind {
                Type::INT2 => (*number as i16).to_be_bytes().to_vec(),
                Type::INT4 | Type::OID => (*number as i32).to_be_bytes().to_vec(),
                _ => number.to_be_bytes().to_vec(),
            },
            Self::Float(number) if kind == Type::FLOAT4 => (*number as f32).to_be_bytes().to_vec(),
            Self::Float(number) => number.to_be_bytes().to_vec(),
            Self::Numeric(digits) => write_numeric(digits),
            Self::Text(text) if kind == Type::JSONB => [&[1], text.as_bytes()].concat(),
            Self::Text(text) => text.clone().into_bytes(),
            Self::Bytes(bytes) => bytes.clone(),
            Self::Uuid(bytes) => bytes.to_vec(),
            Self::Date(days) => days.to_be_bytes().to_vec(),
            Self::Timestamp(at) => at.to_be_bytes().to_vec(),
            Self::Array(all) => {
                let element = kind.element().unwrap_or(Type::TEXT);
                let mut out = i32::from(!all.is_empty()).to_be_bytes().to_vec();
                out.extend(i32::from(all.contains(&Self::Null)).to_be_bytes());
                out.extend(element.0.to_be_bytes());
                if !all.is_empty() {
                    out.extend(i32::try_from(all.len()).unwrap_or(i32::MAX).to_be_bytes());
                    out.extend(1_i32.to_be_bytes());
                }
                for value in all {
                    if *value == Self::Null {
                        out.extend((-1_i32).to_be_bytes());
                    } else {
                        let bytes = value.binary(element);
                        out.extend(i32::try_from(bytes.len()).unwrap_or(i32::MAX).to_be_bytes());
                        out.extend(bytes);
                    }
                }
                out
            }
        }
    }

    /// From its binary form.
    pub fn read_binary(kind: Type, bytes: &[u8]) -> Result<Self, Refusal> {
        let wrong = || {
            Refusal(
                "22P03",
                format!("incorrect binary data format for type {}", kind.0),
            )
        };
        let fixed = || -> Option<Self> {
            Some(match kind {
                Type::BOOL => Self::Bool(*bytes.first()? != 0),
                Type::INT2 => Self::Int(i16::from_be_bytes(bytes.try_into().ok()?).into()),
                Type::INT4 => Self::Int(i32::from_be_bytes(bytes.try_into().ok()?).into()),
                Type::OID => Self::Int(u32::from_be_bytes(bytes.try_into().ok()?).into()),
                Type::INT8 => Self::Int(i64::from_be_bytes(bytes.try_into().ok()?)),
                Type::FLOAT4 => Self::Float(f32::from_be_bytes(bytes.try_into().ok()?).into()),
                Type::FLOAT8 => Self::Float(f64::from_be_bytes(bytes.try_into().ok()?)),
                Type::UUID => Self::Uuid(bytes.try_into().ok()?),
                Type::DATE => Self::Date(i32::from_be_bytes(bytes.try_into().ok()?)),
                Type::TIMESTAMP | Type::TIMESTAMPTZ => {
                    Self::Timestamp(i64::from_be_bytes(bytes.try_into().ok()?))
                }
                Type::NUMERIC => Self::Numeric(read_numeric(bytes)?),
                Type::BYTEA => Self::Bytes(bytes.to_vec()),
                Type::JSONB => Self::Text(String::from_utf8(bytes.get(1..)?.to_vec()).ok()?),
                _ if kind.element().is_some() => {
                    let element = kind.element()?;
                    let word = |at: usize| {
                        bytes
                            .get(at..at + 4)
                            .map(|four| i32::from_be_bytes([four[0], four[1], four[2], four[3]]))
                    };
                    let mut all = Vec::new();
                    if word(0)? > 0 {
                        let (count, mut at) = (usize::try_from(word(12)?).ok()?, 20);
                        for _ in 0..count {
                            let length = word(at)?;
                            at += 4;
                            let Ok(length) = usize::try_from(length) else {
                                all.push(Self::Null);
                                continue;
                            };
                            all.push(Self::read_binary(element, bytes.get(at..at + length)?).ok()?);
                            at += length;
                        }
                    }
                    Self::Array(all)
                }
                _ => Self::Text(String::from_utf8(bytes.to_vec()).ok()?),
            })
        };
        fixed().ok_or_else(wrong)
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

fn quoted(text: &str) -> String {
    let plain = !text.is_empty()
        && !text.eq_ignore_ascii_case("null")
        && !text.contains(['{', '}', ',', '"', '\\', ' ', '\t', '\n']);
    if plain {
        return text.to_owned();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// An array of one dimension in its text form.
fn read_array(element: Type, text: &str) -> Option<Result<Value, Refusal>> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    let (mut words, mut word, mut quotes, mut was_quoted) =
        (Vec::new(), String::new(), false, false);
    let mut signs = inner.chars();
    while let Some(sign) = signs.next() {
        match sign {
            '"' => (quotes, was_quoted) = (!quotes, true),
            '\\' => word.push(signs.next()?),
            ',' if !quotes => {
                words.push((std::mem::take(&mut word), std::mem::take(&mut was_quoted)))
            }
            sign => word.push(sign),
        }
    }
    if !inner.is_empty() {
        words.push((word, was_quoted));
    }
    let read = words.into_iter().map(|(word, quoted)| {
        if !quoted && word.eq_ignore_ascii_case("null") {
            Ok(Value::Null)
        } else {
            Value::read_text(element, &word)
        }
    });
    Some(read.collect::<Result<Vec<_>, _>>().map(Value::Array))
}

#[cfg(test)]
mod tests;

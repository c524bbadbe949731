//! The binary format of values.

use super::numeric::{read_numeric, write_numeric};
use super::{Type, Value};
use crate::database::error::{SqlError, SqlState};

/// The version byte at the start of a `jsonb` value.
const JSONB_VERSION: u8 = 1;

/// The length field of a NULL element.
const NULL_LENGTH: i32 = -1;

// Byte offsets of the fields of an array.
const ARRAY_DIMENSIONS_OFFSET: usize = 0;
const ARRAY_ELEMENT_COUNT_OFFSET: usize = 12;
const ARRAY_FIRST_ELEMENT_OFFSET: usize = 20;

impl Value {
    /// Encodes the value in the binary format of a type; NULL as no bytes.
    pub fn binary(&self, data_type: Type) -> Vec<u8> {
        match self {
            Self::Null => Vec::new(),
            Self::Bool(truth) => vec![u8::from(*truth)],
            Self::Int(number) => write_integer(*number, data_type),
            Self::Float(number) => write_float(*number, data_type),
            Self::Numeric(digits) => write_numeric(digits),
            Self::Text(text) if data_type == Type::JSONB => {
                [&[JSONB_VERSION], text.as_bytes()].concat()
            }
            Self::Text(text) => text.clone().into_bytes(),
            Self::Bytes(bytes) => bytes.clone(),
            Self::Uuid(bytes) => bytes.to_vec(),
            Self::Date(days) => days.to_be_bytes().to_vec(),
            Self::Timestamp(microseconds) => microseconds.to_be_bytes().to_vec(),
            Self::Array(elements) => write_array(elements, data_type),
        }
    }

    /// Decodes a value from the binary format of a type.
    pub fn read_binary(data_type: Type, bytes: &[u8]) -> Result<Self, SqlError> {
        read_value(data_type, bytes).ok_or_else(|| {
            SqlError::new(
                SqlState::INVALID_BINARY_REPRESENTATION,
                format!("incorrect binary data format for type {}", data_type.0),
            )
        })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the integer is within the range of its type"
)]
fn write_integer(number: i64, data_type: Type) -> Vec<u8> {
    match data_type {
        Type::INT2 => (number as i16).to_be_bytes().to_vec(),
        Type::INT4 | Type::OID => (number as i32).to_be_bytes().to_vec(),
        _ => number.to_be_bytes().to_vec(),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "a float4 is written with single precision"
)]
fn write_float(number: f64, data_type: Type) -> Vec<u8> {
    if data_type == Type::FLOAT4 {
        (number as f32).to_be_bytes().to_vec()
    } else {
        number.to_be_bytes().to_vec()
    }
}

/// A length or count as a 32-bit big-endian integer.
fn length_field(length: usize) -> [u8; 4] {
    i32::try_from(length).unwrap_or(i32::MAX).to_be_bytes()
}

/// Encodes an array: number of dimensions, NULL flag, element type, length and lower bound of the dimension, then each
/// element with its length.
fn write_array(elements: &[Value], data_type: Type) -> Vec<u8> {
    let element_type = data_type.element().unwrap_or(Type::TEXT);
    let dimensions = i32::from(!elements.is_empty());
    let has_null = i32::from(elements.contains(&Value::Null));
    let mut bytes = dimensions.to_be_bytes().to_vec();
    bytes.extend(has_null.to_be_bytes());
    bytes.extend(element_type.0.to_be_bytes());
    if !elements.is_empty() {
        let lower_bound = 1_i32;
        bytes.extend(length_field(elements.len()));
        bytes.extend(lower_bound.to_be_bytes());
    }
    for element in elements {
        if *element == Value::Null {
            bytes.extend(NULL_LENGTH.to_be_bytes());
        } else {
            let element_bytes = element.binary(element_type);
            bytes.extend(length_field(element_bytes.len()));
            bytes.extend(element_bytes);
        }
    }
    bytes
}

/// Decodes a value; `None` if the bytes are not a value of this type.
fn read_value(data_type: Type, bytes: &[u8]) -> Option<Value> {
    let value = match data_type {
        Type::BOOL => Value::Bool(*bytes.first()? != 0),
        Type::INT2 => Value::Int(i16::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT4 => Value::Int(i32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::OID => Value::Int(u32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::INT8 => Value::Int(i64::from_be_bytes(bytes.try_into().ok()?)),
        Type::FLOAT4 => Value::Float(f32::from_be_bytes(bytes.try_into().ok()?).into()),
        Type::FLOAT8 => Value::Float(f64::from_be_bytes(bytes.try_into().ok()?)),
        Type::UUID => Value::Uuid(bytes.try_into().ok()?),
        Type::DATE => Value::Date(i32::from_be_bytes(bytes.try_into().ok()?)),
        Type::TIMESTAMP | Type::TIMESTAMPTZ => {
            Value::Timestamp(i64::from_be_bytes(bytes.try_into().ok()?))
        }
        Type::NUMERIC => Value::Numeric(read_numeric(bytes)?),
        Type::BYTEA => Value::Bytes(bytes.to_vec()),
        Type::JSONB => Value::Text(read_utf8(bytes.get(1..)?)?),
        _ => match data_type.element() {
            Some(element_type) => read_array(element_type, bytes)?,
            None => Value::Text(read_utf8(bytes)?),
        },
    };
    Some(value)
}

fn read_utf8(bytes: &[u8]) -> Option<String> {
    String::from_utf8(bytes.to_vec()).ok()
}

fn read_array(element_type: Type, bytes: &[u8]) -> Option<Value> {
    let mut elements = Vec::new();
    if read_i32(bytes, ARRAY_DIMENSIONS_OFFSET)? <= 0 {
        return Some(Value::Array(elements));
    }
    let count = usize::try_from(read_i32(bytes, ARRAY_ELEMENT_COUNT_OFFSET)?).ok()?;
    let mut position = ARRAY_FIRST_ELEMENT_OFFSET;
    for _ in 0..count {
        let length = read_i32(bytes, position)?;
        position += 4;
        let Ok(length) = usize::try_from(length) else {
            elements.push(Value::Null);
            continue;
        };
        let element = bytes.get(position..position + length)?;
        elements.push(read_value(element_type, element)?);
        position += length;
    }
    Some(Value::Array(elements))
}

fn read_i32(bytes: &[u8], position: usize) -> Option<i32> {
    let field = bytes.get(position..position + 4)?;
    Some(i32::from_be_bytes(field.try_into().ok()?))
}

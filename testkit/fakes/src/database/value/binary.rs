//! The binary form of values.

use super::numeric::{read_numeric, write_numeric};
use super::{Refusal, Type, Value};

impl Value {
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
}

//! The wire's lines and fields, read with plain errors.

use brookfield::{Nanos, Outcome, Report, Stage};
use serde_json::{Map, Value};

/// A line of input: an object with one key, its name.
pub struct Line<'a> {
    pub number: u64,
    pub fields: Fields<'a>,
}

impl<'a> Line<'a> {
    pub fn new(number: u64, value: &'a Value) -> Result<Self, String> {
        let malformed = || format!("line {number}: not an object with a single key");
        let object = value.as_object().filter(|object| object.len() == 1).ok_or_else(malformed)?;
        let (tag, body) = object.iter().next().ok_or_else(malformed)?;
        let map = body.as_object().ok_or_else(|| format!("line {number}: {tag}: not an object"))?;
        Ok(Self { number, fields: Fields { tag, map } })
    }
}

/// The fields of a message.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    pub tag: &'a str,
    pub map: &'a Map<String, Value>,
}

impl<'a> Fields<'a> {
    pub fn wrong(&self, field: &str) -> String {
        format!("{}: field {field} is missing or of the wrong type", self.tag)
    }

    pub fn get(&self, field: &str) -> Result<&'a Value, String> {
        self.map.get(field).filter(|value| !value.is_null()).ok_or_else(|| self.wrong(field))
    }

    pub fn integer(&self, field: &str) -> Result<i64, String> {
        self.get(field)?.as_i64().ok_or_else(|| self.wrong(field))
    }

    /// A whole number from 0; a negative one counts as 0.
    pub fn whole(&self, field: &str) -> Result<u64, String> {
        let value = self.get(field)?;
        value.as_u64().or_else(|| value.as_i64().map(|_| 0)).ok_or_else(|| self.wrong(field))
    }

    pub fn whole_or(&self, field: &str, absent: u64) -> Result<u64, String> {
        if self.map.get(field).is_none_or(Value::is_null) { Ok(absent) } else { self.whole(field) }
    }

    pub fn number(&self, field: &str) -> Result<f64, String> {
        self.get(field)?.as_f64().ok_or_else(|| self.wrong(field))
    }

    pub fn number_or(&self, field: &str, absent: f64) -> Result<f64, String> {
        if self.map.get(field).is_none_or(Value::is_null) { Ok(absent) } else { self.number(field) }
    }

    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.get(field)?.as_str().ok_or_else(|| self.wrong(field))
    }

    pub fn flag(&self, field: &str) -> Result<bool, String> {
        self.get(field)?.as_bool().ok_or_else(|| self.wrong(field))
    }

    pub fn array(&self, field: &str) -> Result<&'a Vec<Value>, String> {
        self.get(field)?.as_array().ok_or_else(|| self.wrong(field))
    }

    pub fn object(&self, field: &'a str) -> Result<Fields<'a>, String> {
        let map = self.get(field)?.as_object().ok_or_else(|| self.wrong(field))?;
        Ok(Fields { tag: field, map })
    }

    pub fn outcome(&self) -> Result<Outcome, String> {
        Ok(match self.text("disposition")? {
            "S" => Outcome::Served,
            "E" => Outcome::Error,
            "F" => Outcome::Full,
            "T" => Outcome::TimedOut,
            "C" => Outcome::ConnectFailed,
            "R" => Outcome::Reset,
            "X" => Outcome::Cancelled,
            "N" => Outcome::Moot,
            _ => return Err(self.wrong("disposition")),
        })
    }

    pub fn report(&self) -> Result<Report, String> {
        let Some(usage) = self.map.get("usage").filter(|usage| !usage.is_null()) else {
            return Ok(Report::default());
        };
        let usage = usage.as_object().ok_or_else(|| self.wrong("usage"))?;
        let figure = |name: &str| usage.get(name).and_then(Value::as_f64);
        Ok(Report { util: figure("load_share"), rate: figure("tps"), in_flight: figure("concurrent") })
    }
}

/// An entry of a list, still in the wire's words.
pub struct Entry {
    pub backend: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub stage: Stage,
    pub size: f64,
    pub online_since: Option<Nanos>,
}

pub fn entries(fields: &Fields) -> Result<Vec<Entry>, String> {
    let list = fields.array("members-list")?;
    list.iter()
        .map(|value| {
            let map = value.as_object().ok_or_else(|| fields.wrong("members-list"))?;
            let entry = Fields { tag: "MANIFEST", map };
            Ok(Entry {
                backend: entry.text("backend")?.to_owned(),
                zone: entry.text("hall")?.to_owned(),
                kind: entry.text("type")?.to_owned(),
                cell: entry.whole_or("pod", 0)?,
                stage: match entry.text("stage-state")? {
                    "in_service" => Stage::InService,
                    "terminating" => Stage::Draining,
                    "terminated" => Stage::Gone,
                    _ => return Err(entry.wrong("stage-state")),
                },
                size: entry.number_or("power-hint", 1.0)?,
                online_since: Some(entry.whole_or("online-since-ns", 0)?).filter(|&at| at > 0),
            })
        })
        .collect()
}

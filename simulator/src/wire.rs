//! The wire's lines, read with plain errors.

use badgerpost_balancer::{EndpointState, LoadReport, Nanos, Outcome};
use badgerpost_settings::{ObjectError, ObjectReader};
use serde_json::Value;

/// A line of input: an object with one key, its name.
pub struct Line<'a> {
    pub number: u64,
    pub fields: ObjectReader<'a>,
}

impl<'a> Line<'a> {
    pub fn new(number: u64, value: &'a Value) -> Result<Self, String> {
        let malformed = || format!("line {number}: not an object with a single key");
        let object = value
            .as_object()
            .filter(|object| object.len() == 1)
            .ok_or_else(malformed)?;
        let (tag, body) = object.iter().next().ok_or_else(malformed)?;
        let fields =
            ObjectReader::new(tag, body).map_err(|error| format!("line {number}: {error}"))?;
        Ok(Self { number, fields })
    }
}

/// The outcome that a message tells.
pub fn outcome(fields: &ObjectReader) -> Result<Outcome, ObjectError> {
    Ok(match fields.string("disposition")? {
        "S" => Outcome::Success,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::TimedOut,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        _ => return Err(fields.invalid("disposition")),
    })
}

/// The load report that a message carries, if any.
pub fn report(fields: &ObjectReader) -> Result<LoadReport, ObjectError> {
    let Some(usage) = fields.optional("usage") else {
        return Ok(LoadReport::default());
    };
    let usage = usage.as_object().ok_or_else(|| fields.invalid("usage"))?;
    let figure = |name: &str| usage.get(name).and_then(Value::as_f64);
    Ok(LoadReport {
        utilization: figure("load_share"),
        requests_per_second: figure("tps"),
        in_flight: figure("concurrent"),
    })
}

/// An entry of a list, still in the wire's words.
pub struct Entry {
    pub backend: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub stage: EndpointState,
    pub size: f64,
    pub online_since: Option<Nanos>,
}

pub fn entries(fields: &ObjectReader) -> Result<Vec<Entry>, ObjectError> {
    let list = fields.array("members-list")?;
    list.iter()
        .map(|value| {
            let entry =
                ObjectReader::new("MANIFEST", value).map_err(|_| fields.invalid("members-list"))?;
            Ok(Entry {
                backend: entry.string("backend")?.to_owned(),
                zone: entry.string("hall")?.to_owned(),
                kind: entry.string("type")?.to_owned(),
                cell: entry.unsigned_integer_or("pod", 0)?,
                stage: match entry.string("stage-state")? {
                    "in_service" => EndpointState::InService,
                    "terminating" => EndpointState::Draining,
                    "terminated" => EndpointState::Removed,
                    _ => return Err(entry.invalid("stage-state")),
                },
                size: entry.number_or("power-hint", 1.0)?,
                online_since: Some(entry.unsigned_integer_or("online-since-ns", 0)?)
                    .filter(|&at| at > 0),
            })
        })
        .collect()
}

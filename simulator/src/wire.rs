//! The wire's lines, read with plain errors.

use badgerpost_balancer::{EndpointState, LoadReport, Nanos, Outcome};
use badgerpost_settings::Fields;
use serde_json::Value;

/// A line of input: an object with one key, its name.
pub struct Line<'a> {
    pub number: u64,
    pub fields: Fields<'a>,
}

impl<'a> Line<'a> {
    pub fn new(number: u64, value: &'a Value) -> Result<Self, String> {
        let malformed = || format!("line {number}: not an object with a single key");
        let object = value
            .as_object()
            .filter(|object| object.len() == 1)
            .ok_or_else(malformed)?;
        let (tag, body) = object.iter().next().ok_or_else(malformed)?;
        let map = body
            .as_object()
            .ok_or_else(|| format!("line {number}: {tag}: not an object"))?;
        Ok(Self {
            number,
            fields: Fields { tag, map },
        })
    }
}

/// The outcome that a message tells.
pub fn outcome(fields: &Fields) -> Result<Outcome, String> {
    Ok(match fields.text("disposition")? {
        "S" => Outcome::Success,
        "E" => Outcome::Error,
        "F" => Outcome::Rejected,
        "T" => Outcome::TimedOut,
        "C" => Outcome::ConnectFailed,
        "R" => Outcome::Reset,
        "X" => Outcome::Cancelled,
        "N" => Outcome::NotSent,
        _ => return Err(fields.wrong("disposition")),
    })
}

/// The load report that a message carries, if any.
pub fn report(fields: &Fields) -> Result<LoadReport, String> {
    let Some(usage) = fields.map.get("usage").filter(|usage| !usage.is_null()) else {
        return Ok(LoadReport::default());
    };
    let usage = usage.as_object().ok_or_else(|| fields.wrong("usage"))?;
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

pub fn entries(fields: &Fields) -> Result<Vec<Entry>, String> {
    let list = fields.array("members-list")?;
    list.iter()
        .map(|value| {
            let map = value
                .as_object()
                .ok_or_else(|| fields.wrong("members-list"))?;
            let entry = Fields {
                tag: "MANIFEST",
                map,
            };
            Ok(Entry {
                backend: entry.text("backend")?.to_owned(),
                zone: entry.text("hall")?.to_owned(),
                kind: entry.text("type")?.to_owned(),
                cell: entry.whole_or("pod", 0)?,
                stage: match entry.text("stage-state")? {
                    "in_service" => EndpointState::InService,
                    "terminating" => EndpointState::Draining,
                    "terminated" => EndpointState::Removed,
                    _ => return Err(entry.wrong("stage-state")),
                },
                size: entry.number_or("power-hint", 1.0)?,
                online_since: Some(entry.whole_or("online-since-ns", 0)?).filter(|&at| at > 0),
            })
        })
        .collect()
}

//! Endpoint lists, which events refer to by id.

use badgerpost_balancer::{EndpointState, Nanos};
use badgerpost_settings::{ObjectError, ObjectReader};

use super::ListId;

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The backend's name.
    pub backend: String,
    /// The name of the backend's zone.
    pub zone: String,
    /// The name of the backend's machine kind.
    pub machine_kind: String,
    /// The number of the backend's cell; 0 where the entry has none.
    pub cell: u64,
    /// Whether the backend is in service, draining or removed.
    pub state: EndpointState,
    /// The backend's size relative to others; 1 where the entry has none.
    pub size: f64,
    /// When the backend last started, in nanoseconds of simulated time, if known.
    pub started_at: Option<Nanos>,
}

/// Reads the id in a message that contains or refers to an endpoint list.
pub(super) fn read_list_id(fields: &ObjectReader) -> Result<ListId, ObjectError> {
    fields.signed_integer("list").map(ListId)
}

/// Reads the entries of an endpoint list.
pub(super) fn read_endpoints(fields: &ObjectReader) -> Result<Vec<ListedEndpoint>, ObjectError> {
    let mut endpoints = Vec::new();
    for value in fields.array("members-list")? {
        let entry =
            ObjectReader::new(fields.name(), value).map_err(|_| fields.invalid("members-list"))?;
        endpoints.push(read_endpoint(&entry)?);
    }
    Ok(endpoints)
}

fn read_endpoint(entry: &ObjectReader) -> Result<ListedEndpoint, ObjectError> {
    Ok(ListedEndpoint {
        backend: entry.string("backend")?.to_owned(),
        zone: entry.string("hall")?.to_owned(),
        machine_kind: entry.string("type")?.to_owned(),
        cell: entry.unsigned_integer_or("pod", 0)?,
        state: read_endpoint_state(entry)?,
        size: entry.number_or("power-hint", 1.0)?,
        started_at: read_started_at(entry)?,
    })
}

fn read_endpoint_state(entry: &ObjectReader) -> Result<EndpointState, ObjectError> {
    match entry.string("stage-state")? {
        "in_service" => Ok(EndpointState::InService),
        "terminating" => Ok(EndpointState::Draining),
        "terminated" => Ok(EndpointState::Removed),
        _ => Err(entry.invalid("stage-state")),
    }
}

/// Reads when an endpoint started; 0 and null mean that the time is unknown.
fn read_started_at(entry: &ObjectReader) -> Result<Option<Nanos>, ObjectError> {
    let started_at = entry.unsigned_integer_or("online-since-ns", 0)?;
    Ok((started_at > 0).then_some(started_at))
}

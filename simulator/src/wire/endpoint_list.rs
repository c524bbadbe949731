//! Endpoint lists, which events refer to by their ids.

use badgerpost_balancer::{EndpointState, Nanos};
use badgerpost_settings::{ObjectError, ObjectReader};

use super::ListId;

/// An entry of an endpoint list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The backend's name.
    pub backend: String,
    /// Its zone's name.
    pub zone: String,
    /// The name of its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it may be sent requests.
    pub state: EndpointState,
    /// Its size against the others'.
    pub size: f64,
    /// When it last started, in nanoseconds of the simulation, if known.
    pub started_at: Option<Nanos>,
}

/// The id in a message about an endpoint list.
pub(super) fn read_list_id(fields: &ObjectReader) -> Result<ListId, ObjectError> {
    fields.signed_integer("list").map(ListId)
}

/// The entries of an endpoint list.
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

/// When an endpoint started; 0 and null stand for a time that is not known.
fn read_started_at(entry: &ObjectReader) -> Result<Option<Nanos>, ObjectError> {
    let started_at = entry.unsigned_integer_or("online-since-ns", 0)?;
    Ok((started_at > 0).then_some(started_at))
}

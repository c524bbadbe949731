//! The messages from the simulator.
//!
//! Unknown fields are ignored. Where several fields can't be used, the error names the first in the order in which they
//! are read here.

use badgerpost_balancer::Nanos;
use badgerpost_settings::{ObjectError, ObjectReader};
use serde_json::Value;

use super::endpoint_list::{ListedEndpoint, read_endpoints, read_list_id};
use super::events::UnparsedEvent;
use super::{InstanceId, ListId};
use crate::error::LineError;

/// A message from the simulator.
#[derive(Clone, Debug)]
pub enum Message<'a> {
    /// A batch of messages starts.
    BatchStarted {
        /// The time of all its messages, in nanoseconds of the simulation.
        now: Nanos,
    },
    /// The batch is complete; the simulator waits for the replies.
    BatchEnded,
    /// An endpoint list that events of this and later batches refer to.
    EndpointList {
        /// Its id.
        list: ListId,
        /// Its entries.
        endpoints: Vec<ListedEndpoint>,
    },
    /// An instance starts.
    InstanceStarted(InstanceStart<'a>),
    /// An instance stops.
    InstanceStopped {
        /// The instance.
        instance: InstanceId,
    },
    /// Something happened that concerns one instance.
    InstanceEvent {
        /// The instance.
        instance: InstanceId,
        /// What happened.
        event: UnparsedEvent<'a>,
    },
    /// A message from another instance; the balancer neither sends nor needs any.
    PeerGossip,
    /// A message that this version does not know.
    Unknown {
        /// Its name.
        name: &'a str,
    },
}

/// How to start an instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceStart<'a> {
    /// The instance.
    pub instance: InstanceId,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Its settings object.
    pub settings: &'a Value,
}

impl<'a> Message<'a> {
    /// Parses a line's object. The fields of an [`UnparsedEvent`] are left to [`UnparsedEvent::parse`].
    pub fn parse(line: &'a Value) -> Result<Self, LineError> {
        let fields = read_body(line)?;
        Ok(Self::from_fields(fields)?)
    }

    fn from_fields(fields: ObjectReader<'a>) -> Result<Self, ObjectError> {
        match fields.name() {
            "BATCH" => Ok(Self::BatchStarted {
                now: fields.unsigned_integer("sim-time-ns")?,
            }),
            "GO" => Ok(Self::BatchEnded),
            "MANIFEST" => Ok(Self::EndpointList {
                list: read_list_id(&fields)?,
                endpoints: read_endpoints(&fields)?,
            }),
            "OPEN_INSTANCE" => Ok(Self::InstanceStarted(InstanceStart {
                instance: read_instance(&fields)?,
                seed: fields.unsigned_integer("nonce64")?,
                settings: fields.required("config")?,
            })),
            "EXIT" => Ok(Self::InstanceStopped {
                instance: read_instance(&fields)?,
            }),
            "NEIGHBOUR_SAYS" => Ok(Self::PeerGossip),
            name => match UnparsedEvent::new(fields) {
                Some(event) => Ok(Self::InstanceEvent {
                    instance: read_instance(&fields)?,
                    event,
                }),
                None => Ok(Self::Unknown { name }),
            },
        }
    }
}

/// The body of a message, under the message's name.
fn read_body(line: &Value) -> Result<ObjectReader<'_>, LineError> {
    let message = line.as_object().ok_or(LineError::NotAMessage)?;
    let mut entries = message.iter();
    let (Some((name, body)), None) = (entries.next(), entries.next()) else {
        return Err(LineError::NotAMessage);
    };
    Ok(ObjectReader::new(name, body)?)
}

fn read_instance(fields: &ObjectReader) -> Result<InstanceId, ObjectError> {
    fields.signed_integer("who").map(InstanceId)
}

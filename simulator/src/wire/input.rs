//! The messages from the simulator.
//!
//! Unknown fields are ignored. Where several fields are invalid, the error names the one that is read first.

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
        /// The time of all messages in the batch, in nanoseconds of simulated time.
        now: Nanos,
    },
    /// The batch is complete; the simulator waits for the replies.
    BatchEnded,
    /// An endpoint list that events of this and later batches may refer to.
    EndpointList {
        /// The id of the list.
        list: ListId,
        /// The entries of the list.
        endpoints: Vec<ListedEndpoint>,
    },
    /// An instance starts.
    InstanceStarted(InstanceStart<'a>),
    /// An instance stops.
    InstanceStopped {
        /// The instance.
        instance: InstanceId,
    },
    /// An event about one instance.
    InstanceEvent {
        /// The instance.
        instance: InstanceId,
        /// The event, whose fields have not been read.
        event: UnparsedEvent<'a>,
    },
    /// A message from another instance, which is ignored: the balancer does not use messages between instances.
    PeerGossip,
    /// A message of a kind that this version does not support.
    Unknown {
        /// The message's name.
        name: &'a str,
    },
}

/// How to start an instance.
#[derive(Clone, Copy, Debug)]
pub struct InstanceStart<'a> {
    /// The instance.
    pub instance: InstanceId,
    /// Seed of the instance's random numbers.
    pub seed: u64,
    /// The instance's settings object.
    pub settings: &'a Value,
}

impl<'a> Message<'a> {
    /// Parses a line's JSON value. The fields of an [`UnparsedEvent`] are read later, by [`UnparsedEvent::parse`].
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

/// Reads the name and the body of a message.
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

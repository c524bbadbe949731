//! The messages from the simulator about one instance.

use std::collections::HashMap;

use badgerpost_balancer::{ClassId, EndpointUpdate, LoadReport, Nanos, Outcome};
use badgerpost_settings::{NameTable, ObjectError, ObjectReader, name_hash};

use super::ListId;
use super::endpoint_list::{ListedEndpoint, read_list_id};

/// Bit of `options`: the field `weight-hint-ns` holds the expected service time.
const OPTION_HAS_EXPECTED_SERVICE_TIME: u64 = 1;
/// Bit of `options`: the client marks the request as a retry.
const OPTION_IS_RETRY: u64 = 2;

/// The kind of an event about one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    EndpointsUpdated,
    RequestArrived,
    AttemptEnded,
    ResponseStarted,
    ClientDisconnected,
    HealthCheckEnded,
    TimerFired,
}

impl EventKind {
    fn from_name(name: &str) -> Option<Self> {
        match name {
            "FLEET" => Some(Self::EndpointsUpdated),
            "INCOMING" => Some(Self::RequestArrived),
            "SETTLED" => Some(Self::AttemptEnded),
            "ACK_FIRST" => Some(Self::ResponseStarted),
            "LEFT" => Some(Self::ClientDisconnected),
            "STATUS_BACK" => Some(Self::HealthCheckEnded),
            "WAKEUP" => Some(Self::TimerFired),
            _ => None,
        }
    }
}

/// An event whose fields have not been read. The event is parsed once its instance is known to be running: parsing
/// needs the names in the instance's settings, and events for other instances are ignored even if their fields are
/// invalid.
#[derive(Clone, Copy, Debug)]
pub struct UnparsedEvent<'a> {
    kind: EventKind,
    fields: ObjectReader<'a>,
}

/// An event about one instance, with the simulator's names of backends and requests.
#[derive(Clone, Copy, Debug)]
pub enum InstanceEvent<'a> {
    /// Discovery delivered endpoints.
    EndpointsUpdated {
        /// Whether the endpoints are changes, a complete list or a cached list.
        update: EndpointUpdate,
        /// Changed entries, or all entries, of the endpoint list.
        endpoints: &'a [ListedEndpoint],
    },
    /// A call to discovery failed, or the watch ended.
    DiscoveryFailed,
    /// A request arrived.
    RequestArrived(ArrivedRequest<'a>),
    /// An attempt ended.
    AttemptEnded(EndedAttempt<'a>),
    /// The first byte of a response was forwarded to the client.
    ResponseStarted {
        /// The request's name.
        request: &'a str,
    },
    /// The client disconnected before the final answer.
    ClientDisconnected {
        /// The request's name.
        request: &'a str,
    },
    /// A health check ended.
    HealthCheckEnded(EndedHealthCheck<'a>),
    /// A timer fired.
    TimerFired {
        /// The token that the timer was set with.
        token: u64,
    },
}

/// A request that arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedRequest<'a> {
    /// The request's name.
    pub name: &'a str,
    /// The request's class.
    pub class: ClassId,
    /// Hash of the request's key, if the request has one.
    pub affinity_key: Option<u64>,
    /// Expected service time on a standard core, in nanoseconds, if known.
    pub expected_service_time: Option<Nanos>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// The request's tenant, if the settings list it.
    pub tenant: Option<u32>,
    /// When the client gives up, in nanoseconds of simulated time.
    pub expires_at: Nanos,
}

/// An attempt that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt<'a> {
    /// The request's name.
    pub request: &'a str,
    /// The number of the attempt, from 0 in the order of the sends.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the send, in nanoseconds.
    pub elapsed: Nanos,
    /// Whether the request has ended, with this attempt or before.
    pub request_ended: bool,
    /// The backend's load; empty where none was reported.
    pub report: LoadReport,
}

/// A health check that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedHealthCheck<'a> {
    /// The backend's name.
    pub backend: &'a str,
    /// How the health check ended.
    pub outcome: Outcome,
    /// Time since the health check was sent, in nanoseconds.
    pub elapsed: Nanos,
    /// The backend's load; empty where none was reported.
    pub report: LoadReport,
}

impl<'a> UnparsedEvent<'a> {
    /// The event in a message's body, or `None` if the message's name is not the name of an event.
    pub fn new(fields: ObjectReader<'a>) -> Option<Self> {
        let kind = EventKind::from_name(fields.name())?;
        Some(Self { kind, fields })
    }

    /// Reads the event's fields, with the names in the settings of the event's instance.
    ///
    /// # Errors
    ///
    /// A field is missing or invalid, or refers to a class that `names` does not contain or to a list that
    /// `endpoint_lists` does not contain.
    pub fn parse(
        &self,
        names: &NameTable,
        endpoint_lists: &'a HashMap<ListId, Vec<ListedEndpoint>>,
    ) -> Result<InstanceEvent<'a>, ObjectError> {
        let fields = &self.fields;
        match self.kind {
            EventKind::EndpointsUpdated => read_endpoints_updated(fields, endpoint_lists),
            EventKind::RequestArrived => {
                read_request(fields, names).map(InstanceEvent::RequestArrived)
            }
            EventKind::AttemptEnded => read_attempt(fields).map(InstanceEvent::AttemptEnded),
            EventKind::ResponseStarted => Ok(InstanceEvent::ResponseStarted {
                request: fields.string("request-id")?,
            }),
            EventKind::ClientDisconnected => Ok(InstanceEvent::ClientDisconnected {
                request: fields.string("request-id")?,
            }),
            EventKind::HealthCheckEnded => {
                read_health_check(fields).map(InstanceEvent::HealthCheckEnded)
            }
            EventKind::TimerFired => Ok(InstanceEvent::TimerFired {
                token: fields.unsigned_integer("name")?,
            }),
        }
    }
}

fn read_endpoints_updated<'a>(
    fields: &ObjectReader<'a>,
    endpoint_lists: &'a HashMap<ListId, Vec<ListedEndpoint>>,
) -> Result<InstanceEvent<'a>, ObjectError> {
    let update = match fields.string("mode")? {
        "delta" => EndpointUpdate::Delta,
        "full" => EndpointUpdate::Snapshot,
        "cached" => EndpointUpdate::Cached,
        "failed" => return Ok(InstanceEvent::DiscoveryFailed),
        _ => return Err(fields.invalid("mode")),
    };
    let list = read_list_id(fields)?;
    let endpoints = endpoint_lists
        .get(&list)
        .ok_or_else(|| fields.invalid("list"))?;
    Ok(InstanceEvent::EndpointsUpdated { update, endpoints })
}

fn read_request<'a>(
    fields: &ObjectReader<'a>,
    names: &NameTable,
) -> Result<ArrivedRequest<'a>, ObjectError> {
    let class = names
        .class(fields.string("band")?)
        .ok_or_else(|| fields.invalid("band"))?;
    let options = fields.unsigned_integer_or("options", 0)?;
    let expected_service_time = fields.unsigned_integer_or("weight-hint-ns", 0)?;
    let has_expected_service_time = options & OPTION_HAS_EXPECTED_SERVICE_TIME != 0;
    Ok(ArrivedRequest {
        expires_at: fields.unsigned_integer("not-after-ns")?,
        name: fields.string("request-id")?,
        class: ClassId(class),
        affinity_key: fields.lenient_string("key").map(name_hash),
        expected_service_time: has_expected_service_time.then_some(expected_service_time),
        is_retry: options & OPTION_IS_RETRY != 0,
        tenant: names.tenant(fields.lenient_string("org")),
    })
}

fn read_attempt<'a>(fields: &ObjectReader<'a>) -> Result<EndedAttempt<'a>, ObjectError> {
    Ok(EndedAttempt {
        request_ended: fields.boolean("no-more")?,
        outcome: read_outcome(fields)?,
        elapsed: fields.unsigned_integer("elapsed-ns")?,
        report: read_load_report(fields)?,
        attempt: read_attempt_number(fields)?,
        request: fields.string("request-id")?,
    })
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the simulator repeats the number of an attempt, which was sent as u32"
)]
fn read_attempt_number(fields: &ObjectReader) -> Result<u32, ObjectError> {
    Ok(fields.unsigned_integer("try")? as u32)
}

fn read_health_check<'a>(fields: &ObjectReader<'a>) -> Result<EndedHealthCheck<'a>, ObjectError> {
    Ok(EndedHealthCheck {
        backend: fields.string("backend")?,
        elapsed: fields.unsigned_integer("elapsed-ns")?,
        outcome: read_outcome(fields)?,
        report: read_load_report(fields)?,
    })
}

fn read_outcome(fields: &ObjectReader) -> Result<Outcome, ObjectError> {
    match fields.string("disposition")? {
        "S" => Ok(Outcome::Success),
        "E" => Ok(Outcome::Error),
        "F" => Ok(Outcome::Rejected),
        "T" => Ok(Outcome::TimedOut),
        "C" => Ok(Outcome::ConnectFailed),
        "R" => Ok(Outcome::Reset),
        "X" => Ok(Outcome::Cancelled),
        "N" => Ok(Outcome::NotSent),
        _ => Err(fields.invalid("disposition")),
    }
}

/// Reads the load report in a message; empty where there is none. Values of a wrong type count as absent.
fn read_load_report(fields: &ObjectReader) -> Result<LoadReport, ObjectError> {
    if fields.optional("usage").is_none() {
        return Ok(LoadReport::default());
    }
    let usage = fields.object("usage")?;
    Ok(LoadReport {
        utilization: usage.lenient_number("load_share"),
        requests_per_second: usage.lenient_number("tps"),
        in_flight: usage.lenient_number("concurrent"),
    })
}

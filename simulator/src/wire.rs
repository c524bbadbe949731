//! The simulator's protocol: lines of JSON, each an object whose only key is the message's name.
//!
//! Names on the wire are the simulator's; the program uses the balancer's terms:
//!
//! | wire | program |
//! | --- | --- |
//! | `who` | instance |
//! | `MANIFEST`, `list` | endpoint list and its id |
//! | `hall`, `type`, `pod` | zone, machine kind, cell |
//! | `INCOMING`, `band`, `org` | request arrived, class, tenant |
//! | `SETTLED`, `try`, `disposition`, `no-more` | attempt ended, attempt, outcome, request ended |
//! | `ACK_FIRST`, `LEFT` | response started, client disconnected |
//! | `STATUS_BACK`, `usage` | health check ended, load report |
//! | `DEFER`, `WAKEUP` | set timer, timer fired |
//! | `PLACE`, `DECLINE`, `END_FAILED`, `RECALL`, `TEST` | send, reject, fail, cancel, check health |

pub mod endpoint_list;
pub mod events;
pub mod input;
pub mod output;

use serde::Serialize;

/// The number of a balancer instance, set by the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct InstanceId(pub i64);

/// The number of an endpoint list, set by the simulator, which may reuse it for a later list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListId(pub i64);

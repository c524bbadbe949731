//! The simulator's protocol: lines of JSON, each an object whose only key is the message's name.
//!
//! The simulator's words stay on the wire; within the program the standard terms are used:
//!
//! | wire | here |
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

/// One instance of the balancer, numbered by the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct InstanceId(pub i64);

/// An endpoint list, numbered by the simulator; a later list may have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ListId(pub i64);

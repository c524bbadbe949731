//! The messages to the simulator.

use badgerpost_balancer::Nanos;
use serde::Serialize;

use super::InstanceId;

/// A message to the simulator, serialized as the JSON object of one line. Times are in nanoseconds.
///
/// Fields are declared in alphabetical order of their names on the wire, because they are serialized in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Reply {
    /// Start an attempt.
    #[serde(rename = "PLACE")]
    Send {
        /// The backend's name.
        backend: String,
        /// The attempt's timeout; 0 to wait until the client gives up.
        #[serde(rename = "max-wait-ns")]
        timeout: Nanos,
        /// The request's name.
        #[serde(rename = "request-id")]
        request: String,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Final answer: rejected; the client may safely retry.
    #[serde(rename = "DECLINE")]
    Reject {
        /// How long the client should wait before a retry; 0 where nothing is advised.
        #[serde(rename = "pause-ns")]
        retry_after: Nanos,
        /// The request's name.
        #[serde(rename = "request-id")]
        request: String,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Final answer: failed; the request may have run.
    #[serde(rename = "END_FAILED")]
    Fail {
        /// The request's name.
        #[serde(rename = "request-id")]
        request: String,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Cancel an attempt.
    #[serde(rename = "RECALL")]
    Cancel {
        /// The request's name.
        #[serde(rename = "request-id")]
        request: String,
        /// The number of the attempt, from 0 in the order of the sends.
        #[serde(rename = "try")]
        attempt: u32,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Send a health check.
    #[serde(rename = "TEST")]
    CheckHealth {
        /// The backend's name.
        backend: String,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Start to watch the endpoint list.
    #[serde(rename = "SUBSCRIBE")]
    WatchEndpoints {
        /// Whether the watch starts; always true, since a watch is never stopped.
        #[serde(rename = "on")]
        is_active: bool,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Fetch the complete endpoint list once.
    #[serde(rename = "QUERY_ALL")]
    FetchSnapshot {
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// Set a timer.
    #[serde(rename = "DEFER")]
    SetTimer {
        /// Time from now until the timer fires.
        #[serde(rename = "from-now-ns")]
        after: Nanos,
        /// Returned in the event when the timer fires.
        #[serde(rename = "name")]
        token: u64,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// A log line.
    #[serde(rename = "REMARK")]
    Log {
        /// The text of the log line.
        #[serde(rename = "note-text")]
        text: String,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// The instance can't be started.
    #[serde(rename = "DIE")]
    StartFailed {
        /// Why the instance can't be started.
        #[serde(rename = "note-text")]
        problem: String,
        /// The instance.
        #[serde(rename = "who")]
        instance: InstanceId,
    },
    /// The batch has been handled; always the last message of a batch's replies.
    #[serde(rename = "YIELD")]
    BatchDone {},
}

#[cfg(test)]
mod tests;

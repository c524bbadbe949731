//! The outcome log: one line of JSON for each client request, sorted by arrival. Times are in nanoseconds from the start
//! of the scenario. The log holds everything that the checks of the rules need.

use serde::{Deserialize, Serialize};

use badgerpost_time::Nanos;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// The request carries an idempotency key; the servers of a deduplication scope drop repeats within a window.
    Keyed,
    /// The request must not be executed twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The servers that deduplicate keyed requests together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DedupScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Where and for how long repeats of a keyed request are dropped. Logs hold the scope and the window as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(DedupScope, Nanos)", into = "(DedupScope, Nanos)")]
pub struct Dedup {
    /// The servers that drop repeats.
    pub scope: DedupScope,
    /// For how long repeats are dropped after a request was executed.
    pub window: Nanos,
}

impl From<(DedupScope, Nanos)> for Dedup {
    fn from((scope, window): (DedupScope, Nanos)) -> Self {
        Self { scope, window }
    }
}

impl From<Dedup> for (DedupScope, Nanos) {
    fn from(dedup: Dedup) -> Self {
        (dedup.scope, dedup.window)
    }
}

/// How an attempt ended from the point of view of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// A valid response was written.
    Served,
    /// A response with status 500 was written after the request had been executed.
    #[serde(rename = "error")]
    ServerError,
    /// The server rejected the request without executing it.
    #[serde(rename = "turned-away")]
    Rejected,
    /// The server reset the connection.
    #[serde(rename = "reset")]
    ConnectionReset,
    /// An invalid response was written.
    #[serde(rename = "spoilt")]
    InvalidResponse,
    /// The node cancelled the attempt or ended before a response was written.
    Abandoned,
    /// The attempt was still without a response at the end of the run.
    #[serde(rename = "open")]
    Unfinished,
}

/// One attempt: a complete request that reached a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The server's name.
    pub server: String,
    /// The server's zone.
    pub zone: String,
    /// The number of the server's cell.
    pub cell: u64,
    /// When the last byte of the request reached the server.
    pub start: Nanos,
    /// When the attempt ended; none if the attempt is unfinished.
    pub end: Option<Nanos>,
    /// How the attempt ended.
    #[serde(rename = "ended")]
    pub outcome: AttemptOutcome,
    /// Whether the server began to execute the request.
    #[serde(rename = "ran")]
    pub executed: bool,
    /// How long before this attempt the node was notified that the server drains or is gone; none if the node was not.
    #[serde(rename = "told_for")]
    pub drain_known_for: Option<Nanos>,
    /// Whether this attempt overloaded a server in slow start.
    #[serde(rename = "felled")]
    pub caused_overload: bool,
    /// Whether the response was complete and had no length.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub without_length: bool,
    /// By how much the deadline sent to the server exceeds the client's remaining time; none if it does not.
    #[serde(
        rename = "overstated",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline_excess: Option<Nanos>,
}

impl Attempt {
    /// Whether the node has to assume that the request was executed, which holds unless the server rejected the request.
    pub fn may_have_executed(&self) -> bool {
        self.outcome != AttemptOutcome::Rejected
    }
}

/// The result of a request from the point of view of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientResult {
    /// The request was served.
    Served,
    /// The request was rejected; a retry is harmless.
    #[serde(rename = "refused")]
    Rejected,
    /// The request failed; it may have been executed.
    Failed,
}

/// The final response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinalResponse {
    /// When the last byte of the response reached the client.
    pub at: Nanos,
    /// The result that the response reports.
    #[serde(rename = "told")]
    pub result: ClientResult,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the body was written by a server in one of the request's own attempts, if the request was served.
    #[serde(rename = "own")]
    pub is_from_own_attempt: bool,
}

/// One client request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The id, which is unique in the log.
    pub id: String,
    /// The id of the request that this one retries; none if it is no retry.
    #[serde(rename = "again")]
    pub retry_of: Option<String>,
    /// The name of the request class.
    pub class: String,
    /// Whether the request may take effect more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Where and for how long repeats are dropped; none unless the request is keyed.
    pub dedup: Option<Dedup>,
    /// The name of the node that the request was sent to.
    pub node: String,
    /// When the last byte of the request was written to the node.
    pub arrival: Nanos,
    /// How long the client waits for the response.
    #[serde(rename = "budget")]
    pub timeout: Nanos,
    /// The attempts, in the order in which they reached servers.
    pub attempts: Vec<Attempt>,
    /// The final response; none if there was none.
    #[serde(rename = "answer")]
    pub response: Option<FinalResponse>,
    /// When the client closed the connection; none unless it did so before the response.
    #[serde(rename = "left", default, skip_serializing_if = "Option::is_none")]
    pub client_left_at: Option<Nanos>,
    /// The number of bytes that followed the final response.
    #[serde(rename = "surplus")]
    pub surplus_bytes: u64,
    /// Whether no response is required, because the node was killed, stopped, paused or unreachable while the request
    /// was open.
    #[serde(rename = "excused")]
    pub is_excused: bool,
    /// How long the node was paused while the request was open. Only pauses that do not excuse the request are counted;
    /// they extend the time for the response.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub held_up: Nanos,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_zero(duration: &Nanos) -> bool {
    *duration == 0
}

impl Request {
    /// Whether the first attempt went to this zone.
    pub fn first_attempt_is_in(&self, zone: &str) -> bool {
        self.attempts
            .first()
            .is_some_and(|first| first.zone == zone)
    }

    /// The result that the final response reports; none without one.
    pub fn result(&self) -> Option<ClientResult> {
        self.response.map(|response| response.result)
    }
}

/// Serializes a log in its file format, one line of JSON for each request.
pub fn write(log: &[Request]) -> Result<String, serde_json::Error> {
    log.iter()
        .map(|request| serde_json::to_string(request).map(|line| line + "\n"))
        .collect()
}

/// The number of requests of a log by result, and the number of attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// All requests.
    pub requests: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests without a final response.
    pub unanswered: usize,
    /// Attempts of all requests.
    pub attempts: usize,
}

impl Counts {
    /// Counts the requests and attempts of a log.
    pub fn of(log: &[Request]) -> Self {
        let with_result = |result: Option<ClientResult>| {
            log.iter()
                .filter(|request| request.result() == result)
                .count()
        };
        Self {
            requests: log.len(),
            served: with_result(Some(ClientResult::Served)),
            rejected: with_result(Some(ClientResult::Rejected)),
            failed: with_result(Some(ClientResult::Failed)),
            unanswered: with_result(None),
            attempts: log.iter().map(|request| request.attempts.len()).sum(),
        }
    }

    /// The fraction of the requests that were served; 0 without requests.
    pub fn served_fraction(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

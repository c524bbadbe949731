//! The outcome log: one line of JSON for each client request, sorted by arrival. Times are nanoseconds from the start of
//! the scenario. The log holds everything that the rule checkers need.

use serde::{Deserialize, Serialize};

use badgerpost_time::Nanos;

/// Whether a request may take effect more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may be executed any number of times.
    #[serde(rename = "safe")]
    Idempotent,
    /// It carries an idempotency key, and the servers of its scope drop repeats for a while.
    Keyed,
    /// It must not be executed twice.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The servers that drop repeats of one another's keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DedupScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Where and for how long repeats of a keyed request are dropped. A log has it as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(DedupScope, Nanos)", into = "(DedupScope, Nanos)")]
pub struct Dedup {
    /// The servers that drop its repeats.
    pub scope: DedupScope,
    /// For how long they do.
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

/// How an attempt ended, as its server saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptOutcome {
    /// A valid response was written.
    Served,
    /// A 500 was written after the request had been executed.
    #[serde(rename = "error")]
    ServerError,
    /// The server rejected the request without executing it.
    #[serde(rename = "turned-away")]
    Rejected,
    /// The server reset the connection.
    #[serde(rename = "reset")]
    ConnectionReset,
    /// What was written is not a valid response.
    #[serde(rename = "spoilt")]
    InvalidResponse,
    /// The node cancelled the attempt, or ended, before there was a response.
    Abandoned,
    /// Nothing was ever written.
    #[serde(rename = "open")]
    Unfinished,
}

/// One attempt: a request that reached a server complete.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The server's name.
    pub server: String,
    /// The server's zone.
    pub zone: String,
    /// The server's cell.
    pub cell: u64,
    /// When the request was complete at the server.
    pub start: Nanos,
    /// When the attempt ended; none if it never did.
    pub end: Option<Nanos>,
    /// How it ended.
    #[serde(rename = "ended")]
    pub outcome: AttemptOutcome,
    /// Whether the server began to execute the request.
    #[serde(rename = "ran")]
    pub executed: bool,
    /// How long before this attempt the node had been notified that the server drains or is gone.
    #[serde(rename = "told_for")]
    pub drain_known_for: Option<Nanos>,
    /// Whether this attempt overloaded a server in slow start.
    #[serde(rename = "felled")]
    pub caused_overload: bool,
    /// Whether its response had no length and was complete.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub without_length: bool,
    /// By how much the deadline sent to the server exceeds the time that the client had left, where it does.
    #[serde(
        rename = "overstated",
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub deadline_excess: Option<Nanos>,
}

impl Attempt {
    /// Whether the node has to assume that the request was executed: always, unless the server rejected it.
    pub fn may_have_executed(&self) -> bool {
        self.outcome != AttemptOutcome::Rejected
    }
}

/// The result of a request as its client sees it.
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
    /// When its last byte arrived.
    pub at: Nanos,
    /// The result that it reports.
    #[serde(rename = "told")]
    pub result: ClientResult,
    /// Its status code.
    pub status: u16,
    /// Whether its body, if the request was served, was written in one of the request's own attempts.
    #[serde(rename = "own")]
    pub is_from_own_attempt: bool,
}

/// One request of a client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The id of the request that it retries.
    #[serde(rename = "again")]
    pub retry_of: Option<String>,
    /// The name of its class.
    pub class: String,
    /// Whether it may take effect more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Where its repeats are dropped, if it is keyed.
    pub dedup: Option<Dedup>,
    /// The node that it was sent to.
    pub node: String,
    /// When its last byte was written to the node.
    pub arrival: Nanos,
    /// How long its client waits.
    #[serde(rename = "budget")]
    pub timeout: Nanos,
    /// Its attempts, in the order in which they reached servers.
    pub attempts: Vec<Attempt>,
    /// The final response.
    #[serde(rename = "answer")]
    pub response: Option<FinalResponse>,
    /// When its client closed the connection, if it did so before the response.
    #[serde(rename = "left", default, skip_serializing_if = "Option::is_none")]
    pub client_left_at: Option<Nanos>,
    /// Bytes that followed the response.
    #[serde(rename = "surplus")]
    pub surplus_bytes: u64,
    /// Whether no response is owed: the node was killed, stopped, paused or unreachable while the request was open.
    #[serde(rename = "excused")]
    pub is_excused: bool,
    /// How long its node stood still while it was open, for a short time that excuses no more than a later response.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub held_up: Nanos,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde wants a reference")]
fn is_zero(duration: &Nanos) -> bool {
    *duration == 0
}

impl Request {
    /// Whether its first attempt went to this zone.
    pub fn first_attempt_is_in(&self, zone: &str) -> bool {
        self.attempts
            .first()
            .is_some_and(|first| first.zone == zone)
    }

    /// The result that its client got, if there was a response.
    pub fn result(&self) -> Option<ClientResult> {
        self.response.map(|response| response.result)
    }
}

/// Writes a log as it stands in a file.
pub fn write(log: &[Request]) -> Result<String, serde_json::Error> {
    log.iter()
        .map(|request| serde_json::to_string(request).map(|line| line + "\n"))
        .collect()
}

/// Counts over a log.
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
    /// Counts a log.
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

    /// Fraction of the requests that were served.
    pub fn served_fraction(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

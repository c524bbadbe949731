//! The outcome log: one line a client's request, in JSON, sorted by arrival. Times are nanoseconds since the
//! scene began; all that the rule checkers need stands in it.

use serde::{Deserialize, Serialize};

use badgerpost_time::Nanos;

/// Whether a request may take effect twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It may.
    Safe,
    /// It carries a key, and the servers of its group drop repeats for a while.
    Keyed,
    /// It must not.
    Unsafe,
}

/// The servers that drop repeats of one another's keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scope {
    /// All.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How an attempt ended, as its server knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ended {
    /// A good answer was written.
    Served,
    /// A 500 was written; it ran.
    Error,
    /// Turned away unread.
    TurnedAway,
    /// Its connection was reset from here.
    Reset,
    /// What was written is no answer.
    Spoilt,
    /// The node gave it up, or ended, before there was an answer.
    Abandoned,
    /// Nothing was ever said.
    Open,
}

/// One attempt: a request that came whole to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The server.
    pub server: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// When it came.
    pub start: Nanos,
    /// When it ended, unless it never did.
    pub end: Option<Nanos>,
    /// How.
    pub ended: Ended,
    /// Whether it was begun there.
    pub ran: bool,
    /// For how long the node had been told by then that the server drains or is gone.
    pub told_for: Option<Nanos>,
    /// Whether it was the one that pushed a cold server over.
    pub felled: bool,
    /// Whether its answer had no length and came complete.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub without_length: bool,
    /// By how much the deadline that it was told is beyond what its client had left, where it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub overstated: Option<Nanos>,
}

impl Attempt {
    /// Whether the node has to reckon with its having run: all but what was turned away.
    pub fn may_have_run(&self) -> bool {
        self.ended != Ended::TurnedAway
    }
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// Served.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// The one final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// When its last byte came.
    pub at: Nanos,
    /// What it said.
    pub told: Told,
    /// Its status.
    pub status: u16,
    /// Whether one of the request's own attempts made its body, where it was served.
    pub own: bool,
}

/// One client's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The request that it tries again.
    pub again: Option<String>,
    /// Its class.
    pub class: String,
    /// Whether it may take effect twice.
    pub effect: Effect,
    /// Who drops its repeats, and for how long.
    pub dedup: Option<(Scope, Nanos)>,
    /// The node that it went to.
    pub node: String,
    /// When its last byte was written to the node.
    pub arrival: Nanos,
    /// How long its client waits.
    pub budget: Nanos,
    /// Its attempts, in the order in which they came to servers.
    pub attempts: Vec<Attempt>,
    /// The final answer.
    pub answer: Option<Answer>,
    /// When its client closed the connection, if it left early.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left: Option<Nanos>,
    /// Bytes that came behind the answer.
    pub surplus: u64,
    /// The node was killed, stopped or paused while it was open, or could not be reached: nothing is owed.
    pub excused: bool,
}

impl Request {
    /// Whether its first attempt went to this zone.
    pub fn began_in(&self, zone: &str) -> bool {
        self.attempts
            .first()
            .is_some_and(|first| first.zone == zone)
    }
}

/// The log as it stands in a file.
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
    /// Served ones.
    pub served: usize,
    /// Refused ones.
    pub refused: usize,
    /// Failed ones.
    pub failed: usize,
    /// Ones with no answer.
    pub unanswered: usize,
    /// All attempts.
    pub attempts: usize,
}

impl Counts {
    /// Counts a log.
    pub fn of(log: &[Request]) -> Self {
        let told = |what: Option<Told>| {
            log.iter()
                .filter(|request| request.answer.map(|answer| answer.told) == what)
                .count()
        };
        Self {
            requests: log.len(),
            served: told(Some(Told::Served)),
            refused: told(Some(Told::Refused)),
            failed: told(Some(Told::Failed)),
            unanswered: told(None),
            attempts: log.iter().map(|request| request.attempts.len()).sum(),
        }
    }

    /// Share of the requests that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}

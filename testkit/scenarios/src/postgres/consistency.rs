//! Checks the outcomes that clients received against the rows that the databases hold.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

/// The final outcome of a transaction as reported to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientOutcome {
    /// The transaction is committed.
    Committed,
    /// The transaction was not started, so a retry is safe (SQLSTATE 53300 or 57P03).
    #[serde(rename = "refused")]
    Rejected,
    /// The transaction failed with an error and was rolled back.
    RolledBack,
    /// The transaction may be committed: SQLSTATE 08007, or 08006 or 57P01 for a message that held the complete
    /// transaction.
    Unknown,
    /// The connection broke without a response.
    #[serde(rename = "nothing")]
    ConnectionLost,
}

impl fmt::Display for ClientOutcome {
    /// Writes the outcome in the form that the summary prints.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Committed => "Committed",
            Self::Rejected => "Refused",
            Self::RolledBack => "RolledBack",
            Self::Unknown => "Unknown",
            Self::ConnectionLost => "Nothing",
        })
    }
}

/// How a client runs a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TransactionKind {
    /// One INSERT, committed by itself.
    Insert,
    /// BEGIN, two INSERTs and COMMIT, each as a separate query.
    Statements,
    /// Two INSERTs in a transaction of the driver's transaction API.
    Transaction,
    /// BEGIN, two INSERTs and COMMIT in one simple query.
    #[serde(rename = "one text")]
    SingleQuery,
    /// Three rows inserted by COPY.
    Copy,
    /// Two INSERTs, the second rolled back to a savepoint.
    Savepoint,
}

impl TransactionKind {
    /// The number of rows that a committed transaction of this kind inserts.
    pub fn row_count(self) -> usize {
        match self {
            Self::Insert | Self::Savepoint => 1,
            Self::Statements | Self::Transaction | Self::SingleQuery => 2,
            Self::Copy => 3,
        }
    }
}

/// One transaction from its client's view; written as one line of the outcome log.
#[derive(Clone, Debug, Serialize)]
pub struct TransactionRecord {
    /// The transaction's number, from 1; stored in each row that the transaction inserts.
    pub id: i64,
    /// How the client ran the transaction.
    pub kind: TransactionKind,
    /// The name of the client's driver.
    pub driver: &'static str,
    /// The number of rows that are stored if the transaction is committed.
    #[serde(rename = "rows")]
    pub expected_rows: usize,
    /// The outcome that the client received.
    #[serde(rename = "told")]
    pub outcome: ClientOutcome,
    /// The error's SQLSTATE code, or the driver's error if there was no code; empty if the transaction is committed.
    pub code: String,
    /// The transaction's duration in microseconds, from its first message to its outcome.
    #[serde(rename = "took_us")]
    pub duration_us: u64,
}

/// A contradiction between an outcome and the stored rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The transaction's number.
    pub id: i64,
    /// A description of the contradiction.
    pub problem: String,
}

/// Compares each client's outcome with the number of rows stored for its transaction.
pub fn check(records: &[TransactionRecord], stored_rows: &BTreeMap<i64, usize>) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut known = BTreeSet::new();
    for record in records {
        let id = record.id;
        let stored = stored_rows.get(&id).copied().unwrap_or(0);
        violations.extend(contradiction(record, stored).map(|problem| Violation { id, problem }));
        if !known.insert(id) {
            let problem = "two outcomes were recorded for this transaction".to_owned();
            violations.push(Violation { id, problem });
        }
    }
    for id in stored_rows.keys().filter(|id| !known.contains(id)) {
        violations.push(Violation {
            id: *id,
            problem: "rows are stored, but no client ran this transaction".to_owned(),
        });
    }
    violations
}

/// Describes how the outcome contradicts the number of rows stored for the transaction; `None` if both agree.
fn contradiction(record: &TransactionRecord, stored: usize) -> Option<String> {
    let expected = record.expected_rows;
    match record.outcome {
        ClientOutcome::Committed if stored == 0 && expected > 0 => {
            Some("reported as committed, but no rows are stored".to_owned())
        }
        ClientOutcome::Committed if stored != expected => Some(format!(
            "reported as committed, but {stored} rows are stored instead of {expected}"
        )),
        ClientOutcome::Rejected | ClientOutcome::RolledBack if stored != 0 => Some(format!(
            "reported as {} ({}), but {stored} rows are stored",
            record.outcome, record.code
        )),
        ClientOutcome::Unknown | ClientOutcome::ConnectionLost
            if stored != 0 && stored != expected =>
        {
            Some(format!(
                "{stored} rows are stored instead of 0 or {expected}: partly committed or executed twice"
            ))
        }
        ClientOutcome::ConnectionLost => {
            Some("the connection closed before the client received an outcome".to_owned())
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;

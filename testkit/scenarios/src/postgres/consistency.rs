//! Checks the outcomes that clients received against the rows that the databases hold.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

/// The outcome of a transaction as its client knows it in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientOutcome {
    /// It is committed.
    Committed,
    /// It never ran, and a retry is safe (53300, 57P03).
    #[serde(rename = "refused")]
    Rejected,
    /// Nothing of it remains: an error before its COMMIT, and a ROLLBACK.
    RolledBack,
    /// It may have taken effect: 08007, or the loss of a statement that was a complete transaction (08006).
    Unknown,
    /// The connection broke without a response.
    #[serde(rename = "nothing")]
    ConnectionLost,
}

impl fmt::Display for ClientOutcome {
    /// The outcome as the summary prints it.
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
    /// BEGIN, two INSERTs and COMMIT as separate queries.
    Statements,
    /// Two INSERTs in a transaction by the driver's own interface.
    Transaction,
    /// BEGIN, two INSERTs and COMMIT as one query.
    #[serde(rename = "one text")]
    SingleQuery,
    /// Three rows by COPY.
    Copy,
    /// Two INSERTs, the second rolled back to a savepoint.
    Savepoint,
}

impl TransactionKind {
    /// Rows that a committed transaction of this kind has inserted.
    pub fn row_count(self) -> usize {
        match self {
            Self::Insert | Self::Savepoint => 1,
            Self::Statements | Self::Transaction | Self::SingleQuery => 2,
            Self::Copy => 3,
        }
    }
}

/// One transaction as its client saw it; a line of the outcome log.
#[derive(Clone, Debug, Serialize)]
pub struct TransactionRecord {
    /// Its number; each of its rows holds it.
    pub id: i64,
    /// How it was run.
    pub kind: TransactionKind,
    /// The name of the client's driver.
    pub driver: &'static str,
    /// Rows that it has inserted if it is committed.
    #[serde(rename = "rows")]
    pub expected_rows: usize,
    /// Its outcome as the client knows it.
    #[serde(rename = "told")]
    pub outcome: ClientOutcome,
    /// The SQLSTATE code of the error, if there was one.
    pub code: String,
    /// Its duration in microseconds.
    #[serde(rename = "took_us")]
    pub duration_us: u64,
}

/// A contradiction between an outcome and the stored rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The transaction.
    pub id: i64,
    /// What is wrong.
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
            let problem = "two final answers".to_owned();
            violations.push(Violation { id, problem });
        }
    }
    for id in stored_rows.keys().filter(|id| !known.contains(id)) {
        violations.push(Violation {
            id: *id,
            problem: "there, and nobody has sent it".to_owned(),
        });
    }
    violations
}

/// What contradicts the outcome of a transaction with so many stored rows.
fn contradiction(record: &TransactionRecord, stored: usize) -> Option<String> {
    let expected = record.expected_rows;
    match record.outcome {
        ClientOutcome::Committed if stored == 0 && expected > 0 => {
            Some("told committed, and not there".to_owned())
        }
        ClientOutcome::Committed if stored != expected => {
            Some(format!("told committed, with {stored} of {expected} rows"))
        }
        ClientOutcome::Rejected | ClientOutcome::RolledBack if stored != 0 => Some(format!(
            "told {} ({}), and {stored} rows are there",
            record.outcome, record.code
        )),
        ClientOutcome::Unknown | ClientOutcome::ConnectionLost
            if stored != 0 && stored != expected =>
        {
            Some(format!(
                "{stored} of {expected} rows are there: twice, or in part"
            ))
        }
        ClientOutcome::ConnectionLost => {
            Some("the connection broke without a final answer".to_owned())
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;

//! What clients were told against what took effect.

use std::collections::BTreeMap;

use serde::Serialize;

/// What a client was told of its transaction in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// It is committed.
    Committed,
    /// It never ran, and trying again is harmless (53300, 57P03).
    Refused,
    /// Nothing of it stays: an error before its COMMIT, and a ROLLBACK.
    RolledBack,
    /// Nobody knows: 08007, or the loss of a statement that stood alone (08006).
    Unknown,
    /// The connection broke without a word.
    Nothing,
}

/// One transaction as its client saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// Its number; each of its rows holds it.
    pub id: i64,
    /// What it was.
    pub kind: &'static str,
    /// By which driver.
    pub driver: &'static str,
    /// Rows that it has if it took effect.
    pub rows: usize,
    /// What the client was told.
    pub told: Told,
    /// The code of the error, if there was one.
    pub code: String,
    /// How long it took, in microseconds.
    pub took_us: u64,
}

/// What does not fit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The transaction.
    pub id: i64,
    /// What is wrong.
    pub problem: String,
}

/// Holds what clients were told against the rows that are there, by transaction.
pub fn check(seen: &[Seen], rows: &BTreeMap<i64, usize>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut known = BTreeMap::new();
    for one in seen {
        let there = rows.get(&one.id).copied().unwrap_or(0);
        let problem = match one.told {
            Told::Committed if there == 0 && one.rows > 0 => {
                Some("told committed, and not there".to_owned())
            }
            Told::Committed if there != one.rows => {
                Some(format!("told committed, with {there} of {} rows", one.rows))
            }
            Told::Refused | Told::RolledBack if there != 0 => Some(format!(
                "told {:?} ({}), and {there} rows are there",
                one.told, one.code
            )),
            Told::Unknown | Told::Nothing if there != 0 && there != one.rows => Some(format!(
                "{there} of {} rows are there: twice, or in part",
                one.rows
            )),
            Told::Nothing => Some("the connection broke without a final answer".to_owned()),
            _ => None,
        };
        findings.extend(problem.map(|problem| Finding {
            id: one.id,
            problem,
        }));
        if known.insert(one.id, ()).is_some() {
            findings.push(Finding {
                id: one.id,
                problem: "two final answers".to_owned(),
            });
        }
    }
    for id in rows.keys().filter(|id| !known.contains_key(id)) {
        findings.push(Finding {
            id: *id,
            problem: "there, and nobody has sent it".to_owned(),
        });
    }
    findings
}

#[cfg(test)]
mod tests;

//! Sticky sessions. A session is sticky, that is, bound to one server connection, if a statement left state on the
//! connection that outlives the transaction.

use std::fmt;

use crate::sql_statement::{SettingTarget, SqlStatement};

/// Upper-case names of functions that acquire session-level advisory locks.
const SESSION_LOCK_FUNCTIONS: [&str; 4] = [
    "PG_ADVISORY_LOCK",
    "PG_ADVISORY_LOCK_SHARED",
    "PG_TRY_ADVISORY_LOCK",
    "PG_TRY_ADVISORY_LOCK_SHARED",
];
/// Number of words after CREATE that are searched for TEMPORARY (`CREATE OR REPLACE TEMPORARY VIEW`).
const MAX_CREATE_MODIFIERS: usize = 4;

/// Why a session is sticky.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StickyReason {
    /// A statement changed a setting that does not follow the client to other servers.
    Setting,
    /// LISTEN was executed.
    Listen,
    /// A temporary table, view or sequence was created.
    Temporary,
    /// A session-level advisory lock was acquired.
    AdvisoryLock,
    /// A cursor WITH HOLD was declared.
    HoldCursor,
    /// A statement was prepared with the SQL command PREPARE.
    SqlPrepare,
    /// A statement has unknown effects or cannot be analyzed.
    Unknown,
    /// Connections are leased to sessions instead of transactions by configuration.
    Pooling,
}

impl StickyReason {
    /// The name shown by the console.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Setting => "Setting",
            Self::Listen => "Listen",
            Self::Temporary => "Temporary",
            Self::AdvisoryLock => "AdvisoryLock",
            Self::HoldCursor => "HoldCursor",
            Self::SqlPrepare => "SqlPrepare",
            Self::Unknown => "Unknown",
            Self::Pooling => "Pooling",
        }
    }

    /// Returns why a statement makes its session sticky; `None` if the session does not become sticky.
    pub(crate) fn of_statement(statement: &SqlStatement<'_>) -> Option<Self> {
        let keywords = statement.keywords();
        match &keywords[..] {
            ["SET", "LOCAL" | "TRANSACTION" | "CONSTRAINTS", ..] => None,
            ["RESET", "ALL"] => None,
            ["SET" | "RESET", ..] => Self::of_setting(&keywords),
            ["LISTEN", ..] => Some(Self::Listen),
            ["CREATE", rest @ ..] if rest.iter().take(MAX_CREATE_MODIFIERS).any(is_temporary) => {
                Some(Self::Temporary)
            }
            ["DECLARE", ..] if contains_pair(&keywords, ["WITH", "HOLD"]) => Some(Self::HoldCursor),
            ["PREPARE", "TRANSACTION", ..] => None,
            ["PREPARE", ..] => Some(Self::SqlPrepare),
            ["LOAD" | "DO", ..] => Some(Self::Unknown),
            _ => Self::of_expression(statement, &keywords),
        }
    }

    fn of_setting(keywords: &[&str]) -> Option<Self> {
        match SettingTarget::read(keywords) {
            Some(SettingTarget::Other) => Some(Self::Setting),
            Some(SettingTarget::Followed(_)) | None => None,
        }
    }

    /// Returns the reason due to a called function or `SELECT INTO TEMPORARY`.
    fn of_expression(statement: &SqlStatement<'_>, keywords: &[&str]) -> Option<Self> {
        if SESSION_LOCK_FUNCTIONS
            .iter()
            .any(|function| statement.calls(function))
        {
            return Some(Self::AdvisoryLock);
        }
        if statement.calls("SET_CONFIG") {
            return Some(Self::Setting);
        }
        keywords
            .windows(2)
            .any(|pair| pair[0] == "INTO" && is_temporary(&pair[1]))
            .then_some(Self::Temporary)
    }
}

impl fmt::Display for StickyReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

fn is_temporary(keyword: &&str) -> bool {
    matches!(*keyword, "TEMP" | "TEMPORARY")
}

fn contains_pair(keywords: &[&str], pair: [&str; 2]) -> bool {
    keywords.windows(2).any(|window| window == pair)
}

#[cfg(test)]
mod tests;

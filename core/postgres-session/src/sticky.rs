//! Why a session is sticky: bound to one server connection because a statement left state on it that outlives the
//! transaction.

use std::fmt;

use crate::sql_statement::{SettingTarget, SqlStatement};

/// Functions that take an advisory lock for the session, in capitals.
const SESSION_LOCK_FUNCTIONS: [&str; 4] = [
    "PG_ADVISORY_LOCK",
    "PG_ADVISORY_LOCK_SHARED",
    "PG_TRY_ADVISORY_LOCK",
    "PG_TRY_ADVISORY_LOCK_SHARED",
];
/// TEMPORARY, if any, is among this many words behind CREATE (`CREATE OR REPLACE TEMPORARY VIEW`).
const MAX_CREATE_MODIFIERS: usize = 4;

/// Why a session is sticky.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StickyReason {
    /// A setting of the session was changed that does not follow the client.
    Setting,
    /// LISTEN.
    Listen,
    /// A temporary table, view or sequence.
    Temporary,
    /// An advisory lock held by the session.
    AdvisoryLock,
    /// A cursor WITH HOLD.
    HoldCursor,
    /// PREPARE in SQL.
    SqlPrepare,
    /// A statement whose effects are not known, or a text that can't be read.
    Unknown,
    /// Connections are leased to sessions and not to transactions, by configuration.
    Pooling,
}

impl StickyReason {
    /// The name that the console shows.
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

    /// Why this statement makes its session sticky, if it does.
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

    /// The reason in a function that a statement calls, or in `SELECT INTO TEMPORARY`.
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

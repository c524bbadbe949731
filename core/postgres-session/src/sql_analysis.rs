//! What a statement's text says of the session beyond its transaction. A session that leaves something behind on
//! its server is pinned to it; what can't be understood pins too.

use bytes::Bytes;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::settings::is_followed;

/// Why a session is pinned to its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StickyReason {
    /// A setting of the session.
    Setting,
    /// It listens.
    Listen,
    /// A temporary table, view or sequence.
    Temporary,
    /// An advisory lock of the session.
    AdvisoryLock,
    /// A cursor WITH HOLD.
    HoldCursor,
    /// A statement prepared in SQL.
    SqlPrepare,
    /// Something else that may leave a trace, or a text that can't be read.
    Unknown,
    /// Connections are leased for sessions, by configuration.
    Pooling,
}

/// What a statement does to its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// Begins one.
    Begin {
        /// One that can change nothing.
        read_only: bool,
    },
    /// Commits it, also in two phases.
    Commit,
    /// Rolls it back.
    Rollback,
    /// None of these.
    Other,
}

/// What a text holds, statement by statement.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementEffects {
    /// What each does to its transaction.
    pub steps: Vec<TransactionStep>,
    /// Why the session is pinned by it, the first reason.
    pub pin: Option<StickyReason>,
    /// The last statement is DISCARD ALL: nothing of the session is left.
    pub discards: bool,
    /// Statements that are prepared on the server connection go.
    pub deallocates: bool,
    /// It is DEALLOCATE of this name alone, as some drivers let go of what they have prepared.
    pub deallocates_one: Option<String>,
    /// Settings that are followed and reset, by name in small letters.
    pub resets: Vec<String>,
    /// Settings that are followed and set, by name in small letters.
    pub sets: Vec<String>,
    /// RESET ALL: all settings go back to what they were at first.
    pub resets_all: bool,
    /// It is BEGIN alone, or the end of a transaction alone, in a form of which it is known that a server takes it.
    pub plain: bool,
}

impl StatementEffects {
    /// What a text that is not SQL, or can't be read, may be: anything.
    pub fn unknown() -> Self {
        Self {
            steps: vec![TransactionStep::Other],
            pin: Some(StickyReason::Unknown),
            ..Self::default()
        }
    }

    /// One transaction begins here and nothing else is done; whether it can change nothing.
    pub fn transaction_begin(&self) -> Option<bool> {
        match self.steps[..] {
            [TransactionStep::Begin { read_only }] if self.plain => Some(read_only),
            _ => None,
        }
    }

    /// A transaction ends here and nothing else is done: by COMMIT or, if false, by ROLLBACK.
    pub fn transaction_end(&self) -> Option<bool> {
        match self.steps[..] {
            [TransactionStep::Commit] if self.plain => Some(true),
            [TransactionStep::Rollback] if self.plain => Some(false),
            _ => None,
        }
    }
}

/// Reads a text of statements.
pub fn read(sql: &str) -> StatementEffects {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return StatementEffects::unknown();
    };
    let mut reading = StatementEffects::default();
    let solid: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    for statement in solid
        .split(|token| matches!(token, Token::SemiColon))
        .filter(|tokens| !tokens.is_empty())
    {
        // Keywords in capitals, and a mark behind those that are called.
        let words: Vec<(String, bool)> = statement
            .iter()
            .enumerate()
            .filter_map(|(at, token)| match token {
                Token::Word(word) => {
                    let called = matches!(statement.get(at + 1), Some(Token::LParen));
                    Some((word.value.to_ascii_uppercase(), called))
                }
                _ => None,
            })
            .collect();
        let text: Vec<&str> = words.iter().map(|(word, _)| word.as_str()).collect();
        reading.steps.push(step(&text));
        reading.pin = reading.pin.or_else(|| pin(&text, &words));
        reading.discards = matches!(text[..], ["DISCARD", "ALL"]);
        let all = matches!(
            text[..],
            ["DISCARD", ..] | ["DEALLOCATE", "ALL"] | ["DEALLOCATE", "PREPARE", "ALL"]
        );
        reading.deallocates |= all;
        if let (["DEALLOCATE", ..], false) = (&text[..], all) {
            reading.deallocates_one = match statement.last() {
                Some(Token::Word(word)) if word.quote_style.is_none() => {
                    Some(word.value.to_lowercase())
                }
                Some(Token::Word(word)) => Some(word.value.clone()),
                _ => None,
            };
        }
        reading.resets_all |= matches!(text[..], ["RESET", "ALL"] | ["DISCARD", "ALL"]);
        match (text.first(), setting(&text)) {
            (Some(&"RESET"), Some(Ok(name))) => reading.resets.push(name),
            (Some(&"SET"), Some(Ok(name))) => {
                // What is set behind its reset stays set.
                reading.resets.retain(|reset| *reset != name);
                reading.sets.push(name);
            }
            _ => {}
        }
    }
    if reading.steps.len() > 1 {
        reading.deallocates_one = None;
    }
    let is_end = matches!(
        reading.steps[..],
        [TransactionStep::Commit | TransactionStep::Rollback]
    );
    let is_begin = matches!(reading.steps[..], [TransactionStep::Begin { .. }]);
    let words = solid
        .iter()
        .filter(|token| !matches!(token, Token::SemiColon))
        .count();
    let first = solid
        .first()
        .map(|token| token.to_string().to_ascii_uppercase());
    reading.plain = match first.as_deref() {
        // PREPARE TRANSACTION and COMMIT PREPARED are no plain ends, nor is one that chains.
        Some("COMMIT" | "END" | "ROLLBACK" | "ABORT") => is_end && words == 1,
        Some("BEGIN") if is_begin && words == 1 => true,
        _ => {
            is_begin
                && Parser::parse_sql(&PostgreSqlDialect {}, sql).is_ok_and(|all| all.len() == 1)
        }
    };
    reading
}

/// The name that a text lets go of, if it is DEALLOCATE of one name and nothing else.
pub fn read_deallocate(sql: &[u8]) -> Option<Bytes> {
    const WORD: &[u8] = b"DEALLOCATE";
    let begins = sql.trim_ascii_start();
    if !begins
        .get(..WORD.len())
        .is_some_and(|word| word.eq_ignore_ascii_case(WORD))
    {
        return None;
    }
    read(&String::from_utf8_lossy(sql))
        .deallocates_one
        .map(Bytes::from)
}

/// The setting that a SET or RESET is about, in small letters: one that is followed, or `Err` for any other.
fn setting(words: &[&str]) -> Option<Result<String, ()>> {
    let words = match words {
        ["SET", "SESSION", rest @ ..] | ["SET", rest @ ..] | ["RESET", rest @ ..] => rest,
        _ => return None,
    };
    let name = match words {
        ["TIME", "ZONE", ..] => "timezone".to_owned(),
        ["NAMES", ..] => "client_encoding".to_owned(),
        // SET SESSION AUTHORIZATION and SET SESSION CHARACTERISTICS are settings of other names.
        ["AUTHORIZATION" | "CHARACTERISTICS" | "ROLE", ..] | [] => return Some(Err(())),
        [name, ..] => name.to_ascii_lowercase(),
    };
    Some(if is_followed(&name) {
        Ok(name)
    } else {
        Err(())
    })
}

fn step(words: &[&str]) -> TransactionStep {
    let read_only = || words.windows(2).any(|two| two == ["READ", "ONLY"]);
    match words {
        ["BEGIN", ..] | ["START", "TRANSACTION", ..] => TransactionStep::Begin {
            read_only: read_only(),
        },
        ["COMMIT" | "END", ..] | ["PREPARE", "TRANSACTION", ..] => TransactionStep::Commit,
        ["ROLLBACK", "TO", ..] | ["ROLLBACK", "WORK" | "TRANSACTION", "TO", ..] => {
            TransactionStep::Other
        }
        ["ROLLBACK" | "ABORT", ..] => TransactionStep::Rollback,
        _ => TransactionStep::Other,
    }
}

fn pin(text: &[&str], words: &[(String, bool)]) -> Option<StickyReason> {
    const LOCKS: [&str; 4] = [
        "PG_ADVISORY_LOCK",
        "PG_ADVISORY_LOCK_SHARED",
        "PG_TRY_ADVISORY_LOCK",
        "PG_TRY_ADVISORY_LOCK_SHARED",
    ];
    let calls = |name: &str| words.iter().any(|(word, called)| *called && word == name);
    let temporary = |word: &&str| matches!(*word, "TEMP" | "TEMPORARY");
    match text {
        ["SET", "LOCAL" | "TRANSACTION" | "CONSTRAINTS", ..] => None,
        ["RESET", "ALL"] => None,
        ["SET" | "RESET", ..] => {
            matches!(setting(text), Some(Err(()))).then_some(StickyReason::Setting)
        }
        ["LISTEN", ..] => Some(StickyReason::Listen),
        ["CREATE", rest @ ..] if rest.iter().take(4).any(temporary) => {
            Some(StickyReason::Temporary)
        }
        ["DECLARE", ..] if text.windows(2).any(|two| two == ["WITH", "HOLD"]) => {
            Some(StickyReason::HoldCursor)
        }
        ["PREPARE", "TRANSACTION", ..] => None,
        ["PREPARE", ..] => Some(StickyReason::SqlPrepare),
        ["LOAD" | "DO", ..] => Some(StickyReason::Unknown),
        _ if LOCKS.iter().any(|lock| calls(lock)) => Some(StickyReason::AdvisoryLock),
        _ if calls("SET_CONFIG") => Some(StickyReason::Setting),
        _ if text
            .windows(2)
            .any(|two| two[0] == "INTO" && temporary(&two[1])) =>
        {
            Some(StickyReason::Temporary)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;

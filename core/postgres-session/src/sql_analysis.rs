//! What the SQL of a client's message does to its transaction and to the state of its session.

use bytes::Bytes;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::sql_statement::{SettingTarget, SqlStatement};
use crate::sticky::StickyReason;

/// Whether a transaction may change anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessMode {
    /// `READ ONLY`.
    ReadOnly,
    /// Anything else.
    ReadWrite,
}

/// How a transaction block is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionEnd {
    /// COMMIT or END.
    Commit,
    /// ROLLBACK or ABORT.
    Rollback,
}

/// What one statement does to its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// Begins a transaction block.
    Begin(AccessMode),
    /// Commits it, also as the first phase of two (`PREPARE TRANSACTION`).
    Commit,
    /// Rolls it back.
    Rollback,
    /// None of these.
    Other,
}

impl TransactionStep {
    /// Whether the transaction block ends here.
    #[must_use]
    pub fn is_end(self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }

    fn of_statement(keywords: &[&str]) -> Self {
        match keywords {
            ["BEGIN", ..] | ["START", "TRANSACTION", ..] => Self::Begin(access_mode(keywords)),
            ["COMMIT" | "END", ..] | ["PREPARE", "TRANSACTION", ..] => Self::Commit,
            ["ROLLBACK", "TO", ..] | ["ROLLBACK", "WORK" | "TRANSACTION", "TO", ..] => Self::Other,
            ["ROLLBACK" | "ABORT", ..] => Self::Rollback,
            _ => Self::Other,
        }
    }
}

fn access_mode(keywords: &[&str]) -> AccessMode {
    if keywords.windows(2).any(|pair| pair == ["READ", "ONLY"]) {
        AccessMode::ReadOnly
    } else {
        AccessMode::ReadWrite
    }
}

/// Effects of a text of one or more statements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementEffects {
    /// What each statement does to its transaction, in order.
    pub steps: Vec<TransactionStep>,
    /// Why the text makes its session sticky; the first reason of several.
    pub sticky_reason: Option<StickyReason>,
    /// The last statement is DISCARD ALL: no state of the session is left on the server.
    pub discards_all: bool,
    /// All statements prepared on the server connection are deallocated.
    pub deallocates_all: bool,
    /// The text is DEALLOCATE of this name and nothing else, as some drivers release what they have prepared.
    pub deallocated_name: Option<String>,
    /// Followed settings that are reset, by name in small letters.
    pub reset_settings: Vec<String>,
    /// Followed settings that are set, by name in small letters.
    pub set_settings: Vec<String>,
    /// RESET ALL or DISCARD ALL: all settings go back to their first values.
    pub resets_all_settings: bool,
    /// The text is BEGIN alone, or the end of a transaction alone, in a form that a server is known to accept.
    pub is_standalone: bool,
}

impl StatementEffects {
    /// Effects of a text that is no SQL or can't be read: it may do anything.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            steps: vec![TransactionStep::Other],
            sticky_reason: Some(StickyReason::Unknown),
            ..Self::default()
        }
    }

    /// The access mode of the transaction that begins here, if nothing else is done.
    #[must_use]
    pub fn transaction_begin(&self) -> Option<AccessMode> {
        match self.steps[..] {
            [TransactionStep::Begin(access_mode)] if self.is_standalone => Some(access_mode),
            _ => None,
        }
    }

    /// How a transaction ends here, if nothing else is done.
    #[must_use]
    pub fn transaction_end(&self) -> Option<TransactionEnd> {
        match self.steps[..] {
            [TransactionStep::Commit] if self.is_standalone => Some(TransactionEnd::Commit),
            [TransactionStep::Rollback] if self.is_standalone => Some(TransactionEnd::Rollback),
            _ => None,
        }
    }

    fn add_statement(&mut self, statement: &SqlStatement<'_>) {
        let keywords = statement.keywords();
        self.steps.push(TransactionStep::of_statement(&keywords));
        self.sticky_reason = self
            .sticky_reason
            .or_else(|| StickyReason::of_statement(statement));
        self.discards_all = matches!(keywords[..], ["DISCARD", "ALL"]);
        self.resets_all_settings |= matches!(keywords[..], ["RESET" | "DISCARD", "ALL"]);
        self.add_deallocation(statement, &keywords);
        self.add_setting(&keywords);
    }

    fn add_deallocation(&mut self, statement: &SqlStatement<'_>, keywords: &[&str]) {
        match keywords {
            ["DISCARD", ..] | ["DEALLOCATE", "ALL"] | ["DEALLOCATE", "PREPARE", "ALL"] => {
                self.deallocates_all = true;
            }
            ["DEALLOCATE", ..] => self.deallocated_name = statement.last_identifier(),
            _ => {}
        }
    }

    fn add_setting(&mut self, keywords: &[&str]) {
        let Some(SettingTarget::Followed(name)) = SettingTarget::read(keywords) else {
            return;
        };
        if keywords.first() == Some(&"RESET") {
            self.reset_settings.push(name);
            return;
        }
        // A setting that is set after its reset keeps the new value.
        self.reset_settings.retain(|reset| *reset != name);
        self.set_settings.push(name);
    }
}

/// Analyzes a text of statements that are separated by semicolons.
#[must_use]
pub fn analyze(sql: &str) -> StatementEffects {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return StatementEffects::unknown();
    };
    let significant: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    let mut effects = StatementEffects::default();
    for statement in significant.split(|token| matches!(token, Token::SemiColon)) {
        if !statement.is_empty() {
            effects.add_statement(&SqlStatement::new(statement));
        }
    }
    if effects.steps.len() > 1 {
        effects.deallocated_name = None;
    }
    effects.is_standalone = is_standalone(sql, &significant, &effects.steps);
    effects
}

/// Analyzes a text as it came on the wire.
pub(crate) fn analyze_bytes(sql: &[u8]) -> StatementEffects {
    analyze(&String::from_utf8_lossy(sql))
}

/// Whether a text only begins or only ends a transaction, in a form that a server is known to accept.
fn is_standalone(sql: &str, significant: &[&Token], steps: &[TransactionStep]) -> bool {
    let [step] = steps else {
        return false;
    };
    let is_begin = matches!(step, TransactionStep::Begin(_));
    let is_one_token = significant
        .iter()
        .filter(|token| !matches!(token, Token::SemiColon))
        .count()
        == 1;
    let first = significant
        .first()
        .map(|token| token.to_string().to_ascii_uppercase());
    match first.as_deref() {
        // PREPARE TRANSACTION and COMMIT PREPARED are no plain ends, nor is COMMIT AND CHAIN.
        Some("COMMIT" | "END" | "ROLLBACK" | "ABORT") => step.is_end() && is_one_token,
        Some("BEGIN") if is_begin && is_one_token => true,
        _ => is_begin && is_one_valid_statement(sql),
    }
}

fn is_one_valid_statement(sql: &str) -> bool {
    Parser::parse_sql(&PostgreSqlDialect {}, sql).is_ok_and(|statements| statements.len() == 1)
}

/// The name that a text deallocates, if it is DEALLOCATE of one name and nothing else.
///
/// The first word of most texts shows that they are not, so that they need no analysis.
pub(crate) fn deallocated_name(sql: &[u8]) -> Option<Bytes> {
    const KEYWORD: &[u8] = b"DEALLOCATE";
    let first_word = sql.trim_ascii_start().get(..KEYWORD.len())?;
    if !first_word.eq_ignore_ascii_case(KEYWORD) {
        return None;
    }
    analyze_bytes(sql).deallocated_name.map(Bytes::from)
}

#[cfg(test)]
mod tests;

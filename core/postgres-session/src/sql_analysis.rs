//! Determines the effects of a client's SQL on the transaction and on the session's state.

use bytes::Bytes;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use crate::sql_statement::{SettingTarget, SqlStatement};
use crate::sticky::StickyReason;

/// Access mode of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessMode {
    /// `READ ONLY`.
    ReadOnly,
    /// Any transaction that is not explicitly `READ ONLY`.
    ReadWrite,
}

/// How a transaction block ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionEnd {
    /// COMMIT or END.
    Commit,
    /// ROLLBACK or ABORT.
    Rollback,
}

/// Effect of one statement on its transaction block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStep {
    /// Begins a transaction block.
    Begin(AccessMode),
    /// Commits the transaction block, or prepares it for two-phase commit (`PREPARE TRANSACTION`).
    Commit,
    /// Rolls the transaction block back.
    Rollback,
    /// Commits the transaction block and begins a new one with the same modes (`AND CHAIN`).
    CommitAndChain,
    /// Rolls the transaction block back and begins a new one with the same modes (`AND CHAIN`).
    RollbackAndChain,
    /// Neither begins nor ends a transaction block.
    Other,
}

impl TransactionStep {
    /// Whether the statement ends the transaction block and begins no other one.
    #[must_use]
    pub fn is_plain_end(self) -> bool {
        matches!(self, Self::Commit | Self::Rollback)
    }

    /// Whether the statement ends the transaction block and begins another one.
    #[must_use]
    pub fn is_chained_end(self) -> bool {
        matches!(self, Self::CommitAndChain | Self::RollbackAndChain)
    }

    /// Whether the statement commits the transaction block.
    #[must_use]
    pub fn is_commit(self) -> bool {
        matches!(self, Self::Commit | Self::CommitAndChain)
    }

    fn of_statement(keywords: &[&str]) -> Self {
        match keywords {
            ["BEGIN", ..] | ["START", "TRANSACTION", ..] => Self::Begin(access_mode(keywords)),
            ["PREPARE", "TRANSACTION", ..] => Self::Commit,
            ["COMMIT" | "END", options @ ..] => match BlockEnd::read(options) {
                BlockEnd::Plain => Self::Commit,
                BlockEnd::Chained => Self::CommitAndChain,
                BlockEnd::None => Self::Other,
            },
            ["ROLLBACK" | "ABORT", options @ ..] => match BlockEnd::read(options) {
                BlockEnd::Plain => Self::Rollback,
                BlockEnd::Chained => Self::RollbackAndChain,
                BlockEnd::None => Self::Other,
            },
            _ => Self::Other,
        }
    }
}

/// What the words after COMMIT or ROLLBACK make of the statement.
enum BlockEnd {
    /// The block ends.
    Plain,
    /// The block ends, and another one begins.
    Chained,
    /// The block goes on: the statement refers to a savepoint or to a prepared transaction.
    None,
}

impl BlockEnd {
    fn read(options: &[&str]) -> Self {
        let (["WORK" | "TRANSACTION", options @ ..] | options) = options;
        match options {
            ["TO", ..] | ["PREPARED", ..] => Self::None,
            ["AND", "CHAIN", ..] => Self::Chained,
            _ => Self::Plain,
        }
    }
}

/// Whether a server accepts the statement in a failed transaction block.
fn is_accepted_in_failed_block(keywords: &[&str]) -> bool {
    match keywords {
        ["COMMIT" | "ROLLBACK", "PREPARED", ..] => false,
        ["COMMIT" | "END" | "ROLLBACK" | "ABORT", ..] | ["PREPARE", "TRANSACTION", ..] => true,
        _ => false,
    }
}

/// Whether the statement may change the modes of the open transaction block: its isolation level, whether it is read
/// only or deferrable. A BEGIN in a block sets the modes that it names.
fn may_change_transaction_modes(statement: &SqlStatement<'_>, keywords: &[&str]) -> bool {
    const SETTINGS: [&str; 4] = [
        "TRANSACTION",
        "TRANSACTION_ISOLATION",
        "TRANSACTION_READ_ONLY",
        "TRANSACTION_DEFERRABLE",
    ];
    let sets_modes = matches!(keywords, ["SET" | "RESET", rest @ ..]
        if rest.iter().any(|word| SETTINGS.contains(word)));
    let begins = matches!(keywords, ["BEGIN", ..] | ["START", "TRANSACTION", ..]);
    sets_modes || begins || statement.calls("SET_CONFIG")
}

fn access_mode(keywords: &[&str]) -> AccessMode {
    if keywords.windows(2).any(|pair| pair == ["READ", "ONLY"]) {
        AccessMode::ReadOnly
    } else {
        AccessMode::ReadWrite
    }
}

/// Effects of an SQL text with any number of statements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StatementEffects {
    /// Effect of each statement on the transaction block, in order.
    pub steps: Vec<TransactionStep>,
    /// The first reason why the text makes its session sticky; `None` if the session does not become sticky.
    pub sticky_reason: Option<StickyReason>,
    /// The last statement is DISCARD ALL, which removes the session's state from the server.
    pub discards_all: bool,
    /// All statements prepared on the server connection are deallocated.
    pub deallocates_all: bool,
    /// Name in a text that consists of a single DEALLOCATE, which some drivers use to close prepared statements; `None`
    /// for any other text.
    pub deallocated_name: Option<String>,
    /// Lower-case names of followed settings that are reset.
    pub reset_settings: Vec<String>,
    /// Lower-case names of followed settings that are set.
    pub set_settings: Vec<String>,
    /// RESET ALL or DISCARD ALL resets all settings to their initial values.
    pub resets_all_settings: bool,
    /// The text only begins or only ends a transaction, in a form that a server is known to accept.
    pub is_standalone: bool,
    /// The text is empty or one statement, and a server accepts it in a failed transaction block.
    pub is_accepted_in_failed_block: bool,
    /// The modes of an open transaction block may be other ones after the text.
    pub may_change_transaction_modes: bool,
}

impl StatementEffects {
    /// Effects of a statement that cannot be analyzed; the session becomes sticky.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            steps: vec![TransactionStep::Other],
            sticky_reason: Some(StickyReason::Unknown),
            ..Self::default()
        }
    }

    /// Access mode of the transaction if the text only begins a transaction; `None` otherwise.
    #[must_use]
    pub fn transaction_begin(&self) -> Option<AccessMode> {
        match self.steps[..] {
            [TransactionStep::Begin(access_mode)] if self.is_standalone => Some(access_mode),
            _ => None,
        }
    }

    /// Whether a statement commits the transaction block.
    #[must_use]
    pub fn commits(&self) -> bool {
        self.steps.iter().any(|step| step.is_commit())
    }

    /// Whether the block that is open after the text was begun by a chained end. `is_block_open`: a block is open before
    /// the text.
    #[must_use]
    pub fn leaves_chained_block(&self, is_block_open: bool) -> bool {
        let (mut is_open, mut is_chained) = (is_block_open, false);
        for step in &self.steps {
            match step {
                TransactionStep::Begin(_) => is_open = true,
                TransactionStep::Commit | TransactionStep::Rollback => is_open = false,
                TransactionStep::CommitAndChain | TransactionStep::RollbackAndChain => {
                    is_chained |= is_open;
                }
                TransactionStep::Other => {}
            }
            is_chained &= is_open;
        }
        is_chained
    }

    /// How the transaction ends if the text only ends a transaction; `None` otherwise.
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
        self.is_accepted_in_failed_block =
            self.steps.len() == 1 && is_accepted_in_failed_block(&keywords);
        self.may_change_transaction_modes |= may_change_transaction_modes(statement, &keywords);
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

/// Determines the effects of an SQL text whose statements are separated by semicolons.
#[must_use]
pub fn analyze(sql: &str) -> StatementEffects {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return StatementEffects::unknown();
    };
    let significant: Vec<&Token> = tokens
        .iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    let mut effects = StatementEffects {
        is_accepted_in_failed_block: true,
        ..StatementEffects::default()
    };
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

/// Like [`analyze`], for the bytes of a message; invalid UTF-8 is replaced.
pub(crate) fn analyze_bytes(sql: &[u8]) -> StatementEffects {
    analyze(&String::from_utf8_lossy(sql))
}

/// Computes [`StatementEffects::is_standalone`].
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
        // A server accepts other forms only in a block, or not at all.
        Some("COMMIT" | "END" | "ROLLBACK" | "ABORT") => step.is_plain_end() && is_one_token,
        Some("BEGIN") if is_begin && is_one_token => true,
        _ => is_begin && is_one_valid_statement(sql),
    }
}

fn is_one_valid_statement(sql: &str) -> bool {
    Parser::parse_sql(&PostgreSqlDialect {}, sql).is_ok_and(|statements| statements.len() == 1)
}

/// Returns the name in a text that consists of a single DEALLOCATE; `None` for any other text.
///
/// Texts that do not start with DEALLOCATE are not analyzed.
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

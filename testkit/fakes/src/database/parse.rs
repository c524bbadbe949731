//! Parses SQL text into statements, and rewrites the commands that sqlparser does not accept.

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::error::{SqlError, SqlState};

/// Commands that [`parse_statements`] recognises only if they are the whole text. A text that contains one of them
/// among other statements is split first.
const SPECIAL_COMMANDS: [&str; 3] = ["RESET ", "CLOSE ALL", "UNLISTEN *"];

/// Parses a text that holds at most one statement; an error for several statements.
pub(super) fn parse_single_statement(sql: &str) -> Result<Option<Statement>, SqlError> {
    let mut statements = parse_statements(sql)?;
    if statements.len() > 1 {
        return Err(SqlError::new(
            SqlState::SYNTAX_ERROR,
            "cannot insert multiple commands into a prepared statement",
        ));
    }
    Ok(statements.pop())
}

/// Parses all statements of a text.
pub(super) fn parse_statements(sql: &str) -> Result<Vec<Statement>, SqlError> {
    let command = sql.trim().trim_end_matches(';').trim();
    let upper = command.to_ascii_uppercase();
    if let Some(name) = upper.strip_prefix("RESET ") {
        // sqlparser does not parse RESET.
        return parse(&reset_as_set(command, name));
    }
    if SPECIAL_COMMANDS
        .iter()
        .any(|special| upper.contains(special))
    {
        let statements = split_statements(sql);
        if statements.len() > 1 {
            let parsed = statements
                .iter()
                .map(|statement| parse_statements(statement));
            let parsed = parsed.collect::<Result<Vec<_>, _>>()?;
            return Ok(parsed.into_iter().flatten().collect());
        }
    }
    match upper.as_str() {
        "CLOSE ALL" | "UNLISTEN *" | "DISCARD ALL" => parse(&upper),
        _ => parse(sql),
    }
}

/// Rewrites a RESET command as the equivalent SET command. `upper_name` is the parameter's name in upper case.
fn reset_as_set(command: &str, upper_name: &str) -> String {
    if upper_name.trim() == "ALL" {
        "SET all TO DEFAULT".to_owned()
    } else {
        format!("SET {} TO DEFAULT", &command["RESET ".len()..])
    }
}

/// Splits a text into its statements at the semicolons.
fn split_statements(sql: &str) -> Vec<String> {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return vec![sql.to_owned()];
    };
    tokens
        .split(|token| *token == Token::SemiColon)
        .map(|statement| {
            statement
                .iter()
                .map(ToString::to_string)
                .collect::<String>()
        })
        .filter(|statement| !statement.trim().is_empty())
        .collect()
}

fn parse(sql: &str) -> Result<Vec<Statement>, SqlError> {
    let command = sql.trim_start().get(..4);
    let is_copy = command.is_some_and(|command| command.eq_ignore_ascii_case("copy"));
    // sqlparser requires a semicolon after COPY, because COPY data may follow.
    let text = if is_copy && !sql.contains(';') {
        format!("{sql};")
    } else {
        sql.to_owned()
    };
    Parser::parse_sql(&PostgreSqlDialect {}, &text)
        .map_err(|error| SqlError::new(SqlState::SYNTAX_ERROR, error.to_string()))
}

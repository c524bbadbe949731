//! Parses SQL text into statements.

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::error::{SqlError, SqlState};

/// Commands that the parser takes only in texts of their own.
const SPECIAL_COMMANDS: [&str; 3] = ["RESET ", "CLOSE ALL", "UNLISTEN *"];

/// The statement of a text that holds one at most; an error for several.
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

/// All statements of a text.
pub(super) fn parse_statements(sql: &str) -> Result<Vec<Statement>, SqlError> {
    let command = sql.trim().trim_end_matches(';').trim();
    let upper = command.to_ascii_uppercase();
    if let Some(name) = upper.strip_prefix("RESET ") {
        // The parser has no RESET.
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

/// A RESET command as the SET that does the same. `upper_name` is the setting's name in upper case.
fn reset_as_set(command: &str, upper_name: &str) -> String {
    if upper_name.trim() == "ALL" {
        "SET all TO DEFAULT".to_owned()
    } else {
        format!("SET {} TO DEFAULT", &command["RESET ".len()..])
    }
}

/// The texts of a text's statements.
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
    // The parser wants a semicolon after COPY, because data might follow it.
    let text = if is_copy && !sql.contains(';') {
        format!("{sql};")
    } else {
        sql.to_owned()
    };
    Parser::parse_sql(&PostgreSqlDialect {}, &text)
        .map_err(|error| SqlError::new(SqlState::SYNTAX_ERROR, error.to_string()))
}

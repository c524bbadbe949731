//! Texts as statements.

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};

use super::Refusal;

/// The last statement of a text, if it has any.
pub(super) fn one(sql: &str) -> Result<Option<Statement>, Refusal> {
    let mut all = all(sql)?;
    if all.len() > 1 {
        return Err(Refusal(
            "42601",
            "cannot insert multiple commands into a prepared statement".to_owned(),
        ));
    }
    Ok(all.pop())
}

/// All statements of a text.
pub(super) fn all(sql: &str) -> Result<Vec<Statement>, Refusal> {
    // The parser knows no RESET, no CLOSE ALL and no UNLISTEN *: they are read here, as settings and nothing.
    let plain = sql.trim().trim_end_matches(';').trim();
    let upper = plain.to_ascii_uppercase();
    if let Some(name) = upper.strip_prefix("RESET ") {
        let sql = if name.trim() == "ALL" {
            "SET all TO DEFAULT".to_owned()
        } else {
            format!("SET {} TO DEFAULT", &plain[6..])
        };
        return parse(&sql);
    }
    if ["RESET ", "CLOSE ALL", "UNLISTEN *"]
        .iter()
        .any(|word| upper.contains(word))
    {
        let parts = split(sql);
        if parts.len() > 1 {
            let parts = parts.iter().map(|part| all(part));
            return Ok(parts
                .collect::<Result<Vec<_>, _>>()?
                .into_iter()
                .flatten()
                .collect());
        }
    }
    match upper.as_str() {
        "CLOSE ALL" => parse("CLOSE ALL"),
        "UNLISTEN *" => parse("UNLISTEN *"),
        "DISCARD ALL" => parse("DISCARD ALL"),
        _ => parse(sql),
    }
}

/// A text's statements, each with its own text.
fn split(sql: &str) -> Vec<String> {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return vec![sql.to_owned()];
    };
    let parts = tokens.split(|token| *token == Token::SemiColon);
    let parts = parts.map(|part| part.iter().map(ToString::to_string).collect::<String>());
    parts.filter(|part| !part.trim().is_empty()).collect()
}

fn parse(sql: &str) -> Result<Vec<Statement>, Refusal> {
    // The parser wants COPY to end so: data could stand behind it.
    let copies = sql
        .trim_start()
        .get(..4)
        .is_some_and(|word| word.eq_ignore_ascii_case("copy"));
    let ended = if copies && !sql.contains(';') {
        format!("{sql};")
    } else {
        sql.to_owned()
    };
    Parser::parse_sql(&PostgreSqlDialect {}, &ended)
        .map_err(|error| Refusal("42601", error.to_string()))
}

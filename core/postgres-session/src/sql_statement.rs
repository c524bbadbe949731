//! Tokens and keywords of one SQL statement, without a full parse.

use sqlparser::tokenizer::Token;

use crate::settings::is_followed;

/// A word of a statement.
struct Word {
    /// The word in upper case, without quotes.
    text: String,
    /// An opening parenthesis follows, so the word is the name of a called function.
    is_called: bool,
}

/// One statement of a text, without whitespace, comments and semicolons.
pub(crate) struct SqlStatement<'a> {
    tokens: &'a [&'a Token],
    words: Vec<Word>,
}

impl<'a> SqlStatement<'a> {
    /// Creates a statement from its tokens, without whitespace, comments and semicolons.
    pub(crate) fn new(tokens: &'a [&'a Token]) -> Self {
        let words = tokens
            .iter()
            .enumerate()
            .filter_map(|(index, token)| match token {
                Token::Word(word) => Some(Word {
                    text: word.value.to_ascii_uppercase(),
                    is_called: matches!(tokens.get(index + 1), Some(Token::LParen)),
                }),
                _ => None,
            })
            .collect();
        Self { tokens, words }
    }

    /// All words in upper case, including identifiers.
    pub(crate) fn keywords(&self) -> Vec<&str> {
        self.words.iter().map(|word| word.text.as_str()).collect()
    }

    /// Whether the statement calls a function with this upper-case name.
    pub(crate) fn calls(&self, function: &str) -> bool {
        self.words
            .iter()
            .any(|word| word.is_called && word.text == function)
    }

    /// The identifier at the end of the statement, in lower case unless quoted.
    pub(crate) fn last_identifier(&self) -> Option<String> {
        match self.tokens.last() {
            Some(Token::Word(word)) if word.quote_style.is_none() => {
                Some(word.value.to_lowercase())
            }
            Some(Token::Word(word)) => Some(word.value.clone()),
            _ => None,
        }
    }
}

/// The setting that a SET or RESET changes.
pub(crate) enum SettingTarget {
    /// A setting that follows the client from server to server; the name is in lower case.
    Followed(String),
    /// Any other setting.
    Other,
}

impl SettingTarget {
    /// Reads the target from a statement's keywords; `None` if the statement is neither SET nor RESET.
    pub(crate) fn read(keywords: &[&str]) -> Option<Self> {
        let (["SET", "SESSION", target @ ..] | ["SET", target @ ..] | ["RESET", target @ ..]) =
            keywords
        else {
            return None;
        };
        let name = match target {
            ["TIME", "ZONE", ..] => "timezone".to_owned(),
            ["NAMES", ..] => "client_encoding".to_owned(),
            // SET SESSION AUTHORIZATION, SET SESSION CHARACTERISTICS and SET ROLE change settings with other names.
            ["AUTHORIZATION" | "CHARACTERISTICS" | "ROLE", ..] | [] => return Some(Self::Other),
            [name, ..] => name.to_ascii_lowercase(),
        };
        if is_followed(&name) {
            Some(Self::Followed(name))
        } else {
            Some(Self::Other)
        }
    }
}

//! The text format of one-dimensional arrays.

use super::{Type, Value};
use crate::database::error::SqlError;

/// An element of an array in text format, without its quotes and escapes.
#[derive(Default)]
struct ElementText {
    text: String,
    is_quoted: bool,
}

impl ElementText {
    fn read(&self, element_type: Type) -> Result<Value, SqlError> {
        if !self.is_quoted && self.text.eq_ignore_ascii_case("null") {
            Ok(Value::Null)
        } else {
            Value::read_text(element_type, &self.text)
        }
    }
}

/// Parses an array from its text format; `None` if the text is not an array literal.
pub(super) fn read_array(element_type: Type, text: &str) -> Option<Result<Value, SqlError>> {
    let elements = split_elements(text)?;
    let values = elements.iter().map(|element| element.read(element_type));
    Some(values.collect::<Result<_, _>>().map(Value::Array))
}

fn split_elements(text: &str) -> Option<Vec<ElementText>> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    if inner.is_empty() {
        return Some(Vec::new());
    }
    let mut elements = Vec::new();
    let mut element = ElementText::default();
    let mut in_quotes = false;
    let mut characters = inner.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => {
                in_quotes = !in_quotes;
                element.is_quoted = true;
            }
            '\\' => element.text.push(characters.next()?),
            ',' if !in_quotes => elements.push(std::mem::take(&mut element)),
            other => element.text.push(other),
        }
    }
    elements.push(element);
    Some(elements)
}

/// Quotes the text format of an element if the array syntax requires quotes.
pub(super) fn quote_element(text: &str) -> String {
    let is_plain = !text.is_empty()
        && !text.eq_ignore_ascii_case("null")
        && !text.contains(['{', '}', ',', '"', '\\', ' ', '\t', '\n']);
    if is_plain {
        return text.to_owned();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

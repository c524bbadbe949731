//! The text form of arrays.

use super::{Refusal, Type, Value};

pub(super) fn quoted(text: &str) -> String {
    let plain = !text.is_empty()
        && !text.eq_ignore_ascii_case("null")
        && !text.contains(['{', '}', ',', '"', '\\', ' ', '\t', '\n']);
    if plain {
        return text.to_owned();
    }
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

/// An array of one dimension in its text form.
pub(super) fn read_array(element: Type, text: &str) -> Option<Result<Value, Refusal>> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    let (mut words, mut word, mut quotes, mut was_quoted) =
        (Vec::new(), String::new(), false, false);
    let mut signs = inner.chars();
    while let Some(sign) = signs.next() {
        match sign {
            '"' => (quotes, was_quoted) = (!quotes, true),
            '\\' => word.push(signs.next()?),
            ',' if !quotes => {
                words.push((std::mem::take(&mut word), std::mem::take(&mut was_quoted)))
            }
            sign => word.push(sign),
        }
    }
    if !inner.is_empty() {
        words.push((word, was_quoted));
    }
    let read = words.into_iter().map(|(word, quoted)| {
        if !quoted && word.eq_ignore_ascii_case("null") {
            Ok(Value::Null)
        } else {
            Value::read_text(element, &word)
        }
    });
    Some(read.collect::<Result<Vec<_>, _>>().map(Value::Array))
}

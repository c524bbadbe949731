//! ServerStatements statements that follow a client from one server to another. A client's names are its own; on server
//! connections a statement stands under a name of the node's, by its text, and is prepared there when it is first
//! needed.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use bytes::{BufMut, Bytes, BytesMut};

use crate::frame::Frame;
use crate::sql_analysis::{self, StatementEffects};

/// ClientStatements statements that a client may keep; the next one is an error of the client's.
pub const MAX_NAMED_STATEMENTS: usize = 256;
/// Statements that stay prepared on a server connection; the one used longest ago makes room.
pub const MAX_SERVER_STATEMENTS: usize = 256;

/// A statement's text and parameter types, as `Parse` gives them behind the name. Equal ones are the same
/// statement, whoever prepares it.
pub type StatementText = Bytes;

/// A client's names.
#[derive(Debug, Default)]
pub struct ClientStatements {
    texts: BTreeMap<Bytes, StatementText>,
    /// Of the texts, so that each is read once.
    readings: BTreeMap<Bytes, Rc<StatementEffects>>,
}

/// A client has more names than it may keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more than {MAX_NAMED_STATEMENTS} prepared statements")]
pub struct TooManyStatements;

/// A body that names a statement where its message has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a malformed message")]
pub struct MalformedMessage;

impl ClientStatements {
    /// A `Parse` of a named statement has been sent on.
    pub fn insert(&mut self, name: Bytes, text: StatementText) -> Result<(), TooManyStatements> {
        if self.texts.len() >= MAX_NAMED_STATEMENTS && !self.texts.contains_key(&name) {
            return Err(TooManyStatements);
        }
        self.readings.remove(&name);
        self.texts.insert(name, text);
        Ok(())
    }

    /// What a named statement's SQL says.
    pub fn reading(&mut self, name: &Bytes) -> Option<Rc<StatementEffects>> {
        let text = self.texts.get(name)?;
        let read = || Rc::new(sql_analysis::read(&String::from_utf8_lossy(sql(text))));
        Some(
            self.readings
                .entry(name.clone())
                .or_insert_with(read)
                .clone(),
        )
    }

    /// Whether there is room for one more name.
    pub fn has_room(&self, name: &[u8]) -> bool {
        self.texts.len() < MAX_NAMED_STATEMENTS || self.texts.contains_key(name)
    }

    /// What stands under a name.
    pub fn get(&self, name: &[u8]) -> Option<&StatementText> {
        self.texts.get(name)
    }

    /// Forgets a name.
    pub fn remove(&mut self, name: &[u8]) {
        self.texts.remove(name);
        self.readings.remove(name);
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.texts.clear();
        self.readings.clear();
    }
}

/// What is prepared on one server connection.
#[derive(Debug, Default)]
pub struct ServerStatements {
    /// By text: its number in the node's names, and when it was used last, in uses.
    known: HashMap<StatementText, (u64, u64)>,
    next: u64,
    uses: u64,
}

/// What a server connection needs before a statement can be used there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Use {
    /// The statement's name there.
    pub name: Bytes,
    /// `Close` of one that has to make room, and `Parse`; their answers are not the client's.
    pub first: Vec<Frame>,
}

fn name(number: u64) -> Bytes {
    Bytes::from(format!("bp{number}"))
}

impl ServerStatements {
    /// The name of a statement here, prepared if it is not yet.
    pub fn take(&mut self, text: &StatementText) -> Use {
        self.uses += 1;
        if let Some((number, used)) = self.known.get_mut(text) {
            *used = self.uses;
            return Use {
                name: name(*number),
                first: Vec::new(),
            };
        }
        let mut first = Vec::new();
        if self.known.len() >= MAX_SERVER_STATEMENTS {
            // Rare beside uses, so it may take a look at all of them.
            let oldest = self
                .known
                .iter()
                .min_by_key(|(_, (_, used))| *used)
                .map(|(text, _)| text.clone());
            let number = oldest.and_then(|oldest| self.known.remove(&oldest));
            first.extend(number.map(|(number, _)| close(&name(number))));
        }
        let number = self.next;
        self.next += 1;
        self.known.insert(text.clone(), (number, self.uses));
        let name = name(number);
        first.push(parse(&name, text));
        Use { name, first }
    }

    /// Whether a statement stands here already.
    pub fn has(&self, text: &StatementText) -> bool {
        self.known.contains_key(text)
    }

    /// A statement is not prepared here after all, or no longer.
    pub fn forget(&mut self, text: &StatementText) {
        self.known.remove(text);
    }

    /// Nothing is prepared here any more.
    pub fn clear(&mut self) {
        self.known.clear();
    }
}

/// Whether a name looks like the node's own on server connections, where it might hit another client's statement.
pub fn is_own(name: &[u8]) -> bool {
    name.strip_prefix(b"bp")
        .is_some_and(|rest| !rest.is_empty() && rest.iter().all(u8::is_ascii_digit))
}

/// `Parse` under this name.
pub fn parse(name: &[u8], text: &StatementText) -> Frame {
    let mut body = BytesMut::with_capacity(name.len() + 1 + text.len());
    body.put_slice(name);
    body.put_u8(0);
    body.put_slice(text);
    Frame::new(b'P', body.freeze())
}

/// `Close` of a statement.
pub fn close(name: &[u8]) -> Frame {
    let mut body = BytesMut::with_capacity(name.len() + 2);
    body.put_u8(b'S');
    body.put_slice(name);
    body.put_u8(0);
    Frame::new(b'C', body.freeze())
}

/// The name and the text of a `Parse`.
pub fn read_parse(frame: &Frame) -> Result<(Bytes, StatementText), MalformedMessage> {
    let end = frame.first_string().ok_or(MalformedMessage)?.len();
    let text = frame.body.slice(end + 1..);
    // The text of the statement ends with a zero; a count of types follows.
    let sql = text
        .iter()
        .position(|byte| *byte == 0)
        .ok_or(MalformedMessage)?;
    if text.len() < sql + 3 {
        return Err(MalformedMessage);
    }
    Ok((frame.body.slice(..end), text))
}

/// The statement's SQL in a `Parse`'s text.
pub fn sql(text: &StatementText) -> &[u8] {
    text.split(|byte| *byte == 0).next().unwrap_or_default()
}

/// The statement that a `Bind` names.
pub fn read_bind(frame: &Frame) -> Result<Bytes, MalformedMessage> {
    let portal = frame.first_string().ok_or(MalformedMessage)?.len() + 1;
    let rest = frame.body.slice(portal..);
    let end = rest
        .iter()
        .position(|byte| *byte == 0)
        .ok_or(MalformedMessage)?;
    Ok(rest.slice(..end))
}

/// The same `Bind` of a statement of another name.
pub fn rename_bind(frame: &Frame, name: &[u8]) -> Result<Frame, MalformedMessage> {
    let portal = frame.first_string().ok_or(MalformedMessage)?.len() + 1;
    let old = read_bind(frame)?.len();
    let mut body = BytesMut::with_capacity(frame.body.len() + name.len());
    body.put_slice(&frame.body[..portal]);
    body.put_slice(name);
    body.put_slice(&frame.body[portal + old..]);
    Ok(Frame::new(b'B', body.freeze()))
}

/// What a `Describe` or `Close` is about: `S` for a statement or `P` for a portal, and its name.
pub fn read_target(frame: &Frame) -> Result<(u8, Bytes), MalformedMessage> {
    let (kind, rest) = frame.body.split_first().ok_or(MalformedMessage)?;
    let end = rest
        .iter()
        .position(|byte| *byte == 0)
        .filter(|_| matches!(kind, b'S' | b'P'))
        .ok_or(MalformedMessage)?;
    Ok((*kind, frame.body.slice(1..1 + end)))
}

/// `Describe` of a statement of this name.
pub fn describe(name: &[u8]) -> Frame {
    Frame {
        tag: b'D',
        ..close(name)
    }
}

#[cfg(test)]
mod tests;

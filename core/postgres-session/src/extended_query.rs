//! Reads and writes message bodies of the extended query protocol: `Parse`, `Bind`, `Describe` and `Close`.

use bytes::{BufMut, Bytes, BytesMut};

use crate::frame::Frame;
use crate::message_tags::frontend;
use crate::sql_analysis::{self, StatementEffects};

/// Minimum number of bytes after the SQL in a `Parse`: the terminating zero and the number of parameter types.
const SQL_TRAILER_LENGTH: usize = 3;

/// A message body that violates the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed Parse, Bind, Describe or Close message")]
pub struct MalformedMessage;

/// SQL and parameter types of a statement, in the encoding of `Parse` after the name. Statements of different clients
/// with equal texts share one prepared statement per server connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StatementText(Bytes);

impl StatementText {
    /// The SQL, without the terminating zero.
    #[must_use]
    pub fn sql(&self) -> &[u8] {
        self.0.split(|byte| *byte == 0).next().unwrap_or_default()
    }

    /// Size of the SQL and the parameter types, in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is neither SQL nor a parameter type.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Copies the text into memory of its own. A text that is read from a message is a part of the buffer into which
    /// that message was received, and keeps all of that buffer.
    #[must_use]
    pub fn to_owned_text(&self) -> Self {
        Self(Bytes::copy_from_slice(&self.0))
    }

    /// Determines the effects of the SQL.
    #[must_use]
    pub fn analyze(&self) -> StatementEffects {
        sql_analysis::analyze_bytes(self.sql())
    }

    /// Replaces the SQL and keeps the parameter types.
    #[must_use]
    pub fn with_sql(&self, sql: &[u8]) -> Self {
        let trailer = &self.0[self.sql().len()..];
        Self(Bytes::from([sql, trailer].concat()))
    }
}

/// A `Parse` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseMessage {
    /// Name of the prepared statement; empty for the unnamed statement.
    pub name: Bytes,
    /// SQL and parameter types.
    pub text: StatementText,
}

impl ParseMessage {
    /// Reads the body of a `Parse`.
    ///
    /// # Errors
    /// [`MalformedMessage`] if a string is not terminated or the number of parameter types is missing.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let name_length = frame.first_string().ok_or(MalformedMessage)?.len();
        let text = frame.body.slice(name_length + 1..);
        let sql_length = text
            .iter()
            .position(|byte| *byte == 0)
            .ok_or(MalformedMessage)?;
        if text.len() < sql_length + SQL_TRAILER_LENGTH {
            return Err(MalformedMessage);
        }
        Ok(Self {
            name: frame.body.slice(..name_length),
            text: StatementText(text),
        })
    }

    /// Like [`Self::read`], for a statement that is kept after its message. Name and text are copied out of the buffer
    /// into which the message was received.
    ///
    /// # Errors
    /// [`MalformedMessage`] as for [`Self::read`].
    pub fn read_to_keep(frame: &Frame) -> Result<Self, MalformedMessage> {
        let Self { name, text } = Self::read(frame)?;
        Ok(Self {
            name: Bytes::copy_from_slice(&name),
            text: text.to_owned_text(),
        })
    }
}

/// Creates a `Parse`.
#[must_use]
pub fn parse(name: &[u8], text: &StatementText) -> Frame {
    let mut body = BytesMut::with_capacity(name.len() + 1 + text.0.len());
    body.put_slice(name);
    body.put_u8(0);
    body.put_slice(&text.0);
    Frame::new(frontend::PARSE, body.freeze())
}

/// Length of the portal's name in a `Bind`, including the terminating zero.
fn portal_length(bind: &Frame) -> Result<usize, MalformedMessage> {
    let portal = bind.first_string().ok_or(MalformedMessage)?;
    Ok(portal.len() + 1)
}

/// Returns the statement name in a `Bind`; empty for the unnamed statement.
///
/// # Errors
/// [`MalformedMessage`] if one of the two names is not terminated.
pub fn bind_statement(bind: &Frame) -> Result<Bytes, MalformedMessage> {
    let rest = bind.body.slice(portal_length(bind)?..);
    let length = rest
        .iter()
        .position(|byte| *byte == 0)
        .ok_or(MalformedMessage)?;
    Ok(rest.slice(..length))
}

/// Replaces the statement name in a `Bind`.
///
/// # Errors
/// [`MalformedMessage`] as for [`bind_statement`].
pub fn rename_bind(bind: &Frame, name: &[u8]) -> Result<Frame, MalformedMessage> {
    let portal_length = portal_length(bind)?;
    let old_length = bind_statement(bind)?.len();
    let mut body = BytesMut::with_capacity(bind.body.len() + name.len());
    body.put_slice(&bind.body[..portal_length]);
    body.put_slice(name);
    body.put_slice(&bind.body[portal_length + old_length..]);
    Ok(Frame::new(frontend::BIND, body.freeze()))
}

/// Kind of object that a `Describe` or `Close` refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

const STATEMENT_TARGET: u8 = b'S';
const PORTAL_TARGET: u8 = b'P';

/// The object that a `Describe` or `Close` refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Kind of the object.
    pub kind: TargetKind,
    /// Name of the object; empty for the unnamed statement or portal.
    pub name: Bytes,
}

impl Target {
    /// Reads the body of a `Describe` or `Close`.
    ///
    /// # Errors
    /// [`MalformedMessage`] if the kind is unknown or the name is not terminated.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let (tag, rest) = frame.body.split_first().ok_or(MalformedMessage)?;
        let kind = match *tag {
            STATEMENT_TARGET => TargetKind::Statement,
            PORTAL_TARGET => TargetKind::Portal,
            _ => return Err(MalformedMessage),
        };
        let length = rest
            .iter()
            .position(|byte| *byte == 0)
            .ok_or(MalformedMessage)?;
        Ok(Self {
            kind,
            name: frame.body.slice(1..=length),
        })
    }
}

/// Whether a `Describe` or `Close` targets a statement; only the first byte of the body is checked.
pub(crate) fn targets_statement(frame: &Frame) -> bool {
    frame.body.first() == Some(&STATEMENT_TARGET)
}

/// Creates a `Close` of a statement.
#[must_use]
pub fn close_statement(name: &[u8]) -> Frame {
    statement_target(frontend::CLOSE, name)
}

/// Creates a `Describe` of a statement.
#[must_use]
pub fn describe_statement(name: &[u8]) -> Frame {
    statement_target(frontend::DESCRIBE, name)
}

fn statement_target(tag: u8, name: &[u8]) -> Frame {
    let mut body = BytesMut::with_capacity(name.len() + 2);
    body.put_u8(STATEMENT_TARGET);
    body.put_slice(name);
    body.put_u8(0);
    Frame::new(tag, body.freeze())
}

#[cfg(test)]
mod tests;

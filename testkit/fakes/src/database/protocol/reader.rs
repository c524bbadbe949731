//! Decodes the fields of a message body.

use super::{ConnectionClosed, StartupParameters};

/// Reads fields from the start of a message body. A body that is too short closes the connection.
pub(super) struct MessageReader<'a> {
    /// The bytes that were not read yet.
    remaining: &'a [u8],
}

impl<'a> MessageReader<'a> {
    pub(super) fn new(body: &'a [u8]) -> Self {
        Self { remaining: body }
    }

    /// Reads a string terminated by a zero byte.
    pub(super) fn string(&mut self) -> Result<String, ConnectionClosed> {
        let end = self.remaining.iter().position(|byte| *byte == 0);
        let end = end.ok_or(ConnectionClosed)?;
        let text = String::from_utf8_lossy(&self.remaining[..end]).into_owned();
        self.remaining = &self.remaining[end + 1..];
        Ok(text)
    }

    pub(super) fn u8(&mut self) -> Result<u8, ConnectionClosed> {
        self.array().map(u8::from_be_bytes)
    }

    pub(super) fn u16(&mut self) -> Result<u16, ConnectionClosed> {
        self.array().map(u16::from_be_bytes)
    }

    pub(super) fn u32(&mut self) -> Result<u32, ConnectionClosed> {
        self.array().map(u32::from_be_bytes)
    }

    /// Reads an array of 16-bit integers, preceded by the number of elements.
    pub(super) fn u16_array(&mut self) -> Result<Vec<u16>, ConnectionClosed> {
        let count = self.u16()?;
        (0..count).map(|_| self.u16()).collect()
    }

    /// Reads bytes preceded by their length; `None` for a negative length, which encodes NULL.
    pub(super) fn nullable_bytes(&mut self) -> Result<Option<&'a [u8]>, ConnectionClosed> {
        let length = i32::from_be_bytes(self.array()?);
        let Ok(length) = usize::try_from(length) else {
            return Ok(None);
        };
        let (bytes, remaining) = self
            .remaining
            .split_at_checked(length)
            .ok_or(ConnectionClosed)?;
        self.remaining = remaining;
        Ok(Some(bytes))
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], ConnectionClosed> {
        let (bytes, remaining) = self.remaining.split_first_chunk().ok_or(ConnectionClosed)?;
        self.remaining = remaining;
        Ok(*bytes)
    }
}

/// Reads the parameters of a `StartupMessage`. `body` starts after the protocol version.
pub(crate) fn read_startup_parameters(body: &[u8]) -> StartupParameters {
    let mut body = MessageReader::new(body);
    let mut parameters = StartupParameters::new();
    while let (Ok(name), Ok(value)) = (body.string(), body.string()) {
        if name.is_empty() {
            break;
        }
        parameters.insert(name, value);
    }
    parameters
}

//! Messages on the wire: a type byte, a length of four bytes that includes itself, and a body ("Message Formats"). Data
//! rows and copied data are streamed in chunks as they come, so that no row has to fit into memory.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::message_tags::{backend, frontend};

/// Most bytes of a message that is not streamed, without its type byte; the text of a statement has to fit.
pub const MAX_FRAME_LENGTH: usize = 1024 * 1024;
/// Most bytes of a chunk of a streamed message.
pub const MAX_CHUNK_LENGTH: usize = 16 * 1024;
/// Bytes of the type and the length.
const HEADER_LENGTH: usize = 5;
/// Bytes of the length, which it includes.
const LENGTH_FIELD_LENGTH: usize = 4;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its type; see [`crate::message_tags`].
    pub tag: u8,
    /// Its body.
    pub body: Bytes,
}

impl Frame {
    /// A message of this type with this body.
    pub fn new(tag: u8, body: impl Into<Bytes>) -> Self {
        Self {
            tag,
            body: body.into(),
        }
    }

    /// Bytes on the wire, with the header.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        HEADER_LENGTH + self.body.len()
    }

    /// Appends the message to a buffer.
    pub fn write(&self, out: &mut BytesMut) {
        out.reserve(self.wire_len());
        out.put_u8(self.tag);
        // A body is no longer than MAX_FRAME_LENGTH, or written by this process, so the length always fits.
        let length = self.body.len() + LENGTH_FIELD_LENGTH;
        out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        out.put_slice(&self.body);
    }

    /// The zero-terminated string that the body begins with, without the zero; `None` if there is no zero.
    #[must_use]
    pub fn first_string(&self) -> Option<&[u8]> {
        let end = self.body.iter().position(|byte| *byte == 0)?;
        Some(&self.body[..end])
    }
}

/// What a decoder has found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeResult {
    /// A complete message.
    Frame(Frame),
    /// A part of a streamed message: its bytes on the wire, from the type on.
    Chunk {
        /// The message's type.
        tag: u8,
        /// The bytes.
        bytes: Bytes,
        /// Whether the message ends with them.
        last: bool,
    },
}

/// Why bytes are no messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length does not even include itself.
    #[error("message {:?} has length {length}", char::from(*tag))]
    Short {
        /// The message's type.
        tag: u8,
        /// The length that it claims.
        length: u32,
    },
    /// The message is longer than [`MAX_FRAME_LENGTH`].
    #[error("message {:?} has {length} bytes; {MAX_FRAME_LENGTH} are the most", char::from(*tag))]
    Long {
        /// The message's type.
        tag: u8,
        /// The length that it claims.
        length: u32,
    },
}

/// A streamed message of which the end has not come.
#[derive(Clone, Copy, Debug)]
struct PartialMessage {
    tag: u8,
    /// Bytes that are still to come.
    remaining: usize,
}

/// Splits a connection's bytes into messages. Buffers at most one message of [`MAX_FRAME_LENGTH`], and what was read
/// together with it.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: BytesMut,
    streaming: Option<PartialMessage>,
}

impl FrameDecoder {
    /// Adds bytes that were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Frees the buffer's memory if it is empty.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 0 {
            self.buffer = BytesMut::new();
        }
    }

    /// Bytes in the buffer.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// The next message or chunk from a server; `None` until more is read.
    ///
    /// # Errors
    /// [`FrameError`] if the length is impossible; the connection can't be read any further.
    pub fn next_from_server(&mut self) -> Result<Option<DecodeResult>, FrameError> {
        self.decode(|tag| matches!(tag, backend::DATA_ROW | backend::COPY_DATA))
    }

    /// The next message or chunk from a client; `None` until more is read.
    ///
    /// # Errors
    /// [`FrameError`] if the length is impossible; the connection can't be read any further.
    pub fn next_from_client(&mut self) -> Result<Option<DecodeResult>, FrameError> {
        self.decode(|tag| tag == frontend::COPY_DATA)
    }

    fn decode(
        &mut self,
        is_streamed: impl Fn(u8) -> bool,
    ) -> Result<Option<DecodeResult>, FrameError> {
        if let Some(message) = self.streaming {
            return Ok(self.next_chunk(message));
        }
        if self.buffer.len() < HEADER_LENGTH {
            return Ok(None);
        }
        let tag = self.buffer[0];
        let length = u32::from_be_bytes([
            self.buffer[1],
            self.buffer[2],
            self.buffer[3],
            self.buffer[4],
        ]);
        let body_and_length = length as usize;
        if body_and_length < LENGTH_FIELD_LENGTH {
            return Err(FrameError::Short { tag, length });
        }
        let wire_len = body_and_length + 1;
        if is_streamed(tag) {
            return Ok(self.next_chunk(PartialMessage {
                tag,
                remaining: wire_len,
            }));
        }
        if body_and_length > MAX_FRAME_LENGTH {
            return Err(FrameError::Long { tag, length });
        }
        if self.buffer.len() < wire_len {
            return Ok(None);
        }
        let mut body = self.buffer.split_to(wire_len).freeze();
        body.advance(HEADER_LENGTH);
        Ok(Some(DecodeResult::Frame(Frame { tag, body })))
    }

    /// What has come of a streamed message, at most [`MAX_CHUNK_LENGTH`] bytes.
    fn next_chunk(&mut self, message: PartialMessage) -> Option<DecodeResult> {
        let PartialMessage { tag, remaining } = message;
        let length = remaining.min(self.buffer.len()).min(MAX_CHUNK_LENGTH);
        if length == 0 {
            return None;
        }
        let bytes = self.buffer.split_to(length).freeze();
        let last = length == remaining;
        self.streaming = (!last).then_some(PartialMessage {
            tag,
            remaining: remaining - length,
        });
        Some(DecodeResult::Chunk { tag, bytes, last })
    }
}

#[cfg(test)]
mod tests;

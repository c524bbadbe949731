//! Message framing: a type byte, a four-byte length that includes the length field, and a body ("Message Formats").
//! `DataRow` and `CopyData` messages are streamed in chunks, so that a row does not have to fit into memory.

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::message_tags::{backend, frontend};

/// Maximum length in bytes of a message that is not streamed, without the type byte. Limits the text of a statement.
pub const MAX_FRAME_LENGTH: usize = 1024 * 1024;
/// Maximum length of a chunk of a streamed message, in bytes.
pub const MAX_CHUNK_LENGTH: usize = 16 * 1024;
/// Bytes of the type and the length field.
const HEADER_LENGTH: usize = 5;
/// Bytes of the length field. The length on the wire includes the field.
const LENGTH_FIELD_LENGTH: usize = 4;

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Message type byte; see [`crate::message_tags`].
    pub tag: u8,
    /// Message body, without type and length.
    pub body: Bytes,
}

impl Frame {
    /// Creates a message from its type byte and body.
    pub fn new(tag: u8, body: impl Into<Bytes>) -> Self {
        Self {
            tag,
            body: body.into(),
        }
    }

    /// Length on the wire in bytes, including type and length field.
    #[must_use]
    pub fn wire_len(&self) -> usize {
        HEADER_LENGTH + self.body.len()
    }

    /// Appends the encoded message to a buffer.
    pub fn write(&self, out: &mut BytesMut) {
        out.reserve(self.wire_len());
        out.put_u8(self.tag);
        // The length always fits: decoded bodies are limited to MAX_FRAME_LENGTH, and the proxy's own bodies are short.
        let length = self.body.len() + LENGTH_FIELD_LENGTH;
        out.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
        out.put_slice(&self.body);
    }

    /// Returns the zero-terminated string at the start of the body, without the zero; `None` if there is no zero.
    #[must_use]
    pub fn first_string(&self) -> Option<&[u8]> {
        let end = self.body.iter().position(|byte| *byte == 0)?;
        Some(&self.body[..end])
    }
}

/// A decoded message, or a chunk of a streamed message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeResult {
    /// A complete message.
    Frame(Frame),
    /// A chunk of a streamed message.
    Chunk {
        /// Message type byte.
        tag: u8,
        /// Encoded bytes; the first chunk starts with the type byte and the length.
        bytes: Bytes,
        /// Whether this is the last chunk of the message.
        last: bool,
    },
}

/// Invalid length of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is shorter than the length field.
    #[error("message {:?} has length {length}; the minimum is {LENGTH_FIELD_LENGTH}", char::from(*tag))]
    Short {
        /// Message type byte.
        tag: u8,
        /// Length on the wire, in bytes.
        length: u32,
    },
    /// The message is longer than the decoder's limit.
    #[error("message {:?} has {length} bytes; the limit is {limit}", char::from(*tag))]
    Long {
        /// Message type byte.
        tag: u8,
        /// Length on the wire, in bytes.
        length: u32,
        /// The decoder's limit, in bytes.
        limit: usize,
    },
}

/// A streamed message that is not completely decoded.
#[derive(Clone, Copy, Debug)]
struct PartialMessage {
    tag: u8,
    /// Bytes of the message that are not decoded yet.
    remaining: usize,
}

/// Splits the bytes of one direction of a connection into messages. Needs to buffer at most one message of the maximum
/// length, plus the bytes received together with that message.
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: BytesMut,
    streaming: Option<PartialMessage>,
    /// Maximum length in bytes of a message that is not streamed, without the type byte.
    max_length: usize,
}

impl Default for FrameDecoder {
    fn default() -> Self {
        Self::with_max_length(MAX_FRAME_LENGTH)
    }
}

impl FrameDecoder {
    /// Creates a decoder that rejects a message that is longer than `max_length` bytes, without the type byte, as soon
    /// as its length is received.
    #[must_use]
    pub fn with_max_length(max_length: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            streaming: None,
            max_length,
        }
    }

    /// Changes the maximum length of the messages that are not decoded yet.
    pub fn set_max_length(&mut self, max_length: usize) {
        self.max_length = max_length;
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Frees the buffer's memory if it is empty.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() && self.buffer.capacity() > 0 {
            self.buffer = BytesMut::new();
        }
    }

    /// Number of received bytes that are not decoded yet.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Decodes the next message or chunk from a server; `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`FrameError`] if the length is invalid; no further message of the connection can be decoded.
    pub fn next_from_server(&mut self) -> Result<Option<DecodeResult>, FrameError> {
        self.decode(|tag| matches!(tag, backend::DATA_ROW | backend::COPY_DATA))
    }

    /// Decodes the next message or chunk from a client; `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`FrameError`] if the length is invalid; no further message of the connection can be decoded.
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
        if body_and_length > self.max_length {
            return Err(FrameError::Long {
                tag,
                length,
                limit: self.max_length,
            });
        }
        if self.buffer.len() < wire_len {
            return Ok(None);
        }
        let mut body = self.buffer.split_to(wire_len).freeze();
        body.advance(HEADER_LENGTH);
        Ok(Some(DecodeResult::Frame(Frame { tag, body })))
    }

    /// Takes the buffered part of a streamed message, at most [`MAX_CHUNK_LENGTH`] bytes.
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

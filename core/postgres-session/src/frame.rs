//! Frames of the wire: a tag, a length of four bytes that counts itself, and a body ("Message Formats"). Rows and
//! copied data pass in pieces as they come, so that no row has to fit into memory.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// No frame that is looked at is longer: a statement's text has to fit.
pub const MAX_FRAME_LENGTH: usize = 1024 * 1024;
/// A piece of a frame that passes is no longer.
pub const MAX_CHUNK_LENGTH: usize = 16 * 1024;
const HEAD: usize = 5;

/// A whole frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its tag.
    pub tag: u8,
    /// Its body.
    pub body: Bytes,
}

impl Frame {
    /// A frame of these.
    pub fn new(tag: u8, body: impl Into<Bytes>) -> Self {
        Self {
            tag,
            body: body.into(),
        }
    }

    /// Its length on the wire, with the tag.
    pub fn wire_len(&self) -> usize {
        HEAD + self.body.len()
    }

    /// Adds it to what is to be written.
    pub fn write(&self, out: &mut BytesMut) {
        out.reserve(self.wire_len());
        out.put_u8(self.tag);
        // A body is no longer than MOST_FRAME, or made here.
        out.put_u32(u32::try_from(self.body.len() + 4).unwrap_or(u32::MAX));
        out.put_slice(&self.body);
    }

    /// The string that the body begins with, without its zero.
    pub fn first_string(&self) -> Option<&[u8]> {
        let end = self.body.iter().position(|byte| *byte == 0)?;
        Some(&self.body[..end])
    }
}

/// What has come of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeResult {
    /// A whole frame.
    Frame(Frame),
    /// A piece of a frame that passes unread: its bytes on the wire, from the tag on.
    Chunk {
        /// The frame's tag.
        tag: u8,
        /// The bytes.
        bytes: Bytes,
        /// Whether the frame ends with them.
        last: bool,
    },
}

/// Bytes that are no frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A length that does not even count itself.
    #[error("message {:?} has length {length}", char::from(*tag))]
    Short {
        /// Its tag.
        tag: u8,
        /// The length.
        length: u32,
    },
    /// Longer than anything that makes sense.
    #[error("message {:?} has {length} bytes; {MAX_FRAME_LENGTH} are the most", char::from(*tag))]
    Long {
        /// Its tag.
        tag: u8,
        /// The length.
        length: u32,
    },
}

/// Cuts a connection's bytes into frames. Holds one frame of [`MAX_FRAME_LENGTH`] at most, and what was read with it.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    bytes: BytesMut,
    /// What is left of a frame that passes in pieces.
    passing: Option<(u8, usize)>,
}

/// Data rows and copied data pass; all else is looked at.
fn passes(tag: u8) -> bool {
    matches!(tag, b'D' | b'd')
}

impl FrameDecoder {
    /// Adds what has come. `from_client`: there a `D` asks to describe, and only `d` passes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Gives back a large buffer that holds nothing.
    pub fn give_back(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > 0 {
            self.bytes = BytesMut::new();
        }
    }

    /// Bytes that are kept.
    pub fn held(&self) -> usize {
        self.bytes.len()
    }

    /// The next frame or piece from a server.
    pub fn next_from_server(&mut self) -> Result<Option<DecodeResult>, FrameError> {
        self.cut(passes)
    }

    /// The next frame or piece from a client; a client's `D` asks to describe.
    pub fn next_from_client(&mut self) -> Result<Option<DecodeResult>, FrameError> {
        self.cut(|tag| tag == b'd')
    }

    fn cut(&mut self, passes: impl Fn(u8) -> bool) -> Result<Option<DecodeResult>, FrameError> {
        if let Some((tag, left)) = self.passing {
            return Ok(self.pass(tag, left));
        }
        if self.bytes.len() < HEAD {
            return Ok(None);
        }
        let tag = self.bytes[0];
        let length =
            u32::from_be_bytes([self.bytes[1], self.bytes[2], self.bytes[3], self.bytes[4]]);
        if length < 4 {
            return Err(FrameError::Short { tag, length });
        }
        let whole = length as usize + 1;
        if passes(tag) {
            return Ok(self.pass(tag, whole));
        }
        if length as usize > MAX_FRAME_LENGTH {
            return Err(FrameError::Long { tag, length });
        }
        if self.bytes.len() < whole {
            return Ok(None);
        }
        let mut frame = self.bytes.split_to(whole).freeze();
        frame.advance(HEAD);
        Ok(Some(DecodeResult::Frame(Frame { tag, body: frame })))
    }

    fn pass(&mut self, tag: u8, left: usize) -> Option<DecodeResult> {
        let piece = left.min(self.bytes.len()).min(MAX_CHUNK_LENGTH);
        if piece == 0 {
            return None;
        }
        let bytes = self.bytes.split_to(piece).freeze();
        let last = piece == left;
        self.passing = (!last).then_some((tag, left - piece));
        Some(DecodeResult::Chunk { tag, bytes, last })
    }
}

#[cfg(test)]
mod tests;

//! A buffer for the line that is being received.

/// The maximum number of stored bytes of a line. Valid Content-Length and Transfer-Encoding fields are shorter.
pub(crate) const MAX_STORED_LINE_BYTES: usize = 256;

/// The number of bytes stored from the end of a line of any length: the protocol version and the line end.
const TAIL_BYTES: usize = 10;

/// The line that is being received. Only a prefix and the last few bytes are stored.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineBuffer {
    /// The first bytes of the line, including the line end if the line is short enough.
    stored: Vec<u8>,
    /// The last received bytes of the line, including the line end, right-aligned.
    tail: [u8; TAIL_BYTES],
    /// The number of bytes received, including those that are not stored.
    length: usize,
}

impl LineBuffer {
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let free = MAX_STORED_LINE_BYTES.saturating_sub(self.stored.len());
        self.stored
            .extend_from_slice(&bytes[..free.min(bytes.len())]);
        self.length += bytes.len();
        let last = &bytes[bytes.len().saturating_sub(TAIL_BYTES)..];
        self.tail.rotate_left(last.len());
        self.tail[TAIL_BYTES - last.len()..].copy_from_slice(last);
    }

    /// Whether the line, without the line end, ends with these bytes. At most eight bytes can be compared.
    pub(crate) fn ends_with(&self, bytes: &[u8]) -> bool {
        let tail_start = TAIL_BYTES - self.length.min(TAIL_BYTES);
        without_line_end(&self.tail[tail_start..]).ends_with(bytes)
    }

    /// The number of bytes received, including the line end.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Whether the line is longer than the stored prefix.
    pub(crate) fn is_truncated(&self) -> bool {
        self.length > MAX_STORED_LINE_BYTES
    }

    /// The stored prefix of the line without the line end.
    pub(crate) fn content(&self) -> &[u8] {
        without_line_end(&self.stored)
    }

    /// Whether the line consists of a line end only.
    pub(crate) fn is_blank(&self) -> bool {
        self.content().is_empty()
    }

    /// Prepares for the next line.
    pub(crate) fn clear(&mut self) {
        self.stored.clear();
        self.length = 0;
    }

    #[cfg(test)]
    pub(crate) fn stored_length(&self) -> usize {
        self.stored.len()
    }
}

/// Removes the line end, which is CRLF or a bare LF (RFC 9112, section 2.2).
fn without_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

//! The line that is being received, of which only a prefix is stored.

/// Bytes of a line that are stored: a Content-Length or Transfer-Encoding field takes a few dozen.
pub(crate) const MAX_STORED_LINE_LENGTH: usize = 256;

/// Bytes at a line's end that are stored whatever its length: a protocol version and a line end.
const TAIL_LENGTH: usize = 10;

/// A line in the course of reception.
#[derive(Clone, Debug, Default)]
pub(crate) struct LineBuffer {
    /// The line's first bytes, including its end.
    stored: Vec<u8>,
    /// Its last bytes, including its end.
    tail: [u8; TAIL_LENGTH],
    /// Bytes received, including those that are not stored.
    length: usize,
}

impl LineBuffer {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        let free = MAX_STORED_LINE_LENGTH.saturating_sub(self.stored.len());
        self.stored
            .extend_from_slice(&bytes[..free.min(bytes.len())]);
        self.length += bytes.len();
        let last = &bytes[bytes.len().saturating_sub(TAIL_LENGTH)..];
        self.tail.rotate_left(last.len());
        self.tail[TAIL_LENGTH - last.len()..].copy_from_slice(last);
    }

    /// Whether the line ends with these bytes, of which there may be eight, before its line end.
    pub(crate) fn ends_with(&self, bytes: &[u8]) -> bool {
        let tail_start = TAIL_LENGTH - self.length.min(TAIL_LENGTH);
        without_line_end(&self.tail[tail_start..]).ends_with(bytes)
    }

    /// Bytes received, including the line's end.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Whether bytes of the line are not stored.
    pub(crate) fn is_truncated(&self) -> bool {
        self.length > MAX_STORED_LINE_LENGTH
    }

    /// The stored part of the line without its end.
    pub(crate) fn content(&self) -> &[u8] {
        without_line_end(&self.stored)
    }

    /// Whether the line is empty but for its end.
    pub(crate) fn is_blank(&self) -> bool {
        self.content().is_empty()
    }

    /// Prepares for the next line.
    pub(crate) fn clear(&mut self) {
        self.stored.clear();
        self.length = 0;
    }

    /// Bytes stored.
    #[cfg(test)]
    pub(crate) fn stored_length(&self) -> usize {
        self.stored.len()
    }
}

/// A line without its end. A bare LF ends a line like CRLF (RFC 9112, section 2.2).
fn without_line_end(line: &[u8]) -> &[u8] {
    let line = line.strip_suffix(b"\n").unwrap_or(line);
    line.strip_suffix(b"\r").unwrap_or(line)
}

//! Follows a client's bytes on a connection and tells where its requests begin and end (RFC 9112), without taking any of
//! them. The HTTP library that parses them hides what matters here: it drops a length that stands beside a transfer
//! coding, and takes one that is repeated. What one side takes for a body is a request of its own to the other, so such
//! a request is refused before anything of it goes on.
//!
//! It does no I/O and keeps no more than the beginning of one line.

/// So much of a line is looked at: a length and a coding are a few dozen bytes.
const LINE_MOST: usize = 256;
/// Heads, and trailers, are no longer in all; the parser behind takes no longer ones either.
const HEAD_MOST: usize = 32 * 1024;
/// A chunk's size line with its extensions is no longer.
const CHUNK_LINE_MOST: usize = 4096;

/// Why a request's framing is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// More than one length, even the same.
    #[error("content-length stands there more than once")]
    MultipleLengths,
    /// Not a decimal number, or too large a one.
    #[error("content-length is not a number")]
    InvalidLength,
    /// A length beside a transfer coding.
    #[error("content-length stands beside transfer-encoding")]
    LengthAndCoding,
    /// A coding other than `chunked` alone, or with HTTP/1.0.
    #[error("transfer-encoding is not chunked")]
    UnsupportedCoding,
    /// A header goes on in the next line, or there is a space where none may be.
    #[error("a header is folded, or has a space before its colon")]
    FoldedHeader,
    /// Head or trailers have no end.
    #[error("the head is too long")]
    TooLong,
    /// A chunk's size is none, or its data does not end where it should.
    #[error("a chunk is malformed")]
    InvalidChunk,
}

/// What the bytes tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingEvent {
    /// A request has begun.
    Started,
    /// Its head is whole; nothing is followed on this connection any more after a fault.
    HeadComplete(Result<(), FramingError>),
    /// Its last byte has come.
    MessageComplete,
    /// Its body makes no sense; nothing is followed any more.
    BodyInvalid(FramingError),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Between requests; empty lines are passed over.
    Between,
    /// In the request line, or in a header's.
    RequestLine,
    Header,
    /// So many bytes of a body, or of a chunk, are still to come.
    Body(u64),
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    /// After a fault.
    Lost,
}

/// Follows one connection.
#[derive(Clone, Debug)]
pub struct RequestFramer {
    part: Part,
    /// The beginning of the line that is coming in, and how long it is so far.
    line: Vec<u8>,
    line_length: usize,
    /// How long head or trailers are so far.
    head_length: usize,
    old_version: bool,
    length: Option<u64>,
    chunked: bool,
    fault: Option<FramingError>,
}

impl Default for RequestFramer {
    fn default() -> Self {
        Self {
            part: Part::Between,
            line: Vec::new(),
            line_length: 0,
            head_length: 0,
            old_version: false,
            length: None,
            chunked: false,
            fault: None,
        }
    }
}

impl RequestFramer {
    /// A connection on which nothing has come yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in the next bytes and tells what they mean, in order.
    pub fn feed(&mut self, mut bytes: &[u8], tell: &mut impl FnMut(FramingEvent)) {
        while !bytes.is_empty() {
            match self.part {
                Part::Lost => return,
                Part::Between => {
                    if matches!(bytes[0], b'\r' | b'\n') {
                        bytes = &bytes[1..];
                        continue;
                    }
                    *self = Self {
                        part: Part::RequestLine,
                        line: std::mem::take(&mut self.line),
                        ..Self::default()
                    };
                    self.line.clear();
                    tell(FramingEvent::Started);
                }
                Part::Body(left) | Part::Chunk(left) => {
                    let taken = left.min(bytes.len() as u64);
                    bytes = &bytes[taken as usize..];
                    let left = left - taken;
                    self.part = match self.part {
                        Part::Body(_) if left == 0 => self.end(tell),
                        Part::Body(_) => Part::Body(left),
                        _ if left == 0 => Part::ChunkEnd,
                        _ => Part::Chunk(left),
                    };
                }
                Part::RequestLine
                | Part::Header
                | Part::ChunkSize
                | Part::ChunkEnd
                | Part::Trailer => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let (piece, rest) = end.map_or((bytes, &bytes[bytes.len()..]), |end| {
                        bytes.split_at(end + 1)
                    });
                    bytes = rest;
                    let room = LINE_MOST.saturating_sub(self.line.len()).min(piece.len());
                    self.line.extend_from_slice(&piece[..room]);
                    self.line_length += piece.len();
                    self.head_length += piece.len();
                    if let Err(fault) = self.bounded() {
                        return self.lose(fault, tell);
                    }
                    if end.is_some() {
                        self.take_line(tell);
                        self.line.clear();
                        self.line_length = 0;
                    }
                }
            }
        }
    }

    fn bounded(&self) -> Result<(), FramingError> {
        match self.part {
            Part::ChunkSize if self.line_length > CHUNK_LINE_MOST => {
                Err(FramingError::InvalidChunk)
            }
            Part::ChunkEnd if self.line_length > 2 => Err(FramingError::InvalidChunk),
            Part::RequestLine | Part::Header | Part::Trailer if self.head_length > HEAD_MOST => {
                Err(FramingError::TooLong)
            }
            _ => Ok(()),
        }
    }

    fn lose(&mut self, fault: FramingError, tell: &mut impl FnMut(FramingEvent)) {
        let in_head = matches!(self.part, Part::RequestLine | Part::Header);
        self.part = Part::Lost;
        tell(if in_head {
            FramingEvent::HeadComplete(Err(fault))
        } else {
            FramingEvent::BodyInvalid(fault)
        });
    }

    fn end(&mut self, tell: &mut impl FnMut(FramingEvent)) -> Part {
        tell(FramingEvent::MessageComplete);
        Part::Between
    }

    /// A line has come to its end.
    fn take_line(&mut self, tell: &mut impl FnMut(FramingEvent)) {
        // Whoever ends a line with LF alone is taken to mean CRLF (RFC 9112, chapter 2.2).
        let line = self.line.strip_suffix(b"\n").unwrap_or(&self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let blank = self.line_length <= 2 && line.is_empty();
        match self.part {
            Part::RequestLine => {
                self.old_version = line.ends_with(b"HTTP/1.0");
                self.part = Part::Header;
            }
            Part::Header if blank => self.take_head(tell),
            Part::Header => {
                if let Err(fault) = header(
                    line,
                    self.line_length > LINE_MOST,
                    &mut self.length,
                    &mut self.chunked,
                ) {
                    self.fault.get_or_insert(fault);
                }
            }
            Part::ChunkSize => match chunk_size(line) {
                None => self.lose(FramingError::InvalidChunk, tell),
                Some(0) => (self.part, self.head_length) = (Part::Trailer, 0),
                Some(size) => self.part = Part::Chunk(size),
            },
            Part::ChunkEnd if blank => self.part = Part::ChunkSize,
            Part::ChunkEnd => self.lose(FramingError::InvalidChunk, tell),
            Part::Trailer if blank => self.part = self.end(tell),
            Part::Trailer | Part::Between | Part::Body(_) | Part::Chunk(_) | Part::Lost => {}
        }
    }

    fn take_head(&mut self, tell: &mut impl FnMut(FramingEvent)) {
        let fault = match (self.fault, self.length, self.chunked) {
            (Some(fault), ..) => Some(fault),
            (_, Some(_), true) => Some(FramingError::LengthAndCoding),
            (_, _, true) if self.old_version => Some(FramingError::UnsupportedCoding),
            _ => None,
        };
        if let Some(fault) = fault {
            return self.lose(fault, tell);
        }
        tell(FramingEvent::HeadComplete(Ok(())));
        self.part = match (self.length, self.chunked) {
            (_, true) => Part::ChunkSize,
            (Some(length), _) if length > 0 => Part::Body(length),
            _ => self.end(tell),
        };
    }
}

/// Takes in a header's line.
fn header(
    line: &[u8],
    cut: bool,
    length: &mut Option<u64>,
    chunked: &mut bool,
) -> Result<(), FramingError> {
    if line
        .first()
        .is_some_and(|byte| matches!(byte, b' ' | b'\t'))
    {
        return Err(FramingError::FoldedHeader);
    }
    // A line without a colon is the parser's to refuse.
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return Ok(());
    };
    let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
    if name.last().is_some_and(|byte| matches!(byte, b' ' | b'\t')) {
        return Err(FramingError::FoldedHeader);
    }
    if name.eq_ignore_ascii_case(b"content-length") {
        if length.is_some() {
            return Err(FramingError::MultipleLengths);
        }
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit) && !cut;
        let number = std::str::from_utf8(value)
            .ok()
            .filter(|_| digits)
            .and_then(|text| text.parse().ok());
        *length = Some(number.ok_or(FramingError::InvalidLength)?);
    } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
        if *chunked || cut || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(FramingError::UnsupportedCoding);
        }
        *chunked = true;
    }
    Ok(())
}

/// The size that a chunk's line names, before its extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    if !(1..=16).contains(&digits.len()) || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

#[cfg(test)]
mod tests;

//! The state machine that finds requests in a connection's bytes. Section numbers refer to RFC 9112.

use crate::chunk::parse_chunk_size;
use crate::error::FramingError;
use crate::head::{BodyFraming, RequestHead};
use crate::line::LineBuffer;

/// The maximum length of a head, and of a trailer section. The HTTP library has the same limit.
const MAX_SECTION_BYTES: usize = 32 * 1024;
/// The maximum length of a chunk's size line, including chunk extensions.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 4096;
/// The maximum length of the line end after a chunk's data, CRLF.
const MAX_CHUNK_DATA_END_BYTES: usize = 2;

/// An event found in the bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingEvent {
    /// The first byte of a request was received.
    Started,
    /// The head of a request is complete, or the framing is rejected. No further events follow a rejection.
    HeadComplete(Result<(), FramingError>),
    /// The last byte of a request was received.
    MessageComplete,
    /// The body of a request is malformed. No further events follow.
    BodyInvalid(FramingError),
}

/// The position in the stream of requests.
///
/// ```text
///     BetweenRequests --> Line(Request) --> Line(Field) --+--> BetweenRequests             (no body)
///                                                         +--> FixedBody --> BetweenRequests
///                                                         +--> Line(ChunkSize)
///
///     Line(ChunkSize) --+--> ChunkData --> Line(ChunkDataEnd) --> Line(ChunkSize)
///                       +--> Line(Trailer) --> BetweenRequests                             (size 0)
/// ```
///
/// An error in any line leads to `Failed`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before the first byte of a request. Empty lines are skipped (section 2.2).
    #[default]
    BetweenRequests,
    /// In a line of this kind.
    Line(LineKind),
    /// In a body with a Content-Length (section 6.2).
    FixedBody {
        /// The number of bytes still to be received, at least one.
        remaining: u64,
    },
    /// In the data of a chunk (section 7.1).
    ChunkData {
        /// The number of bytes still to be received, at least one.
        remaining: u64,
    },
    /// After an error. All further bytes are ignored.
    Failed,
}

/// The kinds of lines in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineKind {
    /// The request line (section 3).
    Request,
    /// A field line, or the empty line at the end of the head (section 5).
    Field,
    /// The size line of a chunk (section 7.1).
    ChunkSize,
    /// The line end after a chunk's data (section 7.1).
    ChunkDataEnd,
    /// A trailer field, or the empty line at the end of the trailer section (section 7.1.2).
    Trailer,
}

/// Finds the requests in the bytes of one connection.
#[derive(Clone, Debug, Default)]
pub struct RequestFramer {
    state: State,
    line: LineBuffer,
    /// The number of bytes received of the current head or trailer section.
    section_length: usize,
    head: RequestHead,
}

impl RequestFramer {
    /// Creates a framer for a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes the next bytes of the connection and reports the events in order.
    pub fn feed(&mut self, bytes: &[u8], on_event: &mut impl FnMut(FramingEvent)) {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                State::BetweenRequests => self.skip_or_start(rest, on_event),
                State::Line(kind) => self.read_line(kind, rest, on_event),
                State::FixedBody { remaining } => self.read_body(remaining, rest, on_event),
                State::ChunkData { remaining } => self.read_chunk_data(remaining, rest),
                State::Failed => return,
            };
        }
    }

    /// Skips one byte of an empty line, or starts a request without consuming any byte. Returns the remaining bytes.
    fn skip_or_start<'a>(
        &mut self,
        bytes: &'a [u8],
        on_event: &mut impl FnMut(FramingEvent),
    ) -> &'a [u8] {
        if let [b'\r' | b'\n', rest @ ..] = bytes {
            return rest;
        }
        self.line.clear();
        self.section_length = 0;
        self.state = State::Line(LineKind::Request);
        on_event(FramingEvent::Started);
        bytes
    }

    /// Reads up to the line end, or all bytes if the line end has not been received. Returns the remaining bytes.
    fn read_line<'a>(
        &mut self,
        kind: LineKind,
        bytes: &'a [u8],
        on_event: &mut impl FnMut(FramingEvent),
    ) -> &'a [u8] {
        let newline = bytes.iter().position(|byte| *byte == b'\n');
        let line_length = newline.map_or(bytes.len(), |newline| newline + 1);
        let (received, rest) = bytes.split_at(line_length);
        self.line.push(received);
        self.section_length += received.len();
        if let Err(error) = self.check_length(kind) {
            self.fail(kind, error, on_event);
        } else if newline.is_some() {
            self.end_line(kind, on_event);
            self.line.clear();
        }
        rest
    }

    /// Reads from a body with a Content-Length. Returns the remaining bytes.
    fn read_body<'a>(
        &mut self,
        remaining: u64,
        bytes: &'a [u8],
        on_event: &mut impl FnMut(FramingEvent),
    ) -> &'a [u8] {
        let (data, rest) = split_at_up_to(bytes, remaining);
        let remaining = remaining - data.len() as u64;
        if remaining == 0 {
            self.complete_message(on_event);
        } else {
            self.state = State::FixedBody { remaining };
        }
        rest
    }

    /// Reads from the data of a chunk. Returns the remaining bytes.
    fn read_chunk_data<'a>(&mut self, remaining: u64, bytes: &'a [u8]) -> &'a [u8] {
        let (data, rest) = split_at_up_to(bytes, remaining);
        let remaining = remaining - data.len() as u64;
        self.state = if remaining == 0 {
            State::Line(LineKind::ChunkDataEnd)
        } else {
            State::ChunkData { remaining }
        };
        rest
    }

    /// Checks the received length of the line, or of the section that contains the line, against the limit.
    fn check_length(&self, kind: LineKind) -> Result<(), FramingError> {
        match kind {
            LineKind::Request | LineKind::Field | LineKind::Trailer
                if self.section_length > MAX_SECTION_BYTES =>
            {
                Err(FramingError::SectionTooLong)
            }
            LineKind::ChunkSize if self.line.length() > MAX_CHUNK_SIZE_LINE_BYTES => {
                Err(FramingError::InvalidChunk)
            }
            LineKind::ChunkDataEnd if self.line.length() > MAX_CHUNK_DATA_END_BYTES => {
                Err(FramingError::InvalidChunk)
            }
            _ => Ok(()),
        }
    }

    /// Processes a complete line of this kind.
    fn end_line(&mut self, kind: LineKind, on_event: &mut impl FnMut(FramingEvent)) {
        match kind {
            LineKind::Request => {
                self.head = RequestHead::from_request_line(&self.line);
                self.state = State::Line(LineKind::Field);
            }
            LineKind::Field if self.line.is_blank() => self.end_head(on_event),
            LineKind::Field => self.head.add_field_line(&self.line),
            LineKind::ChunkSize => self.end_chunk_size(on_event),
            LineKind::ChunkDataEnd if self.line.is_blank() => {
                self.state = State::Line(LineKind::ChunkSize);
            }
            LineKind::ChunkDataEnd => self.fail(kind, FramingError::InvalidChunk, on_event),
            LineKind::Trailer if self.line.is_blank() => self.complete_message(on_event),
            LineKind::Trailer => {}
        }
    }

    /// Ends the head and continues with the body, if the request has one (section 6.3).
    fn end_head(&mut self, on_event: &mut impl FnMut(FramingEvent)) {
        let framing = match self.head.body_framing() {
            Ok(framing) => framing,
            Err(error) => return self.fail(LineKind::Field, error, on_event),
        };
        on_event(FramingEvent::HeadComplete(Ok(())));
        match framing {
            BodyFraming::Empty => self.complete_message(on_event),
            BodyFraming::Length(remaining) => self.state = State::FixedBody { remaining },
            BodyFraming::Chunked => self.state = State::Line(LineKind::ChunkSize),
        }
    }

    /// Continues with the data of the chunk, or with the trailer section after the last chunk, whose size is 0.
    fn end_chunk_size(&mut self, on_event: &mut impl FnMut(FramingEvent)) {
        match parse_chunk_size(self.line.content()) {
            None => self.fail(LineKind::ChunkSize, FramingError::InvalidChunk, on_event),
            Some(0) => {
                self.section_length = 0;
                self.state = State::Line(LineKind::Trailer);
            }
            Some(remaining) => self.state = State::ChunkData { remaining },
        }
    }

    fn complete_message(&mut self, on_event: &mut impl FnMut(FramingEvent)) {
        on_event(FramingEvent::MessageComplete);
        self.state = State::BetweenRequests;
    }

    /// Reports an error in a line of this kind. All further bytes of the connection are ignored.
    fn fail(
        &mut self,
        kind: LineKind,
        error: FramingError,
        on_event: &mut impl FnMut(FramingEvent),
    ) {
        self.state = State::Failed;
        on_event(match kind {
            LineKind::Request | LineKind::Field => FramingEvent::HeadComplete(Err(error)),
            LineKind::ChunkSize | LineKind::ChunkDataEnd | LineKind::Trailer => {
                FramingEvent::BodyInvalid(error)
            }
        });
    }
}

/// Splits the bytes after the first `length` bytes, or after all bytes if there are fewer.
fn split_at_up_to(bytes: &[u8], length: u64) -> (&[u8], &[u8]) {
    let middle = usize::try_from(length).map_or(bytes.len(), |length| length.min(bytes.len()));
    bytes.split_at(middle)
}

#[cfg(test)]
mod tests;
